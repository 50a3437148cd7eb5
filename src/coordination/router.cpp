#include "coordination/router.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace lacewing {

namespace {

using namespace literals;

constexpr std::int64_t one_request_ppm = 1'000'000;
// Weight of a new sample in the moving averages of latency and error rate.
constexpr double ewma_weight = 0.1;
// A load report older than this is ignored, so that a wrong one cannot block an endpoint for long.
constexpr time_ms load_report_lifetime = 2_s;
// How long an endpoint that shed a request gets no more concurrent requests than it had then.
constexpr time_ms shed_limit_lifetime = 1_s;
// Slow start: a cold endpoint gets one request at a time, and twice as many after each interval.
constexpr time_ms slow_start_doubling_interval = 1_s;
constexpr int max_slow_start_doublings = 30;
constexpr time_ms ejection_check_interval = 500_ms;
constexpr time_ms initial_ejection_time = 5_s;
constexpr std::uint8_t max_ejection_doublings = 3;
constexpr std::uint32_t min_ejection_samples = 20;
// At most one third of a route's endpoints are ejected; the others can then still take the load of a route
// that uses two thirds of its slots.
constexpr std::uint32_t min_endpoints_per_ejection = 3;
// An endpoint is an outlier above this multiple of the median latency of its route.
constexpr double outlier_latency_factor = 3.0;
// Smaller differences from the median are noise of the millisecond clock, however high the factor.
constexpr double outlier_min_excess_ms = 10.0;
constexpr double outlier_error_rate = 0.4;
// Limit on the time counted in one refill; keeps its product with the bandwidth far from overflow. After a
// longer idle time, one refill pays off only this much of a debt.
constexpr time_ms max_link_refill_time = 3600_s;

std::string endpoint_key(std::string_view route, std::string_view name) {
    return fmt::format("{}/{}", route, name);
}

const zone* find_zone(const configuration& config, const zone_name& name) {
    const auto found = std::find_if(config.zones.begin(), config.zones.end(),
                                    [&](const zone& configured) { return configured.name == name; });
    return found == config.zones.end() ? nullptr : &*found;
}

std::int32_t clamp_to_count(std::int64_t value) {
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(value, 0, 1'000'000'000));
}

} // namespace

router::router(const configuration& config, zone_name own_zone, std::uint64_t seed, selection_rule rule)
    : own_zone_(std::move(own_zone)), rule_(rule), random_engine_(seed) {
    update(config, {}, {});
}

void router::update(const configuration& config, std::span<const endpoint_name> drained,
                    std::span<const version_share> shares) {
    update_regions(config);
    for (auto& state : endpoints_)
        state.listed = false;
    const auto previous_routes = std::move(routes_);
    routes_.clear();
    for (const auto& configured : config.routes)
        build_route(config, configured, shares, previous_routes);
    std::size_t largest = 0;
    for (const auto& current_route : routes_)
        largest = std::max<std::size_t>(largest, current_route.endpoint_count);
    candidates_.reserve(largest);
    latencies_.reserve(largest);
    for (auto& state : endpoints_) {
        state.drained = std::any_of(drained.begin(), drained.end(),
                                    [&](const endpoint_name& name) { return name.value == state.name; });
    }
    for (std::uint32_t i = 0; i < endpoints_.size(); ++i)
        release_if_unlisted(i);
}

// Regions keep their index; one that is no longer listed keeps its requests in flight and has capacity 0.
void router::update_regions(const configuration& config) {
    for (auto& state : regions_)
        state.capacity = 0;
    const auto* own = find_zone(config, own_zone_);
    for (const auto& configured : config.regions) {
        auto found = std::find_if(regions_.begin(), regions_.end(),
                                  [&](const region_state& state) { return state.name == configured.name; });
        if (found == regions_.end()) {
            found = regions_.insert(regions_.end(), region_state{});
            found->name = configured.name;
            found->in_flight_limit = configured.capacity;
        }
        // A limit equal to the old capacity was not lowered and follows the new capacity.
        if (found->in_flight_limit == found->last_configured_capacity)
            found->in_flight_limit = configured.capacity;
        found->capacity = found->last_configured_capacity = configured.capacity;
        found->is_own = own != nullptr && own->region == configured.name;
    }
}

std::uint32_t router::region_index(const configuration& config, const zone_name& name) const {
    const auto* found = find_zone(config, name);
    for (std::uint32_t i = 0; found != nullptr && i < regions_.size(); ++i) {
        if (regions_[i].name == found->region) return i;
    }
    throw error(error_kind::internal, fmt::format("zone '{}' is not in a configured region", name.value));
}

void router::build_route(const configuration& config, const route& configured,
                         std::span<const version_share> shares,
                         const std::vector<route_state>& previous_routes) {
    route_state new_route;
    new_route.name = configured.name;
    const auto previous =
        std::find_if(previous_routes.begin(), previous_routes.end(),
                     [&](const route_state& state) { return state.name == configured.name; });
    if (previous != previous_routes.end()) new_route.latency = previous->latency;
    const auto* own = find_zone(config, own_zone_);
    std::vector<distance> distances(endpoints_.size() + configured.endpoints.size());
    for (const auto& configured_endpoint : configured.endpoints) {
        const auto index =
            find_or_add_endpoint(endpoint_key(configured.name.value, configured_endpoint.name.value));
        const auto region = region_index(config, configured_endpoint.zone);
        update_endpoint(index, configured_endpoint, region);
        endpoints_[index].route_index = static_cast<std::uint32_t>(routes_.size());
        const bool same_region = own != nullptr && regions_[region].name == own->region;
        distances[index] = configured_endpoint.zone == own_zone_ ? distance::own_zone
                           : same_region                         ? distance::own_region
                                                                 : distance::other_region;
        auto group = std::find_if(
            new_route.groups.begin(), new_route.groups.end(),
            [&](const version_group& candidate) { return candidate.version == configured_endpoint.version; });
        if (group == new_route.groups.end()) {
            group = new_route.groups.insert(new_route.groups.end(), version_group{});
            group->version = configured_endpoint.version;
        }
        group->endpoints.push_back(index);
        ++new_route.endpoint_count;
    }
    for (auto& group : new_route.groups) {
        std::stable_sort(group.endpoints.begin(), group.endpoints.end(),
                         [&](std::uint32_t a, std::uint32_t b) { return distances[a] < distances[b]; });
        const auto count_within = [&](distance limit) {
            return static_cast<std::uint32_t>(
                std::count_if(group.endpoints.begin(), group.endpoints.end(),
                              [&](std::uint32_t index) { return distances[index] <= limit; }));
        };
        group.zone_end = count_within(distance::own_zone);
        group.region_end = count_within(distance::own_region);
        for (std::size_t rank = 0; rank < shares.size(); ++rank) {
            const auto& share = shares[rank];
            if (share.route != configured.name || share.version != group.version) continue;
            group.share_ppm = std::clamp<std::int64_t>(share.ppm, 0, one_request_ppm);
            group.share_position = rank;
        }
        if (previous == previous_routes.end()) continue;
        for (const auto& old : previous->groups) {
            if (old.version == group.version && group.share_ppm > 0) group.credit = old.credit;
        }
    }
    // Limited versions come first, so that they take a request whenever their credit covers one. Among them,
    // smaller shares come first: a version to which an earlier move has shifted all requests would leave none
    // to the target of a newer move.
    std::stable_sort(new_route.groups.begin(), new_route.groups.end(),
                     [](const version_group& a, const version_group& b) {
                         const bool a_limited = a.share_ppm >= 0;
                         const bool b_limited = b.share_ppm >= 0;
                         if (!a_limited || !b_limited) return a_limited && !b_limited;
                         if (a.share_ppm != b.share_ppm) return a.share_ppm < b.share_ppm;
                         return a.share_position > b.share_position;
                     });
    routes_.push_back(std::move(new_route));
}

// Returns the index of the endpoint with this key; adds the endpoint if it is not known.
std::uint32_t router::find_or_add_endpoint(const std::string& key) {
    if (const auto found = index_by_key_.find(key); found != index_by_key_.end()) return found->second;
    std::uint32_t index = 0;
    if (free_indices_.empty()) {
        index = static_cast<std::uint32_t>(endpoints_.size());
        endpoints_.emplace_back();
    } else {
        index = free_indices_.back();
        free_indices_.pop_back();
        const auto generation = endpoints_[index].generation + 1;
        endpoints_[index] = endpoint_state{};
        endpoints_[index].generation = generation;
    }
    endpoints_[index].key = key;
    index_by_key_.emplace(key, index);
    return index;
}

void router::update_endpoint(std::uint32_t index, const endpoint& configured, std::uint32_t region) {
    auto& state = endpoints_[index];
    state.listed = true;
    const bool replaced = state.address != configured.address || state.version != configured.version;
    if (replaced) {
        // Another process has taken over the name: requests in flight still count, the statistics do not.
        ++state.generation;
        state.breaker = circuit_breaker{};
        state.latency = state.error_rate = 0;
        state.sample_count = 0;
        state.ejection_doublings = 0;
        state.ejected_until = state.reported_limit_until = time_ms{};
        state.slow_start_began_at = time_ms{-1};
    }
    if (state.slot_limit == state.slots) state.slot_limit = clamp_to_count(configured.slots);
    if (state.connection_limit == state.configured_connections)
        state.connection_limit = clamp_to_count(configured.connections);
    state.slots = clamp_to_count(configured.slots);
    state.configured_connections = clamp_to_count(configured.connections);
    regions_[state.region].in_flight -= state.in_flight;
    regions_[region].in_flight += state.in_flight;
    state.region = region;
    state.name = configured.name.value;
    state.address = configured.address;
    state.version = configured.version;
}

// Frees the index of an endpoint that is no longer listed once it has no requests in flight and no
// connections.
void router::release_if_unlisted(std::uint32_t index) {
    auto& state = endpoints_[index];
    if (state.listed || state.in_flight > 0 || state.connections > 0 || state.key.empty()) return;
    index_by_key_.erase(state.key);
    state.key.clear();
    free_indices_.push_back(index);
}

std::optional<std::uint32_t> router::find_route(std::string_view name) const {
    for (std::uint32_t i = 0; i < routes_.size(); ++i) {
        if (routes_[i].name.value == name) return i;
    }
    return std::nullopt;
}

std::optional<std::uint32_t> router::find_endpoint(std::string_view route, std::string_view name) const {
    const auto found = index_by_key_.find(endpoint_key(route, name));
    if (found == index_by_key_.end()) return std::nullopt;
    return found->second;
}

// Number of slots that this VM may occupy now. A load report can lower the limit but not raise it.
std::int64_t router::effective_slot_limit(time_ms now, const endpoint_state& state) const {
    std::int64_t limit = std::min(state.slots, state.slot_limit);
    const auto steps = state.slow_start_began_at.count < 0
                           ? 0
                           : (now - state.slow_start_began_at).count / slow_start_doubling_interval.count;
    limit = std::min(limit, std::int64_t{1} << std::clamp<std::int64_t>(steps, 0, max_slow_start_doublings));
    if (now < state.reported_limit_until) limit = std::min<std::int64_t>(limit, state.reported_slot_limit);
    return limit;
}

std::int64_t router::headroom(time_ms now, std::uint32_t endpoint) const {
    const auto& state = endpoints_[endpoint];
    if (state.drained || !state.listed || now < state.ejected_until || !state.breaker.allows(now)) return 0;
    return std::max<std::int64_t>(effective_slot_limit(now, state) - state.in_flight, 0);
}

bool router::can_accept(time_ms now, std::uint32_t index, std::span<const std::uint32_t> excluded) {
    const auto& state = endpoints_[index];
    if (headroom(now, index) <= 0) return false;
    if (state.in_flight >= state.connections && state.connections >= state.connection_limit) return false;
    auto& region = regions_[state.region];
    if (region.in_flight >= std::min(region.capacity, region.in_flight_limit)) return false;
    return std::find(excluded.begin(), excluded.end(), index) == excluded.end();
}

void router::refill_link(time_ms now, region_state& state) {
    // The bucket holds one second of bandwidth at most, which limits bursts on the link.
    const auto elapsed =
        std::clamp<std::int64_t>((now - state.link_refilled_at).count, 0, max_link_refill_time.count);
    state.link_tokens_milli_bytes =
        std::min(state.link_tokens_milli_bytes + state.link_rate_bytes_per_s * elapsed,
                 state.link_rate_bytes_per_s * 1000);
    state.link_refilled_at = std::max(state.link_refilled_at, now);
}

std::optional<route_ticket> router::choose(time_ms now, std::uint32_t route_index,
                                           std::span<const std::uint32_t> excluded, std::int64_t link_bytes) {
    auto& current_route = routes_[route_index];
    // Links are refilled and checked once per choice, not once per endpoint.
    for (auto& region : regions_) {
        if (region.is_own) continue;
        refill_link(now, region);
        region.link_has_tokens =
            region.link_tokens_milli_bytes > 0 && region.link_tokens_milli_bytes >= link_bytes * 1000;
    }
    const bool retry = !excluded.empty();
    for (const auto& group : current_route.groups) {
        if (group.share_ppm >= 0) {
            // A retry may spend credit but does not earn any, because it is not a new request.
            const auto credit = group.credit + (retry ? 0 : group.share_ppm);
            if (group.share_ppm == 0 || credit < one_request_ppm) continue;
        }
        const auto index = choose_in_group(now, current_route, group, excluded);
        if (!index) continue;
        spend_credit(current_route, group, retry);
        return occupy(now, *index, link_bytes);
    }
    return std::nullopt;
}

// Adds each limited version's share of one request to its credit and charges the chosen version one request.
void router::spend_credit(route_state& current_route, const version_group& chosen, bool retry) {
    for (auto& group : current_route.groups) {
        if (group.share_ppm <= 0) continue;
        if (!retry) group.credit += group.share_ppm;
        if (&group == &chosen) group.credit -= one_request_ppm;
        // Credit is capped at one request, so that no burst follows a period without headroom.
        group.credit = std::min(group.credit, one_request_ppm);
    }
}

std::optional<std::uint32_t> router::choose_in_group(time_ms now, route_state& current_route,
                                                     const version_group& group,
                                                     std::span<const std::uint32_t> excluded) {
    const auto count = static_cast<std::uint32_t>(group.endpoints.size());
    std::uint32_t begin = 0;
    for (const auto end : {group.zone_end, group.region_end, count}) {
        candidates_.clear();
        for (std::uint32_t i = begin; i < end; ++i) {
            const auto index = group.endpoints[i];
            const auto& region = regions_[endpoints_[index].region];
            if (!region.is_own && !region.link_has_tokens) continue;
            if (can_accept(now, index, excluded)) candidates_.push_back(index);
        }
        if (!candidates_.empty()) return select_candidate(now, current_route);
        begin = end;
    }
    return std::nullopt;
}

// Cost of one more request: share of the slots in use times the latency measured by this VM.
double router::expected_cost(time_ms now, const route_state& current_route,
                             const endpoint_state& state) const {
    const auto limit = static_cast<double>(std::max<std::int64_t>(effective_slot_limit(now, state), 1));
    const double latency = state.sample_count > 0 ? state.latency : current_route.latency;
    return (state.in_flight + 1) / limit * std::max(latency, 1.0);
}

std::uint32_t router::select_candidate(time_ms now, route_state& current_route) {
    const auto count = static_cast<std::uint32_t>(candidates_.size());
    if (count == 1) return candidates_[0];
    if (rule_ == selection_rule::round_robin) return candidates_[current_route.round_robin_next++ % count];
    if (rule_ == selection_rule::least_in_flight) {
        // Starts at a different endpoint each time, so that ties are not always won by the first.
        const auto start = current_route.round_robin_next++;
        auto best = candidates_[start % count];
        for (std::uint32_t i = 1; i < count; ++i) {
            const auto other = candidates_[(start + i) % count];
            if (endpoints_[other].in_flight < endpoints_[best].in_flight) best = other;
        }
        return best;
    }
    const auto bits = random_engine_();
    const auto first = static_cast<std::uint32_t>(((bits & 0xffff'ffff) * count) >> 32);
    auto second = static_cast<std::uint32_t>(((bits >> 32) * (count - 1)) >> 32);
    if (second >= first) ++second;
    const auto a = candidates_[first];
    const auto b = candidates_[second];
    return expected_cost(now, current_route, endpoints_[a]) <=
                   expected_cost(now, current_route, endpoints_[b])
               ? a
               : b;
}

route_ticket router::occupy(time_ms now, std::uint32_t index, std::int64_t link_bytes) {
    auto& state = endpoints_[index];
    auto& region = regions_[state.region];
    ++state.in_flight;
    ++region.in_flight;
    if (state.slow_start_began_at.count < 0) state.slow_start_began_at = now;
    route_ticket ticket{index, state.generation, state.breaker.on_send(now), region.is_own ? 0 : link_bytes};
    region.link_tokens_milli_bytes -= ticket.link_bytes * 1000;
    return ticket;
}

void router::finish(time_ms now, const route_ticket& ticket, const attempt_result& result) {
    auto& state = endpoints_[ticket.endpoint];
    auto& region = regions_[state.region];
    --state.in_flight;
    --region.in_flight;
    if (!region.is_own) {
        refill_link(now, region);
        region.link_tokens_milli_bytes -= (result.link_bytes - ticket.link_bytes) * 1000;
    }
    if (state.generation == ticket.generation && state.listed) {
        record_outcome(now, state, ticket, result);
        if (state.route_index < routes_.size()) eject_outliers(now, routes_[state.route_index]);
    }
    release_if_unlisted(ticket.endpoint);
}

void router::record_outcome(time_ms now, endpoint_state& state, const route_ticket& ticket,
                            const attempt_result& result) {
    if (result.reported_load) {
        const double load = std::isfinite(*result.reported_load) ? *result.reported_load : 1.0;
        const auto free = static_cast<std::int32_t>(
            std::floor((1.0 - std::clamp(load, 0.0, 1.0)) * static_cast<double>(state.slots)));
        // At least one slot stays usable, because only a request can bring a newer report.
        state.reported_slot_limit = std::max(1, state.in_flight + free);
        state.reported_limit_until = now + load_report_lifetime;
    }
    switch (result.outcome) {
    case attempt_outcome::neutral:
        state.breaker.on_neutral(ticket.probe);
        return;
    case attempt_outcome::shed:
        state.breaker.on_neutral(ticket.probe);
        state.reported_slot_limit = std::max(1, state.in_flight);
        state.reported_limit_until = now + shed_limit_lifetime;
        return;
    case attempt_outcome::success:
        // An endpoint that recovers from failure is cold like a new one, so slow start begins again.
        if (state.breaker.on_success(now, ticket.probe)) state.slow_start_began_at = now;
        break;
    case attempt_outcome::failure:
        state.breaker.on_failure(now, ticket.probe);
        break;
    }
    const bool failed = result.outcome == attempt_outcome::failure;
    state.error_rate += ewma_weight * ((failed ? 1.0 : 0.0) - state.error_rate);
    ++state.sample_count;
    // Fast failures must not lower the latency, or they would attract requests.
    if (failed) return;
    const auto latency = static_cast<double>(result.latency.count);
    auto& current_route = routes_[state.route_index];
    state.latency = state.latency == 0 ? latency : state.latency + ewma_weight * (latency - state.latency);
    current_route.latency = current_route.latency == 0
                                ? latency
                                : current_route.latency + ewma_weight * (latency - current_route.latency);
}

// Temporarily ejects endpoints that are far slower than the median of their route or whose error rate is too
// high.
void router::eject_outliers(time_ms now, route_state& current_route) {
    if (now - current_route.last_ejection_check < ejection_check_interval) return;
    current_route.last_ejection_check = now;
    std::uint32_t ejected = 0;
    latencies_.clear();
    for (const auto& group : current_route.groups) {
        for (const auto index : group.endpoints) {
            const auto& state = endpoints_[index];
            if (now < state.ejected_until) ++ejected;
            if (state.sample_count >= min_ejection_samples) latencies_.push_back(state.latency);
        }
    }
    if (latencies_.size() < 3) return;
    const auto median_position = latencies_.begin() + static_cast<std::ptrdiff_t>(latencies_.size() / 2);
    std::nth_element(latencies_.begin(), median_position, latencies_.end());
    const double median = *median_position;
    for (const auto& group : current_route.groups) {
        for (const auto index : group.endpoints) {
            auto& state = endpoints_[index];
            const bool slow = state.latency > outlier_latency_factor * median &&
                              state.latency > median + outlier_min_excess_ms;
            // An open circuit breaker already stops requests and detects recovery sooner.
            const bool eligible = state.sample_count >= min_ejection_samples && now >= state.ejected_until &&
                                  state.breaker.current() == circuit_breaker::state::closed;
            if (!eligible || !(slow || state.error_rate > outlier_error_rate)) continue;
            if ((ejected + 1) * min_endpoints_per_ejection > current_route.endpoint_count) return;
            ++ejected;
            state.ejected_until = now + initial_ejection_time * (std::int64_t{1} << state.ejection_doublings);
            state.ejection_doublings = std::min<std::uint8_t>(
                static_cast<std::uint8_t>(state.ejection_doublings + 1), max_ejection_doublings);
            // After the ejection, statistics and slow start begin anew.
            state.sample_count = 0;
            state.latency = state.error_rate = 0;
            state.slow_start_began_at = time_ms{-1};
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
    endpoints_[endpoint].slot_limit = clamp_to_count(slots);
}

void router::set_connection_limit(std::uint32_t endpoint, std::int64_t connections) {
    endpoints_[endpoint].connection_limit = clamp_to_count(connections);
}

void router::set_region_limit(std::string_view region, std::int64_t in_flight) {
    for (auto& state : regions_) {
        if (state.name.value == region) state.in_flight_limit = in_flight;
    }
}

void router::set_link_bandwidth(time_ms now, std::string_view region, std::int64_t bytes_per_s) {
    for (auto& state : regions_) {
        if (state.name.value != region) continue;
        refill_link(now, state);
        state.link_rate_bytes_per_s = std::max<std::int64_t>(bytes_per_s, 0);
        // A lower bandwidth applies at once, also to tokens that were saved up.
        state.link_tokens_milli_bytes =
            std::min(state.link_tokens_milli_bytes, state.link_rate_bytes_per_s * 1000);
    }
}

router::endpoint_view router::view(std::uint32_t endpoint) const {
    const auto& state = endpoints_[endpoint];
    // The key is "route/endpoint".
    const auto route = std::string_view(state.key).substr(0, state.key.size() - state.name.size() - 1);
    return {route,           state.name,        state.address, state.version,          state.generation,
            state.in_flight, state.connections, state.drained, state.breaker.current()};
}

} // namespace lacewing
