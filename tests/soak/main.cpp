/// \file
/// Soak test of real processes under injected faults.
/// Usage: soak [--seed N] [--seconds S] [--processes P] [--keep DIR] [--programs DIR]
///
/// The programs `lanemoor` and `job_platform_standin` are taken from the build folder unless --programs names another.
/// Exits with 0 if no guarantee was violated, with 1 after a violation and with 2 if the processes can't be started.

#include "log_tail.h"
#include "soak_run.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <string>

using namespace lanemoor::soak;

namespace {

constexpr std::size_t maxLines = 200; // Log lines printed for each id of a breach.
constexpr std::size_t maxBreaches = 20; // Breaches printed in full; the summary counts all.
constexpr int exitBreached = 1;
constexpr int exitNotStarted = 2;

SoakOptions readOptions(int count, char** arguments)
{
    std::map<std::string, std::string> values;
    for (int i = 1; i + 1 < count; i += 2)
        values[arguments[i]] = arguments[i + 1];
    SoakOptions options { .programs = LANEMOOR_BUILD_FOLDER };
    if (values.contains("--seed"))
        options.seed = std::strtoull(values["--seed"].c_str(), nullptr, 10);
    if (values.contains("--seconds"))
        options.seconds = static_cast<unsigned>(std::strtoul(values["--seconds"].c_str(), nullptr, 10));
    if (values.contains("--processes"))
        options.processes = static_cast<unsigned>(std::strtoul(values["--processes"].c_str(), nullptr, 10));
    options.keep = values["--keep"];
    if (values.contains("--programs"))
        options.programs = values["--programs"];
    return options;
}

void print(const Breach& breach, std::uint64_t seed, const std::vector<std::string>& logs)
{
    std::cout << "BREACH of " << breach.guarantee << " at " << breach.at << " with seed " << seed << ": " << breach.detail << '\n';
    for (const std::string& id : breach.ids) {
        std::cout << "  lines about " << id << ":\n";
        const std::vector<std::string> lines = linesAbout(id, logs);
        for (std::size_t i = 0; i < std::min(lines.size(), maxLines); ++i)
            std::cout << "    " << lines[i] << '\n';
    }
}

} // namespace

int main(int count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const SoakOptions options = readOptions(count, arguments);
        const SoakResult result = runSoak(options);
        for (std::size_t i = 0; i < std::min(result.breaches.size(), maxBreaches); ++i)
            print(result.breaches[i], options.seed, result.logs);
        if (!result.folder.empty())
            std::cout << "logs: " << result.folder << '\n';
        std::cout << result.summary << std::endl;
        return result.breaches.empty() ? EXIT_SUCCESS : exitBreached;
    } catch (const std::exception& error) {
        std::cerr << error.what() << std::endl;
        return exitNotStarted;
    }
}
