#include "load/histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace lacewing::load {

// Values below 16 have a bucket each; from there on, each octave is divided into 16 buckets.
void histogram::add(std::int64_t microseconds) {
    const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(microseconds, 0));
    std::size_t index = value;
    if (value >= buckets_per_octave) {
        const auto shift = static_cast<std::size_t>(std::bit_width(value)) - 5;
        index = buckets_per_octave * (shift + 1) + ((value >> shift) - buckets_per_octave);
    }
    ++buckets_[std::min(index, buckets_.size() - 1)];
    ++count_;
}

std::int64_t histogram::quantile(double fraction) const {
    if (count_ == 0) return 0;
    const auto rank = std::max<std::uint64_t>(
        1, static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(count_))));
    std::uint64_t cumulative_count = 0;
    for (std::size_t index = 0; index < buckets_.size(); ++index) {
        cumulative_count += buckets_[index];
        if (cumulative_count < rank) continue;
        if (index < buckets_per_octave) return static_cast<std::int64_t>(index);
        const auto shift = index / buckets_per_octave - 1;
        return static_cast<std::int64_t>(((index % buckets_per_octave + buckets_per_octave + 1) << shift) -
                                         1);
    }
    return 0;
}

} // namespace lacewing::load
