#include "coordination/peer_usage.h"

#include "coordination/demand_meter.h"

#include <algorithm>
#include <iterator>

namespace lacewing {

namespace {

// Reports come at least every 300 ms; a VM without one for this long counts as silent here.
constexpr time_ms silent_after{450};
// A silent VM is assumed to go on admitting for this long, until it is no longer counted as alive (computed
// from 1.2 s of silence and one count per second) and its part of the refill is reserved.
constexpr time_ms max_assumed_time{2200};

// Admissions in a time span at a rate.
double admissions(double per_s, time_ms span) {
    return per_s * static_cast<double>(span.count) / 1000.0;
}

double rate_between(std::int64_t before, std::int64_t after, time_ms span) {
    const auto span_ms = std::max<std::int64_t>(1, span.count);
    return static_cast<double>(after - before) * 1000.0 / static_cast<double>(span_ms);
}

} // namespace

// Appends a VM to the list of a stage.
void peer_usage::move_to(peer_list::iterator item, silence stage) {
    auto& to = list_of(stage);
    to.splice(to.end(), item->rates_measured ? list_of(item->stage) : unmeasured_, item);
    item->stage = stage;
}

void peer_usage::count_demand(const peer& known) {
    demand_.asked_per_s += known.asked_per_s;
    ++demand_.vms;
}

void peer_usage::discount_demand(const peer& known) {
    --demand_.vms;
    // The sum of no rates is exactly zero, so rounding errors do not add up.
    demand_.asked_per_s = demand_.vms == 0 ? 0 : std::max(0.0, demand_.asked_per_s - known.asked_per_s);
}

double peer_usage::assumed_admissions(time_ms now, const peer& known) {
    if (!known.rates_measured || known.stage == silence::none) return 0;
    return admissions(known.admitted_per_s, std::min(now - known.updated, max_assumed_time));
}

double peer_usage::advance(time_ms now) {
    double assumed = admissions(assumed_per_s_, now - advanced_);
    advanced_ = now;
    const auto pass = [&](silence from, silence to, const auto& is_over, const auto& on_passed) {
        auto& list = list_of(from);
        while (!list.empty() && is_over(now - list.front().updated)) {
            on_passed(list.front());
            move_to(list.begin(), to);
        }
    };
    pass(
        silence::none, silence::assumed, [](time_ms silent) { return silent >= silent_after; },
        [&](const peer& known) {
            assumed += admissions(known.admitted_per_s, now - known.updated);
            assumed_per_s_ += known.admitted_per_s;
        });
    pass(
        silence::assumed, silence::assumed_no_longer,
        [](time_ms silent) { return silent >= max_assumed_time; },
        [&](const peer& known) {
            assumed -= admissions(known.admitted_per_s, now - known.updated - max_assumed_time);
            assumed_per_s_ -= known.admitted_per_s;
        });
    pass(
        silence::assumed_no_longer, silence::stale, [](time_ms silent) { return silent > stale_report_age; },
        [&](const peer& known) { discount_demand(known); });
    if (list_of(silence::assumed).empty()) assumed_per_s_ = 0;
    return assumed;
}

double peer_usage::on_report(time_ms now, const std::string& vm, incarnation_id incarnation,
                             const rate_usage& totals) {
    auto found = by_name_.find(vm);
    if (found == by_name_.end()) {
        unmeasured_.push_back({.incarnation = incarnation, .totals = totals, .updated = now});
        by_name_.emplace(vm, std::prev(unmeasured_.end()));
        return 0;
    }
    const auto item = found->second;
    auto& known = *item;
    // Admissions before this VM began to receive reports belong to an earlier refill and are not all known.
    const bool continued = known.incarnation == incarnation && now - known.updated <= stale_report_age;
    // The report replaces the assumed admissions by the actual ones.
    const double correction = continued ? static_cast<double>(totals.admitted - known.totals.admitted) -
                                              assumed_admissions(now, known)
                                        : 0;
    if (known.rates_measured && known.stage != silence::stale) discount_demand(known);
    if (known.rates_measured && known.stage == silence::assumed) assumed_per_s_ -= known.admitted_per_s;
    if (continued) {
        const double weight = known.rates_measured ? demand_meter::smoothing : 1.0;
        const auto span = now - known.updated;
        known.asked_per_s +=
            weight * (rate_between(known.totals.asked, totals.asked, span) - known.asked_per_s);
        known.admitted_per_s +=
            weight * (rate_between(known.totals.admitted, totals.admitted, span) - known.admitted_per_s);
        move_to(item, silence::none);
        known.rates_measured = true;
        count_demand(known);
    } else {
        unmeasured_.splice(unmeasured_.end(), known.rates_measured ? list_of(known.stage) : unmeasured_,
                           item);
        known.rates_measured = false;
    }
    known.incarnation = incarnation;
    known.totals = totals;
    known.updated = now;
    return correction;
}

} // namespace lacewing
