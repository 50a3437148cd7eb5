#include "coordination/account_limiter.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

// Demand is measured over at least this time.
constexpr time_ms min_demand_interval{250};
// Weight of a new measurement in the smoothed rates.
constexpr double demand_smoothing = 0.4;
// A VM whose last report is older than this gets no share of the refill.
constexpr time_ms stale_report_age{3000};
// Reports come at least every 300 ms; a VM without one for this long counts as silent here.
constexpr time_ms silent_after{450};
// A silent VM is assumed to go on admitting for this long, until it is no longer counted as alive (computed
// from 1.2 s of silence and one count per second) and its part of the refill is reserved.
constexpr time_ms max_assumed_time{2200};
// Added to the demand of every VM, so that the first request of an account finds a share of the refill.
constexpr double min_demand_per_s = 0.5;
// A VM saves at most its share of the refill of this many seconds.
constexpr double max_saved_refill_s = 0.5;
// Fraction of the burst above which the usage of an account is only in reports of all accounts.
constexpr double far_from_limit_fraction = 0.8;
constexpr time_ms min_retry_after{100};
constexpr time_ms max_retry_after{2000};

} // namespace

void account_limiter::configure(time_ms now, const std::vector<service_account>& accounts) {
    std::unordered_map<std::string, bucket> kept;
    for (const auto& account : accounts) {
        const auto found = buckets_.find(account.name.value);
        auto& entry = kept[account.name.value];
        if (found != buckets_.end()) {
            entry = std::move(found->second);
            refill(now, entry);
        } else {
            entry.level = fleet_start_ ? account.burst : 0;
            entry.updated = now;
            entry.measured_at = now;
        }
        entry.rate = account.rate_per_s;
        entry.burst = account.burst;
        entry.level = std::min(entry.level, entry.burst);
    }
    buckets_ = std::move(kept);
}

void account_limiter::set_fleet(std::size_t known_vms, std::size_t heard_vms, bool in_majority) {
    known_vms_ = std::max<std::size_t>(1, known_vms);
    heard_vms_ = std::max<std::size_t>(1, heard_vms);
    in_majority_ = in_majority;
}

// Share of this VM in the demand of the VMs that it receives reports from.
double account_limiter::demand_share(time_ms now, const bucket& entry) const {
    const double own = entry.asked_per_s + min_demand_per_s;
    double total = own;
    std::size_t counted = 1;
    for (const auto& [vm, peer] : entry.peers) {
        if (!peer.rates_measured || now - peer.updated > stale_report_age) continue;
        total += peer.asked_per_s + min_demand_per_s;
        ++counted;
    }
    // A VM that has not reported usage yet is assumed to have as much demand as this one, for example after a
    // restart of the whole fleet.
    const auto unreported = heard_vms_ > counted ? static_cast<double>(heard_vms_ - counted) : 0.0;
    return own / (total + unreported * own);
}

// Fraction of the account's rate that the VMs on this side of a network partition may give out together; 1
// while all VMs are heard.
double account_limiter::usable_rate_fraction() const {
    const double heard = std::min(1.0, static_cast<double>(heard_vms_) / static_cast<double>(known_vms_));
    return in_majority_ ? 1 - reserved_fraction * (1 - heard) : minority_fraction * heard;
}

// Subtracts what silent VMs are assumed to have admitted since their last report.
void account_limiter::charge_silent_peers(time_ms now, bucket& entry) {
    for (auto& [vm, peer] : entry.peers) {
        const auto silence = now - peer.updated;
        if (!peer.rates_measured || silence < silent_after) continue;
        const auto span = std::min(silence, max_assumed_time);
        const double assumed = peer.admitted_per_s * static_cast<double>(span.count) / 1000.0;
        entry.level -= assumed - peer.assumed_admissions;
        peer.assumed_admissions = assumed;
    }
}

