#pragma once
/// \file
/// Calls and answers as they travel between the owner and its relays.

#include "generated/relay.pb.h"
#include "lanemoor/jobs/model/worker_control.h"

#include <cstdint>

namespace lanemoor::jobs {

/// \returns Whether the payload is long enough to be read from the store by the relay: once for all tasks of the
/// job that it starts.
[[nodiscard]] bool isLongPayload(const StartCommand& order) noexcept;

/// \name Into the message
/// `call` names the call; the worker and the kind are set.
///@{
/// \param refers Whether the relay is to read a long payload from the store.
void fill(wire::RelayCall& message, const WorkerIncarnation& worker, const StartCommand& order, bool refers);
void fillStop(wire::RelayCall& message, const WorkerIncarnation& worker, const Attempt& attempt, std::uint64_t epoch);
void fill(wire::RelayCall& message, const WorkerIncarnation& worker, const RenewCommand& order);
void fillThrottle(wire::RelayCall& message, const WorkerIncarnation& worker, const Attempt& attempt, std::uint32_t percent, std::uint64_t epoch);
void fill(wire::RelayAnswer& message, const CommandResult& result);
void fill(wire::RelayAnswer& message, const RenewResult& result);
///@}

/// \name Out of the message
/// A value that this version does not know reads as an unknown outcome.
///@{
[[nodiscard]] WorkerIncarnation lifeOf(const wire::RelayCall& message);
[[nodiscard]] Attempt attemptOf(const wire::RelayAttempt& message);
[[nodiscard]] StartCommand startOf(const wire::RelayCall& message);
[[nodiscard]] RenewCommand renewalOf(const wire::RelayCall& message);
[[nodiscard]] CommandResult orderResultOf(const wire::RelayAnswer& message);
[[nodiscard]] RenewResult renewResultOf(const wire::RelayAnswer& message);
///@}

} // namespace lanemoor::jobs
