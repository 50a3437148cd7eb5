#include "coordination/account_limiter.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

// Demand is measured over at least this time, the interval of reports.
constexpr time_ms demand_interval{250};
constexpr double demand_smoothing = 0.4;
// A peer whose report is older than this no longer counts in the division of the refill.
constexpr time_ms stale_report{3000};
// Reports come every 300 ms or sooner; a peer without one for this long has fallen silent.
constexpr time_ms silent_after{450};
// A VM counts as silent after 1.2 s, and VMs are counted once a second; from then on the refill holds back
// its part.
constexpr time_ms assumed_for{2200};
// Every VM counts with a little demand, so that the first request of an account finds a share.
constexpr double least_demand_per_s = 0.5;
// The local part of the refill may be saved for this long, in seconds.
constexpr double saved_refill_s = 0.5;
// Part of the burst above which an account's usage is reported only now and then.
constexpr double far_from_limit = 0.8;
constexpr time_ms shortest_retry{100};
constexpr time_ms longest_retry{2000};

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

void account_limiter::set_fleet(std::size_t known, std::size_t heard, bool connected) {
    known_ = std::max<std::size_t>(1, known);
    heard_ = std::max<std::size_t>(1, heard);
    connected_ = connected;
}

// Share of this VM in the demand of the VMs that it hears.
double account_limiter::share(time_ms now, const bucket& of) const {
    const double own = of.asked_per_s + least_demand_per_s;
    double total = own;
    std::size_t counted = 1;
    for (const auto& [vm, peer] : of.peers) {
        if (!peer.measured || now - peer.updated > stale_report) continue;
        total += peer.asked_per_s + least_demand_per_s;
        ++counted;
    }
    // VMs that have not reported usage yet may have as much demand as this one, such as after a common
    // restart.
    const auto silent = heard_ > counted ? static_cast<double>(heard_ - counted) : 0.0;
    return own / (total + silent * own);
}

// Part of the nominal rate that the VMs that hear each other may give out.
double account_limiter::usable_part() const {
    const double heard = std::min(1.0, static_cast<double>(heard_) / static_cast<double>(known_));
    return connected_ ? 1 - held_back_part * (1 - heard) : cut_off_part * heard;
}

// Subtracts what silent peers are assumed to have admitted since their last report.
void account_limiter::charge_silent(time_ms now, bucket& of) {
    for (auto& [vm, peer] : of.peers) {
        const auto silence = now - peer.updated;
        if (!peer.measured || silence < silent_after) continue;
        const auto span = std::min(silence, assumed_for);
        const double assumed = peer.admitted_per_s * static_cast<double>(span.count) / 1000.0;
        of.level -= assumed - peer.assumed;
        peer.assumed = assumed;
    }
}

void account_limiter::refill(time_ms now, bucket& of) const {
    const double seconds = static_cast<double>((now - of.updated).count) / 1000.0;
    if (seconds <= 0) return;
    of.updated = now;
    charge_silent(now, of);
    const double rate = of.rate * usable_part();
    of.level = std::min(of.burst, of.level + rate * seconds);
    const double own_rate = rate * share(now, of);
    const double saved = std::max(1.0, own_rate * saved_refill_s);
    // Nothing is saved while the fleet is in debt, or all VMs would spend their savings at once afterwards.
    if (of.level >= 0) of.own_level = std::min(saved, of.own_level + own_rate * seconds);
    const auto span = now - of.measured_at;
    if (span >= demand_interval) {
        const double asked = static_cast<double>(of.own.asked - of.measured.asked);
        const double per_s = asked * 1000.0 / static_cast<double>(span.count);
        of.asked_per_s += demand_smoothing * (per_s - of.asked_per_s);
        of.measured = of.own;
        of.measured_at = now;
    }
}

account_limiter::decision account_limiter::ask(time_ms now, const std::string& account) {
    const auto found = buckets_.find(account);
    if (found == buckets_.end() || found->second.rate <= 0) return {};
    auto& entry = found->second;
    refill(now, entry);
    ++entry.own.asked;
    const bool plenty = connected_ && entry.level >= std::max(1.0, entry.burst / 2);
    // A negative level means that several VMs gave out the same tokens; the refill pays the debt back first.
    if (plenty || (entry.level >= 0 && entry.own_level >= 1)) {
        entry.level -= 1;
        entry.own_level = std::max(0.0, entry.own_level - 1);
        ++entry.own.admitted;
        return {};
    }
    const double own_rate = std::max(0.1, entry.rate * usable_part() * share(now, entry));
    const auto wait = static_cast<std::int64_t>(std::ceil((1 - entry.own_level) * 1000 / own_rate));
    return {false, std::clamp(time_ms{wait}, shortest_retry, longest_retry)};
}

void account_limiter::refund(const std::string& account) {
    const auto found = buckets_.find(account);
    if (found == buckets_.end()) return;
    found->second.level += 1;
    found->second.own_level += 1;
    --found->second.own.admitted;
}

void account_limiter::on_report(time_ms now, const vm_report& report) {
    for (const auto& [account, totals] : report.usage) {
        const auto found = buckets_.find(account);
        if (found == buckets_.end()) continue;
        refill(now, found->second);
        auto& peer = found->second.peers[report.vm.value];
        const bool known = peer.incarnation == report.incarnation;
        const bool continued = known && now - peer.updated <= stale_report;
        const auto before = known ? peer.totals : account_usage{};
        const auto span = std::max<std::int64_t>(1, (now - peer.updated).count);
        if (continued) {
            const double per_s =
                static_cast<double>(totals.asked - before.asked) * 1000.0 / static_cast<double>(span);
            const double admitted_per_s =
                static_cast<double>(totals.admitted - before.admitted) * 1000.0 / static_cast<double>(span);
            const double weight = peer.measured ? demand_smoothing : 1.0;
            peer.asked_per_s += weight * (per_s - peer.asked_per_s);
            peer.admitted_per_s += weight * (admitted_per_s - peer.admitted_per_s);
            // The report tells what was only assumed.
            found->second.level += peer.assumed;
        }
        peer.assumed = 0;
        peer.measured = continued;
        // What was admitted before contact began belongs to an earlier refill, and is not known in full.
        if (continued) found->second.level -= static_cast<double>(totals.admitted - before.admitted);
        peer.incarnation = report.incarnation;
        peer.totals = totals;
        peer.updated = now;
    }
}

std::vector<std::pair<std::string, account_usage>> account_limiter::usage(bool all) const {
    std::vector<std::pair<std::string, account_usage>> made;
    for (const auto& [account, entry] : buckets_) {
        if (!all && entry.level >= entry.burst * far_from_limit) continue;
        if (entry.own.asked != 0) made.emplace_back(account, entry.own);
    }
    return made;
}

} // namespace lacewing
