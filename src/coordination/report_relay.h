#pragma once

#include "coordination/fleet_view.h"
#include "state/ids.h"
#include "state/time_ms.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// @brief Carries the reports between regions: a VM sends each report to a few VMs of each other region, and
/// these pass it on with their own next report to their region.
///
/// What a VM sends and receives across regions therefore does not grow with the fleet. The receivers change
/// with each report, so the failure of one costs each sender only some reports.
class report_relay {
public:
    /// VMs of each other region that get a report directly.
    static constexpr std::size_t receivers_per_region = 2;
    /// Reports that wait to be passed on; further ones are dropped. At the target size of 870 VMs in 6
    /// regions a VM gets about 4 of them between two of its own reports.
    static constexpr std::size_t max_held = 256;

    /// @param seed Seed of the random first receivers.
    explicit report_relay(std::uint64_t seed) : random_(seed) {}

    /// @brief Addresses of the VMs of other regions that get the next report. While no VM of a region is
    /// known to live, all that are known get it, so that the regions find each other again after a partition.
    [[nodiscard]] std::vector<std::string> receivers(time_ms now, const fleet_view& fleet);
    /// @brief Holds a report that came directly from another region.
    void hold(std::string_view report);
    /// @brief Removes the reports that are to be passed on.
    [[nodiscard]] std::vector<std::string> take_held();
    /// @brief Reports that were dropped because too many waited.
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    std::mt19937_64 random_;
    std::vector<std::string> held_;
    std::uint64_t dropped_ = 0;
};

} // namespace lacewing
