#include <utility>

#include "ctl/fleet.h"
#include "ctl/store_access.h"
#include "fakes/store/store_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <thread>

using namespace lacewing;
using namespace lacewing::ctl;

namespace {

// Fake store that runs on its own thread, because store_access blocks.
class running_store {
public:
    explicit running_store(const fakes::store_faults& faults)
        : service_(loop_.get_executor(), "127.0.0.1:0", 7) {
        service_.set_faults(faults);
        thread_ = std::thread([this] { loop_.run(); });
    }
    ~running_store() {
        loop_.stop();
        thread_.join();
    }
    running_store(const running_store&) = delete;
    running_store& operator=(const running_store&) = delete;
    running_store(running_store&&) = delete;
    running_store& operator=(running_store&&) = delete;

    [[nodiscard]] std::string address() const { return service_.address(); }

private:
    boost::asio::io_context loop_;
    fakes::store_service service_;
    std::thread thread_;
};

Json::Value object_named(const std::string& name) {
    Json::Value value;
    value["name"] = name;
    return value;
}

Json::Value member_entry(const std::string& vm, const std::string& state, std::uint64_t revision) {
    Json::Value value;
    value["vm"] = vm;
    value["state"] = state;
    value["revision"] = Json::UInt64(revision);
    return value;
}

} // namespace

TEST_CASE("ctl store access: the loser of a write race learns the winning revision") {
    running_store store({});
    store_access first(store.address());
    store_access second(store.address());
    const auto won = first.put("drains/a", object_named("first"), {});
    REQUIRE(won.written);
    const auto lost = second.put("drains/a", object_named("second"), {});
    CHECK_FALSE(lost.written);
    CHECK(lost.revision == won.revision);
    CHECK(first.get("drains/a")->value["name"] == "first");
    CHECK(first.list("drains/").size() == 1);
    CHECK_FALSE(first.get("drains/b").has_value());
}

// Guards against a write with a lost answer that took effect but is reported as a conflict or applied twice.
TEST_CASE("ctl store access: a write with a lost answer is recognised") {
    fakes::store_faults faults;
    faults.lose_answers = 1;
    running_store store(faults);
    store_access access(store.address());
    const auto created = access.put("keys/a", object_named("one"), {});
    REQUIRE(created.written);
    const auto changed = access.put("keys/a", object_named("two"), created.revision);
    CHECK(changed.written);
    CHECK(changed.revision.value > created.revision.value);
    CHECK(access.get("keys/a")->revision == changed.revision);
}

// Guards against reporting a drain as ended when a concurrent change has kept its object.
TEST_CASE("ctl store access: a deletion ignores its condition or its lost answer") {
    running_store store({});
    store_access access(store.address());
    const auto created = access.put("drains/a", object_named("one"), {});
    const auto changed = access.put("drains/a", object_named("two"), created.revision);
    const auto lost = access.erase("drains/a", created.revision);
    CHECK_FALSE(lost.written);
    CHECK(lost.revision == changed.revision);
    const auto erased = access.erase("drains/a", changed.revision);
    CHECK(erased.written);
    CHECK(erased.revision.value > changed.revision.value);
    CHECK_FALSE(access.get("drains/a").has_value());

    fakes::store_faults faults;
    faults.lose_answers = 1;
    running_store lossy_store(faults);
    store_access other(lossy_store.address());
    const auto held = other.put("drains/a", object_named("one"), {});
    CHECK(other.erase("drains/a", held.revision).written);
    CHECK_FALSE(other.get("drains/a").has_value());
}

TEST_CASE("ctl store access: an outage is reported as such") {
    fakes::store_faults faults;
    faults.outage = true;
    running_store store(faults);
    store_access access(store.address());
    CHECK_THROWS_AS(access.get("keys/a"), store_unreachable);
    CHECK_THROWS_AS(access.put("keys/a", object_named("one"), {}), store_unreachable);
}

TEST_CASE("ctl fleet: in force, behind, left and unreachable VMs") {
    fleet_view view;
    Json::Value answer;
    answer["vm"] = "vm-1";
    answer["revision"] = 9;
    answer["members"].append(member_entry("vm-1", "suspect", 3));
    answer["members"].append(member_entry("vm-2", "alive", 8));
    answer["members"].append(member_entry("vm-3", "dead", 1));
    answer["members"].append(member_entry("vm-4", "suspect", 9));
    merge_fleet(view, answer);
    view.unreachable["127.0.0.1:1"] = "refused";
    const auto report = evaluate_propagation(view, 9);
    CHECK(report.in_force == std::vector<std::string>{"vm-1", "vm-4"});
    CHECK(report.cut_off == std::vector<std::string>{"vm-2", "127.0.0.1:1"});
}

// Such a key named another object, or made a target that the store refuses.
TEST_CASE("ctl store access: a key with reserved characters names another object") {
    running_store store({});
    store_access access(store.address());
    for (const std::string name : {"a&b", "a#b", "a%xb", "a%41", "a b", "a+b", "a?b", "a=b", "\xC3\xA9"}) {
        CAPTURE(name);
        const auto key = "config/odd/" + name;
        const auto written = access.put(key, object_named(name), {});
        REQUIRE(written.written);
        const auto found = access.get(key);
        REQUIRE(found.has_value());
        CHECK(found->key == key);
        CHECK(found->value["name"] == name);
        const auto listed = access.list(key);
        REQUIRE(listed.size() == 1);
        CHECK(listed[0].key == key);
        CHECK(access.erase(key, written.revision).written);
        CHECK_FALSE(access.get(key).has_value());
    }
}
