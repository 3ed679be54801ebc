#include "lanemoor/jobs/owner/ownership_manager.h"

#include "lanemoor/jobs/model/job_record.h"
#include "lanemoor/jobs/store/store_mirror.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// Commands are allowed until this long before the lease expires: those decided last must still leave this process in time.
constexpr Millis leaseMargin { 100 };

/// Between two revocations: a process that wrongly takes owners for crashed must not revoke one lease after another.
constexpr Millis revocationPause { 10'000 };

/// \returns Whether `holder` is a previous process on the instance of `own`.
bool isPreviousProcess(const std::string& holder, const std::string& own)
{
    return holder != own && holder.substr(0, holder.rfind('-')) == own.substr(0, own.rfind('-'));
}

} // namespace

class OwnershipManager::Impl : public std::enable_shared_from_this<OwnershipManager::Impl> {
public:
    Impl(EventLoop& loop, KeyValueStore& store, const StoreMirror& mirror, OwnershipOptions options, OwnershipObserver observer)
        : m_loop(loop)
        , m_store(store)
        , m_mirror(mirror)
        , m_options(std::move(options))
        , m_observer(std::move(observer))
        , m_ownerKey(std::string(ownerKeyPrefix) + m_options.shard)
        , m_termKey(std::string(termKeyPrefix) + m_options.shard)
    {
    }

    void start()
    {
        m_nextClaimAt = m_loop.now() + m_options.claimDelay;
        compete();
    }

    void compete()
    {
        if (m_released || m_claiming || m_held)
            return;
        if (!m_mirror.isLoaded() || m_mirror.revisionOf(m_ownerKey) != 0) {
            retryLater(&Impl::compete);
            return;
        }
        if (m_loop.now() < m_nextClaimAt) {
            m_loop.callAt(m_nextClaimAt, [self = weak_from_this()] {
                if (const auto impl = self.lock())
                    impl->compete();
            });
            return;
        }
        m_claiming = true;
        const MonotonicInstant sentAt = m_loop.now();
        m_store.grantLease(m_options.leaseTime, [self = shared_from_this(), sentAt](const LeaseResult& result) {
            if (result.outcome != StoreOutcome::Done) {
                self->m_claiming = false;
                self->noteFailedClaim(result.outcome);
                self->retryLater(&Impl::compete);
                return;
            }
            self->m_lease = result.lease;
            self->m_validUntil = sentAt + result.timeToLive - leaseMargin;
            self->claim();
        });
    }

    void observe(const StoreItem& item)
    {
        if (item.key == m_termKey && !item.removed) {
            if (const std::optional<OwnerRecord> record = decodeOwner(item.value))
                m_lastTerm = record->term;
        }
        if (item.key != m_ownerKey)
            return;
        const std::optional<OwnerRecord> owner = item.removed ? std::nullopt : decodeOwner(item.value);
        m_holder = owner ? owner->holder : std::string();
        m_holderPeer = owner ? owner->peer : std::string();
        m_holderLease = owner ? item.lease : 0;
        // The owner's process ran on this instance, and had exited before this process started.
        if (owner && !m_held && isPreviousProcess(m_holder, m_options.holder))
            revokeHolderLease();
        if (m_held && item.revision > m_ownership.epoch)
            loseOwnership();
        if (!item.removed)
            return;
        m_nextClaimAt = std::max(m_nextClaimAt, m_loop.now() + m_options.claimDelay);
        compete();
    }

    void renewNow()
    {
        if (m_held)
            sendRenewal();
    }

    void revokeCrashedOwner(const std::string& peer)
    {
        const MonotonicInstant now = m_loop.now();
        if (m_held || m_holderPeer != peer || peer.empty() || now < m_nextRevocationAt)
            return;
        m_nextRevocationAt = now + revocationPause;
        revokeHolderLease();
    }

    void release(const std::function<void()>& done)
    {
        m_released = true;
        if (!m_held) {
            done();
            return;
        }
        m_held = false;
        m_store.endLease(m_lease, [self = shared_from_this(), done](const LeaseResult&) { done(); });
    }

    void loseOwnership()
    {
        if (!m_held)
            return;
        m_held = false;
        m_observer.lost();
        // Revoked so that the next owner doesn't wait for its expiry.
        m_store.endLease(m_lease, [](const LeaseResult&) {});
        retryLater(&Impl::compete);
    }

