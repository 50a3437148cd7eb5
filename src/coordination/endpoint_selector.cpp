#include "coordination/endpoint_selector.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace lacewing {

namespace {

// Ways there and back before the first connect has measured them.
constexpr double same_zone_ms = 1;
constexpr double same_region_ms = 4;
constexpr double other_region_ms = 60;
// Bytes between regions and zones are billed; expressed as time, so that a far endpoint must be that much
// faster. A 60 KB scan to another region costs about half of what its answer is worth.
constexpr double region_ms_per_kb = 2.0;
constexpr double zone_ms_per_kb = 0.5;
// A load report of an endpoint is newer than the reports of the VMs for this long.
constexpr time_ms load_report_valid{200};
// Halving times of what was learnt from answers, so that a recovered endpoint is tried again.
constexpr double failures_half_life_ms = 2500;
constexpr double slowness_half_life_ms = 6000;
constexpr double sample_weight = 0.3;
// Chance that an endpoint still knows an object that was sent there.
constexpr double sent_warm = 0.95;
// Equal endpoints are told apart by the object, so that VMs that do not know of each other's requests yet
// choose the same one.
constexpr double preference_ms = 4;
// Part of the cost that counts for an endpoint that never got a request.
constexpr double unused_part = 0.8;
constexpr time_ms none_usable_retry{250};
// Connects that fail in a row before an endpoint is left alone, and for how long.
constexpr int failures_to_suspend = 3;
constexpr time_ms first_suspension{250};
constexpr time_ms longest_suspension{3000};
// Part of the tolerated rate that the owner of a cold endpoint uses; two owners by mistake stay below it.
constexpr double cold_rate_part = 0.8;
// Requests waiting at an endpoint, per slot, beyond which a request is not sent there.
constexpr double waiting_per_slot = 1.0;
// The answer must be expected within this part of the time that is left.
constexpr double safe_part = 0.95;
constexpr time_ms shortest_retry{50};
// Answers after which the measured service times are relied on.
constexpr std::uint64_t least_samples = 8;
constexpr double times_weight_down = 0.08;
constexpr double times_weight_up = 0.03;
// Part of the wait that the goal leaves room for which is planned as queue; the rest covers what a VM does
// not know of the others.
constexpr double queue_part = 0.7;
// Part of all places, or of the slots alone, below which any VM may use them.
constexpr double open_part = 0.8;
constexpr double open_slots_part = 0.95;
// How a refusal of a request that is bound to a region raises the price of the region for other requests, and
// how soon the price falls again.
constexpr double scarcity_weight = 0.1;
constexpr double scarcity_half_life_ms = 3000;

std::string times_key(const endpoint_request& request) {
    return request.route->name.value + '/' + std::string(request.service);
}

} // namespace

endpoint_selector::endpoint_selector(endpoint_registry& registry, std::string zone, std::string region,
                                     std::uint64_t seed)
    : registry_(registry), zone_(std::move(zone)), region_(std::move(region)), random_(seed) {}

double endpoint_selector::way(const endpoint_state& endpoint) const {
    const auto& zone = endpoint.registration.zone.value;
    const auto found = ways_.find(zone);
    if (found != ways_.end()) return found->second;
    if (zone == zone_) return same_zone_ms;
    return endpoint.region == region_ ? same_region_ms : other_region_ms;
}

void endpoint_selector::on_connect(const endpoint_state& endpoint, time_ms duration) {
    auto& known = ways_[endpoint.registration.zone.value];
    const auto measured = std::max(0.5, static_cast<double>(duration.count));
    known = known == 0 ? measured : std::min(measured, known + 0.1 * (measured - known));
}

// Service times of a route; those of the whole service, or the goal, stand in for what has not been measured.
endpoint_selector::service_times endpoint_selector::times_of(const endpoint_request& request) const {
    const auto goal = static_cast<double>(request.route->goal.count);
    service_times known{goal * 1.3, goal * 0.5, goal * 0.7, 0};
    const auto take = [&known](const service_times& measured) {
        if (measured.cold > 0) known.cold = measured.cold;
        if (measured.warm > 0) known.warm = measured.warm;
        if (measured.mean > 0) known.mean = measured.mean;
        known.samples += measured.samples;
    };
    const auto service = times_.find(request.service);
    if (service != times_.end()) take(service->second);
    const auto route = times_.find(times_key(request));
    if (route != times_.end()) take(route->second);
    known.warm = std::min(known.warm, known.cold);
    return known;
}

