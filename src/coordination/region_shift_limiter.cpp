#include "coordination/region_shift_limiter.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace lacewing {

namespace {

// Rounding error of a sum of shares.
constexpr double share_tolerance = 1e-9;

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

region_shift_limiter::region_counts region_shift_limiter::sum(const history& counted, std::int64_t first,
                                                              std::int64_t last) {
    region_counts total;
    for (const auto& item : counted) {
        if (item.number < first || item.number > last) continue;
        for (const auto& [region, count] : item.counts)
            total[region] += count;
    }
    // Requests may be taken back in a later bucket than the one in which they were counted.
    for (auto& [region, count] : total)
        count = std::max(0.0, count);
    return total;
}

void region_shift_limiter::add(history& counted, std::int64_t number, std::uint32_t region, double requests) {
    auto& item = counted.at(static_cast<std::size_t>(number) % bucket_count);
    if (item.number > number) return;
    if (item.number < number) item = {number, {}};
    item.counts[region] += requests;
}

void region_shift_limiter::add_to_region(std::int64_t number, std::uint32_t region, double requests) {
    const bool begins = number - last_bucket_ >= static_cast<std::int64_t>(bucket_count);
    // Other VMs may have begun earlier, and tell of it later.
    const bool began_earlier =
        number < first_bucket_ && last_bucket_ - number < static_cast<std::int64_t>(bucket_count);
    if (begins || began_earlier) first_bucket_ = number;
    last_bucket_ = std::max(last_bucket_, number);
    add(history_, number, region, requests);
}

// Shares of less than a whole window say little: at the start of traffic all requests fit into the nearest
// region.
std::int64_t region_shift_limiter::later_window(time_ms now) const {
    return std::max(bucket_number(now) - buckets_per_window + 1,
                    first_bucket_ + std::int64_t{buckets_per_window});
}

// A region keeps the part of its earlier share that its remaining endpoints can take; what has failed is
// divided by slots.
void region_shift_limiter::find_references(const region_counts& before,
                                           std::span<const region_capacity> capacities) {
    allotments_.assign(capacities.size(), {});
    const double total = total_of(before);
    double kept = 0;
    double usable_slots = 0;
    for (std::size_t i = 0; i < capacities.size(); ++i) {
        const auto& capacity = capacities[i];
        const double listed = capacity.usable_slots + capacity.failed_slots;
        if (listed > 0) {
            allotments_[i].reference =
                count_of(before, capacity.region) / total * capacity.usable_slots / listed;
        }
        kept += allotments_[i].reference;
        usable_slots += capacity.usable_slots;
    }
    if (kept < 1 - share_tolerance) ++decisions_.with_failed_slots;
    for (std::size_t i = 0; i < capacities.size() && usable_slots > 0; ++i)
        allotments_[i].reference += (1 - kept) * capacities[i].usable_slots / usable_slots;
}

// Counts the requests of this VM by region, and returns their sum.
double region_shift_limiter::count_own(std::int64_t first, std::int64_t last,
                                       std::span<const region_capacity> capacities) {
    const auto own = sum(own_history_, first, last);
    double total = 0;
    for (std::size_t i = 0; i < capacities.size(); ++i) {
        allotments_[i].sent = count_of(own, capacities[i].region);
        total += allotments_[i].sent;
    }
    return total;
}

// Draws the positions of the rounding. The number of requests so far enters, so VMs with equal seeds differ.
void region_shift_limiter::draw_rounding() {
    std::uint64_t sent = 0;
    for (const auto& [region, total] : own_totals_)
        sent += total.sent;
    std::mt19937_64 random(seed_ + sent);
    std::uniform_real_distribution<double> position(0, 1);
    rounding_ = {position(random), position(random)};
}

// Divides a number of requests by the references. Each request stands for a point of the unit interval, with
// equal distances; it is due to the region in whose part of the interval it lies.
void region_shift_limiter::round_due(double requests) {
    double part_end = 0;
    double divided = 0;
    for (auto& region : allotments_) {
        part_end += region.reference;
        const bool is_last = &region == &allotments_.back();
        const double points =
            is_last ? requests
                    : std::clamp(std::ceil(part_end * requests - rounding_->shares), divided, requests);
        region.due = points - divided;
        divided = points;
    }
}

bool region_shift_limiter::allows(time_ms now, std::uint32_t region,
                                  std::span<const region_capacity> capacities) {
    const auto number = bucket_number(now);
    const auto middle = later_window(now);
    const auto before = sum(history_, middle - buckets_per_window, middle - 1);
    if (number < middle || total_of(before) < min_requests) {
        ++decisions_.without_history;
        return true;
    }
    if (!rounding_) draw_rounding();
    find_references(before, capacities);
    const double requests = count_own(middle, number, capacities) + 1;
    round_due(requests);
    double moved = 0;
    bool below_share = false;
    for (std::size_t i = 0; i < capacities.size(); ++i) {
        const auto& [reference, sent, due] = allotments_[i];
        const bool chosen = capacities[i].region == region;
        if (chosen) below_share = sent < due;
        moved += std::max(0.0, sent + (chosen ? 1 : 0) - due);
    }
    const bool within_limit = moved <= max_shift_ * used_fraction * requests + rounding_->limit;
    ++(below_share ? decisions_.below_share : within_limit ? decisions_.within_limit : decisions_.refused);
    return below_share || within_limit;
}

region_shift_view region_shift_limiter::take_view(time_ms now) {
    const auto middle = later_window(now);
    const auto before = sum(history_, middle - buckets_per_window, middle - 1);
    const auto current = sum(history_, middle, bucket_number(now));
    region_shift_view view;
    view.requests_before = total_of(before);
    view.requests_now = total_of(current);
    if (view.requests_before > 0 && view.requests_now > 0) {
        for (const auto& [region, count] : current) {
            view.shift +=
                std::max(0.0, count / view.requests_now - count_of(before, region) / view.requests_before);
        }
    }
    view.decisions = decisions_;
    view.report_age_ms = report_delays_.mean_ms();
    view.longest_report_age = report_delays_.take_longest();
    return view;
}

void region_shift_limiter::on_send(time_ms now, std::uint32_t region) {
    add_to_region(bucket_number(now), region, 1);
    add(own_history_, bucket_number(now), region, 1);
    ++own_totals_[region].sent;
}

void region_shift_limiter::on_not_run(time_ms sent, std::uint32_t region) {
    add_to_region(bucket_number(sent), region, -1);
    add(own_history_, bucket_number(sent), region, -1);
    ++own_totals_[region].returned;
}

void region_shift_limiter::on_report(time_ms now, const vm_report& report) {
    // The requests that the report tells of were sent before it waited.
    const auto number = bucket_number(now - report_delays_.on_report(now, report).wait);
    send_totals totals;
    for (const auto& sent : report.region_sends)
        totals[sent.region] = {sent.sent, sent.returned};
    auto& known = reporters_[report.vm.value];
    if (known.incarnation != report.incarnation) {
        known = {report.incarnation, totals};
        assume_shares(now, totals);
        return;
    }
    for (const auto& [region, total] : totals) {
        auto& known_total = known.totals[region];
        // A report that arrives late holds lower totals than one that overtook it.
        const send_total newest{std::max(total.sent, known_total.sent),
                                std::max(total.returned, known_total.returned)};
        const double change = newest.run() - known_total.run();
        if (change != 0) add_to_region(number, region, change);
        known_total = newest;
    }
}

// Takes the shares of another VM for the time before this VM started.
void region_shift_limiter::assume_shares(time_ms now, const send_totals& totals) {
    const auto number = bucket_number(now);
    const auto before = sum(history_, number - 2 * buckets_per_window + 1, number - buckets_per_window);
    double total_sent = 0;
    for (const auto& [region, total] : totals)
        total_sent += total.run();
    if (total_of(before) >= min_requests || total_sent < min_requests) return;
    for (auto earlier = number - 2 * buckets_per_window + 1; earlier < number; ++earlier) {
        for (const auto& [region, total] : totals)
            add_to_region(earlier, region, assumed_requests_per_bucket * total.run() / total_sent);
    }
}

void region_shift_limiter::fill(vm_report& report) const {
    for (const auto& [region, total] : own_totals_)
        report.region_sends.push_back({region, total.sent, total.returned});
}

} // namespace lacewing
