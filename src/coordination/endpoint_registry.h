#pragma once

#include "coordination/vm_report.h"
#include "state/service_model.h"
#include "state/time_ms.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace lacewing {

/// @brief Objects that an endpoint has handled lately and handles faster when they come again.
class recent_objects {
public:
    /// Objects remembered; endpoints are known to keep 25 or more.
    static constexpr std::size_t capacity = 25;

    void add(std::uint32_t object);
    [[nodiscard]] bool has(std::uint32_t object) const { return known_.contains(object); }
    void clear();

private:
    std::deque<std::uint32_t> order_;
    std::unordered_set<std::uint32_t> known_;
};

/// @brief One endpoint process: its registration and what this VM has learnt about it.
struct endpoint_state {
    endpoint_registration registration;
    std::uint32_t tag = 0;
    /// Objects sent since the last report of this VM, by audience of the report.
    std::array<std::vector<std::uint32_t>, report_audiences> unreported;
    std::string region;
    time_ms joined{0};
    /// While now is before this, only few requests may be sent (see cold_pace).
    time_ms cold_until{0};
    /// Its address answered as another endpoint, so this process has ended.
    bool replaced = false;
    /// The registration vanished while the store was away; the endpoint is used until then.
    std::optional<time_ms> expires;

    // Requests of this VM, with their start times.
    std::vector<time_ms> in_flight;
    /// Requests of the other VMs by their reports.
    int reported_elsewhere = 0;
    /// Requests of the other VMs by the endpoint's own load report.
    int observed_elsewhere = 0;
    time_ms observed{-10'000};
    /// Sends of this VM to the endpoint so far.
    std::uint64_t sends = 0;

    /// Ratio of measured to expected service time.
    double slowness = 1;
    /// Smoothed share of failed answers.
    double failures = 0;
    time_ms failures_updated{0};
    int consecutive_failures = 0;
    time_ms suspended_until{0};
    /// Tokens for requests while cold.
    double cold_tokens = 1;
    time_ms cold_updated{0};
    recent_objects warm;
};

/// @brief All endpoints by service, from the registrations in the store.
class endpoint_registry {
public:
    /// After a store outage, a vanished registration is kept for this long: endpoints that live register
    /// again within two seconds, and a leaving endpoint must not get requests for longer than that.
    static constexpr time_ms lapse_grace{1900};
    /// A cold endpoint counts as cold for this much longer than it says, for the delay of its report.
    static constexpr time_ms cold_margin{500};

    explicit endpoint_registry(std::unordered_map<std::string, std::string> zone_regions)
        : zone_regions_(std::move(zone_regions)) {}

    /// @brief Takes over a new or changed registration; older revisions of a known one are ignored.
    void put(time_ms now, const endpoint_registration& registration);
    /// @brief Removes an endpoint.
    /// @param lapsed The registration may have vanished only because the store was away.
    void remove(time_ms now, const std::string& id, bool lapsed);
    /// @brief Replaces all registrations.
    void replace_all(time_ms now, std::span<const endpoint_registration> all, bool lapsed);
    /// @brief Drops endpoints whose grace has ended.
    void expire(time_ms now);

    /// @brief Zones that get no requests. Endpoints of a zone that is taken back are cold for a while.
    void set_drained_zones(time_ms now, std::set<std::string> zones, time_ms warmup);
    [[nodiscard]] bool drained(const endpoint_state& of) const {
        return drained_zones_.contains(of.registration.zone.value);
    }

    [[nodiscard]] std::span<const std::shared_ptr<endpoint_state>>
    endpoints_of_service(const std::string& service) const;
    [[nodiscard]] std::shared_ptr<endpoint_state> find(const std::string& id) const;
    [[nodiscard]] std::size_t size() const { return by_id_.size(); }

    /// @brief Requests of this VM in flight and the objects that it has sent, for its report.
    void fill(vm_report& report, report_audience audience) const;
    /// @brief Forgets the objects that have been reported.
    void clear_unreported(report_audience audience);
    /// @brief Replaces the requests in flight that another VM reported, and adds the objects that it has
    /// sent.
    void on_report(const std::string& vm, const vm_report& report);

private:
    void detach(const endpoint_state& of);

    std::unordered_map<std::string, std::string> zone_regions_;
    std::unordered_map<std::string, std::shared_ptr<endpoint_state>> by_id_;
    std::unordered_map<std::string, std::vector<std::shared_ptr<endpoint_state>>> by_service_;
    std::unordered_map<std::uint32_t, std::shared_ptr<endpoint_state>> by_tag_;
    std::map<std::string, std::vector<std::pair<std::uint32_t, int>>> reported_;
    std::set<std::string> drained_zones_;
};

} // namespace lacewing
