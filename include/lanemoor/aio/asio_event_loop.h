#pragma once
/// \file
/// The event loop of a process, on Boost.Asio.

#include "lanemoor/jobs/model/event_loop.h"

#include <ctime>
#include <functional>
#include <memory>

namespace lanemoor::aio {

/// The system clock of event loops.
extern const clockid_t loopClock;

/// Reads a loop's clock.
using LoopClock = std::function<jobs::MonotonicInstant()>;

/// \returns The time on `loopClock`.
[[nodiscard]] jobs::MonotonicInstant readLoopClock();

/// \brief Runs all callbacks of a process on the thread that calls `run`.
class AsioEventLoop final : public jobs::EventLoop {
public:
    /// \param clock Monotonic; tests pass their own.
    explicit AsioEventLoop(LoopClock clock = readLoopClock);
    ~AsioEventLoop() override;
    AsioEventLoop(const AsioEventLoop&) = delete;
    AsioEventLoop& operator=(const AsioEventLoop&) = delete;

    /// \brief Runs callbacks until `stop` is called; may be called again afterwards.
    void run();

    void stop();

    /// \brief Calls `callback` with the number of each signal that arrives.
    /// \param signals Numbers, such as SIGTERM.
    void onSignals(std::initializer_list<int> signals, std::function<void(int)> callback);

    [[nodiscard]] jobs::MonotonicInstant now() const override;
    [[nodiscard]] Instant timeOfDay() const override;
    jobs::TimerId callAt(jobs::MonotonicInstant when, std::function<void()> callback) override;
    void cancel(jobs::TimerId timer) override;

    class Impl;

    /// \returns The Asio state, for the other classes of this folder.
    [[nodiscard]] Impl& impl() noexcept { return *m_impl; }

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor::aio
