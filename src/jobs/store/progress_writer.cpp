#include "lanemoor/jobs/store/progress_writer.h"

#include "lanemoor/jobs/model/work_meter.h"
#include "lanemoor/jobs/store/store_mirror.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <set>
#include <utility>

namespace lanemoor::jobs {

namespace {

/// Maximum jobs per transaction: each takes a condition and a write, the ownership takes one condition.
constexpr std::size_t maxJobsPerWrite = (maxTransactionEntries - 1) / 2;
/// Minimum time between two writes that are not full: each call has a cost. Only the acknowledgement of an ended attempt to the
/// worker waits for it, not the work that follows. Without a gap each job is written at each end of an attempt, which exhausts
/// the owner's processor (0.84 of the work is served); at 40 ms workers wait for their next request (0.90); 15 ms serve 0.99.
constexpr Millis minWriteGap { 15 };
/// Maximum concurrent writes. A worker reports further ended attempts only once the previous ones are stored:
/// with one write of 15 jobs every 15 ms, some 500 jobs in progress wait half a second. Four concurrent writes store 7,000 jobs
/// a second.
constexpr std::size_t maxWrites = 4;
/// After a failed call; all entry instances share the store's rate limits.
constexpr Millis retryPause { 50 };

} // namespace

class ProgressWriter::Impl : public std::enable_shared_from_this<ProgressWriter::Impl> {
public:
    Impl(EventLoop& loop, KeyValueStore& store, StoreMirror& mirror, KeyRevision condition, ProgressSource source)
        : m_loop(loop)
        , m_store(store)
        , m_mirror(mirror)
        , m_condition(std::move(condition))
        , m_source(std::move(source))
    {
    }

    void stop() { m_stopped = true; }

    void markChanged(const std::string& id)
    {
        // A job that is being written is written again, since it changed after its progress was read.
        if (!m_marked.emplace(id, ++m_sequence).second)
            return;
        m_unsaved.insert(m_sequence);
        m_marks.push_back({ m_sequence, m_loop.now() });
        m_writeQueue.push_back(id);
        sendSoon();
    }

    void whenStored(std::function<void()> stored)
    {
        if (m_marked.empty() && m_writing.empty()) {
            stored();
            return;
        }
        m_waitingForAll.push_back({ m_sequence, std::move(stored) });
    }

    void whenJobStored(const std::string& id, std::function<void()> stored)
    {
        if (!m_marked.contains(id) && !m_writing.contains(id))
            stored();
        else
            m_waitingForJob.push_back({ { m_sequence, std::move(stored) }, id });
    }

    [[nodiscard]] std::uint64_t newestRevision() const { return m_newestRevision; }

    [[nodiscard]] UnsavedChanges unsaved() const
    {
        const std::size_t jobs = m_marked.size() + m_writing.size();
        const bool isKnown = jobs > 0 && !m_marks.empty();
        return { .jobs = jobs, .oldest = isKnown ? std::optional(m_marks.front().at) : std::nullopt };
    }

private:
    struct Waiter {
        std::uint64_t sequence = 0; ///< All marks up to this one must be stored.
        std::function<void()> stored;
    };

    /// Waits for the marks of one job.
    struct JobWaiter {
        Waiter waiter;
        std::string job;
    };

    /// When a job was marked.
    struct Mark {
        std::uint64_t sequence = 0;
        MonotonicInstant at;
    };

    struct SentJob {
        std::string id;
        std::string value;
        std::uint64_t sequence = 0;
    };

    /// Sends a full write at once, and a write that is not full no sooner than `minWriteGap` after the last write.
    void sendSoon()
    {
        if (m_stopped || m_writeQueue.empty() || m_writes == maxWrites)
            return;
        const bool isFull = m_writeQueue.size() >= maxJobsPerWrite;
        sendAt(isFull ? m_loop.now() : std::max(m_loop.now(), m_sentAt + minWriteGap));
    }

    void sendLater() { sendAt(m_loop.now() + retryPause); }

