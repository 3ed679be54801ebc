#pragma once
/// \file
/// The Asio context behind the event loop, for the sources of this folder.

#include "lanemoor/aio/asio_event_loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>
#include <unordered_set>

namespace lanemoor::aio {

class AsioEventLoop::Impl {
public:
    explicit Impl(LoopClock loopTime)
        : clock(std::move(loopTime))
    {
    }

    /// \returns A time of the loop's clock on the clock of Asio's timers. These stand still while the machine is suspended: what
    /// became due meanwhile fires late by no more than was left of it, so that decisions ask `now`.
    [[nodiscard]] std::chrono::steady_clock::time_point onTimerClock(jobs::MonotonicInstant when) const { return std::chrono::steady_clock::now() + (when - clock()); }

    LoopClock clock;
    boost::asio::io_context context { 1 };
    std::unordered_map<jobs::TimerId, std::unique_ptr<boost::asio::steady_timer>> timers;
    std::unordered_set<jobs::TimerId> posted; ///< Timers that were due when they were made.
    jobs::TimerId lastTimer = 0;
    std::unique_ptr<boost::asio::signal_set> signals;
    std::function<void(int)> onSignal;

    void waitForSignal()
    {
        signals->async_wait([this](const boost::system::error_code& error, int number) {
            if (error)
                return;
            onSignal(number);
            waitForSignal();
        });
    }
};

} // namespace lanemoor::aio
