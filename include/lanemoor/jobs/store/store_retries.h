#pragma once
/// \file
/// Steps that wait to call the store again.

#include "lanemoor/jobs/model/event_loop.h"

#include <functional>
#include <memory>

namespace lanemoor::jobs {

/// \brief Calls steps after a pause, or all of them at once when the store answers again.
class StoreRetries {
public:
    explicit StoreRetries(EventLoop& loop);
    ~StoreRetries();
    StoreRetries(const StoreRetries&) = delete;
    StoreRetries& operator=(const StoreRetries&) = delete;

    /// \brief Calls `step` once, after `pause` or within `runNow`, whichever comes first.
    void runLater(Millis pause, std::function<void()> step);

    /// \brief Calls all steps that wait, in the order in which they were added.
    void runNow();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
