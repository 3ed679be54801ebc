#include "lanemoor/net/http_connection.h"

#include "response_reader.h"

#include <algorithm>
#include <array>
#include <cxxtools/net/tcpsocket.h>
#include <exception>
#include <poll.h>
#include <sys/socket.h>

namespace lanemoor {

namespace {

using Clock = std::chrono::system_clock;

constexpr std::size_t readBytes = 16 * 1024;
constexpr int maxWaitMillis = 60'000; ///< Limit of a single poll.

int millisecondsUntil(Clock::time_point deadline)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now()).count();
    return static_cast<int>(std::clamp<std::int64_t>(left, 0, maxWaitMillis));
}

bool hasHeader(const HttpHeaders& headers, std::string_view name)
{
    return headers.find(name).has_value();
}

std::string serialize(const HttpRequest& request, const HttpAddress& address)
{
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    if (!hasHeader(request.headers, "Host"))
        text += "Host: " + address.ip + ':' + std::to_string(address.port) + "\r\n";
    for (const HttpHeader& header : request.headers.all())
        text += header.name + ": " + header.value + "\r\n";
    const bool carriesBody = !request.body.empty() || request.method == "POST" || request.method == "PUT";
    if (carriesBody && !hasHeader(request.headers, "Content-Length"))
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n" + request.body;
}

/// Why a wait for bytes ended.
enum class WaitEnd {
    Readable,
    DeadlinePassed,
    Abandoned,
};

WaitEnd waitReadable(int descriptor, const ExchangeOptions& options)
{
    while (true) {
        std::array<pollfd, 2> watched { { { descriptor, POLLIN, 0 }, { options.watchedDescriptor, POLLRDHUP, 0 } } };
        const int left = millisecondsUntil(options.deadline);
        const int ready = ::poll(watched.data(), watched.size(), left);
        if (ready > 0 && watched[0].revents != 0)
            return WaitEnd::Readable;
        if (ready > 0 && watched[1].revents != 0)
            return WaitEnd::Abandoned;
        if (Clock::now() >= options.deadline)
            return WaitEnd::DeadlinePassed;
    }
}

} // namespace

const char* describe(ExchangeFault fault) noexcept
{
    switch (fault) {
    case ExchangeFault::None:
        return "no fault";
    case ExchangeFault::ConnectFailed:
        return "no connection could be made";
    case ExchangeFault::SendFailed:
        return "the connection broke while sending";
    case ExchangeFault::ClosedBeforeAnswer:
        return "the connection was closed before the answer";
    case ExchangeFault::AnswerCut:
        return "the answer was cut";
    case ExchangeFault::AnswerMalformed:
        return "the answer is not HTTP";
    case ExchangeFault::DeadlinePassed:
        return "the deadline passed";
    case ExchangeFault::Abandoned:
        return "the caller has gone";
    }
    return "unknown fault";
}

