/// \file
/// Plays one case. Usage: third_cases CASE FOLDER, where FOLDER gets record.txt. TROUBLE=0 leaves the disruption out.

#include "cases.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <unistd.h>

using namespace lanemoor::review;

namespace {

const std::map<std::string, std::function<Verdict(const CaseInput&)>> cases {
    { "hopeless-jobs", playHopelessJobs },
    { "unanswered-upkeep", playUnansweredUpkeep },
    { "countless-tasks", playCountlessTasks },
    { "large-jobs", playLargeJobs },
    { "long-tasks", playLongTasks },
    { "lost-rack", playLostRack },
    { "restarted-worker", playRestartedWorker },
};

Verdict play(const std::string& name, const std::string& folder)
{
    const auto found = cases.find(name);
    const std::filesystem::path programs = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    const std::filesystem::path daemon = programs.parent_path().parent_path() / "lanemoor";
    if (found == cases.end() || !std::filesystem::exists(daemon))
        return Verdict::NotRun;
    const std::filesystem::path temporary = std::filesystem::temp_directory_path() / ("lanemoor-review-3-" + std::to_string(::getpid()));
    std::filesystem::create_directories(temporary);
    const char* trouble = std::getenv("TROUBLE");
    Record record(folder + "/record.txt");
    const CaseInput input { .options = { .folder = temporary.string(), .programs = programs.string(), .daemon = daemon.string() }, .record = record, .hasTrouble = !trouble || std::strcmp(trouble, "0") != 0 };
    record.line("case " + name + (input.hasTrouble ? "" : ", without the disruption"));
    const Verdict verdict = found->second(input);
    record.line(verdict == Verdict::Broken ? "the rule was broken" : verdict == Verdict::Held ? "the rule held"
                                                                                              : "the case could not run");
    std::filesystem::remove_all(temporary);
    return verdict;
}

} // namespace

int main(int count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (count != 3)
        return static_cast<int>(Verdict::NotRun);
    try {
        return static_cast<int>(play(arguments[1], arguments[2]));
    } catch (const std::exception& error) {
        std::cerr << error.what() << std::endl;
        return static_cast<int>(Verdict::NotRun);
    }
}
