#pragma once

#include "state/ids.h"
#include "state/object_event.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lacewing::fakes {

/// @brief The write succeeded; the table is at this revision.
struct write_done {
    revision_id revision;
};

/// @brief The write was rejected: the object is at this revision, not at the expected one; 0 when it does not
/// exist.
struct write_conflict {
    revision_id current;
};

/// @brief The write was rejected: the value is larger than object_table::max_value_bytes.
struct value_too_large {};

using write_outcome = std::variant<write_done, write_conflict, value_too_large>;

/// @brief Objects of the fake store, with one revision sequence for all keys.
/// Only the newest state of each key is kept, so a reader sees several changes of a key as one event.
class object_table {
public:
    static constexpr std::size_t max_value_bytes = std::size_t{1024} * 1024;

    /// @brief Writes the object if it is at the expected revision.
    /// @param expected Current revision of the object; 0 when it must not exist.
    write_outcome put(std::string_view key, std::string value, revision_id expected);
    /// @brief Deletes the object if it is at the expected revision; with 0, leaves an absent object as it is.
    write_outcome erase(std::string_view key, revision_id expected);

    [[nodiscard]] std::optional<object_event> get(std::string_view key) const;
    /// @brief Existing objects whose key begins with the prefix, sorted by key.
    [[nodiscard]] std::vector<object_event> list(std::string_view prefix) const;
    /// @brief Newest states, deletions included, of the keys with the prefix that changed after the revision,
    /// sorted by revision.
    [[nodiscard]] std::vector<object_event> events_after(std::string_view prefix, revision_id after) const;
    /// @brief Revision of the newest write to any key.
    [[nodiscard]] revision_id revision() const { return revision_; }

private:
    [[nodiscard]] revision_id current_revision(std::string_view key) const;
    revision_id commit_write(std::string_view key, std::shared_ptr<const std::string> value);

    std::map<std::string, object_event, std::less<>> newest_states_;
    std::map<revision_id, std::string> keys_by_revision_;
    revision_id revision_;
};

} // namespace lacewing::fakes
