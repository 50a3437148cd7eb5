#include "coordination/home_control.h"

#include "state/error_kind.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace lacewing {

namespace {

constexpr std::string_view budget_prefix = "budget/";

std::size_t index_of(const std::vector<zone_name>& zones, const zone_name& zone) {
    return static_cast<std::size_t>(std::find(zones.begin(), zones.end(), zone) - zones.begin());
}

// Identifies a list of zones: the same list gives the same number in every process.
std::uint64_t hash_zone_list(const std::vector<zone_name>& zones) {
    std::string joined;
    for (const auto& zone : zones)
        joined += zone.value + "\n";
    return rendezvous_weight(joined, incarnation_id{});
}

std::string slot_budget_name(const slot_share_update& endpoint, std::int64_t slot) {
    return fmt::format("slot/{}/{}/{}", endpoint.route, endpoint.endpoint, slot);
}

std::int64_t split_evenly(std::int64_t amount, std::size_t index, std::size_t zones) {
    const auto count = static_cast<std::int64_t>(zones);
    return amount / count + (static_cast<std::int64_t>(index) < amount % count ? 1 : 0);
}

} // namespace

std::string account_budget_name(const account_name& name) {
    return "account/" + name.value;
}

budget_amount zone_share(budget_amount fleet_amount, std::size_t index, std::size_t zones) {
    if (index >= zones) return {};
    return {split_evenly(fleet_amount.rate, index, zones), split_evenly(fleet_amount.capacity, index, zones),
            0};
}

home_control::home_control(const peer_id& self, const std::string& boot_id)
    : self_(self), roster_(self, boot_id),
      // Sequences differ between incarnations, so a late confirmation for an earlier one matches no batch.
      batch_sequence_(rendezvous_weight("batch", self.incarnation) >> 16U) {}

void home_control::update(const configuration& config) {
    fleet_budgets_.clear();
    for (const auto& account : config.accounts) {
        const auto* plan = config.find_plan(account.plan.value);
        if (plan == nullptr) continue;
        // One request per second is 1000 micro-tokens per millisecond.
        fleet_budgets_[account_budget_name(account.name)] = {plan->rate_per_s * 1000, plan->burst * 1'000'000,
                                                             0};
    }
    zone_endpoints_.clear();
    for (const auto& route : config.routes) {
        for (const auto& endpoint : route.endpoints) {
            if (endpoint.zone != self_.zone) continue;
            zone_endpoints_.push_back({route.name.value, endpoint.name.value, endpoint.slots, {}, {}});
        }
    }
    std::vector<zone_name> zones;
    for (const auto& zone : config.zones)
        zones.push_back(zone.name);
    if (zones != current_zones_) {
        const bool first_list = current_zones_.empty();
        current_zones_ = zones;
        unsettled_zone_lists_.push_back(current_zones_);
        zone_list_id_ = hash_zone_list(current_zones_);
        zone_list_sent_ = false;
        zone_list_confirmed_ = false;
        announced_revision_ = {};
        batch_due_ = true;
        // A new process has no shares to reduce, so it announces its first list at once.
        if (first_list) roster_.announce_zone_list_id(zone_list_id_);
    }
    const auto* own = config.find_zone(self_.zone.value);
    const auto distance = [&](const zone& other) {
        if (other.name == self_.zone) return 0;
        return own != nullptr && other.region == own->region ? 1 : 2;
    };
    auto ordered = config.zones;
    std::stable_sort(ordered.begin(), ordered.end(),
                     [&](const auto& a, const auto& b) { return distance(a) < distance(b); });
    zones_by_distance_.clear();
    for (const auto& zone : ordered)
        zones_by_distance_.push_back(zone.name);
}

void home_control::observe(time_ms now, const object_event& object) {
    if (!object.key.starts_with(budget_prefix)) return;
    const auto zone = object.key.substr(budget_prefix.size());
    if (zone == self_.zone.value) {
        roster_.observe(now, object);
        batch_due_ = true;
    }
    auto& held = rosters_[zone];
    if (object.revision < held.revision) return;
    auto next = object.deleted() ? roster_object{} : parse_roster(*object.value);
    const auto is_listed = [](const roster_object& roster, incarnation_id id) {
        return std::any_of(roster.entries.begin(), roster.entries.end(),
                           [&](const auto& entry) { return entry.id.incarnation == id; });
    };
    for (const auto& entry : held.object.entries) {
        if (!is_listed(next, entry.id.incarnation)) removed_loans_expire_at_ = now + max_loan_lifetime;
    }
    held.revision = object.revision;
    held.object = std::move(next);
    if (zone != self_.zone.value || announced_revision_.value != 0) return;
    const auto& entries = held.object.entries;
    const auto own = std::find_if(entries.begin(), entries.end(), [&](const auto& entry) {
        return entry.id.incarnation == self_.incarnation;
    });
    const bool announced =
        roster_.zone_list_id() == zone_list_id_ && own != entries.end() && own->zone_list_id == zone_list_id_;
    if (announced) announced_revision_ = held.revision;
}

