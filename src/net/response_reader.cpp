#include "response_reader.h"

#include <algorithm>
#include <optional>

namespace lanemoor {

namespace {

constexpr std::size_t maxHeadBytes = 64 * 1024;
constexpr std::size_t maxLineBytes = 1024;
constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";
constexpr unsigned firstFinalStatus = 200;

std::string_view trimmed(std::string_view text) noexcept
{
    const auto isBlank = [](char c) { return c == ' ' || c == '\t'; };
    while (!text.empty() && isBlank(text.front()))
        text.remove_prefix(1);
    while (!text.empty() && isBlank(text.back()))
        text.remove_suffix(1);
    return text;
}

/// Parses `HTTP/1.x SSS phrase`.
std::optional<unsigned> parseStatusLine(std::string_view line) noexcept
{
    constexpr std::string_view prefix = "HTTP/1.";
    constexpr std::size_t statusAt = prefix.size() + 2;
    constexpr std::size_t statusDigits = 3;
    if (line.substr(0, prefix.size()) != prefix || line.size() < statusAt + statusDigits || line[statusAt - 1] != ' ')
        return std::nullopt;
    const std::optional<std::uint64_t> status = parseDecimal(line.substr(statusAt, statusDigits));
    if (!status || *status < 100)
        return std::nullopt;
    return static_cast<unsigned>(*status);
}

std::optional<HttpHeader> parseHeaderLine(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0 || line.substr(0, colon).find_first_of(" \t") != std::string_view::npos)
        return std::nullopt;
    return HttpHeader { std::string(line.substr(0, colon)), std::string(trimmed(line.substr(colon + 1))) };
}

std::optional<std::uint64_t> parseHexadecimal(std::string_view text) noexcept
{
    constexpr std::size_t maxDigits = 15;
    if (text.empty() || text.size() > maxDigits)
        return std::nullopt;
    std::uint64_t number = 0;
    for (const char c : text) {
        unsigned digit = 0;
        if (c >= '0' && c <= '9')
            digit = static_cast<unsigned>(c - '0');
        else if (c >= 'a' && c <= 'f')
            digit = static_cast<unsigned>(c - 'a') + 10;
        else if (c >= 'A' && c <= 'F')
            digit = static_cast<unsigned>(c - 'A') + 10;
        else
            return std::nullopt;
        number = number * 16 + digit;
    }
    return number;
}

} // namespace

ResponseReader::ResponseReader(AnswerSink& sink, bool headRequest)
    : m_sink(sink)
    , m_headRequest(headRequest)
{
}

ReadState ResponseReader::consume(std::string_view bytes)
{
    m_buffer.append(bytes.data(), bytes.size());
    bool progressed = true;
    while (progressed) {
        if (m_phase == Phase::Done)
            return ReadState::Complete;
        progressed = false;
        const ReadState state = step(progressed);
        if (state != ReadState::NeedsMore)
            return state;
    }
    return ReadState::NeedsMore;
}

ReadState ResponseReader::finishAtClose() noexcept
{
    if (m_phase != Phase::UntilClose)
        return ReadState::Malformed;
    m_phase = Phase::Done;
    return ReadState::Complete;
}

ReadState ResponseReader::step(bool& progressed)
{
    switch (m_phase) {
    case Phase::Head:
        return readHead(progressed);
    case Phase::Length:
        return readCounted(progressed, Phase::Done);
    case Phase::ChunkSize:
        return readChunkSize(progressed);
    case Phase::ChunkData:
        return readCounted(progressed, Phase::ChunkEnd);
    case Phase::ChunkEnd:
        return readLineEnd(progressed);
    case Phase::Trailer:
        return readTrailer(progressed);
    case Phase::UntilClose:
        return readUntilClose(progressed);
    case Phase::Done:
        break;
    }
    return ReadState::Complete;
}

ReadState ResponseReader::readHead(bool& progressed)
{
    const std::size_t end = m_buffer.find(headEnd);
    if (end == std::string::npos)
        return m_buffer.size() > maxHeadBytes ? ReadState::Malformed : ReadState::NeedsMore;
    const std::string text = m_buffer.substr(0, end);
    m_buffer.erase(0, end + headEnd.size());
    progressed = true;
    return parseHead(text);
}

