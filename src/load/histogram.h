#pragma once

#include "state/time_ms.h"

#include <array>
#include <cstdint>

namespace lacewing::load {

/// @brief Latencies in microseconds in logarithmic buckets; a quantile is at most 7 % too high.
class histogram {
public:
    void add(std::int64_t microseconds);
    /// @param fraction 0 to 1.
    /// @return Upper bound of the bucket in microseconds, 0 when empty.
    [[nodiscard]] std::int64_t quantile(double fraction) const;
    [[nodiscard]] std::uint64_t count() const { return count_; }

private:
    static constexpr std::size_t steps = 16;
    static constexpr std::size_t octaves = 36;

    std::array<std::uint64_t, steps * octaves> buckets_{};
    std::uint64_t count_ = 0;
};

} // namespace lacewing::load
