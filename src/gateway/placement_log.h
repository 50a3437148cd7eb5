#pragma once

#include "coordination/object_placement.h"
#include "state/time_ms.h"

#include <string>

namespace lacewing {

/// @brief Logs at intervals how many objects changed their endpoint and why, while requests for objects come.
void log_placement(time_ms now, object_placement& placement);

/// @brief Lines for the metrics: requests for objects and changes of their endpoints by cause.
std::string placement_metrics(const placement_changes& changes);

} // namespace lacewing
