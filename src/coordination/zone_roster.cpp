#include "coordination/zone_roster.h"

#include "state/error_kind.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <fmt/format.h>
#include <json/json.h>

namespace lacewing {

namespace {

constexpr time_ms ask_interval{1000};

// Writers that lost a race spread their next attempts over this time.
constexpr std::int64_t retry_spread_ms = 500;

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
        item["layout"] = Json::UInt64{entry.layout};
        root["vms"].append(item);
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, root);
}

roster_object parse_roster(std::string_view text) {
    Json::Value root;
    std::string errors;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &root, &errors) || !root.isObject()) {
        throw error(error_kind::bad_request, "budget roster: " + errors);
    }
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
            entry.layout = item["layout"].asUInt64();
            roster.entries.push_back(std::move(entry));
        }
        return roster;
    } catch (const Json::Exception& failure) {
        throw error(error_kind::bad_request, fmt::format("budget roster: {}", failure.what()));
    }
}

zone_roster::zone_roster(peer_id self, std::string boot_id)
    : self_(std::move(self)), boot_id_(std::move(boot_id)), key_("budget/" + self_.zone.value) {}

const roster_entry* zone_roster::listed(incarnation_id incarnation) const {
    const auto found = std::find_if(object_.entries.begin(), object_.entries.end(),
                                    [&](const auto& entry) { return entry.id.incarnation == incarnation; });
    return found == object_.entries.end() ? nullptr : &*found;
}

bool zone_roster::expired(time_ms now, const roster_entry& entry) const {
    const auto found = observations_.find(entry.id.incarnation);
    return found != observations_.end() && now >= found->second.since + with_clock_drift(roster_lease);
}

// Whether an entry is that of a predecessor of this process: the same boot of the host and the bound address
// prove that the old process is gone.
bool zone_roster::replaces(const roster_entry& entry) const {
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
    in_flight_ = false;
    dropped_ = false;

    std::map<incarnation_id, observation> observations;
    for (const auto& entry : object_.entries) {
        const auto known = observations_.find(entry.id.incarnation);
        const bool unchanged = known != observations_.end() && known->second.entry == entry;
        observations[entry.id.incarnation] = {entry, unchanged ? known->second.since : now};
    }
    observations_ = std::move(observations);
    std::erase_if(missing_, [&](incarnation_id id) { return listed(id) == nullptr; });

    const auto* own = listed(self_.incarnation);
    if (own == nullptr) {
        if (joined_) {
            removed_ = true;
            lease_expiry_ = std::min(lease_expiry_, now);
            claims_.clear();
        }
        return;
    }
    joined_ = true;
    const auto sent = sent_.find(own->renewal);
    if (sent != sent_.end()) {
        lease_expiry_ = sent->second + roster_lease;
        renew_at_ = sent->second + roster_renewal;
        sent_.erase(sent_.begin(), sent);
    }
}

void zone_roster::write_failed(time_ms now) {
    in_flight_ = false;
    const auto spread = rendezvous_weight(std::to_string(renewal_), self_.incarnation) % retry_spread_ms;
    retry_at_ = now + time_ms{static_cast<std::int64_t>(spread) + 1};
}

// One VM removes expired entries at once; the others do so only along with their renewals, which avoids a
// race of all VMs of the zone for the same revision.
bool zone_roster::removes_for_others(time_ms now) const {
    bool any_expired = false;
    const roster_entry* chosen = nullptr;
    for (const auto& entry : object_.entries) {
        if (expired(now, entry)) {
            any_expired = true;
        } else if (chosen == nullptr || rendezvous_weight(key_, entry.id.incarnation) >
                                            rendezvous_weight(key_, chosen->id.incarnation)) {
            chosen = &entry;
        }
    }
    return any_expired && chosen != nullptr && chosen->id.incarnation == self_.incarnation;
}

std::optional<conditional_write> zone_roster::next_write(time_ms now) {
    if (!observed_once_ || in_flight_ || removed_ || now < retry_at_) {
        return std::nullopt;
    }
    if (leaving_ && !joined_) {
        return std::nullopt;
    }
    const auto* own = listed(self_.incarnation);
    const bool layout_due = own != nullptr && own->layout != layout_;
    if (joined_ && !leaving_ && now < renew_at_ && !layout_due && !removes_for_others(now)) {
        return std::nullopt;
    }
    ++renewal_;
    roster_object next;
    next.written_by = fmt::format("{}:{}", to_hex(self_.incarnation), renewal_);
    for (const auto& entry : object_.entries) {
        if (entry.id.incarnation == self_.incarnation || expired(now, entry)) {
            continue;
        }
        if (replaces(entry)) {
            usable_from_ = now + max_loan_lifetime;
            continue;
        }
        if (!joined_) {
            missing_.insert(entry.id.incarnation);
        }
        next.entries.push_back(entry);
    }
    if (!leaving_) {
        next.entries.push_back({self_, boot_id_, renewal_, layout_});
    }
    sent_[renewal_] = now;
    in_flight_ = true;
    return conditional_write{key_, revision_, to_json(next)};
}

time_ms zone_roster::next_wakeup() const {
    if (removed_ || !observed_once_) {
        return far_future;
    }
    time_ms wake = joined_ ? renew_at_ : retry_at_;
    for (const auto& [id, seen] : observations_) {
        wake = std::min(wake, seen.since + with_clock_drift(roster_lease));
    }
    if (joined_ && !missing_.empty()) {
        wake = std::min(wake, ask_at_);
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
    const bool own = home && home->incarnation == self_.incarnation && joined_ && missing_.empty() &&
                     now < lease_expiry_ && !leaving_ && !removed_;
    const auto claim = claims_.find(budget);
    if (!own) {
        if (claim != claims_.end()) {
            claims_.erase(claim);
        }
        return {};
    }
    if (claim != claims_.end()) {
        return {true, lease_expiry_, claim->second};
    }
    const time_ms usable_from = std::max(usable_from_, last_removal_ + max_loan_lifetime);
    claims_.emplace(budget, usable_from);
    return {true, lease_expiry_, usable_from};
}

void zone_roster::dropped(time_ms clear) {
    dropped_ = true;
    dropped_revision_ = revision_;
    clear_ = clear;
}

void zone_roster::on_message(time_ms now, const peer_id& from, const home_handover& message) {
    if (!message.request) {
        missing_.erase(from.incarnation);
        return;
    }
    // Without an answer the sender asks again.
    const bool holds_nothing = dropped_ && dropped_revision_ == revision_ && now >= clear_;
    if (holds_nothing && listed(from.incarnation) != nullptr) {
        actions_.push_back({from, home_handover{false}});
    }
}

std::vector<send_action> zone_roster::take_actions(time_ms now) {
    if (joined_ && !removed_ && !missing_.empty() && now >= ask_at_) {
        ask_at_ = now + ask_interval;
        for (const auto id : missing_) {
            if (const auto* entry = listed(id)) {
                actions_.push_back({entry->id, home_handover{true}});
            }
        }
    }
    return std::exchange(actions_, {});
}

std::uint64_t zone_roster::applied_layout() const {
    std::uint64_t lowest = UINT64_MAX;
    for (const auto& entry : object_.entries) {
        lowest = std::min(lowest, entry.layout);
    }
    return object_.entries.empty() ? 0 : lowest;
}

} // namespace lacewing
