#include "proxies.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <functional>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

using Flag = std::shared_ptr<std::atomic<bool>>;

constexpr Millis pollInterval { 2 };
constexpr std::size_t chunkBytes = 65'536;
constexpr std::size_t maxEndsAtOnce = 500; // By PROTOCOL.md.

/// Starts a thread that passes each accepted connection to `handle`. \returns The address.
std::string serve(std::function<void(int)> handle)
{
    std::uint16_t port = 0;
    const int listener = listenLocally(port);
    std::thread([listener, handle = std::move(handle)] {
        while (true) {
            const int client = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (client >= 0)
                handle(client);
        }
    }).detach();
    return "127.0.0.1:" + std::to_string(port);
}

/// \returns Whether the peer has reset the connection. What a cut held up is lost then.
bool wasReset(int socket)
{
    char byte = 0;
    return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == ECONNRESET;
}

/// Sees each piece of data before it is forwarded.
using Watcher = std::function<void(const std::string&)>;

/// Copies bytes, and holds them while the path is cut.
void pump(int from, int to, const Flag& isCut, const Watcher& watch)
{
    std::array<char, chunkBytes> chunk {};
    while (true) {
        const ssize_t count = ::recv(from, chunk.data(), chunk.size(), 0);
        const std::string piece(chunk.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        watch(piece);
        bool wasHeld = false;
        while (*isCut) {
            wasHeld = true;
            std::this_thread::sleep_for(pollInterval);
        }
        if (wasHeld && wasReset(from))
            break;
        if (count <= 0 || !sendAll(to, piece))
            break;
    }
    ::shutdown(to, SHUT_WR);
}

/// Reads a connection that never reached the server until its client closes it.
void discard(int client)
{
    std::array<char, chunkBytes> chunk {};
    while (::recv(client, chunk.data(), chunk.size(), 0) > 0) { }
    ::close(client);
}

void forward(int client, const std::string& target, const Flag& isCut, const Watcher& watch)
{
    const int server = connectTo(target);
    if (server < 0) {
        ::close(client);
        return;
    }
    std::thread([client, server, isCut, watch] {
        std::thread back([client, server, isCut] { pump(server, client, isCut, [](const std::string&) {}); });
        pump(client, server, isCut, watch);
        back.join();
        ::close(client);
        ::close(server);
    }).detach();
}

/// \returns The answer with its body changed by `edit`, which returns whether it changed anything.
std::string edited(const std::string& answer, const std::function<bool(nlohmann::json&)>& edit)
{
    const std::size_t end = answer.find("\r\n\r\n");
    nlohmann::json body = end == std::string::npos ? nlohmann::json() : nlohmann::json::parse(answer.substr(end + 4), nullptr, false);
    if (!body.is_object() || !edit(body))
        return answer;
    const std::string text = body.dump();
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

/// Leaves in a list of ends what a worker lists at once.
bool cutEnds(nlohmann::json& body)
{
    if (!body.contains("ended") || body["ended"].size() <= maxEndsAtOnce)
        return false;
    nlohmann::json& ended = body["ended"];
    ended.erase(ended.begin() + maxEndsAtOnce, ended.end());
    return true;
}

bool leaveOut(nlohmann::json& body, const std::string& machine)
{
    if (!body.contains("machines"))
        return false;
    nlohmann::json& machines = body["machines"];
    const auto found = std::find_if(machines.begin(), machines.end(), [&](const nlohmann::json& each) { return each.value("machine", "") == machine; });
    if (found == machines.end())
        return false;
    machines.erase(found);
    return true;
}

std::string headerOf(const std::string& request, const std::string& name)
{
    const std::size_t field = request.find("\r\n" + name + ": ");
    if (field == std::string::npos)
        return {};
    const std::size_t begin = field + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

FleetOrder orderIn(const std::string& request)
{
    const nlohmann::json body = nlohmann::json::parse(request.substr(request.find("\r\n\r\n") + 4), nullptr, false);
    const std::size_t space = request.find(' ');
    return { .path = request.substr(space + 1, request.find(' ', space + 1) - space - 1), .machine = body.is_object() ? body.value("machine", "") : "", .holder = headerOf(request, "Lease-Holder"), .fence = std::strtoll(headerOf(request, "Fencing-Token").c_str(), nullptr, 10), .at = timeOfDay() };
}

/// Answers a request itself, or changes the answer of the server.
struct Treatment {
    std::function<std::string(const std::string& request)> answer; ///< Empty: the server answers.
    std::function<std::string(const std::string& request, const std::string& answer)> change;
};

void serveCalls(int client, const std::string& target, const Treatment& treatment)
{
    const int server = connectTo(target);
    std::string fromClient;
    std::string fromServer;
    while (server >= 0) {
        const std::string request = readMessage(client, fromClient);
        if (request.empty())
            break;
        std::string answer = treatment.answer(request);
        if (answer.empty() && sendAll(server, request))
            answer = treatment.change(request, readMessage(server, fromServer));
        if (answer.empty() || !sendAll(client, answer))
            break;
    }
    ::close(client);
    if (server >= 0)
        ::close(server);
}

/// Serves calls with one thread for each connection. \returns The address.
std::string serveTreated(const std::string& target, const Treatment& treatment)
{
    return serve([target, treatment](int client) { std::thread([client, target, treatment] { serveCalls(client, target, treatment); }).detach(); });
}

/// \returns The address.
std::string serveCut(const std::string& target, const Flag& isCut, const Watcher& watch)
{
    return serve([target, isCut, watch](int client) {
        if (*isCut)
            std::thread([client] { discard(client); }).detach();
        else
            forward(client, target, isCut, watch);
    });
}

} // namespace

CutProxy::CutProxy(const std::string& target, const std::string& trigger)
    : m_address(serveCut(target, m_isCut, [isCut = m_isCut, isArmed = m_isArmed, trigger](const std::string& piece) {
        if (*isArmed && !trigger.empty() && piece.find(trigger) != std::string::npos && isArmed->exchange(false))
            *isCut = true;
    }))
{
}

CutProxy::CutProxy(const std::string& target, const CutProxy& together)
    : m_isCut(together.m_isCut)
    , m_address(serveCut(target, m_isCut, [](const std::string&) {}))
{
}

WorkerProxy::WorkerProxy(const std::string& target)
    : m_address(serveTreated(target, { .answer = [isUnhealthy = m_isUnhealthy, refused = m_refused](const std::string& request) -> std::string {
        if (!*isUnhealthy || !request.starts_with("POST /api/run-start "))
            return {};
        ++*refused;
        return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"; }, .change = [](const std::string& request, const std::string& answer) { return request.starts_with("POST /api/hold ") ? edited(answer, cutEnds) : answer; } }))
{
}

FleetProxy::FleetProxy(const std::string& target, const std::string& machine)
    : m_address(serveTreated(target, { .answer = [orders = m_orders](const std::string& request) {
        if (request.starts_with("POST ")) {
            const std::lock_guard lock(orders->mutex);
            orders->list.push_back(orderIn(request));
        }
        return std::string(); }, .change = [isThere = m_isThere, lists = m_lists, machine](const std::string& request, const std::string& answer) {
        if (!request.starts_with("GET /api/machines"))
            return answer;
        const bool wasThere = *isThere;
        ++*lists;
        return wasThere ? answer : edited(answer, [&](nlohmann::json& body) { return leaveOut(body, machine); }); } }))
{
}

std::vector<FleetOrder> FleetProxy::orders() const
{
    const std::lock_guard lock(m_orders->mutex);
    return m_orders->list;
}

} // namespace review
