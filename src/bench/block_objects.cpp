#include "bench/block_objects.h"

#include <fmt/format.h>

#include <vector>

namespace lacewing::bench {

namespace {

constexpr int site_count = 150;
constexpr int zone_count = 6;

} // namespace

std::string block_object(int object, int count, int moved_blocks) {
    std::vector<std::string> block_lists(site_count);
    for (int i = 0; i < count; ++i) {
        const int block_number = object * blocks_per_object + i;
        const int site = (block_number * 7 + (i < moved_blocks ? 1 : 0)) % site_count;
        auto& list = block_lists[static_cast<std::size_t>(site)];
        if (!list.empty()) list += ',';
        // One quarter IPv6, as in the lookup benchmark.
        list += block_number % 4 == 3 ? fmt::format("\"2001:{:x}:{:x}::/48\"", 0x1000 + block_number / 65536,
                                                    block_number % 65536)
                                      : fmt::format("\"{}.{}.{}.0/24\"", 11 + block_number / 65536,
                                                    block_number / 256 % 256, block_number % 256);
    }
    std::string site_text;
    std::string block_text;
    for (int site_number = 0; site_number < site_count; ++site_number) {
        const auto* comma = site_number == 0 ? "" : ",";
        site_text += fmt::format("{}\"s{}\":[\"zone-{:02}\",\"zone-{:02}\"]", comma, site_number,
                                 site_number % zone_count, (site_number + 1) % zone_count);
        block_text += fmt::format("{}\"s{}\":[{}]", comma, site_number,
                                  block_lists[static_cast<std::size_t>(site_number)]);
    }
    return fmt::format("{{\"sites\":{{{}}},\"blocks\":{{{}}}}}", site_text, block_text);
}

} // namespace lacewing::bench
