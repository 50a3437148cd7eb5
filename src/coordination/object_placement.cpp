#include "coordination/object_placement.h"

#include <algorithm>

namespace lacewing {

namespace {

// The members follow the registrations with this delay; an endpoint that cannot be used is passed over at
// once.
constexpr time_ms refresh_interval{200};
// Largest cost by which the order of the object decides between equal endpoints.
constexpr double max_order_cost_ms = 4;
// A cold request at an endpoint of other objects may displace one of them, which costs a later request what a
// warm object saves, if it would have been warm: part of that cost that counts for the choice.
constexpr double displacement_share = 0.5;
// Weight of a request in the smoothed share of warm requests.
constexpr double warm_share_weight = 0.02;
// Objects whose last endpoint is remembered for the counters.
constexpr std::size_t last_place_slots = 4096;

} // namespace

std::size_t object_placement::own_endpoints::rank(const endpoint_state& endpoint) const {
    for (std::size_t i = 0; i < order.count; ++i) {
        if (members->endpoints[order.members.at(i)].get() == &endpoint) return i;
    }
    return placement_order::capacity;
}

// Brings the member lists of a service up to date.
void object_placement::refresh(time_ms now, service_members& members,
                               std::span<const std::shared_ptr<endpoint_state>> endpoints, time_ms warmup,
                               const std::function<bool(const endpoint_state&)>& drained) {
    if (members.known && now - members.refreshed < refresh_interval) return;
    members.known = true;
    members.refreshed = now;
    std::map<std::uint32_t, std::pair<std::vector<placement_member>, region_members*>> lists;
    for (auto& region : members.regions) {
        region.endpoints.clear();
        lists[region.region].second = &region;
    }
    for (const auto& endpoint : endpoints) {
        auto& [list, region] = lists[endpoint->region_tag];
        if (endpoint->registration.draining || endpoint->replaced || drained(*endpoint)) continue;
        const auto slots = static_cast<double>(endpoint->registration.slots);
        const auto ready = std::max(endpoint->joined, endpoint->cold_until);
        list.push_back({endpoint->tag, warmed_weight(slots, now - ready, warmup)});
    }
    for (auto& [tag, entry] : lists) {
        if (entry.second == nullptr) members.regions.push_back({tag, {}, {}});
    }
    for (auto& region : members.regions)
        region.places.set_members(std::move(lists[region.region].first));
    for (const auto& endpoint : endpoints) {
        if (endpoint->registration.draining || endpoint->replaced || drained(*endpoint)) continue;
        const auto region =
            std::find_if(members.regions.begin(), members.regions.end(),
                         [&](const auto& item) { return item.region == endpoint->region_tag; });
        region->endpoints.push_back(endpoint);
    }
}

void object_placement::prepare(time_ms now, std::string_view service, std::uint32_t object,
                               std::span<const std::shared_ptr<endpoint_state>> endpoints, time_ms warmup,
                               const std::function<bool(const endpoint_state&)>& drained,
                               const view_function& view) {
    own_.clear();
    if (object == 0) return;
    auto found = services_.find(service);
    if (found == services_.end()) found = services_.emplace(service, service_members{}).first;
    auto& members = found->second;
    refresh(now, members, endpoints, warmup, drained);
    warm_share_ = members.warm_share;
    for (auto& region : members.regions) {
        if (region.endpoints.size() < min_endpoints) continue;
        own_endpoints made{region.region, region.places.order_of(object), 0, &region};
        std::size_t free = 0;
        while (made.own < made.order.count && free < own_with_free_slot) {
            const auto seen = view(*region.endpoints[made.order.members.at(made.own)]);
            if (seen.usable && seen.has_free_slot) ++free;
            ++made.own;
        }
        own_.push_back(made);
    }
}

const object_placement::own_endpoints* object_placement::own_in(std::uint32_t region) const {
    const auto found =
        std::find_if(own_.begin(), own_.end(), [region](const auto& item) { return item.region == region; });
    return found == own_.end() ? nullptr : &*found;
}

bool object_placement::places(std::uint32_t region) const {
    return own_in(region) != nullptr;
}

double object_placement::cost_ms(const endpoint_state& endpoint, std::uint32_t home, bool warm,
                                 double warm_gain_ms) const {
    const auto* own = own_in(endpoint.region_tag);
    const auto rank = own == nullptr ? placement_order::capacity : own->rank(endpoint);
    const double order_cost =
        own == nullptr || rank >= own->own
            ? max_order_cost_ms
            : max_order_cost_ms * static_cast<double>(rank) / static_cast<double>(placement_order::capacity);
    const bool is_own = own != nullptr && endpoint.region_tag == home && rank < own->own;
    // Without own endpoints at home, the choice between regions must not depend on the placement.
    if (warm || is_own || !places(home)) return order_cost;
    return order_cost + displacement_share * warm_share_ * warm_gain_ms;
}

object_placement::member_position object_placement::find_member(std::string_view service,
                                                                std::uint32_t endpoint_tag) {
    const auto found = services_.find(service);
    if (found == services_.end()) return {};
    for (auto& region : found->second.regions) {
        for (std::uint32_t i = 0; i < region.endpoints.size(); ++i) {
            if (region.endpoints[i]->tag == endpoint_tag) return {&region, i};
        }
    }
    return {};
}

// Whether an endpoint is among the first own_with_free_slot of an object's order.
bool object_placement::is_first_choice(const member_position& position, std::uint32_t object) {
    if (position.members == nullptr || position.members->endpoints.size() < min_endpoints) return false;
    const auto rank = position.members->places.order_of(object).rank_of(position.index);
    return rank && *rank < own_with_free_slot;
}

// Counts why an object left the endpoint to which it was sent before.
void object_placement::count_change(const member_position& before, const last_place& last,
                                    const view_function& view) {
    if (before.members == nullptr) {
        ++changes_.gone;
        return;
    }
    const auto seen = view(*before.members->endpoints[before.index]);
    if (!seen.usable) {
        ++changes_.gone;
    } else if (!seen.has_free_slot) {
        ++changes_.full;
    } else if (last.first_choice && !is_first_choice(before, last.object)) {
        ++changes_.resized;
    } else {
        ++changes_.faster_elsewhere;
    }
}

void object_placement::on_send(std::string_view service, const endpoint_state& endpoint, std::uint32_t object,
                               const view_function& view) {
    if (last_places_.empty()) last_places_.resize(last_place_slots);
    auto& last = last_places_[object % last_place_slots];
    const bool warm = endpoint.warm_objects.has(object);
    ++changes_.requests;
    if (warm) ++changes_.warm_requests;
    if (const auto found = services_.find(service); found != services_.end()) {
        auto& share = found->second.warm_share;
        share += warm_share_weight * ((warm ? 1 : 0) - share);
    }
    const bool changed = last.object == object && last.endpoint_tag != endpoint.tag;
    if (changed && !warm) count_change(find_member(service, last.endpoint_tag), last, view);
    last = {object, endpoint.tag, is_first_choice(find_member(service, endpoint.tag), object)};
}

std::optional<placement_changes> object_placement::take_changes(time_ms now) {
    if (now - logged_at_ < log_interval || changes_.requests == logged_.requests) return std::nullopt;
    const placement_changes made{changes_.gone - logged_.gone,
                                 changes_.full - logged_.full,
                                 changes_.faster_elsewhere - logged_.faster_elsewhere,
                                 changes_.resized - logged_.resized,
                                 changes_.requests - logged_.requests,
                                 changes_.warm_requests - logged_.warm_requests};
    logged_ = changes_;
    logged_at_ = now;
    return made;
}

} // namespace lacewing
