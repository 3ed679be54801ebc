#include "lanemoor/jobs/owner/hall_evacuations.h"

#include "lanemoor/adapters/event_log.h"
#include "lanemoor/jobs/model/key_value_store.h"

#include <algorithm>
#include <utility>

namespace lanemoor::jobs {

namespace {

constexpr int readsPerConfirmation = 4; // Some reads may fail before the set is unconfirmed.

/// \returns How long a set is confirmed; 0: without limit.
Millis confirmationTime(const HallEvacuationsOptions& options)
{
    return std::max(options.bound - options.startMargin, options.bound / 2);
}

} // namespace

class HallEvacuations::Impl : public std::enable_shared_from_this<HallEvacuations::Impl> {
public:
    explicit Impl(HallEvacuationsOptions options)
        : m_options(std::move(options))
    {
        if (hasBound())
            m_options.readEvery = std::min(m_options.readEvery, confirmationTime(m_options) / readsPerConfirmation);
    }

    void start()
    {
        stop();
        known = false;
        requests.clear();
        read();
    }

    void stop()
    {
        ++m_generation;
        m_options.loop->cancel(std::exchange(m_confirmationTimer, 0));
        m_isUnconfirmed = false;
    }

    [[nodiscard]] bool isConfirmed() const { return known && (!hasBound() || m_options.loop->now() < m_confirmedUntil); }

    std::function<void()> changed;
    std::map<std::string, MonotonicInstant> requests; ///< First read time of each request, by data hall.
    bool known = false;
    MonotonicInstant confirmedAt;

private:
    [[nodiscard]] bool hasBound() const { return m_options.bound.count() > 0; }

    void read()
    {
        m_pending.clear();
        m_readSentAt = m_options.loop->now();
        readPage({});
    }

    void readPage(const std::string& afterKey)
    {
        m_options.store->range(m_options.prefix, afterKey, m_options.readTimeout, [self = weak_from_this(), generation = m_generation](const ItemsResult& result) {
            const auto impl = self.lock();
            if (impl && impl->m_generation == generation)
                impl->onPageReceived(result);
        });
    }

    void onPageReceived(const ItemsResult& result)
    {
        if (result.outcome != StoreOutcome::Done) {
            readLater(m_options.retryPause);
            return;
        }
        for (const StoreItem& item : result.items)
            m_pending.insert(item.key.substr(m_options.prefix.size()));
        if (result.more && !result.items.empty()) {
            readPage(result.items.back().key);
            return;
        }
        apply();
        readLater(m_options.readEvery);
    }

    void apply()
    {
        const bool isFirst = !std::exchange(known, true);
        const bool isSame = noteChanges();
        confirmedAt = m_readSentAt;
        const bool isConfirmedAgain = noteConfirmed();
        if ((isFirst || !isSame || isConfirmedAgain) && changed)
            changed();
    }

    /// \returns Whether the set was unconfirmed and is confirmed again.
    bool noteConfirmed()
    {
        if (!hasBound())
            return false;
        m_confirmedUntil = confirmedAt + confirmationTime(m_options);
        m_options.loop->cancel(m_confirmationTimer);
        m_confirmationTimer = m_options.loop->callAt(m_confirmedUntil, [self = weak_from_this(), generation = m_generation] {
            const auto impl = self.lock();
            if (impl && impl->m_generation == generation)
                impl->confirmationExpired();
        });
        if (!std::exchange(m_isUnconfirmed, false))
            return false;
        m_options.log->change("evacuations-confirmed", { { "age_ms", age() }, { "halls", static_cast<std::int64_t>(requests.size()) } });
        return true;
    }

    void confirmationExpired()
    {
        m_confirmationTimer = 0;
        m_isUnconfirmed = true;
        m_options.log->change("evacuations-unconfirmed", { { "age_ms", age() }, { "bound_ms", static_cast<std::int64_t>(m_options.bound.count()) }, { "halls", static_cast<std::int64_t>(requests.size()) } });
        if (changed)
            changed();
    }

    [[nodiscard]] std::int64_t age() const { return std::chrono::duration_cast<Millis>(m_options.loop->now() - confirmedAt).count(); }

    /// \returns Whether the set is unchanged.
    bool noteChanges()
    {
        bool isSame = true;
        for (const std::string& hall : m_pending) {
            if (!requests.try_emplace(hall, m_options.loop->now()).second)
                continue;
            isSame = false;
            m_options.log->change("hall-evacuation-requested", { { "data_hall", hall } });
        }
        std::erase_if(requests, [&](const auto& request) {
            if (m_pending.contains(request.first))
                return false;
            isSame = false;
            m_options.log->change("hall-evacuation-withdrawn", { { "data_hall", request.first } });
            return true;
        });
        return isSame;
    }

    void readLater(Millis pause)
    {
        m_options.loop->callAt(m_options.loop->now() + pause, [self = weak_from_this(), generation = m_generation] {
            const auto impl = self.lock();
            if (impl && impl->m_generation == generation)
                impl->read();
        });
    }

    HallEvacuationsOptions m_options;
    std::uint64_t m_generation = 0; ///< Calls and timers of earlier generations are ignored.
    std::set<std::string> m_pending; ///< Data halls in the pages read so far.
    MonotonicInstant m_readSentAt; ///< Send time of the read of the first page.
    MonotonicInstant m_confirmedUntil; ///< Only valid with a bound.
    TimerId m_confirmationTimer = 0;
    bool m_isUnconfirmed = false; ///< The expiry of the set was logged.
};

HallEvacuations::HallEvacuations(HallEvacuationsOptions options)
    : m_impl(std::make_shared<Impl>(std::move(options)))
{
}

HallEvacuations::~HallEvacuations()
{
    m_impl->stop();
}

void HallEvacuations::observe(std::function<void()> changed)
{
    m_impl->changed = std::move(changed);
}

void HallEvacuations::start()
{
    m_impl->start();
}

void HallEvacuations::stop()
{
    m_impl->stop();
}

bool HallEvacuations::isKnown() const noexcept
{
    return m_impl->known;
}

bool HallEvacuations::isConfirmed() const
{
    return m_impl->isConfirmed();
}

MonotonicInstant HallEvacuations::confirmedAt() const noexcept
{
    return m_impl->confirmedAt;
}

bool HallEvacuations::contains(const std::string& dataHall) const
{
    return m_impl->requests.contains(dataHall);
}

const std::map<std::string, MonotonicInstant>& HallEvacuations::requests() const noexcept
{
    return m_impl->requests;
}

} // namespace lanemoor::jobs
