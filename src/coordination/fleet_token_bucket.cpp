#include "coordination/fleet_token_bucket.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

// Demand is measured over at least this time.
constexpr time_ms min_demand_interval{250};
// Weight of a new measurement in the smoothed rates.
constexpr double demand_smoothing = 0.4;
// Reports come at least every 300 ms; a VM without one for this long counts as silent here.
constexpr time_ms silent_after{450};
// A silent VM is assumed to go on admitting for this long, until it is no longer counted as alive (computed
// from 1.2 s of silence and one count per second) and its part of the refill is reserved.
constexpr time_ms max_assumed_time{2200};
// Added to the demand of every VM, so that the first request finds a share of the refill.
constexpr double min_demand_per_s = 0.5;
// A VM saves at most its share of the refill of this many seconds.
constexpr double max_saved_refill_s = 0.5;
// Smallest rate of own tokens from which a wait is computed.
constexpr double min_own_rate_per_s = 0.1;

// Fraction of the rate that the VMs on this side of a network partition may give out together; 1 while all
// VMs are heard.
double usable_rate_fraction(const fleet_coverage& coverage) {
    const double heard =
        std::min(1.0, static_cast<double>(coverage.heard_vms) / static_cast<double>(coverage.known_vms));
    return coverage.in_majority ? 1 - fleet_token_bucket::reserved_fraction * (1 - heard)
                                : fleet_token_bucket::minority_fraction * heard;
}

} // namespace

fleet_token_bucket::fleet_token_bucket(time_ms now, double level, time_ms assume_unreported_until)
    : level_(level), updated_(now), assume_unreported_until_(assume_unreported_until), measured_at_(now) {}

void fleet_token_bucket::configure(time_ms now, double rate, double burst, const fleet_coverage& coverage) {
    refill(now, coverage);
    rate_ = rate;
    burst_ = burst;
    level_ = std::min(level_, burst_);
}

// Share of this VM in the demand of the VMs that it receives reports from.
double fleet_token_bucket::demand_share(time_ms now, const fleet_coverage& coverage) const {
    const double own = asked_per_s_ + min_demand_per_s;
    double total = own;
    std::size_t counted = 1;
    for (const auto& [vm, peer] : peers_) {
        if (!peer.rates_measured || now - peer.updated > stale_report_age) continue;
        total += peer.asked_per_s + min_demand_per_s;
        ++counted;
    }
    const bool assume = now < assume_unreported_until_ && coverage.heard_vms > counted;
    const auto unreported = assume ? static_cast<double>(coverage.heard_vms - counted) : 0.0;
    return own / (total + unreported * own);
}

// Subtracts what silent VMs are assumed to have admitted since their last report.
void fleet_token_bucket::charge_silent_peers(time_ms now) {
    for (auto& [vm, peer] : peers_) {
        const auto silence = now - peer.updated;
        if (!peer.rates_measured || silence < silent_after) continue;
        const auto span = std::min(silence, max_assumed_time);
        const double assumed = peer.admitted_per_s * static_cast<double>(span.count) / 1000.0;
        level_ -= assumed - peer.assumed_admissions;
        peer.assumed_admissions = assumed;
    }
}

// Updates the smoothed demand at this VM.
void fleet_token_bucket::measure_demand(time_ms now) {
    const auto span = now - measured_at_;
    if (span < min_demand_interval) return;
    const double asked = static_cast<double>(own_.asked - own_at_measurement_.asked);
    asked_per_s_ += demand_smoothing * (asked * 1000.0 / static_cast<double>(span.count) - asked_per_s_);
    own_at_measurement_ = own_;
    measured_at_ = now;
}

void fleet_token_bucket::refill(time_ms now, const fleet_coverage& coverage) {
    const double seconds = static_cast<double>((now - updated_).count) / 1000.0;
    if (seconds <= 0) return;
    updated_ = now;
    charge_silent_peers(now);
    const double usable_rate = rate_ * usable_rate_fraction(coverage);
    level_ = std::min(burst_, level_ + usable_rate * seconds);
    const double own_rate = usable_rate * demand_share(now, coverage);
    const double max_own_tokens = std::max(1.0, own_rate * max_saved_refill_s);
    // Nothing is saved while the level is negative; otherwise all VMs would spend their saved tokens at once
    // when it is no longer negative.
    if (level_ >= 0) own_tokens_ = std::min(max_own_tokens, own_tokens_ + own_rate * seconds);
    measure_demand(now);
}

bool fleet_token_bucket::has_token(const fleet_coverage& coverage) const {
    const bool well_filled = coverage.in_majority && level_ >= std::max(1.0, burst_ / 2);
    // A negative level means that several VMs gave out the same tokens; the refill first makes up for them.
    return well_filled || (level_ >= 0 && own_tokens_ >= 1);
}

void fleet_token_bucket::take() {
    level_ -= 1;
    own_tokens_ = std::max(0.0, own_tokens_ - 1);
    ++own_.admitted;
}

void fleet_token_bucket::refund() {
    level_ += 1;
    own_tokens_ += 1;
    --own_.admitted;
}

time_ms fleet_token_bucket::wait(time_ms now, const fleet_coverage& coverage) const {
    const double own_rate =
        std::max(min_own_rate_per_s, rate_ * usable_rate_fraction(coverage) * demand_share(now, coverage));
    return time_ms{static_cast<std::int64_t>(std::ceil((1 - own_tokens_) * 1000 / own_rate))};
}

void fleet_token_bucket::on_usage(time_ms now, const vm_report& from, const rate_usage& totals,
                                  const fleet_coverage& coverage) {
    refill(now, coverage);
    auto& peer = peers_[from.vm.value];
    const bool known = peer.incarnation == from.incarnation;
    const bool continued = known && now - peer.updated <= stale_report_age;
    const auto before = known ? peer.totals : rate_usage{};
    if (continued) {
        const auto span = static_cast<double>(std::max<std::int64_t>(1, (now - peer.updated).count));
        const double asked_per_s = static_cast<double>(totals.asked - before.asked) * 1000.0 / span;
        const double admitted_per_s = static_cast<double>(totals.admitted - before.admitted) * 1000.0 / span;
        const double weight = peer.rates_measured ? demand_smoothing : 1.0;
        peer.asked_per_s += weight * (asked_per_s - peer.asked_per_s);
        peer.admitted_per_s += weight * (admitted_per_s - peer.admitted_per_s);
        // The report replaces the assumed admissions by the actual ones. Admissions before this VM began to
        // receive reports belong to an earlier refill and are not all known.
        level_ += peer.assumed_admissions - static_cast<double>(totals.admitted - before.admitted);
    }
    peer.assumed_admissions = 0;
    peer.rates_measured = continued;
    peer.incarnation = from.incarnation;
    peer.totals = totals;
    peer.updated = now;
}

} // namespace lacewing
