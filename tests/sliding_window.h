#pragma once

#include "state/time_ms.h"

#include <algorithm>
#include <cstddef>
#include <span>

namespace lacewing::testing {

/// @brief Largest number of events in any window.
/// @param times Times of the events, in order.
/// @param window Length of a window; an event at its end is outside.
inline std::size_t most_in_window(std::span<const time_ms> times, time_ms window) {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= window)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace lacewing::testing
