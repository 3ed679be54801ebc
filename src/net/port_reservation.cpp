#include "port_reservation.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace lanemoor {

PortReservation::PortReservation(const std::string& ip)
    : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    sockaddr_in address {};
    address.sin_family = AF_INET;
    socklen_t size = sizeof address;
    const bool bound = m_descriptor >= 0
        && ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) == 1
        && ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0
        && ::bind(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0
        && ::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    if (!bound) {
        const int cause = errno;
        if (m_descriptor >= 0)
            ::close(m_descriptor);
        throw std::system_error(cause, std::generic_category(), "no port on " + ip);
    }
    m_port = ntohs(address.sin_port);
}

PortReservation::~PortReservation()
{
    ::close(m_descriptor);
}

} // namespace lanemoor