double endpoint_selector::load_of(time_ms now, const endpoint_state& endpoint) const {
    const bool observed = now - endpoint.observed < load_report_valid;
    const int elsewhere = observed ? endpoint.observed_elsewhere : endpoint.reported_elsewhere;
    return static_cast<double>(endpoint.in_flight.size()) + elsewhere;
}

void endpoint_selector::decay(time_ms now, endpoint_state& endpoint) {
    const auto passed = static_cast<double>((now - endpoint.failures_updated).count);
    if (passed < 50) return;
    endpoint.failures *= std::exp2(-passed / failures_half_life_ms);
    endpoint.slowness = 1 + (endpoint.slowness - 1) * std::exp2(-passed / slowness_half_life_ms);
    endpoint.failures_updated = now;
}

bool endpoint_selector::usable(time_ms now, const endpoint_state& endpoint, const endpoint_request& request,
                               const backend_service* service) const {
    const auto& registration = endpoint.registration;
    if (registration.draining || endpoint.replaced || registry_.drained(endpoint)) return false;
    if (!request.version.allows(registration.version)) return false;
    if (request.regions != nullptr && !request.regions->allows(endpoint.region)) return false;
    if (now < endpoint.suspended_until) return false;
    // After failed connects a single request tries whether the endpoint is back.
    if (endpoint.consecutive_failures >= failures_to_suspend && !endpoint.in_flight.empty()) return false;
    if (request.tried != nullptr && std::find(request.tried->begin(), request.tried->end(),
                                              registration.id.value) != request.tried->end()) {
        return false;
    }
    if (now >= endpoint.cold_until || service == nullptr || service->warmup_per_s <= 0) return true;
    if (!owns_cold_endpoint(registration.id.value)) return false;
    const auto passed = static_cast<double>((now - endpoint.cold_updated).count) / 1000;
    return endpoint.cold_tokens + passed * service->warmup_per_s * cold_rate_part >= 1;
}

endpoint_selector::scored endpoint_selector::score(time_ms now,
                                                   const std::shared_ptr<endpoint_state>& endpoint,
                                                   const endpoint_request& request,
                                                   const service_times& times) const {
    const auto slots = static_cast<double>(endpoint->registration.slots);
    const double slowness = std::max(1.0, endpoint->slowness);
    const double load = load_of(now, *endpoint);
    const double known = request.object != 0 && endpoint->warm.has(request.object) ? sent_warm : 0;
    const double work = (times.cold + known * (times.warm - times.cold)) * slowness;
    scored made{endpoint, 0, 0, 0, known, false};
    if (load >= slots) made.wait = (load - slots + 1) / slots * times.mean * slowness;
    // A request that has been out for much longer than expected shows that the endpoint hangs.
    double overdue = 0;
    for (const auto started : endpoint->in_flight) {
        const auto age = static_cast<double>((now - started).count);
        overdue = std::max(overdue, age - 2 * (work + made.wait));
    }
    made.expected = way(*endpoint) + made.wait + work + overdue;
    const auto kilobytes = static_cast<double>(request.bytes) / 1024;
    double price = 0;
    if (endpoint->region != region_) {
        price = kilobytes * region_ms_per_kb;
    } else if (endpoint->registration.zone.value != zone_) {
        price = kilobytes * zone_ms_per_kb;
    }
    const auto goal = static_cast<double>(request.route->goal.count);
    if (!bound(request)) price += scarcity(now, request.service, endpoint->region) * goal;
    made.cost = made.expected + price + endpoint->failures * goal * 2 + load;
    return made;
}

// Whether the request may go to some regions only.
bool endpoint_selector::bound(const endpoint_request& request) {
    return request.regions != nullptr && request.regions->restricted();
}

// Part of the requests bound to a region that were lately refused there for want of room.
double endpoint_selector::scarcity(time_ms now, std::string_view service, const std::string& region) const {
    const auto endpoints_of_service = scarce_.find(service);
    if (endpoints_of_service == scarce_.end()) return 0;
    const auto found = endpoints_of_service->second.find(region);
    if (found == endpoints_of_service->second.end()) return 0;
    return found->second.part *
           std::exp2(-static_cast<double>((now - found->second.updated).count) / scarcity_half_life_ms);
}

