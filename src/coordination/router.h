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

/// @brief Largest part of a route's requests that one version may receive.
/// A version of the route that is not listed is not limited. Later entries of a list are newer: the last one
/// holds for a version, and of two versions with equal shares the newer one goes first.
struct version_share {
    route_name route;
    std::string version;
    /// Millionths; 0 stops the version.
    std::int64_t ppm = 0;
};

/// @brief An attempt in flight; given back by router::finish.
struct route_ticket {
    std::uint32_t endpoint = 0;
    /// Changes with the version of the endpoint; an outcome of an older version does not count for the new
    /// one.
    std::uint32_t generation = 0;
    bool probe = false;
    /// Bytes charged to the link in advance.
    std::int64_t link_bytes = 0;
};

/// @brief Measurements of a finished attempt.
struct attempt_result {
    attempt_outcome outcome = attempt_outcome::success;
    time_ms latency;
    /// Load that the endpoint reported, 0 to 1.
    std::optional<double> reported_load;
    /// Bytes that the request and its response took on the link.
    std::int64_t link_bytes = 0;
};

/// @brief Rule that picks one of the endpoints with headroom; all but the first serve comparison runs.
enum class selection_rule : std::uint8_t { power_of_two, least_in_flight, round_robin };

/// @brief Chooses an endpoint for each attempt of this VM (design 4.6).
class router {
public:
    /// @param config Initial configuration.
    /// @param own_zone Zone of this VM; it must be listed in every configuration.
    /// @param seed Seed of the random choices.
    router(const configuration& config, zone_name own_zone, std::uint64_t seed,
           selection_rule rule = selection_rule::power_of_two);

    /// @brief Replaces the configuration; endpoints that stay keep their statistics and requests in flight.
    /// @param drained Endpoints that get no new requests from this call on.
    /// @param shares Limits of versions; replaces all earlier limits.
    void update(const configuration& config, std::span<const endpoint_name> drained,
                std::span<const version_share> shares);

    /// @brief Index of a route for choose; valid until the next update.
    [[nodiscard]] std::optional<std::uint32_t> find_route(std::string_view name) const;

    /// @brief Chooses an endpoint and occupies one slot on it.
    /// @param route Index from find_route.
    /// @param excluded Endpoints that this request has already tried; not empty means a retry.
    /// @param link_bytes Expected size of request and response, charged to the link of a remote region.
    /// @return Nothing when no endpoint has headroom.
    std::optional<route_ticket> choose(time_ms now, std::uint32_t route,
                                       std::span<const std::uint32_t> excluded = {},
                                       std::int64_t link_bytes = 0);

    /// @brief Frees the slot and records the outcome; to be called exactly once per ticket.
    void finish(time_ms now, const route_ticket& ticket, const attempt_result& result);

    /// @brief Records a connection to an endpoint, idle or in use.
    void connection_opened(std::uint32_t endpoint);
    void connection_closed(std::uint32_t endpoint);

    /// @brief Slots of an endpoint that this VM may use; never above the configured slots.
    void set_slot_limit(std::uint32_t endpoint, std::int64_t slots);

    /// @brief Connections to an endpoint that this VM may hold; never above the configured limit.
    void set_connection_limit(std::uint32_t endpoint, std::int64_t connections);

    /// @brief Requests that this VM may have in flight in a region; never above the configured capacity.
    void set_region_limit(std::string_view region, std::int64_t in_flight);

    /// @brief Bandwidth that this VM may use towards another region; 0, the initial value, means none.
    void set_link_permit(time_ms now, std::string_view region, std::int64_t bytes_per_s);

    /// @brief Index of an endpoint, for the setters; valid as long as the endpoint is listed.
    [[nodiscard]] std::optional<std::uint32_t> find_endpoint(std::string_view route,
                                                             std::string_view name) const;

    /// @brief What an outside observer may read of an endpoint.
    struct endpoint_view {
        std::string_view route;
        std::string_view name;
        std::string_view address;
        std::string_view version;
        /// Compared with route_ticket::generation: the version that an attempt ran on.
        std::uint32_t generation = 0;
        std::int64_t in_flight = 0;
        std::int64_t connections = 0;
        bool drained = false;
        circuit_breaker::state breaker = circuit_breaker::state::closed;
    };
    [[nodiscard]] endpoint_view view(std::uint32_t endpoint) const;

