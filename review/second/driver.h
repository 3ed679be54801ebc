#pragma once
/// \file
/// What the cases share: the entry processes of a small deployment, their callers, and the check of the outcome.

#include "platform.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// Exit codes of a case.
enum class Outcome {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/// Where a case runs.
struct Environment {
    std::string folder; ///< For `record.txt`.
    std::string scratch; ///< For settings and logs.
    std::string program; ///< The built lanemoor.
    bool isTroubled = true;
};

/// Figures of a site's sheet that the settings need.
struct Site {
    int configurationApplyMs = 2'000;
    int restoreMs = 250;
    double machineCores = 0.25;
};

const Site montevideo {};
const Site tellelag { .restoreMs = 600 };
const Site montevideoGrown { .configurationApplyMs = 3'000, .machineCores = 0.5 };

/// \brief The entry processes, started as the deploy file does.
class Entries {
public:
    Entries(const Environment& environment, const Platform& platform, Record& record, const Site& site);
    ~Entries();
    Entries(const Entries&) = delete;
    Entries& operator=(const Entries&) = delete;

    /// \returns Whether all processes said within `timeout` that they are ready.
    [[nodiscard]] bool awaitReady(Millis timeout) const;

    /// \brief Sends a call to one of the processes in turn, again if it gets no answer, 502, 503 or 504.
    [[nodiscard]] Reply call(const std::string& method, const std::string& path, const std::string& body, unsigned tries = 4);

private:
    struct Entry {
        std::string ip;
        pid_t process = 0;
    };

    Record& m_record;
    std::vector<Entry> m_entries;
    std::size_t m_next = 0;
};

/// \brief A queue of the configuration. Its path prefix is its name between slashes.
[[nodiscard]] json route(const std::string& name, const std::string& service, unsigned maxAttempts);
[[nodiscard]] json service(const std::string& name);
[[nodiscard]] json configuration(std::uint64_t version, const json& routes, const json& services);

inline const std::string host = "jobs.example";
constexpr Millis poll { 20 };

/// \returns Whether the condition became true within `timeout`.
[[nodiscard]] bool waitUntil(Millis timeout, const std::function<bool()>& condition);

/// \returns How many runs of the task have ended so.
[[nodiscard]] std::size_t countOf(Platform& platform, const std::string& task, const std::string& what);

} // namespace review
