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

/// @brief Target of a proxied request: /r/<route>/<rest>.
struct proxied_target {
    std::string_view route;
    /// Path and query that the endpoint receives; starts with '/'.
    std::string rest;
};

/// @brief Splits the target of a proxied request.
/// @throws error with error_kind::no_such_route when it has another form.
proxied_target parse_proxied_target(std::string_view target);

/// @brief Value of a query parameter, percent-decoded; nothing when it is absent.
std::optional<std::string> query_value(std::string_view target, std::string_view name);

/// @brief Percent-decodes a text; malformed escapes stay as they are.
std::string percent_decode(std::string_view text);

/// @brief All path segments and query parameter values of a target, percent-decoded.
std::vector<std::string> target_parts(std::string_view target);

/// @brief Key that the caller presented in Authorization: Bearer or X-Api-Key.
/// @return Nothing when no key was presented.
/// @throws error with error_kind::bad_request when keys repeat, error_kind::key_rejected for another scheme.
std::optional<std::string> presented_key(const http_fields& headers);

/// @brief Copies the headers that an endpoint may see; a value that contains the presented key is left out.
void copy_request_headers(const http_fields& from, std::string_view key, http_fields& to);

/// @brief Copies the headers of an answer without those that belong to one connection.
void copy_answer_headers(const http_fields& from, http_fields& to);

/// @brief Integer header within bounds, or the fallback when it is absent.
/// @throws error with error_kind::bad_request when it is malformed or out of bounds.
std::int64_t integer_header(const http_fields& headers, std::string_view name, std::int64_t fallback,
                            std::int64_t low, std::int64_t high);

/// @brief Body of an error answer.
std::string error_body(error_kind kind, std::string_view detail);

} // namespace lacewing
