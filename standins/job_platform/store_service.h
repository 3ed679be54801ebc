#pragma once
/// \file
/// The platform's store over HTTP, with fault injection.

#include "lanemoor/aio/asio_event_loop.h"
#include "lanemoor/aio/http_listener.h"
#include "store_core.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace lanemoor::standin {

/// Faults of the store. Shares are probabilities per write.
struct StoreFaults {
    bool refusing = false; ///< Calls get status 503 and have no effect.
    bool unresponsive = false; ///< Calls have no effect and get no response.
    double lostAnswers = 0; ///< Share of writes that take effect without a response.
    double lateWrites = 0; ///< Share of writes that take effect seconds later, if their conditions still hold, without a response.
    Millis answerTime { 2 };

    [[nodiscard]] bool operator==(const StoreFaults&) const = default;
};

/// \brief Serves the calls of the store on an ephemeral port.
class StoreService {
public:
    /// \param seed Seed for the random choice of the writes that a fault affects.
    StoreService(aio::AsioEventLoop& loop, std::uint64_t seed);

    [[nodiscard]] std::uint16_t port() const { return m_listener.port(); }

    /// \brief Sets the faults of later calls. The connections of unanswered calls are closed without a response.
    void setFaults(const StoreFaults& faults);

    /// \name Access of operators and workers, not subject to faults
    ///@{
    std::uint64_t put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    [[nodiscard]] std::string value(const std::string& key) const { return m_core.read(key).item.value; }
    ///@}

private:
    struct Watch {
        std::string prefix;
        std::uint64_t after = 0;
        aio::HttpResponder respond;
        jobs::TimerId timeout = 0;
    };

    void serve(const HttpRequest& request, const aio::HttpResponder& respond);
    void dispatch(const HttpRequest& request, const aio::HttpResponder& respond);
    void write(const HttpRequest& request, const aio::HttpResponder& respond);
    void watch(const HttpRequest& request, const aio::HttpResponder& respond);
    [[nodiscard]] HttpResponse execute(const HttpRequest& request);
    [[nodiscard]] HttpResponse commit(const nlohmann::json& body);
    void endWatch(std::uint64_t id);
    void wakeWatches();
    void expireLeases();
    void answer(const aio::HttpResponder& respond, HttpResponse response);

    aio::AsioEventLoop& m_loop;
    std::mt19937_64 m_random;
    StoreCore m_core;
    StoreFaults m_faults;
    std::map<std::uint64_t, Watch> m_watches;
    std::uint64_t m_lastWatch = 0;
    std::vector<aio::HttpResponder> m_unanswered;
    aio::HttpListener m_listener;
};

} // namespace lanemoor::standin
