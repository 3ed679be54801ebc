#pragma once
/// \file
/// The Asio context of the event loop, internal to this folder.

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

    /// \returns A time of the loop's clock, converted to the clock of Asio's timers. That clock stops while the machine is suspended:
    /// a timer that becomes due meanwhile fires late, by at most its remaining time. Callbacks that depend on the time therefore call `now`.
    [[nodiscard]] std::chrono::steady_clock::time_point toTimerClock(jobs::MonotonicInstant when) const { return std::chrono::steady_clock::now() + (when - clock()); }

    LoopClock clock;
    boost::asio::io_context context { 1 };
    std::unordered_map<jobs::TimerId, std::unique_ptr<boost::asio::steady_timer>> timers;
    std::unordered_set<jobs::TimerId> posted; ///< Timers that were due when they were created.
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
