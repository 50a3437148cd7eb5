#pragma once

#include <cstdint>
#include <vector>

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

/// @brief Drives the pure control code of fleets of 10 to 870 nodes in virtual time and prints the cost per
/// node.
/// @return 0 when the targets of design 1.3 are met.
int run_spread(std::uint64_t seed);

/// @brief Measures look-ups and deltas of the client block table at target size.
int run_lookup(std::uint64_t seed);

/// @brief Measures the router and compares selection rules on one simulated load.
int run_routing(std::uint64_t seed);

/// @brief Compares judging and pacing rules for version moves.
int run_moves(std::uint64_t seed);

/// @brief Measures fleets of real processes on loopback: processor time, memory, bytes, store calls and the
/// time of a configuration change per VM.
/// @param sizes Numbers of VMs, one fleet after another.
/// @param zones Zones of each fleet; 0: 6, and 17 from 100 VMs on.
/// @param blocks Client blocks in the store.
int run_fleet(const std::vector<int>& sizes, int zones, int blocks);

/// @brief Measures the latency that one VM adds to calls of an endpoint, its processor time per request, its
/// lookups and its memory over many requests, with real processes on loopback.
/// @param blocks Client blocks in the store.
int run_path(int blocks);

} // namespace lacewing::bench
