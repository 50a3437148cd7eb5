#pragma once

#include "state/ids.h"

#include <memory>
#include <string>

namespace lacewing {

/// @brief State of a store object at one revision; replicated to all VMs.
struct object_event {
    std::string key;
    revision_id revision;
    /// JSON text; null when the object was deleted at this revision.
    std::shared_ptr<const std::string> value;

    [[nodiscard]] bool deleted() const { return value == nullptr; }
};

} // namespace lacewing
