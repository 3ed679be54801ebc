#include "lanemoor/adapters/event_log.h"

#include "lanemoor/state/time_text.h"

#include <chrono>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace lanemoor {

namespace {

std::string jsonLine(std::string_view event, std::initializer_list<LogField> fields)
{
    nlohmann::ordered_json line { { "time", formatInstant(currentInstant()) }, { "event", event } };
    for (const LogField& field : fields)
        std::visit([&](const auto& value) { line[std::string(field.name)] = value; }, field.value);
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string textLine(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = formatInstant(currentInstant()) + ' ' + std::string(event);
    for (const LogField& field : fields) {
        line += ' ' + std::string(field.name) + '=';
        const auto* number = std::get_if<std::int64_t>(&field.value);
        line += number ? std::to_string(*number) : std::get<std::string>(field.value);
    }
    return line;
}

/// Line budget of one event name within one second.
struct Budget {
    std::chrono::steady_clock::time_point secondEnds;
    std::uint32_t written = 0;
    std::uint64_t omitted = 0;
};

} // namespace

class EventLog::Impl {
public:
    explicit Impl(EventLogOptions options)
        : m_options(options)
    {
        if (m_options.discard)
            return;
        m_pool = std::make_shared<spdlog::details::thread_pool>(m_options.queueLines, 1);
        m_logger = std::make_shared<spdlog::async_logger>("lanemoor", std::make_shared<spdlog::sinks::stdout_sink_mt>(), m_pool, spdlog::async_overflow_policy::overrun_oldest);
        m_logger->set_pattern("%v");
        m_logger->flush_on(spdlog::level::info);
    }

    void write(std::string_view event, std::initializer_list<LogField> fields)
    {
        if (m_options.discard)
            return;
        reportDropped();
        m_logger->info("{}", m_options.asJson ? jsonLine(event, fields) : textLine(event, fields));
    }

    void writeDecision(std::string_view event, std::initializer_list<LogField> fields)
    {
        if (m_options.discard)
            return;
        std::uint64_t omittedBefore = 0;
        if (!consumeBudget(event, omittedBefore))
            return;
        if (omittedBefore > 0)
            write("decisions-omitted", { { "kind", std::string(event) }, { "count", static_cast<std::int64_t>(omittedBefore) } });
        write(event, fields);
    }

    bool admitsDecision(std::string_view event)
    {
        if (m_options.discard)
            return false;
        const std::lock_guard lock(m_mutex);
        const auto found = m_budgets.find(event);
        if (found == m_budgets.end() || found->second.written < m_options.decisionsPerSecond || std::chrono::steady_clock::now() >= found->second.secondEnds)
            return true;
        ++found->second.omitted;
        ++m_omitted;
        return false;
    }

    [[nodiscard]] std::uint64_t dropped() const { return m_pool ? m_pool->overrun_counter() : 0; }

    [[nodiscard]] std::uint64_t omitted() const
    {
        const std::lock_guard lock(m_mutex);
        return m_omitted;
    }

private:
    bool consumeBudget(std::string_view event, std::uint64_t& omittedBefore)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_budgets.find(event);
        Budget& budget = found != m_budgets.end() ? found->second : m_budgets[std::string(event)];
        const auto now = std::chrono::steady_clock::now();
        if (now >= budget.secondEnds) {
            omittedBefore = budget.omitted;
            budget = { .secondEnds = now + std::chrono::seconds(1) };
        }
        if (budget.written < m_options.decisionsPerSecond) {
            ++budget.written;
            return true;
        }
        ++budget.omitted;
        ++m_omitted;
        return false;
    }

    void reportDropped()
    {
        const std::uint64_t now = dropped();
        const std::lock_guard lock(m_mutex);
        if (now == m_reportedDropped)
            return;
        m_logger->info("{}", jsonLine("log-lines-dropped", { { "count", static_cast<std::int64_t>(now - m_reportedDropped) } }));
        m_reportedDropped = now;
    }

    EventLogOptions m_options;
    std::shared_ptr<spdlog::details::thread_pool> m_pool;
    std::shared_ptr<spdlog::async_logger> m_logger;
    mutable std::mutex m_mutex;
    std::map<std::string, Budget, std::less<>> m_budgets;
    std::uint64_t m_omitted = 0;
    std::uint64_t m_reportedDropped = 0;
};

EventLog::EventLog(EventLogOptions options)
    : m_impl(std::make_unique<Impl>(options))
{
}

EventLog::~EventLog() = default;

void EventLog::change(std::string_view event, std::initializer_list<LogField> fields)
{
    m_impl->write(event, fields);
}

void EventLog::decision(std::string_view event, std::initializer_list<LogField> fields)
{
    m_impl->writeDecision(event, fields);
}

bool EventLog::admitsDecision(std::string_view event)
{
    return m_impl->admitsDecision(event);
}

std::uint64_t EventLog::dropped() const
{
    return m_impl->dropped();
}

std::uint64_t EventLog::omitted() const
{
    return m_impl->omitted();
}

} // namespace lanemoor
