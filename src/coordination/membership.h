#pragma once

#include "coordination/peer_message.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief Periods and limits of the membership protocol (design, 4.1).
struct membership_settings {
    time_ms probe_interval{1000};
    /// Time without an ack after which other members are asked to probe.
    time_ms probe_timeout{300};
    std::size_t indirect_probes = 3;
    time_ms suspicion{5000};
    /// A process that did not run for this long by its own clock fences itself.
    time_ms pause_limit{5000};
    /// Time without any answer after which a joining process considers itself the only member.
    time_ms join_timeout{3000};
    /// A new member asks for the table again after this time: when many start together, the first table is
    /// partial.
    time_ms second_pull_delay{10'000};
    /// Period of contacts with seeds, hinted addresses and dead members, which ends a split after a
    /// partition.
    time_ms hint_interval{5000};
    /// Shortest time between two complete tables to joining processes; in between they get a sample. A table
    /// of 870 members has 120 KB, so this keeps below 26 KB/s when a zone of 51 starts at once.
    time_ms table_interval{5000};
    std::size_t sample_size = 16;
    time_ms dead_retention{600'000};
    std::size_t max_updates = 8;
    /// Records of unchanged members per message; they repair updates that some members have missed.
    std::size_t repair_updates = 2;
    /// Peer addresses from the settings of the process.
    std::vector<std::string> seeds;
};

/// @brief Whether this process may act as a member.
enum class membership_status : std::uint8_t {
    joining,
    member,
    leaving,
    /// The process did not run for the pause limit; it must rejoin under a new incarnation.
    fenced,
};

/// @brief Decides who is alive: probes, suspicion, refutation and gossip of changes. Deterministic for a
/// seed.
class membership {
public:
    membership(peer_id self, std::string caller_address, membership_settings settings, std::uint64_t seed,
               time_ms now);

    /// @brief Advances the timers; to be called about every 50 ms.
    [[nodiscard]] std::vector<send_action> tick(time_ms now);
    /// @brief Handles ping, ack, ping_request, member_pull and member_table; ignores other kinds.
    [[nodiscard]] std::vector<send_action> receive(const peer_message& message, time_ms now);

    /// @brief Replaces the hints from the platform's lagging list. A hint is only an address to contact.
    void set_hints(std::vector<std::string> peer_addresses);
    /// @brief Announces that this process leaves.
    void leave();
    /// @brief Announces the end of a leaving process, so that peers need not detect it.
    [[nodiscard]] std::vector<send_action> announce_exit(time_ms now);
    /// @brief Rejoins after fencing. The caller has discarded everything that belonged to the old
    /// incarnation.
    void rejoin(incarnation_id incarnation, time_ms now);
    /// @brief Starts as a member of a fleet whose records are given, without joining.
    void start_as_member(const std::vector<member_record>& records, time_ms now);
    /// @brief A ping outside the probe schedule, for a caller that needs the peer's answer.
    /// @param repair False for frequent pings: they carry changes only, and without any, so does the answer.
    [[nodiscard]] send_action make_ping(const peer_id& target, time_ms now, bool repair = true);
    /// @brief The most recent changes, for a message of another kind.
    [[nodiscard]] std::vector<member_record> take_news();
    /// @brief Merges changes that came with a message of another kind.
    void merge_news(const std::vector<member_record>& records, time_ms now) { merge(records, now, true); }
    /// @brief Whether a ping to the target was sent within the last probe interval and not answered yet.
    [[nodiscard]] bool awaits_ack(incarnation_id target, time_ms now) const;
    /// @brief Time at which this process sent the ping that the message answers.
    /// @return Nothing when the message is no ack, or no direct answer of the pinged process.
    [[nodiscard]] std::optional<time_ms> request_time(const peer_message& message) const;
    /// @brief Records the replica revision that a peer has reported.
    void note_revision(incarnation_id member, revision_id revision);

    /// @brief Checks at use whether this process may act; a pause is detected here before the next tick.
    [[nodiscard]] membership_status status(time_ms now) const;
    [[nodiscard]] const peer_id& self() const { return self_.id; }
    /// @brief Members that are alive or suspected, this process included, ordered by VM name.
    [[nodiscard]] const std::vector<peer_id>& members() const;
    /// @brief The same for one zone.
    [[nodiscard]] const std::vector<peer_id>& members_of(const zone_name& zone) const;
    /// @brief Whether the member is alive and not suspected.
    [[nodiscard]] bool trusted(incarnation_id member) const;
    /// @brief Changes whenever the answers of members, members_of or trusted may have changed.
    [[nodiscard]] std::uint64_t version() const { return version_; }
    /// @brief All records, dead ones included, ordered by VM name and incarnation.
    [[nodiscard]] std::vector<member_record> records() const;
    [[nodiscard]] const member_record* find(incarnation_id member) const;

private:
    struct entry {
        member_record record;
        time_ms suspected_at{-1};
        time_ms dead_at{-1};
        // Messages that still carry this record as news.
        unsigned transmissions = 0;
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
    void meet_sender(const peer_id& sender, time_ms now, std::vector<send_action>& out);
    void merge(const std::vector<member_record>& records, time_ms now, bool news);
    void merge_record(const member_record& record, time_ms now, bool news);
    void merge_own(const member_record& record);
    void set_state(entry& member, member_state state, time_ms now);
    void declare(entry& member, member_state state, time_ms now);
    void announce(entry& member);
    void announce_self();
    [[nodiscard]] unsigned transmission_limit() const;
    std::vector<member_record> updates_for(incarnation_id recipient, std::size_t repair);
    void start_probe(time_ms now, std::vector<send_action>& out);
    void advance_probe(time_ms now, std::vector<send_action>& out);
    void fail_probe(time_ms now);
    void expire_members(time_ms now);
    void expire_requests(time_ms now);
    void contact_hint(time_ms now, std::vector<send_action>& out);
    void contact_seeds(std::vector<send_action>& out);
    void adjust_after_pause(time_ms now);
    std::vector<peer_id> random_members(std::size_t count, incarnation_id except);
    std::uint64_t random_below(std::uint64_t limit) { return random_() % limit; }
    void invalidate_lists();
    void rebuild_lists() const;

    member_record self_;
    membership_settings settings_;
    std::mt19937_64 random_;
    std::unordered_map<incarnation_id, entry> table_;
    std::vector<incarnation_id> news_;
    unsigned own_transmissions_ = 0;
    std::vector<incarnation_id> probe_order_;
    std::size_t repair_position_ = 0;
    std::optional<active_probe> probe_;
    std::map<std::uint64_t, outstanding_ping> outstanding_;
    std::map<std::uint64_t, relayed_probe> relayed_;
    std::vector<std::string> hints_;
    membership_status status_ = membership_status::joining;
    std::uint64_t sequence_ = 0;
    time_ms started_at_;
    time_ms last_tick_;
    time_ms next_probe_;
    time_ms next_hint_;
    time_ms next_expiry_;
    time_ms next_meeting_;
    time_ms next_table_;
    time_ms next_pull_;
    std::optional<time_ms> second_pull_;
    std::uint64_t version_ = 1;
    mutable bool lists_valid_ = false;
    mutable std::vector<peer_id> members_;
    mutable std::map<zone_name, std::vector<peer_id>> zone_members_;
};

} // namespace lacewing
