#pragma once

#include "coordination/peer_message.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief Periods and limits of the membership protocol.
struct membership_settings {
    time_ms probe_interval{1000};
    /// Time without an ack after which other members are asked to probe the target.
    time_ms probe_timeout{300};
    std::size_t indirect_probes = 3;
    /// Time after which a suspected member that has not refuted the suspicion is declared dead.
    time_ms suspicion_timeout{5000};
    /// A process that has not run for this long, by its own clock, is fenced.
    time_ms pause_limit{5000};
    /// Time without any answer after which a joining process considers itself the only member.
    time_ms join_timeout{3000};
    /// A new member asks for the table again after this time, because the first table is incomplete when many
    /// processes start together.
    time_ms second_pull_delay{10'000};
    /// Mean time between pings to seeds, hinted addresses and dead members that are not listed. The pings
    /// merge the two sides of the fleet after a partition.
    time_ms unlisted_contact_interval{5000};
    /// Shortest time between two complete tables sent to joining processes, which get a sample in between. A
    /// table of 870 members has 120 KB, so this stays below 26 KB/s when a zone of 51 starts at once.
    time_ms table_interval{5000};
    /// Random members in a sample, besides the sender.
    std::size_t sample_size = 16;
    /// Time for which the record of a dead member is kept.
    time_ms dead_retention{600'000};
    /// Member records per message.
    std::size_t max_updates = 8;
    /// Records of unchanged members per message, for receivers that have missed an update.
    std::size_t repair_updates = 2;
    /// Peer addresses from the settings of the process.
    std::vector<std::string> seeds;
};

/// @brief Whether this process may act as a member.
enum class membership_status : std::uint8_t {
    joining,
    member,
    leaving,
    /// The process has not run for pause_limit and must rejoin under a new incarnation.
    fenced,
};

/// @brief Membership protocol in the manner of SWIM: finds out which members are alive by probes, suspicion
/// and refutation, and spreads changes by gossip. Deterministic for a seed.
class membership {
public:
    membership(peer_id self, std::string caller_address, membership_settings settings, std::uint64_t seed,
               time_ms now);

    /// @brief Advances the timers; to be called about every 50 ms.
    [[nodiscard]] std::vector<send_action> tick(time_ms now);
    /// @brief Handles ping, ack, ping_request, member_pull and member_table; ignores other kinds.
    [[nodiscard]] std::vector<send_action> receive(const peer_message& message, time_ms now);

    /// @brief Replaces the addresses from the platform's list of VMs. The list lags, so a hint is only an
    /// address to contact.
    void set_hints(std::vector<std::string> peer_addresses);
    /// @brief Marks this process as leaving and announces it.
    void leave();
    /// @brief Announces the exit of a leaving process, so that peers need not detect it by probes.
    [[nodiscard]] std::vector<send_action> announce_exit(time_ms now);
    /// @brief Rejoins after fencing. The caller has discarded everything that belonged to the old
    /// incarnation.
    void rejoin(incarnation_id incarnation, time_ms now);
    /// @brief Makes this process a member of a fleet with the given records, without the join protocol.
    void start_as_member(const std::vector<member_record>& records, time_ms now);
    /// @brief Makes a ping outside the probe schedule, for code that needs the peer's answer.
    /// @param repair Whether the ping also carries records of unchanged members; false for frequent pings.
    /// The answer to a ping without any record omits them too, if the peer lists this process as alive.
    [[nodiscard]] send_action make_ping(const peer_id& target, time_ms now, bool repair = true);
    /// @brief Returns the most recent changes, for a message of another kind; they count as transmitted.
    [[nodiscard]] std::vector<member_record> take_recent_changes();
    /// @brief Merges changes that arrived in a message of another kind.
    void merge_changes(const std::vector<member_record>& records, time_ms now) { merge(records, now, true); }
    /// @brief Whether a ping to the target was sent within the last probe interval and not answered yet.
    [[nodiscard]] bool awaits_ack(incarnation_id target, time_ms now) const;
    /// @brief Time at which this process sent the ping that the message answers.
    /// @return Nothing when the message is not an ack sent by the pinged process itself.
    [[nodiscard]] std::optional<time_ms> ping_sent_at(const peer_message& message) const;
    /// @brief Records the replica revision of a member, which may be this process.
    void note_revision(incarnation_id member, revision_id revision);

    /// @brief Whether this process may act now; detects a pause even before the next tick.
    [[nodiscard]] membership_status status(time_ms now) const;
    [[nodiscard]] const peer_id& self() const { return self_.id; }
    /// @brief Members that are alive or suspected, this process included, ordered by VM name.
    [[nodiscard]] const std::vector<peer_id>& members() const;
    /// @brief Like members(), for one zone.
    [[nodiscard]] const std::vector<peer_id>& members_in_zone(const zone_name& zone) const;
    /// @brief Whether the member is listed as alive and not suspected; always true for this process.
    [[nodiscard]] bool is_alive(incarnation_id member) const;
    /// @brief Number that changes whenever the results of members, members_in_zone or is_alive may change.
    [[nodiscard]] std::uint64_t version() const { return version_; }
    /// @brief All records, dead ones included, ordered by VM name and incarnation.
    [[nodiscard]] std::vector<member_record> records() const;
    /// @brief Record of a member, which may be this process; null when there is none.
    [[nodiscard]] const member_record* find(incarnation_id member) const;

private:
    struct entry {
        member_record record;
        // Start of the suspicion, or of the silence of a leaving member; negative when there is none.
        time_ms suspected_at{-1};
        // Negative unless dead.
        time_ms dead_at{-1};
        // Number of messages that will still carry this record as a change.
        unsigned remaining_transmissions = 0;
    };
    struct outstanding_ping {
        peer_id target;
        time_ms sent_at;
    };
    struct relayed_probe {
        peer_id origin;
        std::uint64_t sequence = 0;
        incarnation_id target;
        time_ms sent_at;
    };
    struct active_probe {
        peer_id target;
        std::uint64_t sequence = 0;
        time_ms sent_at;
        bool indirect = false;
    };

    void handle(const peer_message& message, const ping& payload, time_ms now, std::vector<send_action>& out);
    void handle(const peer_message& message, const ack& payload, time_ms now, std::vector<send_action>& out);
    void handle(const peer_message& message, const ping_request& payload, time_ms now,
                std::vector<send_action>& out);
    void handle(const peer_message& message, const member_pull& payload, time_ms now,
                std::vector<send_action>& out);
    void handle(const peer_message& message, const member_table& payload, time_ms now,
                std::vector<send_action>& out);
    void pull_from_unknown_sender(const peer_id& sender, time_ms now, std::vector<send_action>& out);
    void merge(const std::vector<member_record>& records, time_ms now, bool announce_new);
    void merge_record(const member_record& record, time_ms now, bool announce_new);
    void refute_own_record(const member_record& record);
    void set_state(entry& member, member_state state, time_ms now);
    void set_and_announce_state(entry& member, member_state state, time_ms now);
    void announce(entry& member);
    void announce_self();
    [[nodiscard]] unsigned transmission_limit() const;
    std::vector<member_record> updates_for(incarnation_id recipient, std::size_t repair);
    void start_probe(time_ms now, std::vector<send_action>& out);
    void advance_probe(time_ms now, std::vector<send_action>& out);
    void fail_probe(time_ms now);
    void expire_members(time_ms now);
    void expire_requests(time_ms now);
    void contact_unlisted_address(time_ms now, std::vector<send_action>& out);
    void request_member_table(std::vector<send_action>& out);
    void adjust_after_pause(time_ms now);
    std::vector<peer_id> random_members(std::size_t count, incarnation_id excluded);
    std::uint64_t random_below(std::uint64_t limit) { return random_() % limit; }
    void invalidate_lists();
    void rebuild_lists() const;

    member_record self_;
    membership_settings settings_;
    std::mt19937_64 random_;
    std::unordered_map<incarnation_id, entry> table_;
    std::vector<incarnation_id> recent_changes_;
    unsigned remaining_own_transmissions_ = 0;
    std::vector<incarnation_id> probe_order_;
    std::size_t repair_position_ = 0;
    std::optional<active_probe> probe_;
    std::map<std::uint64_t, outstanding_ping> outstanding_pings_;
    std::map<std::uint64_t, relayed_probe> relayed_probes_;
    std::vector<std::string> hints_;
    membership_status status_ = membership_status::joining;
    std::uint64_t sequence_ = 0;
    time_ms started_at_;
    time_ms last_tick_;
    time_ms next_probe_;
    time_ms next_unlisted_contact_;
    time_ms next_expiry_;
    time_ms next_unknown_sender_pull_;
    time_ms next_table_;
    time_ms next_pull_;
    std::optional<time_ms> second_pull_;
    std::uint64_t version_ = 1;
    mutable bool lists_valid_ = false;
    mutable std::vector<peer_id> members_;
    mutable std::map<zone_name, std::vector<peer_id>> zone_members_;
};

} // namespace lacewing
