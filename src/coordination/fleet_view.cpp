#include "coordination/fleet_view.h"

#include <algorithm>

namespace lacewing {

namespace {

// Rendezvous weight of a VM for a key, by name, so that a restart does not move duties.
std::uint64_t weight_of(std::string_view key, std::string_view vm) {
    std::uint64_t hash = 1469598103934665603ULL;
    for (const char c : vm)
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return rendezvous_weight(key, incarnation_id{hash});
}

} // namespace

bool fleet_view::on_report(time_ms now, const vm_report& report) {
    if (report.vm == self_.vm) return false;
    auto& member = members_[report.vm.value];
    if (member.first_seen == time_ms{0}) member.first_seen = now;
    const bool unknown = !member.has_reported || member.report.incarnation != report.incarnation;
    const auto known = std::move(member.report);
    member.report = report;
    if (!report.has_identity) {
        member.report.zone = known.zone;
        member.report.region = known.region;
        member.report.peer_address = known.peer_address;
        member.report.caller_address = known.caller_address;
    }
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
    // A report is newer than the registration that its process wrote at its start.
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
    std::size_t counted = 1;
    std::string_view first_heard = self_.vm.value;
    std::string_view first_counted = self_.vm.value;
    for (const auto& [name, member] : members_) {
        if (member.refused || member.report.leaving) continue;
        ++counted;
        first_counted = std::min<std::string_view>(first_counted, name);
        if (!alive(member, now)) continue;
        ++heard;
        first_heard = std::min<std::string_view>(first_heard, name);
    }
    if (heard * 2 == counted) return first_heard == first_counted;
    return heard * 2 > counted;
}

bool fleet_view::owns(std::string_view key, time_ms now) const {
    return first(key, now, false);
}

bool fleet_view::owns_writes(std::string_view key, time_ms now, bool store_reached) const {
    return store_reached && first(key, now, true);
}

bool fleet_view::first(std::string_view key, time_ms now, bool need_store) const {
    const auto own = weight_of(key, self_.vm.value);
    return std::none_of(members_.begin(), members_.end(), [&](const auto& entry) {
        if (!alive(entry.second, now)) return false;
        if (need_store && !entry.second.report.store_reached) return false;
        const auto other = weight_of(key, entry.first);
        return other > own || (other == own && entry.first < self_.vm.value);
    });
}

} // namespace lacewing
