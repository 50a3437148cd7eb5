#pragma once

#include "protocol/url.h"
#include "state/error_kind.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing::testing {

/// @brief Target of a call of the platform's store, decoded.
struct store_target {
    /// Segments behind the common prefix: kind, name, "status".
    std::vector<std::string> segments;
    std::map<std::string, std::string, std::less<>> query;
};

/// @brief Reads a target as strictly as a server may.
/// @return Nothing for a character that no target may contain, a malformed escape or a parameter that the
/// store does not know.
inline std::optional<store_target> parse_store_target(std::string_view target) {
    constexpr std::string_view prefix = "/-/objects/";
    constexpr std::string_view marks = "-._~!$&'()*+,;=:@/?%";
    const auto permitted = [&](unsigned char c) {
        return (c < 0x80 && std::isalnum(c) != 0) ||
               marks.find(static_cast<char>(c)) != std::string_view::npos;
    };
    if (!target.starts_with(prefix) || !std::all_of(target.begin(), target.end(), permitted))
        return std::nullopt;
    store_target parsed;
    const auto query_mark = target.find('?');
    auto path = target.substr(prefix.size(), query_mark - prefix.size());
    std::string query(query_mark == std::string_view::npos ? std::string_view() : target.substr(query_mark));
    // As in forms, a plus sign in a query stands for a blank.
    for (auto at = query.find('+'); at != std::string::npos; at = query.find('+', at))
        query.replace(at, 1, "%20");
    try {
        for (bool more = true; more;) {
            const auto end = path.find('/');
            parsed.segments.push_back(parse_target(path.substr(0, end)).path);
            more = end != std::string_view::npos;
            if (more) path.remove_prefix(end + 1);
        }
        parsed.query = parse_target(query).query;
    } catch (const error&) {
        return std::nullopt;
    }
    for (const auto& [name, value] : parsed.query) {
        if (name != "after" && name != "watch" && name != "waitMs" && name != "allowStale" &&
            name != "revision")
            return std::nullopt;
    }
    return parsed;
}

} // namespace lacewing::testing
