#pragma once
/// \file
/// The cluster of most process tests: one pool, with each worker in its own rack.

#include "support/cluster.h"

#include <string>

namespace lanemoor::test {

/// \brief Starts entries `a`, `b`, … and workers `w0`, `w1`, … and waits until all are in service.
class SmallCluster : public Cluster {
public:
    explicit SmallCluster(unsigned entries, unsigned workers, unsigned minimum = 2, bool secure = false);

    /// \returns A configuration with the pool `counter` and the given budget minimum.
    [[nodiscard]] static std::string configuration(unsigned minimum, const std::string& more = {});

    [[nodiscard]] const HttpAddress& front(const std::string& name) { return entry(name).front; }
};

} // namespace lanemoor::test
