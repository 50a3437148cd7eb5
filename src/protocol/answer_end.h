#pragma once

#include <cstdint>

namespace lacewing {

/// @brief What marks the end of an answer's body.
enum class answer_delimiter : std::uint8_t {
    /// Content-Length, or an answer that has no body by its status or request.
    length,
    /// The last chunk.
    chunks,
    /// The end of the connection.
    connection_end,
};

/// @brief Returns what marks the end of the answer whose head a parser has read.
template <class Parser>
answer_delimiter delimiter_of(const Parser& parser) {
    if (parser.need_eof()) return answer_delimiter::connection_end;
    return parser.chunked() ? answer_delimiter::chunks : answer_delimiter::length;
}

/// @brief How the reading of an answer ended.
enum class answer_end : std::uint8_t {
    /// Its last byte by its delimiter has been read. Not possible with answer_delimiter::connection_end.
    delimiter_read,
    /// The endpoint has closed the connection in order.
    closed,
    /// The connection was reset or failed.
    reset,
    timed_out,
};

/// @brief Whether the request of an answer has left this process.
enum class request_progress : std::uint8_t {
    /// The last byte has been written.
    written,
    /// Bytes are still to be written, or writing them has failed.
    unfinished,
};

/// @brief Whether an answer is complete, for all interfaces.
///
/// Without a length, only an orderly close ends an answer. While the request is being written, a close is no
/// proof of order: a reset is reported once, to the write, and the next read finds the end of the stream.
bool is_complete_answer(answer_delimiter delimiter, answer_end end, request_progress request);

/// @brief Kinds of status codes in the head of an answer.
enum class status_kind : std::uint8_t {
    /// 100 to 199: another head follows.
    interim,
    /// 200 to 599.
    final,
    /// Any other number: the bytes are no answer.
    invalid,
};

status_kind kind_of_status(unsigned status);

} // namespace lacewing