    /// @brief Slots of the endpoint that are free for this VM at this time.
    [[nodiscard]] std::int64_t headroom(time_ms now, std::uint32_t endpoint) const;

private:
    // Preference of an endpoint: a nearer place is used as long as it has headroom.
    enum class distance : std::uint8_t { own_zone, own_region, other_region };

    struct endpoint_state {
        // Read by every decision.
        std::int32_t in_flight = 0;
        std::int32_t slots = 0;
        std::int32_t slot_limit = 0;
        std::int32_t connections = 0;
        std::int32_t connection_limit = 0;
        std::uint32_t region = 0;
        std::uint32_t generation = 0;
        std::int32_t report_limit = 0;
        time_ms report_until;
        time_ms ejected_until;
        time_ms ramp_start{-1};
        double latency = 0;
        circuit_breaker breaker;
        bool drained = false;
        bool listed = false;
        // Statistics for ejection.
        double error_rate = 0;
        std::uint32_t samples = 0;
        std::uint8_t ejections = 0;
        std::uint32_t route = 0;
        std::int32_t configured_connections = 0;
        std::string key;
        std::string name;
        std::string address;
        std::string version;
    };

    // Endpoints of one version of a route, ordered by distance.
    struct version_group {
        std::string version;
        // Negative: not limited.
        std::int64_t share_ppm = -1;
        // Position in the list of shares.
        std::size_t share_rank = 0;
        // Millionths of a request that the version may still receive.
        std::int64_t credit = 0;
        std::vector<std::uint32_t> endpoints;
        // Ends of the own zone and the own region within endpoints.
        std::uint32_t zone_end = 0;
        std::uint32_t region_end = 0;
    };

    struct route_state {
        route_name name;
        std::vector<version_group> groups;
        std::uint32_t endpoint_count = 0;
        std::uint32_t next = 0;
        double latency = 0;
        time_ms last_ejection_check;
    };

    struct region_state {
        region_name name;
        std::int64_t capacity = 0;
        std::int64_t configured = 0;
        std::int64_t limit = 0;
        std::int64_t in_flight = 0;
        std::int64_t link_rate = 0;
        // Thousandths of a byte, because the clock counts thousandths of a second.
        std::int64_t link_milli_bytes = 0;
        time_ms link_time;
        bool own = false;
        bool link_open = false;
    };

    std::uint32_t slot_for(const std::string& key);
    void update_endpoint(std::uint32_t index, const endpoint& listed, std::uint32_t region);
    [[nodiscard]] std::uint32_t region_index(const configuration& config, const zone_name& name) const;
    void update_regions(const configuration& config);
    void build_route(const configuration& config, const route& listed, std::span<const version_share> shares,
                     const std::vector<route_state>& earlier);
    [[nodiscard]] std::int64_t limit_of(time_ms now, const endpoint_state& state) const;
    [[nodiscard]] bool available(time_ms now, std::uint32_t index, std::span<const std::uint32_t> excluded);
    std::optional<std::uint32_t> choose_in_group(time_ms now, route_state& in, const version_group& group,
                                                 std::span<const std::uint32_t> excluded);
    std::uint32_t pick(time_ms now, route_state& in);
    [[nodiscard]] double score(time_ms now, const route_state& in, const endpoint_state& state) const;
    static void spend_credit(route_state& in, const version_group& chosen, bool retry);
    route_ticket occupy(time_ms now, std::uint32_t index, std::int64_t link_bytes);
    void record(time_ms now, endpoint_state& state, const route_ticket& ticket, const attempt_result& result);
    void eject_outliers(time_ms now, route_state& in);
    void release_if_unlisted(std::uint32_t index);
    static void refill_link(time_ms now, region_state& state);

    zone_name own_zone_;
    selection_rule rule_;
    std::mt19937_64 random_;
    std::vector<endpoint_state> endpoints_;
    std::vector<std::uint32_t> free_;
    std::vector<route_state> routes_;
    std::vector<region_state> regions_;
    // Key: route/endpoint name.
    std::unordered_map<std::string, std::uint32_t> by_key_;
    std::vector<std::uint32_t> candidates_;
    std::vector<double> sorted_;
};

} // namespace lacewing
