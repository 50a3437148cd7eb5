#pragma once

#include "coordination/home_control.h"
#include "coordination/move_driver.h"
#include "coordination/peer_message.h"
#include "coordination/serving_snapshot.h"
#include "daemon/entry_view.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace lacewing {

/// @brief Stages of a graceful stop.
enum class stop_stage : std::uint8_t {
    /// Connections end after their current request; lookups no longer name this VM.
    leaving,
    /// New requests are refused and loans are given back.
    refusing,
};

/// @brief The process was fenced and continues under a new incarnation without shares.
struct new_incarnation {
    peer_id self;
};

/// @brief Input of the serve thread from the control thread.
using serve_input =
    std::variant<std::monostate, std::shared_ptr<const serving_snapshot>, key_validity,
                 std::shared_ptr<const entry_view>, peer_message, home_batch, stop_stage, new_incarnation>;

/// @brief Input of the control thread from the serve thread.
using control_input = std::variant<std::monostate, send_action, home_batch_confirmation, move_sample>;

} // namespace lacewing
