#include "gateway/object_copy.h"

#include "platform/object_store.h"
#include "state/error_kind.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace lacewing {

namespace {

// Last name up to which an incomplete list shows every object; nothing when its order does not tell.
std::optional<std::string> covered_up_to(const platform::object_page& page) {
    const auto by_name = [](const auto& a, const auto& b) { return a.name < b.name; };
    if (!page.in_order || page.entries.empty() ||
        !std::is_sorted(page.entries.begin(), page.entries.end(), by_name))
        return std::nullopt;
    return page.entries.back().name;
}

} // namespace

void object_copy::erase(const std::string& name) {
    const auto found = objects_.find(name);
    if (found == objects_.end()) return;
    bytes_ -= found->second.bytes(name);
    objects_.erase(found);
}

// Returns false when the object is left out for want of memory.
bool object_copy::put(const std::string& name, platform::stored_object object) {
    erase(name);
    const auto needed = object.bytes(name);
    if (bytes_ + needed > max_bytes_) {
        lacks_objects_ = true;
        return false;
    }
    bytes_ += needed;
    objects_.emplace(name, std::move(object));
    return true;
}

object_changes object_copy::apply_list(platform::object_page page) {
    object_changes changes;
    if (known_ && page.as_of < as_of_) return changes;
    changes.applied = true;
    // A restored store gives out revisions again, so equal ones do not mean equal objects.
    const bool restored = known_ && platform::era_of(page.as_of) != platform::era_of(as_of_);
    const auto covered = covered_up_to(page);
    const auto known = std::exchange(objects_, {});
    bytes_ = 0;
    lacks_objects_ = page.left_out.beyond_memory > 0;
    for (auto& entry : page.entries) {
        const auto before = known.find(entry.name);
        if (!entry.usable) {
            if (before != known.end()) changes.unusable.push_back(entry.name);
            continue;
        }
        if (page.complete) changed_revision_ = std::max(changed_revision_, entry.object.revision);
        const bool changed =
            before == known.end() || (restored ? !before->second.same_content(entry.object)
                                               : before->second.revision != entry.object.revision);
        if (put(entry.name, std::move(entry.object))) {
            if (changed) changes.changed.push_back(entry.name);
        } else if (before != known.end()) {
            changes.unusable.push_back(entry.name);
        }
    }
    std::sort(changes.unusable.begin(), changes.unusable.end());
    for (const auto& [name, object] : known) {
        if (objects_.contains(name)) continue;
        if (std::binary_search(changes.unusable.begin(), changes.unusable.end(), name)) continue;
        if (page.complete || (covered && name <= *covered) || !put(name, object))
            changes.removed.push_back(name);
    }
    partly_known_ = true;
    if (!page.complete) return changes;
    const bool lost_any = !changes.removed.empty() || !changes.unusable.empty();
    if (lost_any || restored) changed_revision_ = std::max(changed_revision_, page.as_of);
    as_of_ = page.as_of;
    known_ = true;
    return changes;
}

object_changes object_copy::apply_events(platform::object_page page) {
    object_changes changes;
    changes.applied = true;
    const auto covered = as_of_;
    for (auto& event : page.entries) {
        const auto known = objects_.find(event.name);
        // The event of a deletion may have the revision of the deleted object.
        if (!event.deleted && event.object.revision <= covered) continue;
        if (known != objects_.end() && event.object.revision < known->second.revision) continue;
        const bool was_held = known != objects_.end();
        if (event.usable && !event.deleted && put(event.name, std::move(event.object))) {
            changes.changed.push_back(event.name);
        } else if (was_held) {
            erase(event.name);
            (event.deleted ? changes.removed : changes.unusable).push_back(event.name);
        }
    }
    lacks_objects_ = lacks_objects_ || page.left_out.beyond_memory > 0;
    as_of_ = std::max(as_of_, page.as_of);
    if (changes.any()) changed_revision_ = std::max(changed_revision_, page.as_of);
    return changes;
}

object_changes object_copy::apply_snapshot(platform::page_reader& reader) {
    const auto as_of = reader.number("as_of");
    if (!reader.complete() || !as_of || reader.nameless() > 0)
        throw error(error_kind::bad_request, "the snapshot from another VM is malformed");
    if (!reader.flag("known") || (known_ && *as_of <= as_of_)) return {};
    auto page = reader.take_page();
    page.as_of = *as_of;
    return apply_list(std::move(page));
}

std::string object_copy::snapshot() const {
    std::string text = fmt::format(R"({{"as_of":{},"known":{},"items":[)", as_of_, known_);
    bool first = true;
    for (const auto& [name, object] : objects_) {
        if (!std::exchange(first, false)) text += ',';
        text += to_text(name, object);
    }
    return text += "]}";
}

} // namespace lacewing
