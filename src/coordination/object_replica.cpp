#include "coordination/object_replica.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lacewing {

namespace {

// Audit records are not replicated: auditors read them from the store, VMs do not use them, and their number
// only grows.
constexpr std::string_view unreplicated_prefix = "history/";

// Peers from which snapshots are received at the same time.
constexpr std::size_t max_snapshot_assemblies = 4;
constexpr std::size_t max_snapshot_parts = 4096;
constexpr std::size_t max_forwarded_origins = 64;

std::size_t event_bytes(const object_event& event) {
    return event.key.size() + (event.value ? event.value->size() : 0) + sizeof(object_event);
}

// Position of a member in the tree of an origin. The order differs between origins, so that a dead inner node
// cuts off members in one of the zone's trees only.
std::uint64_t tree_position(incarnation_id member, incarnation_id origin) {
    return rendezvous_weight(to_hex(origin), member);
}

} // namespace

std::vector<peer_id> elect_watchers(const zone_name& zone, std::span<const peer_id> members,
                                    std::size_t count) {
    std::vector<std::pair<std::uint64_t, const peer_id*>> weights;
    weights.reserve(members.size());
    for (const auto& member : members) {
        weights.emplace_back(rendezvous_weight(zone.value, member.incarnation), &member);
    }
    std::sort(weights.begin(), weights.end(), std::greater<>());
    std::vector<peer_id> elected;
    for (std::size_t i = 0; i < std::min(count, weights.size()); ++i) {
        elected.push_back(*weights[i].second);
    }
    return elected;
}

object_replica::object_replica(peer_id self, replica_settings settings, std::uint64_t seed, time_ms now)
    : self_(std::move(self)), settings_(settings), random_(seed), next_call_(now), next_start_pull_(now) {}

void object_replica::tick(time_ms now, std::span<const peer_id> zone_members, bool watcher,
                          std::span<const peer_id> start_peers, replica_actions& out) {
    zone_members_.assign(zone_members.begin(), zone_members.end());
    // A new watcher pushes only events that arrive from now on; other members pull older ones.
    if (watcher && !watcher_) {
        pushed_revision_ = revision_;
    }
    watcher_ = watcher;
    advance_store_calls(now, out);
    request_start_state(now, start_peers, out);
    if (pending_pull_ && pending_pull_->revision <= revision_) {
        pending_pull_.reset();
    }
    if (pending_pull_ && now >= pending_pull_->due) {
        out.sends.push_back({pending_pull_->peer, object_pull{revision_}});
        // If the peer does not answer, the next report of a higher revision leads to another pull.
        pending_pull_.reset();
    }
}

void object_replica::advance_store_calls(time_ms now, replica_actions& out) {
    if (pending_call_ && now - pending_call_->requested_at >= settings_.call_timeout) {
        fail_call(now);
    }
    const bool wanted = watcher_ || !complete_;
    if (pending_call_ || !wanted || now < next_call_) {
        return;
    }
    pending_call_ = pending_call{++last_call_id_, now, list_needed_, revision_};
    if (list_needed_) {
        out.store_calls.emplace_back(store_list{last_call_id_});
    } else {
        out.store_calls.emplace_back(store_watch{last_call_id_, revision_});
    }
}

// Backs off with jitter, so that the watchers of the fleet do not call the store again at the same time.
void object_replica::fail_call(time_ms now) {
    pending_call_.reset();
    store_reachable_ = false;
    backoff_ = std::min(std::max(backoff_ * 2, settings_.first_backoff), settings_.max_backoff);
    const auto half = static_cast<std::uint64_t>(backoff_.count / 2);
    next_call_ = now + time_ms{static_cast<std::int64_t>(half + random_() % (half + 1))};
}

