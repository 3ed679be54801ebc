#include "soak_run.h"

#include "fault_plan.h"
#include "fault_runner.h"
#include "soak_session.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace lanemoor::soak {

namespace {

// Several times what an idle machine needs, so that load on the machine fails no run.
constexpr Millis recoveryLimit { 60'000 };
constexpr Millis endLimit { 60'000 };
constexpr std::uint64_t relaysOneIn = 2; // Calls are relayed with one in this many seeds.

class SoakRun {
public:
    explicit SoakRun(const SoakOptions& options)
        : m_options(options)
        , m_folder(makeFolder(options.keep))
        , m_session({ .programs = options.programs, .folder = m_folder, .seed = options.seed, .processes = options.processes, .relays = options.seed % relaysOneIn == 1 })
        , m_record(m_folder + "/faults.log", std::ios::app)
        , m_faults(
              m_session.loop(), m_session.cluster(), m_session.guarantees(), [this] { return m_session.owner(); }, [this](unsigned process) { m_session.callers().burst(process); }, m_record)
    {
    }

    SoakResult run()
    {
        m_session.start();
        injectFaults();
        recover();
        m_session.stopAll();
        m_session.guarantees().finish(unixNow());
        return result();
    }

private:
    void injectFaults()
    {
        const Millis time = std::chrono::seconds(m_options.seconds);
        const jobs::MonotonicInstant end = m_session.loop().now() + time;
        m_session.callers().submitUntil(end);
        m_faults.run(planFaults(m_options.seed, m_options.seconds));
        static_cast<void>(m_session.waitFor(time + recoveryLimit, [this, end] { return m_session.loop().now() >= end && m_faults.isOver(); }));
    }

    void recover()
    {
        m_session.cluster().restoreQueues();
        static_cast<void>(m_session.waitFor(recoveryLimit, [this] { return m_session.areAllReady() && m_session.haveLastConfiguration(); }));
        checkServing();
        std::vector<std::string> probes;
        for (unsigned index = 0; index < m_options.processes; ++index)
            probes.push_back(m_session.callers().probe(index));
        static_cast<void>(m_session.waitFor(endLimit, [this] { return m_session.guarantees().unfinishedJobs().empty(); }));
        for (unsigned index = 0; index < m_options.processes; ++index) {
            if (!m_session.guarantees().hasSucceeded(probes[index]))
                m_session.guarantees().noteNotServing(nameOf(index), "job " + probes[index] + " submitted after the last fault has not succeeded", unixNow());
        }
        if (!m_session.waitFor(recoveryLimit, [this] { return m_session.evacuatingWorkers() == 0; }))
            m_session.guarantees().noteStillClosed(nameOf(m_session.owner()), m_session.evacuatingWorkers(), unixNow());
    }

    void checkServing()
    {
        const std::uint64_t version = m_session.cluster().configurationVersion();
        for (unsigned index = 0; index < m_options.processes; ++index) {
            if (!m_session.cluster().entries()[index].isReady)
                m_session.guarantees().noteNotServing(nameOf(index), "not ready " + std::to_string(recoveryLimit.count()) + " ms after the last fault", unixNow());
            if (m_session.configurationAt(index) != version)
                m_session.guarantees().noteNotServing(nameOf(index), "has configuration " + std::to_string(m_session.configurationAt(index)) + " in place of " + std::to_string(version), unixNow());
        }
    }

    [[nodiscard]] const std::string& nameOf(unsigned index) { return m_session.cluster().entries()[index].name; }

    [[nodiscard]] SoakResult result()
    {
        const GuaranteeMonitor& guarantees = m_session.guarantees();
        const CallerCounts& counts = m_session.callers().counts();
        std::ostringstream summary;
        summary << "seed " << m_options.seed << ": " << m_faults.faults() << " faults, " << counts.submitted << " jobs submitted, " << guarantees.accepted() << " accepted, " << counts.refusals << " refusals, " << counts.unknown << " unknown answers, "
                << counts.cancels << " cancels, " << counts.absentCancels << " of them of absent jobs, " << guarantees.countChecks() << " counts judged while jobs waited, " << guarantees.starts() << " starts, " << guarantees.evacuationChecks() << " of them judged against an evacuation, loop late by at most " << m_session.maxLateness().count() << " ms, " << guarantees.breaches().size() << " breaches";
        std::vector<std::string> logs = m_session.cluster().logs();
        logs.push_back(m_folder + "/faults.log");
        const bool isRemoved = m_options.keep.empty() && guarantees.breaches().empty();
        if (isRemoved)
            std::filesystem::remove_all(m_folder);
        return { guarantees.breaches(), isRemoved ? std::string() : m_folder, std::move(logs), summary.str() };
    }

    SoakOptions m_options;
    std::string m_folder;
    SoakSession m_session;
    std::ofstream m_record;
    FaultRunner m_faults;
};

} // namespace

SoakResult runSoak(const SoakOptions& options)
{
    return SoakRun(options).run();
}

} // namespace lanemoor::soak
