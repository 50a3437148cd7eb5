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

/// @brief Lease of an entry, counted by its VM from the time at which it sent the confirmed write.
inline constexpr time_ms roster_lease{1'500'000};
inline constexpr time_ms roster_renewal{300'000};

/// @brief One VM in the stored object `budget/<zone>`.
struct roster_entry {
    peer_id id;
    /// Kernel boot id of the VM's host.
    std::string boot_id;
    /// Grows with every write of the VM, so that observers see that the entry has changed.
    std::uint64_t renewal = 0;
    /// Configuration revision of the list of zones that the VM applies; see zone_roster::applied_layout().
    std::uint64_t layout = 0;

    bool operator==(const roster_entry&) const = default;
};

/// @brief Content of `budget/<zone>`.
struct roster_object {
    std::vector<roster_entry> entries;
    /// `<incarnation>:<sequence>` of the last writer.
    std::string written_by;
};

/// @brief JSON text of a roster.
std::string to_json(const roster_object& roster);

/// @brief Parses the JSON text of a roster.
/// @throws error with error_kind::bad_request when the text is not a roster.
roster_object parse_roster(std::string_view text);

/// @brief Output of the roster: write this value if the object has this revision (0: does not exist).
struct conditional_write {
    std::string key;
    revision_id expected;
    std::string value;
};

/// @brief Whether this VM may hold the zone's share of a budget, from when and until when.
struct home_term {
    bool home = false;
    time_ms lease_expiry;
    time_ms usable_from;
};

/// @brief Logic of the stored object `budget/<zone>` on one VM: own lease, expired entries, home of each
/// budget.
///
/// The home of a budget is the listed entry with the highest rendezvous weight. The weights of two entries
/// never change, so an entry that has joined needs one statement of every entry listed before it: that the
/// other one has seen a roster with the new entry and holds no budget in which the new entry outranks it. An
/// entry that joins later starts from a roster with this one and never claims such a budget. An entry leaves
/// the roster when its lease has expired, when it has handed everything back, or when its successor on the
/// same host replaces it; the last case may leave loans behind, so whoever gains a budget by a removal waits
/// for max_loan_lifetime.
///
/// Only a conditional write removes another entry: an observer whose view is old fails at the revision and so
/// cannot end a lease that was renewed. Times are those of the local monotonic clock.
class zone_roster {
public:
    zone_roster(peer_id self, std::string boot_id);

    /// @brief Takes a state of the object, from the watch, from a read, or after the answer 412 to a write;
    /// older revisions are ignored. For an object that does not exist: revision 0 and no value.
    void observe(time_ms now, const object_event& event);

    /// @brief The outstanding write failed or was not answered. It is repeated on the next observation and no
    /// earlier than after a short delay. If it took effect nevertheless, observe() recognises it.
    void write_failed(time_ms now);

    /// @brief Next write that is due, if any: join, renew, remove expired entries, leave. The caller passes
    /// its result to observe() (the value at the assigned revision) or write_failed().
    std::optional<conditional_write> next_write(time_ms now);

    /// @brief Time at which next_write() or take_actions() is due.
    [[nodiscard]] time_ms next_wakeup() const;

    /// @brief Starts to leave: the next write removes the own entry. The caller has dropped all home shares,
    /// and their loans have expired.
    void leave() { leaving_ = true; }

    /// @brief The own entry was removed; the process must go on under a new incarnation.
    [[nodiscard]] bool removed() const { return removed_; }

    /// @brief The own entry is listed and every entry listed before it has handed over.
    [[nodiscard]] bool established() const { return joined_ && missing_.empty() && !removed_; }

    /// @brief The home of a budget according to the last observation, none for an empty roster.
    [[nodiscard]] std::optional<peer_id> home_of(std::string_view budget) const;

    /// @brief Whether this VM may hold the zone's share of a budget. To be called for every budget after each
    /// observation and each message; where the answer is no, the caller drops the share.
    home_term term(time_ms now, std::string_view budget);

    /// @brief All shares that term() denied at the last observation are dropped.
    /// @param clear Latest time returned by budget_manager::release_home_share().
    void dropped(time_ms clear);

    /// @brief Takes a home_handover message.
    void on_message(time_ms now, const peer_id& from, const home_handover& message);

    /// @brief Requests to the entries whose statement is missing, repeated every second.
    std::vector<send_action> take_actions(time_ms now);

    /// @brief Announces with the next write that this VM applies the list of zones of a configuration
    /// revision, and that its loans given fit into the shares that follow from it
    /// (budget_manager::settled()).
    void set_layout(std::uint64_t layout) { layout_ = layout; }
    [[nodiscard]] std::uint64_t layout() const { return layout_; }

    /// @brief Lowest announced layout of the listed entries. After a change of the list of zones a zone may
    /// grow its part of a budget only when every old and new zone has announced that layout.
    [[nodiscard]] std::uint64_t applied_layout() const;

    [[nodiscard]] const std::vector<roster_entry>& entries() const { return object_.entries; }

private:
    struct observation {
        roster_entry entry;
        time_ms since;
    };

    [[nodiscard]] const roster_entry* listed(incarnation_id incarnation) const;
    [[nodiscard]] bool expired(time_ms now, const roster_entry& entry) const;
    [[nodiscard]] bool replaces(const roster_entry& entry) const;
    [[nodiscard]] bool removes_for_others(time_ms now) const;

    peer_id self_;
    std::string boot_id_;
    std::string key_;
    roster_object object_;
    revision_id revision_;
    bool observed_once_ = false;
    std::map<incarnation_id, observation> observations_;
    /// Sending times of own writes by renewal number.
    std::map<std::uint64_t, time_ms> sent_;
    std::uint64_t renewal_ = 0;
    time_ms lease_expiry_{INT64_MIN / 4};
    time_ms renew_at_{INT64_MIN / 4};
    time_ms usable_from_{INT64_MIN / 4};
    time_ms last_removal_{INT64_MIN / 4};
    time_ms retry_at_{INT64_MIN / 4};
    bool joined_ = false;
    bool removed_ = false;
    bool leaving_ = false;
    bool in_flight_ = false;
    /// Entries whose statement is missing.
    std::set<incarnation_id> missing_;
    time_ms ask_at_{INT64_MIN / 4};
    std::vector<send_action> actions_;
    std::map<std::string, time_ms, std::less<>> claims_;
    revision_id dropped_revision_;
    bool dropped_ = false;
    time_ms clear_;
    std::uint64_t layout_ = 0;
};

} // namespace lacewing
