#pragma once
/// \file
/// A simulated clock, and event loops of processes that can be killed and frozen.

#include "lanemoor/jobs/model/event_loop.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace lanemoor::model {

using jobs::MonotonicInstant;
using jobs::TimerId;

/// \brief A discrete-event clock, shared by all processes of a run.
class SimClock {
public:
    [[nodiscard]] MonotonicInstant now() const noexcept { return m_now; }

    /// \brief Calls `callback` at `when`. Events at the same time run in the order of their creation.
    TimerId at(MonotonicInstant when, std::function<void()> callback);

    TimerId after(Millis pause, std::function<void()> callback) { return at(m_now + pause, std::move(callback)); }

    void cancel(TimerId timer);

    /// \brief Runs all events up to `until` and advances the clock to it.
    void runUntil(MonotonicInstant until);

    void runFor(Millis time) { runUntil(m_now + time); }

private:
    using Key = std::pair<MonotonicInstant, TimerId>;

    MonotonicInstant m_now { std::chrono::seconds(1'000) };
    std::map<Key, std::function<void()>> m_events;
    std::map<TimerId, MonotonicInstant> m_times;
    TimerId m_lastTimer = 0;
};

/// \brief The event loop of one process. After `kill` no callback runs; while frozen, callbacks are deferred.
class SimProcess final : public jobs::EventLoop {
public:
    explicit SimProcess(SimClock& clock);

    [[nodiscard]] MonotonicInstant now() const override { return m_clock.now(); }
    [[nodiscard]] Instant timeOfDay() const override;
    TimerId callAt(MonotonicInstant when, std::function<void()> callback) override;
    void cancel(TimerId timer) override;

    void kill();
    void freeze();
    void thaw();

    /// \returns `callback` bound to this process: dropped after `kill`, deferred while frozen.
    template <typename Result>
    [[nodiscard]] std::function<void(Result)> deliver(std::function<void(Result)> callback)
    {
        return [state = m_state, callback = std::move(callback)](Result result) {
            if (!state->alive)
                return;
            if (!state->frozen) {
                callback(std::move(result));
                return;
            }
            state->waiting.push_back([callback, result = std::move(result)] { callback(result); });
        };
    }

private:
    struct State {
        bool alive = true;
        bool frozen = false;
        std::vector<std::function<void()>> waiting;
    };

    SimClock& m_clock;
    std::shared_ptr<State> m_state;
};

} // namespace lanemoor::model
