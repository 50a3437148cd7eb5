#include "coordination/report_delay_meter.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// Weight of a new report in the smoothed age of a VM's reports.
constexpr double smoothing = 0.3;

} // namespace

time_ms report_delay_meter::on_report(time_ms now, const vm_report& report) {
    const auto difference = now - report.made_at;
    const auto [found, is_new] = senders_.try_emplace(report.vm.value);
    auto& known = found->second;
    if (is_new || known.incarnation != report.incarnation) {
        sum_ms_ -= known.smoothed_ms;
        known = {report.incarnation, now, difference, 0};
        return time_ms{0};
    }
    known.least_difference = std::min(known.least_difference, difference);
    const auto age = now - known.heard + (difference - known.least_difference);
    known.heard = now;
    const double change = smoothing * (static_cast<double>(age.count) - known.smoothed_ms);
    known.smoothed_ms += change;
    sum_ms_ += change;
    longest_ = std::max(longest_, age);
    return age;
}

double report_delay_meter::mean_ms() const {
    return senders_.empty() ? 0 : std::max(0.0, sum_ms_) / static_cast<double>(senders_.size());
}

time_ms report_delay_meter::take_longest() {
    return std::exchange(longest_, time_ms{0});
}

} // namespace lacewing
