#pragma once

#include "coordination/peer_message.h"
#include "state/block_table.h"
#include "state/time_ms.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace lacewing {

/// @brief An entry VM that callers may be directed to.
struct entry_candidate {
    /// Index of the VM in the owner's list.
    std::uint32_t vm = 0;
    incarnation_id incarnation;
    zone_name zone;
    region_name region;
    member_state state = member_state::alive;
    /// The VM or its zone is being drained.
    bool draining = false;
    /// Free capacity of the VM in permille of its capacity.
    std::int32_t headroom = 1000;
};

/// @brief VMs that one caller should use, in the order in which to try them.
struct entry_selection {
    static constexpr std::size_t max_vms = 4;

    std::array<std::uint32_t, max_vms> vms{};
    std::uint32_t count = 0;
    /// How long the caller may use this selection before it asks again.
    time_ms lifetime;
};

/// @brief Chooses the entry VMs that a caller is directed to. It is immutable and rebuilt when the
/// membership, the sites or the drains change; select() does not allocate memory.
class entry_selector {
public:
    /// @param candidates VMs known to this VM; dead and leaving ones are never selected.
    /// @param sites Sites of the block table.
    /// @param zone_regions Zones with their regions, in the configured order.
    entry_selector(std::span<const entry_candidate> candidates, std::span<const block_site> sites,
                   std::span<const std::pair<zone_name, region_name>> zone_regions);

    /// @brief Selects VMs for a caller.
    /// @param site Site of the caller's block; a caller in no block gets VMs of all zones.
    [[nodiscard]] entry_selection select(std::optional<site_index> site, const ip_address& caller) const;

private:
    struct vm_entry {
        std::uint32_t vm = 0;
        std::uint64_t seed = 0;
        std::int32_t weight = 0;
    };

    // Range [begin, end) of VMs in a site's order that have the same rank.
    struct tier {
        std::uint32_t begin = 0;
        std::uint32_t end = 0;
    };

    struct site_order {
        std::vector<vm_entry> vms;
        std::vector<tier> tiers;
    };

    static site_order build_order(std::span<const entry_candidate> usable, const block_site* site,
                                  std::span<const std::pair<zone_name, region_name>> zone_regions);

    std::vector<site_order> orders_;
    site_order order_without_site_;
    time_ms lifetime_;
};

} // namespace lacewing
