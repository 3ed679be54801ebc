#pragma once
/// \file
/// The event log: one structured line for each state change and each decision on a request.

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

/// Options of an event log.
struct EventLogOptions {
    bool asJson = true; ///< One JSON object per line; otherwise plain text.
    bool discard = false; ///< Writes nothing; used in tests.
    std::uint32_t queueLines = 4'096; ///< Lines waiting for standard output, about 1 MB.
    std::uint32_t decisionsPerSecond = 60; ///< Per event name; an entry accepts about 20 jobs per second at peak load.
};

/// \brief Writes to standard output from a background thread and never blocks the caller.
///
/// While standard output is slow, the oldest queued lines are dropped and counted; a later
/// line reports the count. Thread-safe.
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

    /// \brief Logs a state change: start, stop, reload, a dependency lost or recovered, a role.
    void change(std::string_view event, std::initializer_list<LogField> fields = {});

    /// \brief Logs a decision on one request or observation. Lines beyond the budget of their
    /// event name are omitted; the first line of the next second is preceded by their count.
    void decision(std::string_view event, std::initializer_list<LogField> fields);

    /// \brief Spares the caller the fields of a decision that would be omitted.
    /// \returns Whether the budget of `event` admits a line now; otherwise the line counts as omitted.
    [[nodiscard]] bool admitsDecision(std::string_view event);

    /// \returns The number of lines dropped because standard output was slow.
    [[nodiscard]] std::uint64_t dropped() const;

    /// \returns The number of decisions omitted because their budget was exhausted.
    [[nodiscard]] std::uint64_t omitted() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor
