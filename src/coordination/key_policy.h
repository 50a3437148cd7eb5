#pragma once

#include "coordination/key_freshness.h"
#include "state/settings.h"
#include "state/time_ms.h"

#include <optional>

namespace lacewing {

/// @brief Time up to which the key list may be used without a new decision.
/// @param verdict What the evidence says at `now`.
/// @param age Age of the newest confirmation; nothing when there was none.
/// @return A time before `now` when the list must not be used.
time_ms keys_valid_until(time_ms now, key_verdict verdict, std::optional<time_ms> age,
                         const key_policy_settings& policy);

} // namespace lacewing
