#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// @brief An entry VM that is ready for callers, with its size and load.
struct sized_entry {
    std::string_view address;
    /// Processor time that the VM may use, in thousandths of a core; 0 if unknown.
    std::uint32_t processor_millicores = 0;
    /// Bandwidth of its link, in Mbit/s; 0 if unknown.
    std::uint32_t link_mbps = 0;
    /// Part of the time that events wait for its event loop, in thousandths.
    std::uint32_t busy_permille = 0;
};

/// @brief Chooses the VMs of one region that callers are told.
///
/// Callers choose among the VMs that they are told at random, so a small VM would get as many of them as a
/// large one, and its queue delays their requests. The large VMs are listed; smaller ones follow, the larger
/// first, only if so many are needed that each of the listed ones, the smallest too, can bear its equal part
/// of what all VMs of the region use.
/// @param vms Ready VMs of one region, in any order.
/// @param max_listed Largest number of addresses.
/// @return Addresses; all of them if the VMs are of one size or a size is unknown.
std::vector<std::string> select_entry_vms(std::span<const sized_entry> vms, std::size_t max_listed);

} // namespace lacewing
