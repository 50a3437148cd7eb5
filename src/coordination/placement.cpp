#include "coordination/placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lacewing {

namespace {

constexpr std::size_t cache_slots = 1024;
// Each step of a rising weight invalidates the cached orders.
constexpr int warmup_steps = 8;

// The finalizer of splitmix64 spreads the bits of a value.
std::uint64_t mixed(std::uint64_t value) {
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

// Uniform random number above 0 and up to 1 that belongs to a member and an object.
double uniform_of(std::uint64_t member, std::uint64_t object) {
    const auto bits = mixed(mixed(member + 0x9e3779b97f4a7c15ULL) ^ object);
    return (static_cast<double>(bits >> 11U) + 1) * 0x1.0p-53;
}

} // namespace

std::optional<std::size_t> placement_order::rank_of(std::uint32_t member) const {
    const auto known = view();
    const auto found = std::find(known.begin(), known.end(), member);
    if (found == known.end()) return std::nullopt;
    return static_cast<std::size_t>(found - known.begin());
}

bool placement::set_members(std::vector<placement_member> members) {
    if (members == members_) return false;
    members_ = std::move(members);
    ++generation_;
    return true;
}

// The distance -log(u) / weight is exponentially distributed with the weight as its rate, so a member is the
// nearest one with a probability in proportion to its weight.
placement_order placement::compute_order(std::uint64_t object) const {
    placement_order order;
    std::array<double, placement_order::capacity> distances{};
    for (std::uint32_t i = 0; i < members_.size(); ++i) {
        const auto& member = members_[i];
        if (!(member.weight > 0)) continue;
        const double u = uniform_of(member.id, object);
        const bool filled = order.count == placement_order::capacity;
        // 1 - u is a lower bound of -log(u) that spares most logarithms.
        if (filled && 1 - u >= distances.back() * member.weight) continue;
        const double distance = -std::log(u) / member.weight;
        if (filled && distance >= distances.back()) continue;
        auto at = filled ? order.count - 1 : order.count++;
        for (; at > 0 && distances[at - 1] > distance; --at) {
            distances[at] = distances[at - 1];
            order.members[at] = order.members[at - 1];
        }
        distances[at] = distance;
        order.members[at] = i;
    }
    return order;
}

const placement_order& placement::order_of(std::uint64_t object) {
    if (cache_.empty()) cache_.resize(cache_slots);
    auto& slot = cache_[mixed(object) % cache_slots];
    if (slot.generation != generation_ || slot.object != object)
        slot = {object, generation_, compute_order(object)};
    return slot.order;
}

double warmed_weight(double weight, time_ms age, time_ms warmup) {
    if (warmup <= time_ms{0} || age >= warmup) return weight;
    const auto passed = static_cast<double>(std::max<std::int64_t>(0, age.count));
    const double step = std::floor(passed / static_cast<double>(warmup.count) * warmup_steps) + 1;
    return weight * std::min(1.0, step / warmup_steps);
}

} // namespace lacewing
