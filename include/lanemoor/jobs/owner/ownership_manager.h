#pragma once
/// \file
/// Holds the ownership of a shard by a lease in the store.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/key_value_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lanemoor::jobs {

class StoreMirror;

/// Settings of an ownership lease.
struct OwnershipOptions {
    std::string shard;
    std::string holder; ///< Unique per process, not only per instance: see `holderOf`.
    std::string peer; ///< Address for other entry instances; empty: none.
    Millis leaseTime { 1'500 }; ///< Short, since the pools of a crashed owner are stalled until it expires.
    Millis renewEvery { 400 }; ///< Three renewals are due before the lease expires, so two may fail.
    Millis retryPause { 150 };
    /// Delay before claiming a free ownership, so that better suited processes claim it first.
    Millis claimDelay { 0 };
};

/// \returns The holder name of a process: the name of its instance and its start time.
[[nodiscard]] std::string holderOf(const std::string& instance, Instant startedAt);

/// A term of ownership.
struct Ownership {
    std::uint64_t epoch = 0; ///< Revision of the owner's key; unique, and higher than all previous ones.
    std::uint64_t term = 0; ///< Number of the owner, starting at 1.

    [[nodiscard]] bool operator==(const Ownership&) const = default;
};

/// Callbacks for changes of the ownership. All but `gained` and `lost` may be null.
struct OwnershipObserver {
    std::function<void(const Ownership&)> gained;
    std::function<void()> lost;
    std::function<void()> suspended; ///< The lease may have expired, and the store does not respond.
    std::function<void()> resumed; ///< The lease turned out to be valid.
    std::function<void(StoreOutcome)> claimFailed; ///< The claim failed with this outcome.
    std::function<void(const std::string& holder)> revokingLease; ///< This process revokes the lease of a crashed owner.
};

/// \brief Claims the ownership when it is free, renews it, and tracks when it may expire.
///
/// Every write on behalf of the owner carries the epoch as a condition, and is sent only while `isHeld()`. The validity counts from
/// before the renewal was sent.
class OwnershipManager {
public:
    /// \param mirror Watch cache of the ownership keys; its items are also passed to `observe`.
    OwnershipManager(EventLoop& loop, KeyValueStore& store, const StoreMirror& mirror, OwnershipOptions options, OwnershipObserver observer);
    ~OwnershipManager();
    OwnershipManager(const OwnershipManager&) = delete;
    OwnershipManager& operator=(const OwnershipManager&) = delete;

    /// \brief Starts to compete for the ownership.
    void start();

    /// \brief Renews the lease at once if the ownership is held. To be called when the store is available again.
    void renewNow();

    /// \brief Applies a change of the owner's key or the term's key.
    void observe(const StoreItem& item);

    /// \brief Releases the ownership and stops competing. \param done Called when the store
    /// has responded, or at once if the ownership was not held.
    void release(const std::function<void()>& done);

    /// \brief Revokes the lease of the owner at `peer`, whose process has exited, so that no process waits for
    /// its expiry. If the owner is alive after all, its writes fail, and it stops when its renewal fails.
    void revokeCrashedOwner(const std::string& peer);

    /// \brief Notes that another owner exists: gives up the ownership at once.
    void noteSuperseded();

    /// \brief Releases the ownership and does not claim it for `pause`.
    void resign(Millis pause);

    /// \returns Whether this process may send commands now.
    [[nodiscard]] bool isHeld() const noexcept;

    /// \returns Start of the current uninterrupted period in which commands are allowed; only valid while `isHeld()`.
    [[nodiscard]] MonotonicInstant heldSince() const noexcept;

    /// \returns The current term; only valid while `isHeld()`.
    [[nodiscard]] const Ownership& ownership() const noexcept;

    /// \returns The precondition of all writes of the owner.
    [[nodiscard]] KeyRevision condition() const;

    /// \returns The current owner as far as known; empty: none.
    [[nodiscard]] std::string holder() const;

    /// \returns The address at which the owner accepts offers to relay its calls; empty: none, or this process is the owner.
    [[nodiscard]] std::string holderPeer() const;

    /// \returns The newest known term.
    [[nodiscard]] std::uint64_t lastTerm() const noexcept;

    /// \returns Whether the ownership is held by any process, as far as known.
    [[nodiscard]] bool isOwned() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
