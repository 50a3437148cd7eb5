#include "coordination/endpoint_selector.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace lacewing {

namespace {

// Network round trips that are assumed until a connect has measured them.
constexpr double same_zone_round_trip_ms = 1;
constexpr double same_region_round_trip_ms = 4;
constexpr double other_region_round_trip_ms = 60;
// Traffic between regions and zones is billed. The price is expressed as time: a distant endpoint must be
// faster by this much to be chosen. At 100 KB this is more than a warm object saves, so a long answer comes
// from its own zone, and a short one from wherever its object is warm.
constexpr double cross_region_cost_ms_per_kb = 4.0;
constexpr double cross_zone_cost_ms_per_kb = 4.0;
// For this long, the load report of an endpoint is preferred to the reports of the VMs.
constexpr time_ms load_report_valid{200};
// Callers that are refused because all endpoints pause come back within this part of the pause after its end.
constexpr double pause_end_spread = 0.5;
// Half-lives of what was learned from attempts, so that a recovered endpoint is tried again.
constexpr double failure_share_half_life_ms = 2500;
constexpr double service_time_ratio_half_life_ms = 6000;
// Weight of a new sample in the exponential averages of an endpoint.
constexpr double sample_weight = 0.3;
// Probability that an object is still warm at an endpoint to which it was sent.
constexpr double warm_probability_after_send = 0.95;
// Largest cost by which the hash of the object decides between equal endpoints, so that VMs that do not know
// of each other's requests yet choose the same one.
constexpr double max_preference_ms = 4;
// Multiplies the cost of an endpoint that has never got a request, so that it is tried.
constexpr double never_used_cost_factor = 0.8;
// From this ratio of measured to expected service time on, an endpoint is slow.
constexpr double slow_service_time_ratio = 2;
constexpr time_ms no_usable_endpoint_retry_after{250};
// Broken connections in a row that suspend an endpoint; a failed connect suspends it at once. The suspension
// doubles with each further failure.
constexpr int failures_to_suspend = 3;
constexpr time_ms min_suspension{250};
constexpr time_ms max_suspension{3000};
// Fraction of backend_service::max_cold_requests_per_s that the owner of a cold endpoint uses. The rest is a
// margin for the case that two VMs own the endpoint by mistake.
constexpr double cold_rate_fraction = 0.8;
// An endpoint with this many waiting requests per slot gets no further ones.
constexpr double max_waiting_per_slot = 1.0;
// The answer must be expected within this fraction of the time left until the deadline.
constexpr double safe_time_fraction = 0.95;
constexpr time_ms min_retry_after{50};
// Measured answers from which on the service times are reliable enough to refuse a request.
constexpr std::uint64_t min_samples = 8;
// Weights of a shorter and of a longer measurement in the estimate of a service time; see
// update_service_times().
constexpr double service_time_weight_down = 0.08;
constexpr double service_time_weight_up = 0.03;
// Fraction of the longest wait within the goal that is planned as queue; the rest covers requests of other
// VMs that this VM does not know of yet.
constexpr double planned_queue_fraction = 0.7;
// Any VM may use the capacity while the load is below this fraction of slots and queue places together, or
// below this fraction of the slots alone.
constexpr double shared_capacity_fraction = 0.8;
constexpr double shared_slots_fraction = 0.95;
// Requests that are restricted to a region and refused there raise the cost of that region for unrestricted
// requests: weight of each result, and half-life of the estimate.
constexpr double refusal_share_weight = 0.1;
constexpr double refusal_share_half_life_ms = 3000;

std::string times_key(const endpoint_request& request) {
    return request.route->name.value + '/' + std::string(request.service);
}

} // namespace

endpoint_selector::endpoint_selector(endpoint_registry& registry, std::string zone, std::string region,
                                     std::uint64_t seed, double max_region_shift)
    : registry_(registry), zone_(std::move(zone)), region_(std::move(region)), region_tag_(hash_tag(region_)),
      random_(seed), shift_limiter_(max_region_shift, seed) {}

double endpoint_selector::round_trip_ms(const endpoint_state& endpoint) const {
    const auto& zone = endpoint.registration.zone.value;
    const auto found = round_trips_ms_.find(zone);
    if (found != round_trips_ms_.end()) return found->second;
    if (zone == zone_) return same_zone_round_trip_ms;
    return endpoint.region == region_ ? same_region_round_trip_ms : other_region_round_trip_ms;
}

