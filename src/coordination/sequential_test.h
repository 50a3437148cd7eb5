#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace lacewing {

/// @brief Log likelihood ratio between two rates at which an event may occur, given how often it did.
/// @param hits Trials with the event.
/// @param misses Trials without it.
/// @param low_rate, high_rate Rates between 0 and 1, both exclusive.
/// @return Positive in favour of the high rate, negative in favour of the low one.
inline double rate_llr(double hits, double misses, double low_rate, double high_rate) {
    return hits * std::log(high_rate / low_rate) + misses * std::log((1 - high_rate) / (1 - low_rate));
}

/// @brief Probability of at least `events` events when `mean` are expected (Poisson).
inline double tail_probability(std::uint64_t events, double mean) {
    double fewer = 0;
    double term = std::exp(-mean);
    for (std::uint64_t i = 0; i < events; ++i) {
        fewer += term;
        term *= mean / static_cast<double>(i + 1);
    }
    return std::max(0.0, 1 - fewer);
}

} // namespace lacewing
