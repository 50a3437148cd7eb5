#pragma once

#include "state/time_ms.h"

namespace lacewing {

/// @brief Times of a graceful stop, and which requests it still accepts.
///
/// The process is killed at the end of the grace that was in force when it was told to stop, so all times
/// are fixed then. A request that cannot be answered before end() has to be refused when it arrives: once
/// it has been sent to an endpoint, its outcome would be unknown to the caller.
class stop_schedule {
public:
    /// @param signalled Monotonic time at which the process was told to stop.
    /// @param grace Time from then until the process is killed.
    stop_schedule(time_ms signalled, time_ms grace) : signalled_(signalled), grace_(grace) {}

    /// @brief Time from which idle connections of callers are closed. Until then, callers find other VMs.
    [[nodiscard]] time_ms close_idle_at() const;
    /// @brief Time from which only requests are accepted that cannot outlast the process.
    [[nodiscard]] time_ms restrict_at() const;
    /// @brief Time at which requests that are still in progress are given up.
    [[nodiscard]] time_ms end() const;
    /// @brief Time at which the process ends, whether or not the last answers are written.
    [[nodiscard]] time_ms exit_at() const;

    /// @brief Whether a request may be sent to an endpoint.
    /// @param expected_answer Monotonic time at which the answer is expected.
    /// @param deadline Monotonic time at which the request is answered at the latest, by an error if need be.
    [[nodiscard]] bool admits(time_ms now, time_ms expected_answer, time_ms deadline) const;

private:
    [[nodiscard]] time_ms end_margin() const;

    time_ms signalled_;
    time_ms grace_;
};

} // namespace lacewing
