#include "support/small_cluster.h"

#include <stdexcept>

#ifndef LANEMOOR_BUILD_FOLDER
#error "the build folder is needed"
#endif

namespace lanemoor::test {

SmallCluster::SmallCluster(unsigned entries, unsigned workers, unsigned minimum, bool secure)
    : Cluster({ .buildFolder = LANEMOOR_BUILD_FOLDER, .secure = secure })
{
    for (unsigned i = 0; i < workers; ++i) {
        const std::string number = std::to_string(i);
        addWorker({ .id = "w" + number, .dataHall = "hall0", .rack = "rack" + number, .service = "counter" });
    }
    for (unsigned i = 0; i < entries; ++i)
        addEntry(std::string(1, static_cast<char>('a' + i)));
    const bool ready = configure("a", configuration(minimum)) && eventually([&] { return poolHas("counter", workers); });
    if (!ready)
        throw std::runtime_error("the cluster did not become ready");
}

std::string SmallCluster::configuration(unsigned minimum, const std::string& more)
{
    return R"({"pools":[{"name":"counter","selector":"service=counter","wanted":100,"budget":{"minimum":)" + std::to_string(minimum) + R"(,"survives":"rack"}}])" + more + "}";
}

} // namespace lanemoor::test
