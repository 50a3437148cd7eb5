// Guards what the system keeps of the objects in the platform's store.
#include "platform/object_codec.h"
#include "platform/object_filters.h"
#include "platform/page_reader.h"
#include "state/json_text.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <random>
#include <set>
#include <string>

using namespace lacewing;
using namespace lacewing::platform;

namespace {

std::string endpoint_text(const std::string& name, const std::string& extra = "") {
    return fmt::format(R"({{"metadata":{{"name":"{}","revision":7,"createdRev":3,"finalizers":["x"]}},)"
                       R"("spec":{{{}"service":"s","address":"127.0.0.1:80","zone":"north","version":"v1",)"
                       R"("slots":8,"state":"ready","warmupLeft":"5ms","born":12}},"status":{{"x":1}}}})",
                       name, extra);
}

object_page read_list(const std::string& items, const object_filter& filter) {
    page_reader reader(filter, page_reader::content::objects);
    reader.feed(fmt::format(R"({{"items":[{}],"asOf":9}})", items));
    CHECK(reader.complete());
    return reader.take_page();
}

object_page read_events(const std::string& events, const object_filter& filter) {
    page_reader reader(filter, page_reader::content::events);
    reader.feed(fmt::format(R"({{"events":[{}],"asOf":9}})", events));
    CHECK(reader.complete());
    return reader.take_page();
}

std::string event_text(const std::string& object, bool deleted = false) {
    return fmt::format(R"({{"object":{},"deleted":{}}})", object, deleted);
}

// The spec as a decoder gets it from the store, and from what is kept.
void check_same(const object_filter& filter, const std::string& name, const std::string& spec,
                const std::string& status = "null") {
    const auto text = fmt::format(R"({{"metadata":{{"name":"{}","revision":7,"createdRev":3}},"spec":{},)"
                                  R"("status":{}}})",
                                  name, spec, status);
    const auto page = read_list(text, filter);
    REQUIRE(page.entries.size() == 1);
    const auto kept = to_json(name, page.entries[0].object);
    CHECK(compact_json(kept["metadata"]) == compact_json((*read_json(text))["metadata"]));
    CHECK(kept["spec"] == *read_json(spec));
    CHECK(kept["status"] == *read_json(status));
}

} // namespace

// Each filter names all members that its decoder reads; a member that is missing here is lost in service.
TEST_CASE("object filters: a member that a decoder reads is not kept") {
    check_same(
        configuration_filter(), "main",
        R"({"version":"r7","routes":[{"name":"a","hostname":"h","pathPrefix":"/a/","routeType":"idempotent",)"
        R"("timeout":"1s","targetLatency":"100ms","priority":2,"service":"s","maxAttempts":3,)"
        R"("allowAnonymous":true,"sessionAffinity":true,"allowedRegions":["east"],)"
        R"("trafficSplit":[{"service":"s","weight":0.25},{"service":"t","weight":3}]}],)"
        R"("services":[{"name":"s","healthPath":"/h","maxConnections":3,"warmup":"1s","warmupPerS":2.5}],)"
        R"("tenants":[{"name":"w","apiKeys":["k","l"],"priority":1,"ratePerS":2.5,"burst":3,)"
        R"("allowedRegions":["east","west"]}],)"
        R"("limits":{"maxHeaderBytes":1,"maxBodyBytes":2,"headerTimeout":"1s","idleTimeout":"2s"}})");
    check_same(endpoint_filter(), "e",
               R"({"service":"s","address":"127.0.0.1:80","zone":"north","version":"v1","slots":8,)"
               R"("state":"ready","warmupLeft":"5ms","born":1700000000000})");
    check_same(move_filter(), "s", R"({"service":"s","targetVersion":"v2","duration":"20s"})",
               R"({"state":"active","targetVersion":"v2"})");
    check_same(vm_filter(), "vm",
               R"({"zone":"north","region":"east","peer":"127.0.0.1:80","caller":"127.0.0.1:81"})");
    check_same(duty_filter(), "usage",
               R"({"holder":"vm","incarnation":18446744073709551615,"token":2,"renewals":3,"released":false,)"
               R"("previous":["a","b"],"next_window":-4,"fixed":[{"ward":5},{"a b":6,"c":7}]})");
    const auto drains = drain_filter({{"north", "east"}});
    const auto page = read_list(R"({"metadata":{"name":"north","revision":7,"deleting":true}})", drains);
    REQUIRE(page.entries.size() == 1);
    CHECK(page.entries[0].object.deleting);
}

TEST_CASE("page reader: entries of another writer are kept") {
    const auto filter = endpoint_filter();
    const std::string foreign = R"({"metadata":{"name":"m","revision":8},"spec":{"values":[1,2]}})";
    const std::string unreadable = R"({"metadata":{"name":"n","revision":8},"spec":[1e999]})";
    const auto page =
        read_list(endpoint_text("e") + "," + foreign + "," + unreadable + ",7," + endpoint_text("f"), filter);
    REQUIRE(page.entries.size() == 2);
    CHECK(page.entries[0].name == "e");
    CHECK(page.entries[1].name == "f");
    CHECK(page.left_out.unusable == 3);
    CHECK(page.left_out.example == "m");
    CHECK(read_list(foreign, configuration_filter()).entries.empty());
    CHECK(read_list(foreign, move_filter()).entries.empty());
    CHECK(read_list(foreign, vm_filter()).entries.empty());
    CHECK(read_list(foreign, drain_filter({{"north", "east"}})).entries.empty());
}

