#pragma once

#include "coordination/entry_selector.h"
#include "state/block_table.h"
#include "state/ids.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief A VM as it is named to callers.
struct entry_vm {
    std::string caller_address;
    zone_name zone;
    incarnation_id incarnation;
};

/// @brief Everything that a lookup reads; built by the control thread and never changed afterwards.
struct entry_view {
    revision_id revision;
    std::vector<entry_vm> vms;
    std::shared_ptr<const block_table> blocks;
    std::shared_ptr<const entry_selector> selector;
    /// Members that are not dead, for messages of the serve thread.
    std::unordered_map<incarnation_id, peer_id> peers;
};

} // namespace lacewing
