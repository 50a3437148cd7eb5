#pragma once

#include "coordination/usage_windows.h"
#include "state/time_ms.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace lacewing {

/// @brief Counts from a VM to the collector of its zone, or from a collector to the holder of the duty.
struct usage_push {
    /// Number of the sending process.
    std::uint64_t from = 0;
    /// Peer address of the sender.
    std::string address;
    /// Sums of a zone, for the holder.
    bool zone_sums = false;
    /// Time of day of the sender, in Unix milliseconds.
    time_ms time_of_day{0};
    std::vector<usage_record> records;
};

/// @brief The holder of the duty as last heard of.
struct holder_notice {
    std::string vm;
    /// Peer address; empty when no holder is known.
    std::string address;
    /// Number of its process.
    std::uint64_t source = 0;
    std::uint64_t token = 0;
    /// Time since the holder said so.
    time_ms age{0};
    /// Windows below it have final counts.
    std::int64_t settled_below = 0;
};

/// @brief Answer to a usage_push.
struct usage_acknowledgement {
    /// Number of the process that has received the counts.
    std::uint64_t from = 0;
    bool zone_sums = false;
    /// Windows and versions received.
    std::vector<std::pair<std::int64_t, std::uint64_t>> received;
    /// Unix time on which the VMs of the zone agree; 0 when they are too few.
    time_ms agreed_time{0};
    holder_notice holder;
};

using usage_message = std::variant<usage_push, usage_acknowledgement, holder_notice>;

} // namespace lacewing
