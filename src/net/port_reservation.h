#pragma once
/// \file
/// A port chosen by the kernel, for libraries that can't tell which one they got.

#include <cstdint>
#include <string>

namespace lanemoor {

/// \brief Holds a port, bound but not listening, so that only a listener with
/// SO_REUSEADDR in this process's care takes it. Released on destruction.
class PortReservation {
public:
    /// \throws std::system_error if no port can be had.
    explicit PortReservation(const std::string& ip);
    ~PortReservation();
    PortReservation(const PortReservation&) = delete;
    PortReservation& operator=(const PortReservation&) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }

private:
    int m_descriptor;
    std::uint16_t m_port = 0;
};

} // namespace lanemoor
