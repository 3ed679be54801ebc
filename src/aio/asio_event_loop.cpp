#include "asio_event_loop_impl.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

namespace lanemoor::aio {

/// Leases keep running while a machine is suspended. With a clock that stops meanwhile, an owner would act after the resume on a
/// lease that another instance has taken.
const clockid_t loopClock = CLOCK_BOOTTIME;

jobs::MonotonicInstant readLoopClock()
{
    timespec time {};
    clock_gettime(loopClock, &time);
    const auto passed = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return jobs::MonotonicInstant(std::chrono::duration_cast<std::chrono::microseconds>(passed));
}

AsioEventLoop::AsioEventLoop(LoopClock clock)
    : m_impl(std::make_unique<Impl>(std::move(clock)))
{
}

AsioEventLoop::~AsioEventLoop() = default;

void AsioEventLoop::run()
{
    const auto work = boost::asio::make_work_guard(m_impl->context);
    m_impl->context.restart();
    m_impl->context.run();
}

void AsioEventLoop::stop()
{
    m_impl->context.stop();
}

void AsioEventLoop::onSignals(std::initializer_list<int> signals, std::function<void(int)> callback)
{
    m_impl->signals = std::make_unique<boost::asio::signal_set>(m_impl->context);
    for (const int number : signals)
        m_impl->signals->add(number);
    m_impl->onSignal = std::move(callback);
    m_impl->waitForSignal();
}

jobs::MonotonicInstant AsioEventLoop::now() const
{
    return m_impl->clock();
}

Instant AsioEventLoop::timeOfDay() const
{
    return currentInstant();
}

jobs::TimerId AsioEventLoop::callAt(jobs::MonotonicInstant when, std::function<void()> callback)
{
    const jobs::TimerId id = ++m_impl->lastTimer;
    if (when <= now()) {
        m_impl->posted.insert(id);
        boost::asio::post(m_impl->context, [impl = m_impl.get(), id, callback = std::move(callback)] {
            if (impl->posted.erase(id) > 0)
                callback();
        });
        return id;
    }
    auto& timer = m_impl->timers[id];
    timer = std::make_unique<boost::asio::steady_timer>(m_impl->context, m_impl->toTimerClock(when));
    timer->async_wait([impl = m_impl.get(), id, callback = std::move(callback)](const boost::system::error_code& error) {
        if (error || impl->timers.erase(id) == 0)
            return;
        callback();
    });
    return id;
}

void AsioEventLoop::cancel(jobs::TimerId timer)
{
    m_impl->posted.erase(timer);
    m_impl->timers.erase(timer);
}

} // namespace lanemoor::aio
