#pragma once

#include "coordination/fleet_token_bucket.h"
#include "coordination/vm_report.h"
#include "state/service_model.h"
#include "state/time_ms.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief Fleet-wide rate limit of each account [INV-4], as one fleet_token_bucket per account.
class account_limiter {
public:
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
    bool fleet_start_;
    fleet_coverage coverage_;
    std::unordered_map<std::string, fleet_token_bucket> buckets_;
};

} // namespace lacewing
