#pragma once
/// \file
/// The link between entry instances: ZeroMQ carrying protobuf.

#include "lanemoor/serve/process/shared_state.h"

#include <memory>
#include <string>

namespace lanemoor {

/// \brief Tells the other entry instances how this one stands, and listens to them.
///
/// Each instance binds one socket and pushes its state to every peer it knows, twice a
/// second. A peer seen with an older configuration or ledger is sent the document. A
/// new instance needs to know one peer; it learns of the others, and they of it, from
/// the messages. Messages of an older incarnation or sequence are dropped.
class PeerLink {
public:
    /// \throws std::runtime_error if the address can't be bound.
    explicit PeerLink(SharedState& state);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /// \returns Where this instance receives, as `tcp://IP:PORT`.
    [[nodiscard]] const std::string& address() const noexcept;

    /// \brief Runs until `SharedState::isQuitting`.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor
