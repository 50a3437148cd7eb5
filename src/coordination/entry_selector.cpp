#include "coordination/entry_selector.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lacewing {

namespace {

using namespace literals;

constexpr time_ms usual_lifetime = 10_s;
constexpr time_ms drain_lifetime = 2_s;
constexpr std::size_t other_region_rank = 1'000'000;

// Mixes caller and VM into 64 evenly distributed bits (finaliser of splitmix64).
std::uint64_t mix(std::uint64_t value) {
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

// Weighted rendezvous score: a VM gets callers in proportion to its weight, and a change of one VM moves only
// the callers of that VM.
double rendezvous_score(std::uint64_t caller, std::uint64_t seed, std::int32_t weight) {
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    const double uniform = (static_cast<double>(mix(caller ^ seed) >> 11) + 0.5) * scale;
    return -static_cast<double>(weight) / std::log(uniform);
}

bool named_at_all(const entry_candidate& candidate) {
    return candidate.state == member_state::alive || candidate.state == member_state::suspect;
}

} // namespace

entry_selector::entry_selector(std::span<const entry_candidate> candidates, std::span<const block_site> sites,
                               std::span<const std::pair<zone_name, region_name>> zone_regions)
    : lifetime_(usual_lifetime) {
    std::vector<entry_candidate> usable;
    for (const auto& candidate : candidates) {
        if (candidate.draining || candidate.state == member_state::leaving) lifetime_ = drain_lifetime;
        if (named_at_all(candidate)) usable.push_back(candidate);
    }
    // Suspects and draining VMs are named only when nothing better exists.
    const auto keep_if_any = [&](auto good) {
        if (std::any_of(usable.begin(), usable.end(), good))
            std::erase_if(usable, [&](const entry_candidate& item) { return !good(item); });
    };
    keep_if_any([](const entry_candidate& item) { return item.state == member_state::alive; });
    keep_if_any([](const entry_candidate& item) { return !item.draining; });
    for (const auto& site : sites)
        orders_.push_back(build_order(usable, &site, zone_regions));
    anywhere_ = build_order(usable, nullptr, zone_regions);
}

entry_selector::site_order
entry_selector::build_order(std::span<const entry_candidate> usable, const block_site* site,
                            std::span<const std::pair<zone_name, region_name>> zone_regions) {
    // Rank of a VM: place of its zone in the site's list; then zones of the first zone's region; then the
    // rest.
    const auto rank_of = [&](const entry_candidate& item) -> std::size_t {
        if (site == nullptr || site->zones.empty()) return 0;
        const auto place = std::find(site->zones.begin(), site->zones.end(), item.zone);
        if (place != site->zones.end()) return static_cast<std::size_t>(place - site->zones.begin());
        for (const auto& [zone, region] : zone_regions) {
            if (zone == site->zones.front() && region == item.region) return site->zones.size();
        }
        return other_region_rank;
    };
    std::vector<std::pair<std::size_t, vm_entry>> ranked;
    for (const auto& item : usable) {
        const auto weight = std::clamp(item.headroom, 1, 1000);
        ranked.emplace_back(rank_of(item), vm_entry{item.vm, mix(item.incarnation.value), weight});
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    site_order order;
    for (std::size_t i = 0; i < ranked.size(); ++i) {
        const auto at = static_cast<std::uint32_t>(i);
        if (i == 0 || ranked[i].first != ranked[i - 1].first) order.tiers.push_back({at, at});
        order.tiers.back().end = at + 1;
        order.vms.push_back(ranked[i].second);
    }
    return order;
}

entry_selection entry_selector::select(std::optional<site_index> site, const ip_address& caller) const {
    const auto& order = site && *site < orders_.size() ? orders_[*site] : anywhere_;
    const auto hash = mix(caller.high ^ mix(caller.low));
    entry_selection result;
    result.lifetime = lifetime_;
    for (const auto& [begin, end] : order.tiers) {
        // The best VMs of the tier that are not chosen yet, by descending score.
        double bound = std::numeric_limits<double>::infinity();
        while (result.count < entry_selection::max_vms) {
            double best = -1;
            std::uint32_t vm = 0;
            for (auto i = begin; i < end; ++i) {
                const double score = rendezvous_score(hash, order.vms[i].seed, order.vms[i].weight);
                if (score >= bound || score <= best) continue;
                best = score;
                vm = order.vms[i].vm;
            }
            if (best < 0) break;
            bound = best;
            result.vms[result.count++] = vm;
        }
    }
    return result;
}

} // namespace lacewing
