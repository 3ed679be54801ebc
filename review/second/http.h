#pragma once
/// \file
/// A small HTTP/1.1 server and client on loopback, with one thread for each connection.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace review {

/// A request as it was read.
struct Call {
    std::string method;
    std::string path; ///< Without the query.
    std::map<std::string, std::string> query; ///< Decoded.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct Reply {
    int status = 0; ///< 0: no answer was received.
    std::string body;
};

/// \returns Nothing if the request gets no answer; its connection then stays silent.
using Handler = std::function<std::optional<Reply>(const Call&)>;

/// \brief Listens on one address.
class HttpServer {
public:
    HttpServer(const std::string& ip, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// \returns The address as IP:port.
    [[nodiscard]] std::string address() const;

    /// \brief Resets all connections; from now on connections are refused.
    void close();

    /// \brief Listens again at the same address.
    void open();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// A request to be sent. It has a connection of its own.
struct Outgoing {
    std::string address;
    std::string method;
    std::string target;
    std::string host;
    std::string body;
    int timeoutMs = 3'000;
};

/// \brief Sends a request and waits for its answer.
[[nodiscard]] Reply send(const Outgoing& request);

} // namespace review
