#pragma once

#include "coordination/vm_report.h"
#include "state/time_ms.h"

#include <string>
#include <unordered_map>

namespace lacewing {

/// @brief Measures how old the newest knowledge of other VMs is when their reports are read.
///
/// The clocks of two VMs are not comparable, but the difference between the time at which a report was made
/// and that at which it is read only grows by waiting: in the sender's loop, on the link, in the socket
/// buffer or in the receiver's loop. The smallest difference so far stands for no wait; it is raised slowly,
/// because clocks run at different speeds.
class report_delay_meter {
public:
    struct measurement {
        /// Time that the report has waited.
        time_ms wait{0};
        /// Age of the oldest event that this report is the first to tell of: the time between it and the one
        /// before, and its wait.
        time_ms age{0};
    };

    /// @brief Records a report.
    /// @return Zeros for the first report of a process.
    measurement on_report(time_ms now, const vm_report& report);
    /// @brief Mean over the VMs of the smoothed ages, in milliseconds; zero without reports.
    [[nodiscard]] double mean_ms() const;
    /// @brief Longest age since the last call.
    time_ms take_longest();

private:
    struct sender {
        incarnation_id incarnation;
        time_ms heard{0};
        /// Difference of the clocks for a report that did not wait.
        double least_difference_ms = 0;
        double smoothed_ms = 0;
    };

    std::unordered_map<std::string, sender> senders_;
    double sum_ms_ = 0;
    time_ms longest_{0};
};

} // namespace lacewing
