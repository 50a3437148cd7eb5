#include "coordination/entry_pool.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace lacewing {

namespace {

constexpr std::size_t no_limit = 64;

/// VMs of one region with addresses that outlive the views of them.
class region_vms {
public:
    // Adds VMs of one size and load, with addresses "<prefix><index>".
    region_vms& add(const std::string& prefix, std::size_t count, std::uint32_t millicores,
                    std::uint32_t mbps, std::uint32_t busy_permille) {
        for (std::size_t i = 0; i < count; ++i)
            vms_.push_back({prefix + std::to_string(i), millicores, mbps, busy_permille});
        return *this;
    }

    [[nodiscard]] std::vector<std::string> listed(std::size_t max_listed = no_limit) const {
        std::vector<sized_entry> views;
        for (const auto& vm : vms_)
            views.push_back({vm.address, vm.millicores, vm.mbps, vm.busy_permille});
        return select_entry_vms(views, max_listed);
    }

private:
    struct stored_vm {
        std::string address;
        std::uint32_t millicores;
        std::uint32_t mbps;
        std::uint32_t busy_permille;
    };
    std::vector<stored_vm> vms_;
};

std::size_t count_prefix(const std::vector<std::string>& addresses, std::string_view prefix) {
    return static_cast<std::size_t>(
        std::count_if(addresses.begin(), addresses.end(),
                      [&](const std::string& address) { return address.starts_with(prefix); }));
}

} // namespace

TEST_CASE("entry pool: callers of a region with spare processor time use small VMs") {
    region_vms vms;
    vms.add("small", 16, 100, 10, 200).add("large", 4, 500, 200, 200);
    const auto listed = vms.listed();
    CHECK(count_prefix(listed, "large") == 4);
    CHECK(count_prefix(listed, "small") == 0);
}

TEST_CASE("entry pool: a region whose large VMs are busy keeps its callers on them") {
    region_vms vms;
    vms.add("small", 16, 100, 10, 500).add("large", 4, 500, 200, 700);
    // 4 x 350 + 16 x 50 thousandths are in use: 550 for each of the large VMs alone.
    const auto listed = vms.listed();
    CHECK(count_prefix(listed, "large") == 4);
    CHECK(count_prefix(listed, "small") == 16);
}

TEST_CASE("entry pool: a region that has lost most of its large VMs tells callers only the rest") {
    region_vms vms;
    vms.add("small", 16, 100, 10, 100).add("large", 1, 500, 200, 100);
    const auto listed = vms.listed();
    CHECK(listed.front() == "large0");
    CHECK(listed.size() >= 3);
    CHECK(listed.size() < 17);
}

TEST_CASE("entry pool: a few small VMs are listed that get as many callers as the large ones and cannot bear "
          "them") {
    // 1,050 thousandths are in use, a little over half of the large VMs'. One small VM more would get a
    // fifth.
    region_vms vms;
    vms.add("small", 30, 100, 10, 0).add("large", 4, 500, 200, 525);
    const auto listed = vms.listed();
    CHECK(listed.size() >= 21);
    CHECK(count_prefix(listed, "large") == 4);
}

TEST_CASE("entry pool: VMs of one size are left out") {
    region_vms vms;
    vms.add("vm", 20, 200, 1000, 10);
    CHECK(vms.listed().size() == 20);
    CHECK(vms.listed(8).size() == 8);
}

TEST_CASE("entry pool: VMs of unknown size are left out") {
    region_vms vms;
    vms.add("old", 3, 0, 0, 0).add("large", 2, 500, 200, 100);
    CHECK(vms.listed().size() == 5);
}

TEST_CASE("entry pool: a VM with a fast processor behind a slow link counts as large") {
    region_vms vms;
    vms.add("slow-link", 8, 500, 10, 100).add("large", 4, 500, 200, 100);
    CHECK(count_prefix(vms.listed(), "slow-link") == 0);
}

TEST_CASE("entry pool: VMs that see the fleet in another order tell callers other addresses") {
    region_vms one;
    one.add("a", 6, 100, 10, 400).add("b", 2, 500, 200, 500);
    region_vms other;
    other.add("b", 2, 500, 200, 500).add("a", 6, 100, 10, 400);
    CHECK(one.listed() == other.listed());
}

} // namespace lacewing
