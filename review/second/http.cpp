#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr int backlog = 128;
constexpr std::size_t readSize = 16'384;
constexpr int hexBase = 16;

sockaddr_in endpoint(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string decode(const std::string& text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, hexBase));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

void readTarget(const std::string& target, Call& call)
{
    const std::size_t mark = target.find('?');
    call.path = target.substr(0, mark);
    std::string rest = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string part = rest.substr(0, end);
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos)
            call.query[part.substr(0, equals)] = decode(part.substr(equals + 1));
        rest = end == std::string::npos ? std::string() : rest.substr(end + 1);
    }
}

std::map<std::string, std::string> readHeaders(const std::string& text)
{
    std::map<std::string, std::string> headers;
    std::size_t at = text.find("\r\n");
    while (at != std::string::npos) {
        const std::size_t begin = at + 2;
        at = text.find("\r\n", begin);
        const std::string line = text.substr(begin, at == std::string::npos ? at : at - begin);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        headers[name] = value == std::string::npos ? std::string() : line.substr(value);
    }
    return headers;
}

std::size_t bodyLength(const std::map<std::string, std::string>& headers)
{
    const auto found = headers.find("content-length");
    return found == headers.end() ? 0 : std::strtoul(found->second.c_str(), nullptr, 10);
}

/// Reads one message. \param head Receives the first line and the headers. \returns Whether it is complete.
bool readMessage(int socket, std::string& buffer, std::string& head, std::string& body)
{
    std::string chunk(readSize, '\0');
    while (true) {
        const std::size_t end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            head = buffer.substr(0, end);
            const std::size_t length = bodyLength(readHeaders(head));
            if (buffer.size() >= end + 4 + length) {
                body = buffer.substr(end + 4, length);
                buffer.erase(0, end + 4 + length);
                return true;
            }
        }
        const ssize_t count = ::recv(socket, chunk.data(), chunk.size(), 0);
        if (count <= 0)
            return false;
        buffer.append(chunk.data(), static_cast<std::size_t>(count));
    }
}

bool writeAll(int socket, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

void disableDelay(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void resetOnClose(int socket)
{
    const linger reset { 1, 0 };
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

} // namespace

struct HttpServer::State : public std::enable_shared_from_this<HttpServer::State> {
    std::string ip;
    std::uint16_t port = 0;
    Handler handler;
    std::mutex mutex;
    int listener = -1;
    std::set<int> connections;
    std::condition_variable ended;
    std::size_t threads = 0;

    void listen()
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = endpoint(ip, port);
        if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(socket, backlog) != 0)
            throw std::runtime_error("cannot listen at " + ip);
        socklen_t size = sizeof address;
        ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
        port = ntohs(address.sin_port);
        {
            const std::lock_guard lock(mutex);
            listener = socket;
            ++threads;
        }
        std::thread([self = shared_from_this(), socket] { self->accept(socket); }).detach();
    }

    void accept(int socket)
    {
        while (true) {
            const int connection = ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                break;
            disableDelay(connection);
            {
                const std::lock_guard lock(mutex);
                if (listener != socket) {
                    resetOnClose(connection);
                    ::close(connection);
                    break;
                }
                connections.insert(connection);
                ++threads;
            }
            std::thread([self = shared_from_this(), connection] { self->serve(connection); }).detach();
        }
        ::close(socket);
        noteEnd();
    }

    void serve(int connection)
    {
        std::string buffer;
        std::string head;
        Call call;
        while (readMessage(connection, buffer, head, call.body)) {
            const std::size_t space = head.find(' ');
            call.method = head.substr(0, space);
            call.query.clear();
            readTarget(head.substr(space + 1, head.find(' ', space + 1) - space - 1), call);
            call.headers = readHeaders(head);
            const std::optional<Reply> reply = handler(call);
            if (!reply)
                continue; // Nothing more is said until the client gives up.
            const std::string text = "HTTP/1.1 " + std::to_string(reply->status) + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(reply->body.size()) + "\r\n\r\n" + reply->body;
            if (!writeAll(connection, text))
                break;
        }
        {
            const std::lock_guard lock(mutex);
            connections.erase(connection);
            ::close(connection);
        }
        noteEnd();
    }

    void noteEnd()
    {
        const std::lock_guard lock(mutex);
        --threads;
        ended.notify_all();
    }

    /// Waits for the threads, which use what the handler refers to.
    void awaitEnd()
    {
        std::unique_lock lock(mutex);
        ended.wait(lock, [this] { return threads == 0; });
    }

    void closeAll()
    {
        const std::lock_guard lock(mutex);
        if (listener >= 0)
            ::shutdown(listener, SHUT_RDWR);
        listener = -1;
        for (const int connection : connections) {
            resetOnClose(connection);
            ::shutdown(connection, SHUT_RDWR);
        }
    }
};

HttpServer::HttpServer(const std::string& ip, Handler handler)
    : m_state(std::make_shared<State>())
{
    m_state->ip = ip;
    m_state->handler = std::move(handler);
    m_state->listen();
}

HttpServer::~HttpServer()
{
    m_state->closeAll();
    m_state->awaitEnd();
}

std::string HttpServer::address() const
{
    return m_state->ip + ':' + std::to_string(m_state->port);
}

void HttpServer::close()
{
    m_state->closeAll();
}

void HttpServer::open()
{
    m_state->listen();
}

Reply send(const Outgoing& request)
{
    const std::size_t colon = request.address.find(':');
    const auto port = static_cast<std::uint16_t>(std::strtoul(request.address.substr(colon + 1).c_str(), nullptr, 10));
    const sockaddr_in address = endpoint(request.address.substr(0, colon), port);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout { request.timeoutMs / 1'000, request.timeoutMs % 1'000 * 1'000 };
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    Reply reply;
    std::string buffer;
    std::string head;
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\nHost: " + request.host + "\r\nTimeout-Ms: " + std::to_string(request.timeoutMs) + "\r\n";
    if (!request.body.empty())
        text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 && writeAll(socket, text) && readMessage(socket, buffer, head, reply.body)) {
        const std::size_t space = head.find(' ');
        reply.status = std::atoi(head.substr(space + 1).c_str());
    }
    ::close(socket);
    return reply;
}

} // namespace review
