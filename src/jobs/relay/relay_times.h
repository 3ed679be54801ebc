#pragma once
/// \file
/// Times that both ends of a link between owner and relay go by.

#include "lanemoor/decisions/time.h"

namespace lanemoor::jobs {

/// Frames are gathered this long. A task takes 640 ms and more by the sheets; each frame costs both
/// ends a system call and a wake-up, some 30 us.
constexpr Millis callsGather { 2 };
constexpr Millis answersGather { 6 };
/// Between heartbeats of the owner; each is answered at once.
constexpr Millis heartbeatOfUsed { 300 };
constexpr Millis heartbeatOfIdle { 2'000 };
/// A link in use that says nothing for so long is lost: three heartbeats, and well below the second
/// after which a renewal is due.
constexpr Millis usedLinkSilence { 900 };
constexpr Millis idleLinkSilence { 5'000 };

} // namespace lanemoor::jobs
