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

/// \brief A child process with its recorded output lines. The destructor kills and reaps it.
class ChildProcess {
public:
    /// \param program Path of the binary.
    /// \param arguments Arguments without the program name.
    ///
    /// The child's standard input stays open until destruction.
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// \brief Waits for an output line, including lines already printed.
    /// \returns The first line for which `accepts` returns true; nothing if the output ends or
    /// `limit` passes.
    [[nodiscard]] std::optional<std::string> waitForLine(const std::function<bool(const std::string&)>& accepts, std::chrono::seconds limit = std::chrono::seconds(30));

    /// \brief Sends a signal to this child.
    void signal(int number) const;

    /// \returns The exit code, or 128 plus the signal number if a signal ended the child;
    /// nothing if it is still running after `limit`.
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
