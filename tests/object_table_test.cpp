#include "fakes/store/object_table.h"

#include <doctest/doctest.h>

namespace lacewing::fakes {

// Guards against a conditional write that succeeds although the object is not at the expected revision.
TEST_CASE("object table accepts a write only at the expected revision") {
    object_table table;
    CHECK(std::get<write_done>(table.put("a/1", "{}", {0})).revision == revision_id{1});
    CHECK(std::get<write_conflict>(table.put("a/1", "{}", {0})).current == revision_id{1});
    CHECK(std::get<write_done>(table.put("a/1", "[]", {1})).revision == revision_id{2});
    CHECK(std::get<write_conflict>(table.erase("a/1", {1})).current == revision_id{2});
    CHECK(std::get<write_done>(table.erase("a/1", {2})).revision == revision_id{3});
    CHECK_FALSE(table.get("a/1"));
    CHECK(std::get<write_conflict>(table.put("a/1", "{}", {2})).current == revision_id{0});
    CHECK(std::holds_alternative<value_too_large>(
        table.put("b", std::string(object_table::max_value_bytes + 1, 'x'), {0})));
    CHECK(std::holds_alternative<write_done>(
        table.put("b", std::string(object_table::max_value_bytes, 'x'), {0})));
}

// Guards against missing deletions, events out of order and events of keys with another prefix.
TEST_CASE("object table reports the newest states after a revision") {
    object_table table;
    table.put("a/1", "1", {0});
    table.put("a/2", "2", {0});
    table.put("b/1", "3", {0});
    table.erase("a/1", {1});
    const auto events = table.events_after("a/", {1});
    REQUIRE(events.size() == 2);
    CHECK(events[0].key == "a/2");
    CHECK(events[1].key == "a/1");
    CHECK(events[1].deleted());
    CHECK(events[1].revision == revision_id{4});
    CHECK(table.events_after("a/", {4}).empty());
    CHECK(table.list("a/").size() == 1);
}

} // namespace lacewing::fakes
