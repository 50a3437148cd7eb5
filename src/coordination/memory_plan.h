#pragma once

#include "coordination/caller_memory.h"

#include <cstddef>
#include <cstdint>

namespace lacewing {

/// @brief How the memory of a gateway's VM is divided among all that others make it hold.
///
/// Each part is a bound that its owner enforces; together they are less than the memory of the VM, so that no
/// mixture of callers, store, other VMs and endpoints ends the process.
class memory_plan {
public:
    /// Connections of callers: requests and answers (caller_memory).
    static constexpr double caller_share = caller_memory::memory_share;
    /// The objects of one kind in the copy of the store (object_copy), and as many again while a list or
    /// snapshot replaces them.
    static constexpr double stored_kind_share = 0.04;
    /// Kinds whose number of objects is not bounded by the settings: endpoints, moves, VMs.
    static constexpr int large_kinds = 3;

    explicit constexpr memory_plan(std::int64_t memory_mb)
        : bytes_(static_cast<std::size_t>(memory_mb) * 1024 * 1024) {}

    [[nodiscard]] constexpr std::size_t caller_bytes() const { return part(caller_share); }
    [[nodiscard]] constexpr std::size_t stored_kind_bytes() const { return part(stored_kind_share); }

private:
    [[nodiscard]] constexpr std::size_t part(double share) const {
        return static_cast<std::size_t>(static_cast<double>(bytes_) * share);
    }

    std::size_t bytes_;
};

} // namespace lacewing
