#pragma once

#include "state/error_kind.h"

#include <utility>

#include <boost/beast/http.hpp>

#include <string>
#include <string_view>

namespace lacewing {

/// Bytes that a connection keeps before they are parsed: a head, a chunk header with its extension, or
/// trailers. A peer that sends more without the end of a line is disconnected. Beast throws for a field of
/// 65,534 bytes or more, and its own reads throw out of the event loop.
inline constexpr std::size_t max_connection_buffer_bytes = 65'533;
/// Interim (1xx) answers before the answer to a request; more end the connection.
inline constexpr int max_interim_answers = 16;

/// @brief Checks the headers that determine where a request ends and which host it is for.
///
/// The only transfer coding accepted is exactly `chunked`. With any other one the end of the body is unknown,
/// and body bytes would be read as the next request. HTTP/1.1 requests must have exactly one Host header.
/// @throws error with error_kind::bad_request; the connection must be closed after the answer.
void check_framing(const boost::beast::http::request_header<boost::beast::http::fields>& head);

/// @brief Host and path of a request target.
struct request_target {
    std::string host;
    /// Path with query.
    std::string path;
};

/// @brief Splits a target in origin form (/path) or absolute form (http://host/path). In absolute form, the
/// host of the target takes precedence over the Host header.
/// @throws error with error_kind::bad_request for any other form.
request_target split_target(std::string_view target, std::string_view host_header);

/// @brief Returns whether a header is hop-by-hop: it applies to one connection and is not forwarded.
/// @param connection Value of the Connection header, which may name further hop-by-hop headers.
bool is_hop_by_hop_header(std::string_view name, std::string_view connection);

/// @brief Returns the header lines of an answer that are forwarded. Hop-by-hop headers and Content-Length are
/// left out; the sender of the lines sets its own framing.
std::string forwarded_header_lines(const boost::beast::http::fields& answer);

} // namespace lacewing
