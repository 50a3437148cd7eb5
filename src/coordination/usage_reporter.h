#pragma once

#include "coordination/duty_lease.h"
#include "coordination/usage_windows.h"
#include "state/time_ms.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace lacewing {

/// @brief Decides, for the holder of the duty, when the counts of a window become final and which report is
/// sent next.
///
/// A window is reported only with counts that the store has confirmed as final, in order, and again until the
/// platform has accepted it. Whoever holds the duty next finds the same counts in the store.
class usage_reporter {
public:
    /// Final counts that wait for their report; no further window is fixed meanwhile.
    static constexpr std::size_t max_fixed = 16;

    /// @param window_length Length of a window.
    /// @param late Time after the end of a window at which its report is due.
    usage_reporter(time_ms window_length, time_ms late) : length_(window_length), late_(late) {}

    /// @brief Progress to store next: accepted windows removed, ended windows with final counts added.
    /// @param now Estimated Unix time.
    /// @param held Time since this VM began to hold the duty.
    /// @param complete Whether the known counts of a window include all live VMs.
    /// @param sum Counts of a window, from what is known now.
    template <class Complete, class Sum>
    duty_progress plan(time_ms now, time_ms held, const duty_progress& stored, Complete complete,
                       Sum sum) const {
        auto planned = without_accepted(stored);
        while (planned.fixed.size() < max_fixed) {
            const auto window = planned.first_unfixed();
            if (!may_fix(now, held, window, true)) break;
            if (!may_fix(now, held, window, false) && !complete(window)) break;
            planned.fixed[window] = sum(window);
        }
        return planned;
    }
    /// @brief Whether the planned progress should be stored at once.
    [[nodiscard]] static bool urgent(const duty_progress& stored, const duty_progress& planned) {
        return planned.first_unfixed() > stored.first_unfixed();
    }
    /// @brief Window to report now, from the stored progress; nothing while there is none or the back-off
    /// lasts.
    /// @param now Time of the steady clock.
    [[nodiscard]] std::optional<std::int64_t> next_report(time_ms now, const duty_progress& stored) const;
    /// @brief The platform has accepted the report of a window.
    void on_accepted(std::int64_t window);
    /// @brief The platform has refused the report of a window for now or has not answered; it may have
    /// accepted it all the same.
    void on_failed(time_ms now);
    /// @brief When the report of a window is late, in estimated Unix time.
    [[nodiscard]] time_ms due(std::int64_t window) const { return length_ * (window + 1) + late_; }
    /// @brief Failed calls since the last accepted one.
    [[nodiscard]] int failures() const { return failures_; }

private:
    [[nodiscard]] duty_progress without_accepted(const duty_progress& stored) const;
    [[nodiscard]] bool may_fix(time_ms now, time_ms held, std::int64_t window, bool complete) const;

    time_ms length_;
    time_ms late_;
    std::set<std::int64_t> accepted_;
    time_ms next_try_{0};
    int failures_ = 0;
};

} // namespace lacewing
