#include "support/hostile_crowd.h"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <list>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace lanemoor::test {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int pollTimeoutMs = 10;
constexpr std::chrono::seconds quietTime { 2 };
constexpr std::size_t blockBytes = 65'536;
constexpr int backlog = 1'024;

sockaddr_in socketAddress(const HttpAddress& address)
{
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    return target;
}

int openSocket()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0)
        throw std::runtime_error("cannot open a socket");
    return descriptor;
}

/// \returns Repetitions of `text`, about as long as one write.
std::string blockOf(const std::string& text)
{
    std::string block = text;
    while (!text.empty() && block.size() + text.size() <= blockBytes)
        block += text;
    return block;
}

/// A script and what one connection has sent of it.
class ScriptedConnection {
public:
    ScriptedConnection(int descriptor, std::shared_ptr<const HostileScript> script, std::shared_ptr<const std::string> block)
        : m_descriptor(descriptor)
        , m_script(std::move(script))
        , m_block(std::move(block))
    {
    }

    ~ScriptedConnection()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
    }

    ScriptedConnection(const ScriptedConnection&) = delete;
    ScriptedConnection& operator=(const ScriptedConnection&) = delete;

    [[nodiscard]] bool isOpen() const { return m_descriptor >= 0; }
    [[nodiscard]] bool hasMore() const { return isOpen() && (m_openingSent < m_script->opening.size() || (!m_block->empty() && m_repeatedSent < m_script->maxBytes)); }
    [[nodiscard]] pollfd pollEntry(bool maySend) const
    {
        return { m_descriptor, static_cast<short>((maySend && hasMore() ? POLLOUT : 0) | (m_script->readsAnswers ? POLLIN : 0) | POLLRDHUP), 0 };
    }

    /// \returns The number of bytes sent.
    std::uint64_t handle(short events)
    {
        if ((events & POLLIN) != 0 && m_script->readsAnswers)
            discardAnswers();
        const std::uint64_t sent = isOpen() && (events & POLLOUT) != 0 ? send() : 0;
        if (isOpen() && (events & (POLLERR | POLLHUP | POLLRDHUP)) != 0 && sent == 0)
            close();
        return sent;
    }

    /// \brief Starts over on a new connection, if the script allows for it.
    void reconnect(const HttpAddress& address)
    {
        if (m_reconnects++ >= m_script->reconnects)
            return;
        m_descriptor = openSocket();
        m_openingSent = 0;
        const sockaddr_in target = socketAddress(address);
        static_cast<void>(::connect(m_descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target));
    }

private:
    void close()
    {
        ::close(m_descriptor);
        m_descriptor = -1;
    }

    void discardAnswers()
    {
        std::array<char, blockBytes> buffer {};
        if (::recv(m_descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT) == 0)
            close();
    }

    std::uint64_t send()
    {
        const bool isOpening = m_openingSent < m_script->opening.size();
        const std::string_view bytes = isOpening ? std::string_view(m_script->opening).substr(m_openingSent) : std::string_view(*m_block).substr(m_repeatedSent % m_block->size());
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && errno != EAGAIN && errno != EINTR && errno != ENOTCONN)
            close();
        if (sent <= 0)
            return 0;
        if (isOpening)
            m_openingSent += static_cast<std::size_t>(sent);
        else
            m_repeatedSent += static_cast<std::uint64_t>(sent);
        return static_cast<std::uint64_t>(sent);
    }

    int m_descriptor;
    std::shared_ptr<const HostileScript> m_script;
    std::shared_ptr<const std::string> m_block;
    std::size_t m_openingSent = 0;
    std::uint64_t m_repeatedSent = 0;
    unsigned m_reconnects = 0;
};

/// \returns The poll results of `connections`, in their order, after the entry of `listener` if that is not negative.
std::vector<pollfd> pollAll(const std::list<ScriptedConnection>& connections, bool maySend, int listener = -1)
{
    std::vector<pollfd> entries;
    if (listener >= 0)
        entries.push_back({ listener, POLLIN, 0 });
    for (const ScriptedConnection& connection : connections)
        entries.push_back(connection.pollEntry(maySend));
    ::poll(entries.data(), entries.size(), pollTimeoutMs);
    return entries;
}

} // namespace

class HostileCrowd::Impl {
public:
    explicit Impl(std::function<bool()> mayContinue)
        : m_mayContinue(std::move(mayContinue))
    {
    }

    ~Impl()
    {
        m_stopping = true;
        if (m_thread.joinable())
            m_thread.join();
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void add(const HttpAddress& address, const HostileScript& script, unsigned count)
    {
        const auto shared = std::make_shared<const HostileScript>(script);
        const auto block = std::make_shared<const std::string>(blockOf(script.repeated));
        const sockaddr_in target = socketAddress(address);
        for (unsigned i = 0; i < count; ++i) {
            const int descriptor = openSocket();
            static_cast<void>(::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target));
            m_connections.emplace_back(descriptor, shared, block);
            m_addresses.push_back(address);
        }
    }

