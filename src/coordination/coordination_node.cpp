#include "coordination/coordination_node.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lacewing {

namespace {

// Peers offered to a starting replica per tick: enough to choose from, without a copy of the whole list.
constexpr std::size_t max_start_candidates = 16;

// Gives the random generator of the replica another seed than that of the membership.
constexpr std::uint64_t replica_seed_offset = 0x9e37'79b9'7f4a'7c15U;

} // namespace

coordination_node::coordination_node(const peer_id& self, const std::string& caller_address,
                                     const coordination_settings& settings, std::uint64_t seed, time_ms now)
    : settings_(settings), members_(self, caller_address, settings.membership, seed, now),
      replica_(self, settings.replica, seed ^ replica_seed_offset, now),
      freshness_(self.zone, settings.freshness), next_election_(now), last_broadcast_(now) {}

replica_actions coordination_node::tick(time_ms now) {
    replica_actions out;
    out.sends = members_.tick(now);
    if (members_.status(now) == membership_status::fenced) {
        return {};
    }
    if (now >= next_election_) {
        update_watchers(now);
    }
    std::vector<peer_id> candidates;
    if (!replica_.complete()) {
        const auto& all = members_.members();
        // The offset depends on the incarnation, so that starting VMs do not all ask the same peers.
        const auto offset =
            static_cast<std::size_t>(self().incarnation.value % std::max<std::size_t>(all.size(), 1));
        for (std::size_t i = 0; i < std::min(all.size(), max_start_candidates); ++i) {
            const auto& peer = all[(offset + i) % all.size()];
            if (peer.incarnation != self().incarnation) {
                candidates.push_back(peer);
            }
        }
    }
    replica_.tick(now, alive_zone_members_, watcher_, candidates, out);
    renew_clock_mappings(now, out);
    finish_actions(now, out);
    return out;
}

replica_actions coordination_node::receive(const peer_message& message, time_ms now) {
    replica_actions out;
    const auto requested_at = members_.ping_sent_at(message);
    out.sends = members_.receive(message, now);
    if (members_.status(now) == membership_status::fenced) {
        return {};
    }
    if (const auto* answer = std::get_if<ack>(&message.payload)) {
        if (requested_at) {
            freshness_.note_round_trip(message.from.incarnation, *requested_at,
                                       answer->probe.freshness.clock);
        }
        note_probe(message, answer->probe, now);
    } else if (const auto* probe = std::get_if<ping>(&message.payload)) {
        note_probe(message, probe->probe, now);
    } else {
        if (const auto* events = std::get_if<object_events>(&message.payload)) {
            const bool for_us = message.to == self().incarnation;
            if (for_us) {
                members_.merge_changes(events->updates, now);
            }
            if (for_us && freshness_.note_report(events->origin.incarnation, events->freshness, now)) {
                store_access_changed_ = true;
            }
        }
        replica_.receive(message, now, freshness_.report(now, false), out);
    }
    const auto* probe = std::get_if<ping>(&message.payload);
    const bool compact = probe != nullptr && probe->probe.freshness.zones.size() == 1;
    for (auto& action : out.sends) {
        if (auto* answer = std::get_if<ack>(&action.payload)) {
            fill_probe(answer->probe, compact, now);
        }
    }
    finish_actions(now, out);
    return out;
}

void coordination_node::note_probe(const peer_message& message, const probe_payload& probe, time_ms now) {
    if (message.to != incarnation_id{} && message.to != self().incarnation) {
        return;
    }
    members_.note_revision(message.from.incarnation, probe.revision);
    replica_.note_peer_revision(message.from, probe.revision, now);
    if (freshness_.note_report(message.from.incarnation, probe.freshness, now)) {
        store_access_changed_ = true;
    }
}

replica_actions coordination_node::receive(const store_result& result, time_ms now) {
    replica_actions out;
    if (members_.status(now) == membership_status::fenced) {
        return out;
    }
    const auto confirmation = replica_.receive(result, now);
    if (confirmation) {
        freshness_.note_confirmation(confirmation->revision, confirmation->requested_at);
    }
    finish_actions(now, out);
    return out;
}

