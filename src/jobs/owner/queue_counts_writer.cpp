#include "lanemoor/jobs/owner/queue_counts_writer.h"

#include "lanemoor/jobs/intake/job_catalog.h"
#include "lanemoor/jobs/model/job_record.h"
#include "lanemoor/jobs/model/key_value_store.h"
#include "lanemoor/jobs/owner/ownership_manager.h"

#include <utility>

namespace lanemoor::jobs {

namespace {

constexpr Millis currencyCheckInterval { 100 }; // While the replica lags: without changes its age depends on the phase of its watch.

} // namespace

class QueueCountsWriter::Impl : public std::enable_shared_from_this<QueueCountsWriter::Impl> {
public:
    explicit Impl(QueueCountsWriterOptions options)
        : m_options(std::move(options))
    {
    }

    void writeLater() { checkAfter(m_options.writeEvery); }

private:
    void checkAfter(Millis pause)
    {
        m_options.loop->callAt(m_options.loop->now() + pause, [self = weak_from_this()] {
            const auto impl = self.lock();
            if (!impl)
                return;
            const bool isLagging = impl->m_options.ownership->isHeld() && !impl->m_options.isCurrent();
            if (!isLagging)
                impl->write();
            impl->checkAfter(isLagging ? currencyCheckInterval : impl->m_options.writeEvery);
        });
    }

    void write()
    {
        const std::shared_ptr<const ServiceConfiguration> configuration = m_options.configuration();
        if (m_isWriting || !configuration || !m_options.ownership->isHeld())
            return;
        QueueCounts counts { .countedAt = m_options.loop->timeOfDay(), .pending = {} };
        for (const QueueSettings& queue : configuration->queues)
            counts.pending[queue.name] = m_options.catalog->pending(queue.name);
        m_isWriting = true;
        const Transaction transaction { .expected = { m_options.ownership->condition() }, .writes = { { std::string(queueCountsKey), encode(counts), 0 } }, .removals = {} };
        m_options.store->commit(transaction, [self = weak_from_this()](const CommitResult&) {
            if (const auto impl = self.lock())
                impl->m_isWriting = false;
        });
    }

    QueueCountsWriterOptions m_options;
    bool m_isWriting = false;
};

QueueCountsWriter::QueueCountsWriter(QueueCountsWriterOptions options)
    : m_impl(std::make_shared<Impl>(std::move(options)))
{
}

QueueCountsWriter::~QueueCountsWriter() = default;

void QueueCountsWriter::start()
{
    m_impl->writeLater();
}

} // namespace lanemoor::jobs
