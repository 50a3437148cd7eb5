#pragma once

#include "coordination/peer_message.h"

#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief Limits on the use of a key list that the store has not confirmed recently.
struct freshness_settings {
    /// Age of the newest confirmation up to which a key list is fresh.
    time_ms bound{3000};
    /// Age of the newest confirmation up to which a key list may be used during a store outage.
    time_ms outage_bound{900'000};
    /// A watcher whose own store calls fail reports the store as unreachable when the newest confirmation,
    /// its own or a peer's, is older than this. Half the bound, so that the reports reach all VMs before
    /// their key lists exceed the bound.
    time_ms unreachable_after{1500};
    /// Allowance for clocks that run at different rates, in thousandths; 2 %, as for loans.
    std::int64_t drift_per_mille = 20;
};

/// @brief Whether a key list may be used, according to the evidence.
enum class key_verdict : std::uint8_t {
    fresh,
    /// No longer fresh, and all zones report the store as unreachable.
    serve_under_outage_policy,
    /// No longer fresh, without reports of all zones that the store is unreachable.
    serve_under_partition_policy,
    /// Never confirmed, or a store outage that exceeds outage_bound.
    stale,
};

/// @brief Collects evidence about the freshness of the replica. Every time is a lower bound on this VM's
/// clock, so evidence never looks younger than it is. Verdicts are computed at use.
class key_freshness {
public:
    key_freshness(zone_name own_zone, freshness_settings settings);

    /// @brief Records that the replica now contains every event up to this revision.
    void note_replica_revision(revision_id revision);
    /// @brief Records a store response that covers the revision, to a request sent at the given time.
    void note_confirmation(revision_id revision, time_ms requested_at);
    /// @brief Records the outcome of this VM's newest store call; only watchers call the store regularly.
    void note_store_reachable(bool reachable);
    /// @brief Records that a peer read its clock after this VM had sent it a request.
    /// @param requested_at Time of the request on this VM's clock.
    /// @param peer_clock Reading of the peer's clock.
    void note_round_trip(incarnation_id peer, time_ms requested_at, time_ms peer_clock);
    /// @brief Merges evidence made by a peer; ignores it without an earlier round trip to the peer.
    /// @return True when a zone's access to the store is reported differently than before.
    bool note_report(incarnation_id maker, const freshness_report& report, time_ms now);
    /// @brief Renews the report of this VM's zone; called by the zone's watchers.
    /// @return True when the zone's access to the store is reported differently than before.
    bool update_own_zone_report(time_ms now);

    /// @brief The evidence to send to peers.
    /// @param own_zone_only Leaves out the reports of other zones.
    [[nodiscard]] freshness_report report(time_ms now, bool own_zone_only) const;
    /// @brief The verdict at the time of use.
    /// @param zones Zones that the newest configuration lists.
    [[nodiscard]] key_verdict verdict(time_ms now, std::span<const zone_name> zones) const;
    /// @brief Age of the newest confirmation of a revision that the replica has reached.
    [[nodiscard]] std::optional<time_ms> age(time_ms now) const;
    /// @brief Time of the request from which the clock mapping of a peer was made.
    [[nodiscard]] std::optional<time_ms> clock_mapping_time(incarnation_id peer) const;
    /// @brief Forgets everything, for a new incarnation after a pause.
    void reset();

private:
    struct confirmation {
        revision_id revision;
        time_ms as_of;
    };
    struct clock_mapping {
        time_ms requested_at;
        time_ms peer_clock;
    };
    struct zone_evidence {
        time_ms made_at;
        std::optional<time_ms> confirmed_as_of;
        bool reachable = false;
    };

    [[nodiscard]] std::optional<time_ms> to_local_time(incarnation_id peer, time_ms peer_clock,
                                                       time_ms now) const;
    bool merge_zone(const zone_name& zone, const zone_evidence& evidence);
    void apply_pending_confirmations();

    zone_name own_zone_;
    freshness_settings settings_;
    revision_id replica_revision_;
    std::optional<confirmation> newest_confirmation_;
    // Confirmations of revisions that the replica has not reached.
    std::vector<confirmation> pending_confirmations_;
    bool store_reachable_ = false;
    std::unordered_map<incarnation_id, clock_mapping> clock_mappings_;
    std::map<zone_name, zone_evidence> zones_;
};

} // namespace lacewing
