#pragma once

#include "state/time_ms.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace lacewing {

/// @brief Limits repeats per service over all VMs. A repeat is any send of a request after the first.
///
/// The fleet may send ratio x requests + slack repeats in a sliding window of ten seconds. Each VM uses the
/// ratio on its own requests and an equal part of the slack, so the limit holds without communication, also
/// during a network partition.
class repeat_budget {
public:
    /// Fraction of the allowance that is used. The rest covers the error at the edges of the window, which is
    /// counted in whole seconds.
    static constexpr double used_fraction = 0.75;

    /// @param ratio Repeats allowed per request.
    /// @param slack Repeats that the whole fleet may send in a window in addition.
    /// @param start Start of this process.
    /// @param fleet_start The whole fleet starts for the first time. Otherwise an earlier process of this VM
    /// may have used its part of the slack, which is free again a window later.
    repeat_budget(double ratio, double slack, time_ms start, bool fleet_start)
        : ratio_(ratio), slack_(slack), slack_from_(fleet_start ? start : start + window) {}

    /// @brief Sets the number of VMs that share the slack.
    void set_fleet(std::size_t vms) { vms_ = vms == 0 ? 1 : vms; }
    /// @brief Counts a request of a caller for a service.
    void on_request(time_ms now, const std::string& service);
    /// @brief Takes one repeat out of the allowance.
    /// @return False when the allowance is used up; the repeat must not be sent.
    bool take(time_ms now, const std::string& service);

private:
    // Length of the window, in which the limit must hold.
    static constexpr std::size_t window_seconds = 10;
    static constexpr time_ms window{window_seconds * 1000};
    struct second_counts {
        std::int64_t second = -1;
        double requests = 0;
        double repeats = 0;
    };
    using second_ring = std::array<second_counts, window_seconds>;

    // Counts of the current second; an entry of an earlier second is reset.
    static second_counts& counts_at(second_ring& counts, time_ms now);

    double ratio_;
    double slack_;
    time_ms slack_from_;
    std::size_t vms_ = 1;
    std::unordered_map<std::string, second_ring> services_;
};

} // namespace lacewing
