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

} // namespace lacewing