// Elects the watchers of all zones from the members that are not suspected.
void coordination_node::update_watchers(time_ms now) {
    next_election_ = now + settings_.election_interval;
    if (elected_membership_version_ == members_.version()) {
        return;
    }
    elected_membership_version_ = members_.version();
    std::map<zone_name, std::vector<peer_id>> zones;
    for (const auto& member : members_.members()) {
        if (members_.is_alive(member.incarnation)) {
            zones[member.zone].push_back(member);
        }
    }
    alive_zone_members_ = zones[self().zone];
    remote_watchers_.clear();
    for (const auto& [zone, members] : zones) {
        auto elected = elect_watchers(zone, members, settings_.replica.watchers_per_zone);
        if (zone == self().zone) {
            own_watchers_ = std::move(elected);
        } else if (!elected.empty()) {
            remote_watchers_.push_back(std::move(elected));
        }
    }
    const auto is_self = [&](const auto& peer) { return peer.incarnation == self().incarnation; };
    watcher_ = std::any_of(own_watchers_.begin(), own_watchers_.end(), is_self);
}

// Pings the watchers of the zone whose clock mapping is missing or old. The evidence in a watcher's
// broadcasts can only be used with a mapping.
void coordination_node::renew_clock_mappings(time_ms now, replica_actions& out) {
    for (const auto& peer : own_watchers_) {
        if (peer.incarnation == self().incarnation) {
            continue;
        }
        const auto last = freshness_.clock_mapping_time(peer.incarnation);
        if (last && now - *last < settings_.clock_mapping_interval) {
            continue;
        }
        if (members_.awaits_ack(peer.incarnation, now)) {
            continue;
        }
        out.sends.push_back(make_exchange_ping(peer, now));
    }
}

// Makes a ping to a watcher. It carries the report of the own zone only, also when it carries membership
// changes: a watcher gets the reports of the other zones from their watchers.
send_action coordination_node::make_exchange_ping(const peer_id& target, time_ms now) {
    auto action = members_.make_ping(target, now, false);
    fill_probe(std::get<ping>(action.payload).probe, true, now);
    return action;
}

// Sends this watcher's evidence to its zone and exchanges reports with one watcher of each other zone.
void coordination_node::broadcast(time_ms now, replica_actions& out) {
    last_broadcast_ = now;
    store_access_changed_ = false;
    replica_.push(freshness_.report(now, false), members_.take_recent_changes(), out);
    ++broadcast_count_;
    for (const auto& watchers : remote_watchers_) {
        out.sends.push_back(make_exchange_ping(watchers[broadcast_count_ % watchers.size()], now));
    }
}

// Passes the state of the replica to membership and freshness, adds due broadcasts and fills in the pings.
void coordination_node::finish_actions(time_ms now, replica_actions& out) {
    freshness_.note_replica_revision(replica_.revision());
    freshness_.note_store_reachable(replica_.store_reachable().value_or(false));
    members_.note_revision(self().incarnation, replica_.revision());
    if (watcher_) {
        if (freshness_.update_own_zone_report(now)) {
            store_access_changed_ = true;
        }
        const auto elapsed = now - last_broadcast_;
        if (elapsed >= settings_.broadcast_interval ||
            (store_access_changed_ && elapsed >= settings_.min_broadcast_interval)) {
            broadcast(now, out);
        } else if (replica_.push_due()) {
            replica_.push(freshness_.report(now, false), members_.take_recent_changes(), out);
        }
    }
    for (auto& action : out.sends) {
        auto* probe = std::get_if<ping>(&action.payload);
        const bool filled = probe != nullptr && probe->probe.freshness.clock != time_ms{};
        if (probe != nullptr && !filled) {
            fill_probe(probe->probe, false, now);
        }
    }
}

void coordination_node::fill_probe(probe_payload& probe, bool own_zone_only, time_ms now) const {
    probe.revision = replica_.revision();
    probe.freshness = freshness_.report(now, own_zone_only);
}

void coordination_node::rejoin(incarnation_id incarnation, time_ms now) {
    members_.rejoin(incarnation, now);
    replica_.rejoin(incarnation, now);
    freshness_.reset();
    freshness_.note_replica_revision(replica_.revision());
    own_watchers_.clear();
    remote_watchers_.clear();
    alive_zone_members_.clear();
    watcher_ = false;
    next_election_ = last_broadcast_ = now;
}

key_verdict coordination_node::verdict(time_ms now, std::span<const zone_name> zones) const {
    if (members_.status(now) == membership_status::fenced) {
        return key_verdict::stale;
    }
    return freshness_.verdict(now, zones);
}

} // namespace lacewing
