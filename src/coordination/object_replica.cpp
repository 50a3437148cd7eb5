#include "coordination/object_replica.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lacewing {

namespace {

// Audit records are read by auditors from the store; VMs do not use them, and their number only grows.
constexpr std::string_view unreplicated_prefix = "history/";

constexpr std::size_t max_assemblies = 4;
constexpr std::size_t max_snapshot_parts = 4096;
constexpr std::size_t max_origins = 64;

std::size_t size_of(const object_event& event) {
    return event.key.size() + (event.value ? event.value->size() : 0) + sizeof(object_event);
}

// Position of a member in the tree of an origin; each origin has another order, so that a dead inner node
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
    // A new watcher pushes only what arrives from now on; the others pull what is older.
    if (watcher && !watcher_) {
        pushed_ = held_;
    }
    watcher_ = watcher;
    advance_store_calls(now, out);
    request_start_state(now, start_peers, out);
    if (missing_ && missing_->revision <= held_) {
        missing_.reset();
    }
    if (missing_ && now >= missing_->due) {
        out.sends.push_back({missing_->peer, object_pull{held_}});
        // The next report of a higher revision names another peer if this one does not answer.
        missing_.reset();
    }
}

void object_replica::advance_store_calls(time_ms now, replica_actions& out) {
    if (call_ && now - call_->requested_at >= settings_.call_timeout) {
        fail_call(now);
    }
    const bool wanted = watcher_ || !complete_;
    if (call_ || !wanted || now < next_call_) {
        return;
    }
    call_ = pending_call{++last_call_, now, list_needed_, held_};
    if (list_needed_) {
        out.store_calls.emplace_back(store_list{last_call_});
    } else {
        out.store_calls.emplace_back(store_watch{last_call_, held_});
    }
}

// Backs off with jitter, so that the watchers of the fleet do not return to the store together.
void object_replica::fail_call(time_ms now) {
    call_.reset();
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
    peers.resize(std::min(peers.size(), settings_.start_peers));
    for (const auto& peer : peers) {
        out.sends.push_back({peer, object_pull{held_}});
    }
}

