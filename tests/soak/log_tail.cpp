#include "log_tail.h"

#include "lanemoor/state/time_text.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

namespace lanemoor::soak {

std::int64_t timeOf(const nlohmann::json& line)
{
    if (const auto at = line.find("at"); at != line.end() && at->is_number())
        return at->get<std::int64_t>();
    const auto time = line.find("time");
    if (time == line.end() || !time->is_string())
        return 0;
    const std::optional<Instant> instant = parseInstant(time->get<std::string>());
    return instant ? instant->time_since_epoch().count() : 0;
}

std::vector<nlohmann::json> LogTail::read()
{
    std::ifstream in(m_file, std::ios::binary);
    in.seekg(static_cast<std::streamoff>(m_offset));
    std::ostringstream content;
    content << in.rdbuf();
    const std::string text = content.str();
    std::vector<nlohmann::json> lines;
    std::size_t begin = 0;
    for (std::size_t end = 0; (end = text.find('\n', begin)) != std::string::npos; begin = end + 1) {
        nlohmann::json line = nlohmann::json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin), text.begin() + static_cast<std::ptrdiff_t>(end), nullptr, false);
        if (line.is_object())
            lines.push_back(std::move(line));
    }
    m_offset += begin;
    return lines;
}

std::vector<std::string> linesAbout(const std::string& text, const std::vector<std::string>& files)
{
    std::vector<std::pair<std::int64_t, std::string>> found;
    for (const std::string& file : files) {
        std::ifstream in(file);
        const std::string name = std::filesystem::path(file).stem();
        for (std::string line; std::getline(in, line);) {
            if (line.find(text) == std::string::npos)
                continue;
            const nlohmann::json parsed = nlohmann::json::parse(line, nullptr, false);
            found.emplace_back(parsed.is_object() ? timeOf(parsed) : 0, name + ": " + line);
        }
    }
    std::stable_sort(found.begin(), found.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<std::string> lines;
    for (auto& [at, line] : found)
        lines.push_back(std::to_string(at) + ' ' + line);
    return lines;
}

} // namespace lanemoor::soak
