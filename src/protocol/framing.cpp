#include "protocol/framing.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace lacewing {

namespace http = boost::beast::http;

namespace {

bool equal_nocase(std::string_view a, std::string_view b) {
    return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

} // namespace

void check_framing(const http::request_header<http::fields>& head) {
    if (head.count(http::field::transfer_encoding) > 1) {
        throw error(error_kind::bad_request, "the transfer coding is given more than once");
    }
    const auto coding = head[http::field::transfer_encoding];
    if (head.count(http::field::transfer_encoding) == 1 &&
        !equal_nocase(trimmed({coding.data(), coding.size()}), "chunked")) {
        throw error(error_kind::bad_request, "the transfer coding is not supported");
    }
    if (head.count(http::field::transfer_encoding) != 0 && head.version() < 11) {
        throw error(error_kind::bad_request, "HTTP/1.0 has no transfer codings");
    }
    const auto hosts = head.count(http::field::host);
    if (hosts > 1 || (hosts == 0 && head.version() >= 11)) {
        throw error(error_kind::bad_request, "exactly one Host header is required");
    }
}

request_target split_target(std::string_view target, std::string_view host_header) {
    if (target.starts_with('/')) return {std::string(host_header), std::string(target)};
    constexpr std::string_view scheme = "http://";
    if (target.size() <= scheme.size() || !equal_nocase(target.substr(0, scheme.size()), scheme)) {
        throw error(error_kind::bad_request, "the target is neither a path nor an http address");
    }
    const auto rest = target.substr(scheme.size());
    const auto slash = rest.find_first_of("/?");
    const auto host = rest.substr(0, slash);
    if (host.empty()) throw error(error_kind::bad_request, "the target names no host");
    if (slash == std::string_view::npos) return {std::string(host), "/"};
    const auto path = rest.substr(slash);
    // A query without a path belongs to the root.
    return {std::string(host), path.front() == '/' ? std::string(path) : fmt::format("/{}", path)};
}

bool is_hop_by_hop_header(std::string_view name, std::string_view connection) {
    static constexpr std::array<std::string_view, 9> hop{"Connection",
                                                         "Keep-Alive",
                                                         "Proxy-Connection",
                                                         "Proxy-Authenticate",
                                                         "Proxy-Authorization",
                                                         "TE",
                                                         "Trailer",
                                                         "Transfer-Encoding",
                                                         "Upgrade"};
    if (std::any_of(hop.begin(), hop.end(), [name](auto item) { return equal_nocase(item, name); }))
        return true;
    while (!connection.empty()) {
        const auto comma = connection.find(',');
        if (equal_nocase(trimmed(connection.substr(0, comma)), name)) return true;
        if (comma == std::string_view::npos) return false;
        connection.remove_prefix(comma + 1);
    }
    return false;
}

std::string forwarded_header_lines(const http::fields& answer) {
    const auto connection = answer[http::field::connection];
    std::string lines;
    for (const auto& field : answer) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (field.name() == http::field::content_length ||
            is_hop_by_hop_header(name, {connection.data(), connection.size()})) {
            continue;
        }
        lines +=
            fmt::format("{}: {}\r\n", name, std::string_view(field.value().data(), field.value().size()));
    }
    return lines;
}

} // namespace lacewing
