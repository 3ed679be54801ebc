#pragma once
/// \file
/// The log: one structured line for each change of state and for each decision on a request.

#include <cstdint>
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

/// How a log is written.
struct EventLogOptions {
    bool asJson = true; ///< One JSON object a line; else text for people.
    bool discard = false; ///< Writes nothing; for tests of what logs.
    std::uint32_t queueLines = 4'096; ///< Lines waiting for standard output; about 1 MB of them.
    std::uint32_t decisionsPerSecond = 60; ///< Lines of one kind; an entry takes about 20 jobs a second at its peak.
};

/// \brief Writes to standard output and never blocks: a thread of its own writes, and while
/// the reader is slow the oldest lines that wait are dropped, counted, and told of later.
/// Safe for several threads.
///
/// \code
/// log.change("seat-taken", { { "seat", std::int64_t { 3 } } });
/// log.decision("job-accepted", { { "job", id }, { "version", version } });
/// \endcode
class EventLog {
public:
    explicit EventLog(EventLogOptions options);
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    /// \brief Logs a change of state: start, stop, reload, a dependency lost or back, a role.
    void change(std::string_view event, std::initializer_list<LogField> fields = {});

    /// \brief Logs a decision on one request or belief. Beyond the budget of its kind the line
    /// is left out and counted; the next second's first line is preceded by the count.
    void decision(std::string_view event, std::initializer_list<LogField> fields);

    /// \returns Lines lost because standard output was slow.
    [[nodiscard]] std::uint64_t dropped() const;

    /// \returns Decisions left out for want of budget.
    [[nodiscard]] std::uint64_t omitted() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor
