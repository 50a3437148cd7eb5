#include "coordination/region_shift_limiter.h"

#include <algorithm>

namespace lacewing {

namespace {

double total_of(const std::map<std::uint32_t, double>& counts) {
    double total = 0;
    for (const auto& [region, count] : counts)
        total += count;
    return total;
}

double count_of(const std::map<std::uint32_t, double>& counts, std::uint32_t region) {
    const auto found = counts.find(region);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

region_shift_limiter::region_counts region_shift_limiter::sum(std::int64_t first, std::int64_t last) const {
    region_counts total;
    for (const auto& item : history_) {
        if (item.number < first || item.number > last) continue;
        for (const auto& [region, count] : item.counts)
            total[region] += count;
    }
    return total;
}

void region_shift_limiter::add(std::int64_t number, std::uint32_t region, double requests) {
    if (number - last_bucket_ >= static_cast<std::int64_t>(bucket_count)) first_bucket_ = number;
    last_bucket_ = std::max(last_bucket_, number);
    auto& item = history_.at(static_cast<std::size_t>(number) % bucket_count);
    if (item.number > number) return;
    if (item.number < number) item = {number, {}};
    item.counts[region] += requests;
}

// Shares of less than a whole window say little: at the start of traffic all requests fit into the nearest
// region.
std::int64_t region_shift_limiter::later_window(time_ms now) const {
    return std::max(bucket_number(now) - buckets_per_window + 1,
                    first_bucket_ + std::int64_t{buckets_per_window});
}

bool region_shift_limiter::allows(time_ms now, std::uint32_t region,
                                  std::span<const region_capacity> capacities) {
    const auto number = bucket_number(now);
    const auto middle = later_window(now);
    const auto before = sum(middle - buckets_per_window, middle - 1);
    if (number < middle || total_of(before) < min_requests) {
        ++decisions_.without_history;
        return true;
    }
    const auto current = sum(middle, number);
    // A region keeps the part of its earlier share that its remaining endpoints can take.
    const auto kept_requests = [&before](const region_capacity& capacity) {
        const double listed = capacity.usable_slots + capacity.failed_slots;
        return listed > 0 ? count_of(before, capacity.region) * capacity.usable_slots / listed : 0;
    };
    double kept_total = 0;
    double usable_slots = 0;
    double current_total = 0;
    for (const auto& capacity : capacities) {
        kept_total += kept_requests(capacity);
        usable_slots += capacity.usable_slots;
        current_total += count_of(current, capacity.region);
    }
    if (usable_slots <= 0) return true;
    const double lost_requests = total_of(before) - kept_total;
    if (lost_requests > 0) ++decisions_.with_failed_slots;
    double shift = 0;
    double shift_without = 0;
    for (const auto& capacity : capacities) {
        // What has failed is divided by slots.
        const double moved = lost_requests * capacity.usable_slots / usable_slots;
        const double reference = (kept_requests(capacity) + moved) / total_of(before);
        const double count = count_of(current, capacity.region);
        const double added = capacity.region == region ? 1 : 0;
        shift += std::max(0.0, (count + added) / (current_total + 1) - reference);
        if (current_total > 0) shift_without += std::max(0.0, count / current_total - reference);
    }
    if (current_total > 0 && shift < shift_without) {
        ++decisions_.closer;
        return true;
    }
    const double left = max_shift_ * used_fraction + slack_requests / (current_total + 1) - shift;
    // Part of a window's requests that the VMs of the region send before they know of each other's.
    constexpr double unknown_share =
        static_cast<double>(report_delay.count) / static_cast<double>(window.count);
    const bool within_limit =
        left > 0 && (reporters_.empty() ||
                     std::uniform_real_distribution<double>(0, unknown_share)(random_) < left);
    ++(within_limit ? decisions_.within_limit : decisions_.refused);
    return within_limit;
}

region_shift_view region_shift_limiter::take_view(time_ms now) {
    const auto middle = later_window(now);
    const auto before = sum(middle - buckets_per_window, middle - 1);
    const auto current = sum(middle, bucket_number(now));
    region_shift_view view;
    view.requests_before = total_of(before);
    view.requests_now = total_of(current);
    if (view.requests_before > 0 && view.requests_now > 0) {
        for (const auto& [region, count] : current) {
            view.shift += std::max(0.0, count / view.requests_now -
                                            count_of(before, region) / view.requests_before);
        }
    }
    view.decisions = decisions_;
    view.report_age_ms = report_delays_.mean_ms();
    view.longest_report_age = report_delays_.take_longest();
    return view;
}

void region_shift_limiter::on_send(time_ms now, std::uint32_t region) {
    add(bucket_number(now), region, 1);
    ++own_totals_[region];
}

void region_shift_limiter::on_report(time_ms now, const vm_report& report) {
    report_delays_.on_report(now, report);
    send_totals totals;
    for (const auto& sent : report.region_sends)
        totals[sent.region] = sent.total;
    auto& known = reporters_[report.vm.value];
    if (known.incarnation != report.incarnation) {
        known = {report.incarnation, totals};
        assume_shares(now, totals);
        return;
    }
    for (const auto& [region, total] : totals) {
        auto& known_total = known.totals[region];
        // A report that arrives late holds a lower total than one that overtook it.
        if (total <= known_total) continue;
        add(bucket_number(now), region, static_cast<double>(total - known_total));
        known_total = total;
    }
}

// Takes the shares of another VM for the time before this VM started.
void region_shift_limiter::assume_shares(time_ms now, const send_totals& totals) {
    const auto number = bucket_number(now);
    const auto before = sum(number - 2 * buckets_per_window + 1, number - buckets_per_window);
    double total_sent = 0;
    for (const auto& [region, total] : totals)
        total_sent += static_cast<double>(total);
    if (total_of(before) >= min_requests || total_sent < min_requests) return;
    for (auto earlier = number - 2 * buckets_per_window + 1; earlier < number; ++earlier) {
        for (const auto& [region, total] : totals)
            add(earlier, region, assumed_requests_per_bucket * static_cast<double>(total) / total_sent);
    }
}

void region_shift_limiter::fill(vm_report& report) const {
    for (const auto& [region, total] : own_totals_)
        report.region_sends.push_back({region, total});
}

} // namespace lacewing
