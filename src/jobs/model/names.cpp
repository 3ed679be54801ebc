#include "lanemoor/jobs/model/fleet_control.h"
#include "lanemoor/jobs/model/job_state.h"
#include "lanemoor/jobs/model/key_value_store.h"
#include "lanemoor/jobs/model/worker_control.h"

namespace lanemoor::jobs {

std::string_view nameOf(StoreOutcome outcome) noexcept
{
    switch (outcome) {
    case StoreOutcome::Done:
        return "done";
    case StoreOutcome::Conflict:
        return "conflict";
    case StoreOutcome::NotFound:
        return "not-found";
    case StoreOutcome::HistoryGone:
        return "history-gone";
    case StoreOutcome::NotDone:
        return "not-done";
    case StoreOutcome::Unknown:
        return "unknown";
    case StoreOutcome::Abandoned:
        return "abandoned";
    }
    return "unknown";
}

std::string_view nameOf(AttemptPhase phase) noexcept
{
    switch (phase) {
    case AttemptPhase::Recording:
        return "recording";
    case AttemptPhase::Ordered:
        return "ordered";
    case AttemptPhase::Running:
        return "running";
    case AttemptPhase::Doubtful:
        return "in-doubt";
    case AttemptPhase::Stopping:
        return "stopping";
    }
    return "unknown";
}

std::string_view nameOf(OrderOutcome outcome) noexcept
{
    switch (outcome) {
    case OrderOutcome::Done:
        return "done";
    case OrderOutcome::Fenced:
        return "fenced";
    case OrderOutcome::Superseded:
        return "superseded";
    case OrderOutcome::LeaseOver:
        return "lease-over";
    case OrderOutcome::NoRoom:
        return "no-room";
    case OrderOutcome::BadTicket:
        return "bad-ticket";
    case OrderOutcome::OtherLife:
        return "other-life";
    case OrderOutcome::NotDone:
        return "not-done";
    case OrderOutcome::Rejected:
        return "rejected";
    case OrderOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view nameOf(AttemptEnd end) noexcept
{
    switch (end) {
    case AttemptEnd::Succeeded:
        return "succeeded";
    case AttemptEnd::Failed:
        return "failed";
    case AttemptEnd::Stopped:
        return "stopped";
    case AttemptEnd::LeaseLapsed:
        return "lease-lapsed";
    case AttemptEnd::GangBroken:
        return "gang-broken";
    case AttemptEnd::GangIncomplete:
        return "gang-incomplete";
    }
    return "unknown";
}

std::string_view nameOf(FleetOutcome outcome) noexcept
{
    switch (outcome) {
    case FleetOutcome::Done:
        return "done";
    case FleetOutcome::Fenced:
        return "fenced";
    case FleetOutcome::Busy:
        return "busy";
    case FleetOutcome::NotInWave:
        return "not-in-wave";
    case FleetOutcome::Refused:
        return "refused";
    case FleetOutcome::NotDone:
        return "not-done";
    case FleetOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace lanemoor::jobs
