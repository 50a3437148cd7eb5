#pragma once

#include "coordination/home_control.h"
#include "coordination/move_driver.h"
#include "coordination/peer_message.h"
#include "coordination/serving_snapshot.h"
#include "coordination/stop_schedule.h"
#include "daemon/entry_view.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace lacewing {

/// @brief Stages of a graceful stop.
enum class stop_stage : std::uint8_t {
    /// Caller connections are closed after their current request; lookups no longer return this VM.
    leaving,
    /// New requests are refused, idle caller connections are closed and loans are returned.
    refusing,
};

/// @brief States that a stage of a graceful stop has begun.
struct stop_notice {
    stop_stage stage;
    stop_schedule schedule;
};

/// @brief States that the process was fenced: the other VMs declared it dead, and it continues under a new
/// incarnation without any shares.
struct new_incarnation {
    peer_id self;
};

/// @brief Messages from the control thread to the serve thread.
using serve_input =
    std::variant<std::monostate, std::shared_ptr<const serving_snapshot>, key_validity,
                 std::shared_ptr<const entry_view>, peer_message, home_batch, stop_notice, new_incarnation>;

/// @brief Messages from the serve thread to the control thread.
using control_input = std::variant<std::monostate, send_action, home_batch_confirmation, move_sample>;

} // namespace lacewing
