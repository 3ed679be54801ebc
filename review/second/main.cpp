/// \file
/// Runs one case: `review_2 CASE FOLDER SCRATCH PROGRAM`. With TROUBLE=0 in the environment the disruption is left out.
/// Exit code 0: the rule held, 1: it was broken, 2: the case could not run.

#include "cases.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

using namespace review;

int main(int count, char** arguments)
{
    constexpr int wanted = 5;
    if (count != wanted) {
        std::cerr << "usage: review_2 CASE FOLDER SCRATCH PROGRAM" << std::endl;
        return static_cast<int>(Outcome::NotRun);
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    const Environment environment { .folder = arguments[2], .scratch = arguments[3], .program = arguments[4], .isTroubled = !trouble || std::string(trouble) != "0" };
    try {
        const auto found = cases().find(arguments[1]);
        if (found == cases().end())
            throw std::runtime_error("no such case");
        Record record(environment.folder + "/record.txt");
        const Outcome outcome = found->second(environment, record);
        const char* names[] = { "held", "broken", "not run" };
        record.write("outcome", { { "case", arguments[1] }, { "trouble", environment.isTroubled }, { "outcome", names[static_cast<int>(outcome)] } });
        std::cout << arguments[1] << ": " << names[static_cast<int>(outcome)] << std::endl;
        return static_cast<int>(outcome);
    } catch (const std::exception& error) {
        std::cerr << error.what() << std::endl;
        return static_cast<int>(Outcome::NotRun);
    }
}