    void resign(Millis pause)
    {
        m_nextClaimAt = m_loop.now() + pause;
        loseOwnership();
    }

    [[nodiscard]] bool isHeld() const { return m_held && m_loop.now() < m_validUntil; }
    [[nodiscard]] const std::string& holder() const { return m_held ? m_options.holder : m_holder; }
    [[nodiscard]] std::string holderPeer() const { return m_held || m_holder == m_options.holder ? std::string() : m_holderPeer; }
    [[nodiscard]] std::uint64_t lastTerm() const { return m_held ? m_ownership.term : m_lastTerm; }
    [[nodiscard]] MonotonicInstant heldSince() const { return m_heldSince; }
    [[nodiscard]] const Ownership& ownership() const { return m_ownership; }
    [[nodiscard]] KeyRevision condition() const { return { m_ownerKey, m_ownership.epoch }; }
    [[nodiscard]] bool isOwned() const { return m_held || m_mirror.revisionOf(m_ownerKey) != 0; }

private:
    void revokeHolderLease()
    {
        if (m_holderLease == 0)
            return;
        if (m_observer.revokingLease)
            m_observer.revokingLease(m_holder);
        m_store.endLease(std::exchange(m_holderLease, 0), [](const LeaseResult&) {});
    }

    void retryLater(void (Impl::*step)())
    {
        m_loop.callAt(m_loop.now() + m_options.retryPause, [self = weak_from_this(), step] {
            if (const auto impl = self.lock())
                (impl.get()->*step)();
        });
    }

    void claim()
    {
        m_claimedTerm = m_lastTerm + 1;
        const std::string value = encode(OwnerRecord { m_options.holder, m_claimedTerm, m_options.peer });
        const Transaction transaction { .expected = { { m_ownerKey, 0 }, { m_termKey, m_mirror.revisionOf(m_termKey) } },
            .writes = { { m_ownerKey, value, m_lease }, { m_termKey, value, 0 } },
            .removals = {} };
        m_store.commit(transaction, [self = shared_from_this()](const CommitResult& result) { self->onClaimAnswered(result); });
    }

    void onClaimAnswered(const CommitResult& result)
    {
        if (result.outcome == StoreOutcome::Done) {
            gain(result.revision);
            return;
        }
        noteFailedClaim(result.outcome);
        if (result.outcome != StoreOutcome::Unknown) {
            abandonClaim();
            return;
        }
        m_store.read(m_ownerKey, [self = shared_from_this()](const ReadResult& read) {
            const std::optional<OwnerRecord> owner = decodeOwner(read.item.value);
            const bool ours = read.outcome == StoreOutcome::Done && owner == OwnerRecord { self->m_options.holder, self->m_claimedTerm, self->m_options.peer };
            if (ours)
                self->gain(read.item.revision);
            else
                self->abandonClaim();
        });
    }

    void noteFailedClaim(StoreOutcome outcome) const
    {
        if (m_observer.claimFailed)
            m_observer.claimFailed(outcome);
    }

    /// Without the lease, a claim whose response was lost can't be carried out later.
    void abandonClaim()
    {
        m_claiming = false;
        m_store.endLease(m_lease, [](const LeaseResult&) {});
        retryLater(&Impl::compete);
    }

    void gain(std::uint64_t epoch)
    {
        m_claiming = false;
        if (m_released || m_loop.now() >= m_validUntil) {
            m_store.endLease(m_lease, [](const LeaseResult&) {});
            retryLater(&Impl::compete);
            return;
        }
        m_held = true;
        m_suspended = false;
        m_heldSince = m_loop.now();
        m_ownership = { epoch, m_claimedTerm };
        m_observer.gained(m_ownership);
        renewLater();
    }

    void renewLater()
    {
        m_loop.callAt(m_loop.now() + m_options.renewEvery, [self = weak_from_this(), epoch = m_ownership.epoch] {
            const auto impl = self.lock();
            if (impl && impl->m_held && impl->m_ownership.epoch == epoch)
                impl->renew();
        });
    }

