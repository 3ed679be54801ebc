#pragma once
/// \file
/// Stand-ins of the platform for the cases: store, fleet interface, advice service and workers. All behave as PROTOCOL.md says; what it
/// leaves open they do in the plainest way. One lock guards everything.

#include "http.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using nlohmann::json;

/// \brief Writes `record.txt`: one line for each event, with the time since the start in ms.
class Record {
public:
    explicit Record(const std::string& file);
    void write(const std::string& event, const json& fields);
    [[nodiscard]] std::int64_t now() const;

private:
    Clock::time_point m_start = Clock::now();
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// \brief The platform's metadata store. The platform's lock is held during each call.
class Store {
public:
    explicit Store(Record& record);

    /// \brief Writes on behalf of the operator or a worker. \param value Plain text.
    std::uint64_t put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    void expire();

    [[nodiscard]] bool hasEvents(const std::string& prefix, std::uint64_t after) const;
    [[nodiscard]] Reply answer(const Call& call);

private:
    struct Item {
        std::string value; ///< Base64.
        std::uint64_t revision = 0;
        std::uint64_t made = 0;
        std::uint64_t lease = 0;
    };
    struct Event {
        std::string key;
        std::uint64_t revision = 0;
        bool gone = false;
        Item item;
    };
    struct Lease {
        Millis time { 0 };
        Clock::time_point endsAt;
    };

    [[nodiscard]] Reply read(const std::string& key) const;
    [[nodiscard]] Reply range(const std::string& prefix, const std::string& after) const;
    [[nodiscard]] Reply watched(const std::string& prefix, std::uint64_t after) const;
    [[nodiscard]] Reply commit(const json& body);
    [[nodiscard]] Reply lease(const Call& call);
    void write(const std::string& key, Item item);
    void erase(const std::string& key);
    void endLease(std::uint64_t lease);

