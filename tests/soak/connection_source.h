#pragma once
/// \file
/// Finds out which process opened a connection on loopback.

#include <cstdint>
#include <sys/types.h>
#include <vector>

namespace lanemoor::soak {

/// \param localPort Of the side that accepted; \param remotePort Of the side that connected.
/// \param processes Those that are looked at.
/// Both ends have the address 127.0.0.1.
/// \returns The process that holds the connecting end, or -1 if it is none of `processes`.
[[nodiscard]] pid_t connectingProcess(std::uint16_t localPort, std::uint16_t remotePort, const std::vector<pid_t>& processes);

} // namespace lanemoor::soak
