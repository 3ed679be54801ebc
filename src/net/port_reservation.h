#pragma once
/// \file
/// A port chosen by the kernel, for libraries that don't report which one they bound.

#include <cstdint>
#include <string>

namespace lanemoor {

/// \brief Reserves a port with a bound socket that doesn't listen, so that only a listener with
/// SO_REUSEADDR can bind it. The destructor releases the port.
class PortReservation {
public:
    /// \throws std::system_error if no port can be bound.
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