    void start()
    {
        m_thread = std::thread([this] { run(); });
    }

    void waitUntilQuiet()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_isQuiet; });
    }

private:
    void run()
    {
        bool maySend = true;
        Clock::time_point quietAt = Clock::now() + quietTime;
        while (!m_stopping) {
            const std::vector<pollfd> entries = pollAll(m_connections, maySend);
            std::size_t index = 0;
            for (ScriptedConnection& connection : m_connections) {
                if (connection.handle(entries[index].revents) > 0)
                    quietAt = Clock::now() + quietTime;
                if (!connection.isOpen() && maySend)
                    connection.reconnect(m_addresses[index]);
                ++index;
            }
            maySend = maySend && m_mayContinue();
            if (!maySend || Clock::now() >= quietAt)
                becomeQuiet();
        }
    }

    void becomeQuiet()
    {
        const std::lock_guard lock(m_mutex);
        m_isQuiet = true;
        m_changed.notify_all();
    }

    std::function<bool()> m_mayContinue;
    std::list<ScriptedConnection> m_connections;
    std::vector<HttpAddress> m_addresses; ///< Of `m_connections`.
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isQuiet = false;
    std::thread m_thread;
};

HostileCrowd::HostileCrowd(std::function<bool()> mayContinue)
    : m_impl(std::make_unique<Impl>(std::move(mayContinue)))
{
}

HostileCrowd::~HostileCrowd() = default;

void HostileCrowd::add(const HttpAddress& address, const HostileScript& script, unsigned count)
{
    m_impl->add(address, script, count);
}

void HostileCrowd::start()
{
    m_impl->start();
}

void HostileCrowd::waitUntilQuiet()
{
    m_impl->waitUntilQuiet();
}

class HostileServer::Impl {
public:
    Impl(const HostileScript& script, std::function<bool()> mayContinue)
        : m_script(std::make_shared<const HostileScript>(script))
        , m_block(std::make_shared<const std::string>(blockOf(script.repeated)))
        , m_mayContinue(std::move(mayContinue))
        , m_listener(openSocket())
    {
        sockaddr_in local = socketAddress({ "127.0.0.1", 0 });
        socklen_t length = sizeof local;
        if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0 || ::listen(m_listener, backlog) != 0 || ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&local), &length) != 0)
            throw std::runtime_error("cannot listen");
        port = ntohs(local.sin_port);
        m_thread = std::thread([this] { run(); });
    }

    ~Impl()
    {
        m_stopping = true;
        m_thread.join();
        ::close(m_listener);
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    std::uint16_t port = 0;
    std::atomic<std::uint64_t> sentBytes = 0;

private:
    void run()
    {
        while (!m_stopping) {
            const std::vector<pollfd> entries = pollAll(m_connections, m_mayContinue(), m_listener);
            std::size_t index = 1;
            for (ScriptedConnection& connection : m_connections)
                sentBytes += connection.handle(entries[index++].revents);
            m_connections.remove_if([](const ScriptedConnection& connection) { return !connection.isOpen(); });
            for (int accepted = 0; (accepted = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0;)
                m_connections.emplace_back(accepted, m_script, m_block);
        }
    }

    std::shared_ptr<const HostileScript> m_script;
    std::shared_ptr<const std::string> m_block;
    std::function<bool()> m_mayContinue;
    int m_listener;
    std::list<ScriptedConnection> m_connections;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

HostileServer::HostileServer(const HostileScript& script, std::function<bool()> mayContinue)
    : m_impl(std::make_unique<Impl>(script, std::move(mayContinue)))
{
}

HostileServer::~HostileServer() = default;

std::string HostileServer::address() const
{
    return "127.0.0.1:" + std::to_string(m_impl->port);
}

std::uint64_t HostileServer::sentBytes() const
{
    return m_impl->sentBytes;
}

ProcessMemory memoryOf(pid_t process)
{
    constexpr std::uint64_t kilobytesPerMegabyte = 1'024;
    ProcessMemory memory;
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string name;
    while (status >> name) {
        std::uint64_t value = 0;
        if (name == "VmRSS:" && status >> value)
            memory.residentMb = value / kilobytesPerMegabyte;
        else if (name == "VmHWM:" && status >> value)
            memory.peakMb = value / kilobytesPerMegabyte;
    }
    return memory;
}

std::size_t descriptorsOf(pid_t process)
{
    std::error_code gone;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator entry("/proc/" + std::to_string(process) + "/fd", gone), end; !gone && entry != end; entry.increment(gone))
        ++count;
    return count;
}

} // namespace lanemoor::test