    Record& m_record;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 0;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_history;
    std::map<std::uint64_t, Lease> m_leases;
};

/// What a run does, if nothing stops it.
struct RunPlan {
    Millis time { 1'000 };
    std::string end = "done";
    bool lasts = false; ///< Runs until it is stopped; `time` does not count.
    bool saves = false; ///< Renews its checkpoint with each `saveEvery` of work.
    std::string gang; ///< Empty: none. Members of one gang have the same text.
    unsigned gangSize = 0;
    bool breaksGang = false; ///< Ends alone with `end` after `time`, and the other members end `broken`.
};

struct RunState {
    std::string task;
    std::uint64_t run = 0;
    std::string checkpoint; ///< That it was started with.
    std::string saved;
    RunPlan plan;
    Clock::time_point startedAt;
    bool atWork = false; ///< False: waits for the other members of its gang.
    Clock::time_point workSince;
    Clock::time_point stopAt; ///< Zero: no stop.
};

/// Bounds of the deployment that the workers keep.
struct Bounds {
    Millis holdMax { 10'000 };
    Millis gang { 3'000 };
    Millis saveEvery { 500 };
    Millis heartbeat { 1'500 };
};

struct MachineSettings {
    std::string machine;
    std::string pool;
    std::string zone;
    std::string kind = "a";
    std::string rack;
    std::int64_t milliCpu = 32'000;
    std::int64_t memoryMb = 131'072;
};

/// The policy of a queue with advice.
struct AdvicePolicy {
    Millis decide { 20 };
    Millis each { 5 };
    Millis valid { 3'000 };
};

/// A machine and the life of its worker.
struct Machine {
    MachineSettings settings;
    std::unique_ptr<HttpServer> server;
    std::string id; ///< Of the life; empty: down.
    std::string state = "down";
    std::uint64_t beats = 0;
    Clock::time_point nextBeat;
    Clock::time_point bornAt;
    Clock::time_point backAt; ///< Zero: not planned.
    std::int64_t fence = 0;
    Clock::time_point leaseUntil;
    std::vector<RunState> running;
    std::deque<json> ended;
    std::uint64_t lastEnd = 0;
    std::uint64_t acknowledged = 0;
    std::map<std::string, std::uint64_t> settled; ///< Highest run that was stopped or has ended, by task.
};

/// What happened to a run, in order.
struct RunEvent {
    std::int64_t at = 0;
    std::string what; ///< `start`, or how it ended.
    std::string task;
    std::uint64_t run = 0;
    std::string worker;
    std::string checkpoint;
};

/// \brief The platform with its machines.
class Platform {
public:
    /// \param plan Tells what a run does. Called with the lock held.
    Platform(Record& record, Bounds bounds, std::function<RunPlan(const std::string& task, std::uint64_t run)> plan);
    ~Platform();
    Platform(const Platform&) = delete;
    Platform& operator=(const Platform&) = delete;

    void addMachine(const MachineSettings& settings);

    /// \brief Starts the workers of all machines.
    void begin();

    [[nodiscard]] std::string storeAddress() const { return m_storeServer->address(); }
    [[nodiscard]] std::string cloudAddress() const { return m_cloudServer->address(); }
    [[nodiscard]] std::string adviceAddress() const { return m_adviceServer->address(); }

    /// \brief Writes the configuration. Returns once the store has taken it.
    void configure(const json& configuration);

    /// \brief Kills the worker with this id. \param backAfter Time until the next life of its machine; 0: the machine is lost for good.
    void crash(const std::string& worker, Millis backAfter);

    /// \brief Sets the machines whose workers may run a step; the others get no ticket.
    void setAdvised(const AdvicePolicy& policy, const std::set<std::string>& machines);

    /// \returns The worker that runs the task; empty: none.
    [[nodiscard]] std::string workerOf(const std::string& task);
    [[nodiscard]] std::string workerOn(const std::string& machine);
    [[nodiscard]] std::vector<RunEvent> events();

private:
    std::optional<Reply> serveStore(const Call& call);
    std::optional<Reply> serveCloud(const Call& call);
    std::optional<Reply> serveAdvice(const Call& call);
    std::optional<Reply> serveWorker(Machine& machine, const Call& call);
    Reply start(Machine& machine, const json& body);
    Reply stop(Machine& machine, const json& body);
    [[nodiscard]] bool isAdmitted(const Machine& machine, const json& body) const;
    Reply act(const std::string& path, const json& body, const Call& call);
    [[nodiscard]] Reply report(const Machine& machine) const;
    void hold(Machine& machine, const json& body);
    void live(Machine& machine);
    void beat(Machine& machine);
    void die(Machine& machine, const std::string& state);
    void end(Machine& machine, std::size_t index, const std::string& how);
    void tick();
    void tickMachine(Machine& machine);
    void tickGangs();
    void startGang(const std::vector<std::pair<Machine*, std::size_t>>& members);
    [[nodiscard]] std::int64_t clockOf(const Machine& machine) const;
    [[nodiscard]] json percentOf(const RunState& run) const;

    Record& m_record;
    Bounds m_bounds;
    std::function<RunPlan(const std::string&, std::uint64_t)> m_plan;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Store m_store;
    std::map<std::string, std::unique_ptr<Machine>> m_machines;
    std::optional<AdvicePolicy> m_advice;
    std::set<std::string> m_advised;
    std::map<std::string, Clock::time_point> m_tickets; ///< When each was given.
    std::vector<RunEvent> m_events;
    std::deque<std::pair<Clock::time_point, std::string>> m_goneEntries; ///< Of crashed workers, and when they go.
    std::uint64_t m_lastLife = 0;
    bool m_stopping = false;
    std::unique_ptr<HttpServer> m_storeServer;
    std::unique_ptr<HttpServer> m_cloudServer;
    std::unique_ptr<HttpServer> m_adviceServer;
    std::thread m_ticker;
};

} // namespace review
