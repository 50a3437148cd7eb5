#include "coordination/entry_selector.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

using namespace literals;

constexpr time_ms default_lifetime = 10_s;
// Used while any VM is draining or leaving, so that callers ask again sooner.
constexpr time_ms lifetime_during_drain = 2_s;
constexpr std::size_t other_region_rank = 1'000'000;

// Finalizer of splitmix64: spreads the bits of the value evenly over 64 bits.
std::uint64_t mix_bits(std::uint64_t value) {
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

// Weighted rendezvous hashing: each VM gets callers in proportion to its weight, and a change of one VM's
// weight moves callers only to or from that VM.
double rendezvous_score(std::uint64_t caller, std::uint64_t seed, std::int32_t weight) {
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    const double uniform = (static_cast<double>(mix_bits(caller ^ seed) >> 11) + 0.5) * scale;
    return -static_cast<double>(weight) / std::log(uniform);
}

bool selectable(const entry_candidate& candidate) {
    return candidate.state == member_state::alive || candidate.state == member_state::suspect;
}

} // namespace

entry_selector::entry_selector(std::span<const entry_candidate> candidates, std::span<const block_site> sites,
                               std::span<const std::pair<zone_name, region_name>> zone_regions)
    : lifetime_(default_lifetime) {
    std::vector<entry_candidate> usable;
    for (const auto& candidate : candidates) {
        if (candidate.draining || candidate.state == member_state::leaving) lifetime_ = lifetime_during_drain;
        if (selectable(candidate)) usable.push_back(candidate);
    }
    // Suspect VMs are used only if no VM is alive; of the VMs that remain, draining ones only if all are
    // draining.
    const auto keep_if_any = [&](auto preferred) {
        if (std::any_of(usable.begin(), usable.end(), preferred))
            std::erase_if(usable, [&](const entry_candidate& candidate) { return !preferred(candidate); });
    };
    keep_if_any([](const entry_candidate& candidate) { return candidate.state == member_state::alive; });
    keep_if_any([](const entry_candidate& candidate) { return !candidate.draining; });
    for (const auto& site : sites)
        orders_.push_back(build_order(usable, &site, zone_regions));
    order_without_site_ = build_order(usable, nullptr, zone_regions);
}

entry_selector::site_order
entry_selector::build_order(std::span<const entry_candidate> usable, const block_site* site,
                            std::span<const std::pair<zone_name, region_name>> zone_regions) {
    // Rank of a VM: position of its zone in the site's list; other zones in the region of the first listed
    // zone come next, then all other regions.
    const auto rank_of = [&](const entry_candidate& candidate) -> std::size_t {
        if (site == nullptr || site->zones.empty()) return 0;
        const auto position = std::find(site->zones.begin(), site->zones.end(), candidate.zone);
        if (position != site->zones.end()) return static_cast<std::size_t>(position - site->zones.begin());
        for (const auto& [zone, region] : zone_regions) {
            if (zone == site->zones.front() && region == candidate.region) return site->zones.size();
        }
        return other_region_rank;
    };
    std::vector<std::pair<std::size_t, vm_entry>> ranked;
    for (const auto& candidate : usable) {
        const auto weight = std::clamp(candidate.headroom, 1, 1000);
        ranked.emplace_back(rank_of(candidate),
                            vm_entry{candidate.vm, mix_bits(candidate.incarnation.value), weight});
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    site_order order;
    for (std::size_t i = 0; i < ranked.size(); ++i) {
        const auto index = static_cast<std::uint32_t>(i);
        if (i == 0 || ranked[i].first != ranked[i - 1].first) order.tiers.push_back({index, index});
        order.tiers.back().end = index + 1;
        order.vms.push_back(ranked[i].second);
    }
    return order;
}

entry_selection entry_selector::select(std::optional<site_index> site, const ip_address& caller) const {
    const auto& order = site && *site < orders_.size() ? orders_[*site] : order_without_site_;
    const auto hash = mix_bits(caller.high ^ mix_bits(caller.low));
    entry_selection result;
    result.lifetime = lifetime_;
    std::array<double, entry_selection::max_vms> scores{};
    for (const auto& [begin, end] : order.tiers) {
        // Insertion sort by descending score: keeps the best VMs of this tier behind those of the better
        // tiers.
        const auto first = result.count;
        if (first == entry_selection::max_vms) break;
        for (auto i = begin; i < end; ++i) {
            const auto& vm = order.vms[i];
            const double score = rendezvous_score(hash, vm.seed, vm.weight);
            const bool full = result.count == entry_selection::max_vms;
            if (full && score <= scores[result.count - 1]) continue;
            auto position = full ? result.count - 1 : result.count++;
            for (; position > first && scores[position - 1] < score; --position) {
                scores[position] = scores[position - 1];
                result.vms[position] = result.vms[position - 1];
            }
            scores[position] = score;
            result.vms[position] = vm.vm;
        }
    }
    return result;
}

} // namespace lacewing
