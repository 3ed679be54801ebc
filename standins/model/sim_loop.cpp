#include "sim_loop.h"

#include <algorithm>

namespace lanemoor::model {

namespace {

/// Unix time in ms at the epoch of the simulated clock.
constexpr std::int64_t simulationStart = 1'800'000'000'000;

} // namespace

TimerId SimClock::at(MonotonicInstant when, std::function<void()> callback)
{
    const TimerId id = ++m_lastTimer;
    const MonotonicInstant due = std::max(when, m_now);
    m_events.emplace(Key { due, id }, std::move(callback));
    m_times[id] = due;
    return id;
}

void SimClock::cancel(TimerId timer)
{
    const auto found = m_times.find(timer);
    if (found == m_times.end())
        return;
    m_events.erase({ found->second, timer });
    m_times.erase(found);
}

void SimClock::runUntil(MonotonicInstant until)
{
    while (!m_events.empty() && m_events.begin()->first.first <= until) {
        const auto event = m_events.extract(m_events.begin());
        m_now = event.key().first;
        m_times.erase(event.key().second);
        event.mapped()();
    }
    m_now = until;
}

SimProcess::SimProcess(SimClock& clock)
    : m_clock(clock)
    , m_state(std::make_shared<State>())
{
}

Instant SimProcess::timeOfDay() const
{
    return Instant(Millis(simulationStart) + std::chrono::duration_cast<Millis>(m_clock.now().time_since_epoch()));
}

TimerId SimProcess::callAt(MonotonicInstant when, std::function<void()> callback)
{
    return m_clock.at(when, [state = m_state, callback = std::move(callback)] {
        if (!state->alive)
            return;
        if (state->frozen)
            state->waiting.push_back(callback);
        else
            callback();
    });
}

void SimProcess::cancel(TimerId timer)
{
    m_clock.cancel(timer);
}

void SimProcess::kill()
{
    m_state->alive = false;
    m_state->waiting.clear();
}

void SimProcess::freeze()
{
    m_state->frozen = true;
}

void SimProcess::thaw()
{
    m_state->frozen = false;
    const std::vector<std::function<void()>> waiting = std::exchange(m_state->waiting, {});
    for (const std::function<void()>& callback : waiting)
        m_clock.at(m_clock.now(), [state = m_state, callback] {
            if (state->alive)
                callback();
        });
}

} // namespace lanemoor::model
