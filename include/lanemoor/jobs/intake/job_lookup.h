#pragma once
/// \file
/// Tells callers how their jobs stand.

#include "lanemoor/jobs/intake/job_intake.h"
#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/forward_declarations.h"

#include <functional>
#include <memory>
#include <string>

namespace lanemoor::jobs {

class StoreMirror;

/// Bounds of lookups.
struct JobLookupOptions {
    /// Whether a job that is not over by this instance's copy is read from the store. The copy of an
    /// instance that does not own the job is up to half a second old.
    bool readsThrough = true;
    Millis freshFor { 50 }; ///< A job read so short a time ago is not read again; callers ask some times a second.
    Millis patience { 400 }; ///< Then the copy answers: a slow store takes 240 ms, callers wait 3 s.
    bool keepsCopy = true; ///< Whether the catalog is a copy of all jobs; false: it holds only what was read or written here.
    double readsPerSecond = 60; ///< Of this instance. 32 of them then take a third of a store's 6,000 a second.

    [[nodiscard]] bool operator==(const JobLookupOptions&) const = default;
};

/// \brief Answers lookups from the copy of the store, and from the store for jobs not over by it.
class JobLookup {
public:
    /// \param isCurrent Whether the copy holds all that is known of jobs, as the owner's does, or the
    /// store is not to be asked now.
    JobLookup(EventLoop& loop, KeyValueStore& store, StoreMirror& mirror, const JobCatalog& catalog, std::function<bool()> isCurrent, JobLookupOptions options = {});
    ~JobLookup();
    JobLookup(const JobLookup&) = delete;
    JobLookup& operator=(const JobLookup&) = delete;

    void status(const std::string& id, const std::function<void(LookupOutcome, JobStatus)>& done);

    /// \returns Lookups that wait for the store.
    [[nodiscard]] std::size_t inFlight() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