// A starting process asks several peers at once and keeps the newest answer; the store is asked in parallel.
void object_replica::request_start_state(time_ms now, std::span<const peer_id> start_peers,
                                         replica_actions& out) {
    if (complete_ || now < next_start_pull_ || start_peers.empty()) {
        return;
    }
    next_start_pull_ = now + settings_.pull_timeout;
    std::vector<peer_id> peers(start_peers.begin(), start_peers.end());
    std::shuffle(peers.begin(), peers.end(), random_);
    peers.resize(std::min(peers.size(), settings_.max_start_peers));
    for (const auto& peer : peers) {
        out.sends.push_back({peer, object_pull{revision_}});
    }
}

std::optional<store_confirmation> object_replica::receive(const store_result& result, time_ms now) {
    if (!pending_call_ || pending_call_->call != result.call) {
        return std::nullopt;
    }
    const auto call = *pending_call_;
    if (result.outcome == store_outcome::unreachable) {
        fail_call(now);
        return std::nullopt;
    }
    pending_call_.reset();
    store_reachable_ = true;
    backoff_ = {0};
    next_call_ = std::max(now, call.requested_at + settings_.min_call_interval);
    if (result.outcome == store_outcome::events_compacted) {
        list_needed_ = true;
        return std::nullopt;
    }
    if (call.list) {
        apply_state(result.revision, result.events);
        list_needed_ = false;
    } else if (!apply_events(call.after, result.revision, result.events)) {
        // Events that cannot be applied, such as events out of order, confirm nothing. A complete list does
        // not depend on order.
        list_needed_ = true;
        return std::nullopt;
    }
    return store_confirmation{result.revision, call.requested_at};
}

void object_replica::receive(const peer_message& message, time_ms now, const freshness_report& own_report,
                             replica_actions& out) {
    if (message.to != self_.incarnation) {
        return;
    }
    if (const auto* events = std::get_if<object_events>(&message.payload)) {
        handle(message, *events, now, out);
    } else if (const auto* pull = std::get_if<object_pull>(&message.payload)) {
        if (complete_) {
            answer_pull(message.from, pull->after, own_report, out);
        }
    } else if (const auto* snapshot = std::get_if<object_snapshot>(&message.payload)) {
        handle(message, *snapshot);
    }
}

void object_replica::handle(const peer_message& message, const object_events& payload, time_ms now,
                            replica_actions& out) {
    if (!apply_events(payload.after, payload.revision, payload.events) || payload.revision > revision_) {
        note_peer_revision(message.from, payload.revision, now);
    }
    // The zone already knows events that came through a tree, so they are not pushed again.
    if (payload.range_begin <= payload.range_end) {
        pushed_revision_ = std::max(pushed_revision_, std::min(revision_, payload.revision));
        forward(payload, out);
    }
}

void object_replica::note_peer_revision(const peer_id& peer, revision_id revision, time_ms now) {
    if (revision <= revision_) {
        return;
    }
    if (pending_pull_ && pending_pull_->revision >= revision) {
        return;
    }
    const auto due = pending_pull_ ? pending_pull_->due : now + settings_.pull_delay;
    pending_pull_ = pending_pull{peer, revision, due};
}

// Applies events to a complete state, and only if no event between that state and them is missing.
bool object_replica::apply_events(revision_id after, revision_id revision,
                                  const std::vector<object_event>& events) {
    if (!complete_ || after > revision_) {
        return false;
    }
    auto previous = after;
    for (const auto& event : events) {
        if (event.revision <= previous || event.revision > revision) {
            return false;
        }
        previous = event.revision;
    }
    for (const auto& event : events) {
        if (event.revision <= revision_ || event.key.starts_with(unreplicated_prefix)) {
            continue;
        }
        apply(event);
        event_log_.push_back(event);
        event_log_bytes_ += event_bytes(event);
    }
    revision_ = std::max(revision_, revision);
    trim();
    return true;
}

void object_replica::apply(const object_event& event) {
    const auto [position, inserted] = objects_.try_emplace(event.key, event);
    if (!inserted) {
        if (event.revision <= position->second.revision) {
            return;
        }
        if (position->second.deleted()) {
            --tombstones_;
        }
        position->second = event;
    }
    if (event.deleted()) {
        ++tombstones_;
    }
    changed_keys_.insert(event.key);
}

