#include "state/admission_ledger.h"

#include <algorithm>
#include <stdexcept>

namespace lacewing {

namespace {

constexpr std::int64_t micro_tokens_per_request = 1'000'000;

} // namespace

void admission_ledger::refill_buckets(account_record& record, time_ms now) {
    if (now < record.updated) {
        throw std::invalid_argument("admission ledger: time decreases");
    }
    const std::int64_t added = record.rate * (now - record.updated).count;
    for (auto& bucket : record.buckets) {
        bucket.level = std::min(bucket.burst, bucket.level + added);
    }
    record.updated = now;
}

void admission_ledger::set_limits(time_ms now, std::string_view account, std::int64_t rate,
                                  std::int64_t burst) {
    auto& record = accounts_[std::string(account)];
    if (record.buckets.empty()) {
        record.updated = now;
    }
    refill_buckets(record, now);
    record.rate = rate;
    for (auto& bucket : record.buckets) {
        // Windows that begin before the change may use a larger burst at once.
        const std::int64_t increase = std::max<std::int64_t>(0, burst - bucket.burst);
        bucket.burst += increase;
        bucket.level += increase;
    }
    record.buckets.push_back({burst, burst});
}

bool admission_ledger::record(time_ms now, std::string_view account) {
    const auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        ++violations_;
        return false;
    }
    auto& record = found->second;
    refill_buckets(record, now);
    ++record.admissions;
    bool within_limits = true;
    for (auto& bucket : record.buckets) {
        bucket.level -= micro_tokens_per_request;
        within_limits = within_limits && bucket.level >= 0;
    }
    violations_ += within_limits ? 0 : 1;
    return within_limits;
}

bool admission_ledger::would_admit(time_ms now, std::string_view account) {
    const auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        return false;
    }
    refill_buckets(found->second, now);
    return std::all_of(
        found->second.buckets.begin(), found->second.buckets.end(),
        [](const reference_bucket& bucket) { return bucket.level >= micro_tokens_per_request; });
}

std::uint64_t admission_ledger::admissions(std::string_view account) const {
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? 0 : found->second.admissions;
}

} // namespace lacewing
