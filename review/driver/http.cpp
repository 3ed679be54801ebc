#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cstdlib>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int backlog = 64;
constexpr std::size_t chunkBytes = 16'384;

sockaddr_in addressOf(const std::string& text)
{
    sockaddr_in address {};
    const std::size_t colon = text.find(':');
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::strtoul(text.substr(colon + 1).c_str(), nullptr, 10)));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

/// \returns The length of the message at the start of `buffer`, or 0 if its head is incomplete.
std::size_t messageLength(const std::string& buffer)
{
    const std::size_t end = buffer.find("\r\n\r\n");
    if (end == std::string::npos)
        return 0;
    std::string head = buffer.substr(0, end);
    std::transform(head.begin(), head.end(), head.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    const std::string name = "content-length:";
    const std::size_t field = head.find(name);
    const std::size_t length = field == std::string::npos ? 0 : std::strtoul(head.c_str() + field + name.size(), nullptr, 10);
    return end + 4 + length;
}

} // namespace

std::int64_t timeOfDay()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

int connectTo(const std::string& address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = addressOf(address);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0)
        return socket;
    ::close(socket);
    return -1;
}

int listenLocally(std::uint16_t& port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = addressOf("127.0.0.1:0");
    socklen_t size = sizeof address;
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), size) != 0 || ::listen(socket, backlog) != 0)
        throw std::runtime_error("can't listen on loopback");
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return socket;
}

bool sendAll(int socket, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string readMessage(int socket, std::string& buffer)
{
    std::array<char, chunkBytes> chunk {};
    while (true) {
        const std::size_t length = messageLength(buffer);
        if (length > 0 && buffer.size() >= length) {
            std::string message = buffer.substr(0, length);
            buffer.erase(0, length);
            return message;
        }
        const ssize_t count = ::recv(socket, chunk.data(), chunk.size(), 0);
        if (count <= 0)
            return {};
        buffer.append(chunk.data(), static_cast<std::size_t>(count));
    }
}

Answer call(const std::string& address, const Request& request, Millis patience)
{
    const int socket = connectTo(address);
    if (socket < 0)
        return {};
    timeval time {};
    time.tv_sec = patience.count() / 1'000;
    time.tv_usec = patience.count() % 1'000 * 1'000;
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    std::string buffer;
    std::string message;
    const std::string head = request.method + ' ' + request.path + " HTTP/1.1\r\nHost: " + request.host + "\r\nContent-Type: application/json\r\nTimeout-Ms: 3000\r\nContent-Length: ";
    if (sendAll(socket, head + std::to_string(request.body.size()) + "\r\n\r\n" + request.body))
        message = readMessage(socket, buffer);
    ::close(socket);
    const std::size_t space = message.find(' ');
    if (space == std::string::npos)
        return {};
    return { .status = std::atoi(message.c_str() + space), .body = message.substr(message.find("\r\n\r\n") + 4) };
}

} // namespace review
