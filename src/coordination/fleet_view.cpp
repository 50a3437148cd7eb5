#include "coordination/fleet_view.h"

#include <algorithm>

namespace lacewing {

namespace {

// Key of the duty to watch the store for the region.
constexpr std::string_view region_watch_key = "watch";
// With two, the failure of one delays no change. Each zone has one, so that the loss of a zone leaves
// another.
constexpr std::size_t min_watchers = 2;
// In a smaller region all VMs watch closely: their calls do not add up, and each sees a change by itself.
constexpr std::size_t min_region_to_share_watches = 5;

// Rendezvous weight of a VM for the key of a duty. It depends on the name of the VM, not on its incarnation,
// so a restart does not move duties.
std::uint64_t duty_weight(std::string_view key, std::string_view vm) {
    std::uint64_t hash = 1469598103934665603ULL;
    for (const char c : vm)
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return rendezvous_weight(key, incarnation_id{hash});
}

} // namespace

namespace {

// Takes over what a report says of its VM itself.
void record_state(vm_report& known, const vm_report& report) {
    known.vm = report.vm;
    known.incarnation = report.incarnation;
    known.sequence = report.sequence;
    known.ready = report.ready;
    known.leaving = report.leaving;
    known.store_reached = report.store_reached;
    known.configuration_version = report.configuration_version;
    known.has_identity = report.has_identity;
    if (!report.has_identity) return;
    known.zone = report.zone;
    known.region = report.region;
    known.peer_address = report.peer_address;
    known.caller_address = report.caller_address;
    known.processor_millicores = report.processor_millicores;
    known.link_mbps = report.link_mbps;
    known.busy_permille = report.busy_permille;
}

} // namespace

bool fleet_view::outdated(const report_header& report) const {
    const auto found = members_.find(report.vm.value);
    if (found == members_.end() || !found->second.has_reported) return false;
    const auto& known = found->second.report;
    return known.incarnation == report.incarnation && report.sequence != 0 &&
           report.sequence <= known.sequence;
}

bool fleet_view::on_report(time_ms now, const vm_report& report) {
    if (report.vm == self_.vm) return false;
    auto& member = members_[report.vm.value];
    if (member.first_seen == time_ms{0}) member.first_seen = now;
    const bool unknown = !member.has_reported || member.report.incarnation != report.incarnation;
    record_state(member.report, report);
    member.heard = now;
    member.has_reported = true;
    member.refused = false;
    return unknown;
}

void fleet_view::on_registration(time_ms now, const vm_report& registration) {
    if (registration.vm == self_.vm) return;
    auto& member = members_[registration.vm.value];
    if (member.first_seen == time_ms{0}) {
        member.first_seen = now;
        member.heard = now - silence_limit;
    }
    // A process registers when it starts, so any report of the same process is newer.
    if (member.has_reported && member.report.incarnation == registration.incarnation) return;
    if (member.has_reported && now - member.heard < silence_limit) return;
    member.report = registration;
    member.has_reported = false;
}

void fleet_view::on_connection_refused(std::string_view peer_address) {
    for (auto& [name, member] : members_) {
        if (member.report.peer_address == peer_address) member.refused = true;
    }
}

void fleet_view::remove_silent(time_ms now) {
    std::erase_if(members_, [now](const auto& entry) { return now - entry.second.heard > removal_limit; });
}

bool fleet_view::alive(const fleet_member& member, time_ms now) {
    return member.has_reported && !member.refused && !member.report.leaving &&
           now - member.heard < silence_limit;
}

std::size_t fleet_view::alive_vm_count(time_ms now) const {
    return 1 + static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(),
                                                      [now](const auto& m) { return alive(m.second, now); }));
}

bool fleet_view::in_majority(time_ms now) const {
    std::size_t heard = 1;
    std::size_t member_total = 1;
    std::string_view first_heard_name = self_.vm.value;
    std::string_view first_member_name = self_.vm.value;
    for (const auto& [name, member] : members_) {
        if (member.refused || member.report.leaving) continue;
        ++member_total;
        first_member_name = std::min<std::string_view>(first_member_name, name);
        if (!alive(member, now)) continue;
        ++heard;
        first_heard_name = std::min<std::string_view>(first_heard_name, name);
    }
    if (heard * 2 == member_total) return first_heard_name == first_member_name;
    return heard * 2 > member_total;
}

bool fleet_view::owns(std::string_view key, time_ms now) const {
    return ranks_first(key, now, false);
}

bool fleet_view::owns_writes(std::string_view key, time_ms now, bool store_reached) const {
    return store_reached && ranks_first(key, now, true);
}

bool fleet_view::watches_for_region(time_ms now) const {
    const auto own = duty_weight(region_watch_key, self_.vm.value);
    std::size_t region_vms = 1;
    std::size_t ranked_before = 0;
    bool other_zones = false;
    for (const auto& [name, member] : members_) {
        if (!alive(member, now) || !member.report.store_reached || member.report.region != self_.region)
            continue;
        ++region_vms;
        if (member.report.zone != self_.zone) {
            other_zones = true;
        } else if (duty_weight(region_watch_key, name) > own) {
            ++ranked_before;
        }
    }
    return region_vms < min_region_to_share_watches || ranked_before < (other_zones ? 1 : min_watchers);
}

bool fleet_view::ranks_first(std::string_view key, time_ms now, bool needs_store) const {
    const auto own = duty_weight(key, self_.vm.value);
    return std::none_of(members_.begin(), members_.end(), [&](const auto& entry) {
        if (!alive(entry.second, now)) return false;
        if (needs_store && !entry.second.report.store_reached) return false;
        const auto other = duty_weight(key, entry.first);
        return other > own || (other == own && entry.first < self_.vm.value);
    });
}

} // namespace lacewing
