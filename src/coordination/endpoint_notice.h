#pragma once

#include "state/time_ms.h"

#include <optional>
#include <string_view>

namespace lacewing {

/// Longest pause that is taken from an endpoint's word; a longer one counts as this.
inline constexpr time_ms max_endpoint_pause{600'000};

/// @brief Parses the pause that an endpoint asks for.
/// @param text Decimal number of seconds.
/// @return The pause, 0 to max_endpoint_pause; nothing for any other text, such as a negative number or a
/// date.
std::optional<time_ms> parse_endpoint_pause(std::string_view text);

/// @brief What one endpoint process has said in its answers about further requests: that it leaves, to any
/// VM, or that it wants a pause, to this VM.
///
/// It is kept with the process: a registration that is out of date does not end it, a new process does.
class endpoint_notice {
public:
    /// @brief Records an answer to this VM that says that the endpoint leaves.
    /// @return Whether this was not known before.
    bool on_leaving(time_ms now);
    /// @brief Records that the endpoint has said to another VM that it leaves.
    /// @return Whether this was not known before.
    bool on_reported_leaving();
    /// @brief Whether this VM tells the others that the endpoint leaves; only those do that have an answer
    /// which says so.
    /// @param full The report is a full one.
    [[nodiscard]] bool reports_leaving(time_ms now, bool full) const;
    /// @brief Records that the endpoint wants no requests for a time. An earlier pause is never shortened.
    void on_pause(time_ms now, time_ms pause);

    [[nodiscard]] bool leaving() const { return leaving_; }
    /// @brief Whether the endpoint takes requests of this VM now.
    [[nodiscard]] bool takes_requests(time_ms now) const { return !leaving_ && now >= paused_until_; }
    /// @brief End of the pause; nothing when there is none, or when the endpoint leaves.
    [[nodiscard]] std::optional<time_ms> pause_end(time_ms now) const;
    /// @brief Whether the endpoint has said anything that still counts.
    [[nodiscard]] bool in_force(time_ms now) const { return !takes_requests(now); }

private:
    bool leaving_ = false;
    // Time of the first answer to this VM that said so.
    std::optional<time_ms> heard_leaving_at_;
    time_ms paused_until_{0};
};

} // namespace lacewing
