#pragma once

#include "coordination/key_freshness.h"
#include "state/settings.h"
#include "state/time_ms.h"

#include <optional>

namespace lacewing {

/// The verdict is looked up this far ahead as well: three ticks of the thread that makes the decisions, so
/// that a late one leaves no gap between the confirmation and the policy.
inline constexpr time_ms verdict_lookahead{150};

/// @brief Time up to which the key list may be used without a new decision.
/// @param verdict What the evidence says at `now`.
/// @param next What it says at `now + verdict_lookahead`.
/// @param age Age of the newest confirmation; nothing when there was none.
/// @return A time before `now` when the list must not be used.
time_ms keys_valid_until(time_ms now, key_verdict verdict, key_verdict next, std::optional<time_ms> age,
                         const key_policy_settings& policy);

} // namespace lacewing
