#include "lanemoor/state/time_text.h"

#include <array>
#include <cstdio>
#include <ctime>

namespace lanemoor {

namespace {

constexpr std::array<std::string_view, 7> dayNames { "Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun" };
constexpr std::uint32_t minutesPerHour = 60;
constexpr std::uint32_t minutesPerDay = 24 * minutesPerHour;

std::optional<int> consumeNumber(std::string_view& text, std::size_t digits, int minValue, int maxValue)
{
    if (text.size() < digits)
        return std::nullopt;
    int number = 0;
    for (const char c : text.substr(0, digits)) {
        if (c < '0' || c > '9')
            return std::nullopt;
        number = number * 10 + (c - '0');
    }
    text.remove_prefix(digits);
    if (number < minValue || number > maxValue)
        return std::nullopt;
    return number;
}

bool consumeByte(std::string_view& text, char byte)
{
    if (text.empty() || text.front() != byte)
        return false;
    text.remove_prefix(1);
    return true;
}

/// Parses an optional fraction such as `.123` as milliseconds and ignores further digits.
std::optional<int> consumeFraction(std::string_view& text)
{
    if (!consumeByte(text, '.'))
        return 0;
    int milliseconds = 0;
    int weight = 100;
    bool hasDigits = false;
    while (!text.empty() && text.front() >= '0' && text.front() <= '9') {
        milliseconds += (text.front() - '0') * weight;
        weight /= 10;
        hasDigits = true;
        text.remove_prefix(1);
    }
    if (!hasDigits)
        return std::nullopt;
    return milliseconds;
}

} // namespace

std::string formatInstant(Instant instant)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(instant);
    const auto milliseconds = static_cast<int>((instant - seconds).count());
    const std::time_t time = seconds.time_since_epoch().count();
    std::tm parts {};
    gmtime_r(&time, &parts);
    char date[32];
    std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &parts);
    char text[48];
    std::snprintf(text, sizeof text, "%s.%03dZ", date, milliseconds);
    return text;
}

std::optional<Instant> parseInstant(std::string_view text)
{
    const std::optional<int> year = consumeNumber(text, 4, 1970, 9999);
    const bool dash1 = consumeByte(text, '-');
    const std::optional<int> month = consumeNumber(text, 2, 1, 12);
    const bool dash2 = consumeByte(text, '-');
    const std::optional<int> day = consumeNumber(text, 2, 1, 31);
    const bool separator = consumeByte(text, 'T') || consumeByte(text, 't');
    const std::optional<int> hour = consumeNumber(text, 2, 0, 23);
    const bool colon1 = consumeByte(text, ':');
    const std::optional<int> minute = consumeNumber(text, 2, 0, 59);
    const bool colon2 = consumeByte(text, ':');
    const std::optional<int> second = consumeNumber(text, 2, 0, 59);
    if (!year || !dash1 || !month || !dash2 || !day || !separator || !hour || !colon1 || !minute || !colon2 || !second)
        return std::nullopt;
    const std::optional<int> fraction = consumeFraction(text);
    const bool zone = consumeByte(text, 'Z') || consumeByte(text, 'z');
    if (!fraction || !zone || !text.empty())
        return std::nullopt;
    const std::chrono::year_month_day date { std::chrono::year(*year), std::chrono::month(static_cast<unsigned>(*month)), std::chrono::day(static_cast<unsigned>(*day)) };
    if (!date.ok())
        return std::nullopt;
    const Millis ofDay = std::chrono::hours(*hour) + std::chrono::minutes(*minute) + std::chrono::seconds(*second) + Millis(*fraction);
    return std::chrono::time_point_cast<Millis>(std::chrono::sys_days(date)) + ofDay;
}

std::optional<std::uint32_t> parseMinuteOfWeek(std::string_view text)
{
    for (std::size_t day = 0; day < dayNames.size(); ++day) {
        if (text.substr(0, dayNames[day].size()) != dayNames[day])
            continue;
        text.remove_prefix(dayNames[day].size());
        if (!consumeByte(text, ' '))
            return std::nullopt;
        const std::optional<int> hour = consumeNumber(text, 2, 0, 23);
        const bool colon = consumeByte(text, ':');
        const std::optional<int> minute = consumeNumber(text, 2, 0, 59);
        if (!hour || !colon || !minute || !text.empty())
            return std::nullopt;
        return static_cast<std::uint32_t>(day) * minutesPerDay + static_cast<std::uint32_t>(*hour) * minutesPerHour + static_cast<std::uint32_t>(*minute);
    }
    return std::nullopt;
}

std::string formatMinuteOfWeek(std::uint32_t minute)
{
    const std::uint32_t ofDay = minute % minutesPerDay;
    char text[16];
    std::snprintf(text, sizeof text, "%s %02u:%02u", dayNames[minute / minutesPerDay % dayNames.size()].data(), ofDay / minutesPerHour, ofDay % minutesPerHour);
    return text;
}

} // namespace lanemoor
