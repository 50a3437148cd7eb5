#include "protocol/url.h"

#include "state/error_kind.h"

#include <fmt/format.h>

#include <charconv>

namespace lacewing {

namespace {

std::string percent_decode(std::string_view text) {
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded.push_back(text[i]);
            continue;
        }
        unsigned byte = 0;
        const auto digits = text.substr(i + 1, 2);
        const auto* end = digits.data() + digits.size();
        const auto parsed = std::from_chars(digits.data(), end, byte, 16);
        if (digits.size() != 2 || parsed.ptr != end || parsed.ec != std::errc{}) {
            throw error(error_kind::bad_request, "incomplete percent sequence in the target");
        }
        decoded.push_back(static_cast<char>(byte));
        i += 2;
    }
    return decoded;
}

bool is_unreserved(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '.' || c == '_' || c == '~';
}

// Percent-encodes all characters except unreserved ones and those in `kept`.
std::string encode_except(std::string_view text, std::string_view kept) {
    std::string encoded;
    encoded.reserve(text.size());
    for (const char c : text) {
        if (is_unreserved(c) || kept.find(c) != std::string_view::npos) {
            encoded.push_back(c);
        } else {
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
        }
    }
    return encoded;
}

} // namespace

std::string_view url_target::parameter(std::string_view name, std::string_view fallback) const {
    const auto found = query.find(name);
    return found == query.end() ? fallback : std::string_view(found->second);
}

url_target parse_target(std::string_view target) {
    url_target parsed;
    const auto query_mark = target.find('?');
    parsed.path = percent_decode(target.substr(0, query_mark));
    if (query_mark == std::string_view::npos) return parsed;
    auto remaining_query = target.substr(query_mark + 1);
    while (!remaining_query.empty()) {
        const auto end = remaining_query.find('&');
        const auto pair = remaining_query.substr(0, end);
        const auto equals = pair.find('=');
        const auto value = equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
        parsed.query[percent_decode(pair.substr(0, equals))] = percent_decode(value);
        remaining_query =
            end == std::string_view::npos ? std::string_view() : remaining_query.substr(end + 1);
    }
    return parsed;
}

std::string percent_encode(std::string_view text) {
    return encode_except(text, "/");
}

std::string percent_encode_segment(std::string_view text) {
    return encode_except(text, "");
}

std::uint64_t parse_number(std::string_view text, std::string_view field) {
    std::uint64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
        throw error(error_kind::bad_request, fmt::format("{}: '{}' is not a number", field, text));
    }
    return number;
}

} // namespace lacewing
