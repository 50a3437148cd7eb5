#include "coordination/retry_budget.h"
#include "coordination/router.h"

#include <deque>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>

using namespace lacewing;
using namespace lacewing::literals;

namespace {

constexpr std::uint64_t seed = 4711;

// Two regions with two zones each; `count` endpoints of one version in every listed zone.
configuration make_config(const std::vector<std::string>& zones, int count, std::int64_t slots = 4) {
    configuration config;
    config.regions = {{{"r1"}, 1000}, {{"r2"}, 1000}};
    config.zones = {{{"a"}, {"r1"}}, {{"b"}, {"r1"}}, {{"c"}, {"r2"}}, {{"d"}, {"r2"}}};
    route pay;
    pay.name = {"pay"};
    for (const auto& zone : zones) {
        for (int i = 0; i < count; ++i) {
            const auto name = fmt::format("{}{}", zone, i);
            pay.endpoints.push_back({{name}, {zone}, name + ":80", slots, 400, "v1"});
        }
    }
    config.routes = {pay};
    return config;
}

attempt_result result_of(attempt_outcome outcome, std::int64_t latency = 10) {
    attempt_result result;
    result.outcome = outcome;
    result.latency = {latency};
    return result;
}

// Sends requests one after the other until every endpoint has passed its slow start.
time_ms warm_up(router& routing, const configuration& config) {
    time_ms now{1000};
    for (int second = 0; second < 6; ++second) {
        std::vector<route_ticket> held;
        while (const auto ticket = routing.choose(now, 0))
            held.push_back(*ticket);
        for (const auto& ticket : held)
            routing.finish(now + 10_ms, ticket, result_of(attempt_outcome::success));
        now += 1_s;
    }
    for (const auto& listed : config.routes[0].endpoints) {
        INFO(listed.name.value);
        CHECK(routing.headroom(now, *routing.find_endpoint("pay", listed.name.value)) == listed.slots);
    }
    return now;
}

} // namespace

TEST_CASE("a load report that claims free capacity does not raise the slot limit") {
    const auto config = make_config({"a"}, 1, 3);
    router routing(config, {"a"}, seed);
    auto now = warm_up(routing, config);
    auto lying = result_of(attempt_outcome::success);
    lying.reported_load = -5.0;
    // The report arrives while two other requests are in flight.
    REQUIRE(routing.choose(now, 0));
    REQUIRE(routing.choose(now, 0));
    routing.finish(now, *routing.choose(now, 0), lying);
    int admitted = 2;
    while (admitted < 10 && routing.choose(now, 0))
        ++admitted;
    CHECK(admitted == 3);
}

TEST_CASE("a load report lowers the headroom, never below one slot, and expires") {
    const auto config = make_config({"a"}, 1, 4);
    router routing(config, {"a"}, seed);
    auto now = warm_up(routing, config);
    auto report = result_of(attempt_outcome::success);
    report.reported_load = 1.0;
    routing.finish(now, *routing.choose(now, 0), report);
    CHECK(routing.headroom(now, 0) == 1);
    CHECK(routing.headroom(now + 2_s, 0) == 4);
}

TEST_CASE("an endpoint that dies under load stops getting requests and is probed one at a time") {
    const auto config = make_config({"a"}, 4);
    router routing(config, {"a"}, seed);
    auto now = warm_up(routing, config);
    const auto dead = *routing.find_endpoint("pay", "a0");
    int sent_to_dead = 0;
    int served = 0;
    for (int i = 0; i < 900; ++i, now += 1_ms) {
        const auto ticket = routing.choose(now, 0);
        REQUIRE(ticket);
        const bool failed = ticket->endpoint == dead;
        sent_to_dead += failed ? 1 : 0;
        served += failed ? 0 : 1;
        routing.finish(now, *ticket, result_of(failed ? attempt_outcome::failure : attempt_outcome::success));
    }
    CHECK(sent_to_dead == 5);
    CHECK(served == 895);
    now += 1_s;
    int probes = 0;
    for (std::vector<route_ticket> held; const auto ticket = routing.choose(now, 0);)
        probes += ticket->endpoint == dead ? 1 : 0;
    CHECK(probes == 1);
}

TEST_CASE("a slow endpoint among fast ones is ejected, and never more than a third of a route") {
    const auto config = make_config({"a"}, 6);
    router routing(config, {"a"}, seed, selection_rule::round_robin);
    auto now = warm_up(routing, config);
    std::map<std::uint32_t, int> late;
    for (int i = 0; i < 1200; ++i, now += 1_ms) {
        const auto ticket = routing.choose(now, 0);
        REQUIRE(ticket);
        if (i >= 1000) ++late[ticket->endpoint];
        routing.finish(now, *ticket, result_of(attempt_outcome::success, ticket->endpoint == 2 ? 300 : 10));
    }
    CHECK(late.count(2) == 0);
    CHECK(late.size() == 5);
}

