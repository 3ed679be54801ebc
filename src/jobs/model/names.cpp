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
    case AttemptPhase::Sent:
        return "ordered";
    case AttemptPhase::Running:
        return "running";
    case AttemptPhase::OutcomeUnknown:
        return "in-doubt";
    case AttemptPhase::Stopping:
        return "stopping";
    }
    return "unknown";
}

std::string_view nameOf(CommandOutcome outcome) noexcept
{
    switch (outcome) {
    case CommandOutcome::Done:
        return "done";
    case CommandOutcome::Fenced:
        return "fenced";
    case CommandOutcome::Superseded:
        return "superseded";
    case CommandOutcome::LeaseExpired:
        return "lease-over";
    case CommandOutcome::NoRoom:
        return "no-room";
    case CommandOutcome::BadTicket:
        return "bad-ticket";
    case CommandOutcome::OtherIncarnation:
        return "other-life";
    case CommandOutcome::NotDone:
        return "not-done";
    case CommandOutcome::Rejected:
        return "rejected";
    case CommandOutcome::Unknown:
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
    case AttemptEnd::LeaseExpired:
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
