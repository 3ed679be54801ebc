#include "lanemoor/jobs/store/store_retries.h"

#include <cstdint>
#include <map>
#include <utility>

namespace lanemoor::jobs {

class StoreRetries::Impl : public std::enable_shared_from_this<StoreRetries::Impl> {
public:
    explicit Impl(EventLoop& loop)
        : m_loop(loop)
    {
    }

    void runLater(Millis pause, std::function<void()> step)
    {
        const std::uint64_t id = ++m_lastId;
        const TimerId timer = m_loop.callAt(m_loop.now() + pause, [self = weak_from_this(), id] {
            if (const auto impl = self.lock())
                impl->run(id);
        });
        m_steps.emplace(id, Step { timer, std::move(step) });
    }

    void runNow()
    {
        for (const auto& [id, step] : std::exchange(m_steps, {})) {
            m_loop.cancel(step.timer);
            step.run();
        }
    }

private:
    struct Step {
        TimerId timer = 0;
        std::function<void()> run;
    };

    void run(std::uint64_t id)
    {
        const auto step = m_steps.extract(id);
        if (!step.empty())
            step.mapped().run();
    }

    EventLoop& m_loop;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, Step> m_steps;
};

StoreRetries::StoreRetries(EventLoop& loop)
    : m_impl(std::make_shared<Impl>(loop))
{
}

StoreRetries::~StoreRetries() = default;

void StoreRetries::runLater(Millis pause, std::function<void()> step)
{
    m_impl->runLater(pause, std::move(step));
}

void StoreRetries::runNow()
{
    m_impl->runNow();
}

} // namespace lanemoor::jobs
