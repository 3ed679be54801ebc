#pragma once
/// \file
/// Times that both ends of a link between owner and relay go by.

#include "lanemoor/decisions/time.h"

namespace lanemoor::jobs {

/// Frames are gathered this long. A task takes 640 ms and more by the sheets; each frame costs both
/// ends system calls and a wake-up, some 30 us: with 17 relays and 2 and 6 ms the owner spent a fifth of
/// half a core on frames.
constexpr Millis callsGather { 8 };
constexpr Millis answersGather { 10 };
/// Between heartbeats of the owner; each is answered at once.
constexpr Millis heartbeatOfUsed { 300 };
constexpr Millis heartbeatOfIdle { 2'000 };
/// A link in use that says nothing for so long is lost: three heartbeats, and well below the second
/// after which a renewal is due.
constexpr Millis usedLinkSilence { 900 };
constexpr Millis idleLinkSilence { 5'000 };

} // namespace lanemoor::jobs
