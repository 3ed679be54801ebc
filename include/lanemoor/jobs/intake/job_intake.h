#pragma once
/// \file
/// Accepts jobs at an entry instance, by conditional writes to the store.

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

/// Outcome of a job submission.
enum class AcceptOutcome {
    Accepted, ///< The job is stored, by this or an earlier submission.
    NotAccepted, ///< The job is not stored and won't run unless it is submitted again.
    Unknown, ///< The job may have been stored, or may be stored later.
    Foreign, ///< A job of this id belongs to another organisation.
    Refused, ///< The job could not be served in time within its organisation's share; nothing was written.
};

/// Outcome of a cancellation or a status lookup.
enum class LookupOutcome {
    Done,
    NoSuchJob,
    Foreign, ///< The job belongs to another organisation.
    Unavailable, ///< The store did not answer, or too many absent jobs were cancelled here.
};

/// \returns Short names for logs and metrics.
[[nodiscard]] std::string_view nameOf(AcceptOutcome outcome) noexcept;
[[nodiscard]] std::string_view nameOf(LookupOutcome outcome) noexcept;

/// \brief Accepts jobs by creating their keys, batching concurrent submissions into transactions.
///
/// A key is created on condition that it is absent, so any number of entry instances may receive the same job and it is stored once.
/// If the answer to a write is lost the key is read; if it is absent the outcome is unknown, since the write may still be carried out.
class JobIntake {
public:
    JobIntake(EventLoop& loop, KeyValueStore& store, StoreMirror& mirror, const JobCatalog& catalog);
    ~JobIntake();
    JobIntake(const JobIntake&) = delete;
    JobIntake& operator=(const JobIntake&) = delete;

    /// \brief Submits a job; `done` is called when the outcome is decided. If a job of this id is stored already, the outcome is Accepted
    /// for callers with access to that job and Foreign for others.
    /// \param isAdmitted Checked when the job is about to be sent to the store; if false the job is not sent. Null: always admitted.
    void accept(const Caller& caller, const std::string& id, const JobRecord& record, std::function<bool()> isAdmitted, std::function<void(AcceptOutcome)> done);

    /// \returns Whether the job was submitted here before and is stored, or may be.
    [[nodiscard]] bool isKnown(const std::string& id);

    /// \brief Refuses a job, unless the store has it already: another instance may have accepted it.
    void refuse(const Caller& caller, const std::string& id, const JobRecord& record, std::function<void(AcceptOutcome)> done);

    /// \returns Whether a write got no answer and the store has answered no later call. New jobs then get NotAccepted without a write, or
    /// Unknown if an earlier write may still store them; a periodic probe is sent nevertheless.
    [[nodiscard]] bool isStoreUnavailable() const noexcept;

    /// \brief Notes that the store answered a call made outside this class.
    /// \param sentAt When that call was sent.
    void noteAnswered(MonotonicInstant sentAt);

    /// \returns The number of submissions that wait for the store.
    [[nodiscard]] std::size_t inFlight() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
