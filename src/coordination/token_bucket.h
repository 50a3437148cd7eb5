#pragma once

#include "state/time_ms.h"

#include <cstdint>

namespace lacewing {

/// @brief Cost of one request, in micro-tokens.
inline constexpr std::int64_t token = 1'000'000;

/// @brief Token bucket whose rate and capacity may change over time. Levels are in micro-tokens, rates in
/// micro-tokens per millisecond.
///
/// The level rises only with time and by add(). The bucket refills at 99 % of the nominal rate, because the
/// local clock may run up to 1 % fast. The level stays one millisecond of refill below the capacity, because
/// a clock that counts whole milliseconds can overstate an interval by up to 1 ms. Together, the two
/// corrections keep admissions in any window of length T of true time within rate × T + burst.
class token_bucket {
public:
    /// @brief Creates an empty bucket with rate and capacity 0.
    /// @param now Time from which the bucket refills.
    explicit token_bucket(time_ms now = {}) : last_refill_(now) {}

    /// @brief Refills the bucket for the time since the last call; a time in the past has no effect.
    void advance(time_ms now);

    /// @brief Sets rate and capacity with effect from the last advance(). Tokens above the new maximum level
    /// are discarded.
    /// @throws std::invalid_argument if a value is negative.
    void set_limits(std::int64_t rate, std::int64_t capacity);

    /// @brief Adds tokens that were taken from another bucket; tokens above the maximum level are discarded.
    /// @throws std::invalid_argument if tokens is negative.
    void add(std::int64_t tokens);

    /// @brief Takes the tokens if the level is high enough.
    /// @return Whether the tokens were taken.
    bool try_take(std::int64_t tokens);

    /// @brief Time at which refill alone raises the level to the given tokens.
    /// @return far_future if rate and capacity never let the level get that high.
    [[nodiscard]] time_ms time_of_level(std::int64_t tokens) const;

    [[nodiscard]] std::int64_t rate() const { return rate_; }
    [[nodiscard]] std::int64_t capacity() const { return capacity_; }
    [[nodiscard]] std::int64_t level() const { return level_; }
    [[nodiscard]] time_ms last_refill() const { return last_refill_; }

private:
    /// Highest level: capacity less one millisecond of refill.
    [[nodiscard]] std::int64_t max_level() const;

    std::int64_t rate_ = 0;
    std::int64_t capacity_ = 0;
    std::int64_t level_ = 0;
    /// Fraction of a micro-token carried over from the last refill, in hundredths.
    std::int64_t refill_remainder_ = 0;
    time_ms last_refill_;
};

/// @brief Time that no clock reaches; means "never".
inline constexpr time_ms far_future{INT64_MAX / 4};

} // namespace lacewing
