#pragma once

#include "state/error_kind.h"

#include <utility>

#include <boost/beast/http.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

using http_fields = boost::beast::http::fields;

/// Header with a value of its own for each attempt at an endpoint, which the endpoint echoes in its answer.
inline constexpr std::string_view attempt_header = "X-Attempt-Tag";

/// @brief Target of a proxied request, /r/ROUTE/..., split into the route and the endpoint's part.
struct proxied_target {
    std::string_view route;
    /// Path and query that the endpoint receives; starts with '/'.
    std::string rest;
};

/// @brief Splits the target of a proxied request.
/// @throws error with error_kind::no_such_route when the target is not of the form /r/ROUTE/... .
proxied_target parse_proxied_target(std::string_view target);

/// @brief Returns the percent-decoded value of a query parameter, or nothing when it is absent.
std::optional<std::string> query_value(std::string_view target, std::string_view name);

/// @brief Percent-decodes a text; malformed escapes stay as they are.
std::string percent_decode(std::string_view text);

/// @brief Returns all path segments and query parameter names and values of a target, percent-decoded.
std::vector<std::string> target_parts(std::string_view target);

/// @brief Returns the key that the caller presented in Authorization: Bearer or X-Api-Key.
/// @return Nothing when no key was presented.
/// @throws error with error_kind::bad_request when there is more than one key, error_kind::key_rejected when
/// the Authorization header is not of the form 'Bearer KEY'.
std::optional<std::string> presented_key(const http_fields& headers);

/// @brief Copies the headers that are forwarded to an endpoint. Headers whose value contains the presented
/// key are left out.
void copy_request_headers(const http_fields& from, std::string_view key, http_fields& to);

/// @brief Copies the headers of an answer, except those that apply to one connection or to the framing.
void copy_answer_headers(const http_fields& from, http_fields& to);

/// @brief Returns the value of an integer header between `low` and `high`, or the fallback when it is absent.
/// @throws error with error_kind::bad_request when it is malformed or out of bounds.
std::int64_t integer_header(const http_fields& headers, std::string_view name, std::int64_t fallback,
                            std::int64_t low, std::int64_t high);

/// @brief Returns the JSON body of an error answer.
std::string error_body(error_kind kind, std::string_view detail);

} // namespace lacewing
