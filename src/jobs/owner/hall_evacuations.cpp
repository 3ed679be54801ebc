#include "lanemoor/jobs/owner/hall_evacuations.h"

#include "lanemoor/adapters/event_log.h"
#include "lanemoor/jobs/model/key_value_store.h"

#include <utility>

namespace lanemoor::jobs {

class HallEvacuations::Impl : public std::enable_shared_from_this<HallEvacuations::Impl> {
public:
    explicit Impl(HallEvacuationsOptions options)
        : m_options(std::move(options))
    {
    }

    void start()
    {
        stop();
        known = false;
        halls.clear();
        read();
    }

    void stop() { ++m_generation; }

    std::function<void()> changed;
    std::set<std::string> halls;
    bool known = false;

private:
    void read()
    {
        m_pending.clear();
        readPage({});
    }

    void readPage(const std::string& afterKey)
    {
        m_options.store->range(m_options.prefix, afterKey, m_options.patience, [self = weak_from_this(), generation = m_generation](const ItemsResult& result) {
            const auto impl = self.lock();
            if (impl && impl->m_generation == generation)
                impl->received(result);
        });
    }

    void received(const ItemsResult& result)
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
        const bool isSame = halls == m_pending;
        logChanges();
        halls = std::move(m_pending);
        if ((isFirst || !isSame) && changed)
            changed();
    }

    void logChanges() const
    {
        for (const std::string& hall : m_pending) {
            if (!halls.contains(hall))
                m_options.log->change("hall-evacuation-requested", { { "data_hall", hall } });
        }
        for (const std::string& hall : halls) {
            if (!m_pending.contains(hall))
                m_options.log->change("hall-evacuation-withdrawn", { { "data_hall", hall } });
        }
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
    std::uint64_t m_generation = 0; ///< Of the calls and timers under way.
    std::set<std::string> m_pending; ///< Of the pages read so far.
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

bool HallEvacuations::contains(const std::string& dataHall) const
{
    return m_impl->halls.contains(dataHall);
}

const std::set<std::string>& HallEvacuations::halls() const noexcept
{
    return m_impl->halls;
}

} // namespace lanemoor::jobs