std::optional<store_confirmation> object_replica::receive(const store_result& result, time_ms now) {
    if (!call_ || call_->call != result.call) {
        return std::nullopt;
    }
    const auto call = *call_;
    if (result.outcome == store_outcome::unreachable) {
        fail_call(now);
        return std::nullopt;
    }
    call_.reset();
    store_reachable_ = true;
    backoff_ = {0};
    next_call_ = std::max(now, call.requested_at + settings_.min_call_interval);
    if (result.outcome == store_outcome::events_gone) {
        list_needed_ = true;
        return std::nullopt;
    }
    if (call.list) {
        apply_state(result.revision, result.events);
        list_needed_ = false;
    } else if (!apply_events(call.after, result.revision, result.events)) {
        // Events in a wrong order prove nothing; a complete list does not depend on order.
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
    if (!apply_events(payload.after, payload.revision, payload.events) || payload.revision > held_) {
        note_peer_revision(message.from, payload.revision, now);
    }
    // Own events that came through a tree are known to the zone already.
    if (payload.range_begin <= payload.range_end) {
        pushed_ = std::max(pushed_, std::min(held_, payload.revision));
        forward(payload, out);
    }
}

void object_replica::note_peer_revision(const peer_id& peer, revision_id revision, time_ms now) {
    if (revision <= held_) {
        return;
    }
    if (missing_ && missing_->revision >= revision) {
        return;
    }
    const auto due = missing_ ? missing_->due : now + settings_.pull_delay;
    missing_ = missing_events{peer, revision, due};
}

// Events apply on top of a complete state only, and only when none is missing between it and them.
bool object_replica::apply_events(revision_id after, revision_id revision,
                                  const std::vector<object_event>& events) {
    if (!complete_ || after > held_) {
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
        if (event.revision <= held_ || event.key.starts_with(unreplicated_prefix)) {
            continue;
        }
        apply(event);
        log_.push_back(event);
        log_bytes_ += size_of(event);
    }
    held_ = std::max(held_, revision);
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
    changed_.insert(event.key);
}

// Replaces the content by a newer complete state. An object that the state lacks was deleted at or before its
// revision.
void object_replica::apply_state(revision_id revision, const std::vector<object_event>& objects) {
    if (complete_ && revision <= held_) {
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
    held_ = revision;
    // The single events that led to this state are unknown, so the log starts anew.
    log_.clear();
    log_bytes_ = 0;
    log_start_ = held_;
    complete_ = true;
    list_needed_ = false;
    trim();
}

void object_replica::trim() {
    while (log_.size() > settings_.max_log_events || log_bytes_ > settings_.max_log_bytes) {
        log_start_ = log_.front().revision;
        log_bytes_ -= size_of(log_.front());
        log_.pop_front();
    }
    // An older event of a forgotten key cannot return, because it is not above the held revision.
    if (tombstones_ <= settings_.max_tombstones) {
        return;
    }
    std::erase_if(objects_, [&](const auto& item) {
        return item.second.deleted() && item.second.revision < log_start_;
    });
    tombstones_ = static_cast<std::size_t>(std::count_if(
        objects_.begin(), objects_.end(), [](const auto& item) { return item.second.deleted(); }));
}

void object_replica::answer_pull(const peer_id& to, revision_id after, const freshness_report& report,
                                 replica_actions& out) const {
    if (after >= held_ && after.value != 0) {
        return;
    }
    if (after < log_start_ || after.value == 0) {
        send_snapshot(to, out);
        return;
    }
    object_events answer{after, held_, {}, self_, 1, 0, report, {}};
    std::size_t bytes = 0;
    const auto first = std::upper_bound(log_.begin(), log_.end(), after,
                                        [](revision_id r, const object_event& e) { return r < e.revision; });
    for (auto event = first; event != log_.end(); ++event) {
        bytes += size_of(*event);
        if (bytes > settings_.max_part_bytes && !answer.events.empty()) {
            // The receiver stays behind and pulls the rest.
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
        bytes += size_of(object);
        if (bytes > settings_.max_part_bytes && !parts.back().objects.empty()) {
            parts.emplace_back();
            bytes = size_of(object);
        }
        parts.back().objects.push_back(object);
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].revision = held_;
        parts[i].part = static_cast<std::uint32_t>(i);
        parts[i].parts = static_cast<std::uint32_t>(parts.size());
        out.sends.push_back({to, std::move(parts[i])});
    }
}

void object_replica::handle(const peer_message& message, const object_snapshot& payload) {
    const bool valid =
        payload.parts > 0 && payload.parts <= max_snapshot_parts && payload.part < payload.parts;
    if (!valid || (complete_ && payload.revision <= held_)) {
        return;
    }
    if (assemblies_.size() >= max_assemblies && !assemblies_.contains(message.from.incarnation)) {
        assemblies_.clear();
    }
    auto& assembly = assemblies_[message.from.incarnation];
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
    assemblies_.erase(message.from.incarnation);
}

void object_replica::push(const freshness_report& report, std::vector<member_record> updates,
                          replica_actions& out) {
    object_events message{
        pushed_, held_, {}, self_, 0, std::numeric_limits<std::uint64_t>::max(), report, std::move(updates)};
    std::size_t bytes = 0;
    for (auto event = log_.rbegin(); event != log_.rend() && event->revision > pushed_; ++event) {
        bytes += size_of(*event);
        message.events.push_back(*event);
    }
    std::reverse(message.events.begin(), message.events.end());
    if (bytes > settings_.max_part_bytes || pushed_ < log_start_) {
        // Too much for one message: the receivers see that they are behind and pull.
        message.events.clear();
        message.after = held_;
    }
    pushed_ = held_;
    forward(message, out);
}

// Splits the range of tree positions among up to fan_out children.
void object_replica::forward(const object_events& payload, replica_actions& out) {
    if (forwarded_.size() > max_origins) {
        forwarded_.clear();
    }
    auto& newest = forwarded_[payload.origin.incarnation];
    const std::pair current(payload.freshness.clock, payload.revision);
    if (current <= newest) {
        return;
    }
    newest = current;
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
    call_.reset();
    next_call_ = now;
    missing_.reset();
    assemblies_.clear();
    forwarded_.clear();
    store_reachable_.reset();
}

std::vector<std::string> object_replica::take_changed_keys() {
    std::vector<std::string> keys(changed_.begin(), changed_.end());
    changed_.clear();
    return keys;
}

} // namespace lacewing
