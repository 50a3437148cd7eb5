#include "coordination/account_limiter.h"

#include <algorithm>

namespace lacewing {

namespace {

// A VM whose last report is older than this gets no share of the refill.
constexpr time_ms stale_report_age{3000};
// Reports come at least every 300 ms; a VM without one for this long counts as silent here.
constexpr time_ms silent_after{450};
// A silent VM is assumed to go on admitting for this long, until it is no longer counted as alive (computed
// from 1.2 s of silence and one count per second) and its part of the refill is reserved.
constexpr time_ms max_assumed_time{2200};
// Added to the demand of every VM, so that the first request of an account finds a share of the refill.
constexpr double min_demand_per_s = 0.5;
// Fraction of the burst above which the usage of an account is only in reports of all accounts.
constexpr double far_from_limit_fraction = 0.8;
constexpr time_ms min_retry_after{100};
constexpr time_ms max_retry_after{2000};

} // namespace

void account_limiter::configure(time_ms now, const std::vector<service_account>& accounts) {
    std::unordered_map<std::string, account_bucket> kept;
    for (const auto& account : accounts) {
        const auto& name = account.name.value;
        const auto found = buckets_.find(name);
        if (found != buckets_.end()) refill(now, found->second);
        const double level = fleet_start_ ? account.burst : 0;
        auto made = found != buckets_.end() ? std::move(found->second) : account_bucket(now, level);
        made.tokens.configure(account.rate_per_s, account.burst);
        kept.insert_or_assign(name, std::move(made));
    }
    buckets_ = std::move(kept);
}

void account_limiter::set_fleet(std::size_t known_vms, std::size_t heard_vms, bool in_majority) {
    known_vms_ = std::max<std::size_t>(1, known_vms);
    heard_vms_ = std::max<std::size_t>(1, heard_vms);
    in_majority_ = in_majority;
}

// Share of this VM in the demand of the VMs that it receives reports from.
double account_limiter::demand_share(time_ms now, const account_bucket& entry) const {
    const double own = entry.demand.per_s() + min_demand_per_s;
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
void account_limiter::charge_silent_peers(time_ms now, account_bucket& entry) {
    for (auto& [vm, peer] : entry.peers) {
        const auto silence = now - peer.updated;
        if (!peer.rates_measured || silence < silent_after) continue;
        const auto span = std::min(silence, max_assumed_time);
        const double assumed = peer.admitted_per_s * static_cast<double>(span.count) / 1000.0;
        entry.tokens.charge(assumed - peer.assumed_admissions);
        peer.assumed_admissions = assumed;
    }
}

void account_limiter::refill(time_ms now, account_bucket& entry) const {
    charge_silent_peers(now, entry);
    entry.tokens.refill(now, usable_rate_fraction(), demand_share(now, entry));
    entry.demand.update(now);
}

account_limiter::decision account_limiter::ask(time_ms now, const std::string& account) {
    const auto found = buckets_.find(account);
    if (found == buckets_.end() || found->second.tokens.rate() <= 0) return {};
    auto& entry = found->second;
    refill(now, entry);
    ++entry.own.asked;
    entry.demand.count();
    if (entry.tokens.has_token(in_majority_)) {
        entry.tokens.take();
        ++entry.own.admitted;
        return {};
    }
    const auto wait = entry.tokens.wait(usable_rate_fraction(), demand_share(now, entry));
    return {false, std::clamp(wait, min_retry_after, max_retry_after)};
}

void account_limiter::refund(const std::string& account) {
    const auto found = buckets_.find(account);
    if (found == buckets_.end()) return;
    found->second.tokens.refund();
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
        const auto before = known ? peer.totals : rate_usage{};
        const auto span = std::max<std::int64_t>(1, (now - peer.updated).count);
        if (continued) {
            const double asked_per_s =
                static_cast<double>(totals.asked - before.asked) * 1000.0 / static_cast<double>(span);
            const double admitted_per_s =
                static_cast<double>(totals.admitted - before.admitted) * 1000.0 / static_cast<double>(span);
            const double weight = peer.rates_measured ? demand_meter::smoothing : 1.0;
            peer.asked_per_s += weight * (asked_per_s - peer.asked_per_s);
            peer.admitted_per_s += weight * (admitted_per_s - peer.admitted_per_s);
            // The report replaces the assumed admissions by the actual ones.
            found->second.tokens.charge(-peer.assumed_admissions);
        }
        peer.assumed_admissions = 0;
        peer.rates_measured = continued;
        // Admissions before this VM began to receive reports belong to an earlier refill and are not all
        // known.
        if (continued) found->second.tokens.charge(static_cast<double>(totals.admitted - before.admitted));
        peer.incarnation = report.incarnation;
        peer.totals = totals;
        peer.updated = now;
    }
}

std::vector<std::pair<std::string, rate_usage>> account_limiter::usage(bool all) const {
    std::vector<std::pair<std::string, rate_usage>> result;
    for (const auto& [account, entry] : buckets_) {
        if (!all && entry.tokens.level() >= entry.tokens.burst() * far_from_limit_fraction) continue;
        if (entry.own.asked != 0) result.emplace_back(account, entry.own);
    }
    return result;
}

} // namespace lacewing
