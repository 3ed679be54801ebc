#include "connection_source.h"

#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <dirent.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace lanemoor::soak {

namespace {

/// A netlink query for one socket. Reading /proc/net/tcp instead takes 100 ms on a machine with 10,000 sockets.
struct SocketQuery {
    nlmsghdr header;
    inet_diag_req_v2 request;
};

SocketQuery socketQueryFor(std::uint16_t own, std::uint16_t other)
{
    SocketQuery query {};
    query.header.nlmsg_len = sizeof(query);
    query.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    query.header.nlmsg_flags = NLM_F_REQUEST;
    query.request.sdiag_family = AF_INET;
    query.request.sdiag_protocol = IPPROTO_TCP;
    query.request.idiag_states = ~0U;
    inet_diag_sockid& id = query.request.id;
    id.idiag_sport = htons(own);
    id.idiag_dport = htons(other);
    id.idiag_src[0] = htonl(INADDR_LOOPBACK);
    id.idiag_dst[0] = htonl(INADDR_LOOPBACK);
    id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    return query;
}

/// \returns The inode of the loopback socket with local port `own` and remote port `other`; 0 if none exists.
std::uint32_t socketInode(std::uint16_t own, std::uint16_t other)
{
    constexpr std::size_t maxReplyBytes = 8'192;
    const int kernel = ::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    if (kernel < 0)
        return 0;
    const SocketQuery query = socketQueryFor(own, other);
    std::array<char, maxReplyBytes> answer {};
    const bool isSent = ::send(kernel, &query, sizeof(query), 0) == static_cast<ssize_t>(sizeof(query));
    const ssize_t bytes = isSent ? ::recv(kernel, answer.data(), answer.size(), 0) : 0;
    ::close(kernel);
    if (bytes < static_cast<ssize_t>(NLMSG_LENGTH(sizeof(inet_diag_msg))))
        return 0;
    nlmsghdr header {};
    std::memcpy(&header, answer.data(), sizeof(header));
    if (header.nlmsg_type != SOCK_DIAG_BY_FAMILY)
        return 0;
    inet_diag_msg socket {};
    std::memcpy(&socket, answer.data() + NLMSG_HDRLEN, sizeof(socket));
    return socket.idiag_inode;
}

bool hasOpenSocket(pid_t process, const std::string& socket)
{
    constexpr std::size_t maxLinkLength = 64;
    const std::string folder = "/proc/" + std::to_string(process) + "/fd";
    const std::unique_ptr<DIR, int (*)(DIR*)> files(::opendir(folder.c_str()), ::closedir);
    if (!files)
        return false;
    std::array<char, maxLinkLength> link {};
    while (const dirent* file = ::readdir(files.get())) {
        const ssize_t length = ::readlinkat(::dirfd(files.get()), file->d_name, link.data(), link.size());
        if (length > 0 && socket.compare(0, std::string::npos, link.data(), static_cast<std::size_t>(length)) == 0)
            return true;
    }
    return false;
}

} // namespace

pid_t connectingProcess(std::uint16_t localPort, std::uint16_t remotePort, const std::vector<pid_t>& processes)
{
    const std::uint32_t inode = socketInode(remotePort, localPort);
    if (inode == 0)
        return -1;
    const std::string socket = "socket:[" + std::to_string(inode) + ']';
    for (const pid_t process : processes) {
        if (hasOpenSocket(process, socket))
            return process;
    }
    return -1;
}

} // namespace lanemoor::soak
