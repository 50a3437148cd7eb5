#pragma once

#include "coordination/demand_meter.h"
#include "coordination/fleet_token_bucket.h"
#include "coordination/vm_report.h"
#include "state/time_ms.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace lacewing {

/// @brief Parses the limit that an endpoint names in an answer.
/// @param text Decimal number of requests per second.
/// @return The limit in requests per second, in thousandths; nothing when the text is no number of at least
/// zero, or out of range.
std::optional<double> parse_endpoint_limit(std::string_view text);

/// @brief Rate that one endpoint takes from all VMs together, as it names it in its answers.
///
/// The limit is in force from the first answer that names it, here or at another VM, until an answer names
/// none. The VMs divide it by a fleet_token_bucket, with shares by their demand for this endpoint. The VM
/// that got the latest answer reports the limit. What a VM keeps does not grow with the number of VMs.
class endpoint_limit {
public:
    /// Rate at which an endpoint is tried that takes fewer requests or none, since only an answer can tell
    /// that its limit has ended.
    static constexpr double min_per_s = 0.25;
    /// Requests that the fleet may send at once after a pause, as the time in which the limit allows them.
    static constexpr time_ms burst_time{1000};

    /// Time during which the limit did not change.
    struct period {
        /// Limit in requests per second; nothing when there is none.
        std::optional<double> per_s;
        time_ms begin{0};
        /// Requests of this VM.
        std::uint64_t sent = 0;
    };

    /// @brief Records what an answer of the endpoint says.
    /// @param per_s Limit in requests per second; nothing when the answer names none.
    /// @return Whether the limit differs from the one before.
    bool on_answer(time_ms now, std::optional<double> per_s);
    /// @brief Records what another VM reports of the endpoint.
    /// @return Whether the limit differs from the one before.
    bool on_report(time_ms now, const endpoint_limit_report& report);
    /// @brief What this VM has to report to an audience.
    /// @param full Include a limit that has not changed lately.
    [[nodiscard]] std::optional<endpoint_limit_report> report(time_ms now, report_audience audience,
                                                              bool full) const;
    /// @brief Clears the requests that have been reported to an audience.
    void clear_unreported(report_audience audience);

    /// @brief Whether this VM may send a request now.
    /// @param live_vms Number of live VMs, including this one.
    /// @param chance Random number of this request, 0 to 1. All VMs see at the same moment that the limit has
    /// room for a request, so each of them uses the room with a probability.
    [[nodiscard]] bool admits(time_ms now, std::size_t live_vms, double chance);
    /// @brief Records that a request would have been sent but for the limit.
    void on_held_back();
    /// @brief Records a request of this VM.
    void on_send();
    /// @brief Records that a request of this VM did not reach the endpoint.
    void on_unsent();

    /// @brief The limit in force, in requests per second; nothing when there is none.
    [[nodiscard]] std::optional<double> per_s() const { return current_.per_s; }
    [[nodiscard]] const period& current() const { return current_; }

private:
    /// Division of a limit between the VMs.
    struct division {
        division(time_ms now, double per_s);
        void configure(double per_s);
        [[nodiscard]] double share(time_ms now, std::size_t live_vms) const;
        fleet_token_bucket tokens;
        demand_meter own_demand;
        demand_meter other_demand;
        time_ms begin;
    };

    bool set(time_ms now, std::optional<double> per_s);
    void count_demand();

    period current_;
    // Present while a limit is in force.
    std::optional<division> division_;
    // Time of the latest answer that is known, here or at another VM.
    std::optional<time_ms> answered_at_;
    // This VM got the latest answer.
    bool answered_here_ = false;
    // An answer has named a limit, so others may want to know of its end.
    bool ever_limited_ = false;
    std::array<rate_usage, report_audiences> unreported_;
};

} // namespace lacewing
