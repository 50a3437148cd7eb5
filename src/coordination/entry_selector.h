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

/// @brief An entry VM that could be named to callers.
struct entry_candidate {
    /// Index of the VM in the owner's list.
    std::uint32_t vm = 0;
    incarnation_id incarnation;
    zone_name zone;
    region_name region;
    member_state state = member_state::alive;
    /// The VM or its zone is being drained.
    bool draining = false;
    /// Free part of the VM's capacity in permille.
    std::int32_t headroom = 1000;
};

/// @brief VMs to name to one caller, in the order in which it should try them.
struct entry_selection {
    static constexpr std::size_t max_vms = 4;

    std::array<std::uint32_t, max_vms> vms{};
    std::uint32_t count = 0;
    time_ms lifetime;
};

/// @brief Decides which VMs a caller is told to use (design 4.9). Rebuilt when the membership, the sites or
/// the drains change; a selection does not allocate.
class entry_selector {
public:
    /// @param candidates VMs as this VM knows them; dead and leaving ones are never named.
    /// @param sites Sites of the block table.
    /// @param zone_regions Zones and their regions in configured order.
    entry_selector(std::span<const entry_candidate> candidates, std::span<const block_site> sites,
                   std::span<const std::pair<zone_name, region_name>> zone_regions);

    /// @brief VMs for a caller.
    /// @param site Site of the caller's block; a caller in no block gets VMs of all zones.
    [[nodiscard]] entry_selection select(std::optional<site_index> site, const ip_address& caller) const;

private:
    struct vm_entry {
        std::uint32_t vm = 0;
        std::uint64_t seed = 0;
        std::int32_t weight = 0;
    };

    // Consecutive VMs of the order that are equally good for a site.
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
    site_order anywhere_;
    time_ms lifetime_;
};

} // namespace lacewing
