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

/// Where an instance stands and what it has.
struct InstanceSettings {
    std::string id;
    std::string pool;
    std::string dataHall;
    std::string rack;
    std::string kind = "a";
    std::int64_t milliCpu = 4'000;
    std::int64_t memoryMb = 16'384;
};

/// How a worker fails while it runs on.
struct WorkerFaults {
    bool mute = false; ///< Reads calls, does nothing and answers nothing.
    Millis answerTime { 0 }; ///< Calls are carried out and answered this much later.

    [[nodiscard]] bool operator==(const WorkerFaults&) const = default;
};

/// \brief Instances with one port each, on which the workers of an instance serve one after the other.
class Fleet {
public:
    Fleet(aio::AsioEventLoop& loop, StoreService& store, EventWriter& events);

    /// \brief Adds an instance. It is down until `begin`.
    void add(const InstanceSettings& settings);

    /// \param pool Its instances are off.
    void addReserve(const std::string& pool) { m_reserves.insert(pool); }

    /// \brief Starts the workers. \param addresses Under which each instance's worker is entered in the store; absent: its own port.
    void begin(const std::map<std::string, std::string>& addresses);

    [[nodiscard]] std::uint16_t port() const { return m_listener.port(); }

    /// \returns The ports of the instances' workers, by instance.
    [[nodiscard]] std::map<std::string, std::uint16_t> workerPorts() const;

    /// \brief Ends a worker with all that runs there.
    /// \param backAfter The next worker of the instance starts this much later.
    /// \param keepsId The next worker has the id of this one, and its entry stays.
    /// \returns Whether there was a worker.
    bool kill(const std::string& instance, Millis backAfter, bool keepsId);

    /// \returns Whether there is such an instance.
    bool setFaults(const std::string& instance, const WorkerFaults& faults);

private:
    struct Instance {
        InstanceSettings settings;
        const char* state = "down";
        std::string address;
        std::unique_ptr<aio::HttpListener> listener;
        std::unique_ptr<Worker> worker;
        WorkerFaults faults;
        std::vector<aio::HttpResponder> unanswered;
        std::int64_t fence = 0; ///< Highest that an act has brought.
    };

    void beginWorker(const std::string& instance, const std::string& formerId);
    void endWorker(Instance& instance);
    void removeEntryLater(const std::string& worker);
    void serveWorker(Instance& instance, const HttpRequest& request, const aio::HttpResponder& respond);
    static void callWorker(Worker& worker, const HttpRequest& request, const aio::HttpResponder& respond);
    void serve(const HttpRequest& request, const aio::HttpResponder& respond);
    [[nodiscard]] HttpResponse list(const HttpRequest& request) const;
    [[nodiscard]] HttpResponse move(const HttpRequest& request);
    [[nodiscard]] HttpResponse maintain(const HttpRequest& request);
    [[nodiscard]] HttpResponse take(Instance& instance, const HttpRequest& request, const std::string& pool, const char* state, Millis time);

    aio::AsioEventLoop& m_loop;
    StoreService& m_store;
    EventWriter& m_events;
    std::map<std::string, Instance> m_instances;
    std::set<std::string> m_reserves;
    std::set<std::pair<std::int64_t, std::string>> m_maintained; ///< Waves and instances.
    std::uint64_t m_lastWorker = 0;
    aio::HttpListener m_listener;
};

} // namespace lanemoor::standin
