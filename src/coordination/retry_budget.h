#pragma once

#include "state/configuration.h"
#include "state/error_kind.h"
#include "state/time_ms.h"

#include <cstdint>
#include <optional>
#include <random>

namespace lacewing {

/// @brief Limits retries to 10 % of the requests: every request earns a tenth of a retry.
/// Starts empty, so the limit holds for every prefix of the traffic, not only in the long run.
class retry_budget {
public:
    /// @brief Records a first attempt.
    void on_request();

    /// @brief Takes one retry out of the budget.
    /// @return False when the budget is spent.
    bool take();

private:
    std::int64_t tenths_ = 0;
};

/// @brief What is known of an attempt that failed.
struct failed_attempt {
    error_kind kind = error_kind::internal;
    /// 1 for the first attempt.
    std::uint32_t attempt = 1;
    /// Time left until the caller's deadline.
    time_ms remaining;
    /// The request can be sent again from its start; false once a streamed body has been consumed.
    bool replayable = true;
    /// The endpoint itself declared that the request did not run, or no byte of it was sent.
    bool proven_not_run = false;
};

/// @brief Decides whether the system sends a request again.
/// @param attempt The failed attempt.
/// @param target Route of the request; its flags decide whether an unknown outcome may be repeated.
/// @param budget Retry budget of the VM; charged only when the answer is to retry.
/// @param random Source of the jitter.
/// @return Delay before the next attempt, or nothing when the failure goes to the caller.
std::optional<time_ms> decide_retry(const failed_attempt& attempt, const route& target, retry_budget& budget,
                                    std::mt19937_64& random);

} // namespace lacewing
