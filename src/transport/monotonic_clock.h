#pragma once

#include "state/time_ms.h"

namespace lacewing {

/// @brief Time since boot of the host, including the time that the host was suspended.
/// A lease that expired during a pause or a suspension is therefore seen as expired at its next use.
time_ms monotonic_now();

/// @brief Wall-clock time in Unix seconds; used only for request ids and audit records.
std::int64_t unix_seconds_now();

} // namespace lacewing
