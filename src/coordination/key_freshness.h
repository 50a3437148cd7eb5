#pragma once

#include "coordination/peer_message.h"

#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief Bounds of the key policy (design, 4.3).
struct freshness_settings {
    time_ms bound{3000};
    /// Longest service without confirmation during a store outage.
    time_ms outage_bound{900'000};
    /// A watcher whose own store calls fail reports the store as unreachable when it has heard of no
    /// confirmation for this long. Half the bound, so that the reports have spread before the key lists pass
    /// the bound.
    time_ms unreachable_after{1500};
    /// Allowance for clocks of different rate, in thousandths (2 % as for loans).
    std::int64_t drift_per_mille = 20;
};

/// @brief What the evidence says about a key list.
enum class key_verdict : std::uint8_t {
    fresh,
    serve_under_outage_policy,
    serve_under_partition_policy,
    /// Never confirmed, or an outage beyond its bound.
    stale,
};

/// @brief Collects evidence about the freshness of the replica. Every time is a lower bound on this VM's
/// clock, so an age never looks younger than it is; verdicts are computed at use.
class key_freshness {
public:
    key_freshness(zone_name own_zone, freshness_settings settings);

    /// @brief The replica now contains every event up to this revision.
    void note_held(revision_id held);
    /// @brief A store response that covers the revision, to a request sent at the given time.
    void note_confirmation(revision_id revision, time_ms requested_at);
    /// @brief Outcome of this VM's newest store call; only watchers call the store regularly.
    void note_store_reachable(bool reachable);
    /// @brief A peer's clock had this reading after this VM sent the request.
    void note_round_trip(incarnation_id peer, time_ms requested_at, time_ms peer_clock);
    /// @brief Evidence made by a peer; without an earlier round trip to the peer it is ignored.
    /// @return True when a zone's store access is reported differently than before.
    bool note_report(incarnation_id maker, const freshness_report& report, time_ms now);
    /// @brief Renews the report of this VM's zone; called by the zone's watchers.
    /// @return True when the zone's store access is reported differently than before.
    bool make_zone_report(time_ms now);

    /// @brief The evidence to send.
    /// @param own_zone_only Leaves out the reports of other zones.
    [[nodiscard]] freshness_report report(time_ms now, bool own_zone_only) const;
    /// @brief The verdict at the time of use.
    /// @param zones Zones that the newest configuration lists.
    [[nodiscard]] key_verdict verdict(time_ms now, std::span<const zone_name> zones) const;
    /// @brief Age of the newest confirmation that the replica satisfies.
    [[nodiscard]] std::optional<time_ms> age(time_ms now) const;
    /// @brief Time of the request behind the clock mapping of a peer.
    [[nodiscard]] std::optional<time_ms> round_trip_time(incarnation_id peer) const;
    /// @brief Forgets everything, for a new incarnation after a pause.
    void reset();

private:
    struct confirmation {
        revision_id revision;
        time_ms as_of;
    };
    struct clock_anchor {
        time_ms requested_at;
        time_ms peer_clock;
    };
    struct zone_evidence {
        time_ms made_at;
        std::optional<time_ms> confirmed_as_of;
        bool reachable = false;
    };

    [[nodiscard]] std::optional<time_ms> local_time(incarnation_id peer, time_ms peer_clock,
                                                    time_ms now) const;
    bool merge_zone(const zone_name& zone, const zone_evidence& evidence);
    void promote_pending();

    zone_name own_zone_;
    freshness_settings settings_;
    revision_id held_;
    std::optional<confirmation> confirmed_;
    // Confirmations of revisions that the replica has not reached.
    std::vector<confirmation> pending_;
    bool store_reachable_ = false;
    std::unordered_map<incarnation_id, clock_anchor> anchors_;
    std::map<zone_name, zone_evidence> zones_;
};

} // namespace lacewing