TEST_CASE("a cold endpoint is not flooded: one slot, doubling every second") {
    auto config = make_config({"a"}, 1, 64);
    router routing(config, {"a"}, seed);
    const time_ms start{5000};
    for (const auto& [at, expected] :
         std::map<std::int64_t, int>{{0, 1}, {999, 1}, {1000, 2}, {2000, 4}, {6000, 64}}) {
        std::vector<route_ticket> held;
        while (const auto ticket = routing.choose(start + time_ms{at}, 0))
            held.push_back(*ticket);
        CHECK(static_cast<int>(held.size()) == expected);
        for (const auto& ticket : held)
            routing.finish(start + time_ms{at}, ticket, result_of(attempt_outcome::success));
    }
}

TEST_CASE("slots, connections and region capacity are never exceeded") {
    auto config = make_config({"a", "b"}, 2, 4);
    config.regions[0].capacity = 9;
    router routing(config, {"a"}, seed);
    auto now = warm_up(routing, config);
    routing.set_slot_limit(0, 1);
    routing.set_connection_limit(1, 2);
    std::map<std::uint32_t, int> held;
    int total = 0;
    while (const auto ticket = routing.choose(now, 0)) {
        ++total;
        // Every request needs a connection of its own, because none is given back here.
        if (++held[ticket->endpoint] > routing.view(ticket->endpoint).connections)
            routing.connection_opened(ticket->endpoint);
    }
    CHECK(held[0] == 1);
    CHECK(held[1] == 2);
    CHECK(total == 9);
    routing.set_slot_limit(0, 100);
    CHECK(routing.headroom(now, 0) == 3);
}

TEST_CASE("another region is used only when nearer endpoints are full and within the link permit") {
    const auto config = make_config({"a", "c"}, 1, 2);
    router routing(config, {"a"}, seed);
    time_ms now{1000};
    CHECK(routing.choose(now, 0)->endpoint == 0);
    CHECK(!routing.choose(now, 0, {}, 1000));
    routing.set_link_permit(now, "r2", 1500);
    CHECK(!routing.choose(now, 0, {}, 1000));
    now += 1_s;
    const auto near = routing.choose(now, 0, {}, 1000);
    REQUIRE(near);
    CHECK(near->endpoint == 0);
    const auto far = routing.choose(now, 0, {}, 1000);
    REQUIRE(far);
    CHECK(far->endpoint == 1);
    auto large = result_of(attempt_outcome::success);
    large.link_bytes = 4500;
    routing.finish(now, *far, large);
    CHECK(!routing.choose(now + 2_s, 0, {}, 1));
    CHECK(routing.choose(now + 3_s, 0, {}, 1));
}

TEST_CASE("a drained endpoint gets no new request and keeps the ones in flight") {
    const auto config = make_config({"a"}, 2);
    router routing(config, {"a"}, seed);
    auto now = warm_up(routing, config);
    std::optional<route_ticket> in_flight;
    while (!in_flight || in_flight->endpoint != 0)
        in_flight = routing.choose(now, 0);
    const std::vector<endpoint_name> drained{{"a0"}};
    const auto before = routing.view(0).in_flight;
    routing.update(config, drained, {});
    while (const auto ticket = routing.choose(now, 0))
        CHECK(ticket->endpoint == 1);
    CHECK(routing.view(0).in_flight == before);
    routing.finish(now, *in_flight, result_of(attempt_outcome::success));
    CHECK(routing.view(0).in_flight == before - 1);
    CHECK(routing.headroom(now, 0) == 0);
}

TEST_CASE("an update keeps statistics and a removed endpoint's index is not reused while in flight") {
    const auto config = make_config({"a"}, 2);
    router routing(config, {"a"}, seed);
    const auto now = warm_up(routing, config);
    std::vector<route_ticket> held;
    while (const auto ticket = routing.choose(now, 0))
        held.push_back(*ticket);
    const auto other = make_config({"b"}, 2);
    routing.update(other, {}, {});
    CHECK(routing.find_endpoint("pay", "b0") == 2);
    for (const auto& ticket : held)
        routing.finish(now, ticket, result_of(attempt_outcome::success));
    CHECK(!routing.find_endpoint("pay", "a0"));
    auto both = make_config({"b"}, 3);
    routing.update(both, {}, {});
    CHECK(*routing.find_endpoint("pay", "b2") < 2);
}

