#pragma once

#include "coordination/endpoint_registry.h"
#include "coordination/object_placement.h"
#include "coordination/region_shift_limiter.h"
#include "coordination/route_table.h"
#include "state/time_ms.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief Restricts which versions of a service may get a request.
struct version_choice {
    /// Version that the request must go to, or must not go to if `avoid` is set; empty for no restriction.
    std::string version;
    bool avoid = false;
    [[nodiscard]] bool allows(std::string_view candidate) const {
        return version.empty() || (candidate == version) != avoid;
    }
};

/// @brief Properties of a request that the choice of an endpoint depends on.
struct endpoint_request {
    const host_route* route = nullptr;
    std::string_view service;
    /// Tag of the route and object of the request; 0 for none.
    std::uint32_t object = 0;
    version_choice version;
    /// Null for all regions.
    const region_filter* regions = nullptr;
    /// Priority of the account or route; 0 is the most urgent.
    int priority = 0;
    /// Expected size of the request and its answer together.
    std::size_t bytes = 0;
    /// Time since the caller sent the request for the first time, including its own repeats.
    time_ms elapsed{0};
    /// Time left until the deadline of the final answer.
    time_ms left{0};
    /// Ids of endpoints that have already been tried.
    const std::vector<std::string>* tried = nullptr;
};

/// @brief The endpoint for a request, or a refusal when `endpoint` is null.
struct endpoint_choice {
    std::shared_ptr<endpoint_state> endpoint;
    /// Expected time until the answer.
    time_ms expected{0};
    /// Part of `expected` that is spent waiting for a slot.
    time_ms wait{0};
    /// The object is expected to be warm at the endpoint.
    bool warm = false;
    /// Usual service time of such a request when its object is cold, as far as it is measured here.
    double cold_ms = 0;
    /// Answers on which that time rests.
    std::uint64_t cold_samples = 0;
    /// Part of `expected` that is spent on the network.
    time_ms round_trip{0};
    /// For refusals: time after which the caller should try again.
    time_ms retry_after{0};
    /// The service has no usable endpoint for this request, whatever the load.
    bool no_usable_endpoint = false;
    /// Regions with a usable endpoint that the limit on shifts between regions left out.
    std::size_t limited_regions = 0;
    /// Usable endpoints that take no further request now, because of the limits that they have named.
    std::size_t limited_endpoints = 0;
    /// Endpoints that would be usable but have asked for a pause.
    std::size_t paused_endpoints = 0;
};

/// @brief How an attempt at an endpoint ended, by what it says about the endpoint.
enum class attempt_end : std::uint8_t {
    answered,
    /// The answer reports a failure of the endpoint.
    failed,
    /// The endpoint answered that it did not run the request.
    not_run,
    /// No connection could be opened.
    unreachable,
    /// The connection ended or timed out before an answer.
    broken,
    /// Ended by the caller or by the request's own time limit.
    abandoned,
};

/// @brief Chooses endpoints by the expected time until the answer.
///
/// The expected time is the sum of the network round trip, the wait for a slot behind the requests of all
/// VMs, and the service time, which is shorter where the object is warm. Rendezvous hashing assigns each
/// object its own endpoints (see object_placement), so that all VMs of a region agree on them without
/// communication.
class endpoint_selector {
public:
    /// @param max_region_shift Limit of region_shift_limiter for requests that may go to any region.
    endpoint_selector(endpoint_registry& registry, std::string zone, std::string region, std::uint64_t seed,
                      double max_region_shift = 1);

    /// @brief Whether this VM owns the cold endpoint of an id; only its owner may send to a cold endpoint.
    std::function<bool(const std::string&)> owns_cold_endpoint = [](const std::string&) { return true; };
    /// @brief Number of live VMs. Each may use its equal part of a service's capacity whatever the load that
    /// the others report.
    std::size_t fleet = 1;

    /// @brief Chooses the endpoint of the lowest cost, or refuses when no endpoint is usable, has free
    /// capacity or can answer in time.
    /// @param service Null if the service is not configured; cold endpoints are then not limited.
    endpoint_choice choose(time_ms now, const endpoint_request& request, const backend_service* service);

    /// @brief Limits how fast requests move between regions.
    [[nodiscard]] region_shift_limiter& shift_limiter() { return shift_limiter_; }
    [[nodiscard]] const region_shift_limiter& shift_limiter() const { return shift_limiter_; }

    /// @brief Where objects are kept, for metrics and logs.
    [[nodiscard]] object_placement& placement() { return placement_; }
    [[nodiscard]] const object_placement& placement() const { return placement_; }

    /// @brief Records the start of an attempt.
    void on_send(time_ms now, endpoint_state& endpoint, const endpoint_request& request,
                 const backend_service* service);
    /// @brief Records the end of an attempt that on_send() has recorded.
    /// @param started Time that was passed to on_send().
    /// @param warm Whether the object was expected to be warm.
    void on_end(time_ms now, endpoint_state& endpoint, const endpoint_request& request, time_ms started,
                bool warm, attempt_end outcome, const backend_service* service);
    /// @brief Records the load report "running,waiting,slots" of an answer. The slots are not used; malformed
    /// text is ignored.
    static void on_load_report(time_ms now, endpoint_state& endpoint, std::string_view text);
    /// @brief Records the duration of a connect, which is one network round trip.
    void on_connect(const endpoint_state& endpoint, time_ms duration);

private:
    /// Service times in milliseconds, by whether the object was cold or warm.
    struct service_times {
        double cold_ms = 0;
        double warm_ms = 0;
        double mean_ms = 0;
        std::uint64_t samples = 0;
    };
    /// An endpoint with its expected times and its cost; the endpoint of the lowest cost is chosen.
    struct scored {
        std::shared_ptr<endpoint_state> endpoint;
        double cost = 0;
        double wait_ms = 0;
        double expected_ms = 0;
        /// Probability that the object is warm at the endpoint.
        double warm_probability = 0;
        /// All slots are busy and max_waiting_per_slot requests wait per slot, or the endpoint's limit admits
        /// no request now.
        bool full = false;
    };
    /// Endpoints that only their limits keep from a request.
    struct held_back_endpoints {
        std::size_t count = 0;
        /// The one of lowest cost.
        std::shared_ptr<endpoint_state> best;
        double cost = 0;
    };

    /// Endpoints that only the pauses that they have asked for keep from a request.
    struct paused_endpoints {
        std::size_t count = 0;
        /// When the first of the pauses ends.
        time_ms first_end{0};
    };

    /// The usable endpoints of one region for a request.
    struct region_candidates {
        std::uint32_t region = 0;
        std::optional<scored> best;
        double own_in_flight = 0;
        double load = 0;
        /// Slots that the requests within the endpoints' limits can use.
        double slots_within_limits = 0;
        region_capacity capacity;
    };

    region_candidates& candidates_of(std::uint32_t region);
    void collect_candidates(time_ms now, const endpoint_request& request, const backend_service* service,
                            const service_times& times);
    std::size_t remove_limited_regions(time_ms now, const endpoint_request& request);
    [[nodiscard]] bool usable(time_ms now, const endpoint_state& endpoint, const endpoint_request& request,
                              const backend_service* service) const;
    static bool region_restricted(const endpoint_request& request);
    [[nodiscard]] double region_refusal_share(time_ms now, std::string_view service,
                                              const std::string& region) const;
    void record_restricted_request(time_ms now, const endpoint_request& request, const std::string& region,
                                   bool has_capacity);
    [[nodiscard]] double current_load(time_ms now, const endpoint_state& endpoint) const;
    [[nodiscard]] double round_trip_ms(const endpoint_state& endpoint) const;
    [[nodiscard]] service_times times_of(const endpoint_request& request) const;
    scored score(time_ms now, const std::shared_ptr<endpoint_state>& endpoint,
                 const endpoint_request& request, const service_times& times) const;
    void apply_limit(time_ms now, scored& candidate);
    void note_pause(time_ms now, const endpoint_state& endpoint);
    static double slots_within_limit(const endpoint_state& endpoint, const service_times& times);
    static double preference_cost_ms(const endpoint_state& endpoint, std::uint64_t hash_input);
    [[nodiscard]] object_placement::view_function placement_view(time_ms now) const;
    void place_object(time_ms now, const endpoint_request& request, const backend_service* service,
                      std::span<const std::shared_ptr<endpoint_state>> endpoints);
    time_ms retry_after(double max_wait_ms, double left_ms);
    static void update_service_times(service_times& times, double taken_ms, bool warm);
    static void decay(time_ms now, endpoint_state& endpoint);

    endpoint_registry& registry_;
    std::string zone_;
    std::string region_;
    std::uint32_t region_tag_ = 0;
    std::mt19937_64 random_;
    std::map<std::string, service_times, std::less<>> times_;
    /// Smoothed share of the region-restricted requests that were refused in a region for lack of capacity.
    struct refusal_estimate {
        double share = 0;
        time_ms updated{0};
    };
    // Refusals by service and region.
    std::map<std::string, std::map<std::string, refusal_estimate>, std::less<>> region_refusals_;
    region_shift_limiter shift_limiter_;
    object_placement placement_;
    // Candidates of the request that is being placed, by region; kept between calls to avoid allocation.
    std::vector<region_candidates> candidates_;
    held_back_endpoints held_back_;
    paused_endpoints paused_;
    std::vector<region_capacity> capacities_;
    // Measured network round trips by zone.
    std::unordered_map<std::string, double> round_trips_ms_;
};

} // namespace lacewing
