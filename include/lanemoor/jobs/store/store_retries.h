#pragma once
/// \file
/// Pending retries of calls to the store.

#include "lanemoor/jobs/model/event_loop.h"

#include <functional>
#include <memory>

namespace lanemoor::jobs {

/// \brief Runs steps after a pause, or all of them at once when the store becomes available again.
class StoreRetries {
public:
    explicit StoreRetries(EventLoop& loop);
    ~StoreRetries();
    StoreRetries(const StoreRetries&) = delete;
    StoreRetries& operator=(const StoreRetries&) = delete;

    /// \brief Runs `step` once, after `pause` or within `runNow`, whichever comes first.
    void runLater(Millis pause, std::function<void()> step);

    /// \brief Runs all pending steps, in the order in which they were added.
    void runNow();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
