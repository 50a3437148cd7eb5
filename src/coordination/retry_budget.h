#pragma once

#include "state/configuration.h"
#include "state/error_kind.h"
#include "state/time_ms.h"

#include <cstdint>
#include <optional>
#include <random>

namespace lacewing {

/// @brief Limits retries to 10 % of the requests: every request adds a tenth of a retry to the budget.
/// The budget starts empty, so the limit holds at every moment and not only in the long run.
class retry_budget {
public:
    /// @brief Records a first attempt.
    void on_request();

    /// @brief Takes one retry out of the budget.
    /// @return False when the budget does not cover a retry; nothing is taken then.
    bool try_spend();

private:
    /// Unspent budget, in tenths of a retry.
    std::int64_t saved_tenths_ = 0;
};

/// @brief What is known about a failed attempt.
struct failed_attempt {
    error_kind kind = error_kind::internal;
    /// Number of the attempt, starting at 1.
    std::uint32_t attempt = 1;
    /// Time left until the caller's deadline.
    time_ms remaining;
    /// Whether the whole request can be sent again; false once a streamed body has been consumed.
    bool replayable = true;
    /// Whether the endpoint stated that the request did not run, or no byte of it was sent.
    bool proven_not_run = false;
};

/// @brief Decides whether a failed request is sent again, and when.
/// @param attempt The failed attempt.
/// @param target Route of the request; its flags decide whether a request may be repeated that perhaps ran.
/// @param budget Retry budget of the VM; charged only when the request is retried.
/// @param random Source of the jitter.
/// @return Delay before the next attempt, or nothing when the failure goes to the caller.
std::optional<time_ms> decide_retry(const failed_attempt& attempt, const route& target, retry_budget& budget,
                                    std::mt19937_64& random);

} // namespace lacewing
