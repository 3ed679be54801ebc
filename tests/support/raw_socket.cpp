#include "support/raw_socket.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace lanemoor::test {

namespace {

constexpr timeval receiveTimeout { 20, 0 };

} // namespace

RawSocket::RawSocket(const HttpAddress& address)
    : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof receiveTimeout);
    if (::connect(m_descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0)
        throw std::runtime_error("cannot connect");
}

RawSocket::~RawSocket()
{
    ::close(m_descriptor);
}

bool RawSocket::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

std::string RawSocket::readAll() const
{
    std::string all;
    std::array<char, 4096> buffer {};
    ssize_t bytes = 0;
    while ((bytes = ::recv(m_descriptor, buffer.data(), buffer.size(), 0)) > 0)
        all.append(buffer.data(), static_cast<std::size_t>(bytes));
    return all;
}

bool RawSocket::isClosed() const
{
    std::array<char, 4096> buffer {};
    ssize_t bytes = 0;
    while ((bytes = ::recv(m_descriptor, buffer.data(), buffer.size(), 0)) > 0) { }
    return bytes == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace lanemoor::test
