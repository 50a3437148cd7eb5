#include "bench/block_objects.h"

#include <fmt/format.h>

#include <vector>

namespace lacewing::bench {

namespace {

constexpr int sites = 150;
constexpr int zones = 6;

} // namespace

std::string block_object(int object, int count, int shifted) {
    std::vector<std::string> lists(sites);
    for (int i = 0; i < count; ++i) {
        const int number = object * blocks_per_object + i;
        const int site = (number * 7 + (i < shifted ? 1 : 0)) % sites;
        auto& list = lists[static_cast<std::size_t>(site)];
        if (!list.empty()) list += ',';
        // One quarter IPv6, as in the benchmark of the table.
        list += number % 4 == 3
                    ? fmt::format("\"2001:{:x}:{:x}::/48\"", 0x1000 + number / 65536, number % 65536)
                    : fmt::format("\"{}.{}.{}.0/24\"", 11 + number / 65536, number / 256 % 256, number % 256);
    }
    std::string site_text;
    std::string block_text;
    for (int s = 0; s < sites; ++s) {
        const auto* comma = s == 0 ? "" : ",";
        site_text +=
            fmt::format("{}\"s{}\":[\"zone-{:02}\",\"zone-{:02}\"]", comma, s, s % zones, (s + 1) % zones);
        block_text += fmt::format("{}\"s{}\":[{}]", comma, s, lists[static_cast<std::size_t>(s)]);
    }
    return fmt::format("{{\"sites\":{{{}}},\"blocks\":{{{}}}}}", site_text, block_text);
}

} // namespace lacewing::bench
