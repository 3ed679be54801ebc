#pragma once
/// \file
/// Keys of the peer link: CURVE, with one key pair for all entry instances.

#include <memory>
#include <optional>
#include <string>

namespace zmq {
class context_t;
}

namespace lanemoor {

/// A key pair in Z85 text.
struct PeerKeys {
    std::string publicKey;
    std::string secretKey;

    [[nodiscard]] bool operator==(const PeerKeys&) const = default;
};

/// \returns The keys in `file`, as `writePeerKeys` wrote them, or nothing.
[[nodiscard]] std::optional<PeerKeys> readPeerKeys(const std::string& file);

/// \brief Writes a new key pair to `file`, readable by its owner alone.
/// \returns False if the file is there already or can't be written.
[[nodiscard]] bool writePeerKeys(const std::string& file);

/// \brief Lets in only peers that hold the key pair (ZAP, ZeroMQ RFC 27).
///
/// It runs in a thread of its own from construction to destruction and must exist
/// before the sockets of `context` that it guards are bound.
class PeerGatekeeper {
public:
    PeerGatekeeper(zmq::context_t& context, const std::string& publicKey);
    ~PeerGatekeeper();
    PeerGatekeeper(const PeerGatekeeper&) = delete;
    PeerGatekeeper& operator=(const PeerGatekeeper&) = delete;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor
