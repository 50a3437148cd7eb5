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

/// @brief The write took effect at this revision.
struct write_done {
    revision_id revision;
};

/// @brief The object is at another revision than expected; 0 when it does not exist.
struct write_conflict {
    revision_id current;
};

struct value_too_large {};

using write_outcome = std::variant<write_done, write_conflict, value_too_large>;

/// @brief Objects of the fake store with one revision sequence for all keys.
/// Keeps the newest state of each key, so events between two reads of a key are merged into the newest one.
class object_table {
public:
    static constexpr std::size_t max_value_bytes = std::size_t{1024} * 1024;

    /// @param expected Revision at which the object must be; 0 when it must not exist.
    write_outcome put(std::string_view key, std::string value, revision_id expected);
    write_outcome erase(std::string_view key, revision_id expected);

    [[nodiscard]] std::optional<object_event> get(std::string_view key) const;
    /// @brief Existing objects whose key begins with the prefix, in the order of the keys.
    [[nodiscard]] std::vector<object_event> list(std::string_view prefix) const;
    /// @brief Newest states, deletions included, with a revision above `after`, in the order of revisions.
    [[nodiscard]] std::vector<object_event> events_after(std::string_view prefix, revision_id after) const;
    [[nodiscard]] revision_id revision() const { return revision_; }

private:
    [[nodiscard]] revision_id current_revision(std::string_view key) const;
    revision_id store(std::string_view key, std::shared_ptr<const std::string> value);

    std::map<std::string, object_event, std::less<>> states_;
    std::map<revision_id, std::string> keys_by_revision_;
    revision_id revision_;
};

} // namespace lacewing::fakes
