#pragma once

#include "coordination/zone_roster.h"
#include "state/configuration.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewing {

/// @brief Share of a budget of which this VM is the home, or the end of that role.
struct home_share_update {
    std::string budget;
    bool held = false;
    budget_amount amount;
    time_ms lease_expiry;
    time_ms usable_from;

    bool operator==(const home_share_update& other) const {
        return budget == other.budget && held == other.held && amount.rate == other.amount.rate &&
               amount.capacity == other.amount.capacity && lease_expiry == other.lease_expiry &&
               usable_from == other.usable_from;
    }
};

/// @brief Homes that this VM may ask for loans of a budget, nearest first.
struct lender_update {
    std::string budget;
    std::vector<peer_id> lenders;
};

/// @brief Slots of an endpoint that this VM may use.
struct slot_share_update {
    std::string route;
    std::string endpoint;
    std::int64_t slots = 0;
    time_ms lease_expiry;
    time_ms usable_from;

    bool operator==(const slot_share_update&) const = default;
};

/// @brief Other VMs of the zone that hold slots of a route's endpoints.
struct slot_lender_update {
    std::string route;
    std::vector<peer_id> lenders;
};

/// @brief Changes for the owner of the buckets.
struct home_batch {
    std::uint64_t sequence = 0;
    std::vector<home_share_update> homes;
    std::vector<lender_update> lenders;
    std::vector<slot_share_update> slots;
    std::vector<slot_lender_update> slot_lenders;
};

/// @brief Confirms a batch: from `clear` on, no loan exceeds the shares that the batch left, and no endpoint
/// has more requests in flight from this VM than the slots that the batch left.
struct home_batch_confirmation {
    std::uint64_t sequence = 0;
    time_ms clear;
};

/// @brief Name of the budget for the rate and burst of an account.
std::string account_budget_name(const account_name& name);

/// @brief Part of a fleet-wide amount that one zone owns; the parts of all zones add up to the amount.
/// @param index Position of the zone among all zones.
budget_amount zone_part(budget_amount whole, std::size_t index, std::size_t zones);

/// @brief Decides which home shares this VM holds: connects the configuration, the roster of the own zone and
/// the rosters of the other zones. Times are those of the local monotonic clock.
///
/// The list of zones decides how budgets are divided. After it has changed, a VM holds the smallest of the
/// parts that follow from the lists since the last settled one, until every entry of every roster announces
/// the new list. A new process holds nothing until then. Each VM announces its list before it reads the
/// announcements of the others (up to the revision of its own one), so of two VMs with different lists at
/// least one sees the difference, and the parts never add up to more than the whole although VMs apply the
/// configuration at different times.
class home_control {
public:
    home_control(const peer_id& self, const std::string& boot_id);

    /// @brief Takes a configuration that is in force.
    void update(const configuration& config);
    /// @brief Takes a replicated object; others than budget/<zone> are ignored.
    void observe(time_ms now, const object_event& object);
    /// @brief All objects up to this revision have been passed to observe() and update().
    void replicated(revision_id revision) { replicated_ = std::max(replicated_, revision); }
    /// @brief The owner of the buckets has applied a batch.
    void applied(const home_batch_confirmation& confirmation);

    /// @brief Changes since the last batch; nothing while a batch is unconfirmed or nothing has changed.
    std::optional<home_batch> refresh(time_ms now);

    /// @brief Starts to give up all shares; the roster entry is removed once the loans given have run out.
    void leave() { leaving_ = true; }
    /// @brief The own entry is removed, or was never written.
    [[nodiscard]] bool left() const;

    /// @brief Next write of the roster that is due.
    std::optional<conditional_write> next_write(time_ms now);
    /// @brief The shares that this VM is the home of are confirmed and usable.
    [[nodiscard]] bool ready(time_ms now) const;

    /// @brief Roster of the own zone, for the results of its writes and its messages.
    zone_roster& roster() { return roster_; }

private:
    struct zone_roster_view {
        revision_id revision;
        roster_object object;
    };

    [[nodiscard]] bool announcements_agree() const;
    void settle_layout(time_ms now);
    [[nodiscard]] budget_amount own_part(const budget_amount& whole) const;
    void check_part(const home_share_update& update) const;
    void refresh_slots(time_ms now, home_batch& batch);
    void refresh_slot_lenders(home_batch& batch);
    [[nodiscard]] std::vector<peer_id> lenders_of(const std::string& budget) const;
    void announce_layout(time_ms now);

    peer_id self_;
    zone_roster roster_;
    std::map<std::string, zone_roster_view> rosters_;
    // Zones by distance: own zone, own region, then the others in configured order.
    std::vector<zone_name> zones_by_distance_;
    std::vector<zone_name> zones_;
    // Lists of zones since the last settled one, which is the first.
    std::vector<std::vector<zone_name>> layouts_;
    // All announcements agreed once, so the first of layouts_ is known to the other VMs.
    bool settled_once_ = false;
    // Revision of the own roster entry with the present list; 0 while it is not announced.
    revision_id announced_at_;
    revision_id replicated_;
    // Earliest time at which the loans of VMs that left a roster have expired.
    time_ms removals_clear_{INT64_MIN / 4};
    std::uint64_t layout_ = 0;
    std::map<std::string, budget_amount> wholes_;
    std::map<std::string, home_share_update> held_;
    std::map<std::string, std::vector<peer_id>> lenders_;
    // Endpoints of the own zone with their configured slots, and what this VM holds of them.
    std::vector<slot_share_update> zone_slots_;
    std::map<std::pair<std::string, std::string>, slot_share_update> held_slots_;
    std::map<std::string, std::set<peer_id>> slot_lenders_;
    std::uint64_t sequence_ = 0;
    bool unconfirmed_ = false;
    bool confirmed_once_ = false;
    // A batch made after the last change of the list of zones has been sent, and confirmed.
    bool layout_sent_ = false;
    bool layout_applied_ = false;
    // The roster was observed, or the list of zones changed, after the last batch was made.
    bool confirmation_due_ = false;
    bool leaving_ = false;
    // A batch made after leave() has been sent, and confirmed.
    bool release_sent_ = false;
    bool released_ = false;
    time_ms clear_;
};

} // namespace lacewing
