#pragma once

#include "state/time_ms.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// @brief Test oracle that records all admissions of a fleet and checks the rate limit of every account in
/// every window: at most rate × window + burst admissions over all VMs together (INV-4).
///
/// For a constant rate and burst this holds exactly when a token bucket that starts full, refills at the rate
/// up to the burst and loses one token per admission never goes below zero: its level after an admission at t
/// is the minimum over all window starts s of burst + rate × (t − s) − admissions in [s, t]. One bucket level
/// per account therefore replaces the comparison of all windows. A change of the limits adds a full bucket,
/// which checks the windows that begin after the change. The older buckets check the windows that span the
/// change: they continue with the new rate and with the largest burst since they were added.
class admission_ledger {
public:
    /// @brief Sets the limits of an account from now on.
    /// @param rate Micro-tokens per ms; one request costs 1,000,000 micro-tokens.
    /// @param burst Micro-tokens.
    /// @throws std::invalid_argument when `now` is before an earlier call for the account.
    void set_limits(time_ms now, std::string_view account, std::int64_t rate, std::int64_t burst);

    /// @brief Records one admission by any VM, in the time of one clock for the whole fleet.
    /// @return Whether all windows that end now are within the limits; false for an unknown account.
    /// @throws std::invalid_argument when `now` is before an earlier call for the account.
    bool record(time_ms now, std::string_view account);

    /// @brief Whether the fleet could admit one more request of the account now within its limits.
    [[nodiscard]] bool would_admit(time_ms now, std::string_view account);

    /// @brief Number of recorded admissions of an account.
    [[nodiscard]] std::uint64_t admissions(std::string_view account) const;

    /// @brief Number of admissions that exceeded the limits or were of an unknown account.
    [[nodiscard]] std::uint64_t violations() const { return violations_; }

private:
    // Amounts in micro-tokens.
    struct reference_bucket {
        std::int64_t burst = 0;
        std::int64_t level = 0;
    };
    struct account_record {
        // Micro-tokens per ms.
        std::int64_t rate = 0;
        // Time of the last refill.
        time_ms updated;
        std::uint64_t admissions = 0;
        std::vector<reference_bucket> buckets;
    };

    // Refills the buckets up to now.
    static void refill_buckets(account_record& record, time_ms now);

    std::map<std::string, account_record, std::less<>> accounts_;
    std::uint64_t violations_ = 0;
};

} // namespace lacewing
