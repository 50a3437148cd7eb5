#pragma once

#include "state/time_ms.h"

#include <cstdint>

namespace lacewing {

/// @brief Micro-tokens that one request costs.
inline constexpr std::int64_t token = 1'000'000;

/// @brief Token bucket in micro-tokens whose rate and capacity may change over time.
///
/// Only the passage of time and an explicit add() raise the level. The refill is 1 % below the nominal rate,
/// because the local clock may run up to 1 % fast. The level stays below the capacity by the refill of one
/// millisecond, because a clock that counts whole milliseconds overstates an interval by up to one of them.
/// Both corrections keep the number of admissions within rate × T + burst in true time.
class token_bucket {
public:
    /// @brief Empty bucket without rate and capacity.
    /// @param now Start of the refill.
    explicit token_bucket(time_ms now = {}) : updated_(now) {}

    /// @brief Refills for the time since the last call; a time in the past changes nothing.
    void advance(time_ms now);

    /// @brief Changes rate (micro-tokens per ms) and capacity from the time of the last advance() on.
    /// Tokens above the new limit are lost.
    /// @throws std::invalid_argument for a negative value.
    void set_limits(std::int64_t rate, std::int64_t capacity);

    /// @brief Adds tokens that were taken from another bucket; what exceeds the limit is lost.
    void add(std::int64_t tokens);

    /// @brief Takes tokens when the level covers them.
    /// @return Whether they were taken.
    bool take(std::int64_t tokens);

    /// @brief Time at which the level reaches the given tokens without further changes.
    /// @return far_future when the limits do not allow it.
    [[nodiscard]] time_ms time_of(std::int64_t tokens) const;

    [[nodiscard]] std::int64_t rate() const { return rate_; }
    [[nodiscard]] std::int64_t capacity() const { return capacity_; }
    [[nodiscard]] std::int64_t level() const { return level_; }
    [[nodiscard]] time_ms updated() const { return updated_; }

private:
    [[nodiscard]] std::int64_t limit() const;

    std::int64_t rate_ = 0;
    std::int64_t capacity_ = 0;
    std::int64_t level_ = 0;
    /// Hundredths of a micro-token that the last refill left over.
    std::int64_t remainder_ = 0;
    time_ms updated_;
};

/// @brief A time that no clock reaches.
inline constexpr time_ms far_future{INT64_MAX / 4};

} // namespace lacewing