// Records whether a bound request found room in the region of the endpoint that suited it best.
void endpoint_selector::note_bound(time_ms now, const endpoint_request& request, const std::string& region,
                                   bool room) {
    const double before = scarcity(now, request.service, region);
    auto& entry = scarce_[std::string(request.service)][region];
    entry.part = before + scarcity_weight * ((room ? 0.0 : 1.0) - before);
    entry.updated = now;
}

// Rendezvous weight of an endpoint for an object, as a small part of its cost.
double endpoint_selector::preference(const endpoint_state& endpoint, std::uint64_t subject) {
    // The finalizer of splitmix64 spreads the bits.
    std::uint64_t weight = endpoint.tag * 0x9e3779b97f4a7c15ULL + subject;
    weight = (weight ^ (weight >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    weight = (weight ^ (weight >> 27U)) * 0x94d049bb133111ebULL;
    weight ^= weight >> 31U;
    return preference_ms * static_cast<double>(weight >> 11U) * 0x1.0p-53;
}

endpoint_choice endpoint_selector::choose(time_ms now, const endpoint_request& request,
                                          const backend_service* service) {
    endpoint_choice choice;
    std::optional<scored> best;
    const auto times = times_of(request);
    struct {
        double own = 0;
        double known = 0;
        double slots = 0;
    } total;
    const std::uint64_t subject = request.object != 0 ? request.object : random_();
    for (const auto& endpoint : registry_.endpoints_of_service(std::string(request.service))) {
        decay(now, *endpoint);
        if (!usable(now, *endpoint, request, service)) continue;
        total.own += static_cast<double>(endpoint->in_flight.size());
        total.known += load_of(now, *endpoint);
        total.slots += endpoint->registration.slots;
        auto made = score(now, endpoint, request, times);
        made.full = load_of(now, *endpoint) >= endpoint->registration.slots * (1 + waiting_per_slot);
        made.cost += preference(*endpoint, subject);
        // An endpoint that never got a request is tried, so that it takes its part.
        if (endpoint->sends == 0 && made.wait == 0) made.cost *= unused_part;
        // A full endpoint is kept only to tell a refused caller when to return.
        if (!best || std::pair(made.full, made.cost) < std::pair(best->full, best->cost)) best = made;
    }
    if (!best) {
        choice.no_usable_endpoint = true;
        choice.retry_after = none_usable_retry;
        return choice;
    }
    const auto left = static_cast<double>(request.left.count);
    choice.expected = time_ms{static_cast<std::int64_t>(best->expected)};
    choice.wait = time_ms{static_cast<std::int64_t>(best->wait)};
    choice.warm = best->warm >= sent_warm;
    // Only measured service times justify a refusal; a guess would never be corrected.
    const bool measured = times.samples >= least_samples;
    const bool in_time = !measured || best->expected <= left * safe_part;
    // Each VM may always use its part of the places at slots and in queues; more only while the fleet's total
    // is well below. Without the parts, all VMs send to the same free slot before they hear of each other.
    const auto goal = static_cast<double>((request.route->goal - request.elapsed).count);
    const double spare = goal - (best->expected - best->wait);
    const double mean = std::max(1.0, times.mean);
    const double queue = std::clamp(queue_part * spare / mean, 0.0, waiting_per_slot);
    const double places = total.slots * (1 + queue);
    const double open = std::max(open_part * places, open_slots_part * total.slots);
    const bool my_part = total.own < places / static_cast<double>(fleet) || total.known < open;
    const bool room = my_part && !best->full;
    if (bound(request)) note_bound(now, request, best->endpoint->region, room);
    if (in_time && room) {
        choice.endpoint = best->endpoint;
        return choice;
    }
    choice.retry_after = retry_after(spare, left);
    return choice;
}

// A caller that returns while its goal can still be met has a second chance; otherwise it should stay away
// long enough for the load to change.
time_ms endpoint_selector::retry_after(double spare, double left) {
    const auto shortest = static_cast<double>(shortest_retry.count);
    const double longest = spare > 2 * shortest ? spare : std::max(2 * shortest, left / 3);
    std::uniform_real_distribution<double> span(spare > 2 * shortest ? shortest : longest / 2, longest);
    return time_ms{static_cast<std::int64_t>(span(random_))};
}

void endpoint_selector::on_send(time_ms now, endpoint_state& endpoint, std::uint32_t object,
                                const backend_service* service) {
    endpoint.in_flight.push_back(now);
    ++endpoint.sends;
    if (object != 0) {
        endpoint.warm.add(object);
        for (auto& list : endpoint.unreported)
            list.push_back(object);
    }
    if (now < endpoint.cold_until && service != nullptr) {
        const auto passed = static_cast<double>((now - endpoint.cold_updated).count) / 1000;
        const double refilled = endpoint.cold_tokens + passed * service->warmup_per_s * cold_rate_part;
        endpoint.cold_tokens = std::min(1.0, refilled) - 1;
        endpoint.cold_updated = now;
    }
}

void endpoint_selector::on_end(time_ms now, endpoint_state& endpoint, const endpoint_request& request,
                               time_ms started, bool warm, attempt_end how, const backend_service* service) {
    const auto found = std::find(endpoint.in_flight.begin(), endpoint.in_flight.end(), started);
    if (found != endpoint.in_flight.end()) endpoint.in_flight.erase(found);
    decay(now, endpoint);
    if (how == attempt_end::abandoned) return;
    const bool failed = how != attempt_end::answered;
    const double badness = how == attempt_end::not_run ? 0.5 : failed ? 1.0 : 0.0;
    endpoint.failures += sample_weight * (badness - endpoint.failures);
    if (how == attempt_end::unreachable || how == attempt_end::broken) {
        ++endpoint.consecutive_failures;
        const bool ended = how == attempt_end::unreachable;
        if (ended || endpoint.consecutive_failures >= failures_to_suspend) {
            const int doublings = std::min(4, std::max(0, endpoint.consecutive_failures - 1));
            endpoint.suspended_until =
                now + std::min(longest_suspension, first_suspension * (1 << doublings));
            endpoint.warm.clear();
        }
        return;
    }
    if (endpoint.consecutive_failures >= failures_to_suspend && service != nullptr) {
        // It was away, so it may have been restarted and be cold.
        endpoint.cold_until = std::max(endpoint.cold_until, now + service->warmup);
    }
    endpoint.consecutive_failures = 0;
    if (how != attempt_end::answered) return;
    const auto taken = static_cast<double>((now - started).count) - way(endpoint);
    const auto times = times_of(request);
    if (now < endpoint.cold_until) return;
    const double expected = std::max(1.0, warm ? times.warm : times.cold);
    const bool queued = load_of(now, endpoint) + 1 > endpoint.registration.slots;
    if (queued) return;
    if (warm || taken > expected) {
        const double ratio = std::clamp(taken / expected, 0.5, 20.0);
        endpoint.slowness += sample_weight * (ratio - endpoint.slowness);
    }
    // A slow endpoint says nothing about the work of the route.
    if (endpoint.slowness > 2 && times.samples > 20) return;
    learn(times_[times_key(request)], taken, warm);
    // Requests without an object, such as checks, say nothing about the usual work of the service.
    if (request.object != 0) learn(times_[std::string(request.service)], taken, warm);
}

void endpoint_selector::learn(service_times& of, double taken, bool warm) {
    // Measured times hold hidden waits too, so a low quantile is followed instead of the mean.
    const auto move = [taken](double& time) {
        time =
            time == 0 ? taken : time + (taken < time ? times_weight_down : times_weight_up) * (taken - time);
    };
    move(warm ? of.warm : of.cold);
    move(of.mean);
    ++of.samples;
}

void endpoint_selector::on_load_report(time_ms now, endpoint_state& endpoint, std::string_view text) {
    int running = 0;
    int waiting = 0;
    const auto* end = text.data() + text.size();
    const auto first = std::from_chars(text.data(), end, running);
    if (first.ec != std::errc{} || first.ptr == end || *first.ptr != ',') return;
    const auto second = std::from_chars(first.ptr + 1, end, waiting);
    if (second.ec != std::errc{}) return;
    // The answering request itself has left its slot when the report is written.
    const int own = std::max(0, static_cast<int>(endpoint.in_flight.size()) - 1);
    endpoint.observed_elsewhere = std::max(0, running + waiting - own);
    endpoint.observed = now;
}

} // namespace lacewing
