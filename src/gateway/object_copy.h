#pragma once

#include "platform/page_reader.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// @brief Names of the objects that an update changed or removed.
struct object_changes {
    std::vector<std::string> changed;
    std::vector<std::string> removed;
    /// Objects that were replaced by entries that cannot be used.
    std::vector<std::string> unusable;
    /// False when the update was older than the copy and was ignored as a whole.
    bool applied = false;

    [[nodiscard]] bool any() const { return !changed.empty() || !removed.empty() || !unusable.empty(); }
};

/// @brief Copy of the usable objects of one kind in the store, from lists, watches and copies of other VMs
/// that may arrive late, twice or in any order. The copy never goes back to an older revision.
class object_copy {
public:
    /// @param max_bytes Most memory that the objects may take together.
    explicit object_copy(std::size_t max_bytes = platform::object_filter{}.max_bytes)
        : max_bytes_(max_bytes) {}

    /// @brief Replaces the objects by a list unless the copy is newer. An incomplete list replaces those that
    /// it covers; the copy counts as complete only up to the revision before.
    object_changes apply_list(platform::object_page page);
    /// @brief Applies the events of a watch. Those that the copy already covers are ignored: the object of an
    /// old event may have been deleted since.
    object_changes apply_events(platform::object_page page);
    /// @brief Replaces the objects by another VM's copy if that is newer.
    /// @param reader Has read the JSON text from snapshot().
    /// @throws error with error_kind::bad_request for malformed text.
    object_changes apply_snapshot(platform::page_reader& reader);
    /// @brief The copy for another VM, as JSON text.
    [[nodiscard]] std::string snapshot() const;

    using object_map = std::map<std::string, platform::stored_object>;
    [[nodiscard]] const object_map& objects() const { return objects_; }
    /// @brief Memory in bytes that the objects take.
    [[nodiscard]] std::size_t bytes() const { return bytes_; }
    /// @brief Whether objects were left out for want of memory, and there is room again.
    [[nodiscard]] bool wants_list() const {
        return lacks_objects_ && static_cast<double>(bytes_) < refill_share * static_cast<double>(max_bytes_);
    }
    /// @brief Whether the objects have been listed, or received from another VM, since the start.
    [[nodiscard]] bool known() const { return known_; }
    /// @brief Whether the objects have been listed at least in part.
    [[nodiscard]] bool partly_known() const { return known_ || partly_known_; }
    /// @brief Store revision up to which the copy is complete.
    [[nodiscard]] std::uint64_t as_of() const { return as_of_; }
    /// @brief Store revision of the newest known change.
    [[nodiscard]] std::uint64_t changed_revision() const { return changed_revision_; }

private:
    void erase(const std::string& name);
    bool put(const std::string& name, platform::stored_object object);

    // Part of the memory below which objects that were left out are listed again.
    static constexpr double refill_share = 0.9;

    object_map objects_;
    std::size_t max_bytes_;
    std::size_t bytes_ = 0;
    bool lacks_objects_ = false;
    std::uint64_t as_of_ = 0;
    std::uint64_t changed_revision_ = 0;
    bool known_ = false;
    bool partly_known_ = false;
};

} // namespace lacewing
