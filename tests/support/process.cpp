#include "support/process.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace lanemoor::test {

namespace {

constexpr std::chrono::milliseconds exitCheckInterval { 10 };

std::array<int, 2> makePipe()
{
    std::array<int, 2> ends {};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0)
        throw std::runtime_error("cannot create a pipe");
    return ends;
}

} // namespace

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments)
{
    const std::array<int, 2> input = makePipe();
    const std::array<int, 2> output = makePipe();
    std::vector<char*> argv { const_cast<char*>(program.c_str()) };
    for (const std::string& argument : arguments)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    m_pid = ::fork();
    if (m_pid < 0)
        throw std::runtime_error("cannot fork a process");
    if (m_pid == 0) {
        ::dup2(input[0], STDIN_FILENO);
        ::dup2(output[1], STDOUT_FILENO);
        ::dup2(output[1], STDERR_FILENO);
        ::execv(program.c_str(), argv.data());
        ::_exit(127);
    }
    ::close(input[0]);
    ::close(output[1]);
    m_input = input[1];
    m_output = output[0];
    m_reader = std::thread([this] { readOutput(); });
}

ChildProcess::~ChildProcess()
{
    if (!m_exitCode) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
    ::close(m_input);
    m_reader.join();
    ::close(m_output);
}

void ChildProcess::readOutput()
{
    std::string partialLine;
    std::array<char, 4096> buffer {};
    ssize_t bytes = 0;
    while ((bytes = ::read(m_output, buffer.data(), buffer.size())) > 0) {
        partialLine.append(buffer.data(), static_cast<std::size_t>(bytes));
        for (std::size_t end = 0; (end = partialLine.find('\n')) != std::string::npos; partialLine.erase(0, end + 1)) {
            const std::lock_guard lock(m_mutex);
            m_lines.push_back(partialLine.substr(0, end));
            m_changed.notify_all();
        }
    }
    const std::lock_guard lock(m_mutex);
    m_ended = true;
    m_changed.notify_all();
}

std::optional<std::string> ChildProcess::waitForLine(const std::function<bool(const std::string&)>& accepts, std::chrono::seconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    std::unique_lock lock(m_mutex);
    std::size_t seen = 0;
    while (true) {
        for (; seen < m_lines.size(); ++seen) {
            if (accepts(m_lines[seen]))
                return m_lines[seen];
        }
        if (m_ended || m_changed.wait_until(lock, deadline) == std::cv_status::timeout)
            return std::nullopt;
    }
}

void ChildProcess::signal(int number) const
{
    if (!m_exitCode)
        ::kill(m_pid, number);
}

std::optional<int> ChildProcess::waitForExit(std::chrono::seconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!m_exitCode) {
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
            break;
        }
        if (std::chrono::steady_clock::now() >= deadline)
            break;
        std::this_thread::sleep_for(exitCheckInterval);
    }
    return m_exitCode;
}

std::vector<std::string> ChildProcess::lines() const
{
    const std::lock_guard lock(m_mutex);
    return m_lines;
}

} // namespace lanemoor::test
