#pragma once

#include "coordination/demand_meter.h"
#include "coordination/fleet_token_bucket.h"
#include "coordination/peer_usage.h"
#include "coordination/vm_report.h"
#include "state/service_model.h"
#include "state/time_ms.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief Fleet-wide rate limit of each account [INV-4], as one fleet_token_bucket per account.
///
/// The share of a VM in the refill follows its share of the demand. A VM that stops reporting is assumed to
/// go on admitting at its last rate for a limited time.
class account_limiter {
public:
    /// Fraction of its proportional share that a minority of VMs gives out during a network partition, and
    /// fraction of the silent VMs' share that the majority reserves for them. If 35 % of the VMs are cut off,
    /// both sides together give out 1.04 of the rate, within the 10 % by which it may be exceeded.
    static constexpr double minority_fraction = 0.5;
    static constexpr double reserved_fraction = 0.4;

    /// Result of a request for admission.
    struct decision {
        bool admitted = true;
        /// For refusals: time until the account's next token is expected.
        time_ms retry_after{0};
    };

    /// @param fleet_start The whole fleet starts for the first time, so all buckets start full. Otherwise
    /// they start empty, because an earlier process may just have given out the burst.
    explicit account_limiter(bool fleet_start) : fleet_start_(fleet_start) {}

    /// @brief Applies the accounts of a configuration; accounts that stay keep the level of their buckets.
    void configure(time_ms now, const std::vector<service_account>& accounts);
    /// @brief Asks to admit one request. An account without a limit, or an unknown one, is always admitted.
    decision ask(time_ms now, const std::string& account);
    /// @brief Returns the token of an admitted request that was not sent to any endpoint.
    void refund(const std::string& account);
    /// @brief Subtracts what another VM has admitted since its last report.
    void on_report(time_ms now, const vm_report& report);
    /// @brief Sets how much of the fleet this VM receives reports from.
    /// @param known_vms Number of VMs in the fleet, including this one and silent ones.
    /// @param heard_vms Number of live VMs, including this one.
    /// @param in_majority Whether this VM is on the side of the majority (see fleet_view::in_majority).
    void set_fleet(std::size_t known_vms, std::size_t heard_vms, bool in_majority);
    /// @brief Totals for the report of this VM.
    /// @param all Include accounts that are far from their limit.
    [[nodiscard]] std::vector<std::pair<std::string, rate_usage>> usage(bool all) const;

private:
    struct account_bucket {
        explicit account_bucket(time_ms now, double level) : tokens(now, level), demand(now), peers(now) {}
        fleet_token_bucket tokens;
        /// Totals of this VM.
        rate_usage own;
        /// Demand at this VM.
        demand_meter demand;
        /// Usage by the other VMs.
        peer_usage peers;
    };

    void refill(time_ms now, account_bucket& entry) const;
    [[nodiscard]] double usable_rate_fraction() const;
    [[nodiscard]] double demand_share(const account_bucket& entry) const;

    bool fleet_start_;
    std::size_t known_vms_ = 1;
    std::size_t heard_vms_ = 1;
    bool in_majority_ = true;
    std::unordered_map<std::string, account_bucket> buckets_;
};

} // namespace lacewing