ReadState ResponseReader::parseHead(std::string_view text)
{
    const std::size_t firstEnd = text.find(lineEnd);
    const std::optional<unsigned> status = parseStatusLine(text.substr(0, firstEnd));
    if (!status)
        return ReadState::Malformed;
    if (*status < firstFinalStatus)
        return ReadState::NeedsMore; // An interim answer; the final one follows.
    HttpResponseHead head { *status, {} };
    m_keepAlive = text.substr(0, 8) == "HTTP/1.1";
    text.remove_prefix(firstEnd == std::string_view::npos ? text.size() : firstEnd + lineEnd.size());
    while (!text.empty()) {
        const std::string_view line = text.substr(0, text.find(lineEnd));
        text.remove_prefix(std::min(text.size(), line.size() + lineEnd.size()));
        std::optional<HttpHeader> header = parseHeaderLine(line);
        if (!header)
            return ReadState::Malformed;
        head.headers.add(std::move(header->name), std::move(header->value));
    }
    return chooseFraming(head);
}

ReadState ResponseReader::chooseFraming(const HttpResponseHead& head)
{
    const std::optional<std::string_view> coding = head.headers.find("Transfer-Encoding");
    const std::optional<std::string_view> length = head.headers.find("Content-Length");
    const std::optional<std::string_view> connection = head.headers.find("Connection");
    if (connection && equalsIgnoringCase(*connection, "close"))
        m_keepAlive = false;
    if ((coding && (length || !equalsIgnoringCase(*coding, "chunked"))) || head.headers.count("Content-Length") > 1)
        return ReadState::Malformed;
    const bool noBody = m_headRequest || head.status == 204 || head.status == 304;
    if (noBody) {
        m_phase = Phase::Done;
    } else if (coding) {
        m_phase = Phase::ChunkSize;
    } else if (length) {
        const std::optional<std::uint64_t> bytes = parseDecimal(*length);
        if (!bytes)
            return ReadState::Malformed;
        m_remaining = *bytes;
        m_phase = *bytes == 0 ? Phase::Done : Phase::Length;
    } else {
        m_keepAlive = false;
        m_phase = Phase::UntilClose;
    }
    if (!m_sink.begin(head))
        return ReadState::Refused;
    return m_phase == Phase::Done ? ReadState::Complete : ReadState::NeedsMore;
}

ReadState ResponseReader::readCounted(bool& progressed, Phase after)
{
    const auto bytes = static_cast<std::size_t>(std::min<std::uint64_t>(m_remaining, m_buffer.size()));
    if (bytes == 0)
        return ReadState::NeedsMore;
    if (!m_sink.write(std::string_view(m_buffer).substr(0, bytes)))
        return ReadState::Refused;
    m_buffer.erase(0, bytes);
    m_remaining -= bytes;
    progressed = true;
    if (m_remaining > 0)
        return ReadState::NeedsMore;
    m_phase = after;
    return after == Phase::Done ? ReadState::Complete : ReadState::NeedsMore;
}

ReadState ResponseReader::readChunkSize(bool& progressed)
{
    const std::size_t end = m_buffer.find(lineEnd);
    if (end == std::string::npos)
        return m_buffer.size() > maxLineBytes ? ReadState::Malformed : ReadState::NeedsMore;
    const std::string_view line = std::string_view(m_buffer).substr(0, end);
    const std::optional<std::uint64_t> size = parseHexadecimal(trimmed(line.substr(0, line.find(';'))));
    if (!size)
        return ReadState::Malformed;
    m_buffer.erase(0, end + lineEnd.size());
    m_remaining = *size;
    m_phase = *size == 0 ? Phase::Trailer : Phase::ChunkData;
    progressed = true;
    return ReadState::NeedsMore;
}

ReadState ResponseReader::readLineEnd(bool& progressed)
{
    if (m_buffer.size() < lineEnd.size())
        return ReadState::NeedsMore;
    if (std::string_view(m_buffer).substr(0, lineEnd.size()) != lineEnd)
        return ReadState::Malformed;
    m_buffer.erase(0, lineEnd.size());
    m_phase = Phase::ChunkSize;
    progressed = true;
    return ReadState::NeedsMore;
}

ReadState ResponseReader::readTrailer(bool& progressed)
{
    const std::size_t end = m_buffer.find(lineEnd);
    if (end == std::string::npos)
        return m_buffer.size() > maxHeadBytes ? ReadState::Malformed : ReadState::NeedsMore;
    m_buffer.erase(0, end + lineEnd.size());
    progressed = true;
    if (end > 0)
        return ReadState::NeedsMore;
    m_phase = Phase::Done;
    return ReadState::Complete;
}

ReadState ResponseReader::readUntilClose(bool& progressed)
{
    if (m_buffer.empty())
        return ReadState::NeedsMore;
    if (!m_sink.write(m_buffer))
        return ReadState::Refused;
    m_buffer.clear();
    progressed = true;
    return ReadState::NeedsMore;
}

} // namespace lanemoor
