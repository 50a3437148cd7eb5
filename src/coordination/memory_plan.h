#pragma once

#include "coordination/caller_memory.h"

#include <cstddef>
#include <cstdint>

namespace lacewing {

/// @brief How the memory of a gateway's VM is divided among all that others make it hold.
///
/// Each part is a bound that its owner enforces, so that no mixture of callers, store, other VMs and
/// endpoints ends the process. The rest is for the process itself, configurations, and objects, datagrams and
/// small answers that are being read.
class memory_plan {
public:
    /// Connections of callers: requests and answers (caller_memory).
    static constexpr double caller_share = caller_memory::memory_share;
    /// Answers of endpoints that are buffered whole (answer_memory).
    static constexpr double answer_share = 0.15;
    /// The objects of one kind in the copy of the store (object_copy).
    static constexpr double stored_kind_share = 0.03;
    /// Kinds whose number of objects the settings do not bound: endpoints, moves, VMs.
    static constexpr int large_kinds = 3;
    /// Copies of a kind at the worst moment: the one in force, the one that a list or snapshot puts into its
    /// place, and its text for another VM.
    static constexpr int copies_of_kind = 3;
    /// Least memory of a VM for which the parts leave enough, in MB; that of the users' smallest VMs.
    static constexpr double smallest_vm_mb = 160;
    /// What the parts leave at least, in MB: 20 of the process without load, 27 of a configuration of 1 MB
    /// with the one before it.
    static constexpr double min_rest_mb = 40;

    explicit constexpr memory_plan(std::int64_t memory_mb)
        : bytes_(static_cast<std::size_t>(memory_mb) * 1024 * 1024) {}

    [[nodiscard]] constexpr std::size_t caller_bytes() const { return part(caller_share); }
    [[nodiscard]] constexpr std::size_t answer_bytes() const { return part(answer_share); }
    [[nodiscard]] constexpr std::size_t stored_kind_bytes() const { return part(stored_kind_share); }

private:
    [[nodiscard]] constexpr std::size_t part(double share) const {
        return static_cast<std::size_t>(static_cast<double>(bytes_) * share);
    }

    std::size_t bytes_;
};

static_assert((1 - memory_plan::caller_share - memory_plan::answer_share -
               memory_plan::stored_kind_share * memory_plan::large_kinds * memory_plan::copies_of_kind) *
                  memory_plan::smallest_vm_mb >
              memory_plan::min_rest_mb);

} // namespace lacewing
