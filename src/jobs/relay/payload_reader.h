#pragma once
/// \file
/// Reads payloads of jobs from the store, for relays that start their tasks.

#include "lanemoor/jobs/model/key_value_store.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// \brief Reads each job's payload once and caches the latest ones. The payload of a job never changes.
class PayloadReader : public std::enable_shared_from_this<PayloadReader> {
public:
    using Done = std::function<void(const std::optional<std::string>& payload)>;

    explicit PayloadReader(KeyValueStore& store);

    /// \param done Called with the payload, synchronously if it is cached; with nothing if the read failed.
    void read(const std::string& job, Done done);

private:
    void onRead(const std::string& job, const ReadResult& result);
    void cache(const std::string& job, std::string payload);

    KeyValueStore& m_store;
    std::map<std::string, std::string> m_payloads; ///< By job.
    std::deque<std::string> m_insertionOrder; ///< The cached jobs, oldest first.
    std::map<std::string, std::vector<Done>> m_waiting; ///< Callbacks of reads in flight, by job.
};

} // namespace lanemoor::jobs
