#pragma once

#include "state/time_ms.h"

#include <cstdint>

namespace lacewing {

/// @brief Stops traffic to one version of one endpoint while it fails, and probes it with single requests.
class circuit_breaker {
public:
    enum class state : std::uint8_t { closed, open, half_open };

    /// @brief Whether a request may be sent now.
    [[nodiscard]] bool allows(time_ms now) const;

    /// @brief Records that a request is sent; a request through an open breaker becomes the probe.
    /// @return True when the request is a probe.
    bool on_send(time_ms now);

    /// @brief Records a success.
    /// @return True when this closed the breaker.
    bool on_success(time_ms now, bool probe);

    /// @brief Records a failure.
    void on_failure(time_ms now, bool probe);

    /// @brief Records the end of a request that says nothing about the endpoint, such as a cancelled one.
    void on_neutral(bool probe);

    [[nodiscard]] state current() const { return state_; }

private:
    void open(time_ms now);
    void roll_window(time_ms now);

    state state_ = state::closed;
    bool probe_in_flight_ = false;
    std::uint8_t probe_successes_ = 0;
    std::uint8_t reopenings_ = 0;
    std::uint32_t consecutive_failures_ = 0;
    std::uint32_t window_requests_ = 0;
    std::uint32_t window_failures_ = 0;
    time_ms window_start_;
    time_ms retry_at_;
};

} // namespace lacewing
