#include "coordination/report_relay.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace lacewing;

namespace {

constexpr time_ms remote_interval{300};
constexpr time_ms region_interval{100};

/// VMs of three regions that report to their region every 100 ms and to the others every 300 ms, without
/// network. A VM's address is its name.
struct relay_fleet {
    struct vm {
        vm(const vm_report& self, std::uint64_t seed) : fleet(self), relay(seed) {}
        fleet_view fleet;
        report_relay relay;
        std::uint64_t sequence = 0;
        std::uint64_t direct = 0;
        bool cut_off = false;
        bool ended = false;
        /// Longest time without a new report of a VM that sends, after the start.
        time_ms longest_silence{0};
    };

    explicit relay_fleet(std::size_t vms_per_region) {
        for (std::size_t i = 0; i < 3 * vms_per_region; ++i) {
            vm_report self;
            self.vm = {"vm-" + std::to_string(i)};
            self.region = {"r" + std::to_string(i % 3)};
            self.incarnation = incarnation_id{i + 1};
            self.peer_address = std::to_string(i);
            vms.push_back(std::make_unique<vm>(self, i + 1));
        }
        for (auto& to : vms) {
            for (const auto& from : vms)
                to->fleet.on_registration(now, from->fleet.self());
        }
    }

    [[nodiscard]] static bool reaches(const vm& from, const vm& to) {
        return !from.ended && !to.ended && !from.cut_off && !to.cut_off;
    }

    void run(time_ms span) {
        for (const auto end = now + span; now < end; now += region_interval) {
            for (auto& from : vms)
                send(*from);
        }
    }

    void send(vm& from) {
        if (from.ended) return;
        auto report = from.fleet.self();
        report.sequence = ++from.sequence;
        // The text of a relayed report is the number of its VM and its sequence here.
        const auto held = from.relay.take_held();
        for (auto& to : vms) {
            if (to.get() == &from || to->fleet.self().region != report.region || !reaches(from, *to))
                continue;
            receive(*to, report);
            for (const auto& text : held) {
                auto relayed = vms[std::stoul(text)]->fleet.self();
                relayed.sequence = std::stoul(text.substr(text.find(' ')));
                receive(*to, relayed);
            }
        }
        if (now.count % remote_interval.count != 0) return;
        report.sequence = ++from.sequence;
        for (const auto& address : from.relay.receivers(now, from.fleet)) {
            auto& to = *vms[std::stoul(address)];
            ++datagrams;
            if (!reaches(from, to)) continue;
            ++to.direct;
            receive(to, report);
            to.relay.hold(report.peer_address + ' ' + std::to_string(report.sequence));
        }
    }

    void receive(vm& to, const vm_report& report) {
        if (report.vm == to.fleet.self().vm || to.fleet.outdated(report.header())) return;
        const auto known = to.fleet.members().find(report.vm.value);
        if (known != to.fleet.members().end() && known->second.has_reported)
            to.longest_silence = std::max(to.longest_silence, now - known->second.heard);
        to.fleet.on_report(now, report);
    }

    // Longest silence of a VM of another region, also one that goes on.
    [[nodiscard]] time_ms longest_silence() const {
        time_ms longest{0};
        for (const auto& to : vms) {
            if (to->ended) continue;
            longest = std::max(longest, to->longest_silence);
            for (const auto& from : vms) {
                if (from == to || from->ended) continue;
                longest = std::max(longest, now - to->fleet.members().at(from->fleet.self().vm.value).heard);
            }
        }
        return longest;
    }

    time_ms now{1'000'200};
    std::vector<std::unique_ptr<vm>> vms;
    std::uint64_t datagrams = 0;
};

} // namespace

TEST_CASE("report relay: the datagrams between regions grow with the square of the fleet") {
    std::map<std::size_t, double> sent_per_vm;
    std::map<std::size_t, double> most_received;
    for (const std::size_t vms_per_region : {10, 100}) {
        relay_fleet fleet(vms_per_region);
        fleet.run(time_ms{3000});
        fleet.datagrams = 0;
        for (auto& vm : fleet.vms)
            vm->direct = 0;
        fleet.run(time_ms{9000});
        const auto count = static_cast<double>(fleet.vms.size());
        sent_per_vm[vms_per_region] = static_cast<double>(fleet.datagrams) / count;
        for (const auto& vm : fleet.vms) {
            most_received[vms_per_region] =
                std::max(most_received[vms_per_region], static_cast<double>(vm->direct));
        }
    }
    // Two receivers in each of two regions, every 300 ms.
    CHECK(sent_per_vm[10] == 30 * 4);
    CHECK(sent_per_vm[100] == 30 * 4);
    CHECK(most_received[100] <= 1.2 * most_received[10]);
}

TEST_CASE("report relay: a VM counts as dead while some VMs that pass on its reports have ended") {
    relay_fleet fleet(20);
    fleet.run(time_ms{3000});
    // A third of the VMs ends at the same moment, so their places as receivers are lost for silence_limit.
    for (std::size_t i = 0; i < fleet.vms.size(); i += 4)
        fleet.vms[i]->ended = true;
    fleet.run(time_ms{6000});
    CHECK(fleet.longest_silence() < fleet_view::silence_limit);
}

TEST_CASE("report relay: regions that were cut off from each other do not find each other again") {
    relay_fleet fleet(6);
    fleet.run(time_ms{3000});
    for (auto& vm : fleet.vms)
        vm->cut_off = vm->fleet.self().region.value == "r1";
    fleet.run(time_ms{10'000});
    for (auto& vm : fleet.vms)
        vm->cut_off = false;
    fleet.run(time_ms{1000});
    for (const auto& vm : fleet.vms)
        CHECK(vm->fleet.alive_vm_count(fleet.now) == fleet.vms.size());
}

TEST_CASE("report relay: reports without end are held for a region that is cut off") {
    report_relay relay(1);
    for (std::size_t i = 0; i < 2 * report_relay::max_held; ++i)
        relay.hold("report");
    CHECK(relay.take_held().size() == report_relay::max_held);
    CHECK(relay.dropped() == report_relay::max_held);
    CHECK(relay.take_held().empty());
}
