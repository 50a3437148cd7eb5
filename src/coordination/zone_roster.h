#pragma once

#include "coordination/budget_manager.h"
#include "coordination/peer_message.h"
#include "state/object_event.h"
#include "state/time_ms.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// @brief Lease of an entry: 25 min, counted by its VM from the sending of its last write that took effect.
inline constexpr time_ms roster_lease{1'500'000};
/// @brief Time after which a VM renews its entry, counted like the lease.
inline constexpr time_ms roster_renewal_interval{300'000};

/// @brief One VM in the stored object `budget/<zone>`.
struct roster_entry {
    peer_id id;
    /// Kernel boot id of the VM's host.
    std::string boot_id;
    /// Increases with every write of the VM, so that observers see that the entry was renewed.
    std::uint64_t renewal = 0;
    /// Identifier of the list of zones by which the VM divides budgets; see
    /// zone_roster::announce_zone_list_id().
    std::uint64_t zone_list_id = 0;

    bool operator==(const roster_entry&) const = default;
};

/// @brief Content of `budget/<zone>`.
struct roster_object {
    std::vector<roster_entry> entries;
    /// `<incarnation>:<sequence>` of the last writer.
    std::string written_by;
};

/// @brief Formats a roster as JSON.
std::string to_json(const roster_object& roster);

/// @brief Parses a roster from JSON.
/// @throws error with error_kind::bad_request if the text is not a valid roster.
roster_object parse_roster(std::string_view text);

/// @brief Write to the store that takes effect only if the object has the expected revision (0: does not
/// exist).
struct conditional_write {
    std::string key;
    revision_id expected;
    std::string value;
};

/// @brief Whether this VM may hold the zone's share of a budget, and from when until when.
struct home_term {
    bool home = false;
    time_ms lease_expiry;
    time_ms usable_from;
};

/// @brief Maintains the stored object `budget/<zone>` from one VM: joins, renews the lease, removes expired
/// entries, and determines the home of each budget.
///
/// The home of a budget is the listed entry with the highest rendezvous weight. The weights of two entries
/// never change, so a new entry needs one hand-over from every entry listed before it: the statement that the
/// other VM has seen a roster with the new entry and holds no budget in which the new entry has the higher
/// weight. An entry that joins later starts from a roster with this one and never claims such a budget. An
/// entry leaves the roster when its lease has expired, when its VM leaves after its loans have expired, or
/// when its successor on the same host replaces it. A replaced process may leave loans behind, so a VM that
/// gains a budget after a removal waits for max_loan_lifetime.
///
/// Another VM's entry is removed only by a conditional write: an observer with an old view has the wrong
/// revision and so cannot end a lease that was renewed. Times are those of the local monotonic clock.
class zone_roster {
public:
    zone_roster(peer_id self, std::string boot_id);

    /// @brief Applies a state of the object from a watch, from a read, or after a write was answered with 412
    /// (precondition failed); older revisions are ignored. An object that does not exist has revision 0 and
    /// no value.
    void observe(time_ms now, const object_event& event);

    /// @brief Reports that the write in flight failed or was not answered. It is retried after a short delay
    /// that differs between VMs. If it took effect nevertheless, observe() recognises it.
    void write_failed(time_ms now);

    /// @brief Returns the next write if one is due: to join, renew, remove expired entries, or leave. The
    /// caller passes the written value and its revision to observe(), or calls write_failed().
    std::optional<conditional_write> next_write(time_ms now);

    /// @brief Time at which next_write() or take_actions() is due.
    [[nodiscard]] time_ms next_wakeup() const;

    /// @brief Starts to leave: the next write removes the own entry. Before that, the caller must have
    /// dropped all home shares and their loans must have expired.
    void leave() { leaving_ = true; }

    /// @brief Whether the own entry was removed; the process must continue under a new incarnation.
    [[nodiscard]] bool removed() const { return removed_; }

    /// @brief Whether the own entry is listed and every entry listed before it has handed over.
    [[nodiscard]] bool established() const { return joined_ && missing_handovers_.empty() && !removed_; }

    /// @brief Returns the home of a budget by the last observation, or nothing for an empty roster.
    [[nodiscard]] std::optional<peer_id> home_of(std::string_view budget) const;

    /// @brief Returns whether and when this VM may hold the zone's share of a budget. The caller asks for
    /// every budget after each observation and each message, and drops the share where the answer is no.
    home_term term(time_ms now, std::string_view budget);

    /// @brief Reports that all shares that term() denied at the last observation are dropped.
    /// @param clear Time by which all loans from these shares have expired.
    void shares_dropped(time_ms clear);

    /// @brief Handles a hand-over request or the answer to one.
    void on_message(time_ms now, const peer_id& from, const home_handover& message);

    /// @brief Returns the messages to send: answers, and every second requests to the entries that have not
    /// handed over.
    std::vector<send_action> take_actions(time_ms now);

    /// @brief Announces with the next write that this VM divides budgets by the identified list of zones, and
    /// that its loans fit into the resulting shares.
    void announce_zone_list_id(std::uint64_t zone_list_id) { zone_list_id_ = zone_list_id; }
    [[nodiscard]] std::uint64_t zone_list_id() const { return zone_list_id_; }

    /// @brief Lowest zone list identifier announced by the listed entries; 0 for an empty roster.
    [[nodiscard]] std::uint64_t lowest_announced_zone_list_id() const;

    [[nodiscard]] const std::vector<roster_entry>& entries() const { return object_.entries; }

private:
    struct entry_observation {
        roster_entry entry;
        // When this VM first saw the entry in this state; its lease is counted from here.
        time_ms unchanged_since;
    };

    [[nodiscard]] const roster_entry* find_entry(incarnation_id incarnation) const;
    [[nodiscard]] bool lease_expired(time_ms now, const roster_entry& entry) const;
    [[nodiscard]] bool is_predecessor(const roster_entry& entry) const;
    [[nodiscard]] bool is_designated_remover(time_ms now) const;

    peer_id self_;
    std::string boot_id_;
    std::string key_;
    roster_object object_;
    revision_id revision_;
    bool observed_once_ = false;
    std::map<incarnation_id, entry_observation> observations_;
    /// Sending times of own writes by renewal number, until a later one is observed.
    std::map<std::uint64_t, time_ms> write_sent_at_;
    std::uint64_t renewal_ = 0;
    time_ms lease_expiry_{INT64_MIN / 4};
    time_ms renew_at_{INT64_MIN / 4};
    time_ms usable_from_{INT64_MIN / 4};
    time_ms last_removal_{INT64_MIN / 4};
    time_ms retry_at_{INT64_MIN / 4};
    bool joined_ = false;
    bool removed_ = false;
    bool leaving_ = false;
    bool write_in_flight_ = false;
    /// Entries listed before the own one that have not handed over.
    std::set<incarnation_id> missing_handovers_;
    time_ms next_handover_request_{INT64_MIN / 4};
    std::vector<send_action> actions_;
    /// Budgets whose share this VM may hold, with the earliest time of use.
    std::map<std::string, time_ms, std::less<>> home_claims_;
    /// Roster revision at which the shares denied by it were last dropped.
    revision_id shares_dropped_revision_;
    bool shares_dropped_ = false;
    time_ms loans_expire_at_;
    std::uint64_t zone_list_id_ = 0;
};

} // namespace lacewing
