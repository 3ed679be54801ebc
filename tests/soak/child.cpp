#include "child.h"

#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lanemoor::soak {

namespace {

constexpr int signalBase = 128; // Added to the signal number in an exit code, as shells do.
constexpr mode_t logMode = 0644;

/// Runs in the child, between fork and exec.
[[noreturn]] void execProgram(const std::string& program, char* const* arguments, const std::string& output, pid_t parent)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    // The parent may have ended before the call above.
    if (::getppid() != parent)
        ::_exit(1);
    const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    ::execv(program.c_str(), arguments);
    ::_exit(signalBase - 1);
}

} // namespace

Child::Child(const std::string& program, const std::vector<std::string>& arguments, const std::string& output)
{
    std::vector<char*> values { const_cast<char*>(program.c_str()) };
    for (const std::string& argument : arguments)
        values.push_back(const_cast<char*>(argument.c_str()));
    values.push_back(nullptr);
    const pid_t parent = ::getpid();
    m_pid = ::fork();
    if (m_pid < 0)
        throw std::runtime_error("can't start " + program);
    if (m_pid == 0)
        execProgram(program, values.data(), output, parent);
}

Child::~Child()
{
    if (exitCode())
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

void Child::signal(int number)
{
    if (!exitCode())
        ::kill(m_pid, number);
}

std::optional<int> Child::exitCode()
{
    int status = 0;
    if (!m_exitCode && ::waitpid(m_pid, &status, WNOHANG) == m_pid)
        m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : signalBase + WTERMSIG(status);
    return m_exitCode;
}

} // namespace lanemoor::soak
