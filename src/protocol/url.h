#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace lacewing {

/// @brief Decoded parts of an HTTP request target.
struct url_target {
    std::string path;
    std::map<std::string, std::string, std::less<>> query;

    /// @return The value of a query parameter, or the default when it is absent.
    [[nodiscard]] std::string_view parameter(std::string_view name, std::string_view otherwise = "") const;
};

/// @brief Splits and percent-decodes a target.
/// @throws error with error_kind::bad_request for an incomplete percent sequence.
url_target parse_target(std::string_view target);

/// @brief Percent-encodes everything but unreserved characters and '/'.
std::string percent_encode(std::string_view text);

/// @brief Parses an unsigned decimal number that fills the text.
/// @throws error with error_kind::bad_request otherwise; the detail names the field.
std::uint64_t parse_number(std::string_view text, std::string_view field);

} // namespace lacewing
