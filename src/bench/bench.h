#pragma once

#include <cstdint>

namespace lacewing::bench {

/// @brief Subcommand of lacewing-bench.
struct command {
    const char* name;
    const char* summary;
    /// @param seed Seed of all random choices.
    /// @return Exit status; not 0 when a target is missed.
    int (*run)(std::uint64_t seed);
};

/// @brief Compares policies for fleet-wide rate limits.
int run_limits(std::uint64_t seed);

/// @brief Measures look-ups and deltas of the client block table at target size.
int run_lookup(std::uint64_t seed);

/// @brief Measures the router and compares selection rules on one simulated load.
int run_routing(std::uint64_t seed);

/// @brief Compares judging and pacing rules for version moves.
int run_moves(std::uint64_t seed);

} // namespace lacewing::bench