void endpoint_selector::on_connect(const endpoint_state& endpoint, time_ms duration) {
    auto& known_ms = round_trips_ms_[endpoint.registration.zone.value];
    const auto measured_ms = std::max(0.5, static_cast<double>(duration.count));
    // A shorter time replaces the estimate at once; a longer one moves it by a tenth of the difference.
    known_ms = known_ms == 0 ? measured_ms : std::min(measured_ms, known_ms + 0.1 * (measured_ms - known_ms));
}

// Service times of the request's route. Without measurements of the route, those of the whole service are
// used, and without these, fractions of the route's goal.
endpoint_selector::service_times endpoint_selector::times_of(const endpoint_request& request) const {
    const auto goal = static_cast<double>(request.route->goal.count);
    service_times known{goal * 1.3, goal * 0.5, goal * 0.7, 0};
    const auto use_measured = [&known](const service_times& measured) {
        if (measured.cold_ms > 0) known.cold_ms = measured.cold_ms;
        if (measured.warm_ms > 0) known.warm_ms = measured.warm_ms;
        if (measured.mean_ms > 0) known.mean_ms = measured.mean_ms;
        known.samples += measured.samples;
    };
    const auto service = times_.find(request.service);
    if (service != times_.end()) use_measured(service->second);
    const auto route = times_.find(times_key(request));
    if (route != times_.end()) use_measured(route->second);
    known.warm_ms = std::min(known.warm_ms, known.cold_ms);
    return known;
}

double endpoint_selector::current_load(time_ms now, const endpoint_state& endpoint) const {
    const bool report_valid = now - endpoint.load_reported_at < load_report_valid;
    const int others_in_flight =
        report_valid ? endpoint.others_in_flight_by_load_report : endpoint.others_in_flight_by_vm_reports;
    return static_cast<double>(endpoint.in_flight.size()) + others_in_flight;
}

void endpoint_selector::decay(time_ms now, endpoint_state& endpoint) {
    const auto passed = static_cast<double>((now - endpoint.decayed_at).count);
    if (passed < 50) return;
    endpoint.failure_share *= std::exp2(-passed / failure_share_half_life_ms);
    endpoint.service_time_ratio =
        1 + (endpoint.service_time_ratio - 1) * std::exp2(-passed / service_time_ratio_half_life_ms);
    endpoint.decayed_at = now;
}

bool endpoint_selector::usable(time_ms now, const endpoint_state& endpoint, const endpoint_request& request,
                               const backend_service* service) const {
    const auto& registration = endpoint.registration;
    if (registration.draining || endpoint.replaced || registry_.drained(endpoint)) return false;
    if (!request.version.allows(registration.version)) return false;
    if (request.regions != nullptr && !request.regions->allows(endpoint.region)) return false;
    if (now < endpoint.suspended_until) return false;
    // After the suspension, one request at a time tests whether the endpoint is back.
    if (endpoint.consecutive_failures >= failures_to_suspend && !endpoint.in_flight.empty()) return false;
    if (request.tried != nullptr && std::find(request.tried->begin(), request.tried->end(),
                                              registration.id.value) != request.tried->end()) {
        return false;
    }
    if (now >= endpoint.cold_until || service == nullptr || service->max_cold_requests_per_s <= 0)
        return true;
    if (!owns_cold_endpoint(registration.id.value)) return false;
    const auto passed = static_cast<double>((now - endpoint.cold_tokens_updated).count) / 1000;
    return endpoint.cold_tokens + passed * service->max_cold_requests_per_s * cold_rate_fraction >= 1;
}

