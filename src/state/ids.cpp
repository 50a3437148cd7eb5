#include "state/ids.h"

#include "state/error_kind.h"

#include <charconv>
#include <fmt/format.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lacewing {

std::string to_hex(incarnation_id id) {
    return fmt::format("{:016x}", id.value);
}

incarnation_id incarnation_from_hex(std::string_view text) {
    constexpr std::size_t digits = 16;
    incarnation_id id;
    const auto* end = text.data() + text.size();
    const auto [parse_end, status] = std::from_chars(text.data(), end, id.value, 16);
    if (text.size() != digits || status != std::errc{} || parse_end != end) {
        throw error(error_kind::bad_request,
                    fmt::format("'{}' is not an incarnation of 16 hex digits", text));
    }
    return id;
}

std::uint64_t rendezvous_weight(std::string_view key, incarnation_id member) {
    return XXH3_64bits_withSeed(key.data(), key.size(), member.value);
}

} // namespace lacewing