// Replaces the objects by a newer complete state. An object that the state lacks was deleted at or before the
// state's revision.
void object_replica::apply_state(revision_id revision, const std::vector<object_event>& objects) {
    if (complete_ && revision <= revision_) {
        return;
    }
    std::set<std::string_view> present;
    for (const auto& object : objects) {
        if (object.revision > revision || object.key.starts_with(unreplicated_prefix)) {
            continue;
        }
        present.insert(object.key);
        apply(object);
    }
    std::vector<object_event> deleted;
    for (const auto& [key, object] : objects_) {
        if (!object.deleted() && !present.contains(key)) {
            deleted.push_back({key, revision, nullptr});
        }
    }
    for (const auto& tombstone : deleted) {
        apply(tombstone);
    }
    revision_ = revision;
    // The events that led to this state are unknown, so the log restarts after it.
    event_log_.clear();
    event_log_bytes_ = 0;
    event_log_start_ = revision_;
    complete_ = true;
    list_needed_ = false;
    trim();
}

void object_replica::trim() {
    while (event_log_.size() > settings_.max_log_events || event_log_bytes_ > settings_.max_log_bytes) {
        event_log_start_ = event_log_.front().revision;
        event_log_bytes_ -= event_bytes(event_log_.front());
        event_log_.pop_front();
    }
    // A late event cannot restore a key whose tombstone is gone: it is not above the replica's revision.
    if (tombstones_ <= settings_.max_tombstones) {
        return;
    }
    std::erase_if(objects_, [&](const auto& item) {
        return item.second.deleted() && item.second.revision < event_log_start_;
    });
    tombstones_ = static_cast<std::size_t>(std::count_if(
        objects_.begin(), objects_.end(), [](const auto& item) { return item.second.deleted(); }));
}

void object_replica::answer_pull(const peer_id& to, revision_id after, const freshness_report& report,
                                 replica_actions& out) const {
    if (after >= revision_ && after.value != 0) {
        return;
    }
    if (after < event_log_start_ || after.value == 0) {
        send_snapshot(to, out);
        return;
    }
    object_events answer{after, revision_, {}, self_, 1, 0, report, {}};
    std::size_t bytes = 0;
    const auto first = std::upper_bound(event_log_.begin(), event_log_.end(), after,
                                        [](revision_id r, const object_event& e) { return r < e.revision; });
    for (auto event = first; event != event_log_.end(); ++event) {
        bytes += event_bytes(*event);
        if (bytes > settings_.max_message_bytes && !answer.events.empty()) {
            // The receiver is still behind afterwards and pulls the remaining events.
            answer.revision = answer.events.back().revision;
            break;
        }
        answer.events.push_back(*event);
    }
    out.sends.push_back({to, std::move(answer)});
}

void object_replica::send_snapshot(const peer_id& to, replica_actions& out) const {
    std::vector<object_snapshot> parts(1);
    std::size_t bytes = 0;
    for (const auto& [key, object] : objects_) {
        bytes += event_bytes(object);
        if (bytes > settings_.max_message_bytes && !parts.back().objects.empty()) {
            parts.emplace_back();
            bytes = event_bytes(object);
        }
        parts.back().objects.push_back(object);
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].revision = revision_;
        parts[i].part = static_cast<std::uint32_t>(i);
        parts[i].parts = static_cast<std::uint32_t>(parts.size());
        out.sends.push_back({to, std::move(parts[i])});
    }
}

