#pragma once
/// \file
/// Reads log files that processes may still write to.

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lanemoor::soak {

/// \returns The time of a log line in Unix ms, from its field `at` or `time`; 0 if it has neither.
[[nodiscard]] std::int64_t timeOf(const nlohmann::json& line);

/// \brief Reads the lines appended to a file since the previous call.
class LogTail {
public:
    explicit LogTail(std::string file)
        : m_file(std::move(file))
    {
    }

    /// \returns The complete new lines that are JSON objects.
    [[nodiscard]] std::vector<nlohmann::json> read();

private:
    std::string m_file;
    std::size_t m_offset = 0;
};

/// \returns The lines of all `files` that contain `text`, in order of time, each prefixed with its time and file name.
[[nodiscard]] std::vector<std::string> linesAbout(const std::string& text, const std::vector<std::string>& files);

} // namespace lanemoor::soak
