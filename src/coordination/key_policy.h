#pragma once

#include "coordination/key_freshness.h"
#include "state/settings.h"
#include "state/time_ms.h"

#include <optional>

namespace lacewing {

/// @brief How far ahead the next verdict is computed. Three ticks of the control thread, so that a late tick
/// leaves no gap between the end of a confirmation and the decision under a policy.
inline constexpr time_ms verdict_lookahead{150};

/// @brief Time until which the key list may be used without a new call of this function.
/// @param verdict Verdict on the key list at `now`.
/// @param upcoming Verdict at `now + verdict_lookahead`, provided that no new evidence arrives.
/// @param age Age of the newest confirmation of the key list; nothing when there is none.
/// @param policy Whether and how long keys are used during a store outage or a network partition.
/// @return A time before `now` when the key list must not be used.
time_ms keys_valid_until(time_ms now, key_verdict verdict, key_verdict upcoming, std::optional<time_ms> age,
                         const key_policy_settings& policy);

} // namespace lacewing
