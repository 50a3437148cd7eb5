#include "load/histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace lacewing::load {

// Values below 16 have a bucket each; above, each octave has 16 buckets.
void histogram::add(std::int64_t microseconds) {
    const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(microseconds, 0));
    std::size_t index = value;
    if (value >= steps) {
        const auto shift = static_cast<std::size_t>(std::bit_width(value)) - 5;
        index = steps * (shift + 1) + ((value >> shift) - steps);
    }
    ++buckets_[std::min(index, buckets_.size() - 1)];
    ++count_;
}

std::int64_t histogram::quantile(double fraction) const {
    if (count_ == 0) return 0;
    const auto rank = std::max<std::uint64_t>(
        1, static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(count_))));
    std::uint64_t seen = 0;
    for (std::size_t index = 0; index < buckets_.size(); ++index) {
        seen += buckets_[index];
        if (seen < rank) continue;
        if (index < steps) return static_cast<std::int64_t>(index);
        const auto shift = index / steps - 1;
        return static_cast<std::int64_t>(((index % steps + steps + 1) << shift) - 1);
    }
    return 0;
}

} // namespace lacewing::load
