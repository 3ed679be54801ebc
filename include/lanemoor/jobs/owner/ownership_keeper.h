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

/// How ownership is held.
struct OwnershipOptions {
    std::string shard;
    std::string holder; ///< Unique to this process, not only to its name: see `holderOf`.
    std::string peer; ///< Where other instances reach it; empty: nowhere.
    Millis leaseTime { 1'500 }; ///< Short, since a lost owner's pools stand still that long.
    Millis renewEvery { 400 }; ///< Three renewals may fail before the lease is over.
    Millis retryPause { 150 };
    /// How long a free ownership is left to others, who are better able to hold it.
    Millis claimDelay { 0 };
};

/// \returns The name of one process on an instance: the instance's own, and when the process began.
[[nodiscard]] std::string holderOf(const std::string& instance, Instant startedAt);

/// A term of ownership.
struct Ownership {
    std::uint64_t epoch = 0; ///< Revision of the owner's key: unique, and higher than any before.
    std::uint64_t term = 0; ///< 1 for the first owner, one more for each later one.

    [[nodiscard]] bool operator==(const Ownership&) const = default;
};

/// Hears of gain and loss.
struct OwnershipObserver {
    std::function<void(const Ownership&)> gained;
    std::function<void()> lost;
    std::function<void()> suspended; ///< The lease may be over, the store does not tell. Null: nobody is told.
    std::function<void()> resumed; ///< It is not over. Null: nobody is told.
    std::function<void(StoreOutcome)> claimFailed; ///< Null: nobody is told.
    std::function<void(const std::string& holder)> endsLost; ///< A lost owner's lease is ended from here. Null: nobody is told.
};

/// \brief Takes the ownership when nobody holds it, renews it, and knows when it may be over.
///
/// Whatever is done in the owner's name carries the epoch as a condition, and is sent only
/// while `isHeld()`, whose time counts from before the renewal was sent.
class OwnershipKeeper {
public:
    /// \param mirror Copy of the keys of ownerships; its items are told to `observe`.
    OwnershipKeeper(EventLoop& loop, KeyValueStore& store, const StoreMirror& mirror, OwnershipOptions options, OwnershipObserver observer);
    ~OwnershipKeeper();
    OwnershipKeeper(const OwnershipKeeper&) = delete;
    OwnershipKeeper& operator=(const OwnershipKeeper&) = delete;

    /// \brief Begins to compete for the ownership.
    void start();

    /// \brief Renews the lease at once if the ownership is held. For the moment at which the store answers again.
    void renewNow();

    /// \brief Takes in a change of the owner's key or the term's key.
    void observe(const StoreItem& item);

    /// \brief Gives the ownership up and competes no more. \param done Called when the store
    /// answered, or at once if nothing was held.
    void release(const std::function<void()>& done);

    /// \brief The process of the owner at `peer` is gone: ends what is left of its lease, so that nobody waits
    /// for it. If it is alive all the same its writes fail, and it stops when its renewal does.
    void endLost(const std::string& peer);

    /// \brief Another owner was met: stops acting at once.
    void noteSuperseded();

    /// \brief Gives the ownership up and leaves it to others for `pause`.
    void resign(Millis pause);

    /// \returns Whether orders may be given now.
    [[nodiscard]] bool isHeld() const noexcept;

    /// \returns Since when orders may be given without a pause; meaningful while `isHeld()`.
    [[nodiscard]] MonotonicInstant heldSince() const noexcept;

    /// \returns The term that is held; meaningful while `isHeld()`.
    [[nodiscard]] const Ownership& ownership() const noexcept;

    /// \returns The condition under which the owner writes.
    [[nodiscard]] KeyRevision condition() const;

    /// \returns Who holds the ownership, as far as this instance knows; empty: nobody.
    [[nodiscard]] std::string holder() const;

    /// \returns Where the holder takes offers to relay its calls; empty: nowhere, or this process is the holder.
    [[nodiscard]] std::string holderPeer() const;

    /// \returns The newest term that this instance heard of.
    [[nodiscard]] std::uint64_t lastTerm() const noexcept;

    /// \returns Whether anybody holds the ownership, as far as this instance knows.
    [[nodiscard]] bool isOwned() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
