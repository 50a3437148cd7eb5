#include "coordination/zone_roster.h"

#include "state/error_kind.h"
#include "state/json_text.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <fmt/format.h>
#include <json/json.h>

namespace lacewing {

namespace {

constexpr time_ms handover_request_interval{1000};

// After a failed write, a VM waits for a pseudo-random part of this time, so that competing writers spread
// out.
constexpr std::int64_t retry_jitter_ms = 500;

} // namespace

std::string to_json(const roster_object& roster) {
    Json::Value root(Json::objectValue);
    root["written_by"] = roster.written_by;
    root["vms"] = Json::Value(Json::arrayValue);
    for (const auto& entry : roster.entries) {
        Json::Value item(Json::objectValue);
        item["vm"] = entry.id.vm.value;
        item["zone"] = entry.id.zone.value;
        item["address"] = entry.id.address;
        item["incarnation"] = to_hex(entry.id.incarnation);
        item["boot_id"] = entry.boot_id;
        item["renewal"] = Json::UInt64{entry.renewal};
        item["layout"] = Json::UInt64{entry.zone_list_id};
        root["vms"].append(item);
    }
    return compact_json(root);
}

roster_object parse_roster(std::string_view text) {
    std::string problem = "not an object";
    const auto parsed = read_json(text, &problem);
    if (!parsed || !parsed->isObject()) throw error(error_kind::bad_request, "budget roster: " + problem);
    const auto& root = *parsed;
    try {
        roster_object roster;
        roster.written_by = root["written_by"].asString();
        for (const auto& item : root["vms"]) {
            roster_entry entry;
            entry.id = {{item["vm"].asString()},
                        {item["zone"].asString()},
                        item["address"].asString(),
                        incarnation_from_hex(item["incarnation"].asString())};
            entry.boot_id = item["boot_id"].asString();
            entry.renewal = item["renewal"].asUInt64();
            entry.zone_list_id = item["layout"].asUInt64();
            roster.entries.push_back(std::move(entry));
        }
        return roster;
    } catch (const Json::Exception& failure) {
        throw error(error_kind::bad_request, fmt::format("budget roster: {}", failure.what()));
    }
}

zone_roster::zone_roster(peer_id self, std::string boot_id)
    : self_(std::move(self)), boot_id_(std::move(boot_id)), key_("budget/" + self_.zone.value) {}

const roster_entry* zone_roster::find_entry(incarnation_id incarnation) const {
    const auto found = std::find_if(object_.entries.begin(), object_.entries.end(),
                                    [&](const auto& entry) { return entry.id.incarnation == incarnation; });
    return found == object_.entries.end() ? nullptr : &*found;
}

bool zone_roster::lease_expired(time_ms now, const roster_entry& entry) const {
    const auto found = observations_.find(entry.id.incarnation);
    return found != observations_.end() &&
           now >= found->second.unchanged_since + with_clock_drift(roster_lease);
}

// Whether an entry is that of an earlier process on this host. The same boot id and the address, which this
// process has bound, prove that the earlier process is gone.
bool zone_roster::is_predecessor(const roster_entry& entry) const {
    return entry.id.incarnation != self_.incarnation && !boot_id_.empty() && entry.boot_id == boot_id_ &&
           entry.id.address == self_.address;
}

void zone_roster::observe(time_ms now, const object_event& event) {
    if (event.key != key_ || (observed_once_ && event.revision <= revision_)) {
        return;
    }
    roster_object next = event.deleted() ? roster_object{} : parse_roster(*event.value);
    const bool removal = std::any_of(object_.entries.begin(), object_.entries.end(), [&](const auto& before) {
        return std::none_of(next.entries.begin(), next.entries.end(),
                            [&](const auto& entry) { return entry.id.incarnation == before.id.incarnation; });
    });
    if (removal) {
        last_removal_ = now;
    }
    object_ = std::move(next);
    revision_ = event.revision;
    observed_once_ = true;
    write_in_flight_ = false;
    shares_dropped_ = false;

    std::map<incarnation_id, entry_observation> observations;
    for (const auto& entry : object_.entries) {
        const auto known = observations_.find(entry.id.incarnation);
        const bool unchanged = known != observations_.end() && known->second.entry == entry;
        observations[entry.id.incarnation] = {entry, unchanged ? known->second.unchanged_since : now};
    }
    observations_ = std::move(observations);
    std::erase_if(missing_handovers_, [&](incarnation_id id) { return find_entry(id) == nullptr; });

    const auto* own = find_entry(self_.incarnation);
    if (own == nullptr) {
        if (joined_) {
            removed_ = true;
            lease_expiry_ = std::min(lease_expiry_, now);
            home_claims_.clear();
        }
        return;
    }
    joined_ = true;
    const auto sent = write_sent_at_.find(own->renewal);
    if (sent != write_sent_at_.end()) {
        lease_expiry_ = sent->second + roster_lease;
        renew_at_ = sent->second + roster_renewal_interval;
        write_sent_at_.erase(write_sent_at_.begin(), sent);
    }
}

void zone_roster::write_failed(time_ms now) {
    write_in_flight_ = false;
    const auto spread = rendezvous_weight(std::to_string(renewal_), self_.incarnation) % retry_jitter_ms;
    retry_at_ = now + time_ms{static_cast<std::int64_t>(spread) + 1};
}

// Whether this VM is the one that removes expired entries at once. The others do so only along with their own
// renewals, so that the VMs of the zone do not all race to write the same revision.
bool zone_roster::is_designated_remover(time_ms now) const {
    bool any_expired = false;
    const roster_entry* chosen = nullptr;
    for (const auto& entry : object_.entries) {
        if (lease_expired(now, entry)) {
            any_expired = true;
        } else if (chosen == nullptr || rendezvous_weight(key_, entry.id.incarnation) >
                                            rendezvous_weight(key_, chosen->id.incarnation)) {
            chosen = &entry;
        }
    }
    return any_expired && chosen != nullptr && chosen->id.incarnation == self_.incarnation;
}

std::optional<conditional_write> zone_roster::next_write(time_ms now) {
    if (!observed_once_ || write_in_flight_ || removed_ || now < retry_at_) {
        return std::nullopt;
    }
    if (leaving_ && !joined_) {
        return std::nullopt;
    }
    const auto* own = find_entry(self_.incarnation);
    const bool zone_list_due = own != nullptr && own->zone_list_id != zone_list_id_;
    if (joined_ && !leaving_ && now < renew_at_ && !zone_list_due && !is_designated_remover(now)) {
        return std::nullopt;
    }
    ++renewal_;
    roster_object next;
    next.written_by = fmt::format("{}:{}", to_hex(self_.incarnation), renewal_);
    for (const auto& entry : object_.entries) {
        if (entry.id.incarnation == self_.incarnation || lease_expired(now, entry)) {
            continue;
        }
        if (is_predecessor(entry)) {
            usable_from_ = now + max_loan_lifetime;
            continue;
        }
        if (!joined_) {
            missing_handovers_.insert(entry.id.incarnation);
        }
        next.entries.push_back(entry);
    }
    if (!leaving_) {
        next.entries.push_back({self_, boot_id_, renewal_, zone_list_id_});
    }
    write_sent_at_[renewal_] = now;
    write_in_flight_ = true;
    return conditional_write{key_, revision_, to_json(next)};
}

time_ms zone_roster::next_wakeup() const {
    if (removed_ || !observed_once_) {
        return far_future;
    }
    time_ms wake = joined_ ? renew_at_ : retry_at_;
    for (const auto& [id, seen] : observations_) {
        wake = std::min(wake, seen.unchanged_since + with_clock_drift(roster_lease));
    }
    if (joined_ && !missing_handovers_.empty()) {
        wake = std::min(wake, next_handover_request_);
    }
    return std::max(wake, retry_at_);
}

std::optional<peer_id> zone_roster::home_of(std::string_view budget) const {
    const auto highest =
        std::max_element(object_.entries.begin(), object_.entries.end(), [&](const auto& a, const auto& b) {
            return rendezvous_weight(budget, a.id.incarnation) < rendezvous_weight(budget, b.id.incarnation);
        });
    return highest == object_.entries.end() ? std::nullopt : std::optional(highest->id);
}

home_term zone_roster::term(time_ms now, std::string_view budget) {
    const auto home = home_of(budget);
    const bool own = home && home->incarnation == self_.incarnation && joined_ &&
                     missing_handovers_.empty() && now < lease_expiry_ && !leaving_ && !removed_;
    const auto claim = home_claims_.find(budget);
    if (!own) {
        if (claim != home_claims_.end()) {
            home_claims_.erase(claim);
        }
        return {};
    }
    if (claim != home_claims_.end()) {
        return {true, lease_expiry_, claim->second};
    }
    const time_ms usable_from = std::max(usable_from_, last_removal_ + max_loan_lifetime);
    home_claims_.emplace(budget, usable_from);
    return {true, lease_expiry_, usable_from};
}

void zone_roster::shares_dropped(time_ms clear) {
    shares_dropped_ = true;
    shares_dropped_revision_ = revision_;
    loans_expire_at_ = clear;
}

void zone_roster::on_message(time_ms now, const peer_id& from, const home_handover& message) {
    if (!message.request) {
        missing_handovers_.erase(from.incarnation);
        return;
    }
    // If there is no answer yet, the sender repeats the request.
    const bool holds_nothing =
        shares_dropped_ && shares_dropped_revision_ == revision_ && now >= loans_expire_at_;
    if (holds_nothing && find_entry(from.incarnation) != nullptr) {
        actions_.push_back({from, home_handover{false}});
    }
}

std::vector<send_action> zone_roster::take_actions(time_ms now) {
    if (joined_ && !removed_ && !missing_handovers_.empty() && now >= next_handover_request_) {
        next_handover_request_ = now + handover_request_interval;
        for (const auto id : missing_handovers_) {
            if (const auto* entry = find_entry(id)) {
                actions_.push_back({entry->id, home_handover{true}});
            }
        }
    }
    return std::exchange(actions_, {});
}

std::uint64_t zone_roster::lowest_announced_zone_list_id() const {
    std::uint64_t lowest = UINT64_MAX;
    for (const auto& entry : object_.entries) {
        lowest = std::min(lowest, entry.zone_list_id);
    }
    return object_.entries.empty() ? 0 : lowest;
}

} // namespace lacewing
