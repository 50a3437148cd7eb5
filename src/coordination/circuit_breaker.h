#pragma once

#include "state/time_ms.h"

#include <cstdint>

namespace lacewing {

/// @brief Circuit breaker of one version of one endpoint: opens when requests fail, then lets single requests
/// through as probes until enough of them succeed.
class circuit_breaker {
public:
    enum class state : std::uint8_t { closed, open, half_open };

    /// @brief Whether a request may be sent now.
    [[nodiscard]] bool allows(time_ms now) const;

    /// @brief Records that a request is sent, which allows() must have permitted. Unless the breaker is
    /// closed, the request is a probe.
    /// @return True when the request is a probe.
    bool on_send(time_ms now);

    /// @brief Records a success.
    /// @param probe What on_send() returned for the request.
    /// @return True when this closed the breaker.
    bool on_success(time_ms now, bool probe);

    /// @brief Records a failure.
    void on_failure(time_ms now, bool probe);

    /// @brief Records a request that ended without evidence about the endpoint, such as a cancelled one.
    void on_neutral(bool probe);

    [[nodiscard]] state current() const { return state_; }

private:
    void open(time_ms now);
    void reset_expired_window(time_ms now);

    state state_ = state::closed;
    bool probe_in_flight_ = false;
    std::uint8_t probe_successes_ = 0;
    std::uint8_t open_time_doublings_ = 0;
    std::uint32_t consecutive_failures_ = 0;
    std::uint32_t window_requests_ = 0;
    std::uint32_t window_failures_ = 0;
    time_ms window_start_;
    time_ms probe_allowed_at_;
};

} // namespace lacewing
