#include "protocol/caller_http.h"

#include <fmt/format.h>
#include <json/json.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace lacewing {

namespace http = boost::beast::http;

namespace {

// Request headers that are forwarded to endpoints. An allow-list excludes every spelling and repetition of a
// key header, so that no endpoint sees a key (INV-3).
constexpr std::array<std::string_view, 14> forwarded_headers{
    "accept",           "accept-encoding", "accept-language",   "cache-control", "content-encoding",
    "content-language", "content-type",    "if-modified-since", "if-none-match", "range",
    "user-agent",       "x-request-id",    "x-caller-class",    "traceparent"};

// Answer headers that apply to one connection (RFC 9110 section 7.6.1) or to the framing, which each
// connection sets for itself.
constexpr std::array<std::string_view, 10> connection_headers{
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade",    "content-length",     attempt_header};

template <std::size_t Size>
bool contains(const std::array<std::string_view, Size>& names, std::string_view name) {
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view entry) { return boost::beast::iequals(entry, name); });
}

std::string_view trim(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

int hex_digit(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    return -1;
}

// Returns the key in a header field, or nothing when the field is not a key header.
std::optional<std::string> key_in_field(const http_fields::value_type& field) {
    if (boost::beast::iequals(field.name_string(), "x-api-key")) return std::string(trim(field.value()));
    if (!boost::beast::iequals(field.name_string(), "authorization")) return std::nullopt;
    constexpr std::string_view scheme = "bearer ";
    const auto value = trim(field.value());
    if (value.size() <= scheme.size() || !boost::beast::iequals(value.substr(0, scheme.size()), scheme)) {
        throw error(error_kind::key_rejected, "the Authorization header is not of the form 'Bearer KEY'");
    }
    return std::string(trim(value.substr(scheme.size())));
}

} // namespace

proxied_target parse_proxied_target(std::string_view target) {
    constexpr std::string_view prefix = "/r/";
    const auto fail = [&] { return error(error_kind::no_such_route, "the path is not /r/ROUTE/..."); };
    if (!target.starts_with(prefix)) throw fail();
    const auto route_and_path = target.substr(prefix.size());
    const auto end = std::min(route_and_path.find_first_of("/?"), route_and_path.size());
    if (end == 0) throw fail();
    auto endpoint_target = std::string(route_and_path.substr(end));
    if (!endpoint_target.starts_with('/')) endpoint_target.insert(endpoint_target.begin(), '/');
    return {route_and_path.substr(0, end), std::move(endpoint_target)};
}

std::string percent_decode(std::string_view text) {
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size() && hex_digit(text[i + 1]) >= 0 &&
            hex_digit(text[i + 2]) >= 0) {
            decoded += static_cast<char>(hex_digit(text[i + 1]) * 16 + hex_digit(text[i + 2]));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::vector<std::string> target_parts(std::string_view target) {
    std::vector<std::string> parts;
    while (!target.empty()) {
        const auto end = std::min(target.find_first_of("/?&=;"), target.size());
        if (end > 0) parts.push_back(percent_decode(target.substr(0, end)));
        target.remove_prefix(std::min(end + 1, target.size()));
    }
    return parts;
}

std::optional<std::string> query_value(std::string_view target, std::string_view name) {
    const auto question = target.find('?');
    if (question == std::string_view::npos) return std::nullopt;
    auto query = target.substr(question + 1);
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return percent_decode(pair.substr(equals + 1));
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return std::nullopt;
}

std::optional<std::string> presented_key(const http_fields& headers) {
    std::optional<std::string> key;
    for (const auto& field : headers) {
        auto found = key_in_field(field);
        if (!found) continue;
        if (key) throw error(error_kind::bad_request, "more than one key was presented");
        key = std::move(found);
    }
    return key;
}

void copy_request_headers(const http_fields& from, std::string_view key, http_fields& to) {
    for (const auto& field : from) {
        if (!contains(forwarded_headers, std::string_view(field.name_string()))) continue;
        const std::string_view value = field.value();
        if (!key.empty() && value.find(key) != std::string_view::npos) continue;
        to.insert(field.name_string(), field.value());
    }
}

void copy_answer_headers(const http_fields& from, http_fields& to) {
    for (const auto& field : from) {
        if (contains(connection_headers, std::string_view(field.name_string()))) continue;
        to.insert(field.name_string(), field.value());
    }
}

std::int64_t integer_header(const http_fields& headers, std::string_view name, std::int64_t fallback,
                            std::int64_t low, std::int64_t high) {
    const auto found = headers.find(name);
    if (found == headers.end()) return fallback;
    const auto text = trim(found->value());
    std::int64_t value = 0;
    const auto [stop, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc{} || stop != text.data() + text.size() || value < low || value > high) {
        throw error(error_kind::bad_request,
                    fmt::format("{} must be an integer from {} to {}", name, low, high));
    }
    return value;
}

std::string error_body(error_kind kind, std::string_view detail) {
    const auto& row = error_answer_for(kind);
    // Formatted directly, because a JSON stream writer would cost more than the rest of a refusal, which must
    // be cheap.
    return fmt::format("{{\"detail\":{},\"effect\":\"{}\",\"error\":\"{}\"}}\n",
                       Json::valueToQuotedString(std::string(detail).c_str()), to_string(row.effect),
                       row.name);
}

} // namespace lacewing
