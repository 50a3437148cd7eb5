#pragma once

#include "state/time_ms.h"

namespace lacewing {

/// @brief Estimate of a token bucket that all VMs of the fleet share, without a call to another VM per
/// request.
///
/// A VM subtracts its own admissions at once and those of other VMs when their reports arrive. While the
/// estimated bucket is at least half full, any VM admits. Below that, a VM admits only from its share of the
/// refill, so that VMs whose reports are still on the way cannot all give out the same token.
class fleet_token_bucket {
public:
    /// @param level Tokens at the start.
    fleet_token_bucket(time_ms now, double level) : level_(level), updated_(now) {}

    /// @brief Sets rate (tokens per second) and burst (tokens); the level is kept up to the burst.
    void configure(double rate, double burst);
    /// @brief Adds the tokens since the last call. To be called before has_token().
    /// @param fraction Fraction of the rate that the VMs which hear each other may give out, 0 to 1.
    /// @param share Share of this VM in the demand of these VMs, 0 to 1.
    void refill(time_ms now, double fraction, double share);
    /// @param may_share Whether this VM may use more than its share of a well filled bucket.
    [[nodiscard]] bool has_token(bool may_share) const;
    /// @brief Takes a token; the level may become negative.
    void take();
    /// @brief Returns a token that was not used.
    void refund();
    /// @brief Subtracts tokens that other VMs have given out; a negative number returns tokens.
    void charge(double tokens) { level_ -= tokens; }
    /// @brief Time until this VM has its next token; parameters as for refill().
    [[nodiscard]] time_ms wait(double fraction, double share) const;

    [[nodiscard]] double rate() const { return rate_; }
    [[nodiscard]] double burst() const { return burst_; }
    /// @brief Estimate of the tokens in the bucket; negative when more than the tokens were given out.
    [[nodiscard]] double level() const { return level_; }

private:
    double rate_ = 0;
    double burst_ = 0;
    double level_ = 0;
    // Tokens from this VM's share of the refill, which only this VM may use.
    double own_tokens_ = 0;
    time_ms updated_{0};
};

} // namespace lacewing
