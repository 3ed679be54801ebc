#pragma once
/// \file
/// Incremental parser of one HTTP/1.1 answer.

#include "lanemoor/net/http_connection.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lanemoor {

/// The state of a reader after the bytes so far.
enum class ReadState {
    NeedsMore,
    Complete,
    Malformed,
    Refused, ///< The sink stopped the exchange.
};

/// \brief Parses an answer incrementally and passes it to a sink.
class ResponseReader {
public:
    /// \param headRequest Whether the request was HEAD, so that the answer has no body.
    ResponseReader(AnswerSink& sink, bool headRequest);

    [[nodiscard]] ReadState consume(std::string_view bytes);

    /// \returns Complete if the closed connection ends the answer, otherwise Malformed.
    [[nodiscard]] ReadState finishAtClose() noexcept;

    [[nodiscard]] bool headSeen() const noexcept { return m_phase != Phase::Head; }

    /// \returns Whether the connection can be reused after the answer.
    [[nodiscard]] bool keepsAlive() const noexcept { return m_keepAlive && m_phase == Phase::Done && m_buffer.empty(); }

private:
    enum class Phase {
        Head,
        Length,
        ChunkSize,
        ChunkData,
        ChunkEnd,
        Trailer,
        UntilClose,
        Done,
    };

    [[nodiscard]] ReadState step(bool& progressed);
    [[nodiscard]] ReadState readHead(bool& progressed);
    [[nodiscard]] ReadState parseHead(std::string_view text);
    [[nodiscard]] ReadState chooseFraming(const HttpResponseHead& head);
    [[nodiscard]] ReadState readCounted(bool& progressed, Phase after);
    [[nodiscard]] ReadState readChunkSize(bool& progressed);
    [[nodiscard]] ReadState readLineEnd(bool& progressed);
    [[nodiscard]] ReadState readTrailer(bool& progressed);
    [[nodiscard]] ReadState readUntilClose(bool& progressed);

    AnswerSink& m_sink;
    std::string m_buffer;
    std::uint64_t m_remaining = 0; ///< Remaining bytes of the body or chunk.
    Phase m_phase = Phase::Head;
    bool m_headRequest;
    bool m_keepAlive = true;
};

} // namespace lanemoor
