#include "connection_source.h"

#include <charconv>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace lanemoor::soak {

namespace {

constexpr int hexadecimal = 16;

/// \param field Address and port, such as `0100007F:1F90`.
std::uint32_t portIn(const std::string& field)
{
    std::uint32_t port = 0;
    const std::size_t colon = field.find(':');
    if (colon != std::string::npos)
        std::from_chars(field.data() + colon + 1, field.data() + field.size(), port, hexadecimal);
    return port;
}

/// \returns The inode of the socket whose own port is `own` and whose other end is `other`; empty if there is none.
std::string socketInode(std::uint16_t own, std::uint16_t other)
{
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line); // The names of the columns.
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string slot;
        std::string local;
        std::string remote;
        fields >> slot >> local >> remote;
        if (portIn(local) != own || portIn(remote) != other)
            continue;
        // State, queues, timer, retransmissions, user and time-out come before the inode.
        constexpr int fieldsBetween = 6;
        std::string field;
        for (int i = 0; i < fieldsBetween; ++i)
            fields >> field;
        std::string inode;
        fields >> inode;
        return inode;
    }
    return {};
}

bool holds(pid_t process, const std::string& socket)
{
    std::error_code error;
    const std::string folder = "/proc/" + std::to_string(process) + "/fd";
    for (std::filesystem::directory_iterator entry(folder, error), end; !error && entry != end; entry.increment(error)) {
        std::error_code unreadable;
        if (std::filesystem::read_symlink(entry->path(), unreadable).string() == socket)
            return true;
    }
    return false;
}

} // namespace

pid_t connectingProcess(std::uint16_t localPort, std::uint16_t remotePort, const std::vector<pid_t>& processes)
{
    const std::string inode = socketInode(remotePort, localPort);
    if (inode.empty())
        return -1;
    const std::string socket = "socket:[" + inode + ']';
    for (const pid_t process : processes) {
        if (holds(process, socket))
            return process;
    }
    return -1;
}

} // namespace lanemoor::soak