// Only what the system needs decides whether an entry names an endpoint, and what it costs.
TEST_CASE("page reader: a sound entry with a large unknown member is left out, or costs more than another") {
    const auto filter = endpoint_filter();
    const auto extra = fmt::format(R"("extra":"{}",)", std::string(900'000, 'x'));
    const auto plain = read_list(endpoint_text("e"), filter);
    const auto large = read_list(endpoint_text("e", extra), filter);
    REQUIRE(large.entries.size() == 1);
    CHECK(large.entries[0].usable);
    CHECK(large.entries[0].object.same_content(plain.entries[0].object));
}

TEST_CASE("page reader: an object that can no longer be used stays in use") {
    auto filter = endpoint_filter();
    const std::set<std::string> held{"e", "f"};
    filter.holds = [&](const std::string& name) { return held.contains(name); };
    const std::string unusable = R"({"metadata":{"name":"e","revision":8},"spec":{"slots":"many"}})";
    const std::string unreadable = R"({"metadata":{"name":"f","revision":8},"spec":[1e999]})";
    for (const bool events : {false, true}) {
        const auto page =
            events ? read_events(fmt::format("{},{}", event_text(unusable), event_text(unreadable)), filter)
                   : read_list(fmt::format("{},{}", unusable, unreadable), filter);
        REQUIRE(page.entries.size() == 2);
        CHECK_FALSE(page.entries[0].usable);
        CHECK_FALSE(page.entries[1].usable);
        CHECK(page.entries[1].object.revision == 8);
    }
    // Sound, unusable and deleted in one answer: only the last change counts.
    const auto added = read_events(event_text(endpoint_text("g")) + "," +
                                       event_text(R"({"metadata":{"name":"g","revision":8}})"),
                                   filter);
    REQUIRE(added.entries.size() == 1);
    CHECK_FALSE(added.entries[0].usable);
    const auto deleted = read_events(event_text(endpoint_text("g")) + "," +
                                         event_text(R"({"metadata":{"name":"g","revision":8}})", true),
                                     filter);
    REQUIRE(deleted.entries.size() == 1);
    CHECK(deleted.entries[0].deleted);
    // An unreadable object that is deleted, and one that nobody holds.
    CHECK(read_events(event_text(unreadable, true), filter).entries.at(0).deleted);
    const auto unknown = read_events(event_text(R"({"metadata":{"name":"z","revision":8}})", true), filter);
    CHECK(unknown.entries.empty());
    CHECK(unknown.omits_changes);
}

TEST_CASE(
    "page reader: sound objects beyond the memory of their kind are kept, or hide that there are more") {
    auto filter = endpoint_filter();
    const auto one = read_list(endpoint_text("a0"), filter).entries.at(0).object.bytes("a0");
    filter.max_bytes = 3 * one;
    std::string items;
    for (int i = 0; i < 5; ++i)
        items += fmt::format("{}{}", i == 0 ? "" : ",", endpoint_text(fmt::format("a{}", i)));
    const auto page = read_list(items, filter);
    CHECK(page.entries.size() == 3);
    CHECK(page.left_out.beyond_memory == 2);
    CHECK(page.left_out.unusable == 0);
    // A later change of one of them needs no memory of its own.
    std::string events;
    for (int i = 0; i < 9; ++i) {
        events +=
            fmt::format("{}{}", i == 0 ? "" : ",", event_text(endpoint_text(fmt::format("a{}", i % 3))));
    }
    CHECK(read_events(events, filter).left_out.count() == 0);
}

TEST_CASE("page reader: a list is continued after a name of unlimited length") {
    const auto filter = endpoint_filter();
    page_reader reader(filter, page_reader::content::objects);
    const std::string long_name(page_reader::max_name_bytes + 1, 'n');
    reader.feed(fmt::format(R"({{"items":[{},{}],"asOf":9}})", endpoint_text("a"), endpoint_text(long_name)));
    CHECK(reader.last_names() == std::vector<std::string>{"a"});
    CHECK(reader.nameless() == 1);
}

TEST_CASE("page reader: damaged answers end the process, or bring an object that the decoder rejects") {
    const std::string sound = fmt::format(R"({{"items":[{},{},7,{}],"hasMore":true,"asOf":9}})",
                                          endpoint_text("a"), endpoint_text("b", R"("x":[{"y":[1,2.5e3]}],)"),
                                          R"({"metadata":{"name":"m"},"spec":[true,null]})");
    const std::string bytes = "{}[]\",:\\0e-.tn \n\x01\xff";
    const auto filter = endpoint_filter();
    int complete = 0;
    for (std::uint64_t seed = 1; seed <= 20'000; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        auto text = sound;
        for (auto changes = 1 + random() % 3; changes > 0; --changes) {
            const auto at = random() % text.size();
            switch (random() % 3) {
            case 0:
                text[at] = bytes[random() % bytes.size()];
                break;
            case 1:
                text.insert(at, 1, bytes[random() % bytes.size()]);
                break;
            default:
                text.erase(at, 1 + random() % 20);
            }
        }
        page_reader reader(filter, page_reader::content::objects);
        reader.feed(text);
        complete += reader.complete() ? 1 : 0;
        for (const auto& entry : reader.take_page().entries)
            CHECK_NOTHROW(decode_endpoint(to_json(entry.name, entry.object)));
    }
    CHECK(complete > 0);
    CHECK(complete < 20'000);
}
