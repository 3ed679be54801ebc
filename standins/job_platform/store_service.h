#pragma once
/// \file
/// The platform's store over HTTP, with switches for its faults.

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

/// How the store fails. Shares are of the writes.
struct StoreFaults {
    bool refusing = false; ///< Calls are answered with 503 and do nothing.
    bool silent = false; ///< Calls do nothing and are not answered.
    double lostAnswers = 0; ///< Writes that are carried out and not answered.
    double lateWrites = 0; ///< Writes that are not answered and carried out seconds later, if their conditions still hold.
    Millis answerTime { 2 };

    [[nodiscard]] bool operator==(const StoreFaults&) const = default;
};

/// \brief Serves the calls of the store on a port that the kernel chooses.
class StoreService {
public:
    /// \param seed Of the choice which calls a fault meets.
    StoreService(aio::AsioEventLoop& loop, std::uint64_t seed);

    [[nodiscard]] std::uint16_t port() const { return m_listener.port(); }

    /// \brief Sets the faults from now on. Calls that were not answered stay unanswered, and their connections end.
    void setFaults(const StoreFaults& faults);

    /// \name Writes of operators and workers, which meet no faults
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
    void act(const HttpRequest& request, const aio::HttpResponder& respond);
    void write(const HttpRequest& request, const aio::HttpResponder& respond);
    void watch(const HttpRequest& request, const aio::HttpResponder& respond);
    [[nodiscard]] HttpResponse carryOut(const HttpRequest& request);
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
