#pragma once
/// \file
/// Proxies on loopback, each with one thread for each connection and direction.

#include "http.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/// \brief Forwards connections, and cuts the path on demand.
///
/// A cut is silent. What was sent on a connection that was open before arrives once the cut is over, as TCP sends it again, unless its sender has
/// reset the connection. A connection that is opened during the cut never reaches the server.
class CutProxy {
public:
    /// \param trigger The path is cut when a request with this text arrives, before the request is forwarded; empty: never.
    explicit CutProxy(const std::string& target, const std::string& trigger = {});

    /// \brief A further path that is cut together with another one.
    CutProxy(const std::string& target, const CutProxy& together);

    [[nodiscard]] const std::string& address() const noexcept { return m_address; }
    void setCut(bool isCut) { *m_isCut = isCut; }
    [[nodiscard]] bool isCut() const { return *m_isCut; }
    void arm() { *m_isArmed = true; }

private:
    std::shared_ptr<std::atomic<bool>> m_isCut = std::make_shared<std::atomic<bool>>(false);
    std::shared_ptr<std::atomic<bool>> m_isArmed = std::make_shared<std::atomic<bool>>(false);
    std::string m_address;
};

/// \brief Forwards the calls to a worker, and lists at most 500 ends at once, as the platform's workers do.
///
/// While it is unhealthy, it answers each start with 503 and doesn't forward it.
class WorkerProxy {
public:
    explicit WorkerProxy(const std::string& target);

    [[nodiscard]] const std::string& address() const noexcept { return m_address; }
    void setUnhealthy(bool isUnhealthy) { *m_isUnhealthy = isUnhealthy; }
    [[nodiscard]] unsigned refused() const { return *m_refused; }

private:
    std::shared_ptr<std::atomic<bool>> m_isUnhealthy = std::make_shared<std::atomic<bool>>(false);
    std::shared_ptr<std::atomic<unsigned>> m_refused = std::make_shared<std::atomic<unsigned>>(0);
    std::string m_address;
};

/// An order as it reached the fleet interface.
struct FleetOrder {
    std::string path;
    std::string machine;
    std::string holder;
    std::int64_t fence = 0;
    std::int64_t at = 0; ///< Unix ms.
};

/// \brief Forwards the calls to the fleet interface and notes the orders. Leaves one machine out of the lists until it is there.
class FleetProxy {
public:
    explicit FleetProxy(const std::string& target, const std::string& machine = {});

    [[nodiscard]] const std::string& address() const noexcept { return m_address; }
    void setThere(bool isThere) { *m_isThere = isThere; }
    [[nodiscard]] unsigned lists() const { return *m_lists; }
    [[nodiscard]] std::vector<FleetOrder> orders() const;

private:
    std::shared_ptr<std::atomic<bool>> m_isThere = std::make_shared<std::atomic<bool>>(false);
    std::shared_ptr<std::atomic<unsigned>> m_lists = std::make_shared<std::atomic<unsigned>>(0);
    struct Orders {
        std::mutex mutex;
        std::vector<FleetOrder> list;
    };
    std::shared_ptr<Orders> m_orders = std::make_shared<Orders>();
    std::string m_address;
};

} // namespace review
