#pragma once
/// \file
/// Finds the process that opened a loopback connection.

#include <cstdint>
#include <sys/types.h>
#include <vector>

namespace lanemoor::soak {

/// Both ends have the address 127.0.0.1.
/// \param localPort Port of the accepting side. \param remotePort Port of the connecting side.
/// \param processes Candidates to search.
/// \returns The process that holds the connecting end, or -1 if none of `processes` does.
[[nodiscard]] pid_t connectingProcess(std::uint16_t localPort, std::uint16_t remotePort, const std::vector<pid_t>& processes);

} // namespace lanemoor::soak
