#include "coordination/entry_selector.h"
#include "state/block_table.h"
#include "state/error_kind.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <random>

using namespace lacewing;
using namespace lacewing::literals;

namespace {

std::optional<site_index> find(const block_table& table, std::string_view address) {
    return table.find(*parse_address(address));
}

bool contains(const client_block& block, const ip_address& address) {
    if (block.address.v6 != address.v6) return false;
    const int width = address.v6 ? 128 : 32;
    for (int bit = 0; bit < block.prefix_length; ++bit) {
        const int shift = width - 1 - bit;
        const auto bit_of = [&](const ip_address& value) {
            return shift >= 64 ? value.high >> (shift - 64) & 1 : value.low >> shift & 1;
        };
        if (bit_of(block.address) != bit_of(address)) return false;
    }
    return true;
}

// Block with a random prefix; the bits after the prefix are zero.
client_block random_block(std::mt19937_64& random) {
    client_block block;
    block.address.v6 = random() % 3 == 0;
    block.site = static_cast<site_index>(random() % 150);
    const int width = block.address.v6 ? 128 : 32;
    block.prefix_length = static_cast<std::uint8_t>(random() % static_cast<std::uint64_t>(width + 1));
    // Only a few bits vary, so that blocks nest.
    ip_address bits{random() & 0x8100'0000'0000'0081, random() & 0x8100'0000'8100'0081, true};
    if (!block.address.v6) bits = {0, bits.low & 0x8100'0081, false};
    block.address = bits;
    for (int bit = block.prefix_length; bit < width; ++bit) {
        const int shift = width - 1 - bit;
        if (shift >= 64) block.address.high &= ~(std::uint64_t{1} << (shift - 64));
        if (shift < 64) block.address.low &= ~(std::uint64_t{1} << shift);
    }
    return block;
}

} // namespace

TEST_CASE("the block with the longest prefix wins for IPv4 and IPv6") {
    const std::vector<client_block> blocks{parse_block("10.0.0.0/8", 1),    parse_block("10.1.0.0/16", 2),
                                           parse_block("10.1.2.0/24", 3),   parse_block("2001:db8::/32", 4),
                                           parse_block("2001:db8::/64", 5), parse_block("2001:db8::1/128", 6),
                                           parse_block("192.168.0.0/16", 0)};
    const block_table table(blocks, {7});
    CHECK(find(table, "10.1.2.3") == 3);
    CHECK(find(table, "10.1.3.0") == 2);
    CHECK(find(table, "10.255.255.255") == 1);
    CHECK(!find(table, "11.0.0.0"));
    CHECK(find(table, "::ffff:10.1.2.3") == 3);
    CHECK(find(table, "2001:db8::1") == 6);
    CHECK(find(table, "2001:db8::2") == 5);
    CHECK(find(table, "2001:db8:1::") == 4);
    CHECK(!find(table, "2001:db9::"));
    CHECK_THROWS_AS(parse_block("10.0.0.1/8", 0), error);
    CHECK_THROWS_AS(parse_block("10.0.0.0/33", 0), error);
    CHECK_THROWS_AS(parse_block("10.0.0.0", 0), error);
}

TEST_CASE("random tables and deltas agree with a linear search") {
    constexpr std::uint64_t seed = 99;
    std::mt19937_64 random(seed);
    MESSAGE("seed ", seed);
    std::map<std::pair<ip_address, std::uint8_t>, site_index> current;
    block_table table({}, {1});
    for (std::uint64_t revision = 1; revision < 60; ++revision) {
        auto next = current;
        for (int i = 0; i < 10; ++i) {
            const auto block = random_block(random);
            next[{block.address, block.prefix_length}] = block.site;
        }
        if (revision % 2 == 0) std::erase_if(next, [&](const auto&) { return random() % 4 == 0; });
        const auto to_list = [](const auto& map) {
            std::vector<client_block> blocks;
            blocks.reserve(map.size());
            for (const auto& [key, site] : map)
                blocks.push_back({key.first, key.second, site});
            return blocks;
        };
        const auto delta = diff_blocks(to_list(current), to_list(next), {revision}, {revision + 1});
        auto changed = table.apply(delta);
        REQUIRE(changed);
        table = std::move(*changed);
        current = std::move(next);
        REQUIRE(table.size() == current.size());
        for (int i = 0; i < 200; ++i) {
            auto address = random_block(random).address;
            address.low ^= random() & (address.v6 ? ~0ULL : 0x8100'0081);
            std::optional<site_index> expected;
            int longest_prefix = -1;
            for (const auto& block : to_list(current)) {
                if (!contains(block, address) || block.prefix_length <= longest_prefix) continue;
                longest_prefix = block.prefix_length;
                expected = block.site;
            }
            REQUIRE(table.find(address) == expected);
        }
    }
}

TEST_CASE("a delta for another revision, or that removes an unknown block, is rejected without any change") {
    const std::vector<client_block> blocks{parse_block("10.0.0.0/8", 1)};
    const block_table table(blocks, {5});
    block_delta delta{{4}, {6}, {parse_block("10.0.0.0/8", 2)}, {}};
    CHECK(!table.apply(delta));
    delta.after = {6};
    delta.revision = {7};
    CHECK(!table.apply(delta));
    delta.after = delta.revision = {5};
    CHECK(!table.apply(delta));
    CHECK(!table.apply({{5}, {6}, {}, {parse_block("11.0.0.0/8", 0)}}));
    delta.revision = {6};
    const auto next = table.apply(delta);
    REQUIRE(next);
    CHECK(find(*next, "10.0.0.1") == 2);
    CHECK(find(table, "10.0.0.1") == 1);
    CHECK(!next->apply(delta));
}

TEST_CASE("chunk objects are parsed and malformed ones are rejected") {
    block_set set;
    add_block_chunk(R"({"sites":{"ktm":["a","b"]},"blocks":{"ktm":["10.0.0.0/8"]}})", set);
    add_block_chunk(R"({"written_by":"x","blocks":{"ktm":["11.0.0.0/8"],"pkr":["12.0.0.0/8"]}})", set);
    CHECK(set.sites.size() == 2);
    CHECK(set.sites[0].zones.size() == 2);
    CHECK(find(block_table(set.blocks, {1}), "12.1.1.1") == 1);
    for (const std::string malformed : {"", "[]", R"({"blocks":[]})", R"({"blocks":{"ktm":["10.0.0.0"]}})",
                                        R"({"blocks":{"ktm":"10.0.0.0/8"}})", R"({"sites":{"ktm":[1]}})"}) {
        INFO(malformed);
        CHECK_THROWS_AS(add_block_chunk(malformed, set), error);
    }
}

namespace {

const std::vector<std::pair<zone_name, region_name>> zones{{{"a"}, {"r1"}}, {{"b"}, {"r1"}}, {{"c"}, {"r2"}}};
const std::vector<block_site> sites{{"ktm", {{"a"}}}};

std::vector<entry_candidate> make_candidates() {
    std::vector<entry_candidate> candidates;
    for (std::uint32_t i = 0; i < 9; ++i) {
        const auto& [zone, region] = zones[i / 3];
        candidates.push_back({i, {i + 1}, zone, region, member_state::alive, false, 1000});
    }
    return candidates;
}

} // namespace

TEST_CASE("a caller gets at most four VMs, first those of its own zone, then those of its region") {
    const auto candidates = make_candidates();
    const entry_selector selector(candidates, sites, zones);
    for (std::uint64_t caller = 0; caller < 100; ++caller) {
        const auto selection = selector.select(0, {0, caller, false});
        REQUIRE(selection.count == 4);
        CHECK(std::all_of(selection.vms.begin(), selection.vms.begin() + 3, [](auto vm) { return vm < 3; }));
        CHECK((selection.vms[3] >= 3 && selection.vms[3] < 6));
        CHECK(selection.lifetime == 10_s);
    }
}

TEST_CASE("callers are spread in proportion to headroom and keep their VM when another VM leaves") {
    auto candidates = make_candidates();
    candidates[0].headroom = 500;
    const entry_selector before(candidates, sites, zones);
    candidates[1].state = member_state::leaving;
    const entry_selector after(candidates, sites, zones);
    std::map<std::uint32_t, int> callers_per_vm;
    int moved_callers = 0;
    for (std::uint64_t caller = 0; caller < 10'000; ++caller) {
        const ip_address address{0, caller * 256, false};
        const auto vm = before.select(0, address).vms[0];
        ++callers_per_vm[vm];
        if (vm != 1 && after.select(0, address).vms[0] != vm) ++moved_callers;
    }
    CHECK(callers_per_vm[0] == doctest::Approx(2000).epsilon(0.05));
    CHECK(callers_per_vm[1] == doctest::Approx(4000).epsilon(0.05));
    CHECK(callers_per_vm[2] == doctest::Approx(4000).epsilon(0.05));
    CHECK(moved_callers == 0);
}

TEST_CASE("callers get no leaving, dead, suspect or draining VM while others exist") {
    auto candidates = make_candidates();
    candidates[0].state = member_state::leaving;
    candidates[1].state = member_state::suspect;
    candidates[3].state = member_state::dead;
    candidates[4].draining = true;
    const auto is_selected = [&](const entry_selector& selector, std::uint32_t vm) {
        for (std::uint64_t caller = 0; caller < 100; ++caller) {
            const auto selection = selector.select(
                caller % 2 == 0 ? std::optional<site_index>(0) : std::nullopt, {0, caller, false});
            const auto end = selection.vms.begin() + selection.count;
            if (std::find(selection.vms.begin(), end, vm) != end) return true;
        }
        return false;
    };
    const entry_selector selector(candidates, sites, zones);
    for (const std::uint32_t vm : {0, 1, 3, 4})
        CHECK(!is_selected(selector, vm));
    CHECK(selector.select(0, {0, 1, false}).lifetime == 2_s);
    for (auto& candidate : candidates) {
        if (candidate.state == member_state::alive) candidate.state = member_state::dead;
    }
    CHECK(is_selected(entry_selector(candidates, sites, zones), 1));
    CHECK(!is_selected(entry_selector(candidates, sites, zones), 0));
}
