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

/// @brief New state of one home share: its amount and lease if this VM holds it (`held`), or that it is given
/// up.
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

/// @brief Homes that this VM may borrow from for a budget, nearest first.
struct lender_update {
    std::string budget;
    std::vector<peer_id> lenders;
};

/// @brief Number of slots of an endpoint, that is of concurrent requests, that this VM may use.
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

/// @brief Changes for the thread that owns the token buckets and slots; it confirms each batch.
struct home_batch {
    std::uint64_t sequence = 0;
    std::vector<home_share_update> homes;
    std::vector<lender_update> lenders;
    std::vector<slot_share_update> slots;
    std::vector<slot_lender_update> slot_lenders;
};

/// @brief Confirms a batch. No endpoint has more requests in flight from this VM than its slots after the
/// batch, and from `clear` on no loans exceed the shares after the batch.
struct home_batch_confirmation {
    std::uint64_t sequence = 0;
    time_ms clear;
};

/// @brief Name of the budget that holds the rate and burst of an account.
std::string account_budget_name(const account_name& name);

/// @brief Share of a fleet-wide amount that one zone owns; the shares of all zones add up to the amount.
/// @param index Position of the zone in the list of zones; beyond its end the share is empty.
/// @param zones Number of zones.
budget_amount zone_share(budget_amount fleet_amount, std::size_t index, std::size_t zones);

/// @brief Decides which home shares and endpoint slots this VM holds, from the configuration and the rosters
/// of all zones. Times are those of the local monotonic clock.
///
/// The list of zones determines how budgets are divided. VMs apply a new list at different times. After a
/// change, a VM therefore holds the smallest of its zone's shares under all lists since the last one that was
/// in use everywhere, until every entry of every roster announces the new list. A new process holds nothing
/// until then. Each VM announces its list before it reads the announcements of the others (up to the revision
/// of its own), so of two VMs with different lists at least one sees the difference. The shares thus never
/// add up to more than the fleet-wide amount.
class home_control {
public:
    home_control(const peer_id& self, const std::string& boot_id);

    /// @brief Applies a configuration that has come into force.
    void update(const configuration& config);
    /// @brief Applies a replicated object; keys other than budget/<zone> are ignored.
    void observe(time_ms now, const object_event& object);
    /// @brief States that all objects up to this revision have been passed to observe() and update().
    void replicated(revision_id revision) { replicated_revision_ = std::max(replicated_revision_, revision); }
    /// @brief Handles the confirmation of a batch; any but that of the latest batch is ignored.
    void applied(const home_batch_confirmation& confirmation);

    /// @brief Returns the changes since the last batch, or nothing if there are none or a batch is
    /// unconfirmed.
    std::optional<home_batch> refresh(time_ms now);

    /// @brief Starts to give up all shares; the roster entry is removed once the loans from them have
    /// expired.
    void leave() { leaving_ = true; }
    /// @brief Whether the own zone's roster has no entry of this process.
    [[nodiscard]] bool left() const;

    /// @brief Returns the next write of the own zone's roster if one is due.
    std::optional<conditional_write> next_write(time_ms now);
    /// @brief Whether all shares that this VM is the home of are confirmed and usable.
    [[nodiscard]] bool ready(time_ms now) const;

    /// @brief Roster of the own zone, to report results of its writes and exchange its messages.
    zone_roster& roster() { return roster_; }

private:
    struct zone_roster_view {
        revision_id revision;
        roster_object object;
    };

    [[nodiscard]] bool all_announce_own_zone_list() const;
    void forget_earlier_zone_lists(time_ms now);
    [[nodiscard]] budget_amount own_share(const budget_amount& fleet_amount) const;
    void check_share(const home_share_update& update) const;
    void add_slot_updates(time_ms now, home_batch& batch);
    void add_slot_lender_updates(home_batch& batch);
    [[nodiscard]] std::vector<peer_id> find_lenders(const std::string& budget) const;
    void announce_zone_list(time_ms now);

    peer_id self_;
    zone_roster roster_;
    std::map<std::string, zone_roster_view> rosters_;
    // Own zone, then the others of the own region, then the rest; each group in configured order.
    std::vector<zone_name> zones_by_distance_;
    std::vector<zone_name> current_zones_;
    // Lists of zones that some VM may still divide budgets by, the present one last.
    std::vector<std::vector<zone_name>> unsettled_zone_lists_;
    // Whether all announcements have agreed since the process started; until then it holds no share.
    bool zone_lists_agreed_once_ = false;
    // Roster revision at which the own entry first announced the present list; 0 until then.
    revision_id announced_revision_;
    revision_id replicated_revision_;
    // Time at which all loans of VMs removed from a roster have expired.
    time_ms removed_loans_expire_at_{INT64_MIN / 4};
    // Hash of the present list of zones.
    std::uint64_t zone_list_id_ = 0;
    // Fleet-wide amounts by budget name.
    std::map<std::string, budget_amount> fleet_budgets_;
    std::map<std::string, home_share_update> held_shares_;
    std::map<std::string, std::vector<peer_id>> sent_lenders_;
    // Endpoints of the own zone with their configured slots, and the slots that this VM holds, by route and
    // endpoint.
    std::vector<slot_share_update> zone_endpoints_;
    std::map<std::pair<std::string, std::string>, slot_share_update> held_slots_;
    std::map<std::string, std::set<peer_id>> slot_lenders_;
    std::uint64_t batch_sequence_ = 0;
    bool batch_unconfirmed_ = false;
    bool confirmed_once_ = false;
    // Whether a batch made after the last change of the list of zones was sent, and whether it was confirmed.
    bool zone_list_sent_ = false;
    bool zone_list_confirmed_ = false;
    // Whether the own zone's roster was observed or the list of zones changed after the last batch. The next
    // batch is then due even if it is empty.
    bool batch_due_ = false;
    bool leaving_ = false;
    // Whether a batch made after leave() was sent, and whether it was confirmed.
    bool release_batch_sent_ = false;
    bool release_confirmed_ = false;
    // Time at which loans beyond the confirmed shares have expired.
    time_ms loans_expire_at_;
};

} // namespace lacewing
