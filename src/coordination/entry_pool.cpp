#include "coordination/entry_pool.h"

#include <algorithm>

namespace lacewing {

namespace {

// A VM of at least this part of the largest one's size is always listed.
constexpr double large_vm_fraction = 0.5;
// The listed VMs should use at most this part of their processor time, so that a burst of callers or the loss
// of some of them does not fill the queues of the others.
constexpr double max_planned_use = 0.5;
// Callers that lose one VM must have others to turn to.
constexpr std::size_t min_listed = 3;

/// A VM with its size as a part of the largest VM's.
struct sized_vm {
    const sized_entry* vm = nullptr;
    double size = 0;
};

// Size by processor or link, whichever is smaller in comparison with the largest; empty if a size is unknown.
std::vector<sized_vm> sizes_of(std::span<const sized_entry> vms) {
    std::uint32_t most_processor = 0;
    std::uint32_t most_link = 0;
    for (const auto& vm : vms) {
        if (vm.processor_millicores == 0 || vm.link_mbps == 0) return {};
        most_processor = std::max(most_processor, vm.processor_millicores);
        most_link = std::max(most_link, vm.link_mbps);
    }
    std::vector<sized_vm> sized;
    for (const auto& vm : vms) {
        sized.push_back({&vm, std::min(static_cast<double>(vm.processor_millicores) / most_processor,
                                       static_cast<double>(vm.link_mbps) / most_link)});
    }
    return sized;
}

} // namespace

std::vector<std::string> select_entry_vms(std::span<const sized_entry> vms, std::size_t max_listed) {
    auto sized = sizes_of(vms);
    if (sized.empty()) {
        for (const auto& vm : vms)
            sized.push_back({&vm, 1});
    }
    std::sort(sized.begin(), sized.end(), [](const sized_vm& a, const sized_vm& b) {
        return a.size != b.size ? a.size > b.size : a.vm->address < b.vm->address;
    });
    double used = 0;
    for (const auto& item : sized)
        used += static_cast<double>(item.vm->processor_millicores) * item.vm->busy_permille / 1000;
    const auto large =
        static_cast<std::size_t>(std::count_if(sized.begin(), sized.end(), [&](const auto& item) {
            return item.size >= large_vm_fraction * sized.front().size;
        }));
    // Callers spread evenly, so the smallest listed VM bounds what each may get.
    auto count = std::max(large, std::min(min_listed, sized.size()));
    while (count < sized.size() &&
           used > max_planned_use * sized[count - 1].vm->processor_millicores * static_cast<double>(count))
        ++count;
    std::vector<std::string> listed;
    for (std::size_t i = 0; i < std::min(count, max_listed); ++i)
        listed.emplace_back(sized[i].vm->address);
    return listed;
}

} // namespace lacewing