void home_control::applied(const home_batch_confirmation& confirmation) {
    if (confirmation.sequence != batch_sequence_) return;
    batch_unconfirmed_ = false;
    confirmed_once_ = true;
    zone_list_confirmed_ = zone_list_sent_;
    release_confirmed_ = release_batch_sent_;
    loans_expire_at_ = std::max(loans_expire_at_, confirmation.clear);
    if (!batch_due_) roster_.shares_dropped(loans_expire_at_);
}

std::optional<home_batch> home_control::refresh(time_ms now) {
    if (current_zones_.empty() || batch_unconfirmed_) return std::nullopt;
    announce_zone_list(now);
    forget_earlier_zone_lists(now);
    home_batch batch;
    for (const auto& [budget, fleet_amount] : fleet_budgets_) {
        const auto term = leaving_ ? home_term{} : roster_.term(now, budget);
        const home_share_update wanted{budget, term.home,
                                       term.home ? own_share(fleet_amount) : budget_amount{},
                                       term.lease_expiry, term.usable_from};
        const auto held = held_shares_.find(budget);
        const bool same = held == held_shares_.end() ? !term.home : held->second == wanted;
        if (!same) batch.homes.push_back(wanted);
        auto lenders = find_lenders(budget);
        if (sent_lenders_[budget] == lenders) continue;
        sent_lenders_[budget] = lenders;
        batch.lenders.push_back({budget, std::move(lenders)});
    }
    for (const auto& [budget, update] : held_shares_) {
        if (!fleet_budgets_.contains(budget)) batch.homes.push_back({budget, false, {}, {}, {}});
    }
    for (const auto& update : batch.homes) {
        if (update.held) {
            check_share(update);
            held_shares_[update.budget] = update;
        } else {
            held_shares_.erase(update.budget);
        }
    }
    add_slot_updates(now, batch);
    add_slot_lender_updates(batch);
    const bool release_due = leaving_ && !release_batch_sent_;
    if (batch.homes.empty() && batch.lenders.empty() && batch.slots.empty() && batch.slot_lenders.empty() &&
        !batch_due_ && !release_due)
        return std::nullopt;
    batch_due_ = false;
    zone_list_sent_ = true;
    release_batch_sent_ = leaving_;
    batch.sequence = ++batch_sequence_;
    batch_unconfirmed_ = true;
    return batch;
}

// Adds the changes of the slots that this VM holds. Each slot of an endpoint of the zone has one home, as if
// it were a budget.
void home_control::add_slot_updates(time_ms now, home_batch& batch) {
    std::map<std::pair<std::string, std::string>, slot_share_update> wanted;
    for (const auto& endpoint : zone_endpoints_) {
        auto& share = wanted[{endpoint.route, endpoint.endpoint}];
        share = {endpoint.route, endpoint.endpoint, 0, {}, {}};
        for (std::int64_t slot = 0; slot < endpoint.slots && !leaving_; ++slot) {
            const auto term = roster_.term(now, slot_budget_name(endpoint, slot));
            if (!term.home) continue;
            ++share.slots;
            share.lease_expiry = term.lease_expiry;
            share.usable_from = std::max(share.usable_from, term.usable_from);
        }
    }
    for (const auto& [key, share] : wanted) {
        if (held_slots_[key] != share) batch.slots.push_back(share);
    }
    for (const auto& [key, share] : held_slots_) {
        if (!wanted.contains(key)) batch.slots.push_back({key.first, key.second, 0, {}, {}});
    }
    held_slots_ = std::move(wanted);
}

