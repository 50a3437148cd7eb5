#include "gateway/object_copy.h"
#include "state/error_kind.h"
#include "state/json_text.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace lacewing;

namespace {

platform::object_page::entry entry(const std::string& name, std::uint64_t revision, bool deleted = false) {
    platform::object_page::entry made;
    made.name = name;
    made.object.revision = revision;
    made.object.spec = fmt::format(R"({{"revision":{}}})", revision);
    made.deleted = deleted;
    return made;
}

platform::object_filter revision_filter() {
    platform::object_filter made;
    made.spec = object_of_scalars({"revision"});
    return made;
}

// Gives one copy the snapshot of another as VMs do.
object_changes apply_snapshot(object_copy& copy, const std::string& text) {
    const auto filter = revision_filter();
    platform::page_reader reader(filter, platform::page_reader::content::objects);
    reader.feed(text);
    return copy.apply_snapshot(reader);
}

platform::object_page page(std::uint64_t as_of, std::vector<platform::object_page::entry> entries) {
    platform::object_page made;
    made.as_of = as_of;
    made.entries = std::move(entries);
    return made;
}

std::set<std::string> names(const object_copy& copy) {
    std::set<std::string> found;
    for (const auto& [name, object] : copy.objects())
        found.insert(name);
    return found;
}

/// A store with its whole history, and VMs whose copies of it are updated in any order.
struct store_with_copies {
    explicit store_with_copies(std::uint64_t seed) : random(seed), copies(3) {}

    platform::object_page watch_from(std::uint64_t after) {
        auto events = page(revision, {});
        for (const auto& event : history) {
            if (event.object.revision > after) events.entries.push_back(event);
        }
        return events;
    }

    platform::object_page list() {
        auto objects = page(revision, {});
        for (const auto& [name, at] : stored)
            objects.entries.push_back(entry(name, at));
        return objects;
    }

    void change_any_object() {
        const std::string name(1, static_cast<char>('a' + random() % 6));
        const bool remove = stored.contains(name) && random() % 2 == 0;
        history.push_back(entry(name, ++revision, remove));
        if (remove) {
            stored.erase(name);
        } else {
            stored[name] = revision;
        }
    }

    void update_any_copy() {
        const auto index = random() % copies.size();
        auto& copy = copies[index];
        switch (random() % 5) {
        case 0:
            late_watches.emplace_back(index, watch_from(copy.as_of()));
            break;
        case 1:
            apply_snapshot(copy, copies[random() % copies.size()].snapshot());
            break;
        case 2:
            copy.apply_list(list());
            break;
        case 3:
            copy.apply_events(watch_from(copy.as_of()));
            break;
        default:
            if (late_watches.empty()) break;
            copies[late_watches.back().first].apply_events(late_watches.back().second);
            late_watches.pop_back();
        }
    }

    std::mt19937_64 random;
    std::uint64_t revision = 1;
    std::map<std::string, std::uint64_t> stored;
    std::vector<platform::object_page::entry> history;
    std::vector<object_copy> copies;
    /// Answers of watches that are on their way, by copy.
    std::vector<std::pair<std::size_t, platform::object_page>> late_watches;
};

} // namespace

// Guards against issue 28: a watch that was answered before a snapshot of another VM arrived is applied after
// it, and an endpoint that has left, or a drain that has ended, is back for good.
TEST_CASE("object copy: a late watch brings back what was deleted meanwhile") {
    object_copy copy;
    copy.apply_list(page(10, {entry("old", 5)}));
    object_copy ahead;
    ahead.apply_list(page(20, {entry("old", 5), entry("new", 18)}));
    CHECK(apply_snapshot(copy, ahead.snapshot()).applied);
    const auto late = copy.apply_events(page(15, {entry("left", 12)}));
    CHECK(late.changed.empty());
    CHECK(names(copy) == std::set<std::string>{"new", "old"});
    CHECK(copy.as_of() == 20);
}

TEST_CASE("object copy: updates in any order leave a copy that differs from the store") {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        store_with_copies store(seed);
        for (auto& copy : store.copies)
            copy.apply_list(store.list());
        for (int step = 0; step < 200; ++step) {
            store.change_any_object();
            store.update_any_copy();
        }
        for (auto& copy : store.copies) {
            copy.apply_events(store.watch_from(copy.as_of()));
            std::map<std::string, std::uint64_t> known;
            for (const auto& [name, object] : copy.objects())
                known[name] = platform::to_json(name, object)["spec"]["revision"].asUInt64();
            CHECK(known == store.stored);
        }
    }
}

TEST_CASE("object copy: an older list or snapshot replaces a newer copy") {
    object_copy copy;
    copy.apply_list(page(10, {entry("a", 9)}));
    CHECK_FALSE(copy.apply_list(page(9, {entry("b", 8)})).applied);
    object_copy behind;
    behind.apply_list(page(8, {entry("c", 7)}));
    CHECK_FALSE(apply_snapshot(copy, behind.snapshot()).applied);
    CHECK(names(copy) == std::set<std::string>{"a"});
}

TEST_CASE("object copy: a deletion is lost, or deletes an object that was created again") {
    object_copy copy;
    copy.apply_list(page(10, {entry("a", 9), entry("b", 8)}));
    // The event may have the revision of the deletion or that of the object.
    CHECK(copy.apply_events(page(12, {entry("a", 9, true), entry("b", 12, true)})).removed.size() == 2);
    copy.apply_events(page(15, {entry("a", 15)}));
    CHECK(copy.apply_events(page(16, {entry("a", 9, true)})).removed.empty());
    CHECK(names(copy) == std::set<std::string>{"a"});
}

