#pragma once

#include "coordination/endpoint_limit.h"
#include "coordination/endpoint_notice.h"
#include "coordination/vm_report.h"
#include "state/service_model.h"
#include "state/time_ms.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace lacewing {

/// @brief Objects that an endpoint has handled most recently. A request for one of them is expected to be
/// warm, which means faster.
class recent_objects {
public:
    /// Objects remembered per endpoint; endpoints keep at least 25 objects warm.
    static constexpr std::size_t capacity = 25;

    /// @brief Adds an object as the newest and drops the oldest beyond the capacity.
    void add(std::uint32_t object);
    [[nodiscard]] bool has(std::uint32_t object) const { return objects_.contains(object); }
    void clear();

private:
    std::deque<std::uint32_t> order_;
    std::unordered_set<std::uint32_t> objects_;
};

/// @brief One endpoint process: its registration and what this VM has learned about it.
struct endpoint_state {
    endpoint_registration registration;
    /// Tag of the id in the reports of VMs.
    std::uint32_t tag = 0;
    /// Hash of the process in the reports of VMs.
    std::uint64_t process = 0;
    /// Objects that this VM has sent since its last report, by audience of the report.
    std::array<std::vector<std::uint32_t>, report_audiences> unreported_objects;
    std::string region;
    /// Tag of the region.
    std::uint32_t region_tag = 0;
    /// Time at which this process was first registered here.
    time_ms joined{0};
    /// Until this time the endpoint is cold and gets only few requests (see
    /// backend_service::max_cold_requests_per_s).
    time_ms cold_until{0};
    /// Another endpoint answered at its address, so this process has ended.
    bool replaced = false;
    /// Set when the registration vanished around a store outage: the endpoint is used until this time.
    std::optional<time_ms> expires;

    /// Start times of the requests of this VM in flight.
    std::vector<time_ms> in_flight;
    /// Requests of other VMs in flight, by their reports.
    int others_in_flight_by_vm_reports = 0;
    /// Requests of other VMs in flight, by the last load report of the endpoint itself.
    int others_in_flight_by_load_report = 0;
    /// Time of that load report.
    time_ms load_reported_at{-10'000};
    /// Requests that this VM has sent to the endpoint.
    std::uint64_t sent_count = 0;

    /// Smoothed ratio of measured to expected service time.
    double service_time_ratio = 1;
    /// Smoothed share of failed attempts, 0 to 1.
    double failure_share = 0;
    /// Time up to which failure_share and service_time_ratio have decayed.
    time_ms decayed_at{0};
    /// Failed connects and broken connections since the last response.
    int consecutive_failures = 0;
    /// The endpoint gets no requests before this time.
    time_ms suspended_until{0};
    /// Tokens for requests while the endpoint is cold.
    double cold_tokens = 1;
    time_ms cold_tokens_updated{0};
    endpoint_limit limit;
    endpoint_notice notice;
    recent_objects warm_objects;
};

/// @brief All endpoints by service, built from the registrations in the store.
class endpoint_registry {
public:
    /// Added to the remaining warm-up time that an endpoint registers, for the delay of the registration.
    static constexpr time_ms cold_margin{500};
    /// What a removed endpoint has said is kept for this long, in case the same process registers again.
    static constexpr time_ms removed_word_time{30'000};

    explicit endpoint_registry(std::unordered_map<std::string, std::string> zone_regions)
        : zone_regions_(std::move(zone_regions)) {}

    /// @brief Adds or updates an endpoint; a revision older than the known one is ignored. A process that
    /// starts again under the same id replaces the state of its predecessor.
    void put(time_ms now, const endpoint_registration& registration);
    /// @brief Removes an endpoint.
    /// @param return_by Set when the registration may have vanished only because of a store outage: an
    /// endpoint that is not draining is kept until this time.
    void remove(time_ms now, const std::string& id, std::optional<time_ms> return_by = {});
    /// @brief Removes endpoints that have not registered again in time after a store outage.
    void expire(time_ms now);

    /// @brief Sets the zones that get no requests. Endpoints of a zone that is no longer drained count as
    /// cold.
    /// @param warmup How long they count as cold.
    void set_drained_zones(time_ms now, std::set<std::string> zones, time_ms warmup);
    /// @brief Whether the zone of the endpoint is drained.
    [[nodiscard]] bool drained(const endpoint_state& endpoint) const {
        return drained_zones_.contains(endpoint.registration.zone.value);
    }

    [[nodiscard]] std::span<const std::shared_ptr<endpoint_state>>
    endpoints_of_service(const std::string& service) const;
    [[nodiscard]] std::shared_ptr<endpoint_state> find(const std::string& id) const;
    [[nodiscard]] std::size_t size() const { return by_id_.size(); }
    /// @brief Number of endpoints that leave or have asked for a pause, by their own answers.
    [[nodiscard]] std::size_t endpoints_without_requests(time_ms now) const;
    /// @brief Number of endpoints with a limit in force.
    [[nodiscard]] std::size_t limited_endpoint_count() const;

    /// @brief Adds the requests of this VM in flight, the objects that it has sent and what endpoints have
    /// said to its report.
    /// @param full Include limits that have not changed lately, and all endpoints that leave.
    void fill(time_ms now, vm_report& report, report_audience audience, bool full) const;
    /// @brief Clears the objects, and the uses of limits, that have been reported to an audience.
    void clear_unreported(report_audience audience);
    /// @brief Replaces the requests in flight that a VM reported before, adds the objects that it has sent,
    /// and records what it knows of limits and of endpoints that leave.
    void on_report(time_ms now, const std::string& vm, const vm_report& report);
    /// @brief Records the limit that an answer of an endpoint names, or that it names none.
    void on_limit(time_ms now, endpoint_state& endpoint, std::optional<double> per_s);
    /// @brief Called when another VM has reported that an endpoint leaves, with the name of that VM.
    std::function<void(const endpoint_state& endpoint, std::string_view source)> on_reported_leaving;
    /// @brief Called when the limit of an endpoint has changed, with the period before and the VM that got
    /// the answer; empty for this VM.
    std::function<void(time_ms now, const endpoint_state& endpoint, const endpoint_limit::period& before,
                       std::string_view source)>
        on_limit_change;

private:
    /// @brief Removes an endpoint from the indexes by service and by tag.
    void detach(const endpoint_state& endpoint);

    std::unordered_map<std::string, std::string> zone_regions_;
    std::unordered_map<std::string, std::shared_ptr<endpoint_state>> by_id_;
    std::unordered_map<std::string, std::vector<std::shared_ptr<endpoint_state>>> by_service_;
    std::unordered_map<std::uint32_t, std::shared_ptr<endpoint_state>> by_tag_;
    std::unordered_map<std::uint64_t, std::shared_ptr<endpoint_state>> by_process_;
    // Last reported requests in flight by VM, as pairs of endpoint tag and count.
    std::map<std::string, std::vector<std::pair<std::uint32_t, int>>> reported_in_flight_;
    std::set<std::string> drained_zones_;
    /// What an endpoint whose registration was removed has said.
    struct removed_endpoint {
        std::int64_t started_unix_ms = 0;
        endpoint_limit limit;
        endpoint_notice notice;
        time_ms removed{0};
    };
    // By id. A registration that lapsed in a store outage comes back while the process goes on.
    std::unordered_map<std::string, removed_endpoint> removed_;
};

} // namespace lacewing
