#pragma once
/// \file
/// Looks up the status of jobs for callers.

#include "lanemoor/jobs/intake/job_intake.h"
#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/forward_declarations.h"

#include <functional>
#include <memory>
#include <string>

namespace lanemoor::jobs {

class StoreMirror;

/// Options of status lookups.
struct JobLookupOptions {
    /// Whether the store is read for a job that the catalog does not show as finished. The catalog of an instance that does not own the
    /// job lags by up to 500 ms.
    bool readsThrough = true;
    Millis maxReadAge { 50 }; ///< A job is not read again within this time; callers poll a few times a second.
    Millis readTimeout { 400 }; ///< After this the catalog answers. A slow store takes 240 ms, callers wait 3 s.
    bool holdsAllJobs = true; ///< Whether the catalog holds all jobs; false: only those read or written by this instance.
    double readsPerSecond = 60; ///< Per instance with a full catalog; 32 of them use a third of the store's 6,000 reads a second.

    [[nodiscard]] bool operator==(const JobLookupOptions&) const = default;
};

/// \brief Answers lookups from the catalog, and reads the store for jobs that it does not show as finished.
class JobLookup {
public:
    /// \param isCurrent Returns whether the catalog suffices, because it is up to date (as the owner's is) or because the store must not be
    /// read now.
    JobLookup(EventLoop& loop, KeyValueStore& store, StoreMirror& mirror, const JobCatalog& catalog, std::function<bool()> isCurrent, JobLookupOptions options = {});
    ~JobLookup();
    JobLookup(const JobLookup&) = delete;
    JobLookup& operator=(const JobLookup&) = delete;

    void status(const std::string& id, const std::function<void(LookupOutcome, JobStatus)>& done);

    /// \returns The number of lookups that wait for the store.
    [[nodiscard]] std::size_t inFlight() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
