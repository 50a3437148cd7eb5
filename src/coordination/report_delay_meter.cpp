#include "coordination/report_delay_meter.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// Weight of a new report in the smoothed age of a VM's reports.
constexpr double smoothing = 0.3;
// Most by which the clocks of two VMs are assumed to drift apart, as a fraction of the time.
constexpr double max_clock_drift = 200e-6;

} // namespace

report_delay_meter::measurement report_delay_meter::on_report(time_ms now, const vm_report& report) {
    const auto difference_ms = static_cast<double>((now - report.made_at).count);
    const auto [found, is_new] = senders_.try_emplace(report.vm.value);
    auto& known = found->second;
    if (is_new || known.incarnation != report.incarnation) {
        sum_ms_ -= known.smoothed_ms;
        known = {report.incarnation, now, difference_ms, 0};
        return {};
    }
    const auto interval = now - known.heard;
    known.heard = now;
    known.least_difference_ms = std::min(
        known.least_difference_ms + max_clock_drift * static_cast<double>(interval.count), difference_ms);
    const time_ms wait{static_cast<std::int64_t>(difference_ms - known.least_difference_ms)};
    const auto age = interval + wait;
    const double change = smoothing * (static_cast<double>(age.count) - known.smoothed_ms);
    known.smoothed_ms += change;
    sum_ms_ += change;
    longest_ = std::max(longest_, age);
    return {wait, age};
}

double report_delay_meter::mean_ms() const {
    return senders_.empty() ? 0 : std::max(0.0, sum_ms_) / static_cast<double>(senders_.size());
}

time_ms report_delay_meter::take_longest() {
    return std::exchange(longest_, time_ms{0});
}

} // namespace lacewing
