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

// Two regions with two zones each; route "pay" has `count` endpoints of version v1 in every zone of `zones`.
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

// Fills all free slots once per second until the slow start of every endpoint is over.
time_ms warm_up(router& routing, const configuration& config) {
    time_ms now{1000};
    for (int second = 0; second < 6; ++second) {
        std::vector<route_ticket> tickets;
        while (const auto ticket = routing.choose(now, 0))
            tickets.push_back(*ticket);
        for (const auto& ticket : tickets)
            routing.finish(now + 10_ms, ticket, result_of(attempt_outcome::success));
        now += 1_s;
    }
    for (const auto& configured : config.routes[0].endpoints) {
        INFO(configured.name.value);
        CHECK(routing.headroom(now, *routing.find_endpoint("pay", configured.name.value)) ==
              configured.slots);
    }
    return now;
}

} // namespace

TEST_CASE("router: a load report that claims free capacity does not raise the slot limit") {
    const auto config = make_config({"a"}, 1, 3);
    router routing(config, {"a"}, seed);
    auto now = warm_up(routing, config);
    auto false_report = result_of(attempt_outcome::success);
    false_report.reported_load = -5.0;
    // The report arrives while two other requests are in flight.
    REQUIRE(routing.choose(now, 0));
    REQUIRE(routing.choose(now, 0));
    routing.finish(now, *routing.choose(now, 0), false_report);
    int admitted = 2;
    while (admitted < 10 && routing.choose(now, 0))
        ++admitted;
    CHECK(admitted == 3);
}

TEST_CASE("router: a load report lowers the headroom to one slot at least, and expires") {
    const auto config = make_config({"a"}, 1, 4);
    router routing(config, {"a"}, seed);
    auto now = warm_up(routing, config);
    auto report = result_of(attempt_outcome::success);
    report.reported_load = 1.0;
    routing.finish(now, *routing.choose(now, 0), report);
    CHECK(routing.headroom(now, 0) == 1);
    CHECK(routing.headroom(now + 2_s, 0) == 4);
}

TEST_CASE("router: an endpoint that fails under load gets no requests but single probes") {
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
    for (std::vector<route_ticket> tickets; const auto ticket = routing.choose(now, 0);)
        probes += ticket->endpoint == dead ? 1 : 0;
    CHECK(probes == 1);
}

TEST_CASE("router: only the slow endpoint among fast ones is ejected") {
    const auto config = make_config({"a"}, 6);
    router routing(config, {"a"}, seed, selection_rule::round_robin);
    auto now = warm_up(routing, config);
    std::map<std::uint32_t, int> last_picks;
    for (int i = 0; i < 1200; ++i, now += 1_ms) {
        const auto ticket = routing.choose(now, 0);
        REQUIRE(ticket);
        if (i >= 1000) ++last_picks[ticket->endpoint];
        routing.finish(now, *ticket, result_of(attempt_outcome::success, ticket->endpoint == 2 ? 300 : 10));
    }
    CHECK(last_picks.count(2) == 0);
    CHECK(last_picks.size() == 5);
}

TEST_CASE("router: a cold endpoint gets one request at a time, doubling every second") {
    auto config = make_config({"a"}, 1, 64);
    router routing(config, {"a"}, seed);
    const time_ms start{5000};
    for (const auto& [at, expected] :
         std::map<std::int64_t, int>{{0, 1}, {999, 1}, {1000, 2}, {2000, 4}, {6000, 64}}) {
        std::vector<route_ticket> tickets;
        while (const auto ticket = routing.choose(start + time_ms{at}, 0))
            tickets.push_back(*ticket);
        CHECK(static_cast<int>(tickets.size()) == expected);
        for (const auto& ticket : tickets)
            routing.finish(start + time_ms{at}, ticket, result_of(attempt_outcome::success));
    }
}