bool isClosedByPeer(int descriptor) noexcept
{
    pollfd watched { descriptor, POLLRDHUP, 0 };
    return ::poll(&watched, 1, 0) > 0 && (watched.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

BufferSink::BufferSink(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

bool BufferSink::begin(const HttpResponseHead& head)
{
    m_response.status = head.status;
    m_response.headers = head.headers;
    return true;
}

bool BufferSink::write(std::string_view part)
{
    if (m_response.body.size() + part.size() > m_maxBytes)
        return false;
    m_response.body.append(part.data(), part.size());
    return true;
}

class HttpConnection::Impl {
public:
    explicit Impl(HttpAddress address)
        : m_address(std::move(address))
    {
    }

    [[nodiscard]] ExchangeResult exchange(const HttpRequest& request, AnswerSink& sink, const ExchangeOptions& options)
    {
        m_reusable = false;
        ExchangeResult result;
        if (!connect(options)) {
            result.fault = Clock::now() >= options.deadline ? ExchangeFault::DeadlinePassed : ExchangeFault::ConnectFailed;
            return result;
        }
        result.anySent = true;
        if (!send(serialize(request, m_address), options)) {
            result.fault = Clock::now() >= options.deadline ? ExchangeFault::DeadlinePassed : ExchangeFault::SendFailed;
            return result;
        }
        ResponseReader reader(sink, request.method == "HEAD");
        result.fault = receive(reader, options);
        result.headSeen = reader.headSeen();
        m_reusable = result.fault == ExchangeFault::None && reader.keepsAlive();
        return result;
    }

    [[nodiscard]] bool isReusable() const noexcept
    {
        return m_reusable && !isClosedByPeer(m_socket.getFd());
    }

private:
    [[nodiscard]] bool connect(const ExchangeOptions& options)
    {
        if (m_connected)
            return true;
        const int left = millisecondsUntil(options.deadline);
        if (left == 0)
            return false;
        try {
            m_socket.setTimeout(cxxtools::Milliseconds(left));
            m_socket.connect(m_address.ip, m_address.port);
            m_connected = true;
        } catch (const std::exception&) {
            return false;
        }
        return true;
    }

    [[nodiscard]] bool send(const std::string& bytes, const ExchangeOptions& options)
    {
        std::size_t sent = 0;
        try {
            while (sent < bytes.size()) {
                const int left = millisecondsUntil(options.deadline);
                if (left == 0)
                    return false;
                m_socket.setTimeout(cxxtools::Milliseconds(left));
                sent += m_socket.write(bytes.data() + sent, bytes.size() - sent);
            }
        } catch (const std::exception&) {
            return false;
        }
        return true;
    }

    [[nodiscard]] ExchangeFault receive(ResponseReader& reader, const ExchangeOptions& options)
    {
        std::array<char, readBytes> buffer {};
        while (true) {
            const WaitEnd end = waitReadable(m_socket.getFd(), options);
            if (end == WaitEnd::DeadlinePassed)
                return ExchangeFault::DeadlinePassed;
            if (end == WaitEnd::Abandoned)
                return ExchangeFault::Abandoned;
            const ssize_t bytes = ::recv(m_socket.getFd(), buffer.data(), buffer.size(), 0);
            if (bytes < 0)
                return reader.headSeen() ? ExchangeFault::AnswerCut : ExchangeFault::ClosedBeforeAnswer;
            if (bytes == 0)
                return faultAtClose(reader);
            const ReadState state = reader.consume(std::string_view(buffer.data(), static_cast<std::size_t>(bytes)));
            if (state == ReadState::Complete)
                return ExchangeFault::None;
            if (state == ReadState::Malformed)
                return ExchangeFault::AnswerMalformed;
            if (state == ReadState::Refused)
                return ExchangeFault::Abandoned;
        }
    }

    [[nodiscard]] static ExchangeFault faultAtClose(ResponseReader& reader)
    {
        if (reader.finishAtClose() == ReadState::Complete)
            return ExchangeFault::None;
        return reader.headSeen() ? ExchangeFault::AnswerCut : ExchangeFault::ClosedBeforeAnswer;
    }

    HttpAddress m_address;
    cxxtools::net::TcpSocket m_socket;
    bool m_connected = false;
    bool m_reusable = false;
};

HttpConnection::HttpConnection(HttpAddress address)
    : m_impl(std::make_unique<Impl>(std::move(address)))
{
}

HttpConnection::~HttpConnection() = default;
HttpConnection::HttpConnection(HttpConnection&&) noexcept = default;
HttpConnection& HttpConnection::operator=(HttpConnection&&) noexcept = default;

ExchangeResult HttpConnection::exchange(const HttpRequest& request, AnswerSink& sink, const ExchangeOptions& options)
{
    return m_impl->exchange(request, sink, options);
}

bool HttpConnection::isReusable() const noexcept
{
    return m_impl->isReusable();
}

} // namespace lanemoor
