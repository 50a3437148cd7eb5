#pragma once

#include "state/time_ms.h"

#include <optional>
#include <vector>

namespace lacewing {

/// @brief Estimates Unix time from a clock that never steps and a time of day that may step by seconds.
///
/// The first reading of the time of day sets the estimate. Later readings correct it slowly; a step is
/// ignored unless it lasts. The median of the VMs of a zone, when there is one, goes before the own readings.
class true_time {
public:
    /// A larger deviation of the time of day is a step.
    static constexpr time_ms max_drift{200};
    /// A step that lasts this long is adopted.
    static constexpr time_ms step_adoption{60'000};
    /// The agreement of the zone goes before the own readings for this long.
    static constexpr time_ms agreement_lifetime{10'000};

    /// @brief Records a reading of both clocks.
    void on_reading(time_ms steady, time_ms time_of_day);
    /// @brief Records what the VMs of the zone agree on.
    void on_agreement(time_ms steady, time_ms agreed);
    /// @brief Estimated Unix time at a reading of the steady clock.
    [[nodiscard]] time_ms at(time_ms steady) const { return steady + offset_; }

private:
    time_ms offset_{0};
    bool known_ = false;
    std::optional<time_ms> step_since_;
    std::optional<time_ms> agreed_at_;
};

/// @brief Median of the values; nothing when there are fewer than three, which cannot outvote a wrong one.
std::optional<time_ms> majority_median(std::vector<time_ms> values);

} // namespace lacewing