TEST_CASE("router: slots, connections and region capacity are never exceeded") {
    auto config = make_config({"a", "b"}, 2, 4);
    config.regions[0].capacity = 9;
    router routing(config, {"a"}, seed);
    auto now = warm_up(routing, config);
    routing.set_slot_limit(0, 1);
    routing.set_connection_limit(1, 2);
    std::map<std::uint32_t, int> tickets_by_endpoint;
    int total = 0;
    while (const auto ticket = routing.choose(now, 0)) {
        ++total;
        // Every request needs its own connection, because none finishes here.
        if (++tickets_by_endpoint[ticket->endpoint] > routing.view(ticket->endpoint).connections)
            routing.connection_opened(ticket->endpoint);
    }
    CHECK(tickets_by_endpoint[0] == 1);
    CHECK(tickets_by_endpoint[1] == 2);
    CHECK(total == 9);
    routing.set_slot_limit(0, 100);
    CHECK(routing.headroom(now, 0) == 3);
}

TEST_CASE("router: another region is used only when nearer endpoints are full and the link has bandwidth") {
    const auto config = make_config({"a", "c"}, 1, 2);
    router routing(config, {"a"}, seed);
    time_ms now{1000};
    CHECK(routing.choose(now, 0)->endpoint == 0);
    CHECK(!routing.choose(now, 0, {}, 1000));
    routing.set_link_bandwidth(now, "r2", 1500);
    CHECK(!routing.choose(now, 0, {}, 1000));
    now += 1_s;
    const auto own_region_ticket = routing.choose(now, 0, {}, 1000);
    REQUIRE(own_region_ticket);
    CHECK(own_region_ticket->endpoint == 0);
    const auto remote_ticket = routing.choose(now, 0, {}, 1000);
    REQUIRE(remote_ticket);
    CHECK(remote_ticket->endpoint == 1);
    auto large_result = result_of(attempt_outcome::success);
    large_result.link_bytes = 4500;
    routing.finish(now, *remote_ticket, large_result);
    CHECK(!routing.choose(now + 2_s, 0, {}, 1));
    CHECK(routing.choose(now + 3_s, 0, {}, 1));
}

TEST_CASE("router: a drained endpoint gets no new request and keeps those in flight") {
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

TEST_CASE("router: the index of a removed endpoint is not reused while it has requests in flight") {
    const auto config = make_config({"a"}, 2);
    router routing(config, {"a"}, seed);
    const auto now = warm_up(routing, config);
    std::vector<route_ticket> tickets;
    while (const auto ticket = routing.choose(now, 0))
        tickets.push_back(*ticket);
    const auto other = make_config({"b"}, 2);
    routing.update(other, {}, {});
    CHECK(routing.find_endpoint("pay", "b0") == 2);
    for (const auto& ticket : tickets)
        routing.finish(now, ticket, result_of(attempt_outcome::success));
    CHECK(!routing.find_endpoint("pay", "a0"));
    auto both = make_config({"b"}, 3);
    routing.update(both, {}, {});
    CHECK(*routing.find_endpoint("pay", "b2") < 2);
}

TEST_CASE("router: a version never exceeds its share and does not burst after a period without headroom") {
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
        // The endpoints of the new version have no headroom for a while.
        const bool without_headroom = i > 5000 && i < 10'000;
        for (std::uint32_t e = 0; e < 3; ++e)
            routing.set_slot_limit(e, without_headroom ? 0 : 1000);
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

TEST_CASE("retry budget: retries never exceed a tenth of the requests at any moment") {
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

TEST_CASE("retry budget: a request that may have run is not sent again unless its route is idempotent") {
    std::mt19937_64 random(seed);
    retry_budget budget;
    for (int i = 0; i < 1000; ++i)
        budget.on_request();
    for (const bool once : {false, true}) {
        route target;
        target.once = once;
        target.idempotent = once;
        for (const auto& answer : all_error_answers()) {
            for (std::uint32_t attempt = 1; attempt < 4; ++attempt) {
                const failed_attempt failed{answer.kind, attempt, 5_s};
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

// Guards against a version to which an earlier move has shifted all requests: it would leave none to the
// target of a newer move, or keep them when that move is complete.
TEST_CASE(
    "router: the target of a newer move misses its share after an earlier move has shifted all requests") {
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
