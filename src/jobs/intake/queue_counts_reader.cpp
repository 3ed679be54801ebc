#include "lanemoor/jobs/intake/queue_counts_reader.h"

#include "lanemoor/jobs/model/job_record.h"
#include "lanemoor/jobs/model/key_value_store.h"

#include <utility>
#include <vector>

namespace lanemoor::jobs {

namespace {

constexpr Millis cacheDuration { 500 };

} // namespace

class QueueCountsReader::Impl : public std::enable_shared_from_this<QueueCountsReader::Impl> {
public:
    Impl(EventLoop& loop, KeyValueStore& store)
        : m_loop(loop)
        , m_store(store)
    {
    }

    void pending(const std::string& queue, std::function<void(std::optional<std::uint64_t>)> done)
    {
        if (m_readAt && m_loop.now() - *m_readAt < cacheDuration) {
            done(countOf(queue));
            return;
        }
        m_waiting.push_back({ queue, std::move(done) });
        if (m_waiting.size() == 1)
            read();
    }

private:
    struct Waiting {
        std::string queue;
        std::function<void(std::optional<std::uint64_t>)> done;
    };

    void read()
    {
        m_store.read(std::string(queueCountsKey), [self = weak_from_this(), askedAt = m_loop.now()](const ReadResult& result) {
            const auto impl = self.lock();
            if (!impl)
                return;
            if (result.outcome == StoreOutcome::Done) {
                impl->m_counts = decodeQueueCounts(result.item.value);
                impl->m_readAt = askedAt;
            }
            for (const Waiting& waiting : std::exchange(impl->m_waiting, {}))
                waiting.done(impl->countOf(waiting.queue));
        });
    }

    /// A queue that is missing in the counts was created after them, so its count is 0.
    [[nodiscard]] std::optional<std::uint64_t> countOf(const std::string& queue) const
    {
        const Millis age = m_counts ? m_loop.timeOfDay() - m_counts->countedAt : maxCountAge;
        if (age >= maxCountAge || age <= -maxCountAge)
            return std::nullopt;
        const auto found = m_counts->pending.find(queue);
        return found == m_counts->pending.end() ? 0 : found->second;
    }

    EventLoop& m_loop;
    KeyValueStore& m_store;
    std::optional<QueueCounts> m_counts;
    std::optional<MonotonicInstant> m_readAt; ///< When the read of the counts was sent.
    std::vector<Waiting> m_waiting; ///< Callers that wait for the pending read.
};

QueueCountsReader::QueueCountsReader(EventLoop& loop, KeyValueStore& store)
    : m_impl(std::make_shared<Impl>(loop, store))
{
}

QueueCountsReader::~QueueCountsReader() = default;

void QueueCountsReader::pending(const std::string& queue, std::function<void(std::optional<std::uint64_t>)> done)
{
    m_impl->pending(queue, std::move(done));
}

} // namespace lanemoor::jobs
