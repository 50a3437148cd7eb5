#include "bench/bench.h"
#include "coordination/entry_selector.h"
#include "state/block_table.h"

#include <chrono>
#include <fmt/format.h>
#include <random>
#include <set>
#include <tuple>

namespace lacewing::bench {

namespace {

constexpr std::size_t block_count = 340'000;
constexpr std::size_t site_count = 150;
constexpr std::size_t lookup_count = 4'000'000;
constexpr double max_lookup_ns = 1000;

using clock = std::chrono::steady_clock;

double elapsed_ns(clock::time_point since) {
    return std::chrono::duration<double, std::nano>(clock::now() - since).count();
}

// Three quarters IPv4 blocks of 16 to 28 bits, one quarter IPv6 blocks of 32 to 56 bits; blocks nest.
std::vector<client_block> random_blocks(std::mt19937_64& random) {
    std::vector<client_block> blocks;
    std::set<std::tuple<bool, std::uint64_t, std::uint8_t>> used;
    while (blocks.size() < block_count) {
        client_block block;
        block.address.v6 = random() % 4 == 0;
        block.prefix_length =
            static_cast<std::uint8_t>(block.address.v6 ? 32 + random() % 25 : 16 + random() % 13);
        block.site = static_cast<site_index>(random() % site_count);
        if (block.address.v6) {
            // Addresses in 2000::/8, a range small enough that nested blocks are common.
            const auto bits = (random() >> 8) | 0x2000'0000'0000'0000;
            block.address.high = bits >> (64 - block.prefix_length) << (64 - block.prefix_length);
        } else {
            block.address.low = (random() & UINT32_MAX) >> (32 - block.prefix_length)
                                                               << (32 - block.prefix_length);
        }
        const auto prefix = block.address.v6 ? block.address.high : block.address.low;
        if (used.emplace(block.address.v6, prefix, block.prefix_length).second) blocks.push_back(block);
    }
    return blocks;
}

// Half of the addresses lie in a listed block; the others are random IPv4 addresses.
std::vector<ip_address> random_addresses(const std::vector<client_block>& blocks, std::mt19937_64& random) {
    std::vector<ip_address> addresses;
    constexpr std::size_t count = 1 << 20;
    addresses.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        const auto& block = blocks[random() % blocks.size()];
        auto address = block.address;
        if (address.v6) {
            address.high |= random() >> block.prefix_length;
            address.low = random();
        } else {
            address.low |= (random() & UINT32_MAX) >> block.prefix_length;
        }
        if (i % 2 == 0) address = {0, random() & UINT32_MAX, false};
        addresses.push_back(address);
    }
    return addresses;
}

// Measures one lookup and selection of entry VMs, in nanoseconds: 870 VMs in 17 zones, sites of callers in
// all zones.
double measure_selection(const std::vector<ip_address>& addresses, const block_table& table) {
    std::vector<std::pair<zone_name, region_name>> zones;
    zones.reserve(17);
    for (int i = 0; i < 17; ++i)
        zones.push_back({{fmt::format("z{}", i)}, {fmt::format("r{}", i / 3)}});
    std::vector<block_site> sites(site_count);
    for (std::size_t i = 0; i < site_count; ++i)
        sites[i] = {fmt::format("s{}", i), {zones[i % 17].first}};
    std::vector<entry_candidate> candidates;
    for (std::uint32_t i = 0; i < 870; ++i) {
        const auto& [zone, region] = zones[i % 17];
        candidates.push_back({i, {i + std::uint64_t{1}}, zone, region, member_state::alive, false, 1000});
    }
    const entry_selector selector(candidates, sites, zones);
    std::uint64_t sum = 0;
    constexpr std::size_t count = 100'000;
    const auto start = clock::now();
    for (std::size_t i = 0; i < count; ++i)
        sum += selector.select(table.find(addresses[i]), addresses[i]).vms[0];
    const auto ns_per_selection = elapsed_ns(start) / count;
    fmt::print("selections checksum {}\n", sum);
    return ns_per_selection;
}

} // namespace

int run_lookup(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const auto blocks = random_blocks(random);
    const auto addresses = random_addresses(blocks, random);
    auto start = clock::now();
    block_table table(blocks, {1});
    const double build_ms = elapsed_ns(start) / 1e6;
    std::uint64_t found = 0;
    start = clock::now();
    for (std::size_t i = 0; i < lookup_count; ++i)
        found += table.find(addresses[i % addresses.size()]) ? 1 : 0;
    const double lookup_ns = elapsed_ns(start) / static_cast<double>(lookup_count);
    block_delta delta{{1}, {2}, {}, {}};
    for (std::size_t i = 0; i < 100; ++i) {
        delta.set.push_back(blocks[i]);
        delta.set.back().site = 0;
        delta.removed.push_back(blocks[blocks.size() - 1 - i]);
    }
    start = clock::now();
    const auto next = table.apply(delta);
    const double delta_ms = elapsed_ns(start) / 1e6;
    fmt::print("seed {}: {} blocks, {} sites, {} look-ups, {:.1f} % found\n", seed, table.size(), site_count,
               lookup_count, 100.0 * static_cast<double>(found) / static_cast<double>(lookup_count));
    fmt::print("look-up {:.0f} ns (target < {:.0f}), table {} bytes ({:.1f} a block)\n", lookup_ns,
               max_lookup_ns, table.memory_bytes(),
               static_cast<double>(table.memory_bytes()) / static_cast<double>(table.size()));
    fmt::print("build {:.1f} ms, delta of 100 changed and 100 removed blocks {:.1f} ms\n", build_ms,
               delta_ms);
    fmt::print("look-up and selection among 870 VMs {:.0f} ns\n", measure_selection(addresses, table));
    return lookup_ns < max_lookup_ns && next && next->size() == block_count - 100 ? 0 : 1;
}

} // namespace lacewing::bench