void account_limiter::refill(time_ms now, bucket& entry) const {
    const double seconds = static_cast<double>((now - entry.updated).count) / 1000.0;
    if (seconds <= 0) return;
    entry.updated = now;
    charge_silent_peers(now, entry);
    const double rate = entry.rate * usable_rate_fraction();
    entry.level = std::min(entry.burst, entry.level + rate * seconds);
    const double own_rate = rate * demand_share(now, entry);
    const double max_own_tokens = std::max(1.0, own_rate * max_saved_refill_s);
    // Nothing is saved while the level is negative; otherwise all VMs would spend their saved tokens at once
    // when it is no longer negative.
    if (entry.level >= 0) entry.own_tokens = std::min(max_own_tokens, entry.own_tokens + own_rate * seconds);
    const auto span = now - entry.measured_at;
    if (span >= min_demand_interval) {
        const double asked = static_cast<double>(entry.own.asked - entry.own_at_measurement.asked);
        const double asked_per_s = asked * 1000.0 / static_cast<double>(span.count);
        entry.asked_per_s += demand_smoothing * (asked_per_s - entry.asked_per_s);
        entry.own_at_measurement = entry.own;
        entry.measured_at = now;
    }
}

account_limiter::decision account_limiter::ask(time_ms now, const std::string& account) {
    const auto found = buckets_.find(account);
    if (found == buckets_.end() || found->second.rate <= 0) return {};
    auto& entry = found->second;
    refill(now, entry);
    ++entry.own.asked;
    const bool well_filled = in_majority_ && entry.level >= std::max(1.0, entry.burst / 2);
    // A negative level means that several VMs gave out the same tokens; the refill first makes up for them.
    if (well_filled || (entry.level >= 0 && entry.own_tokens >= 1)) {
        entry.level -= 1;
        entry.own_tokens = std::max(0.0, entry.own_tokens - 1);
        ++entry.own.admitted;
        return {};
    }
    const double own_rate = std::max(0.1, entry.rate * usable_rate_fraction() * demand_share(now, entry));
    const auto wait = static_cast<std::int64_t>(std::ceil((1 - entry.own_tokens) * 1000 / own_rate));
    return {false, std::clamp(time_ms{wait}, min_retry_after, max_retry_after)};
}

void account_limiter::refund(const std::string& account) {
    const auto found = buckets_.find(account);
    if (found == buckets_.end()) return;
    found->second.level += 1;
    found->second.own_tokens += 1;
    --found->second.own.admitted;
}

void account_limiter::on_report(time_ms now, const vm_report& report) {
    for (const auto& [account, totals] : report.usage) {
        const auto found = buckets_.find(account);
        if (found == buckets_.end()) continue;
        refill(now, found->second);
        auto& peer = found->second.peers[report.vm.value];
        const bool known = peer.incarnation == report.incarnation;
        const bool continued = known && now - peer.updated <= stale_report_age;
        const auto before = known ? peer.totals : account_usage{};
        const auto span = std::max<std::int64_t>(1, (now - peer.updated).count);
        if (continued) {
            const double asked_per_s =
                static_cast<double>(totals.asked - before.asked) * 1000.0 / static_cast<double>(span);
            const double admitted_per_s =
                static_cast<double>(totals.admitted - before.admitted) * 1000.0 / static_cast<double>(span);
            const double weight = peer.rates_measured ? demand_smoothing : 1.0;
            peer.asked_per_s += weight * (asked_per_s - peer.asked_per_s);
            peer.admitted_per_s += weight * (admitted_per_s - peer.admitted_per_s);
            // The report replaces the assumed admissions by the actual ones.
            found->second.level += peer.assumed_admissions;
        }
        peer.assumed_admissions = 0;
        peer.rates_measured = continued;
        // Admissions before this VM began to receive reports belong to an earlier refill and are not all
        // known.
        if (continued) found->second.level -= static_cast<double>(totals.admitted - before.admitted);
        peer.incarnation = report.incarnation;
        peer.totals = totals;
        peer.updated = now;
    }
}

std::vector<std::pair<std::string, account_usage>> account_limiter::usage(bool all) const {
    std::vector<std::pair<std::string, account_usage>> result;
    for (const auto& [account, entry] : buckets_) {
        if (!all && entry.level >= entry.burst * far_from_limit_fraction) continue;
        if (entry.own.asked != 0) result.emplace_back(account, entry.own);
    }
    return result;
}

} // namespace lacewing
