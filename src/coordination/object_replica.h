#pragma once

#include "coordination/peer_message.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace lacewing {

/// @brief Periods and limits of the configuration propagation (design, 4.2).
struct replica_settings {
    std::size_t fan_out = 4;
    std::size_t watchers_per_zone = 2;
    /// Peers that a starting process asks for their replica.
    std::size_t start_peers = 3;
    std::size_t max_log_events = 4096;
    std::size_t max_log_bytes = std::size_t{4} * 1024 * 1024;
    std::size_t max_tombstones = 4096;
    /// Objects per message in bytes; escaping in JSON at most doubles usual values, which keeps below 2 MB.
    std::size_t max_part_bytes = std::size_t{512} * 1024;
    /// Time that the tree gets to deliver an event before a peer that is behind pulls it.
    time_ms pull_delay{200};
    time_ms pull_timeout{1000};
    /// A store call without a result for this long has failed. Covers the wait of a watch (500 ms).
    time_ms call_timeout{1500};
    /// Joins changes in quick succession into one watch: 34 watchers make at most 340 of the store's 2,000
    /// reads/s.
    time_ms min_call_interval{100};
    time_ms first_backoff{200};
    time_ms max_backoff{2000};
};

/// @brief Asks the daemon to read all objects.
struct store_list {
    std::uint64_t call = 0;
};

/// @brief Asks the daemon to wait for events after the revision.
struct store_watch {
    std::uint64_t call = 0;
    revision_id after;
};

using store_action = std::variant<store_list, store_watch>;

enum class store_outcome : std::uint8_t {
    success,
    unreachable,
    /// The store no longer holds the events after the requested revision.
    events_gone,
};

/// @brief Result of a store call.
struct store_result {
    std::uint64_t call = 0;
    store_outcome outcome = store_outcome::unreachable;
    revision_id revision;
    /// Ascending by revision for a watch; any order for a list.
    std::vector<object_event> events;
};

/// @brief Messages and store calls that follow from an event.
struct replica_actions {
    std::vector<send_action> sends;
    std::vector<store_action> store_calls;
};

/// @brief A confirmation that the replica passes on to key_freshness.
struct store_confirmation {
    revision_id revision;
    time_ms requested_at;
};

/// @brief Watchers of a zone: the members with the highest rendezvous weights.
/// @param members Members of the zone.
std::vector<peer_id> elect_watchers(const zone_name& zone, std::span<const peer_id> members,
                                    std::size_t count);

/// @brief Replica of the store's objects. Applies events strictly by revision. Deterministic for a seed.
class object_replica {
public:
    object_replica(peer_id self, replica_settings settings, std::uint64_t seed, time_ms now);

    /// @brief Advances the timers.
    /// @param zone_members Trusted members of this zone, this process included.
    /// @param start_peers Peers that a starting process may ask.
    void tick(time_ms now, std::span<const peer_id> zone_members, bool watcher,
              std::span<const peer_id> start_peers, replica_actions& out);
    /// @brief Handles events, pull and snapshot; ignores other kinds.
    /// @param own_report Freshness evidence to put into an answer.
    void receive(const peer_message& message, time_ms now, const freshness_report& own_report,
                 replica_actions& out);
    /// @brief A peer has reported its revision.
    void note_peer_revision(const peer_id& peer, revision_id revision, time_ms now);
    /// @brief Handles the result of a store call; results of calls that timed out are ignored.
    std::optional<store_confirmation> receive(const store_result& result, time_ms now);
    /// @brief Sends a message with the evidence, and all events not yet sent, through the tree of the zone.
    /// @param updates Membership changes to send along.
    void push(const freshness_report& report, std::vector<member_record> updates, replica_actions& out);
    /// @brief Whether events have arrived that this watcher has to push.
    [[nodiscard]] bool push_due() const { return watcher_ && pushed_ < held_; }
    /// @brief Outcome of the newest finished store call; nothing before the first.
    [[nodiscard]] std::optional<bool> store_reachable() const { return store_reachable_; }
    /// @brief Uses a new incarnation after fencing. The content stays, because it only ever advances.
    void rejoin(incarnation_id incarnation, time_ms now);

    [[nodiscard]] revision_id revision() const { return held_; }
    /// @brief Whether a complete state has been received.
    [[nodiscard]] bool complete() const { return complete_; }
    /// @brief Live objects and tombstones.
    [[nodiscard]] const std::map<std::string, object_event>& objects() const { return objects_; }
    /// @brief Keys changed or deleted since the last call, in order.
    [[nodiscard]] std::vector<std::string> take_changed_keys();

private:
    struct pending_call {
        std::uint64_t call = 0;
        time_ms requested_at;
        bool list = false;
        revision_id after;
    };
    struct snapshot_assembly {
        revision_id revision;
        std::vector<std::optional<std::vector<object_event>>> parts;
    };
    struct missing_events {
        peer_id peer;
        revision_id revision;
        time_ms due;
    };

    void handle(const peer_message& message, const object_events& payload, time_ms now, replica_actions& out);
    void handle(const peer_message& message, const object_snapshot& payload);
    void answer_pull(const peer_id& to, revision_id after, const freshness_report& report,
                     replica_actions& out) const;
    void send_snapshot(const peer_id& to, replica_actions& out) const;
    void forward(const object_events& payload, replica_actions& out);
    bool apply_events(revision_id after, revision_id revision, const std::vector<object_event>& events);
    void apply_state(revision_id revision, const std::vector<object_event>& objects);
    void apply(const object_event& event);
    void trim();
    void advance_store_calls(time_ms now, replica_actions& out);
    void fail_call(time_ms now);
    void request_start_state(time_ms now, std::span<const peer_id> start_peers, replica_actions& out);

    peer_id self_;
    replica_settings settings_;
    std::mt19937_64 random_;
    std::map<std::string, object_event> objects_;
    std::size_t tombstones_ = 0;
    std::deque<object_event> log_;
    std::size_t log_bytes_ = 0;
    // The log holds every event after this revision.
    revision_id log_start_;
    revision_id held_;
    revision_id pushed_;
    bool complete_ = false;
    bool watcher_ = false;
    std::set<std::string> changed_;
    std::vector<peer_id> zone_members_;
    std::optional<pending_call> call_;
    std::uint64_t last_call_ = 0;
    time_ms backoff_{0};
    time_ms next_call_;
    time_ms next_start_pull_;
    bool list_needed_ = true;
    std::optional<bool> store_reachable_;
    std::optional<missing_events> missing_;
    std::unordered_map<incarnation_id, snapshot_assembly> assemblies_;
    // Newest message passed on per origin; duplicates are not passed on again.
    std::unordered_map<incarnation_id, std::pair<time_ms, revision_id>> forwarded_;
};

} // namespace lacewing
