#include "fakes/store/object_table.h"

#include <memory>
#include <utility>

namespace lacewing::fakes {

write_outcome object_table::put(std::string_view key, std::string value, revision_id expected) {
    if (value.size() > max_value_bytes) return value_too_large{};
    const auto current = current_revision(key);
    if (current != expected) return write_conflict{current};
    return write_done{commit_write(key, std::make_shared<const std::string>(std::move(value)))};
}

write_outcome object_table::erase(std::string_view key, revision_id expected) {
    const auto current = current_revision(key);
    if (current != expected) return write_conflict{current};
    if (current.value == 0) return write_done{revision_};
    return write_done{commit_write(key, nullptr)};
}

std::optional<object_event> object_table::get(std::string_view key) const {
    const auto found = newest_states_.find(key);
    if (found == newest_states_.end() || found->second.deleted()) return std::nullopt;
    return found->second;
}

std::vector<object_event> object_table::list(std::string_view prefix) const {
    std::vector<object_event> objects;
    for (auto it = newest_states_.lower_bound(prefix);
         it != newest_states_.end() && it->first.starts_with(prefix); ++it) {
        if (!it->second.deleted()) objects.push_back(it->second);
    }
    return objects;
}

std::vector<object_event> object_table::events_after(std::string_view prefix, revision_id after) const {
    std::vector<object_event> events;
    for (auto it = keys_by_revision_.upper_bound(after); it != keys_by_revision_.end(); ++it) {
        if (it->second.starts_with(prefix)) events.push_back(newest_states_.find(it->second)->second);
    }
    return events;
}

// Revision of the object; 0 when it does not exist.
revision_id object_table::current_revision(std::string_view key) const {
    const auto found = newest_states_.find(key);
    if (found == newest_states_.end() || found->second.deleted()) return {};
    return found->second.revision;
}

revision_id object_table::commit_write(std::string_view key, std::shared_ptr<const std::string> value) {
    ++revision_.value;
    auto& state = newest_states_[std::string(key)];
    keys_by_revision_.erase(state.revision);
    state = {std::string(key), revision_, std::move(value)};
    keys_by_revision_.emplace(revision_, key);
    return revision_;
}

} // namespace lacewing::fakes
