#pragma once
/// \file
/// Reads the counts of pending jobs that the owner publishes.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/forward_declarations.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lanemoor::jobs {

/// \brief Reads the owner's counts on demand; each read is cached for 500 ms.
///
/// \code
/// reader.pending("work", [](std::optional<std::uint64_t> count) { ... }); // Nothing: no recent count.
/// \endcode
class QueueCountsReader {
public:
    QueueCountsReader(EventLoop& loop, KeyValueStore& store);
    ~QueueCountsReader();
    QueueCountsReader(const QueueCountsReader&) = delete;
    QueueCountsReader& operator=(const QueueCountsReader&) = delete;

    /// \param done Called with the count, or with nothing if the owner has written none within `maxCountAge`. May be called before this
    /// function returns.
    void pending(const std::string& queue, std::function<void(std::optional<std::uint64_t>)> done);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
