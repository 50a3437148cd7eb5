#pragma once

#include "state/time_ms.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// @brief Record of all admissions of a fleet that checks INV-4 for every window.
///
/// For constant rate and burst, "at most rate × T + burst admissions in every window of length T" holds
/// exactly when a bucket that starts full, refills at the rate up to the burst and loses one token per
/// admission never goes below zero: its level after an admission is the minimum over all window starts s of
/// burst + rate × (t − s) − admissions in [s, t]. One number per account therefore replaces the comparison of
/// all windows. After a change of the limits a further full bucket checks the windows that lie within the new
/// limits, while the older ones go on with the new rate and the largest burst seen and check the windows that
/// span the change.
class admission_ledger {
public:
    /// @brief Sets the limits of an account from now on.
    /// @param rate Micro-tokens per ms.
    /// @param burst Micro-tokens.
    void set_limits(time_ms now, std::string_view account, std::int64_t rate, std::int64_t burst);

    /// @brief Records one admission in true time; times must not decrease.
    /// @return Whether INV-4 still holds for all windows that end now.
    bool record(time_ms now, std::string_view account);

    /// @brief Whether the fleet could admit one more request of the account now without breaking INV-4.
    [[nodiscard]] bool would_admit(time_ms now, std::string_view account);

    [[nodiscard]] std::uint64_t admissions(std::string_view account) const;

    /// @brief Number of admissions that broke INV-4.
    [[nodiscard]] std::uint64_t violations() const { return violations_; }

private:
    struct reference_bucket {
        std::int64_t burst = 0;
        std::int64_t level = 0;
    };
    struct account_record {
        std::int64_t rate = 0;
        time_ms updated;
        std::uint64_t admissions = 0;
        std::vector<reference_bucket> buckets;
    };

    static void advance(account_record& record, time_ms now);

    std::map<std::string, account_record, std::less<>> accounts_;
    std::uint64_t violations_ = 0;
};

} // namespace lacewing
