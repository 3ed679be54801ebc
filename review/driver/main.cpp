/// \file
/// Plays one case of the review. Usage: review_driver CASE STANDINS LANEMOOR SCRATCH RECORD
/// TROUBLE=0 in the environment leaves the disruption out. Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run.

#include "cases.h"

#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <map>
#include <string_view>
#include <unistd.h>

using namespace review;

namespace {

constexpr int broken = 1;
constexpr int notRun = 2;

int play(int count, char** arguments)
{
    const std::map<std::string, std::function<bool(const Run&)>> cases { { "ended-runs-again", endedRunsAgain }, { "cancelled-job-runs", cancelledJobRuns }, { "count-omits-jobs", countOmitsJobs }, { "wave-without-machine", waveWithoutMachine }, { "stale-order", staleOrder } };
    constexpr int expected = 6;
    if (count != expected || !cases.contains(arguments[1]))
        return notRun;
    const char* trouble = std::getenv("TROUBLE");
    Record record(arguments[5]);
    const Run run { .folders = { .standins = arguments[2], .lanemoor = arguments[3], .scratch = arguments[4] }, .record = record, .hasTrouble = !trouble || std::string_view(trouble) != "0" };
    const bool held = cases.at(arguments[1])(run);
    record.write({ { "rule", held ? "held" : "broken" } });
    std::cout << (held ? "the rule held" : "the rule was broken") << std::endl;
    return held ? 0 : broken;
}

} // namespace

int main(int count, char** arguments)
{
    int code = notRun;
    try {
        code = play(count, arguments);
    } catch (const std::exception& error) {
        std::cerr << error.what() << std::endl;
    }
    // Threads of the proxies may still wait for their connections. All children are gone by now.
    ::_exit(code);
}
