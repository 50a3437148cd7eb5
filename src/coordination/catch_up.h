#pragma once

#include "state/time_ms.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace lacewing {

/// @brief Decides when this VM fetches a kind of stored objects from another VM because its own watch has not
/// brought a change that the other VM reports.
class catch_up {
public:
    /// How long a change may be missing before it is fetched; the own watch usually brings it sooner.
    static constexpr time_ms delay{500};
    /// In a fleet, all VMs notice at the same moment that they miss a change that one VM has. Each waits for
    /// a random part of this time for each live VM before it fetches, so that the first ones can pass the
    /// change on; without it, the link of that VM carries no answer in time.
    static constexpr time_ms spread_per_vm{15};
    static constexpr time_ms max_spread{1000};

    /// @param seed Seed of the random waits.
    explicit catch_up(std::uint64_t seed) : random_(seed) {}

    /// @brief Sets the number of live VMs, including this one.
    void set_live_vms(std::size_t count);
    /// @brief Records the revision of a kind that another VM reports.
    /// @param reported Revision of the newest change that the other VM knows.
    /// @param own Revision up to which the own copy is complete.
    /// @return Whether to fetch the kind from that VM now. The caller must then call finished().
    [[nodiscard]] bool on_report(time_ms now, const std::string& kind, std::uint64_t reported,
                                 std::uint64_t own);
    /// @brief Records that a fetch has ended; a change that is still missing is fetched again.
    void finished(time_ms now, const std::string& kind);

private:
    struct missing_change {
        std::uint64_t revision = 0;
        /// Earliest time of the next fetch.
        time_ms due{0};
        bool fetching = false;
    };
    [[nodiscard]] time_ms random_wait();

    std::mt19937_64 random_;
    time_ms spread_{0};
    std::map<std::string, missing_change> missing_;
};

/// @brief Limits the bytes of snapshots that this VM sends to others, so that each that it begins arrives in
/// time. A VM that is refused fetches from another one, or later.
class snapshot_budget {
public:
    /// Half of the smallest link of a VM on the users' sites, 10 Mbit/s.
    static constexpr std::int64_t bytes_per_ms = 600;
    static constexpr std::int64_t burst_bytes = 100'000;

    /// @brief Whether a snapshot may be sent now; a large one is paid off afterwards.
    [[nodiscard]] bool may_send(time_ms now);
    void on_sent(std::size_t bytes) { level_ -= static_cast<std::int64_t>(bytes); }

private:
    std::int64_t level_ = burst_bytes;
    time_ms refilled_{0};
};

} // namespace lacewing
