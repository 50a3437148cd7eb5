#include "coordination/spread_node.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lacewing {

namespace {

// Start-up peers per attempt: enough to choose from, without a copy of the whole list.
constexpr std::size_t start_candidates = 16;

// Separates the generator of the replica from that of the membership.
constexpr std::uint64_t replica_seed_offset = 0x9e37'79b9'7f4a'7c15U;

} // namespace

coordination_node::coordination_node(const peer_id& self, const std::string& caller_address,
                                     const coordination_settings& settings, std::uint64_t seed, time_ms now)
    : settings_(settings), members_(self, caller_address, settings.membership, seed, now),
      replica_(self, settings.replica, seed ^ replica_seed_offset, now),
      freshness_(self.zone, settings.freshness), next_election_(now), last_pulse_(now) {}

replica_actions coordination_node::tick(time_ms now) {
    replica_actions out;
    out.sends = members_.tick(now);
    if (members_.status(now) == membership_status::fenced) {
        return {};
    }
    if (now >= next_election_) {
        elect(now);
    }
    std::vector<peer_id> candidates;
    if (!replica_.complete()) {
        const auto& all = members_.members();
        // Starts at this VM's own position, so that starting VMs do not all ask the same peers.
        const auto offset =
            static_cast<std::size_t>(self().incarnation.value % std::max<std::size_t>(all.size(), 1));
        for (std::size_t i = 0; i < std::min(all.size(), start_candidates); ++i) {
            const auto& peer = all[(offset + i) % all.size()];
            if (peer.incarnation != self().incarnation) {
                candidates.push_back(peer);
            }
        }
    }
    replica_.tick(now, trusted_zone_, watcher_, candidates, out);
    renew_round_trips(now, out);
    finish(now, out);
    return out;
}

replica_actions coordination_node::receive(const peer_message& message, time_ms now) {
    replica_actions out;
    const auto requested_at = members_.request_time(message);
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
                members_.merge_news(events->updates, now);
            }
            if (for_us && freshness_.note_report(events->origin.incarnation, events->freshness, now)) {
                urgent_ = true;
            }
        }
        replica_.receive(message, now, freshness_.report(now, false), out);
    }
    const auto* probe = std::get_if<ping>(&message.payload);
    const bool compact = probe != nullptr && probe->probe.freshness.zones.size() == 1;
    for (auto& action : out.sends) {
        if (auto* answer = std::get_if<ack>(&action.payload)) {
            fill(answer->probe, compact, now);
        }
    }
    finish(now, out);
    return out;
}

void coordination_node::note_probe(const peer_message& message, const probe_payload& probe, time_ms now) {
    if (message.to != incarnation_id{} && message.to != self().incarnation) {
        return;
    }
    members_.note_revision(message.from.incarnation, probe.revision);
    replica_.note_peer_revision(message.from, probe.revision, now);
    if (freshness_.note_report(message.from.incarnation, probe.freshness, now)) {
        urgent_ = true;
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
    finish(now, out);
    return out;
}

// Elects the watchers of all zones from the members that are not suspected.
void coordination_node::elect(time_ms now) {
    next_election_ = now + settings_.election_interval;
    if (elected_version_ == members_.version()) {
        return;
    }
    elected_version_ = members_.version();
    std::map<zone_name, std::vector<peer_id>> zones;
    for (const auto& member : members_.members()) {
        if (members_.trusted(member.incarnation)) {
            zones[member.zone].push_back(member);
        }
    }
    trusted_zone_ = zones[self().zone];
    foreign_watchers_.clear();
    for (const auto& [zone, members] : zones) {
        auto elected = elect_watchers(zone, members, settings_.replica.watchers_per_zone);
        if (zone == self().zone) {
            own_watchers_ = std::move(elected);
        } else if (!elected.empty()) {
            foreign_watchers_.push_back(std::move(elected));
        }
    }
    const auto is_self = [&](const auto& peer) { return peer.incarnation == self().incarnation; };
    watcher_ = std::any_of(own_watchers_.begin(), own_watchers_.end(), is_self);
}

// Maps the clocks of the zone's watchers, whose tree messages carry the evidence.
void coordination_node::renew_round_trips(time_ms now, replica_actions& out) {
    for (const auto& peer : own_watchers_) {
        if (peer.incarnation == self().incarnation) {
            continue;
        }
        const auto last = freshness_.round_trip_time(peer.incarnation);
        if (last && now - *last < settings_.round_trip_interval) {
            continue;
        }
        if (members_.awaits_ack(peer.incarnation, now)) {
            continue;
        }
        out.sends.push_back(make_exchange_ping(peer, now));
    }
}

// A ping to a watcher, which makes and gets the reports of all zones otherwise: it carries that of the own
// zone only, also while membership changes travel with it.
send_action coordination_node::make_exchange_ping(const peer_id& target, time_ms now) {
    auto action = members_.make_ping(target, now, false);
    fill(std::get<ping>(action.payload).probe, true, now);
    return action;
}

// Sends the evidence of this watcher to its zone and exchanges reports with a watcher of each other zone.
void coordination_node::pulse(time_ms now, replica_actions& out) {
    last_pulse_ = now;
    urgent_ = false;
    replica_.push(freshness_.report(now, false), members_.take_news(), out);
    ++pulses_;
    for (const auto& watchers : foreign_watchers_) {
        out.sends.push_back(make_exchange_ping(watchers[pulses_ % watchers.size()], now));
    }
}

// Sends what has become due and fills in the state of the replica.
void coordination_node::finish(time_ms now, replica_actions& out) {
    freshness_.note_held(replica_.revision());
    freshness_.note_store_reachable(replica_.store_reachable().value_or(false));
    members_.note_revision(self().incarnation, replica_.revision());
    if (watcher_) {
        if (freshness_.make_zone_report(now)) {
            urgent_ = true;
        }
        const auto since = now - last_pulse_;
        if (since >= settings_.pulse || (urgent_ && since >= settings_.min_pulse)) {
            pulse(now, out);
        } else if (replica_.push_due()) {
            replica_.push(freshness_.report(now, false), members_.take_news(), out);
        }
    }
    for (auto& action : out.sends) {
        auto* probe = std::get_if<ping>(&action.payload);
        const bool filled = probe != nullptr && probe->probe.freshness.clock != time_ms{};
        if (probe != nullptr && !filled) {
            fill(probe->probe, false, now);
        }
    }
}

void coordination_node::fill(probe_payload& probe, bool own_zone_only, time_ms now) const {
    probe.revision = replica_.revision();
    probe.freshness = freshness_.report(now, own_zone_only);
}

void coordination_node::rejoin(incarnation_id incarnation, time_ms now) {
    members_.rejoin(incarnation, now);
    replica_.rejoin(incarnation, now);
    freshness_.reset();
    freshness_.note_held(replica_.revision());
    own_watchers_.clear();
    foreign_watchers_.clear();
    trusted_zone_.clear();
    watcher_ = false;
    next_election_ = last_pulse_ = now;
}

key_verdict coordination_node::verdict(time_ms now, std::span<const zone_name> zones) const {
    if (members_.status(now) == membership_status::fenced) {
        return key_verdict::stale;
    }
    return freshness_.verdict(now, zones);
}

} // namespace lacewing
