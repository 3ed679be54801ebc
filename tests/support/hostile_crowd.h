#pragma once
/// \file
/// Many raw connections at once that break the rules of HTTP, as clients and as servers, and what they cost a process.

#include "lanemoor/net/http_message.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>

namespace lanemoor::test {

/// What one hostile connection sends. Nothing that the peer sends is read, unless `readsAnswers` is set.
struct HostileScript {
    std::string opening; ///< Sent once.
    std::string repeated {}; ///< Sent again and again after `opening`; empty: the connection stays open and sends nothing more.
    std::uint64_t maxBytes = 0; ///< Of `repeated`, over all attempts of the connection.
    unsigned reconnects = 0; ///< New attempts after the peer has closed the connection.
    bool readsAnswers = false;
};

/// \brief Clients that run their scripts at the same time, on a thread of their own.
class HostileCrowd {
public:
    /// \param mayContinue Called every few milliseconds; the crowd stops sending once it returns false.
    explicit HostileCrowd(std::function<bool()> mayContinue);
    /// \brief Closes all connections.
    ~HostileCrowd();
    HostileCrowd(const HostileCrowd&) = delete;
    HostileCrowd& operator=(const HostileCrowd&) = delete;

    /// \brief Adds `count` clients that connect to `address`; call before `start`.
    void add(const HttpAddress& address, const HostileScript& script, unsigned count);

    void start();

    /// \brief Waits until no client has been able to send for two seconds, or `mayContinue` has returned false. The connections stay open.
    void waitUntilQuiet();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// \brief A server on loopback that runs a script on each connection that it accepts.
class HostileServer {
public:
    HostileServer(const HostileScript& script, std::function<bool()> mayContinue);
    ~HostileServer();
    HostileServer(const HostileServer&) = delete;
    HostileServer& operator=(const HostileServer&) = delete;

    /// \returns `IP:PORT`.
    [[nodiscard]] std::string address() const;

    /// \returns The number of bytes sent so far.
    [[nodiscard]] std::uint64_t sentBytes() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Memory of a process, from `/proc`.
struct ProcessMemory {
    std::uint64_t residentMb = 0;
    std::uint64_t peakMb = 0;
};

/// \returns Zeros if there is no such process.
[[nodiscard]] ProcessMemory memoryOf(pid_t process);

/// \returns The number of open descriptors of a process.
[[nodiscard]] std::size_t descriptorsOf(pid_t process);

} // namespace lanemoor::test
