#include "coordination/latency_counts.h"

#include <algorithm>
#include <bit>
#include <functional>

namespace lacewing {

namespace {

// First latency of a bucket, in milliseconds.
double lower_bound_ms(std::size_t bucket) {
    if (bucket < 4) return static_cast<double>(bucket);
    const auto octave = bucket / 4 + 1;
    return static_cast<double>((4 + bucket % 4) << (octave - 2));
}

} // namespace

std::size_t latency_counts::bucket_of(time_ms latency) {
    const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(latency.count, 0));
    if (value < 4) return value;
    const auto octave = static_cast<std::size_t>(std::bit_width(value)) - 1;
    return std::min(4 * (octave - 1) + ((value >> (octave - 2)) & 3U), bucket_count - 1);
}

void latency_counts::add(std::size_t bucket, std::uint64_t count) {
    if (count == 0) return;
    if (buckets_.size() <= bucket) buckets_.resize(bucket + 1);
    buckets_[bucket] += count;
    total_ += count;
}

void latency_counts::subtract(std::size_t bucket, std::uint64_t count) {
    if (bucket >= buckets_.size()) return;
    const auto removed = std::min(count, buckets_[bucket]);
    buckets_[bucket] -= removed;
    total_ -= removed;
    while (!buckets_.empty() && buckets_.back() == 0)
        buckets_.pop_back();
}

void latency_counts::add(const latency_counts& other) {
    for (std::size_t bucket = 0; bucket < other.buckets_.size(); ++bucket)
        add(bucket, other.buckets_[bucket]);
}

void latency_counts::subtract(const latency_counts& added) {
    for (std::size_t bucket = 0; bucket < added.buckets_.size(); ++bucket)
        subtract(bucket, added.buckets_[bucket]);
}

bool latency_counts::includes(const latency_counts& other) const {
    return other.buckets_.size() <= buckets_.size() &&
           std::equal(other.buckets_.begin(), other.buckets_.end(), buckets_.begin(), std::less_equal<>());
}

double latency_counts::quantile_ms(double part) const {
    const double rank = part * static_cast<double>(total_);
    double below = 0;
    double result = 0;
    for (std::size_t bucket = 0; bucket < buckets_.size(); ++bucket) {
        const auto in_bucket = static_cast<double>(buckets_[bucket]);
        if (in_bucket == 0) continue;
        const double lower = lower_bound_ms(bucket);
        const double inside = std::clamp((rank - below) / in_bucket, 0.0, 1.0);
        result = lower + inside * (lower_bound_ms(bucket + 1) - lower);
        below += in_bucket;
        if (below >= rank) break;
    }
    return result;
}

} // namespace lacewing
