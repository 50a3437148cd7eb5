#include "coordination/endpoint_limit.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace lacewing {

namespace {

constexpr double max_per_s = 1e9;
// The reports of this many milliseconds after a change, also of the end of a limit, carry it, so that the
// loss of some of them delays no VM.
constexpr time_ms change_repeat_time{1000};
// For this long after its end, full reports name the end of a limit.
constexpr time_ms end_repeat_time{5000};
// Another VM's answer replaces this VM's own only if it is later by more than a report takes between regions,
// because the time of the report's way counts as if the answer were later.
constexpr time_ms min_later{150};
// Time until a request of another VM is known here: between the delays in a region and between regions.
constexpr time_ms report_delay{200};
// For this long after a limit is named, all VMs have equal shares, until the demand is known from reports.
constexpr time_ms equal_share_time{1000};
// Added to the demand of the fleet, so that the first request of a VM finds a share.
constexpr double min_demand_per_s = 0.5;

} // namespace

std::optional<double> parse_endpoint_limit(std::string_view text) {
    double per_s = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, per_s, std::chars_format::fixed);
    if (parsed.ec != std::errc{} || parsed.ptr != end || !(per_s <= max_per_s) || std::signbit(per_s))
        return {};
    return std::round(per_s * 1000) / 1000;
}

endpoint_limit::division::division(time_ms now, double per_s)
    // The bucket starts empty, because the endpoint has just got more than it takes.
    : tokens(now, 0), own_demand(now), other_demand(now), begin(now) {
    configure(per_s);
}

void endpoint_limit::division::configure(double per_s) {
    const double rate = std::max(per_s, min_per_s);
    tokens.configure(rate, std::max(1.0, rate * static_cast<double>(burst_time.count) / 1000));
}

// Share of this VM in the demand for the endpoint.
double endpoint_limit::division::share(time_ms now, std::size_t live_vms) const {
    const double equal = 1 / static_cast<double>(live_vms);
    if (now - begin < equal_share_time) return equal;
    const double own = own_demand.per_s() + min_demand_per_s * equal;
    return own / (own + other_demand.per_s() + min_demand_per_s * (1 - equal));
}

bool endpoint_limit::set(time_ms now, std::optional<double> per_s) {
    if (per_s == current_.per_s) return false;
    if (!per_s) {
        division_.reset();
    } else if (division_) {
        division_->configure(*per_s);
    } else {
        division_.emplace(now, *per_s);
        unreported_ = {};
    }
    current_ = {per_s, now, 0};
    ever_limited_ = true;
    return true;
}

bool endpoint_limit::on_answer(time_ms now, std::optional<double> per_s) {
    answered_at_ = now;
    answered_here_ = true;
    return set(now, per_s);
}

bool endpoint_limit::on_report(time_ms now, const endpoint_limit_report& report) {
    bool changed = false;
    if (report.answer) {
        const auto at = now - report.answer->age;
        if (!answered_at_ || at > *answered_at_ + min_later) {
            answered_at_ = at;
            answered_here_ = false;
            changed = set(now, report.answer->per_s);
        }
    }
    if (division_) {
        division_->tokens.charge(static_cast<double>(report.usage.admitted));
        division_->other_demand.count(report.usage.asked);
    }
    return changed;
}

std::optional<endpoint_limit_report> endpoint_limit::report(time_ms now, report_audience audience,
                                                            bool full) const {
    if (!ever_limited_) return {};
    const auto& usage = unreported_.at(static_cast<std::size_t>(audience));
    const bool used = division_ && usage.asked > 0;
    const bool repeated = now - current_.begin < change_repeat_time ||
                          (full && (division_ || now - current_.begin < end_repeat_time));
    if (!used && !(answered_here_ && repeated)) return {};
    endpoint_limit_report made;
    if (answered_here_) made.answer = {current_.per_s, now - *answered_at_};
    if (used) made.usage = usage;
    return made;
}

void endpoint_limit::clear_unreported(report_audience audience) {
    unreported_.at(static_cast<std::size_t>(audience)) = {};
}

bool endpoint_limit::admits(time_ms now, std::size_t live_vms, double chance) {
    if (!division_) return true;
    division_->own_demand.update(now);
    division_->other_demand.update(now);
    // Nothing is reserved for VMs that are not heard: in a network partition, an endpoint is mostly reached
    // from one side only.
    division_->tokens.refill(now, 1, division_->share(now, live_vms));
    const double unknown_requests =
        division_->other_demand.per_s() * static_cast<double>(report_delay.count) / 1000;
    return division_->tokens.has_token(chance * (unknown_requests + 1) < division_->tokens.level());
}

void endpoint_limit::count_demand() {
    division_->own_demand.count();
    for (auto& usage : unreported_)
        ++usage.asked;
}

void endpoint_limit::on_held_back() {
    if (division_) count_demand();
}

void endpoint_limit::on_send() {
    if (!division_) return;
    ++current_.sent;
    count_demand();
    division_->tokens.take();
    for (auto& usage : unreported_)
        ++usage.admitted;
}

void endpoint_limit::on_unsent() {
    if (!division_) return;
    division_->tokens.refund();
    for (auto& usage : unreported_)
        usage.admitted = std::max<std::int64_t>(0, usage.admitted - 1);
}

} // namespace lacewing