    void sendAt(MonotonicInstant when)
    {
        if (m_timer != 0 && m_timerAt <= when)
            return;
        m_loop.cancel(m_timer);
        m_timerAt = when;
        m_timer = m_loop.callAt(when, [self = weak_from_this()] {
            const auto impl = self.lock();
            if (!impl || impl->m_stopped)
                return;
            impl->m_timer = 0;
            impl->send();
        });
    }

    /// \returns The oldest changed jobs that are not being written, at most as many as one write takes.
    std::vector<SentJob> takeChanged()
    {
        std::vector<SentJob> taken;
        std::deque<std::string> skipped;
        while (!m_writeQueue.empty() && taken.size() < maxJobsPerWrite) {
            std::string id = std::move(m_writeQueue.front());
            m_writeQueue.pop_front();
            if (m_writing.contains(id)) {
                skipped.push_back(std::move(id));
                continue;
            }
            const auto mark = m_marked.find(id);
            const std::uint64_t sequence = mark->second;
            m_marked.erase(mark);
            if (const std::optional<ProgressRecord> progress = m_source.read(id))
                taken.push_back({ id, encode(*progress), sequence });
            else
                m_unsaved.erase(sequence);
        }
        m_writeQueue.insert(m_writeQueue.begin(), std::make_move_iterator(skipped.begin()), std::make_move_iterator(skipped.end()));
        return taken;
    }

    void send()
    {
        const WorkMeter::Piece piece(m_source.meter, WorkKind::Progress);
        if (m_writes == maxWrites || m_writeQueue.empty())
            return;
        if (!m_source.mayWrite()) {
            sendLater();
            return;
        }
        std::vector<SentJob> sent = takeChanged();
        if (sent.empty()) {
            notifyWaiters();
            return;
        }
        Transaction transaction;
        transaction.expected.push_back(m_condition);
        for (const SentJob& job : sent) {
            transaction.expected.push_back({ progressKey(job.id), m_mirror.revisionOf(progressKey(job.id)) });
            transaction.writes.push_back({ progressKey(job.id), job.value, 0 });
            m_writing[job.id] = job.sequence;
        }
        ++m_writes;
        m_sentAt = m_loop.now();
        m_store.commit(transaction, [self = weak_from_this(), sent = std::move(sent), sentAt = m_sentAt](const CommitResult& result) {
            const auto impl = self.lock();
            if (!impl || impl->m_stopped)
                return;
            if (result.outcome == StoreOutcome::Done && !result.isInferred) {
                impl->m_newestRevision = std::max(impl->m_newestRevision, result.revision);
                impl->m_mirror.noteStoreRevision(result.revision, sentAt);
            }
            impl->written(sent, result);
        });
        sendSoon();
    }

    void written(const std::vector<SentJob>& sent, const CommitResult& result)
    {
        const WorkMeter::Piece piece(m_source.meter, WorkKind::Progress);
        --m_writes;
        for (const SentJob& job : sent)
            m_writing.erase(job.id);
        if (result.outcome == StoreOutcome::Done) {
            for (const SentJob& job : sent)
                m_unsaved.erase(job.sequence);
            for (const SentJob& job : sent)
                m_mirror.noteWritten({ .key = progressKey(job.id), .value = job.value, .revision = result.revision });
            notifyWaiters();
            sendSoon();
            return;
        }
        if (result.outcome == StoreOutcome::Conflict && !applyConflict(result.current))
            return;
        // The same jobs are written again, under the newest revisions. This write may also have
        // been applied, which the next conflict will show.
        for (const SentJob& job : sent) {
            const auto [mark, inserted] = m_marked.emplace(job.id, job.sequence);
            if (inserted) {
                m_writeQueue.push_back(job.id);
                continue;
            }
            m_unsaved.erase(std::max(mark->second, job.sequence));
            mark->second = std::min(mark->second, job.sequence);
        }
        if (result.outcome == StoreOutcome::Conflict)
            sendSoon();
        else
            sendLater();
    }

