#include "coordination/key_freshness.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr std::size_t max_pending_confirmations = 32;
constexpr std::size_t max_clock_mappings = 512;

} // namespace

key_freshness::key_freshness(zone_name own_zone, freshness_settings settings)
    : own_zone_(std::move(own_zone)), settings_(settings) {}

void key_freshness::note_replica_revision(revision_id revision) {
    if (revision <= replica_revision_) {
        return;
    }
    replica_revision_ = revision;
    apply_pending_confirmations();
}

// A confirmation counts only once the replica contains every event that it covers.
void key_freshness::apply_pending_confirmations() {
    for (const auto& candidate : pending_confirmations_) {
        if (candidate.revision > replica_revision_) {
            continue;
        }
        if (!newest_confirmation_ || candidate.as_of > newest_confirmation_->as_of) {
            newest_confirmation_ = candidate;
        }
    }
    std::erase_if(pending_confirmations_, [&](const auto& c) { return c.revision <= replica_revision_; });
}

void key_freshness::note_confirmation(revision_id revision, time_ms requested_at) {
    if (pending_confirmations_.size() >= max_pending_confirmations) {
        pending_confirmations_.erase(pending_confirmations_.begin());
    }
    pending_confirmations_.push_back({revision, requested_at});
    apply_pending_confirmations();
}

void key_freshness::note_store_reachable(bool reachable) {
    store_reachable_ = reachable;
}

void key_freshness::note_round_trip(incarnation_id peer, time_ms requested_at, time_ms peer_clock) {
    const auto [position, inserted] =
        clock_mappings_.try_emplace(peer, clock_mapping{requested_at, peer_clock});
    if (!inserted && requested_at > position->second.requested_at) {
        position->second = {requested_at, peer_clock};
    }
    if (clock_mappings_.size() <= max_clock_mappings) {
        return;
    }
    // Probes renew the mappings; the drift allowance makes the oldest one the least accurate.
    auto oldest = clock_mappings_.begin();
    for (auto i = clock_mappings_.begin(); i != clock_mappings_.end(); ++i) {
        if (i->second.requested_at < oldest->second.requested_at) {
            oldest = i;
        }
    }
    clock_mappings_.erase(oldest);
}

std::optional<time_ms> key_freshness::clock_mapping_time(incarnation_id peer) const {
    const auto known = clock_mappings_.find(peer);
    return known == clock_mappings_.end() ? std::nullopt : std::optional(known->second.requested_at);
}

// Returns a lower bound on this VM's clock for the time at which the peer's clock read peer_clock. The peer
// read the clock of its mapping after the request was sent, so the bound is the time of the request plus the
// time elapsed on the peer's clock, less the drift allowance.
std::optional<time_ms> key_freshness::to_local_time(incarnation_id peer, time_ms peer_clock,
                                                    time_ms now) const {
    const auto known = clock_mappings_.find(peer);
    if (known == clock_mappings_.end()) {
        return std::nullopt;
    }
    const auto elapsed = peer_clock - known->second.peer_clock;
    const auto allowance = std::max(elapsed.count, -elapsed.count) * settings_.drift_per_mille / 1000;
    return std::min(now, known->second.requested_at + elapsed - time_ms{allowance});
}

bool key_freshness::note_report(incarnation_id maker, const freshness_report& report, time_ms now) {
    const auto made_at = to_local_time(maker, report.clock, now);
    if (!made_at) {
        return false;
    }
    if (report.age.count >= 0) {
        note_confirmation(report.confirmed_revision, *made_at - report.age);
    }
    bool changed = false;
    for (const auto& zone : report.zones) {
        if (zone.age.count < 0) {
            continue;
        }
        zone_evidence evidence{*made_at - zone.age, std::nullopt, zone.store_reachable};
        if (zone.confirmation_age.count >= 0) {
            evidence.confirmed_as_of = evidence.made_at - zone.confirmation_age;
        }
        changed = merge_zone(zone.zone, evidence) || changed;
    }
    return changed;
}

bool key_freshness::merge_zone(const zone_name& zone, const zone_evidence& evidence) {
    const auto [position, inserted] = zones_.try_emplace(zone, evidence);
    if (inserted) {
        return true;
    }
    if (evidence.made_at <= position->second.made_at) {
        return false;
    }
    const bool changed = position->second.reachable != evidence.reachable;
    position->second = evidence;
    return changed;
}

bool key_freshness::update_own_zone_report(time_ms now) {
    const bool confirmation_recent =
        newest_confirmation_ && now - newest_confirmation_->as_of <= settings_.unreachable_after;
    zone_evidence evidence{now, std::nullopt, store_reachable_ || confirmation_recent};
    if (newest_confirmation_) {
        evidence.confirmed_as_of = newest_confirmation_->as_of;
    }
    return merge_zone(own_zone_, evidence);
}

freshness_report key_freshness::report(time_ms now, bool own_zone_only) const {
    freshness_report report;
    report.clock = now;
    if (newest_confirmation_) {
        report.confirmed_revision = newest_confirmation_->revision;
        report.age = now - newest_confirmation_->as_of;
    }
    for (const auto& [zone, evidence] : zones_) {
        const auto age = now - evidence.made_at;
        if (age > settings_.bound || (own_zone_only && zone != own_zone_)) {
            continue;
        }
        const auto confirmed = evidence.confirmed_as_of;
        report.zones.push_back(
            {zone, age, confirmed ? evidence.made_at - *confirmed : time_ms{-1}, evidence.reachable});
    }
    return report;
}

std::optional<time_ms> key_freshness::age(time_ms now) const {
    return newest_confirmation_ ? std::optional(now - newest_confirmation_->as_of) : std::nullopt;
}

key_verdict key_freshness::verdict(time_ms now, std::span<const zone_name> zones) const {
    const auto current = age(now);
    if (!current) {
        return key_verdict::stale;
    }
    if (*current <= settings_.bound) {
        return key_verdict::fresh;
    }
    const bool outage = !zones.empty() && std::all_of(zones.begin(), zones.end(), [&](const auto& zone) {
        const auto known = zones_.find(zone);
        return known != zones_.end() && now - known->second.made_at <= settings_.bound &&
               !known->second.reachable;
    });
    if (!outage) {
        return key_verdict::serve_under_partition_policy;
    }
    return *current <= settings_.outage_bound ? key_verdict::serve_under_outage_policy : key_verdict::stale;
}

void key_freshness::reset() {
    *this = key_freshness(own_zone_, settings_);
}

} // namespace lacewing
