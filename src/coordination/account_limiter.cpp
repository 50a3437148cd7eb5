#include "coordination/account_limiter.h"

#include <algorithm>

namespace lacewing {

namespace {

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
double account_limiter::demand_share(const account_bucket& entry) const {
    const double own = entry.demand.per_s() + min_demand_per_s;
    const auto others = entry.peers.known_demand();
    const double total = own + others.asked_per_s + static_cast<double>(others.vms) * min_demand_per_s;
    const auto counted = others.vms + 1;
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

void account_limiter::refill(time_ms now, account_bucket& entry) const {
    entry.tokens.charge(entry.peers.advance(now));
    entry.tokens.refill(now, usable_rate_fraction(), demand_share(entry));
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
    const auto wait = entry.tokens.wait(usable_rate_fraction(), demand_share(entry));
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
        auto& entry = found->second;
        refill(now, entry);
        entry.tokens.charge(entry.peers.on_report(now, report.vm.value, report.incarnation, totals));
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