    /// Applies the keys that a conflict returned. \returns Whether the ownership is still held.
    bool applyConflict(const std::vector<StoreItem>& current)
    {
        const auto owner = std::find_if(current.begin(), current.end(), [&](const StoreItem& item) { return item.key == m_condition.key; });
        if (owner == current.end() || owner->revision != m_condition.revision) {
            m_source.superseded();
            return false;
        }
        for (const StoreItem& item : current) {
            if (item.key != m_condition.key && item.revision > 0)
                m_mirror.noteWritten(item);
        }
        return true;
    }

    /// Calls the waiters whose marks are all stored. Only these are inspected, apart from the few that wait for one job.
    void notifyWaiters()
    {
        const std::uint64_t oldest = m_unsaved.empty() ? m_sequence + 1 : *m_unsaved.begin();
        while (!m_marks.empty() && m_marks.front().sequence < oldest)
            m_marks.pop_front();
        std::vector<Waiter> ready;
        while (!m_waitingForAll.empty() && m_waitingForAll.front().sequence < oldest) {
            ready.push_back(std::move(m_waitingForAll.front()));
            m_waitingForAll.pop_front();
        }
        std::erase_if(m_waitingForJob, [&](JobWaiter& waiting) {
            const bool isReady = waiting.waiter.sequence < oldestMark(waiting.job);
            if (isReady)
                ready.push_back(std::move(waiting.waiter));
            return isReady;
        });
        for (const Waiter& waiter : ready)
            waiter.stored();
    }

    /// \returns The oldest mark of a job that is not stored yet.
    [[nodiscard]] std::uint64_t oldestMark(const std::string& id) const
    {
        std::uint64_t oldest = m_sequence + 1;
        for (const auto* marks : { &m_marked, &m_writing }) {
            if (const auto mark = marks->find(id); mark != marks->end())
                oldest = std::min(oldest, mark->second);
        }
        return oldest;
    }

    EventLoop& m_loop;
    KeyValueStore& m_store;
    StoreMirror& m_mirror;
    KeyRevision m_condition;
    ProgressSource m_source;
    std::map<std::string, std::uint64_t> m_marked; ///< Changed jobs with the sequence of their first mark.
    std::deque<Mark> m_marks; ///< Starting with the oldest that is not stored.
    std::deque<std::string> m_writeQueue; ///< The jobs of `m_marked`, oldest first.
    std::map<std::string, std::uint64_t> m_writing; ///< Jobs being written, with the sequence of the mark that is written.
    std::size_t m_writes = 0; ///< In progress.
    std::set<std::uint64_t> m_unsaved; ///< The sequences in `m_marked` and `m_writing`.
    std::deque<Waiter> m_waitingForAll; ///< Oldest first.
    std::vector<JobWaiter> m_waitingForJob;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_newestRevision = 0;
    MonotonicInstant m_sentAt;
    TimerId m_timer = 0;
    MonotonicInstant m_timerAt;
    bool m_stopped = false;
};

ProgressWriter::ProgressWriter(EventLoop& loop, KeyValueStore& store, StoreMirror& mirror, KeyRevision condition, ProgressSource source)
    : m_impl(std::make_shared<Impl>(loop, store, mirror, std::move(condition), std::move(source)))
{
}

ProgressWriter::~ProgressWriter()
{
    m_impl->stop();
}

void ProgressWriter::markChanged(const std::string& id)
{
    m_impl->markChanged(id);
}

void ProgressWriter::whenStored(std::function<void()> stored)
{
    m_impl->whenStored(std::move(stored));
}

void ProgressWriter::whenJobStored(const std::string& id, std::function<void()> stored)
{
    m_impl->whenJobStored(id, std::move(stored));
}

std::uint64_t ProgressWriter::newestRevision() const noexcept
{
    return m_impl->newestRevision();
}

UnsavedChanges ProgressWriter::unsaved() const noexcept
{
    return m_impl->unsaved();
}

} // namespace lanemoor::jobs
