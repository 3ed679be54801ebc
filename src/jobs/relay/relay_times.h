#pragma once
/// \file
/// Timing of the links between owner and relays, shared by both ends.

#include "lanemoor/decisions/time.h"

namespace lanemoor::jobs {

/// Delay before a frame is sent, to batch messages. Each frame costs both ends system calls and a wake-up, about 30 us:
/// with 17 relays and delays of 2 and 6 ms the owner spent a fifth of half a core on frames. Tasks run for 640 ms and more.
constexpr Millis callBatchDelay { 8 };
constexpr Millis answerBatchDelay { 10 };
/// Intervals between heartbeats of the owner, on links in use and on idle ones. The relay answers each at once.
constexpr Millis activeHeartbeatInterval { 300 };
constexpr Millis idleHeartbeatInterval { 2'000 };
/// A link without frames for this long is considered broken. On a link in use this is three heartbeats, well below the second after
/// which a renewal is due.
constexpr Millis activeLinkTimeout { 900 };
constexpr Millis idleLinkTimeout { 5'000 };

} // namespace lanemoor::jobs
