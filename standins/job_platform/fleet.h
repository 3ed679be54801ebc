#pragma once
/// \file
/// The platform's instances and the workers on them.

#include "event_writer.h"
#include "lanemoor/aio/asio_event_loop.h"
#include "lanemoor/aio/http_listener.h"
#include "store_service.h"
#include "worker.h"

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace lanemoor::standin {

/// Location and capacity of an instance.
struct InstanceSettings {
    std::string id;
    std::string pool;
    std::string dataHall;
    std::string rack;
    std::string kind = "a";
    std::int64_t milliCpu = 4'000;
    std::int64_t memoryMb = 16'384;
};

/// Faults of a running worker.
struct WorkerFaults {
    bool unresponsive = false; ///< Calls are read, but have no effect and get no response.
    Millis answerTime { 0 }; ///< Delay before a call is handled.

    [[nodiscard]] bool operator==(const WorkerFaults&) const = default;
};

/// \brief Instances with one port each, on which the successive workers of an instance serve.
class Fleet {
public:
    Fleet(aio::AsioEventLoop& loop, StoreService& store, EventWriter& events, const Advisor& advisor);

    /// \brief Adds an instance, which is down until `begin`.
    void add(const InstanceSettings& settings);

    /// \brief Declares a reserve pool, whose instances run no workers.
    void addReserve(const std::string& pool) { m_reserves.insert(pool); }

    /// \brief Starts the workers. \param addresses Address in the store entry of each instance's worker; by default its own port.
    void begin(const std::map<std::string, std::string>& addresses);

    [[nodiscard]] std::uint16_t port() const { return m_listener.port(); }

    /// \returns The ports of the instances' workers, by instance.
    [[nodiscard]] std::map<std::string, std::uint16_t> workerPorts() const;

    /// \brief Kills the worker of an instance with all its attempts.
    /// \param backAfter Time until the instance's next worker starts.
    /// \param keepsId Whether the next worker has the same id and the entry stays.
    /// \returns Whether the instance had a worker.
    bool kill(const std::string& instance, Millis backAfter, bool keepsId);

    /// \returns The current worker with an id, or null.
    [[nodiscard]] const WorkerIdentity* workerOf(const std::string& id) const;

    /// \returns Whether the instance exists.
    bool setFaults(const std::string& instance, const WorkerFaults& faults);

    /// \brief Lets all workers, and those that start later, refuse starts without effect.
    void refuseStarts(bool isRefusing) { m_isRefusingStarts = isRefusing; }

private:
    struct Instance {
        InstanceSettings settings;
        const char* state = "down";
        std::string address;
        std::unique_ptr<aio::HttpListener> listener;
        std::unique_ptr<Worker> worker;
        WorkerFaults faults;
        std::vector<aio::HttpResponder> unanswered;
        std::int64_t fence = 0; ///< Highest fencing token of an action.
    };

    void beginWorker(const std::string& instance, const std::string& previousId);
    void endWorker(Instance& instance);
    void removeEntryLater(const std::string& worker);
    void serveWorker(Instance& instance, const HttpRequest& request, const aio::HttpResponder& respond);
    static void callWorker(Worker& worker, const HttpRequest& request, const aio::HttpResponder& respond);
    void serve(const HttpRequest& request, const aio::HttpResponder& respond);
    [[nodiscard]] HttpResponse list(const HttpRequest& request) const;
    [[nodiscard]] HttpResponse move(const HttpRequest& request);
    [[nodiscard]] HttpResponse maintain(const HttpRequest& request);
    [[nodiscard]] HttpResponse takeDown(Instance& instance, const HttpRequest& request, const std::string& pool, const char* state, Millis time);

    aio::AsioEventLoop& m_loop;
    StoreService& m_store;
    EventWriter& m_events;
    const Advisor& m_advisor;
    std::map<std::string, Instance> m_instances;
    std::set<std::string> m_reserves;
    std::set<std::pair<std::int64_t, std::string>> m_maintained; ///< Wave numbers and instances.
    std::uint64_t m_lastWorker = 0;
    bool m_isRefusingStarts = false;
    aio::HttpListener m_listener;
};

} // namespace lanemoor::standin
