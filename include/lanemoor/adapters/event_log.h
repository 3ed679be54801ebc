#pragma once
/// \file
/// The log: one line for each change of state. What happens often is counted instead.

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace lanemoor {

/// One field of a log line.
struct LogField {
    std::string_view name;
    std::variant<std::string, std::int64_t> value;
};

/// \brief Writes changes of state to standard error. Safe for several threads.
///
/// \code
/// log.change("seat-taken", { { "seat", std::int64_t { 3 } } });
/// \endcode
class EventLog {
public:
    /// \param asJson One JSON object a line; else text for people.
    explicit EventLog(bool asJson);
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    void change(std::string_view event, std::initializer_list<LogField> fields = {});

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor
