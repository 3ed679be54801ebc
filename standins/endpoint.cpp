/// \file
/// Stand-in process for a worker that serves requests, drains and reboots.
/// Usage: endpoint_standin ID [REBOOT-MS]. Prints "listening PORT" and runs until the end of
/// standard input.
///
/// /check?ms=N        responds after N ms with the request's id and body
/// /listen?events=N&gapMs=M   streams N events
/// /order             counts a run of the Idempotency-Key
/// /cut, /close, /fail   abort during the response, close before the response, respond with 500
/// /runs              returns the run count of each key
/// /platform/...      state and control calls of the platform

#include "lanemoor/net/http_server.h"

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <limits>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

using namespace lanemoor;

namespace {

using Clock = std::chrono::steady_clock;

constexpr unsigned maxThreads = 300;

std::chrono::milliseconds millisIn(const HttpRequest& request, std::string_view name, std::uint64_t fallback)
{
    const std::optional<std::string_view> text = queryValue(request.target, name);
    return std::chrono::milliseconds(text ? parseDecimal(*text).value_or(fallback) : fallback);
}

class EndpointHandler final : public HttpHandler {
public:
    EndpointHandler(std::string id, std::chrono::milliseconds rebootTime)
        : m_id(std::move(id))
        , m_rebootTime(rebootTime)
    {
    }

    void handle(HttpExchange& exchange) override
    {
        const std::string path(pathOf(exchange.request().target));
        if (path.rfind("/platform/", 0) == 0)
            handlePlatform(exchange, path);
        else if (path == "/runs")
            answerRuns(exchange);
        else if (refusesWork())
            refuse(exchange);
        else
            work(exchange, path);
    }

private:
    [[nodiscard]] static HttpHeaders notRun()
    {
        HttpHeaders headers;
        headers.add("Lanemoor-Outcome", "not-run");
        return headers;
    }

    [[nodiscard]] bool refusesWork()
    {
        const std::lock_guard lock(m_mutex);
        return m_draining || Clock::now() < m_upAt;
    }

    void refuse(HttpExchange& exchange)
    {
        ++m_refused;
        exchange.respond({ 503, notRun(), {} });
    }

    void handlePlatform(HttpExchange& exchange, const std::string& path)
    {
        const std::lock_guard lock(m_mutex);
        if (path == "/platform/drain") {
            m_draining = true;
        } else if (path == "/platform/undrain") {
            m_draining = false;
        } else if (path == "/platform/reboot") {
            m_draining = false;
            m_upAt = Clock::now() + m_rebootTime;
            ++m_bootId;
        }
        const bool up = Clock::now() >= m_upAt;
        const nlohmann::json state {
            { "state", up ? "live" : "leaving" },
            { "bootId", up ? m_bootId : m_bootId - 1 },
            { "drained", up && m_draining && m_inFlight == 0 },
            { "longSessions", m_listeners.load() },
        };
        exchange.respond({ 200, {}, state.dump() });
    }

    void answerRuns(HttpExchange& exchange)
    {
        const std::lock_guard lock(m_mutex);
        nlohmann::json runs { { "keys", m_runs }, { "mostInFlight", m_maxInFlight.load() }, { "served", m_served.load() }, { "refused", m_refused.load() } };
        exchange.respond({ 200, {}, runs.dump() });
    }

    void work(HttpExchange& exchange, const std::string& path)
    {
        const int inFlight = ++m_inFlight;
        ++m_served;
        if (path != "/listen")
            m_maxInFlight = std::max<int>(m_maxInFlight, inFlight - m_listeners);
        if (path == "/listen")
            listen(exchange);
        else if (path == "/cut")
            cut(exchange);
        else if (path == "/close")
            exchange.abort();
        else if (path == "/fail")
            exchange.respond({ 500, {}, "failed" });
        else
            answer(exchange, path);
        --m_inFlight;
    }

    void answer(HttpExchange& exchange, const std::string& path)
    {
        const HttpRequest& request = exchange.request();
        if (path == "/order") {
            const std::lock_guard lock(m_mutex);
            ++m_runs[std::string(request.headers.find("Idempotency-Key").value_or("none"))];
        }
        std::this_thread::sleep_for(millisIn(request, "ms", 0));
        const nlohmann::json body {
            { "endpoint", m_id },
            { "request", request.headers.find("X-Request-Id").value_or("") },
            { "body", request.body },
        };
        exchange.respond({ 200, {}, body.dump() });
    }

    void listen(HttpExchange& exchange)
    {
        ++m_listeners;
        const auto events = millisIn(exchange.request(), "events", 10).count();
        const auto gap = millisIn(exchange.request(), "gapMs", 100);
        HttpResponseHead head;
        head.headers.add("Content-Type", "text/event-stream");
        bool open = exchange.beginStream(head);
        for (std::int64_t event = 0; open && event < events; ++event) {
            open = exchange.writeStream("data: " + std::to_string(event) + "\n\n");
            std::this_thread::sleep_for(gap);
        }
        if (open)
            exchange.endStream();
        --m_listeners;
    }

    static void cut(HttpExchange& exchange)
    {
        if (exchange.beginStream({}))
            static_cast<void>(exchange.writeStream("half an answer"));
        exchange.abort();
    }

    std::string m_id;
    std::chrono::milliseconds m_rebootTime;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    Clock::time_point m_upAt;
    std::uint64_t m_bootId = 1;
    bool m_draining = false;
    std::atomic<int> m_inFlight { 0 };
    std::atomic<int> m_maxInFlight { 0 };
    std::atomic<int> m_listeners { 0 };
    std::atomic<std::uint64_t> m_served { 0 };
    std::atomic<std::uint64_t> m_refused { 0 };
};

} // namespace

int main(int count, char** arguments)
{
    if (count < 2) {
        std::cerr << "usage: endpoint_standin ID [REBOOT-MS]\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    EndpointHandler handler(arguments[1], std::chrono::milliseconds(count > 2 ? std::atoi(arguments[2]) : 300));
    HttpServerOptions options;
    options.maxThreads = maxThreads;
    const HttpServer server(options, handler);
    std::cout << "listening " << server.port() << std::endl;
    std::cin.ignore(std::numeric_limits<std::streamsize>::max());
    return 0;
}
