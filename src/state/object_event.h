#pragma once

#include "state/ids.h"

#include <memory>
#include <string>

namespace lacewing {

/// @brief One object of the store at one revision, as it is replicated to the VMs.
struct object_event {
    std::string key;
    revision_id revision;
    /// JSON text; null when the object was deleted at this revision.
    std::shared_ptr<const std::string> value;

    [[nodiscard]] bool deleted() const { return value == nullptr; }
};

} // namespace lacewing
