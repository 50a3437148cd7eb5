#pragma once

#include "coordination/vm_report.h"
#include "state/ids.h"
#include "state/time_ms.h"

#include <cstddef>
#include <map>
#include <string>

namespace lacewing {

/// @brief Part of the fleet that a VM receives reports from.
struct fleet_coverage {
    /// VMs in the fleet, including this one and silent ones.
    std::size_t known_vms = 1;
    /// Live VMs, including this one.
    std::size_t heard_vms = 1;
    /// This VM is on the side of the majority (see fleet_view::in_majority).
    bool in_majority = true;
};

/// @brief Estimate of a token bucket that all VMs of the fleet share, without a call to another VM per
/// request.
///
/// A VM subtracts its own admissions at once and those of other VMs when their reports arrive. While the
/// estimated bucket is at least half full, any VM admits. Below that, a VM admits only from its share of the
/// refill, which follows its share of the demand, so that VMs whose reports are still on the way cannot all
/// give out the same token. A VM that stops reporting is assumed to go on admitting at its last rate for a
/// limited time.
class fleet_token_bucket {
public:
    /// Fraction of its proportional share that a minority of VMs gives out during a network partition, and
    /// fraction of the silent VMs' share that the majority reserves for them. If 35 % of the VMs are cut off,
    /// both sides together give out 1.04 of the rate, within the 10 % by which it may be exceeded.
    static constexpr double minority_fraction = 0.5;
    static constexpr double reserved_fraction = 0.4;
    /// A VM whose last report is older than this gets no share of the refill.
    static constexpr time_ms stale_report_age{3000};

    /// @param level Tokens at the start.
    /// @param assume_unreported_until Until this time, a live VM whose usage has not been reported is assumed
    /// to have as much demand as this one; later it is assumed to have none.
    fleet_token_bucket(time_ms now, double level, time_ms assume_unreported_until);

    /// @brief Sets rate (tokens per second) and burst (tokens); the level is kept up to the burst.
    void configure(time_ms now, double rate, double burst, const fleet_coverage& coverage);
    /// @brief Adds the tokens since the last call. To be called before the functions that use them.
    void refill(time_ms now, const fleet_coverage& coverage);
    /// @brief Counts a request that wants a token, whether it gets one or not.
    void on_demand() { ++own_.asked; }
    [[nodiscard]] bool has_token(const fleet_coverage& coverage) const;
    /// @brief Takes a token; the level may become negative.
    void take();
    /// @brief Returns a token that was not used.
    void refund();
    /// @brief Time until this VM has its next token.
    [[nodiscard]] time_ms wait(time_ms now, const fleet_coverage& coverage) const;
    /// @brief Subtracts what another VM has admitted since its last report.
    void on_usage(time_ms now, const vm_report& from, const rate_usage& totals,
                  const fleet_coverage& coverage);

    /// @brief Totals of this VM since the start of its process.
    [[nodiscard]] const rate_usage& usage() const { return own_; }
    [[nodiscard]] double rate() const { return rate_; }
    [[nodiscard]] double burst() const { return burst_; }
    /// @brief Estimate of the tokens in the bucket; negative when more than the tokens were given out.
    [[nodiscard]] double level() const { return level_; }

private:
    /// Usage by another VM, from its reports.
    struct peer_usage {
        incarnation_id incarnation;
        rate_usage totals;
        double asked_per_s = 0;
        double admitted_per_s = 0;
        /// Admissions assumed since the last report, because the VM has fallen silent.
        double assumed_admissions = 0;
        /// The rates have been measured between two reports.
        bool rates_measured = false;
        /// Time of the last report.
        time_ms updated{0};
    };

    void charge_silent_peers(time_ms now);
    void measure_demand(time_ms now);
    [[nodiscard]] double demand_share(time_ms now, const fleet_coverage& coverage) const;

    double rate_ = 0;
    double burst_ = 0;
    double level_ = 0;
    // Tokens from this VM's share of the refill, which only this VM may use.
    double own_tokens_ = 0;
    time_ms updated_{0};
    time_ms assume_unreported_until_{0};
    rate_usage own_;
    // Totals at the last measurement of the demand.
    rate_usage own_at_measurement_;
    // Smoothed demand at this VM.
    double asked_per_s_ = 0;
    time_ms measured_at_{0};
    std::map<std::string, peer_usage> peers_;
};

} // namespace lacewing
