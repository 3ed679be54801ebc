#pragma once
/// \file
/// Reads the log of a running process.

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lanemoor::soak {

/// \returns The time of day of a log line in Unix ms, by its field `at` or `time`; 0 if it has none.
[[nodiscard]] std::int64_t timeOf(const nlohmann::json& line);

/// \brief Reads the lines that are new in a file since the last call.
class LogTail {
public:
    explicit LogTail(std::string file)
        : m_file(std::move(file))
    {
    }

    /// \returns The whole lines that are JSON objects.
    [[nodiscard]] std::vector<nlohmann::json> read();

private:
    std::string m_file;
    std::size_t m_offset = 0;
};

/// \returns The lines of all `files` that contain `text`, in order of time, each with its file's name.
[[nodiscard]] std::vector<std::string> linesAbout(const std::string& text, const std::vector<std::string>& files);

} // namespace lanemoor::soak
