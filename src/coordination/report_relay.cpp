#include "coordination/report_relay.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace lacewing {

std::vector<std::string> report_relay::receivers(time_ms now, const fleet_view& fleet) {
    struct region_members {
        std::vector<std::string> alive;
        std::vector<std::string> others;
    };
    std::map<std::string_view, region_members> regions;
    for (const auto& [name, member] : fleet.members()) {
        const auto& address = member.report.peer_address;
        if (address.empty() || member.report.region == fleet.self().region) continue;
        auto& members = regions[member.report.region.value];
        (fleet_view::alive(member, now) ? members.alive : members.others).push_back(address);
    }
    std::vector<std::string> chosen;
    for (auto& [region, members] : regions) {
        if (members.alive.empty()) {
            std::move(members.others.begin(), members.others.end(), std::back_inserter(chosen));
        } else {
            std::sample(members.alive.begin(), members.alive.end(), std::back_inserter(chosen),
                        receivers_per_region, random_);
        }
    }
    return chosen;
}

void report_relay::hold(std::string_view report) {
    if (held_.size() >= max_held) {
        ++dropped_;
        return;
    }
    held_.emplace_back(report);
}

std::vector<std::string> report_relay::take_held() {
    return std::exchange(held_, {});
}

} // namespace lacewing