    /// After the lease time the ownership is suspended but may still be valid: while the store is
    /// unavailable, leases may not expire. Only a reply of the store or another owner ends it.
    void renew()
    {
        if (m_loop.now() >= m_validUntil)
            suspend();
        sendRenewal();
        renewLater();
    }

    void sendRenewal()
    {
        const MonotonicInstant sentAt = m_loop.now();
        const std::uint64_t epoch = m_ownership.epoch;
        m_store.renewLease(m_lease, [self = shared_from_this(), sentAt, epoch](const LeaseResult& result) {
            if (!self->m_held || self->m_ownership.epoch != epoch)
                return;
            if (result.outcome == StoreOutcome::NotFound) {
                self->loseOwnership();
                return;
            }
            if (result.outcome == StoreOutcome::Done)
                self->onRenewed(sentAt + result.timeToLive - leaseMargin);
        });
    }

    void suspend()
    {
        if (!std::exchange(m_suspended, true) && m_observer.suspended)
            m_observer.suspended();
    }

    void onRenewed(MonotonicInstant validUntil)
    {
        const bool wasExpired = m_loop.now() >= m_validUntil;
        m_validUntil = std::max(m_validUntil, validUntil);
        if (wasExpired)
            m_heldSince = m_loop.now();
        if (std::exchange(m_suspended, false) && m_observer.resumed)
            m_observer.resumed();
    }

    EventLoop& m_loop;
    KeyValueStore& m_store;
    const StoreMirror& m_mirror;
    OwnershipOptions m_options;
    OwnershipObserver m_observer;
    std::string m_ownerKey;
    std::string m_termKey;
    bool m_claiming = false;
    bool m_held = false;
    bool m_released = false;
    bool m_suspended = false; ///< Held, but the lease may have expired.
    std::uint64_t m_lease = 0;
    std::uint64_t m_lastTerm = 0;
    std::string m_holder; ///< As read from the store.
    std::string m_holderPeer; ///< Address of this holder for peers.
    std::uint64_t m_holderLease = 0; ///< Lease of the holder's key; 0: unknown, or already revoked by this process.
    MonotonicInstant m_nextRevocationAt; ///< Time of the next revocation at the earliest.
    std::uint64_t m_claimedTerm = 0;
    Ownership m_ownership;
    MonotonicInstant m_validUntil;
    MonotonicInstant m_nextClaimAt;
    MonotonicInstant m_heldSince;
};

std::string holderOf(const std::string& instance, Instant startedAt)
{
    return instance + '-' + std::to_string(startedAt.time_since_epoch().count());
}

OwnershipManager::OwnershipManager(EventLoop& loop, KeyValueStore& store, const StoreMirror& mirror, OwnershipOptions options, OwnershipObserver observer)
    : m_impl(std::make_shared<Impl>(loop, store, mirror, std::move(options), std::move(observer)))
{
}

OwnershipManager::~OwnershipManager() = default;

void OwnershipManager::start()
{
    m_impl->start();
}

void OwnershipManager::renewNow()
{
    m_impl->renewNow();
}

void OwnershipManager::observe(const StoreItem& item)
{
    m_impl->observe(item);
}

void OwnershipManager::release(const std::function<void()>& done)
{
    m_impl->release(done);
}

void OwnershipManager::revokeCrashedOwner(const std::string& peer)
{
    m_impl->revokeCrashedOwner(peer);
}

void OwnershipManager::noteSuperseded()
{
    m_impl->loseOwnership();
}

void OwnershipManager::resign(Millis pause)
{
    m_impl->resign(pause);
}

bool OwnershipManager::isHeld() const noexcept
{
    return m_impl->isHeld();
}

MonotonicInstant OwnershipManager::heldSince() const noexcept
{
    return m_impl->heldSince();
}

const Ownership& OwnershipManager::ownership() const noexcept
{
    return m_impl->ownership();
}

KeyRevision OwnershipManager::condition() const
{
    return m_impl->condition();
}

std::string OwnershipManager::holder() const
{
    return m_impl->holder();
}

std::string OwnershipManager::holderPeer() const
{
    return m_impl->holderPeer();
}

std::uint64_t OwnershipManager::lastTerm() const noexcept
{
    return m_impl->lastTerm();
}

bool OwnershipManager::isOwned() const noexcept
{
    return m_impl->isOwned();
}

} // namespace lanemoor::jobs
