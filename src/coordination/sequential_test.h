#pragma once

#include <cmath>

namespace lacewing {

/// @brief Log likelihood ratio between two rates at which an event may occur, given how often it did.
/// @param hits Trials with the event.
/// @param misses Trials without it.
/// @param low_rate, high_rate Rates between 0 and 1, both exclusive.
/// @return Positive in favour of the high rate, negative in favour of the low one.
inline double rate_llr(double hits, double misses, double low_rate, double high_rate) {
    return hits * std::log(high_rate / low_rate) + misses * std::log((1 - high_rate) / (1 - low_rate));
}

} // namespace lacewing
