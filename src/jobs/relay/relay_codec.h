#pragma once
/// \file
/// Conversion of calls and answers to and from the relay protocol.

#include "generated/relay.pb.h"
#include "lanemoor/jobs/model/worker_control.h"

#include <cstdint>

#include <optional>
#include <string>

namespace lanemoor::jobs {

/// \returns Whether the relay should read the payload from the store instead of receiving it with each call.
[[nodiscard]] bool isLongPayload(const StartCommand& command) noexcept;

/// \name Encoding
/// Sets the worker and the kind of a call; the caller sets the number of the call.
///@{
/// \param refersToStore Whether the relay reads the payload from the store.
void fill(wire::RelayCall& message, const WorkerIncarnation& worker, const StartCommand& command, bool refersToStore);
void fillStop(wire::RelayCall& message, const WorkerIncarnation& worker, const Attempt& attempt, std::uint64_t epoch);
void fill(wire::RelayCall& message, const WorkerIncarnation& worker, const RenewCommand& command);
void fillThrottle(wire::RelayCall& message, const WorkerIncarnation& worker, const Attempt& attempt, std::uint32_t percent, std::uint64_t epoch);
void fill(wire::RelayAnswer& message, const CommandResult& result);
void fill(wire::RelayAnswer& message, const RenewResult& result);
///@}

/// \brief Decodes a frame of a relay, which any process on the network can send.
/// \returns Nothing if the frame is malformed, or so dense that its messages would take many times its size.
[[nodiscard]] std::optional<wire::RelayFrame> reportOf(const std::string& text);

/// \name Decoding
/// An outcome that this version does not define is decoded as `Unknown`.
///@{
[[nodiscard]] WorkerIncarnation workerOf(const wire::RelayCall& message);
[[nodiscard]] Attempt attemptOf(const wire::RelayAttempt& message);
[[nodiscard]] StartCommand startOf(const wire::RelayCall& message);
[[nodiscard]] RenewCommand renewalOf(const wire::RelayCall& message);
[[nodiscard]] CommandResult commandResultOf(const wire::RelayAnswer& message);
[[nodiscard]] RenewResult renewResultOf(const wire::RelayAnswer& message);
///@}

} // namespace lanemoor::jobs
