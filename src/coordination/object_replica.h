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

/// @brief Periods and limits of configuration propagation. The watchers of a zone read the store and push
/// its events to the other VMs of the zone through a tree; a VM that misses events pulls them from a peer.
struct replica_settings {
    /// Maximum number of children of a node of the tree.
    std::size_t fan_out = 4;
    std::size_t watchers_per_zone = 2;
    /// Peers that a starting process asks for their replica at once.
    std::size_t max_start_peers = 3;
    /// Limits of the log of recent events, from which pulls are answered.
    std::size_t max_log_events = 4096;
    std::size_t max_log_bytes = std::size_t{4} * 1024 * 1024;
    std::size_t max_tombstones = 4096;
    /// Limit of the objects in one message, in bytes before encoding. Escaping in JSON at most doubles usual
    /// values, so a message stays below 2 MB.
    std::size_t max_message_bytes = std::size_t{512} * 1024;
    /// Time for the tree to deliver an event before a VM that is behind pulls it from a peer.
    time_ms pull_delay{200};
    /// Time after which a starting process asks peers again.
    time_ms pull_timeout{1000};
    /// Time without a result after which a store call has failed. Longer than a watch waits (500 ms).
    time_ms call_timeout{1500};
    /// Shortest time between two store calls. It batches changes in quick succession and limits 34 watchers
    /// to 340 of the store's 2,000 reads/s.
    time_ms min_call_interval{100};
    /// Limits of the wait after a failed store call, which doubles with each failure.
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
    events_compacted,
};

/// @brief Result of a store call.
struct store_result {
    std::uint64_t call = 0;
    store_outcome outcome = store_outcome::unreachable;
    revision_id revision;
    /// Ascending by revision for a watch; any order for a list.
    std::vector<object_event> events;
};

/// @brief Messages to send and store calls to make.
struct replica_actions {
    std::vector<send_action> sends;
    std::vector<store_action> store_calls;
};

/// @brief Store response, as evidence for key_freshness: it covers all events up to the revision.
struct store_confirmation {
    revision_id revision;
    time_ms requested_at;
};

/// @brief Elects the watchers of a zone: the members with the highest rendezvous weights.
/// @param members Members of the zone.
/// @param count Number of watchers to elect.
std::vector<peer_id> elect_watchers(const zone_name& zone, std::span<const peer_id> members,
                                    std::size_t count);

/// @brief Replica of the store's objects. Applies events strictly in the order of their revisions.
/// Deterministic for a seed.
class object_replica {
public:
    object_replica(peer_id self, replica_settings settings, std::uint64_t seed, time_ms now);

    /// @brief Advances the timers.
    /// @param zone_members Members of this zone that are not suspected, this process included.
    /// @param watcher Whether this process is a watcher of its zone.
    /// @param start_peers Peers that a starting process may ask for their replica.
    void tick(time_ms now, std::span<const peer_id> zone_members, bool watcher,
              std::span<const peer_id> start_peers, replica_actions& out);
    /// @brief Handles events, pull and snapshot; ignores other kinds.
    /// @param own_report Freshness evidence to put into an answer.
    void receive(const peer_message& message, time_ms now, const freshness_report& own_report,
                 replica_actions& out);
    /// @brief Records the revision that a peer has reported; a pull follows if this replica stays behind it.
    void note_peer_revision(const peer_id& peer, revision_id revision, time_ms now);
    /// @brief Handles the result of a store call; results of calls that timed out are ignored.
    std::optional<store_confirmation> receive(const store_result& result, time_ms now);
    /// @brief Sends the freshness evidence and all events not yet pushed through the tree of the zone.
    /// @param updates Membership changes to send along.
    void push(const freshness_report& report, std::vector<member_record> updates, replica_actions& out);
    /// @brief Whether this process is a watcher and has events to push.
    [[nodiscard]] bool push_due() const { return watcher_ && pushed_revision_ < revision_; }
    /// @brief Outcome of the newest finished store call; nothing before the first.
    [[nodiscard]] std::optional<bool> store_reachable() const { return store_reachable_; }
    /// @brief Uses a new incarnation after fencing. The objects stay, because the replica only ever advances.
    void rejoin(incarnation_id incarnation, time_ms now);

    /// @brief Store revision up to which the replica is complete.
    [[nodiscard]] revision_id revision() const { return revision_; }
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
    struct pending_pull {
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
    std::deque<object_event> event_log_;
    std::size_t event_log_bytes_ = 0;
    // The log contains every event after this revision.
    revision_id event_log_start_;
    revision_id revision_;
    revision_id pushed_revision_;
    bool complete_ = false;
    bool watcher_ = false;
    std::set<std::string> changed_keys_;
    std::vector<peer_id> zone_members_;
    std::optional<pending_call> pending_call_;
    std::uint64_t last_call_id_ = 0;
    time_ms backoff_{0};
    time_ms next_call_;
    time_ms next_start_pull_;
    bool list_needed_ = true;
    std::optional<bool> store_reachable_;
    std::optional<pending_pull> pending_pull_;
    std::unordered_map<incarnation_id, snapshot_assembly> snapshot_assemblies_;
    // Clock reading and revision of the newest message forwarded per origin; duplicates are dropped.
    std::unordered_map<incarnation_id, std::pair<time_ms, revision_id>> last_forwarded_;
};

} // namespace lacewing