void object_replica::handle(const peer_message& message, const object_snapshot& payload) {
    const bool valid =
        payload.parts > 0 && payload.parts <= max_snapshot_parts && payload.part < payload.parts;
    if (!valid || (complete_ && payload.revision <= revision_)) {
        return;
    }
    if (snapshot_assemblies_.size() >= max_snapshot_assemblies &&
        !snapshot_assemblies_.contains(message.from.incarnation)) {
        snapshot_assemblies_.clear();
    }
    auto& assembly = snapshot_assemblies_[message.from.incarnation];
    if (assembly.revision != payload.revision || assembly.parts.size() != payload.parts) {
        if (payload.revision < assembly.revision) {
            return;
        }
        assembly.revision = payload.revision;
        assembly.parts.assign(payload.parts, std::nullopt);
    }
    assembly.parts[payload.part] = payload.objects;
    const auto missing = [](const auto& part) { return !part.has_value(); };
    if (std::any_of(assembly.parts.begin(), assembly.parts.end(), missing)) {
        return;
    }
    std::vector<object_event> objects;
    for (auto& part : assembly.parts) {
        objects.insert(objects.end(), part->begin(), part->end());
    }
    apply_state(payload.revision, objects);
    snapshot_assemblies_.erase(message.from.incarnation);
}

void object_replica::push(const freshness_report& report, std::vector<member_record> updates,
                          replica_actions& out) {
    object_events message{pushed_revision_,
                          revision_,
                          {},
                          self_,
                          // All tree positions.
                          0,
                          std::numeric_limits<std::uint64_t>::max(),
                          report,
                          std::move(updates)};
    std::size_t bytes = 0;
    for (auto event = event_log_.rbegin(); event != event_log_.rend() && event->revision > pushed_revision_;
         ++event) {
        bytes += event_bytes(*event);
        message.events.push_back(*event);
    }
    std::reverse(message.events.begin(), message.events.end());
    if (bytes > settings_.max_message_bytes || pushed_revision_ < event_log_start_) {
        // Too much for one message: the receivers see from its revision that they are behind, and pull.
        message.events.clear();
        message.after = revision_;
    }
    pushed_revision_ = revision_;
    forward(message, out);
}

// Forwards a message to up to fan_out children and splits the range of tree positions among them.
void object_replica::forward(const object_events& payload, replica_actions& out) {
    if (last_forwarded_.size() > max_forwarded_origins) {
        last_forwarded_.clear();
    }
    auto& newest_forwarded = last_forwarded_[payload.origin.incarnation];
    const std::pair clock_and_revision(payload.freshness.clock, payload.revision);
    if (clock_and_revision <= newest_forwarded) {
        return;
    }
    newest_forwarded = clock_and_revision;
    std::vector<std::pair<std::uint64_t, const peer_id*>> receivers;
    for (const auto& member : zone_members_) {
        if (member.incarnation == self_.incarnation || member.incarnation == payload.origin.incarnation) {
            continue;
        }
        const auto position = tree_position(member.incarnation, payload.origin.incarnation);
        if (position >= payload.range_begin && position <= payload.range_end) {
            receivers.emplace_back(position, &member);
        }
    }
    std::sort(receivers.begin(), receivers.end());
    const auto groups = std::min(settings_.fan_out, receivers.size());
    auto begin = payload.range_begin;
    for (std::size_t group = 0; group < groups; ++group) {
        const auto first = receivers.size() * group / groups;
        const auto next = receivers.size() * (group + 1) / groups;
        auto message = payload;
        message.range_begin = begin;
        message.range_end = group + 1 == groups ? payload.range_end : receivers[next].first - 1;
        begin = message.range_end + 1;
        out.sends.push_back({*receivers[first].second, std::move(message)});
    }
}

void object_replica::rejoin(incarnation_id incarnation, time_ms now) {
    self_.incarnation = incarnation;
    watcher_ = false;
    pending_call_.reset();
    next_call_ = now;
    pending_pull_.reset();
    snapshot_assemblies_.clear();
    last_forwarded_.clear();
    store_reachable_.reset();
}

std::vector<std::string> object_replica::take_changed_keys() {
    std::vector<std::string> keys(changed_keys_.begin(), changed_keys_.end());
    changed_keys_.clear();
    return keys;
}

} // namespace lacewing
