#pragma once
/// \file
/// CURVE keys of the peer link. All entry instances share one key pair.

#include <memory>
#include <optional>
#include <string>

namespace zmq {
class context_t;
}

namespace lanemoor {

/// A key pair in Z85 encoding.
struct PeerKeys {
    std::string publicKey;
    std::string secretKey;

    [[nodiscard]] bool operator==(const PeerKeys&) const = default;
};

/// \brief Reads a key file written by `writePeerKeys`.
/// \returns Nothing if `file` can't be read or has another format.
[[nodiscard]] std::optional<PeerKeys> readPeerKeys(const std::string& file);

/// \brief Writes a new key pair to `file`, readable by its owner only.
/// \returns False if the file already exists or can't be written.
[[nodiscard]] bool writePeerKeys(const std::string& file);

/// \brief Authenticates peers: only holders of the key pair may connect (ZAP, ZeroMQ RFC 27).
///
/// Runs in its own thread from construction to destruction. Must be constructed before the
/// sockets of `context` that it protects are bound.
class PeerAuthenticator {
public:
    PeerAuthenticator(zmq::context_t& context, const std::string& publicKey);
    ~PeerAuthenticator();
    PeerAuthenticator(const PeerAuthenticator&) = delete;
    PeerAuthenticator& operator=(const PeerAuthenticator&) = delete;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor
