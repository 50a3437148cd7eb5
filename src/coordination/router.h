#pragma once

#include "coordination/circuit_breaker.h"
#include "coordination/peer_message.h"
#include "state/configuration.h"
#include "state/error_kind.h"
#include "state/time_ms.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief Maximum share of a route's requests that one version may receive.
/// Versions of the route without an entry are not limited. Later entries of a list take precedence: the last
/// one for a version applies, and of two versions with equal shares the later one is tried first.
struct version_share {
    route_name route;
    std::string version;
    /// Share in millionths; 0 stops requests to the version.
    std::int64_t ppm = 0;
};

/// @brief An attempt in flight, which occupies a slot until it is passed to router::finish.
struct route_ticket {
    std::uint32_t endpoint = 0;
    /// Changes with the address or version of the endpoint, so that outcomes of the previous process do not
    /// count for the new one.
    std::uint32_t generation = 0;
    /// Whether the attempt probes an endpoint whose circuit breaker is not closed.
    bool probe = false;
    /// Bytes charged to the link in advance.
    std::int64_t link_bytes = 0;
};

/// @brief Measurements of a finished attempt.
struct attempt_result {
    attempt_outcome outcome = attempt_outcome::success;
    time_ms latency;
    /// Load reported by the endpoint, from 0 (idle) to 1 (full).
    std::optional<double> reported_load;
    /// Bytes of the request and its response on the link.
    std::int64_t link_bytes = 0;
};

/// @brief How one of the endpoints with headroom is selected; all but power_of_two are baselines for
/// benchmarks.
enum class selection_rule : std::uint8_t { power_of_two, least_in_flight, round_robin };

/// @brief Chooses an endpoint for each attempt of this VM, within the slots and connections of endpoints, the
/// capacity of regions, the bandwidth of links and the shares of versions.
class router {
public:
    /// @param config Initial configuration.
    /// @param own_zone Zone of this VM; every configuration must list it.
    /// @param seed Seed of the random selection.
    router(const configuration& config, zone_name own_zone, std::uint64_t seed,
           selection_rule rule = selection_rule::power_of_two);

    /// @brief Replaces the configuration; endpoints that remain keep their statistics and requests in flight.
    /// @param drained Endpoints that get no new requests from now on.
    /// @param shares Limits of versions; they replace all earlier limits.
    void update(const configuration& config, std::span<const endpoint_name> drained,
                std::span<const version_share> shares);

    /// @brief Index of a route, for choose(); valid until the next update().
    [[nodiscard]] std::optional<std::uint32_t> find_route(std::string_view name) const;

    /// @brief Chooses an endpoint and occupies one slot on it.
    /// @param route_index Index from find_route().
    /// @param excluded Endpoints that this request has already tried; the attempt is a retry if there are
    /// any.
    /// @param link_bytes Expected size of request and response, charged to the link if the endpoint is in
    /// another region.
    /// @return Nothing when no endpoint can take the request within the limits.
    std::optional<route_ticket> choose(time_ms now, std::uint32_t route_index,
                                       std::span<const std::uint32_t> excluded = {},
                                       std::int64_t link_bytes = 0);

    /// @brief Frees the slot and records the outcome; must be called exactly once per ticket.
    void finish(time_ms now, const route_ticket& ticket, const attempt_result& result);

    /// @brief Counts the open connections to an endpoint, idle or in use.
    void connection_opened(std::uint32_t endpoint);
    void connection_closed(std::uint32_t endpoint);

    /// @brief Sets how many slots of an endpoint this VM may use; the configured number still limits them.
    void set_slot_limit(std::uint32_t endpoint, std::int64_t slots);

    /// @brief Sets how many connections to an endpoint this VM may hold.
    void set_connection_limit(std::uint32_t endpoint, std::int64_t connections);

    /// @brief Sets how many requests this VM may have in flight in a region; the configured capacity still
    /// limits them.
    void set_region_limit(std::string_view region, std::int64_t in_flight);

    /// @brief Sets the bandwidth that this VM may use to another region. With 0, the initial value, it sends
    /// nothing there.
    void set_link_bandwidth(time_ms now, std::string_view region, std::int64_t bytes_per_s);

    /// @brief Index of an endpoint, for the setters; valid while the configuration lists the endpoint.
    [[nodiscard]] std::optional<std::uint32_t> find_endpoint(std::string_view route,
                                                             std::string_view name) const;

    /// @brief State of an endpoint for status output and logs.
    struct endpoint_view {
        std::string_view route;
        std::string_view name;
        std::string_view address;
        std::string_view version;
        /// Equal to route_ticket::generation of attempts that ran on the current address and version.
        std::uint32_t generation = 0;
        std::int64_t in_flight = 0;
        std::int64_t connections = 0;
        bool drained = false;
        circuit_breaker::state breaker = circuit_breaker::state::closed;
    };
    [[nodiscard]] endpoint_view view(std::uint32_t endpoint) const;