endpoint_selector::scored endpoint_selector::score(time_ms now,
                                                   const std::shared_ptr<endpoint_state>& endpoint,
                                                   const endpoint_request& request,
                                                   const service_times& times) const {
    const auto slots = static_cast<double>(endpoint->registration.slots);
    const double service_time_ratio = std::max(1.0, endpoint->service_time_ratio);
    const double load = current_load(now, *endpoint);
    const double warm_probability =
        request.object != 0 && endpoint->warm_objects.has(request.object) ? warm_probability_after_send : 0;
    const double work =
        (times.cold_ms + warm_probability * (times.warm_ms - times.cold_ms)) * service_time_ratio;
    scored scored_endpoint{endpoint, 0, 0, 0, warm_probability, false};
    if (load >= slots)
        scored_endpoint.wait_ms = (load - slots + 1) / slots * times.mean_ms * service_time_ratio;
    // A request in flight for much longer than expected suggests that the endpoint hangs.
    double overdue = 0;
    for (const auto started : endpoint->in_flight) {
        const auto age = static_cast<double>((now - started).count);
        overdue = std::max(overdue, age - 2 * (work + scored_endpoint.wait_ms));
    }
    scored_endpoint.expected_ms = round_trip_ms(*endpoint) + scored_endpoint.wait_ms + work + overdue;
    const auto kilobytes = static_cast<double>(request.bytes) / 1024;
    double traffic_cost = 0;
    if (endpoint->region != region_) {
        traffic_cost = kilobytes * cross_region_cost_ms_per_kb;
    } else if (endpoint->registration.zone.value != zone_) {
        traffic_cost = kilobytes * cross_zone_cost_ms_per_kb;
    }
    const auto goal = static_cast<double>(request.route->goal.count);
    if (!region_restricted(request))
        traffic_cost += region_refusal_share(now, request.service, endpoint->region) * goal;
    scored_endpoint.cost =
        scored_endpoint.expected_ms + traffic_cost + endpoint->failure_share * goal * 2 + load;
    return scored_endpoint;
}

// Whether the request may go to some regions only.
bool endpoint_selector::region_restricted(const endpoint_request& request) {
    return request.regions != nullptr && request.regions->restricted();
}

// Share of the recent region-restricted requests of a service that a region refused for lack of capacity. It
// decays over time.
double endpoint_selector::region_refusal_share(time_ms now, std::string_view service,
                                               const std::string& region) const {
    const auto by_region = region_refusals_.find(service);
    if (by_region == region_refusals_.end()) return 0;
    const auto found = by_region->second.find(region);
    if (found == by_region->second.end()) return 0;
    return found->second.share *
           std::exp2(-static_cast<double>((now - found->second.updated).count) / refusal_share_half_life_ms);
}

// Records whether a region-restricted request found free capacity, for the region of its best endpoint.
void endpoint_selector::record_restricted_request(time_ms now, const endpoint_request& request,
                                                  const std::string& region, bool has_capacity) {
    const double before = region_refusal_share(now, request.service, region);
    auto& entry = region_refusals_[std::string(request.service)][region];
    entry.share = before + refusal_share_weight * ((has_capacity ? 0.0 : 1.0) - before);
    entry.updated = now;
}

