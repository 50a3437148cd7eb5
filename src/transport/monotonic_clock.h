#pragma once

#include "state/time_ms.h"

namespace lacewing {

/// @brief Time since the host booted, including time spent suspended.
/// A lease that expires while the process or the host is paused is therefore seen as expired at its next use.
time_ms monotonic_now();

/// @brief Processor time that this process has used.
time_ms process_cpu_time();

/// @brief Wall-clock time in Unix seconds; used only for request ids and audit records.
std::int64_t unix_seconds_now();

} // namespace lacewing
