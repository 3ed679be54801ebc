#pragma once
/// \file
/// Takes jobs in and cancels them: at every entry instance, by conditional writes.

#include "lanemoor/jobs/intake/caller_access.h"
#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/forward_declarations.h"
#include "lanemoor/jobs/model/job_record.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lanemoor::jobs {

class StoreMirror;

/// What came of handing a job in.
enum class AcceptOutcome {
    Accepted, ///< It is kept; also if it was kept before.
    NotTaken, ///< It was not taken and, unless handed in again, will never run.
    Unknown, ///< It may have been kept, or may be yet.
    Foreign, ///< A job of this id belongs to another organisation.
    Refused, ///< It could not be served in time within its organisation's share: nothing was written.
};

/// What came of asking to cancel a job, or for its status.
enum class LookupOutcome {
    Done,
    NoSuchJob,
    Foreign, ///< The job belongs to another organisation.
    Unavailable, ///< The store gave no answer.
};

/// \returns Short names for logs and metrics.
[[nodiscard]] std::string_view nameOf(AcceptOutcome outcome) noexcept;
[[nodiscard]] std::string_view nameOf(LookupOutcome outcome) noexcept;

/// \brief Accepts jobs by creating their keys, some milliseconds' worth in one transaction.
///
/// A job's key is created under the condition that it is absent, so that any number of entry
/// instances may take the same job and it stays one. If the answer is lost the key is read; if
/// it is not there the outcome is unknown, because the write may still be carried out.
class JobIntake {
public:
    JobIntake(EventLoop& loop, KeyValueStore& store, StoreMirror& mirror, const JobCatalog& catalog);
    ~JobIntake();
    JobIntake(const JobIntake&) = delete;
    JobIntake& operator=(const JobIntake&) = delete;

    /// \brief Answers once the store holds the job, or it is known what became of it. One that is kept under this id
    /// is accepted again for callers that may use it, and foreign to others.
    /// \param isAdmitted Asked when the job is sent to the store: one that is no longer let in is not sent.
    void accept(const Caller& caller, const std::string& id, const JobRecord& record, std::function<bool()> isAdmitted, std::function<void(AcceptOutcome)> done);

    /// \returns Whether the job was handed in here before and is kept, or may be.
    [[nodiscard]] bool isKnown(const std::string& id);

    /// \brief Answers that a job is refused, unless the store holds it already: another instance may have taken it.
    void refuse(const Caller& caller, const std::string& id, const JobRecord& record, std::function<void(AcceptOutcome)> done);

    /// \brief Answers once the store holds the wish to cancel.
    void cancel(const std::string& id, const std::function<void(LookupOutcome)>& done);

    /// \returns Whether a write got no answer and the store has answered nothing that was asked
    /// since: new jobs are then refused as not taken, but for one now and then.
    [[nodiscard]] bool isStoreSilent() const noexcept;

    /// \brief Notes that the store answered a call of somebody else's.
    /// \param sentAt When that call was sent.
    void noteAnswered(MonotonicInstant sentAt);

    /// \returns Accepts and cancels that wait for the store.
    [[nodiscard]] std::size_t inFlight() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
