#include "coordination/endpoint_notice.h"
#include "coordination/endpoint_registry.h"
#include "coordination/endpoint_selector.h"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <unordered_map>

using namespace lacewing;

namespace {

endpoint_registration registration(const std::string& id, std::int64_t started, std::uint64_t revision) {
    endpoint_registration made;
    made.id = {id};
    made.service = "s";
    made.address = "10.0.0.1:1000";
    made.zone = {"z"};
    made.version = "v1";
    made.slots = 3;
    made.revision = revision;
    made.started_unix_ms = started;
    return made;
}

const std::unordered_map<std::string, std::string> zones{{"z", "r"}};

struct fixture {
    fixture() : registry(zones), selector(registry, "z", "r", 1) {
        route.name = {"r"};
        route.goal = time_ms{400};
        route.parts = {{"s", 1}};
    }

    endpoint_choice choose(time_ms now) {
        endpoint_request request;
        request.route = &route;
        request.service = "s";
        request.left = time_ms{1'000};
        return selector.choose(now, request, nullptr);
    }

    endpoint_registry registry;
    endpoint_selector selector;
    host_route route;
};

} // namespace

TEST_CASE("endpoint notice: a pause that is no number of seconds is taken for one") {
    CHECK(parse_endpoint_pause("2") == time_ms{2'000});
    CHECK(parse_endpoint_pause("0.25") == time_ms{250});
    CHECK(parse_endpoint_pause("0") == time_ms{0});
    CHECK(parse_endpoint_pause("0.0001") == time_ms{1});
    CHECK(parse_endpoint_pause("99999999999999999999") == max_endpoint_pause);
    CHECK(parse_endpoint_pause(std::string(400, '9')) == max_endpoint_pause);
    for (const auto* text : {"", "-1", "-0.5", "1e3", "nan", "inf", "1,5", " 1", "1 ", "1s", "0x10",
                             "Sat, 05 Dec 2026 02:14:45 GMT"}) {
        CAPTURE(std::string(text));
        CHECK_FALSE(parse_endpoint_pause(text));
    }
}

// Guards against requests to an endpoint that has said that it wants none, and against words that outlive the
// process that has said them.
TEST_CASE("endpoint notice: a list that is out of date ends what an endpoint has said") {
    fixture f;
    f.registry.put(time_ms{0}, registration("e", 1, 1));
    REQUIRE(f.choose(time_ms{0}).endpoint != nullptr);
    CHECK(f.registry.find("e")->notice.on_leaving());
    CHECK_FALSE(f.registry.find("e")->notice.on_leaving());
    f.registry.put(time_ms{10}, registration("e", 1, 2));
    CHECK(f.choose(time_ms{10}).endpoint == nullptr);
    // The registration lapses and comes back with the same process.
    f.registry.remove(time_ms{20}, "e", false);
    f.registry.put(time_ms{30}, registration("e", 1, 3));
    CHECK(f.choose(time_ms{30}).endpoint == nullptr);
    // A new process at the same address, under the same id.
    f.registry.put(time_ms{40}, registration("e", 2, 4));
    CHECK(f.choose(time_ms{40}).endpoint != nullptr);
}

TEST_CASE("endpoint notice: callers come back before the pause of all endpoints has ended, or all together") {
    fixture f;
    for (const auto* id : {"e", "f"})
        f.registry.put(time_ms{0}, registration(id, 1, 1));
    f.registry.find("e")->notice.on_pause(time_ms{0}, time_ms{2'000});
    f.registry.find("e")->notice.on_pause(time_ms{0}, time_ms{500});
    REQUIRE(f.choose(time_ms{0}).endpoint != nullptr);
    CHECK(f.choose(time_ms{0}).endpoint->registration.id.value == "f");
    f.registry.find("f")->notice.on_pause(time_ms{0}, time_ms{3'000});
    std::set<std::int64_t> times;
    for (int i = 0; i < 50; ++i) {
        const auto choice = f.choose(time_ms{1'000});
        CHECK(choice.endpoint == nullptr);
        CHECK(choice.paused_endpoints == 2);
        CHECK(choice.retry_after >= time_ms{1'000});
        CHECK(choice.retry_after <= time_ms{1'501});
        times.insert(choice.retry_after.count);
    }
    CHECK(times.size() > 20);
    CHECK(f.choose(time_ms{2'000}).endpoint->registration.id.value == "e");
}
