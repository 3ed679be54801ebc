#include "answer_loss.h"

#include <arpa/inet.h>
#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace lanemoor::review {

namespace {

sockaddr_in addressOf(const Endpoint& endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
    return address;
}

/// \returns What could be read at once; empty: the connection has ended.
std::string readFrom(int connection)
{
    std::array<char, 65'536> buffer {};
    const ssize_t count = ::recv(connection, buffer.data(), buffer.size(), 0);
    return count > 0 ? std::string(buffer.data(), static_cast<std::size_t>(count)) : std::string();
}

bool sendAll(int connection, const std::string& text)
{
    for (std::size_t sent = 0; sent < text.size();) {
        const ssize_t count = ::send(connection, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace

AnswerLoss::AnswerLoss(const Endpoint& target, bool losesUpkeepAnswers, Record& record)
    : m_target(target)
    , m_endpoint { "127.0.0.1", 0 }
    , m_losesUpkeepAnswers(losesUpkeepAnswers)
    , m_record(record)
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = addressOf(m_endpoint);
    socklen_t size = sizeof(address);
    static_cast<void>(::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
    ::listen(m_listener, SOMAXCONN);
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_endpoint.port = ntohs(address.sin_port);
    std::thread([this] { accept(); }).detach(); // Lives until this program ends.
}

void AnswerLoss::accept()
{
    for (int caller = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC); caller >= 0; caller = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC))
        std::thread([this, caller] { pass(caller); }).detach();
}

bool AnswerLoss::isToBeLost(const std::string& request)
{
    if (request.find("/api/machine-upkeep") == std::string::npos)
        return false;
    const Json body = Json::parse(request.substr(request.find("\r\n\r\n") + 4), nullptr, false);
    const std::string machine = body.is_object() ? body.value("machine", "") : std::string();
    const std::lock_guard lock(m_mutex);
    const bool isFirst = m_called.insert(machine).second;
    const bool isLost = isFirst && m_losesUpkeepAnswers;
    m_record.line("upkeep call for " + machine + (isLost ? ": passed on, its answer is lost" : ": passed on"));
    return isLost;
}

void AnswerLoss::pass(int caller)
{
    const int target = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(m_target);
    bool isSilent = false;
    bool isOpen = ::connect(target, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    while (isOpen) {
        std::array<pollfd, 2> waiting { pollfd { caller, POLLIN, 0 }, pollfd { target, POLLIN, 0 } };
        if (::poll(waiting.data(), waiting.size(), -1) < 0)
            break;
        if (waiting[0].revents != 0) {
            const std::string request = readFrom(caller);
            isSilent = isToBeLost(request) || isSilent;
            isOpen = !request.empty() && sendAll(target, request);
        }
        if (isOpen && waiting[1].revents != 0) {
            const std::string answer = readFrom(target);
            isOpen = !answer.empty() && (isSilent || sendAll(caller, answer));
        }
    }
    ::close(caller);
    ::close(target);
}

} // namespace lanemoor::review