// The part that was read says nothing of the names behind it.
TEST_CASE("object copy: an incomplete list removes what it does not cover, or counts as complete") {
    object_copy copy;
    auto part = page(30, {entry("a", 29), entry("c", 20)});
    part.complete = false;
    CHECK(copy.apply_list(part).changed.size() == 2);
    CHECK(copy.partly_known());
    CHECK_FALSE(copy.known());
    CHECK(copy.as_of() == 0);
    object_copy other;
    CHECK_FALSE(apply_snapshot(other, copy.snapshot()).applied);
    // Another VM's complete copy is taken even though it is older.
    other.apply_list(page(25, {entry("a", 9), entry("b", 8), entry("c", 20), entry("d", 7)}));
    CHECK(apply_snapshot(copy, other.snapshot()).applied);
    CHECK(names(copy) == std::set<std::string>{"a", "b", "c", "d"});
    CHECK(copy.known());
    const auto changes = copy.apply_list(part);
    CHECK(changes.removed == std::vector<std::string>{"b"});
    CHECK(names(copy) == std::set<std::string>{"a", "c", "d"});
    CHECK(copy.as_of() == 25);
    copy.apply_events(page(31, {entry("d", 31)}));
    CHECK_FALSE(copy.apply_list(part).applied);
    // A list in another order than that of the names does not tell what it covers.
    auto unordered = page(40, {entry("d", 31), entry("a", 29)});
    unordered.complete = false;
    CHECK(copy.apply_list(unordered).removed.empty());
    CHECK(copy.apply_list(page(41, {entry("d", 31)})).removed.size() == 2);
}

TEST_CASE("object copy: a malformed snapshot is applied") {
    object_copy copy;
    copy.apply_list(page(10, {entry("a", 9)}));
    for (const auto* text :
         {"", "[]", "{}", R"({"as_of":20,"known":true})", R"({"as_of":-1,"known":true,"items":[]})",
          R"({"as_of":20,"known":true,"items":[7]})",
          R"({"as_of":20,"known":true,"items":[{"metadata":{}}]})"})
        CHECK_THROWS_AS(apply_snapshot(copy, text), error);
    CHECK(names(copy) == std::set<std::string>{"a"});
}

TEST_CASE("object copy: an object that can no longer be used stays, or looks like one that was deleted") {
    auto unusable = entry("a", 12);
    unusable.usable = false;
    object_copy listed;
    listed.apply_list(page(10, {entry("a", 9), entry("b", 8)}));
    const auto from_list = listed.apply_list(page(13, {unusable, entry("b", 8)}));
    CHECK(from_list.unusable == std::vector<std::string>{"a"});
    CHECK(from_list.removed.empty());
    CHECK(from_list.changed.empty());
    CHECK(listed.changed_revision() == 13);
    object_copy watched;
    watched.apply_list(page(10, {entry("a", 9), entry("b", 8)}));
    CHECK(watched.apply_events(page(13, {unusable})).unusable == std::vector<std::string>{"a"});
    CHECK(names(watched) == std::set<std::string>{"b"});
    // A change that concerns no object that is held is none for the other VMs.
    CHECK_FALSE(watched.apply_events(page(15, {})).any());
    CHECK(watched.changed_revision() == 13);
    CHECK(watched.as_of() == 15);
    watched.apply_events(page(16, {entry("a", 16)}));
    CHECK(names(watched) == std::set<std::string>{"a", "b"});
}

TEST_CASE("object copy: objects beyond its memory are held, or stay away when there is room") {
    const auto one = entry("a", 9).object.bytes("a");
    object_copy copy(2 * one + one / 2);
    CHECK(copy.apply_list(page(10, {entry("a", 9), entry("b", 8), entry("c", 7)})).changed.size() == 2);
    CHECK(names(copy) == std::set<std::string>{"a", "b"});
    CHECK(copy.bytes() <= 2 * one + one / 2);
    CHECK(copy.apply_events(page(11, {entry("d", 11)})).changed.empty());
    // A change of an object that is held needs no more memory.
    CHECK(copy.apply_events(page(12, {entry("a", 12)})).changed.size() == 1);
    CHECK(copy.apply_events(page(13, {entry("a", 13, true), entry("b", 13, true)})).removed.size() == 2);
    CHECK(copy.wants_list());
    copy.apply_list(page(14, {entry("c", 7), entry("d", 11)}));
    CHECK(names(copy) == std::set<std::string>{"c", "d"});
    CHECK_FALSE(copy.wants_list());
}

TEST_CASE("object copy: random lists, events and snapshots take more memory than permitted") {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        store_with_copies store(seed);
        const auto limit = 3 * entry("a", 1).object.bytes("a");
        for (auto& copy : store.copies)
            copy = object_copy(limit);
        for (int step = 0; step < 200; ++step) {
            store.change_any_object();
            store.update_any_copy();
            for (const auto& copy : store.copies) {
                std::size_t sum = 0;
                for (const auto& [name, object] : copy.objects())
                    sum += object.bytes(name);
                CHECK(sum == copy.bytes());
                CHECK(sum <= limit);
            }
        }
    }
}
