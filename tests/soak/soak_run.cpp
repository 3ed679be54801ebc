#include "soak_run.h"

#include "callers.h"
#include "fault_plan.h"
#include "fault_runner.h"
#include "lanemoor/aio/asio_event_loop.h"
#include "lanemoor/decisions/time.h"
#include "soak_cluster.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <stdexcept>

namespace lanemoor::soak {

namespace {

constexpr Millis tailPause { 20 };
constexpr Millis statusPause { 500 };
// Bounds are several times what an idle machine needs, so that a busy one changes no verdict.
constexpr Millis startLimit { 60'000 };
constexpr Millis recoveryLimit { 60'000 };
constexpr Millis endLimit { 60'000 };
constexpr Millis stopLimit { 20'000 };
constexpr std::uint64_t relaysOneIn = 2; // Seeds with which calls are relayed.

std::int64_t unixNow()
{
    return currentInstant().time_since_epoch().count();
}

std::string makeFolder(const std::string& keep)
{
    if (!keep.empty()) {
        std::filesystem::create_directories(keep);
        return keep;
    }
    std::string name = (std::filesystem::temp_directory_path() / "lanemoor-soak-XXXXXX").string();
    if (!::mkdtemp(name.data()))
        throw std::runtime_error("can't make a folder for the logs");
    return name;
}

class SoakRun {
public:
    explicit SoakRun(const SoakOptions& options)
        : m_options(options)
        , m_folder(makeFolder(options.keep))
        , m_cluster(m_loop, { .programs = options.programs, .folder = m_folder, .seed = options.seed, .processes = options.processes, .relays = options.seed % relaysOneIn == 1 })
        , m_callers(m_loop, m_cluster, m_promises, [this] { drainLogs(); })
        , m_record(m_folder + "/faults.log", std::ios::app)
        , m_faults(
              m_loop, m_cluster, m_promises, [this] { return m_owner; }, m_record)
    {
    }

    SoakResult run()
    {
        watch();
        start();
        disturb();
        recover();
        stopAll();
        m_promises.finish(unixNow());
        return result();
    }

private:
    void watch()
    {
        drainLogs();
        m_loop.callAt(m_loop.now() + tailPause, [this] { watch(); });
    }

    void drainLogs()
    {
        for (const nlohmann::json& event : m_cluster.events())
            m_promises.noteEvent(event);
        std::vector<SoakCluster::Entry>& entries = m_cluster.entries();
        for (unsigned index = 0; index < entries.size(); ++index) {
            for (const nlohmann::json& line : entries[index].tail->read())
                noteLine(index, line);
        }
    }

    void noteLine(unsigned index, const nlohmann::json& line)
    {
        const std::string event = line.value("event", "");
        if (event == "configuration-in-force") {
            const auto version = line.value("version", std::uint64_t { 0 });
            m_promises.noteConfiguration(m_cluster.entries()[index].name, version, timeOf(line));
            m_versions[index] = version;
        } else if (event == "ownership-taken") {
            m_owner = index;
        } else if (event == "started") {
            m_versions.erase(index);
        }
    }

    void start()
    {
        for (unsigned index = 0; index < m_options.processes; ++index)
            m_cluster.startEntry(index);
        m_callers.balance();
        if (!waitFor(startLimit, [this] { return allReady(); }))
            throw std::runtime_error("not every process is ready in time; see " + m_folder);
        const std::string id = m_callers.probe(0);
        if (!waitFor(startLimit, [this, &id] { return hasEnded(id); }))
            throw std::runtime_error("the first job does not end in time; see " + m_folder);
    }

    void disturb()
    {
        const Millis time = std::chrono::seconds(m_options.seconds);
        m_callers.submitUntil(m_loop.now() + time);
        askForStatus();
        m_faults.run(planFaults(m_options.seed, m_options.seconds));
        const jobs::MonotonicInstant end = m_loop.now() + time;
        static_cast<void>(waitFor(time + recoveryLimit, [this, end] { return m_loop.now() >= end && m_faults.isOver(); }));
    }

    void recover()
    {
        static_cast<void>(waitFor(recoveryLimit, [this] { return allReady() && haveLastConfiguration(); }));
        for (unsigned index = 0; index < m_options.processes; ++index) {
            const std::string& name = m_cluster.entries()[index].name;
            if (!m_cluster.entries()[index].isReady)
                m_promises.noteNotServing(name, "not ready " + std::to_string(recoveryLimit.count()) + " ms after the last fault", unixNow());
            if (m_versions[index] != m_cluster.configurationVersion())
                m_promises.noteNotServing(name, "has configuration " + std::to_string(m_versions[index]) + " in place of " + std::to_string(m_cluster.configurationVersion()), unixNow());
        }
        std::vector<std::string> probes;
        for (unsigned index = 0; index < m_options.processes; ++index)
            probes.push_back(m_callers.probe(index));
        static_cast<void>(waitFor(endLimit, [this] { return m_promises.openJobs().empty(); }));
        for (unsigned index = 0; index < m_options.processes; ++index) {
            if (!m_promises.hasSucceeded(probes[index]))
                m_promises.noteNotServing(m_cluster.entries()[index].name, "job " + probes[index] + " submitted after the last fault has not succeeded", unixNow());
        }
    }

    void stopAll()
    {
        for (SoakCluster::Entry& entry : m_cluster.entries()) {
            entry.isStopping = true;
            if (entry.process)
                entry.process->signal(SIGTERM);
        }
        const auto haveEnded = [this] {
            std::vector<SoakCluster::Entry>& entries = m_cluster.entries();
            return std::all_of(entries.begin(), entries.end(), [](SoakCluster::Entry& entry) { return !entry.process || entry.process->exitCode(); });
        };
        if (waitFor(stopLimit, haveEnded))
            return;
        for (SoakCluster::Entry& entry : m_cluster.entries()) {
            if (entry.process && !entry.process->exitCode())
                m_promises.noteStopTooLong(entry.name, unixNow());
        }
    }

    void askForStatus()
    {
        m_callers.askForOpenJobs();
        m_loop.callAt(m_loop.now() + statusPause, [this] { askForStatus(); });
    }

    [[nodiscard]] bool hasEnded(const std::string& id)
    {
        m_callers.askForOpenJobs();
        return m_promises.hasSucceeded(id);
    }

    [[nodiscard]] bool allReady()
    {
        const std::vector<SoakCluster::Entry>& entries = m_cluster.entries();
        return std::all_of(entries.begin(), entries.end(), [](const SoakCluster::Entry& entry) { return entry.isReady; });
    }

    [[nodiscard]] bool haveLastConfiguration()
    {
        for (unsigned index = 0; index < m_options.processes; ++index) {
            if (m_versions[index] != m_cluster.configurationVersion())
                return false;
        }
        return true;
    }

    /// Runs the loop until `holds` or until `limit` has passed. \returns Whether it held.
    bool waitFor(Millis limit, const std::function<bool()>& holds)
    {
        const jobs::MonotonicInstant deadline = m_loop.now() + limit;
        bool held = false;
        const std::function<void()> check = [&] {
            held = holds();
            if (held || m_loop.now() >= deadline)
                m_loop.stop();
            else
                m_loop.callAt(m_loop.now() + tailPause, [&check] { check(); });
        };
        check();
        if (!held)
            m_loop.run();
        return held;
    }

    [[nodiscard]] SoakResult result()
    {
        std::ostringstream summary;
        const CallerCounts& counts = m_callers.counts();
        summary << "seed " << m_options.seed << ": " << m_faults.faults() << " faults, " << counts.submitted << " jobs submitted, " << m_promises.accepted() << " accepted, " << counts.refusals << " refusals, " << counts.unknown << " unknown answers, "
                << counts.cancels << " cancels, " << m_promises.starts() << " starts, " << m_promises.judgedEvacuations() << " of them judged against an evacuation, " << m_promises.breaches().size() << " breaches";
        std::vector<std::string> logs = m_cluster.logs();
        logs.push_back(m_folder + "/faults.log");
        const bool isRemoved = m_options.keep.empty() && m_promises.breaches().empty();
        if (isRemoved)
            std::filesystem::remove_all(m_folder);
        return { m_promises.breaches(), isRemoved ? std::string() : m_folder, std::move(logs), summary.str() };
    }

    SoakOptions m_options;
    std::string m_folder;
    aio::AsioEventLoop m_loop;
    Promises m_promises;
    SoakCluster m_cluster;
    Callers m_callers;
    std::ofstream m_record;
    unsigned m_owner = 0;
    std::map<unsigned, std::uint64_t> m_versions; ///< In force by the logs, by process.
    FaultRunner m_faults;
};

} // namespace

SoakResult runSoak(const SoakOptions& options)
{
    return SoakRun(options).run();
}

} // namespace lanemoor::soak
