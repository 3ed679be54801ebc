#pragma once
/// \file
/// Cancels jobs at an entry instance, by conditional writes to the store.

#include "lanemoor/jobs/intake/caller_access.h"
#include "lanemoor/jobs/intake/job_intake.h"
#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/forward_declarations.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lanemoor::jobs {

class StoreMirror;

/// \brief Cancels jobs by storing a cancellation, which the owner of the shard acts on.
///
/// A submission may be under way when its job is cancelled, so that the store does not have the job yet. The cancellation is stored
/// nevertheless, on condition that the job is absent, and applies to a job that is stored later if the caller may access it.
class JobCanceller {
public:
    JobCanceller(EventLoop& loop, KeyValueStore& store, StoreMirror& mirror, const JobCatalog& catalog);
    ~JobCanceller();
    JobCanceller(const JobCanceller&) = delete;
    JobCanceller& operator=(const JobCanceller&) = delete;

    /// \brief Cancels a job; `done` is called once the store has the cancellation.
    ///
    /// The outcome is NoSuchJob if the store does not have the job. The number of such cancellations is limited for each instance;
    /// beyond the limit the outcome is Unavailable.
    /// \param caller Nothing: an operator, who may cancel any job.
    void cancel(const std::optional<Caller>& caller, const std::string& id, const std::function<void(LookupOutcome)>& done);

    /// \returns The number of cancellations that wait for the store.
    [[nodiscard]] std::size_t inFlight() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
