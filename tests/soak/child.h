#pragma once
/// \file
/// Child processes of the soak, which are killed when the soak ends for any reason.

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lanemoor::soak {

/// \brief A child process that writes its output to a file. The kernel kills it when the thread that started it ends;
/// destruction kills and reaps it.
class Child {
public:
    /// \param program Path of the program. \param arguments Arguments without the program's name.
    /// \param output File to which stdout and stderr are appended.
    /// \throws std::runtime_error if the process can't be forked.
    Child(const std::string& program, const std::vector<std::string>& arguments, const std::string& output);
    ~Child();
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;

    /// \brief Sends a signal, unless the process has been reaped.
    void signal(int number);

    /// \returns The exit code, or 128 plus the number of the signal that ended the process; nullopt while the process runs.
    [[nodiscard]] std::optional<int> exitCode();

    [[nodiscard]] pid_t id() const noexcept { return m_pid; }

private:
    pid_t m_pid = -1;
    std::optional<int> m_exitCode;
};

} // namespace lanemoor::soak
