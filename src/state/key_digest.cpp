#include "state/key_digest.h"

#include "state/error_kind.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace lacewing {

namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";

std::uint8_t hex_digit_value(char c) {
    if (c >= '0' && c <= '9') {
        return static_cast<std::uint8_t>(c - '0');
    }
    if (c >= 'a' && c <= 'f') {
        return static_cast<std::uint8_t>(c - 'a' + 10);
    }
    if (c >= 'A' && c <= 'F') {
        return static_cast<std::uint8_t>(c - 'A' + 10);
    }
    throw error(error_kind::bad_request, "key digest holds a character that is no hexadecimal digit");
}

} // namespace

key_digest digest_of(std::string_view key) {
    // Fetched once: with EVP_sha256() OpenSSL 3 would look up the algorithm again for every digest.
    static const auto* const sha256 = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    key_digest digest;
    unsigned length = 0;
    if (sha256 == nullptr ||
        EVP_Digest(key.data(), key.size(), digest.bytes.data(), &length, sha256, nullptr) != 1 ||
        length != digest.bytes.size()) {
        throw error(error_kind::internal, "SHA-256 is not available");
    }
    return digest;
}

bool equal_constant_time(const key_digest& a, const key_digest& b) {
    return CRYPTO_memcmp(a.bytes.data(), b.bytes.data(), a.bytes.size()) == 0;
}

std::string to_hex(const key_digest& digest) {
    std::string text;
    text.reserve(2 * digest.bytes.size());
    for (const auto byte : digest.bytes) {
        text += hex_digits[byte >> 4U];
        text += hex_digits[byte & 0xfU];
    }
    return text;
}

key_digest digest_from_hex(std::string_view text) {
    key_digest digest;
    if (text.size() != 2 * digest.bytes.size()) {
        throw error(error_kind::bad_request, "key digest does not have 64 digits");
    }
    for (std::size_t i = 0; i < digest.bytes.size(); ++i) {
        digest.bytes[i] =
            static_cast<std::uint8_t>(hex_digit_value(text[2 * i]) << 4U | hex_digit_value(text[2 * i + 1]));
    }
    return digest;
}

} // namespace lacewing
