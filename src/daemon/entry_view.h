#pragma once

#include "coordination/entry_selector.h"
#include "state/block_table.h"
#include "state/ids.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief Entry VM as a lookup answer describes it to callers.
struct entry_vm {
    std::string caller_address;
    zone_name zone;
    incarnation_id incarnation;
};

/// @brief Data from which entry lookups are answered. The control thread builds it; it is immutable
/// afterwards.
struct entry_view {
    /// Store revision of the configuration snapshot that the view was built from.
    revision_id revision;
    /// The selector's results are indices into this list.
    std::vector<entry_vm> vms;
    /// Sites by client address; null until client blocks have been read.
    std::shared_ptr<const block_table> blocks;
    std::shared_ptr<const entry_selector> selector;
    /// Members that are not dead; the serve thread addresses its messages to peers with it.
    std::unordered_map<incarnation_id, peer_id> peers_by_incarnation;
};

} // namespace lacewing