TEST_CASE("a version never gets more than its share in any prefix and no burst after a pause") {
    auto config = make_config({"a"}, 6, 1000);
    for (int i = 0; i < 3; ++i)
        config.routes[0].endpoints[static_cast<std::size_t>(i)].version = "v2";
    router routing(config, {"a"}, seed);
    const std::vector<version_share> one_percent{{{"pay"}, "v2", 10'000}};
    routing.update(config, {}, one_percent);
    time_ms now{1000};
    int new_version = 0;
    bool exceeded = false;
    std::deque<int> window;
    int in_window = 0;
    for (int i = 1; i <= 20'000; ++i, now += 1_ms) {
        // For a time the new version has no endpoint with headroom.
        const bool closed = i > 5000 && i < 10'000;
        for (std::uint32_t e = 0; e < 3; ++e)
            routing.set_slot_limit(e, closed ? 0 : 1000);
        const auto ticket = routing.choose(now, 0);
        REQUIRE(ticket);
        const int is_new = routing.view(ticket->endpoint).version == "v2" ? 1 : 0;
        routing.finish(now, *ticket, result_of(attempt_outcome::success));
        new_version += is_new;
        exceeded = exceeded || new_version * 100 > i;
        window.push_back(is_new);
        in_window += is_new;
        if (window.size() > 100) {
            in_window -= window.front();
            window.pop_front();
        }
        exceeded = exceeded || in_window > 2;
    }
    CHECK(!exceeded);
    CHECK(new_version >= 150);
    const std::vector<version_share> stopped{{{"pay"}, "v2", 0}};
    routing.update(config, {}, stopped);
    for (int i = 0; i < 1000; ++i) {
        const auto ticket = routing.choose(now, 0);
        REQUIRE(ticket);
        CHECK(routing.view(ticket->endpoint).version == "v1");
        routing.finish(now, *ticket, result_of(attempt_outcome::success));
    }
}

TEST_CASE("a retry storm stays within a tenth of the requests at every moment") {
    retry_budget budget;
    std::mt19937_64 random(seed);
    route target;
    target.idempotent = true;
    int requests = 0;
    int retries = 0;
    bool exceeded = false;
    for (int i = 0; i < 10'000; ++i) {
        ++requests;
        budget.on_request();
        for (std::uint32_t attempt = 1; attempt <= 5; ++attempt) {
            const failed_attempt failed{error_kind::endpoint_failed, attempt, 5_s};
            const auto delay = decide_retry(failed, target, budget, random);
            if (!delay) break;
            CHECK(delay->count <= 10 << (attempt - 1));
            ++retries;
        }
        exceeded = exceeded || retries * 10 > requests;
    }
    CHECK(!exceeded);
    CHECK(retries == 1000);
}

TEST_CASE("after the first byte nothing is sent again on a route that is not idempotent") {
    std::mt19937_64 random(seed);
    retry_budget budget;
    for (int i = 0; i < 1000; ++i)
        budget.on_request();
    for (const bool once : {false, true}) {
        route target;
        target.once = once;
        target.idempotent = once;
        for (const auto& row : all_error_answers()) {
            for (std::uint32_t attempt = 1; attempt < 4; ++attempt) {
                const failed_attempt failed{row.kind, attempt, 5_s};
                CHECK(!decide_retry(failed, target, budget, random));
            }
        }
        failed_attempt refused{error_kind::endpoint_refused, 1, 5_s};
        refused.proven_not_run = true;
        CHECK(decide_retry(refused, target, budget, random));
        refused.remaining = 2_ms;
        CHECK(!decide_retry(refused, target, budget, random));
        refused.remaining = 5_s;
        refused.replayable = false;
        CHECK(!decide_retry(refused, target, budget, random));
    }
}

// Guards against a version with all requests by an earlier move that starves, or outlives, a newer one.
TEST_CASE("a version that an earlier move has put in force hides a newer version") {
    auto config = make_config({"a"}, 4);
    config.routes[0].endpoints[1].version = "v2";
    config.routes[0].endpoints[2].version = "v3";
    config.routes[0].endpoints[3].version = "v3";
    router routing(config, {"a"}, seed);
    const auto now = warm_up(routing, config);
    const auto count_new = [&](std::int64_t ppm) {
        routing.update(config, {},
                       std::vector<version_share>{{{"pay"}, "v2", 1'000'000}, {{"pay"}, "v3", ppm}});
        int count = 0;
        for (int i = 0; i < 1000; ++i) {
            const auto ticket = routing.choose(now, 0);
            REQUIRE(ticket);
            count += routing.view(ticket->endpoint).version == "v3" ? 1 : 0;
            CHECK(routing.view(ticket->endpoint).version != "v1");
            routing.finish(now, *ticket, result_of(attempt_outcome::success));
        }
        return count;
    };
    CHECK(count_new(50'000) == 50);
    CHECK(count_new(1'000'000) == 1000);
}
