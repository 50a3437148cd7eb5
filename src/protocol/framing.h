#pragma once

#include "state/error_kind.h"

#include <utility>

#include <boost/beast/http.hpp>

#include <string>
#include <string_view>

namespace lacewing {

/// @brief Checks what decides where a request ends and which host it is for.
///
/// A request whose transfer coding is not exactly `chunked` has a body whose end is unknown; reading on would
/// take body bytes for the next request. HTTP/1.1 requests name exactly one host.
/// @throws error with error_kind::bad_request; the connection must be closed after the answer.
void check_framing(const boost::beast::http::request_header<boost::beast::http::fields>& head);

/// @brief Host and path of a request target.
struct request_target {
    std::string host;
    /// Path with query.
    std::string path;
};

/// @brief Splits a target in origin form or in absolute form; the latter's host replaces the Host header.
/// @throws error with error_kind::bad_request for any other form.
request_target split_target(std::string_view target, std::string_view host_header);

/// @brief Whether a header concerns one connection only and is not forwarded.
/// @param connection Value of the Connection header, which may name further ones.
bool is_hop_by_hop_header(std::string_view name, std::string_view connection);

/// @brief Lines of an answer's headers that are passed on; its length is left out, because the sender of the
/// lines frames the body anew.
std::string forwarded_header_lines(const boost::beast::http::fields& answer);

} // namespace lacewing