// Adds the other homes of each route's slots, which a VM without a free slot can ask for one.
void home_control::add_slot_lender_updates(home_batch& batch) {
    std::map<std::string, std::set<peer_id>> wanted;
    for (const auto& endpoint : zone_endpoints_) {
        auto& lenders = wanted[endpoint.route];
        for (std::int64_t slot = 0; slot < endpoint.slots; ++slot) {
            const auto home = roster_.home_of(slot_budget_name(endpoint, slot));
            if (home && home->incarnation != self_.incarnation) lenders.insert(*home);
        }
    }
    for (const auto& [route, lenders] : wanted) {
        const auto held = slot_lenders_.find(route);
        if (held != slot_lenders_.end() && held->second == lenders) continue;
        batch.slot_lenders.push_back({route, {lenders.begin(), lenders.end()}});
    }
    slot_lenders_ = std::move(wanted);
}

// Whether every listed VM, that is every one that may hold shares, announces the same list of zones as this
// one.
bool home_control::all_announce_own_zone_list() const {
    for (const auto& [zone, view] : rosters_) {
        for (const auto& entry : view.object.entries) {
            if (entry.zone_list_id != zone_list_id_) return false;
        }
    }
    return true;
}

// Drops the earlier lists of zones once no VM divides budgets by them any more.
void home_control::forget_earlier_zone_lists(time_ms now) {
    const bool announcements_read =
        announced_revision_.value != 0 && replicated_revision_ >= announced_revision_;
    if (!announcements_read || now < removed_loans_expire_at_ || !all_announce_own_zone_list()) return;
    unsettled_zone_lists_ = {current_zones_};
    zone_lists_agreed_once_ = true;
}

budget_amount home_control::own_share(const budget_amount& fleet_amount) const {
    if (!zone_lists_agreed_once_) return {};
    auto share = zone_share(fleet_amount, index_of(current_zones_, self_.zone), current_zones_.size());
    for (const auto& zones : unsettled_zone_lists_) {
        const auto earlier = zone_share(fleet_amount, index_of(zones, self_.zone), zones.size());
        share.rate = std::min(share.rate, earlier.rate);
        share.capacity = std::min(share.capacity, earlier.capacity);
    }
    return share;
}

// Throws if a share exceeds what the zone owns of the budget; active in every build type.
void home_control::check_share(const home_share_update& update) const {
    const auto budget = fleet_budgets_.find(update.budget);
    const auto share =
        budget == fleet_budgets_.end()
            ? budget_amount{}
            : zone_share(budget->second, index_of(current_zones_, self_.zone), current_zones_.size());
    if (update.amount.rate > share.rate || update.amount.capacity > share.capacity) {
        throw budget_invariant_error(fmt::format("budget '{}': the home share exceeds the share of zone '{}'",
                                                 update.budget, self_.zone.value));
    }
}

// Announces the list of zones once the shares under it are in force and loans beyond them have expired.
void home_control::announce_zone_list(time_ms now) {
    if (zone_list_confirmed_ && now >= loans_expire_at_) roster_.announce_zone_list_id(zone_list_id_);
}

bool home_control::left() const {
    const auto& entries = roster_.entries();
    return std::none_of(entries.begin(), entries.end(),
                        [&](const auto& entry) { return entry.id.incarnation == self_.incarnation; });
}

bool home_control::ready(time_ms now) const {
    if (!roster_.established() || batch_unconfirmed_ || batch_due_ || !zone_lists_agreed_once_ ||
        unsettled_zone_lists_.size() != 1)
        return false;
    return std::all_of(held_shares_.begin(), held_shares_.end(),
                       [now](const auto& share) { return share.second.usable_from <= now; });
}

std::optional<conditional_write> home_control::next_write(time_ms now) {
    // The first write replaces the entry of an earlier incarnation. Its requests in flight must have ended,
    // as the first confirmation states.
    if (current_zones_.empty() || !confirmed_once_) return std::nullopt;
    if (leaving_ && release_confirmed_ && !batch_unconfirmed_ && now >= loans_expire_at_) roster_.leave();
    return roster_.next_write(now);
}

std::vector<peer_id> home_control::find_lenders(const std::string& budget) const {
    std::vector<peer_id> lenders;
    for (const auto& zone : zones_by_distance_) {
        const auto found = rosters_.find(zone.value);
        if (found == rosters_.end() || found->second.object.entries.empty()) continue;
        const auto& entries = found->second.object.entries;
        const auto home = std::max_element(entries.begin(), entries.end(), [&](const auto& a, const auto& b) {
            return rendezvous_weight(budget, a.id.incarnation) < rendezvous_weight(budget, b.id.incarnation);
        });
        if (home->id.incarnation != self_.incarnation) lenders.push_back(home->id);
    }
    return lenders;
}

} // namespace lacewing
