#include "coordination/placement.h"
#include "bench/bench.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <random>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lacewing::bench {

namespace {

using member_list = std::vector<placement_member>;
// Id of the endpoint of each object.
using assignment = std::vector<std::uint64_t>;

constexpr std::size_t object_count = 100'000;
constexpr std::size_t ring_points_per_weight = 100;
constexpr double ring_bound = 1.25;
constexpr std::uint64_t small_table = 65'537;
constexpr std::uint64_t large_table = 655'373;

std::uint64_t mixed(std::uint64_t value) {
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

// The rule before weighted rendezvous: the lowest hash, whatever the weights.
assignment plain_rendezvous(const member_list& members, std::span<const std::uint64_t> objects) {
    assignment made;
    for (const auto object : objects) {
        const auto best = std::min_element(members.begin(), members.end(), [&](const auto& a, const auto& b) {
            return mixed(a.id * 0x9e3779b97f4a7c15ULL + object) <
                   mixed(b.id * 0x9e3779b97f4a7c15ULL + object);
        });
        made.push_back(best->id);
    }
    return made;
}

assignment weighted_rendezvous(const member_list& members, std::span<const std::uint64_t> objects) {
    placement placed;
    placed.set_members(members);
    assignment made;
    for (const auto object : objects)
        made.push_back(members[placed.compute_order(object).members[0]].id);
    return made;
}

// The less loaded one of the first two of the order.
assignment rendezvous_of_two(const member_list& members, std::span<const std::uint64_t> objects) {
    placement placed;
    placed.set_members(members);
    std::vector<double> loads(members.size());
    assignment made;
    for (const auto object : objects) {
        const auto order = placed.compute_order(object);
        const auto first = order.members[0];
        const auto second = order.members[1];
        const auto relative = [&](std::uint32_t i) { return (loads[i] + 1) / members[i].weight; };
        const auto chosen = relative(second) < relative(first) ? second : first;
        ++loads[chosen];
        made.push_back(members[chosen].id);
    }
    return made;
}

struct ring_point {
    std::uint64_t at = 0;
    std::uint32_t member = 0;
    bool operator<(const ring_point& other) const { return at < other.at; }
};

std::vector<ring_point> make_ring(const member_list& members) {
    std::vector<ring_point> ring;
    for (std::uint32_t i = 0; i < members.size(); ++i) {
        const auto points = static_cast<std::size_t>(members[i].weight * ring_points_per_weight);
        for (std::size_t p = 0; p < points; ++p)
            ring.push_back({mixed(mixed(members[i].id) + p), i});
    }
    std::sort(ring.begin(), ring.end());
    return ring;
}

// Consistent hashing whose members take at most ring_bound times their share.
assignment bounded_ring(const member_list& members, std::span<const std::uint64_t> objects) {
    const auto ring = make_ring(members);
    double total = 0;
    for (const auto& member : members)
        total += member.weight;
    std::vector<double> loads(members.size());
    assignment made;
    for (const auto object : objects) {
        auto at = std::lower_bound(ring.begin(), ring.end(), ring_point{mixed(object), 0});
        while (true) {
            if (at == ring.end()) at = ring.begin();
            const auto& member = members[at->member];
            if (loads[at->member] + 1 <=
                ring_bound * static_cast<double>(objects.size()) * member.weight / total)
                break;
            ++at;
        }
        ++loads[at->member];
        made.push_back(members[at->member].id);
    }
    return made;
}

// Lookup table that the members fill in turns, each in the order of its own permutation.
std::vector<std::uint32_t> make_table(const member_list& members, std::uint64_t size) {
    constexpr auto free = static_cast<std::uint32_t>(-1);
    std::vector<std::uint32_t> table(size, free);
    std::vector<std::uint64_t> next(members.size());
    std::vector<double> credit(members.size());
    double largest = 0;
    for (const auto& member : members)
        largest = std::max(largest, member.weight);
    std::uint64_t filled = 0;
    while (filled < size) {
        for (std::uint32_t i = 0; i < members.size() && filled < size; ++i) {
            credit[i] += members[i].weight / largest;
            if (credit[i] < 1) continue;
            credit[i] -= 1;
            const auto offset = mixed(members[i].id) % size;
            const auto skip = mixed(members[i].id + 1) % (size - 1) + 1;
            auto slot = (offset + next[i]++ * skip) % size;
            while (table[slot] != free)
                slot = (offset + next[i]++ * skip) % size;
            table[slot] = i;
            ++filled;
        }
    }
    return table;
}

std::uint64_t table_size(const member_list& members) {
    return members.size() > 500 ? large_table : small_table;
}

assignment maglev_table(const member_list& members, std::span<const std::uint64_t> objects) {
    const auto table = make_table(members, table_size(members));
    assignment made;
    for (const auto object : objects)
        made.push_back(members[table[mixed(object) % table.size()]].id);
    return made;
}

struct rule {
    std::string_view name;
    assignment (*assign)(const member_list& members, std::span<const std::uint64_t> objects);
};

constexpr std::array rules{rule{"plain rendezvous (before)", plain_rendezvous},
                           rule{"weighted rendezvous", weighted_rendezvous},
                           rule{"less loaded of two", rendezvous_of_two}, rule{"bounded ring", bounded_ring},
                           rule{"maglev table", maglev_table}};

member_list make_members(std::size_t count, std::uint64_t seed) {
    member_list made;
    for (std::size_t i = 0; i < count; ++i)
        made.push_back({mixed(seed * 1'000'003 + i), static_cast<double>(2 + i % 3)});
    return made;
}

double total_weight(const member_list& members) {
    double total = 0;
    for (const auto& member : members)
        total += member.weight;
    return total;
}

// Part of the objects that must move so that the shares follow the weights.
double least_moves(const member_list& before, const member_list& after) {
    std::unordered_map<std::uint64_t, double> shares;
    for (const auto& member : before)
        shares[member.id] = member.weight / total_weight(before);
    double gained = 0;
    for (const auto& member : after) {
        const auto found = shares.find(member.id);
        const double had = found == shares.end() ? 0 : found->second;
        gained += std::max(0.0, member.weight / total_weight(after) - had);
    }
    return gained;
}

struct change {
    std::string_view name;
    member_list (*apply)(member_list members, std::size_t count);
};

member_list add(member_list members, std::size_t count) {
    const auto more = make_members(count, 77);
    members.insert(members.end(), more.begin(), more.end());
    return members;
}

// Also what a drain does.
member_list remove(member_list members, std::size_t count) {
    members.erase(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(count));
    return members;
}

member_list replace(member_list members, std::size_t count) {
    return add(remove(std::move(members), count), count);
}

member_list resize(member_list members, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i)
        members[i].weight *= 2;
    return members;
}

constexpr std::array changes{change{"add", add}, change{"remove", remove}, change{"replace", replace},
                             change{"resize", resize}};

void print_moves(std::span<const std::uint64_t> objects, std::uint64_t seed) {
    constexpr std::size_t count = 200;
    const auto members = make_members(count, seed);
    fmt::print("moves relative to the least possible, {} endpoints, {} objects\n", count, objects.size());
    for (const auto& tested : rules) {
        const auto before = tested.assign(members, objects);
        fmt::print("  {:26}", tested.name);
        for (const auto& applied : changes) {
            for (const std::size_t percent : {1, 5, 20}) {
                const auto changed = applied.apply(members, count * percent / 100);
                const auto after = tested.assign(changed, objects);
                std::size_t moved = 0;
                for (std::size_t i = 0; i < objects.size(); ++i)
                    moved += before[i] != after[i] ? 1 : 0;
                const double least = least_moves(members, changed) * static_cast<double>(objects.size());
                fmt::print(" {}{}: {:.2f}", applied.name, percent, static_cast<double>(moved) / least);
            }
        }
        fmt::print("\n");
    }
}

void print_evenness(std::span<const std::uint64_t> objects, std::uint64_t seed) {
    for (const std::size_t count : {20, 200, 2000}) {
        const auto members = make_members(count, seed);
        fmt::print("deviation of the shares from the weights, {} endpoints\n", count);
        for (const auto& tested : rules) {
            std::unordered_map<std::uint64_t, double> held;
            for (const auto id : tested.assign(members, objects))
                ++held[id];
            double squares = 0;
            double largest = 0;
            for (const auto& member : members) {
                const double expected =
                    static_cast<double>(objects.size()) * member.weight / total_weight(members);
                const double off = held[member.id] / expected - 1;
                squares += off * off;
                largest = std::max(largest, std::abs(off));
            }
            fmt::print("  {:26} rms {:5.1f} % largest {:5.1f} %\n", tested.name,
                       100 * std::sqrt(squares / static_cast<double>(count)), 100 * largest);
        }
    }
}

// Mean time of a call in nanoseconds.
double time_ns(std::size_t calls, const std::function<void(std::size_t)>& call) {
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < calls; ++i)
        call(i);
    const std::chrono::duration<double, std::nano> taken = std::chrono::steady_clock::now() - begin;
    return taken.count() / static_cast<double>(calls);
}

