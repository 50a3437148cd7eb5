#pragma once

#include "coordination/vm_report.h"
#include "state/service_model.h"
#include "state/time_ms.h"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief Holds each account to its rate and burst over all VMs without a call per request.
///
/// Every VM keeps a model of one fleet-wide token bucket per account, from which it subtracts its own
/// requests at once and those of the others when their reports arrive. While the model is at least half full,
/// any VM admits. Below that, a VM admits only out of its share of the refill, which follows its share of the
/// demand; the delay of the reports then cannot multiply one token by the number of VMs. A VM that falls
/// silent is assumed to go on at its last pace until the fleet counts without it.
class account_limiter {
public:
    /// Part of its proportional share that a minority gives out while it is cut off from most of the fleet,
    /// and part of the silent VMs' share that the majority holds back for them. A cut of 35 % of the VMs then
    /// gives out 1.04 of the rate in all, within the 10 % that may be exceeded.
    static constexpr double cut_off_part = 0.5;
    static constexpr double held_back_part = 0.4;

    struct decision {
        bool admitted = true;
        /// When the account's next token is expected; for refusals.
        time_ms retry_after{0};
    };

    /// @param fleet_start The whole fleet starts for the first time, so all buckets are full. Otherwise
    /// another process may have given out the burst just before.
    explicit account_limiter(bool fleet_start) : fleet_start_(fleet_start) {}

    /// @brief Takes over the accounts of a configuration; levels of accounts that stay are kept.
    void configure(time_ms now, const std::vector<service_account>& accounts);
    /// @brief Asks for one request.
    decision ask(time_ms now, const std::string& account);
    /// @brief Takes back an admission whose request was not sent to any endpoint.
    void refund(const std::string& account);
    /// @brief Subtracts what another VM has admitted since its last report.
    void on_report(time_ms now, const vm_report& report);
    /// @brief Sets how much of the fleet this VM can hear.
    /// @param connected Whether it hears most of the fleet.
    void set_fleet(std::size_t known, std::size_t heard, bool connected);
    /// @brief Totals for the report of this VM.
    /// @param all Also of accounts that are far from their limit.
    [[nodiscard]] std::vector<std::pair<std::string, account_usage>> usage(bool all) const;

private:
    struct peer_usage {
        incarnation_id incarnation;
        account_usage totals;
        double asked_per_s = 0;
        double admitted_per_s = 0;
        /// Admissions that are assumed since the last report, because the peer has fallen silent.
        double assumed = 0;
        /// Two reports have been compared, so the paces mean something.
        bool measured = false;
        time_ms updated{0};
    };
    struct bucket {
        double rate = 0;
        double burst = 0;
        /// Model of the fleet-wide level.
        double level = 0;
        /// Part of the refill that only this VM may use.
        double own_level = 0;
        time_ms updated{0};
        account_usage own;
        account_usage measured;
        double asked_per_s = 0;
        time_ms measured_at{0};
        std::map<std::string, peer_usage> peers;
    };

    void refill(time_ms now, bucket& of) const;
    static void charge_silent(time_ms now, bucket& of);
    [[nodiscard]] double usable_part() const;
    [[nodiscard]] double share(time_ms now, const bucket& of) const;

    bool fleet_start_;
    std::size_t known_ = 1;
    std::size_t heard_ = 1;
    bool connected_ = true;
    std::unordered_map<std::string, bucket> buckets_;
};

} // namespace lacewing
