#include "hall_watch.h"

namespace lanemoor::jobs {

void HallWatch::run()
{
    const HallFindings findings = m_state.hallLosses.update(m_state.now());
    for (const std::string& id : findings.admitted) {
        if (WorkerRecord* worker = m_state.worker(id))
            worker->hallLost = false;
    }
    for (const HallChange& change : findings.changes)
        note(change);
}

void HallWatch::note(const HallChange& change)
{
    for (auto& [id, worker] : m_state.workers) {
        if (worker.entry.dataHall == change.dataHall)
            worker.hallLost = !m_state.hallLosses.admits(id);
    }
    if (change.isLost)
        m_state.options.log->change("hall-lost", { { "data_hall", change.dataHall }, { "workers", std::int64_t { change.workers } }, { "stopped", std::int64_t { change.stopped } } });
    else
        m_state.options.log->change("hall-back", { { "data_hall", change.dataHall }, { "workers", std::int64_t { change.workers } }, { "after_ms", static_cast<std::int64_t>(change.lasted.count()) } });
}

} // namespace lanemoor::jobs
