#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace lacewing {

/// @brief SHA-256 digest of an API key; the only form in which a key is stored.
struct key_digest {
    std::array<std::uint8_t, 32> bytes{};
};

/// @brief Computes the digest of a key that a caller presents.
/// @throws error with error_kind::internal when the digest cannot be computed.
key_digest digest_of(std::string_view key);

/// @brief Compares two digests in a time that does not depend on their content.
bool equal_constant_time(const key_digest& a, const key_digest& b);

/// @brief Formats a digest as 64 lower-case hexadecimal digits.
std::string to_hex(const key_digest& digest);

/// @brief Parses 64 hexadecimal digits of either case.
/// @throws error with error_kind::bad_request for any other text.
key_digest digest_from_hex(std::string_view text);

} // namespace lacewing