void print_costs(std::span<const std::uint64_t> objects, std::uint64_t seed) {
    // As many objects as a service has in use.
    constexpr std::size_t used = 130;
    constexpr std::size_t calls = 20'000;
    std::uint64_t sum = 0;
    for (const std::size_t count : {20, 200, 2000}) {
        const auto members = make_members(count, seed);
        placement placed;
        placed.set_members(members);
        const auto uncached =
            time_ns(calls, [&](std::size_t i) { sum += placed.compute_order(objects[i]).members[0]; });
        const auto cached =
            time_ns(calls, [&](std::size_t i) { sum += placed.order_of(objects[i % used]).members[0]; });
        const auto plain = time_ns(calls / 10, [&](std::size_t i) {
            sum += plain_rendezvous(members, objects.subspan(i, 1)).front();
        });
        const auto ring = make_ring(members);
        const auto on_ring = time_ns(calls, [&](std::size_t i) {
            sum += std::lower_bound(ring.begin(), ring.end(), ring_point{mixed(objects[i]), 0})->member;
        });
        const auto table = make_table(members, table_size(members));
        const auto in_table =
            time_ns(calls, [&](std::size_t i) { sum += table[mixed(objects[i]) % table.size()]; });
        const auto ring_build = time_ns(3, [&](std::size_t) { sum += make_ring(members).size(); });
        const auto table_build =
            time_ns(3, [&](std::size_t) { sum += make_table(members, table_size(members)).size(); });
        fmt::print("ns per choice, {} endpoints: plain rendezvous {:.0f}, weighted rendezvous {:.0f} (cached "
                   "{:.0f}), ring {:.0f} (built in {:.2f} ms), maglev {:.0f} (built in {:.2f} ms)\n",
                   count, plain, uncached, cached, on_ring, ring_build / 1e6, in_table, table_build / 1e6);
    }
    fmt::print("checksum {}\n", sum % 1000);
}

} // namespace

int run_placement(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::vector<std::uint64_t> objects(object_count);
    for (auto& object : objects)
        object = random() & 0xffffffffU;
    print_moves(objects, seed);
    print_evenness(objects, seed);
    print_costs(objects, seed);
    return 0;
}

} // namespace lacewing::bench
