#pragma once
/// \file
/// Blocking HTTP/1.1 on loopback.

#include <chrono>
#include <cstdint>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// \returns Unix milliseconds.
std::int64_t timeOfDay();

/// An answer; status 0: there was none.
struct Answer {
    int status = 0;
    std::string body;
};

struct Request {
    std::string method = "GET";
    std::string path;
    std::string host;
    std::string body;
};

/// \brief Sends a request over a new connection. Closes the connection if there is no whole answer after `patience`.
/// \param address IP:port.
Answer call(const std::string& address, const Request& request, Millis patience);

/// \returns A connected socket, or -1.
int connectTo(const std::string& address);

/// \brief Listens on 127.0.0.1 at a free port.
/// \returns The socket. \throws std::runtime_error if there is none.
int listenLocally(std::uint16_t& port);

/// \returns Whether all bytes were sent.
bool sendAll(int socket, const std::string& bytes);

/// \brief Reads one message with a Content-Length. \param buffer Bytes that were read beyond the previous message.
/// \returns The message; empty at the end of the stream.
std::string readMessage(int socket, std::string& buffer);

} // namespace review
