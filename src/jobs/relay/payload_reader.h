#pragma once
/// \file
/// Payloads of jobs, read from the store by those who start their tasks for the owner.

#include "lanemoor/jobs/model/key_value_store.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// \brief Reads a job's payload once, and keeps the latest ones. A payload never changes.
class PayloadReader : public std::enable_shared_from_this<PayloadReader> {
public:
    using Done = std::function<void(const std::optional<std::string>& payload)>;

    explicit PayloadReader(KeyValueStore& store);

    /// \param done Told the payload, at once if it is known; nothing if the store did not give it.
    void read(const std::string& job, Done done);

private:
    void answer(const std::string& job, const ReadResult& result);
    void keep(const std::string& job, std::string payload);

    KeyValueStore& m_store;
    std::map<std::string, std::string> m_payloads; ///< By job.
    std::deque<std::string> m_order; ///< The same jobs, oldest first.
    std::map<std::string, std::vector<Done>> m_waiting; ///< By job.
};

} // namespace lanemoor::jobs