// Rendezvous weight of an endpoint for an object, or for a random number if the request has none, as a cost
// below max_preference_ms.
double endpoint_selector::preference_cost_ms(const endpoint_state& endpoint, std::uint64_t hash_input) {
    // The finalizer of splitmix64 spreads the bits.
    std::uint64_t weight = endpoint.tag * 0x9e3779b97f4a7c15ULL + hash_input;
    weight = (weight ^ (weight >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    weight = (weight ^ (weight >> 27U)) * 0x94d049bb133111ebULL;
    weight ^= weight >> 31U;
    return max_preference_ms * static_cast<double>(weight >> 11U) * 0x1.0p-53;
}

// What the placement of objects has to know of an endpoint.
object_placement::view_function endpoint_selector::placement_view(time_ms now) const {
    return [this, now](const endpoint_state& endpoint) -> object_placement::endpoint_view {
        const bool responds =
            now >= endpoint.suspended_until && endpoint.consecutive_failures < failures_to_suspend &&
            endpoint.service_time_ratio < slow_service_time_ratio && now >= endpoint.cold_until;
        const bool listed =
            !endpoint.registration.draining && !endpoint.replaced && !registry_.drained(endpoint);
        return {responds && listed && endpoint.notice.takes_requests(now),
                current_load(now, endpoint) < static_cast<double>(endpoint.registration.slots)};
    };
}

endpoint_selector::region_candidates& endpoint_selector::candidates_of(std::uint32_t region) {
    const auto found = std::find_if(candidates_.begin(), candidates_.end(),
                                    [region](const auto& item) { return item.region == region; });
    if (found != candidates_.end()) return *found;
    candidates_.push_back({region, {}, 0, 0, 0, {region, 0, 0}});
    return candidates_.back();
}

// Marks a candidate as full whose limit admits no request of this VM now.
void endpoint_selector::apply_limit(time_ms now, scored& candidate) {
    auto& limit = candidate.endpoint->limit;
    if (candidate.full || !limit.per_s()) return;
    if (limit.admits(now, fleet, std::uniform_real_distribution<double>(0, 1)(random_))) return;
    candidate.full = true;
    if (held_back_.count++ > 0 && held_back_.cost <= candidate.cost) return;
    held_back_.best = candidate.endpoint;
    held_back_.cost = candidate.cost;
}

// Slots that are busy while an endpoint gets as many requests as it takes.
double endpoint_selector::slots_within_limit(const endpoint_state& endpoint, const service_times& times) {
    const auto slots = static_cast<double>(endpoint.registration.slots);
    const auto limit = endpoint.limit.per_s();
    return limit ? std::min(slots, *limit * times.mean_ms / 1000) : slots;
}

// Counts an endpoint that would be usable but for the pause that it has asked for.
void endpoint_selector::note_pause(time_ms now, const endpoint_state& endpoint) {
    const auto end = endpoint.notice.pause_end(now);
    if (!end) return;
    paused_.first_end = paused_.count == 0 ? *end : std::min(paused_.first_end, *end);
    ++paused_.count;
}

// Determines the own endpoints of the object of a request.
void endpoint_selector::place_object(time_ms now, const endpoint_request& request,
                                     const backend_service* service,
                                     std::span<const std::shared_ptr<endpoint_state>> endpoints) {
    const auto warmup = service == nullptr ? time_ms{0} : service->warmup;
    placement_.prepare(
        now, request.service, request.object, endpoints, warmup,
        [this](const auto& endpoint) { return registry_.drained(endpoint); }, placement_view(now));
}

// Finds the best usable endpoint of each region.
void endpoint_selector::collect_candidates(time_ms now, const endpoint_request& request,
                                           const backend_service* service, const service_times& times) {
    candidates_.clear();
    held_back_ = {};
    paused_ = {};
    const std::uint64_t hash_input = request.object != 0 ? request.object : random_();
    const auto endpoints = registry_.endpoints_of_service(std::string(request.service));
    place_object(now, request, service, endpoints);
    for (const auto& endpoint : endpoints) {
        decay(now, *endpoint);
        const auto slots = static_cast<double>(endpoint->registration.slots);
        auto& candidates = candidates_of(endpoint->region_tag);
        const bool is_usable = usable(now, *endpoint, request, service);
        if (is_usable && !endpoint->notice.takes_requests(now)) {
            note_pause(now, *endpoint);
            continue;
        }
        if (!is_usable) {
            const bool failed = now < endpoint->suspended_until || endpoint->replaced ||
                                endpoint->consecutive_failures >= failures_to_suspend;
            if (failed) candidates.capacity.failed_slots += slots;
            continue;
        }
        candidates.own_in_flight += static_cast<double>(endpoint->in_flight.size());
        candidates.load += current_load(now, *endpoint);
        candidates.capacity.usable_slots += slots;
        candidates.slots_within_limits += slots_within_limit(*endpoint, times);
        auto scored_endpoint = score(now, endpoint, request, times);
        scored_endpoint.full = current_load(now, *endpoint) >= slots * (1 + max_waiting_per_slot);
        scored_endpoint.cost += preference_cost_ms(*endpoint, hash_input);
        // An endpoint that has never got a request is tried soon, so that it gets its share.
        if (endpoint->sent_count == 0 && scored_endpoint.wait_ms == 0)
            scored_endpoint.cost *= never_used_cost_factor;
        apply_limit(now, scored_endpoint);
        auto& best = candidates.best;
        // A full endpoint is kept only to compute when a refused caller should try again.
        if (!best ||
            std::pair(scored_endpoint.full, scored_endpoint.cost) < std::pair(best->full, best->cost))
            best = scored_endpoint;
    }
    std::erase_if(candidates_, [](const auto& item) { return !item.best; });
}

// Removes the regions to which the limit on shifts between regions admits no further request now, and returns
// their number.
std::size_t endpoint_selector::remove_limited_regions(time_ms now, const endpoint_request& request) {
    if (region_restricted(request) || candidates_.size() < 2) return 0;
    capacities_.clear();
    for (const auto& item : candidates_)
        capacities_.push_back(item.capacity);
    std::sort(capacities_.begin(), capacities_.end(),
              [](const auto& a, const auto& b) { return a.region < b.region; });
    return std::erase_if(
        candidates_, [&](const auto& item) { return !shift_limiter_.allows(now, item.region, capacities_); });
}

endpoint_choice endpoint_selector::choose(time_ms now, const endpoint_request& request,
                                          const backend_service* service) {
    endpoint_choice choice;
    const auto times = times_of(request);
    collect_candidates(now, request, service, times);
    choice.limited_regions = remove_limited_regions(now, request);
    std::optional<scored> best;
    struct {
        double own_in_flight = 0;
        double load = 0;
        double slots = 0;
    } total;
    for (auto& item : candidates_) {
        total.own_in_flight += item.own_in_flight;
        total.load += item.load;
        total.slots += item.slots_within_limits;
        if (!best || std::pair(item.best->full, item.best->cost) < std::pair(best->full, best->cost))
            best = std::move(item.best);
    }
    choice.limited_endpoints = held_back_.count;
    // The demand for a limited endpoint decides which part of its limit this VM gets.
    if (held_back_.best != nullptr && (!best || best->full || held_back_.cost < best->cost))
        held_back_.best->limit.on_held_back();
    choice.paused_endpoints = paused_.count;
    if (!best) {
        choice.no_usable_endpoint = true;
        choice.retry_after = no_usable_endpoint_retry_after;
        if (paused_.count > 0) {
            // Spread, so that the callers do not all come back at the end of the pause.
            std::uniform_real_distribution<double> spread(1, 1 + pause_end_spread);
            const auto left = static_cast<double>((paused_.first_end - now).count);
            choice.retry_after = time_ms{static_cast<std::int64_t>(std::ceil(left * spread(random_)))};
        }
        return choice;
    }
    const auto left_ms = static_cast<double>(request.left.count);
    choice.expected = time_ms{static_cast<std::int64_t>(best->expected_ms)};
    choice.wait = time_ms{static_cast<std::int64_t>(best->wait_ms)};
    choice.warm = best->warm_probability >= warm_probability_after_send;
    choice.round_trip = time_ms{static_cast<std::int64_t>(round_trip_ms(*best->endpoint))};
    choice.cold_ms = times.cold_ms;
    choice.cold_samples = times.samples;
    // Only measured service times justify a refusal. With a wrong initial guess, all requests would be
    // refused and the guess never corrected.
    const bool measured = times.samples >= min_samples;
    const bool in_time = !measured || best->expected_ms <= left_ms * safe_time_fraction;
    // Each VM may always use its equal share of the capacity (slots and queue places), and more only while
    // the known load is well below the capacity. Without the shares, all VMs would send to the same free slot
    // before their reports arrive.
    const auto goal = static_cast<double>((request.route->goal - request.elapsed).count);
    const double max_wait_ms = goal - (best->expected_ms - best->wait_ms);
    const double mean_ms = std::max(1.0, times.mean_ms);
    const double queue_per_slot =
        std::clamp(planned_queue_fraction * max_wait_ms / mean_ms, 0.0, max_waiting_per_slot);
    const double capacity = total.slots * (1 + queue_per_slot);
    const double shared_limit =
        std::max(shared_capacity_fraction * capacity, shared_slots_fraction * total.slots);
    const bool within_own_share =
        total.own_in_flight < capacity / static_cast<double>(fleet) || total.load < shared_limit;
    const bool has_capacity = within_own_share && !best->full;
    if (region_restricted(request))
        record_restricted_request(now, request, best->endpoint->region, has_capacity);
    if (in_time && has_capacity) {
        choice.endpoint = best->endpoint;
        return choice;
    }
    choice.retry_after = retry_after(max_wait_ms, left_ms);
    return choice;
}

// Random time after which a refused caller should try again. While its goal can still be met, it may return
// within the time that is left for waiting; otherwise it should stay away long enough for the load to change.
time_ms endpoint_selector::retry_after(double max_wait_ms, double left_ms) {
    const auto min_ms = static_cast<double>(min_retry_after.count);
    const double max_ms = max_wait_ms > 2 * min_ms ? max_wait_ms : std::max(2 * min_ms, left_ms / 3);
    std::uniform_real_distribution<double> range_ms(max_wait_ms > 2 * min_ms ? min_ms : max_ms / 2, max_ms);
    return time_ms{static_cast<std::int64_t>(range_ms(random_))};
}

void endpoint_selector::on_send(time_ms now, endpoint_state& endpoint, const endpoint_request& request,
                                const backend_service* service) {
    endpoint.in_flight.push_back(now);
    ++endpoint.sent_count;
    endpoint.limit.on_send();
    if (request.object != 0) {
        placement_.on_send(request.service, endpoint, request.object, placement_view(now));
        endpoint.warm_objects.add(request.object);
        for (auto& list : endpoint.unreported_objects)
            list.push_back(request.object);
    }
    if (!region_restricted(request)) shift_limiter_.on_send(now, endpoint.region_tag);
    if (now < endpoint.cold_until && service != nullptr) {
        const auto passed = static_cast<double>((now - endpoint.cold_tokens_updated).count) / 1000;
        const double refilled =
            endpoint.cold_tokens + passed * service->max_cold_requests_per_s * cold_rate_fraction;
        endpoint.cold_tokens = std::min(1.0, refilled) - 1;
        endpoint.cold_tokens_updated = now;
    }
}

void endpoint_selector::on_end(time_ms now, endpoint_state& endpoint, const endpoint_request& request,
                               time_ms started, bool warm, attempt_end outcome,
                               const backend_service* service) {
    const auto found = std::find(endpoint.in_flight.begin(), endpoint.in_flight.end(), started);
    if (found != endpoint.in_flight.end()) endpoint.in_flight.erase(found);
    decay(now, endpoint);
    if (outcome == attempt_end::unreachable) endpoint.limit.on_unsent();
    const bool not_run = outcome == attempt_end::unreachable || outcome == attempt_end::not_run;
    if (not_run && !region_restricted(request)) shift_limiter_.on_not_run(started, endpoint.region_tag);
    if (outcome == attempt_end::abandoned) return;
    const bool failed = outcome != attempt_end::answered;
    const double failure_weight = outcome == attempt_end::not_run ? 0.5 : failed ? 1.0 : 0.0;
    endpoint.failure_share += sample_weight * (failure_weight - endpoint.failure_share);
    if (outcome == attempt_end::unreachable || outcome == attempt_end::broken) {
        ++endpoint.consecutive_failures;
        const bool no_connection = outcome == attempt_end::unreachable;
        if (no_connection || endpoint.consecutive_failures >= failures_to_suspend) {
            const int doublings = std::min(4, std::max(0, endpoint.consecutive_failures - 1));
            endpoint.suspended_until = now + std::min(max_suspension, min_suspension * (1 << doublings));
            endpoint.warm_objects.clear();
        }
        return;
    }
    if (endpoint.consecutive_failures >= failures_to_suspend && service != nullptr) {
        // It was unreachable, so it may have restarted and be cold.
        endpoint.cold_until = std::max(endpoint.cold_until, now + service->warmup);
    }
    endpoint.consecutive_failures = 0;
    if (outcome != attempt_end::answered) return;
    const auto taken_ms = static_cast<double>((now - started).count) - round_trip_ms(endpoint);
    const auto times = times_of(request);
    if (now < endpoint.cold_until) return;
    const double expected = std::max(1.0, warm ? times.warm_ms : times.cold_ms);
    const bool queued = current_load(now, endpoint) + 1 > endpoint.registration.slots;
    if (queued) return;
    if (warm || taken_ms > expected) {
        const double ratio = std::clamp(taken_ms / expected, 0.5, 20.0);
        endpoint.service_time_ratio += sample_weight * (ratio - endpoint.service_time_ratio);
    }
    // The times of a slow endpoint are not typical of the route.
    if (endpoint.service_time_ratio > 2 && times.samples > 20) return;
    update_service_times(times_[times_key(request)], taken_ms, warm);
    // Requests without an object, such as checks, are not typical of the service.
    if (request.object != 0) update_service_times(times_[std::string(request.service)], taken_ms, warm);
}

void endpoint_selector::update_service_times(service_times& times, double taken_ms, bool warm) {
    // Measured times include waits that this VM cannot see, so the estimate follows a low quantile instead of
    // the mean: it moves faster towards a shorter time than towards a longer one.
    const auto update = [taken_ms](double& time) {
        time = time == 0 ? taken_ms
                         : time + (taken_ms < time ? service_time_weight_down : service_time_weight_up) *
                                      (taken_ms - time);
    };
    update(warm ? times.warm_ms : times.cold_ms);
    update(times.mean_ms);
    ++times.samples;
}

void endpoint_selector::on_load_report(time_ms now, endpoint_state& endpoint, std::string_view text) {
    int running = 0;
    int waiting = 0;
    const auto* end = text.data() + text.size();
    const auto first = std::from_chars(text.data(), end, running);
    if (first.ec != std::errc{} || first.ptr == end || *first.ptr != ',') return;
    const auto second = std::from_chars(first.ptr + 1, end, waiting);
    if (second.ec != std::errc{}) return;
    // The request that carries the report has already left its slot when the endpoint writes the report.
    const int own = std::max(0, static_cast<int>(endpoint.in_flight.size()) - 1);
    endpoint.others_in_flight_by_load_report = std::max(0, running + waiting - own);
    endpoint.load_reported_at = now;
}

} // namespace lacewing
