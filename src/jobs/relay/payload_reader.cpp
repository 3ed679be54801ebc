#include "payload_reader.h"

#include "lanemoor/jobs/model/job_record.h"

#include <utility>

namespace lanemoor::jobs {

namespace {

/// At most about 5 kB each: 1.3 MB of the 160 MB of the smallest machines.
constexpr std::size_t maxPayloads = 256;

} // namespace

PayloadReader::PayloadReader(KeyValueStore& store)
    : m_store(store)
{
}

void PayloadReader::read(const std::string& job, Done done)
{
    const auto known = m_payloads.find(job);
    if (known != m_payloads.end()) {
        done(known->second);
        return;
    }
    std::vector<Done>& waiting = m_waiting[job];
    waiting.push_back(std::move(done));
    if (waiting.size() > 1)
        return;
    m_store.read(jobKey(job), [self = weak_from_this(), job](const ReadResult& result) {
        if (const auto reader = self.lock())
            reader->onRead(job, result);
    });
}

void PayloadReader::onRead(const std::string& job, const ReadResult& result)
{
    const std::vector<Done> waiting = std::move(m_waiting[job]);
    m_waiting.erase(job);
    const std::optional<JobRecord> record = result.outcome == StoreOutcome::Done ? decodeJob(result.item.value) : std::nullopt;
    if (record)
        cache(job, record->spec.payload);
    for (const Done& done : waiting)
        done(record ? std::optional(record->spec.payload) : std::nullopt);
}

void PayloadReader::cache(const std::string& job, std::string payload)
{
    if (!m_payloads.emplace(job, std::move(payload)).second)
        return;
    m_insertionOrder.push_back(job);
    if (m_insertionOrder.size() <= maxPayloads)
        return;
    m_payloads.erase(m_insertionOrder.front());
    m_insertionOrder.pop_front();
}

} // namespace lanemoor::jobs
