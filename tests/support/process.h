#pragma once
/// \file
/// Child processes for tests and the demonstration.

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace lanemoor::test {

/// \brief A child process whose output lines are kept. Destruction kills and reaps it.
class ChildProcess {
public:
    /// \param program Path; \param arguments Without the program's name.
    /// The child's standard input stays open until destruction.
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// \returns The first line, of those before and to come, that `accepts` accepts; or
    /// nothing if the output ends or `limit` passes.
    [[nodiscard]] std::optional<std::string> waitForLine(const std::function<bool(const std::string&)>& accepts, std::chrono::seconds limit = std::chrono::seconds(30));

    /// \brief Sends a signal to this child.
    void signal(int number) const;

    /// \returns The exit code, or nothing if it is still running after `limit`. A child
    /// ended by a signal gives 128 plus its number.
    [[nodiscard]] std::optional<int> waitForExit(std::chrono::seconds limit = std::chrono::seconds(30));

    [[nodiscard]] std::vector<std::string> lines() const;

    [[nodiscard]] pid_t id() const noexcept { return m_pid; }

private:
    void readOutput();

    pid_t m_pid = -1;
    int m_input = -1;
    int m_output = -1;
    std::optional<int> m_exitCode;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_lines;
    bool m_ended = false;
    std::thread m_reader;
};

} // namespace lanemoor::test
