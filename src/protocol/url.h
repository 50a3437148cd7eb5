#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace lacewing {

/// @brief Percent-decoded path and query parameters of an HTTP request target.
struct url_target {
    std::string path;
    std::map<std::string, std::string, std::less<>> query;

    /// @brief Returns the value of a query parameter, or the fallback when it is absent.
    [[nodiscard]] std::string_view parameter(std::string_view name, std::string_view fallback = "") const;
};

/// @brief Splits and percent-decodes a target.
/// @throws error with error_kind::bad_request for a malformed percent escape.
url_target parse_target(std::string_view target);

/// @brief Percent-encodes all characters except unreserved ones (RFC 3986) and '/'.
std::string percent_encode(std::string_view text);

/// @brief Percent-encodes all characters except unreserved ones, for one segment of a path or one value of a
/// query.
std::string percent_encode_segment(std::string_view text);

/// @brief Parses a text that consists of one unsigned decimal number.
/// @param field Name of the field for the error detail.
/// @throws error with error_kind::bad_request for any other text.
std::uint64_t parse_number(std::string_view text, std::string_view field);

} // namespace lacewing
