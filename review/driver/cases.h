#pragma once
/// \file
/// The cases of the review. Each returns whether the rule held.

#include "deployment.h"

namespace review {

/// Paths and switches of a run.
struct Run {
    Folders folders;
    Record& record;
    bool hasTrouble = true;
};

/// Tasks that have ended run again after an outage of the store.
bool endedRunsAgain(const Run& run);

/// A client cancels a job that it got no answer for, is told that there is no such job, and the job runs seconds later.
bool cancelledJobRuns(const Run& run);

/// The count of a queue leaves out jobs whose starts were all refused.
bool countOmitsJobs(const Run& run);

/// A wave is shown as succeeded without the upkeep of a machine that had just come.
bool waveWithoutMachine(const Run& run);

/// An order of an owner that was cut off reaches a machine after the orders of its successor.
bool staleOrder(const Run& run);

} // namespace review
