#pragma once
/// \file
/// A plain socket that sends arbitrary bytes, including malformed requests.

#include "lanemoor/net/http_message.h"

#include <string>
#include <string_view>

namespace lanemoor::test {

/// \brief A connected TCP socket.
class RawSocket {
public:
    explicit RawSocket(const HttpAddress& address);
    ~RawSocket();
    RawSocket(const RawSocket&) = delete;
    RawSocket& operator=(const RawSocket&) = delete;

    /// \returns Whether all of `bytes` were sent.
    bool send(std::string_view bytes) const;

    /// \returns All bytes until the peer closes the connection, or until 20 s pass without data.
    [[nodiscard]] std::string readAll() const;

    /// \returns Whether the peer closes the connection; false after 20 s without data.
    [[nodiscard]] bool isClosed() const;

private:
    int m_descriptor;
};

} // namespace lanemoor::test
