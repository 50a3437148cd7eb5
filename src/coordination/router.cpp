#include "coordination/router.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace lacewing {

namespace {

using namespace literals;

constexpr std::int64_t one_request_ppm = 1'000'000;
constexpr double smoothing = 0.1;
// A report is ignored once it is older than this, so that a wrong one cannot bar an endpoint for long.
constexpr time_ms report_lifetime = 2_s;
constexpr time_ms shed_pause = 1_s;
constexpr time_ms ramp_step = 1_s;
constexpr int max_ramp_doublings = 30;
constexpr time_ms ejection_check_interval = 500_ms;
constexpr time_ms first_ejection = 5_s;
constexpr std::uint8_t max_ejection_doublings = 3;
constexpr std::uint32_t min_ejection_samples = 20;
// With a third of the endpoints ejected the others still hold the load of a route at two thirds of its slots.
constexpr std::uint32_t ejected_part = 3;
constexpr double slow_factor = 3.0;
// Below this distance to the median, a high factor is noise of a millisecond clock.
constexpr double slow_min_ms = 10.0;
constexpr double error_rate_limit = 0.4;
// Keeps the product with the bandwidth far from overflow; a link in debt for longer than this stays so.
constexpr time_ms max_refill = 3600_s;

std::string key_of(std::string_view route, std::string_view name) {
    return fmt::format("{}/{}", route, name);
}

const zone* zone_named(const configuration& config, const zone_name& name) {
    const auto found = std::find_if(config.zones.begin(), config.zones.end(),
                                    [&](const zone& listed) { return listed.name == name; });
    return found == config.zones.end() ? nullptr : &*found;
}

std::int32_t to_count(std::int64_t value) {
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(value, 0, 1'000'000'000));
}

} // namespace

router::router(const configuration& config, zone_name own_zone, std::uint64_t seed, selection_rule rule)
    : own_zone_(std::move(own_zone)), rule_(rule), random_(seed) {
    update(config, {}, {});
}

void router::update(const configuration& config, std::span<const endpoint_name> drained,
                    std::span<const version_share> shares) {
    update_regions(config);
    for (auto& state : endpoints_)
        state.listed = false;
    const auto earlier = std::move(routes_);
    routes_.clear();
    for (const auto& listed : config.routes)
        build_route(config, listed, shares, earlier);
    std::size_t largest = 0;
    for (const auto& in : routes_)
        largest = std::max<std::size_t>(largest, in.endpoint_count);
    candidates_.reserve(largest);
    sorted_.reserve(largest);
    for (auto& state : endpoints_) {
        state.drained = std::any_of(drained.begin(), drained.end(),
                                    [&](const endpoint_name& name) { return name.value == state.name; });
    }
    for (std::uint32_t i = 0; i < endpoints_.size(); ++i)
        release_if_unlisted(i);
}

// Regions keep their index; one that is no longer listed keeps its count with a capacity of 0.
void router::update_regions(const configuration& config) {
    for (auto& state : regions_)
        state.capacity = 0;
    const auto* own = zone_named(config, own_zone_);
    for (const auto& listed : config.regions) {
        auto found = std::find_if(regions_.begin(), regions_.end(),
                                  [&](const region_state& state) { return state.name == listed.name; });
        if (found == regions_.end()) {
            found = regions_.insert(regions_.end(), region_state{});
            found->name = listed.name;
            found->limit = listed.capacity;
        }
        // A limit that was not lowered follows the configured capacity.
        if (found->limit == found->configured) found->limit = listed.capacity;
        found->capacity = found->configured = listed.capacity;
        found->own = own != nullptr && own->region == listed.name;
    }
}

std::uint32_t router::region_index(const configuration& config, const zone_name& name) const {
    const auto* listed = zone_named(config, name);
    for (std::uint32_t i = 0; listed != nullptr && i < regions_.size(); ++i) {
        if (regions_[i].name == listed->region) return i;
    }
    throw error(error_kind::internal, fmt::format("zone '{}' lies in no listed region", name.value));
}

void router::build_route(const configuration& config, const route& listed,
                         std::span<const version_share> shares, const std::vector<route_state>& earlier) {
    route_state built;
    built.name = listed.name;
    const auto before = std::find_if(earlier.begin(), earlier.end(),
                                     [&](const route_state& state) { return state.name == listed.name; });
    if (before != earlier.end()) built.latency = before->latency;
    const auto* own = zone_named(config, own_zone_);
    std::vector<distance> distances(endpoints_.size() + listed.endpoints.size());
    for (const auto& item : listed.endpoints) {
        const auto index = slot_for(key_of(listed.name.value, item.name.value));
        const auto region = region_index(config, item.zone);
        update_endpoint(index, item, region);
        endpoints_[index].route = static_cast<std::uint32_t>(routes_.size());
        const bool same_region = own != nullptr && regions_[region].name == own->region;
        distances[index] = item.zone == own_zone_ ? distance::own_zone
                           : same_region          ? distance::own_region
                                                  : distance::other_region;
        auto group =
            std::find_if(built.groups.begin(), built.groups.end(),
                         [&](const version_group& candidate) { return candidate.version == item.version; });
        if (group == built.groups.end()) {
            group = built.groups.insert(built.groups.end(), version_group{});
            group->version = item.version;
        }
        group->endpoints.push_back(index);
        ++built.endpoint_count;
    }
    for (auto& group : built.groups) {
        std::stable_sort(group.endpoints.begin(), group.endpoints.end(),
                         [&](std::uint32_t a, std::uint32_t b) { return distances[a] < distances[b]; });
        const auto nearer_than = [&](distance limit) {
            return static_cast<std::uint32_t>(
                std::count_if(group.endpoints.begin(), group.endpoints.end(),
                              [&](std::uint32_t index) { return distances[index] <= limit; }));
        };
        group.zone_end = nearer_than(distance::own_zone);
        group.region_end = nearer_than(distance::own_region);
        for (std::size_t rank = 0; rank < shares.size(); ++rank) {
            const auto& share = shares[rank];
            if (share.route != listed.name || share.version != group.version) continue;
            group.share_ppm = std::clamp<std::int64_t>(share.ppm, 0, one_request_ppm);
            group.share_rank = rank;
        }
        if (before == earlier.end()) continue;
        for (const auto& old : before->groups) {
            if (old.version == group.version && group.share_ppm > 0) group.credit = old.credit;
        }
    }
    // Limited versions come first: they take a request whenever their credit covers one. The smallest share
    // is first, because a version that an earlier move has given all requests would leave none to a newer
    // one.
    std::stable_sort(built.groups.begin(), built.groups.end(),
                     [](const version_group& a, const version_group& b) {
                         const bool a_limited = a.share_ppm >= 0;
                         const bool b_limited = b.share_ppm >= 0;
                         if (!a_limited || !b_limited) return a_limited && !b_limited;
                         if (a.share_ppm != b.share_ppm) return a.share_ppm < b.share_ppm;
                         return a.share_rank > b.share_rank;
                     });
    routes_.push_back(std::move(built));
}

// Index of the endpoint with this key, new or known.
std::uint32_t router::slot_for(const std::string& key) {
    if (const auto found = by_key_.find(key); found != by_key_.end()) return found->second;
    std::uint32_t index = 0;
    if (free_.empty()) {
        index = static_cast<std::uint32_t>(endpoints_.size());
        endpoints_.emplace_back();
    } else {
        index = free_.back();
        free_.pop_back();
        const auto generation = endpoints_[index].generation + 1;
        endpoints_[index] = endpoint_state{};
        endpoints_[index].generation = generation;
    }
    endpoints_[index].key = key;
    by_key_.emplace(key, index);
    return index;
}

void router::update_endpoint(std::uint32_t index, const endpoint& listed, std::uint32_t region) {
    auto& state = endpoints_[index];
    state.listed = true;
    const bool replaced = state.address != listed.address || state.version != listed.version;
    if (replaced) {
        // Another process behind the same name: its requests in flight still count, its history does not.
        ++state.generation;
        state.breaker = circuit_breaker{};
        state.latency = state.error_rate = 0;
        state.samples = 0;
        state.ejections = 0;
        state.ejected_until = state.report_until = time_ms{};
        state.ramp_start = time_ms{-1};
    }
    if (state.slot_limit == state.slots) state.slot_limit = to_count(listed.slots);
    if (state.connection_limit == state.configured_connections)
        state.connection_limit = to_count(listed.connections);
    state.slots = to_count(listed.slots);
    state.configured_connections = to_count(listed.connections);
    regions_[state.region].in_flight -= state.in_flight;
    regions_[region].in_flight += state.in_flight;
    state.region = region;
    state.name = listed.name.value;
    state.address = listed.address;
    state.version = listed.version;
}

// Forgets an endpoint that is no longer listed once nothing is in flight on it.
void router::release_if_unlisted(std::uint32_t index) {
    auto& state = endpoints_[index];
    if (state.listed || state.in_flight > 0 || state.connections > 0 || state.key.empty()) return;
    by_key_.erase(state.key);
    state.key.clear();
    free_.push_back(index);
}

std::optional<std::uint32_t> router::find_route(std::string_view name) const {
    for (std::uint32_t i = 0; i < routes_.size(); ++i) {
        if (routes_[i].name.value == name) return i;
    }
    return std::nullopt;
}

std::optional<std::uint32_t> router::find_endpoint(std::string_view route, std::string_view name) const {
    const auto found = by_key_.find(key_of(route, name));
    if (found == by_key_.end()) return std::nullopt;
    return found->second;
}

// Slots that this VM may occupy now: own limits first, a load report can only lower them.
std::int64_t router::limit_of(time_ms now, const endpoint_state& state) const {
    std::int64_t limit = std::min(state.slots, state.slot_limit);
    const auto steps = state.ramp_start.count < 0 ? 0 : (now - state.ramp_start).count / ramp_step.count;
    limit = std::min(limit, std::int64_t{1} << std::clamp<std::int64_t>(steps, 0, max_ramp_doublings));
    if (now < state.report_until) limit = std::min<std::int64_t>(limit, state.report_limit);
    return limit;
}

std::int64_t router::headroom(time_ms now, std::uint32_t endpoint) const {
    const auto& state = endpoints_[endpoint];
    if (state.drained || !state.listed || now < state.ejected_until || !state.breaker.allows(now)) return 0;
    return std::max<std::int64_t>(limit_of(now, state) - state.in_flight, 0);
}

bool router::available(time_ms now, std::uint32_t index, std::span<const std::uint32_t> excluded) {
    const auto& state = endpoints_[index];
    if (headroom(now, index) <= 0) return false;
    if (state.in_flight >= state.connections && state.connections >= state.connection_limit) return false;
    auto& region = regions_[state.region];
    if (region.in_flight >= std::min(region.capacity, region.limit)) return false;
    return std::find(excluded.begin(), excluded.end(), index) == excluded.end();
}

void router::refill_link(time_ms now, region_state& state) {
    // At most one second's worth is saved up; more would put a burst above the bandwidth on the link.
    const auto elapsed = std::clamp<std::int64_t>((now - state.link_time).count, 0, max_refill.count);
    state.link_milli_bytes =
        std::min(state.link_milli_bytes + state.link_rate * elapsed, state.link_rate * 1000);
    state.link_time = std::max(state.link_time, now);
}

std::optional<route_ticket> router::choose(time_ms now, std::uint32_t route,
                                           std::span<const std::uint32_t> excluded, std::int64_t link_bytes) {
    auto& in = routes_[route];
    // Links are checked once per decision; the flag avoids a refill per endpoint.
    for (auto& region : regions_) {
        if (region.own) continue;
        refill_link(now, region);
        region.link_open = region.link_milli_bytes > 0 && region.link_milli_bytes >= link_bytes * 1000;
    }
    const bool retry = !excluded.empty();
    for (const auto& group : in.groups) {
        if (group.share_ppm >= 0) {
            // A retry is no request of its own: it may spend credit and does not earn any.
            const auto credit = group.credit + (retry ? 0 : group.share_ppm);
            if (group.share_ppm == 0 || credit < one_request_ppm) continue;
        }
        const auto index = choose_in_group(now, in, group, excluded);
        if (!index) continue;
        spend_credit(in, group, retry);
        return occupy(now, *index, link_bytes);
    }
    return std::nullopt;
}

// Every request earns each limited version its share; the chosen version pays for one request.
void router::spend_credit(route_state& in, const version_group& chosen, bool retry) {
    for (auto& group : in.groups) {
        if (group.share_ppm <= 0) continue;
        if (!retry) group.credit += group.share_ppm;
        if (&group == &chosen) group.credit -= one_request_ppm;
        // Credit beyond one request is forfeited, so that no burst follows a time without headroom.
        group.credit = std::min(group.credit, one_request_ppm);
    }
}

std::optional<std::uint32_t> router::choose_in_group(time_ms now, route_state& in, const version_group& group,
                                                     std::span<const std::uint32_t> excluded) {
    const auto count = static_cast<std::uint32_t>(group.endpoints.size());
    std::uint32_t begin = 0;
    for (const auto end : {group.zone_end, group.region_end, count}) {
        candidates_.clear();
        for (std::uint32_t i = begin; i < end; ++i) {
            const auto index = group.endpoints[i];
            const auto& region = regions_[endpoints_[index].region];
            if (!region.own && !region.link_open) continue;
            if (available(now, index, excluded)) candidates_.push_back(index);
        }
        if (!candidates_.empty()) return pick(now, in);
        begin = end;
    }
    return std::nullopt;
}

// Cost of one more request: relative occupancy times the latency seen by this VM.
double router::score(time_ms now, const route_state& in, const endpoint_state& state) const {
    const auto limit = static_cast<double>(std::max<std::int64_t>(limit_of(now, state), 1));
    const double latency = state.samples > 0 ? state.latency : in.latency;
    return (state.in_flight + 1) / limit * std::max(latency, 1.0);
}

std::uint32_t router::pick(time_ms now, route_state& in) {
    const auto count = static_cast<std::uint32_t>(candidates_.size());
    if (count == 1) return candidates_[0];
    if (rule_ == selection_rule::round_robin) return candidates_[in.next++ % count];
    if (rule_ == selection_rule::least_in_flight) {
        // Ties go to the endpoints in turn, not always to the first.
        const auto start = in.next++;
        auto best = candidates_[start % count];
        for (std::uint32_t i = 1; i < count; ++i) {
            const auto other = candidates_[(start + i) % count];
            if (endpoints_[other].in_flight < endpoints_[best].in_flight) best = other;
        }
        return best;
    }
    const auto bits = random_();
    const auto first = static_cast<std::uint32_t>(((bits & 0xffff'ffff) * count) >> 32);
    auto second = static_cast<std::uint32_t>(((bits >> 32) * (count - 1)) >> 32);
    if (second >= first) ++second;
    const auto a = candidates_[first];
    const auto b = candidates_[second];
    return score(now, in, endpoints_[a]) <= score(now, in, endpoints_[b]) ? a : b;
}

route_ticket router::occupy(time_ms now, std::uint32_t index, std::int64_t link_bytes) {
    auto& state = endpoints_[index];
    auto& region = regions_[state.region];
    ++state.in_flight;
    ++region.in_flight;
    if (state.ramp_start.count < 0) state.ramp_start = now;
    route_ticket ticket{index, state.generation, state.breaker.on_send(now), region.own ? 0 : link_bytes};
    region.link_milli_bytes -= ticket.link_bytes * 1000;
    return ticket;
}

void router::finish(time_ms now, const route_ticket& ticket, const attempt_result& result) {
    auto& state = endpoints_[ticket.endpoint];
    auto& region = regions_[state.region];
    --state.in_flight;
    --region.in_flight;
    if (!region.own) {
        refill_link(now, region);
        region.link_milli_bytes -= (result.link_bytes - ticket.link_bytes) * 1000;
    }
    if (state.generation == ticket.generation && state.listed) {
        record(now, state, ticket, result);
        if (state.route < routes_.size()) eject_outliers(now, routes_[state.route]);
    }
    release_if_unlisted(ticket.endpoint);
}

void router::record(time_ms now, endpoint_state& state, const route_ticket& ticket,
                    const attempt_result& result) {
    if (result.reported_load) {
        const double load = std::isfinite(*result.reported_load) ? *result.reported_load : 1.0;
        const auto free = static_cast<std::int32_t>(
            std::floor((1.0 - std::clamp(load, 0.0, 1.0)) * static_cast<double>(state.slots)));
        // At least one slot stays usable: without a request there is no newer report.
        state.report_limit = std::max(1, state.in_flight + free);
        state.report_until = now + report_lifetime;
    }
    switch (result.outcome) {
    case attempt_outcome::neutral:
        state.breaker.on_neutral(ticket.probe);
        return;
    case attempt_outcome::shed:
        state.breaker.on_neutral(ticket.probe);
        state.report_limit = std::max(1, state.in_flight);
        state.report_until = now + shed_pause;
        return;
    case attempt_outcome::success:
        // An endpoint that comes back from a failure is as cold as a new one.
        if (state.breaker.on_success(now, ticket.probe)) state.ramp_start = now;
        break;
    case attempt_outcome::failure:
        state.breaker.on_failure(now, ticket.probe);
        break;
    }
    const bool failed = result.outcome == attempt_outcome::failure;
    state.error_rate += smoothing * ((failed ? 1.0 : 0.0) - state.error_rate);
    ++state.samples;
    // A fast failure must not make an endpoint look attractive.
    if (failed) return;
    const auto latency = static_cast<double>(result.latency.count);
    auto& in = routes_[state.route];
    state.latency = state.latency == 0 ? latency : state.latency + smoothing * (latency - state.latency);
    in.latency = in.latency == 0 ? latency : in.latency + smoothing * (latency - in.latency);
}

// Takes endpoints that are far slower than the median of their route, or fail far more often, out for a time.
void router::eject_outliers(time_ms now, route_state& in) {
    if (now - in.last_ejection_check < ejection_check_interval) return;
    in.last_ejection_check = now;
    std::uint32_t ejected = 0;
    sorted_.clear();
    for (const auto& group : in.groups) {
        for (const auto index : group.endpoints) {
            const auto& state = endpoints_[index];
            if (now < state.ejected_until) ++ejected;
            if (state.samples >= min_ejection_samples) sorted_.push_back(state.latency);
        }
    }
    if (sorted_.size() < 3) return;
    const auto middle = sorted_.begin() + static_cast<std::ptrdiff_t>(sorted_.size() / 2);
    std::nth_element(sorted_.begin(), middle, sorted_.end());
    const double median = *middle;
    for (const auto& group : in.groups) {
        for (const auto index : group.endpoints) {
            auto& state = endpoints_[index];
            const bool slow = state.latency > slow_factor * median && state.latency > median + slow_min_ms;
            // An open breaker already stops the traffic and probes for recovery sooner.
            const bool judged = state.samples >= min_ejection_samples && now >= state.ejected_until &&
                                state.breaker.current() == circuit_breaker::state::closed;
            if (!judged || !(slow || state.error_rate > error_rate_limit)) continue;
            if ((ejected + 1) * ejected_part > in.endpoint_count) return;
            ++ejected;
            state.ejected_until = now + first_ejection * (std::int64_t{1} << state.ejections);
            state.ejections = std::min<std::uint8_t>(static_cast<std::uint8_t>(state.ejections + 1),
                                                     max_ejection_doublings);
            // Judged afresh and ramped up again after the pause.
            state.samples = 0;
            state.latency = state.error_rate = 0;
            state.ramp_start = time_ms{-1};
        }
    }
}

void router::connection_opened(std::uint32_t endpoint) {
    ++endpoints_[endpoint].connections;
}

void router::connection_closed(std::uint32_t endpoint) {
    --endpoints_[endpoint].connections;
    release_if_unlisted(endpoint);
}

void router::set_slot_limit(std::uint32_t endpoint, std::int64_t slots) {
    endpoints_[endpoint].slot_limit = to_count(slots);
}

void router::set_connection_limit(std::uint32_t endpoint, std::int64_t connections) {
    endpoints_[endpoint].connection_limit = to_count(connections);
}

void router::set_region_limit(std::string_view region, std::int64_t in_flight) {
    for (auto& state : regions_) {
        if (state.name.value == region) state.limit = in_flight;
    }
}

void router::set_link_permit(time_ms now, std::string_view region, std::int64_t bytes_per_s) {
    for (auto& state : regions_) {
        if (state.name.value != region) continue;
        refill_link(now, state);
        state.link_rate = std::max<std::int64_t>(bytes_per_s, 0);
        // A lowered permit takes effect at once.
        state.link_milli_bytes = std::min(state.link_milli_bytes, state.link_rate * 1000);
    }
}

router::endpoint_view router::view(std::uint32_t endpoint) const {
    const auto& state = endpoints_[endpoint];
    // The key is the name of the route, a slash and the name of the endpoint.
    const auto route = std::string_view(state.key).substr(0, state.key.size() - state.name.size() - 1);
    return {route,           state.name,        state.address, state.version,          state.generation,
            state.in_flight, state.connections, state.drained, state.breaker.current()};
}

} // namespace lacewing
