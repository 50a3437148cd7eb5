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

// Identifies a list of zones; processes that apply the same list get the same number.
std::uint64_t layout_of(const std::vector<zone_name>& zones) {
    std::string joined;
    for (const auto& zone : zones)
        joined += zone.value + "\n";
    return rendezvous_weight(joined, incarnation_id{});
}

std::string slot_budget(const slot_share_update& endpoint, std::int64_t slot) {
    return fmt::format("slot/{}/{}/{}", endpoint.route, endpoint.endpoint, slot);
}

std::int64_t part_of(std::int64_t whole, std::size_t index, std::size_t zones) {
    const auto count = static_cast<std::int64_t>(zones);
    return whole / count + (static_cast<std::int64_t>(index) < whole % count ? 1 : 0);
}

} // namespace

std::string account_budget_name(const account_name& name) {
    return "account/" + name.value;
}

budget_amount zone_part(budget_amount whole, std::size_t index, std::size_t zones) {
    if (index >= zones) return {};
    return {part_of(whole.rate, index, zones), part_of(whole.capacity, index, zones), 0};
}

home_control::home_control(const peer_id& self, const std::string& boot_id)
    : self_(self), roster_(self, boot_id),
      // A confirmation that was on its way when the process changed its incarnation matches no batch.
      sequence_(rendezvous_weight("batch", self.incarnation) >> 16U) {}

void home_control::update(const configuration& config) {
    wholes_.clear();
    for (const auto& account : config.accounts) {
        const auto* plan = config.find_plan(account.plan.value);
        if (plan == nullptr) continue;
        // Micro-tokens per millisecond are thousandths of a request per second.
        wholes_[account_budget_name(account.name)] = {plan->rate_per_s * 1000, plan->burst * 1'000'000, 0};
    }
    zone_slots_.clear();
    for (const auto& route : config.routes) {
        for (const auto& endpoint : route.endpoints) {
            if (endpoint.zone != self_.zone) continue;
            zone_slots_.push_back({route.name.value, endpoint.name.value, endpoint.slots, {}, {}});
        }
    }
    std::vector<zone_name> zones;
    for (const auto& zone : config.zones)
        zones.push_back(zone.name);
    if (zones != zones_) {
        const bool first = zones_.empty();
        zones_ = zones;
        layouts_.push_back(zones_);
        layout_ = layout_of(zones_);
        layout_sent_ = false;
        layout_applied_ = false;
        announced_at_ = {};
        confirmation_due_ = true;
        // A new process has no shares to reduce.
        if (first) roster_.set_layout(layout_);
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
        confirmation_due_ = true;
    }
    auto& held = rosters_[zone];
    if (object.revision < held.revision) return;
    auto next = object.deleted() ? roster_object{} : parse_roster(*object.value);
    const auto listed = [](const roster_object& roster, incarnation_id id) {
        return std::any_of(roster.entries.begin(), roster.entries.end(),
                           [&](const auto& entry) { return entry.id.incarnation == id; });
    };
    for (const auto& entry : held.object.entries) {
        if (!listed(next, entry.id.incarnation)) removals_clear_ = now + max_loan_lifetime;
    }
    held.revision = object.revision;
    held.object = std::move(next);
    if (zone != self_.zone.value || announced_at_.value != 0) return;
    const auto& entries = held.object.entries;
    const auto own = std::find_if(entries.begin(), entries.end(), [&](const auto& entry) {
        return entry.id.incarnation == self_.incarnation;
    });
    const bool announced = roster_.layout() == layout_ && own != entries.end() && own->layout == layout_;
    if (announced) announced_at_ = held.revision;
}

void home_control::applied(const home_batch_confirmation& confirmation) {
    if (confirmation.sequence != sequence_) return;
    unconfirmed_ = false;
    confirmed_once_ = true;
    layout_applied_ = layout_sent_;
    released_ = release_sent_;
    clear_ = std::max(clear_, confirmation.clear);
    if (!confirmation_due_) roster_.dropped(clear_);
}

std::optional<home_batch> home_control::refresh(time_ms now) {
    if (zones_.empty() || unconfirmed_) return std::nullopt;
    announce_layout(now);
    settle_layout(now);
    home_batch batch;
    for (const auto& [budget, whole] : wholes_) {
        const auto term = leaving_ ? home_term{} : roster_.term(now, budget);
        const home_share_update wanted{budget, term.home, term.home ? own_part(whole) : budget_amount{},
                                       term.lease_expiry, term.usable_from};
        const auto held = held_.find(budget);
        const bool same = held == held_.end() ? !term.home : held->second == wanted;
        if (!same) batch.homes.push_back(wanted);
        auto lenders = lenders_of(budget);
        if (lenders_[budget] == lenders) continue;
        lenders_[budget] = lenders;
        batch.lenders.push_back({budget, std::move(lenders)});
    }
    for (const auto& [budget, update] : held_) {
        if (!wholes_.contains(budget)) batch.homes.push_back({budget, false, {}, {}, {}});
    }
    for (const auto& update : batch.homes) {
        if (update.held) {
            check_part(update);
            held_[update.budget] = update;
        } else {
            held_.erase(update.budget);
        }
    }
    refresh_slots(now, batch);
    refresh_slot_lenders(batch);
    const bool release_due = leaving_ && !release_sent_;
    if (batch.homes.empty() && batch.lenders.empty() && batch.slots.empty() && batch.slot_lenders.empty() &&
        !confirmation_due_ && !release_due)
        return std::nullopt;
    confirmation_due_ = false;
    layout_sent_ = true;
    release_sent_ = leaving_;
    batch.sequence = ++sequence_;
    unconfirmed_ = true;
    return batch;
}