    /// @brief Number of slots of the endpoint that this VM may still occupy now.
    [[nodiscard]] std::int64_t headroom(time_ms now, std::uint32_t endpoint) const;

private:
    // Distance of an endpoint; a nearer endpoint is preferred as long as it has headroom.
    enum class distance : std::uint8_t { own_zone, own_region, other_region };

    struct endpoint_state {
        // Read for every choice.
        std::int32_t in_flight = 0;
        std::int32_t slots = 0;
        // Limits set for this VM.
        std::int32_t slot_limit = 0;
        std::int32_t connections = 0;
        std::int32_t connection_limit = 0;
        std::uint32_t region = 0;
        std::uint32_t generation = 0;
        // Slot limit derived from the endpoint's load reports and refusals, and when it expires.
        std::int32_t reported_slot_limit = 0;
        time_ms reported_limit_until;
        time_ms ejected_until;
        // Negative until the first request, also after an ejection.
        time_ms slow_start_began_at{-1};
        // Moving average in milliseconds; 0 before the first success.
        double latency = 0;
        circuit_breaker breaker;
        bool drained = false;
        bool listed = false;
        // Statistics for outlier ejection; the error rate is a moving average.
        double error_rate = 0;
        std::uint32_t sample_count = 0;
        std::uint8_t ejection_doublings = 0;
        std::uint32_t route_index = 0;
        std::int32_t configured_connections = 0;
        std::string key;
        std::string name;
        std::string address;
        std::string version;
    };

    // Endpoints of one version of a route, ordered by distance.
    struct version_group {
        std::string version;
        // Negative when the version is not limited.
        std::int64_t share_ppm = -1;
        // Position in the list of shares; later ones take precedence.
        std::size_t share_position = 0;
        // Requests that the version may receive now, in millionths of a request.
        std::int64_t credit = 0;
        std::vector<std::uint32_t> endpoints;
        // Positions in `endpoints` where the endpoints of the own zone and of the own region end.
        std::uint32_t zone_end = 0;
        std::uint32_t region_end = 0;
    };

    struct route_state {
        route_name name;
        std::vector<version_group> groups;
        std::uint32_t endpoint_count = 0;
        std::uint32_t round_robin_next = 0;
        // Moving average over all endpoints, in milliseconds.
        double latency = 0;
        time_ms last_ejection_check;
    };

    struct region_state {
        region_name name;
        // 0 when the region is no longer listed.
        std::int64_t capacity = 0;
        std::int64_t last_configured_capacity = 0;
        std::int64_t in_flight_limit = 0;
        std::int64_t in_flight = 0;
        std::int64_t link_rate_bytes_per_s = 0;
        // Token bucket of the link, negative when in debt. In thousandths of a byte, because the clock counts
        // milliseconds.
        std::int64_t link_tokens_milli_bytes = 0;
        time_ms link_refilled_at;
        bool is_own = false;
        // Whether the link covers the request being routed; computed once per choice.
        bool link_has_tokens = false;
    };

    std::uint32_t find_or_add_endpoint(const std::string& key);
    void update_endpoint(std::uint32_t index, const endpoint& configured, std::uint32_t region);
    [[nodiscard]] std::uint32_t region_index(const configuration& config, const zone_name& name) const;
    void update_regions(const configuration& config);
    void build_route(const configuration& config, const route& configured,
                     std::span<const version_share> shares, const std::vector<route_state>& previous_routes);
    [[nodiscard]] std::int64_t effective_slot_limit(time_ms now, const endpoint_state& state) const;
    [[nodiscard]] bool can_accept(time_ms now, std::uint32_t index, std::span<const std::uint32_t> excluded);
    std::optional<std::uint32_t> choose_in_group(time_ms now, route_state& current_route,
                                                 const version_group& group,
                                                 std::span<const std::uint32_t> excluded);
    std::uint32_t select_candidate(time_ms now, route_state& current_route);
    [[nodiscard]] double expected_cost(time_ms now, const route_state& current_route,
                                       const endpoint_state& state) const;
    static void spend_credit(route_state& current_route, const version_group& chosen, bool retry);
    route_ticket occupy(time_ms now, std::uint32_t index, std::int64_t link_bytes);
    void record_outcome(time_ms now, endpoint_state& state, const route_ticket& ticket,
                        const attempt_result& result);
    void eject_outliers(time_ms now, route_state& current_route);
    void release_if_unlisted(std::uint32_t index);
    static void refill_link(time_ms now, region_state& state);

    zone_name own_zone_;
    selection_rule rule_;
    std::mt19937_64 random_engine_;
    std::vector<endpoint_state> endpoints_;
    std::vector<std::uint32_t> free_indices_;
    std::vector<route_state> routes_;
    std::vector<region_state> regions_;
    // Index of an endpoint by "route/endpoint".
    std::unordered_map<std::string, std::uint32_t> index_by_key_;
    // Buffers kept between calls to avoid allocation.
    std::vector<std::uint32_t> candidates_;
    std::vector<double> latencies_;
};

} // namespace lacewing
