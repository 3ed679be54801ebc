#include "soak_session.h"

#include "lanemoor/decisions/time.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace lanemoor::soak {

namespace {

constexpr Millis tailPause { 20 };
constexpr Millis statusPause { 500 };
// Several times what an idle machine needs, so that load on the machine fails no run.
constexpr Millis startLimit { 60'000 };
constexpr Millis stopLimit { 20'000 };

} // namespace

std::int64_t unixNow()
{
    return currentInstant().time_since_epoch().count();
}

std::string makeFolder(const std::string& keep)
{
    if (!keep.empty()) {
        std::filesystem::create_directories(keep);
        // Logs of a previous run would be attributed to this one.
        if (!std::filesystem::is_empty(keep))
            throw std::runtime_error(keep + " is not empty");
        return keep;
    }
    std::string name = (std::filesystem::temp_directory_path() / "lanemoor-soak-XXXXXX").string();
    if (!::mkdtemp(name.data()))
        throw std::runtime_error("can't make a folder for the logs");
    return name;
}

SoakSession::SoakSession(const ClusterOptions& options)
    : m_cluster(m_loop, options)
    , m_callers(m_loop, m_cluster, m_guarantees, [this] { drainLogs(); })
{
    watchLogs(m_loop.now());
}

void SoakSession::watchLogs(jobs::MonotonicInstant due)
{
    m_maxLateness = std::max(m_maxLateness, std::chrono::duration_cast<Millis>(m_loop.now() - due));
    drainLogs();
    const jobs::MonotonicInstant next = m_loop.now() + tailPause;
    m_loop.callAt(next, [this, next] { watchLogs(next); });
}

void SoakSession::drainLogs()
{
    for (const nlohmann::json& event : m_cluster.events())
        m_guarantees.noteEvent(event);
    std::vector<SoakCluster::Entry>& entries = m_cluster.entries();
    for (unsigned index = 0; index < entries.size(); ++index) {
        for (const nlohmann::json& line : entries[index].tail->read())
            noteLine(index, line);
    }
}

void SoakSession::noteLine(unsigned index, const nlohmann::json& line)
{
    const std::string event = line.value("event", "");
    if (event == "configuration-in-force") {
        const auto version = line.value("version", std::uint64_t { 0 });
        m_guarantees.noteConfiguration(m_cluster.entries()[index].name, version, timeOf(line));
        m_versions[index] = version;
    } else if (event == "ownership-taken") {
        m_owner = index;
        m_evacuatingWorkers.reset();
    } else if (event == "fleet-use" && index == m_owner) {
        m_evacuatingWorkers = line.value("evacuating", std::int64_t { 0 });
    } else if (event == "started") {
        m_versions.erase(index);
    }
}

void SoakSession::start()
{
    for (unsigned index = 0; index < m_cluster.entries().size(); ++index)
        m_cluster.startEntry(index);
    m_callers.pollReadiness();
    watchJobs();
    const std::string& folder = m_cluster.options().folder;
    if (!waitFor(startLimit, [this] { return areAllReady(); }))
        throw std::runtime_error("not every process is ready in time; see " + folder);
    const std::string id = m_callers.probe(0);
    if (!waitFor(startLimit, [this, &id] { return m_guarantees.hasSucceeded(id); }))
        throw std::runtime_error("the first job does not end in time; see " + folder);
}

void SoakSession::watchJobs()
{
    m_callers.requestUnfinishedStatuses();
    m_callers.requestCounts();
    m_loop.callAt(m_loop.now() + statusPause, [this] { watchJobs(); });
}

bool SoakSession::waitFor(Millis limit, const std::function<bool()>& condition)
{
    const jobs::MonotonicInstant deadline = m_loop.now() + limit;
    bool isMet = false;
    const std::function<void()> check = [&] {
        isMet = condition();
        if (isMet || m_loop.now() >= deadline)
            m_loop.stop();
        else
            m_loop.callAt(m_loop.now() + tailPause, [&check] { check(); });
    };
    check();
    if (!isMet)
        m_loop.run();
    return isMet;
}

bool SoakSession::areAllReady()
{
    const std::vector<SoakCluster::Entry>& entries = m_cluster.entries();
    return std::all_of(entries.begin(), entries.end(), [](const SoakCluster::Entry& entry) { return entry.isReady; });
}

std::uint64_t SoakSession::configurationAt(unsigned process)
{
    return m_versions[process];
}

bool SoakSession::haveLastConfiguration()
{
    for (unsigned index = 0; index < m_cluster.entries().size(); ++index) {
        if (m_versions[index] != m_cluster.configurationVersion())
            return false;
    }
    return true;
}

void SoakSession::stopAll()
{
    std::vector<SoakCluster::Entry>& entries = m_cluster.entries();
    for (SoakCluster::Entry& entry : entries) {
        entry.isStopping = true;
        if (entry.process)
            entry.process->signal(SIGTERM);
    }
    const auto hasEnded = [](const SoakCluster::Entry& entry) { return !entry.process || entry.process->exitCode(); };
    static_cast<void>(waitFor(stopLimit, [&] { return std::all_of(entries.begin(), entries.end(), hasEnded); }));
    for (const SoakCluster::Entry& entry : entries) {
        if (!hasEnded(entry))
            m_guarantees.noteStopTooLong(entry.name, unixNow());
    }
}

} // namespace lanemoor::soak