// Divides the slots of the zone's endpoints: each slot is a budget of its own with one home.
void home_control::refresh_slots(time_ms now, home_batch& batch) {
    std::map<std::pair<std::string, std::string>, slot_share_update> wanted;
    for (const auto& endpoint : zone_slots_) {
        auto& share = wanted[{endpoint.route, endpoint.endpoint}];
        share = {endpoint.route, endpoint.endpoint, 0, {}, {}};
        for (std::int64_t slot = 0; slot < endpoint.slots && !leaving_; ++slot) {
            const auto term = roster_.term(now, slot_budget(endpoint, slot));
            if (!term.home) continue;
            ++share.slots;
            share.lease_expiry = term.lease_expiry;
            share.usable_from = std::max(share.usable_from, term.usable_from);
        }
    }
    for (const auto& [name, share] : wanted) {
        if (held_slots_[name] != share) batch.slots.push_back(share);
    }
    for (const auto& [name, share] : held_slots_) {
        if (!wanted.contains(name)) batch.slots.push_back({name.first, name.second, 0, {}, {}});
    }
    held_slots_ = std::move(wanted);
}

// Names the other homes of each route's slots; a VM without a free slot asks them.
void home_control::refresh_slot_lenders(home_batch& batch) {
    std::map<std::string, std::set<peer_id>> wanted;
    for (const auto& endpoint : zone_slots_) {
        auto& lenders = wanted[endpoint.route];
        for (std::int64_t slot = 0; slot < endpoint.slots; ++slot) {
            const auto home = roster_.home_of(slot_budget(endpoint, slot));
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

// Whether every VM that may hold shares announces the same list of zones as this one.
bool home_control::announcements_agree() const {
    for (const auto& [zone, view] : rosters_) {
        for (const auto& entry : view.object.entries) {
            if (entry.layout != layout_) return false;
        }
    }
    return true;
}

// Forgets the earlier lists of zones once no VM divides budgets by one of them.
void home_control::settle_layout(time_ms now) {
    const bool read = announced_at_.value != 0 && replicated_ >= announced_at_;
    if (!read || now < removals_clear_ || !announcements_agree()) return;
    layouts_ = {zones_};
    settled_once_ = true;
}

budget_amount home_control::own_part(const budget_amount& whole) const {
    if (!settled_once_) return {};
    auto part = zone_part(whole, index_of(zones_, self_.zone), zones_.size());
    for (const auto& zones : layouts_) {
        const auto earlier = zone_part(whole, index_of(zones, self_.zone), zones.size());
        part.rate = std::min(part.rate, earlier.rate);
        part.capacity = std::min(part.capacity, earlier.capacity);
    }
    return part;
}

// Guards every build against a share beyond the zone's part of the budget.
void home_control::check_part(const home_share_update& update) const {
    const auto whole = wholes_.find(update.budget);
    const auto part = whole == wholes_.end()
                          ? budget_amount{}
                          : zone_part(whole->second, index_of(zones_, self_.zone), zones_.size());
    if (update.amount.rate > part.rate || update.amount.capacity > part.capacity) {
        throw budget_invariant_error(fmt::format("budget '{}': the home share exceeds the part of zone '{}'",
                                                 update.budget, self_.zone.value));
    }
}

// Announces the list of zones once the shares that follow from it are in force and older loans have run out.
void home_control::announce_layout(time_ms now) {
    if (layout_applied_ && now >= clear_) roster_.set_layout(layout_);
}

bool home_control::left() const {
    const auto& entries = roster_.entries();
    return std::none_of(entries.begin(), entries.end(),
                        [&](const auto& entry) { return entry.id.incarnation == self_.incarnation; });
}

bool home_control::ready(time_ms now) const {
    if (!roster_.established() || unconfirmed_ || confirmation_due_ || !settled_once_ || layouts_.size() != 1)
        return false;
    return std::all_of(held_.begin(), held_.end(),
                       [now](const auto& share) { return share.second.usable_from <= now; });
}

std::optional<conditional_write> home_control::next_write(time_ms now) {
    // An entry replaces the one of an earlier incarnation, whose requests in flight must have ended.
    if (zones_.empty() || !confirmed_once_) return std::nullopt;
    if (leaving_ && released_ && !unconfirmed_ && now >= clear_) roster_.leave();
    return roster_.next_write(now);
}

std::vector<peer_id> home_control::lenders_of(const std::string& budget) const {
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
