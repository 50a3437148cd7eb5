#pragma once

#include "coordination/key_freshness.h"
#include "coordination/membership.h"
#include "coordination/object_replica.h"

#include <set>
#include <span>
#include <string>
#include <vector>

namespace lacewing {

/// @brief Settings of membership, replication and key freshness on one VM.
struct coordination_settings {
    membership_settings membership;
    replica_settings replica;
    freshness_settings freshness;
    /// Period of a watcher's broadcasts to its zone and of its exchange of reports with other zones.
    time_ms broadcast_interval{1000};
    /// Shortest time between two broadcasts when a zone's access to the store changes.
    time_ms min_broadcast_interval{200};
    time_ms election_interval{500};
    /// Age at which the clock mapping of a watcher of the own zone is renewed.
    time_ms clock_mapping_interval{10'000};
};

/// @brief Connects membership, replica and key freshness of one VM: adds their state to pings and acks,
/// elects the watchers and, as a watcher, broadcasts the freshness evidence to the zone.
class coordination_node {
public:
    coordination_node(const peer_id& self, const std::string& caller_address,
                      const coordination_settings& settings, std::uint64_t seed, time_ms now);

    /// @brief Advances the timers; to be called about every 50 ms.
    [[nodiscard]] replica_actions tick(time_ms now);
    /// @brief Handles a message of a kind that concerns membership or replication; ignores other kinds.
    [[nodiscard]] replica_actions receive(const peer_message& message, time_ms now);
    /// @brief Handles the result of a store call.
    [[nodiscard]] replica_actions receive(const store_result& result, time_ms now);
    /// @brief Rejoins under a new incarnation after fencing.
    void rejoin(incarnation_id incarnation, time_ms now);

    /// @brief Whether and why the key list may be used at the given time.
    /// @param zones Zones of the newest configuration.
    /// @return key_verdict::stale while this process is fenced.
    [[nodiscard]] key_verdict verdict(time_ms now, std::span<const zone_name> zones) const;
    [[nodiscard]] const peer_id& self() const { return members_.self(); }
    [[nodiscard]] lacewing::membership& members() { return members_; }
    [[nodiscard]] const lacewing::membership& members() const { return members_; }
    [[nodiscard]] object_replica& replica() { return replica_; }
    [[nodiscard]] const object_replica& replica() const { return replica_; }
    [[nodiscard]] const key_freshness& freshness() const { return freshness_; }
    /// @brief Whether this process is a watcher: one of the VMs that read the store for their zone.
    [[nodiscard]] bool watcher() const { return watcher_; }

private:
    void note_probe(const peer_message& message, const probe_payload& probe, time_ms now);
    void update_watchers(time_ms now);
    void broadcast(time_ms now, replica_actions& out);
    void renew_clock_mappings(time_ms now, replica_actions& out);
    send_action make_exchange_ping(const peer_id& target, time_ms now);
    void finish_actions(time_ms now, replica_actions& out);
    void fill_probe(probe_payload& probe, bool own_zone_only, time_ms now) const;

    coordination_settings settings_;
    lacewing::membership members_;
    object_replica replica_;
    key_freshness freshness_;
    std::vector<peer_id> alive_zone_members_;
    std::vector<peer_id> own_watchers_;
    std::vector<std::vector<peer_id>> remote_watchers_;
    bool watcher_ = false;
    // Whether a zone's access to the store is reported differently since the last broadcast.
    bool store_access_changed_ = false;
    std::uint64_t broadcast_count_ = 0;
    std::uint64_t elected_membership_version_ = 0;
    time_ms next_election_;
    time_ms last_broadcast_;
};

} // namespace lacewing
