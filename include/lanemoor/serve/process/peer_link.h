#pragma once
/// \file
/// The link between entry instances, using protobuf messages over ZeroMQ.

#include "lanemoor/serve/process/shared_state.h"

#include <memory>
#include <string>

namespace lanemoor {

/// \brief Exchanges state with the other entry instances.
///
/// Each instance binds one socket and pushes its state to every known peer twice per second. A
/// peer with an older configuration or ledger is sent the document. A new instance needs the
/// address of one peer; the messages carry the addresses of the others. Messages of an older
/// incarnation or sequence are dropped.
class PeerLink {
public:
    /// \throws std::runtime_error if the address can't be bound.
    explicit PeerLink(SharedState& state);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /// \returns The receiving address of this instance as `tcp://IP:PORT`.
    [[nodiscard]] const std::string& address() const noexcept;

    /// \brief Runs until `SharedState::isQuitting` returns true.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor
