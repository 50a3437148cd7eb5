#include "coordination/account_limiter.h"

#include <algorithm>
#include <limits>

namespace lacewing {

namespace {

// Fraction of the burst above which the usage of an account is only in reports of all accounts.
constexpr double far_from_limit_fraction = 0.8;
constexpr time_ms min_retry_after{100};
constexpr time_ms max_retry_after{2000};
// A VM that has not reported the usage of an account may have demand at any time, for example after a restart
// of the whole fleet.
constexpr time_ms assume_unreported_until{std::numeric_limits<std::int64_t>::max()};

} // namespace

void account_limiter::configure(time_ms now, const std::vector<service_account>& accounts) {
    std::unordered_map<std::string, fleet_token_bucket> kept;
    for (const auto& account : accounts) {
        const auto& name = account.name.value;
        const auto found = buckets_.find(name);
        const double level = fleet_start_ ? account.burst : 0;
        auto& bucket = kept.try_emplace(name, found != buckets_.end()
                                                  ? std::move(found->second)
                                                  : fleet_token_bucket(now, level, assume_unreported_until))
                           .first->second;
        bucket.configure(now, account.rate_per_s, account.burst, coverage_);
    }
    buckets_ = std::move(kept);
}

void account_limiter::set_fleet(std::size_t known_vms, std::size_t heard_vms, bool in_majority) {
    coverage_ = {std::max<std::size_t>(1, known_vms), std::max<std::size_t>(1, heard_vms), in_majority};
}

account_limiter::decision account_limiter::ask(time_ms now, const std::string& account) {
    const auto found = buckets_.find(account);
    if (found == buckets_.end() || found->second.rate() <= 0) return {};
    auto& bucket = found->second;
    bucket.refill(now, coverage_);
    bucket.on_demand();
    if (!bucket.has_token(coverage_))
        return {false, std::clamp(bucket.wait(now, coverage_), min_retry_after, max_retry_after)};
    bucket.take();
    return {};
}

void account_limiter::refund(const std::string& account) {
    const auto found = buckets_.find(account);
    if (found != buckets_.end()) found->second.refund();
}

void account_limiter::on_report(time_ms now, const vm_report& report) {
    for (const auto& [account, totals] : report.usage) {
        const auto found = buckets_.find(account);
        if (found != buckets_.end()) found->second.on_usage(now, report, totals, coverage_);
    }
}

std::vector<std::pair<std::string, rate_usage>> account_limiter::usage(bool all) const {
    std::vector<std::pair<std::string, rate_usage>> result;
    for (const auto& [account, bucket] : buckets_) {
        if (!all && bucket.level() >= bucket.burst() * far_from_limit_fraction) continue;
        if (bucket.usage().asked != 0) result.emplace_back(account, bucket.usage());
    }
    return result;
}

} // namespace lacewing
