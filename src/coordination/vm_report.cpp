#include "coordination/vm_report.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lacewing {

std::uint32_t hash_tag(std::string_view name) {
    // 24 bits: at most five digits in a report, which writes them in base 36, and few collisions among some
    // hundred endpoints.
    constexpr std::uint32_t mask = 0xffffff;
    return static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size())) & mask;
}

std::uint64_t hash_process(std::string_view endpoint, std::int64_t started_unix_ms) {
    return XXH3_64bits_withSeed(endpoint.data(), endpoint.size(),
                                static_cast<std::uint64_t>(started_unix_ms));
}

} // namespace lacewing
