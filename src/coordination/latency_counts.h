#pragma once

#include "state/time_ms.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lacewing {

/// @brief Counts of latencies by buckets that are the same on all VMs, so that the counts of several VMs can
/// be added.
///
/// There are four buckets for each doubling of the latency; the bounds of a bucket differ by a quarter at
/// most.
class latency_counts {
public:
    /// The last bucket begins at 2^22 ms, more than an hour.
    static constexpr std::size_t bucket_count = 85;

    /// @brief Bucket of a latency.
    /// @param latency Counts as zero when it is negative.
    static std::size_t bucket_of(time_ms latency);

    /// @brief Adds latencies of one bucket.
    /// @param bucket Less than bucket_count.
    void add(std::size_t bucket, std::uint64_t count);
    /// @brief Removes latencies of one bucket that were added before.
    void subtract(std::size_t bucket, std::uint64_t count);
    /// @brief Adds the counts of another VM or another period.
    void add(const latency_counts& other);
    /// @brief Removes counts that were added before.
    void subtract(const latency_counts& added);

    /// @brief Number of latencies.
    [[nodiscard]] std::uint64_t total() const { return total_; }
    /// @brief Latency that a part of the latencies does not exceed, interpolated within its bucket.
    /// @param part From 0 to 1.
    /// @return Milliseconds; 0 without latencies.
    [[nodiscard]] double quantile_ms(double part) const;
    /// @brief Count of each bucket; empty buckets at the end are left out.
    [[nodiscard]] const std::vector<std::uint64_t>& buckets() const { return buckets_; }
    /// @brief Whether no bucket has fewer latencies than in other counts.
    [[nodiscard]] bool includes(const latency_counts& other) const;

    friend bool operator==(const latency_counts&, const latency_counts&) = default;

private:
    std::vector<std::uint64_t> buckets_;
    std::uint64_t total_ = 0;
};

} // namespace lacewing
