#pragma once

#include "coordination/peer_message.h"
#include "coordination/router.h"
#include "state/configuration.h"
#include "state/ids.h"
#include "state/key_list.h"

#include <memory>
#include <string>
#include <vector>

namespace lacewing {

/// @brief Everything that the request path reads; built by the control thread and never changed afterwards.
struct serving_snapshot {
    /// Store revision up to which the snapshot is complete.
    revision_id revision;
    std::shared_ptr<const configuration> config;
    std::shared_ptr<const key_list> keys;
    std::vector<endpoint_name> drained;
    std::vector<version_share> shares;
};

/// @brief Time up to which the key list may be used without new evidence, checked at each use.
struct key_validity {
    time_ms valid_until{-1};
    /// Why the list is used or not, for the dump.
    std::string verdict;
};

} // namespace lacewing
