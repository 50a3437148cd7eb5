#pragma once

#include "state/time_ms.h"

#include <cstdint>

namespace lacewing {

/// @brief Smoothed rate of requests.
class demand_meter {
public:
    /// Shortest time over which a rate is measured.
    static constexpr time_ms min_interval{250};
    /// Weight of a new measurement.
    static constexpr double smoothing = 0.4;

    explicit demand_meter(time_ms now) : measured_at_(now) {}

    void count(std::int64_t requests = 1) { counted_ += requests; }
    /// @brief Measures the rate if min_interval has passed since the last measurement.
    void update(time_ms now) {
        const auto span = now - measured_at_;
        if (span < min_interval) return;
        const double measured = static_cast<double>(counted_) * 1000.0 / static_cast<double>(span.count);
        per_s_ += smoothing * (measured - per_s_);
        counted_ = 0;
        measured_at_ = now;
    }
    /// @brief Requests per second.
    [[nodiscard]] double per_s() const { return per_s_; }

private:
    std::int64_t counted_ = 0;
    double per_s_ = 0;
    time_ms measured_at_;
};

} // namespace lacewing
