#pragma once
/// \file
/// The cases. Each plays its disruption only if `hasTrouble`.

#include "harness.h"

namespace lanemoor::review {

/// What each case gets.
struct CaseInput {
    ClusterOptions options;
    Record& record;
    bool hasTrouble = true;
};

/// Few jobs that can never be done stop a whole service.
Verdict playHopelessJobs(const CaseInput& input);

/// The platform does not answer upkeep calls that it carries out.
Verdict playUnansweredUpkeep(const CaseInput& input);

/// A job with more tasks than 64 bits count.
Verdict playCountlessTasks(const CaseInput& input);

/// Large jobs come at once.
Verdict playLargeJobs(const CaseInput& input);

/// Sound jobs whose tasks take long.
Verdict playLongTasks(const CaseInput& input);

/// A worker starts again under its id and is cut off.
Verdict playRestartedWorker(const CaseInput& input);

/// The rack with a job's data is lost.
Verdict playLostRack(const CaseInput& input);

} // namespace lanemoor::review
