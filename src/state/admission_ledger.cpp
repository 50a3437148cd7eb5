#include "state/admission_ledger.h"

#include <algorithm>
#include <stdexcept>

namespace lacewing {

namespace {

constexpr std::int64_t one_request = 1'000'000;

} // namespace

void admission_ledger::advance(account_record& record, time_ms now) {
    if (now < record.updated) {
        throw std::invalid_argument("admission ledger: time decreases");
    }
    const std::int64_t refill = record.rate * (now - record.updated).count;
    for (auto& bucket : record.buckets) {
        bucket.level = std::min(bucket.burst, bucket.level + refill);
    }
    record.updated = now;
}

void admission_ledger::set_limits(time_ms now, std::string_view account, std::int64_t rate,
                                  std::int64_t burst) {
    auto& record = accounts_[std::string(account)];
    if (record.buckets.empty()) {
        record.updated = now;
    }
    advance(record, now);
    record.rate = rate;
    for (auto& bucket : record.buckets) {
        // A larger burst is available at once to windows that begin before the change.
        const std::int64_t raised = std::max<std::int64_t>(0, burst - bucket.burst);
        bucket.burst += raised;
        bucket.level += raised;
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
    advance(record, now);
    ++record.admissions;
    bool holds = true;
    for (auto& bucket : record.buckets) {
        bucket.level -= one_request;
        holds = holds && bucket.level >= 0;
    }
    violations_ += holds ? 0 : 1;
    return holds;
}

bool admission_ledger::would_admit(time_ms now, std::string_view account) {
    const auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        return false;
    }
    advance(found->second, now);
    return std::all_of(found->second.buckets.begin(), found->second.buckets.end(),
                       [](const reference_bucket& bucket) { return bucket.level >= one_request; });
}

std::uint64_t admission_ledger::admissions(std::string_view account) const {
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? 0 : found->second.admissions;
}

} // namespace lacewing
