#include "lanemoor/adapters/event_log.h"

#include "lanemoor/state/time_text.h"

#include <nlohmann/json.hpp>
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

} // namespace

class EventLog::Impl {
public:
    explicit Impl(bool asJson)
        : m_asJson(asJson)
        , m_logger("lanemoor", std::make_shared<spdlog::sinks::stderr_sink_mt>())
    {
        m_logger.set_pattern("%v");
        m_logger.flush_on(spdlog::level::info);
    }

    void change(std::string_view event, std::initializer_list<LogField> fields)
    {
        m_logger.info("{}", m_asJson ? jsonLine(event, fields) : textLine(event, fields));
    }

private:
    bool m_asJson;
    spdlog::logger m_logger;
};

EventLog::EventLog(bool asJson)
    : m_impl(std::make_unique<Impl>(asJson))
{
}

EventLog::~EventLog() = default;

void EventLog::change(std::string_view event, std::initializer_list<LogField> fields)
{
    m_impl->change(event, fields);
}

} // namespace lanemoor
