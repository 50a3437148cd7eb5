#pragma once

#include "state/time_ms.h"

#include <array>
#include <cstdint>

namespace lacewing::load {

/// @brief Histogram of latencies with logarithmic buckets; a quantile is at most 7 % above the true value.
class histogram {
public:
    void add(std::int64_t microseconds);
    /// @param fraction Rank of the quantile, 0 to 1.
    /// @return Upper bound of the quantile's bucket in microseconds; 0 when the histogram is empty.
    [[nodiscard]] std::int64_t quantile(double fraction) const;
    /// @brief Number of values added.
    [[nodiscard]] std::uint64_t count() const { return count_; }

private:
    static constexpr std::size_t buckets_per_octave = 16;
    static constexpr std::size_t octaves = 36;

    std::array<std::uint64_t, buckets_per_octave * octaves> buckets_{};
    std::uint64_t count_ = 0;
};

} // namespace lacewing::load
