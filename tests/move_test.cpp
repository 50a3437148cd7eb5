#include "bench/move_simulation.h"

#include <doctest/doctest.h>

#include <set>

using namespace lacewing;
using namespace lacewing::bench;

namespace {

const std::string version_key = "moves/a";
const std::string drain_key = "drains/a-old";

bool ended(const std::string& state) {
    return state == "done" || state == "taken_back";
}

// Simulates one route with one version move and counts how often the move ends.
struct version_run {
    explicit version_run(std::function<version_behaviour(const std::string&, time_ms, double)> behaviour,
                         std::size_t vms = 4, int deadline_s = 900)
        : world(1, vms, {}) {
        auto& route = world.add_route("a", version_key);
        route.behaviour = std::move(behaviour);
        world.on_write = [this](const std::string& key, const Json::Value& value) {
            if (key != version_key) return;
            const auto state = value["state"].asString();
            if (ended(state) && state != last_state) ++results;
            last_state = state;
            largest_share = std::max(largest_share, value["share_ppm"].asInt64());
        };
        world.request_version("a", deadline_s);
    }
    bool finish(int seconds = 1000) {
        return world.run_until([&] { return ended(world.state(version_key)); }, seconds);
    }

    move_simulation world;
    int results = 0;
    std::string last_state;
    std::int64_t largest_share = 0;
};

version_behaviour good(const std::string& /*version*/, time_ms /*now*/, double /*load*/) {
    return {};
}

// Names of the steps of a move, from its stored evidence.
std::string steps_of(const move_simulation& world, const std::string& key) {
    std::string steps;
    for (const auto& entry : world.object(key).value["evidence"]) {
        const auto text = entry.asString();
        steps += text.substr(0, text.find(':')) + " ";
    }
    return steps;
}

} // namespace

TEST_CASE("moves: a stage exceeds its requested cap or the standard share") {
    Json::Value caps(Json::arrayValue);
    CHECK(stage_shares_ppm(caps) == std::vector<std::int64_t>{10'000, 50'000, 250'000, 500'000, 1'000'000});
    for (const auto cap : {3, 4, 10})
        caps.append(cap);
    CHECK(stage_shares_ppm(caps) == std::vector<std::int64_t>{10'000, 40'000, 100'000, 100'000, 100'000});
}

TEST_CASE("moves: a good version does not finish, or a step has no history record") {
    version_run run(good);
    REQUIRE(run.finish());
    CHECK(run.world.state(version_key) == "done");
    CHECK(steps_of(run.world, version_key) == "stage 1 stage 2 stage 3 stage 4 stage 5 done ");
    run.world.run_until([&] { return !run.world.object(version_key).value["watching"].asBool(); }, 400);
    CHECK(run.world.object(version_key).value["share_ppm"] == 1'000'000);
    for (int i = 0; i < 20; ++i)
        run.world.step();
    CHECK(run.world.history_records(version_key) == 7);
    const auto revision = run.world.object(version_key).revision;
    for (int i = 0; i < 30; ++i)
        run.world.step();
    CHECK_MESSAGE(run.world.object(version_key).revision == revision, "a finished move is still written");
}

// Guards against a move that hangs, ends twice or loses a history record when its driver dies after a step.
TEST_CASE("moves: a move hangs, ends twice or loses a record when its driver dies") {
    for (const bool lose_answer : {false, true}) {
        for (int step = 1; step <= 7; ++step) {
            CAPTURE(step);
            version_run run(good);
            REQUIRE(run.world.run_until(
                [&] { return run.world.object(version_key).value["step"].asInt() >= step; }, 1300));
            auto* driver = run.world.driver_of(version_key);
            REQUIRE(driver != nullptr);
            // The driver dies right after the step; in half of the runs the answer to a later write is lost
            // too.
            if (lose_answer) run.world.lost_answers = 1;
            driver->alive = false;
            REQUIRE(run.finish());
            run.world.run_until([&] { return !run.world.object(version_key).value["watching"].asBool(); },
                                400);
            for (int i = 0; i < 20; ++i)
                run.world.step();
            CHECK(run.world.state(version_key) == "done");
            CHECK(run.results == 1);
            CHECK(run.world.history_records(version_key) == 7);
        }
    }
}

TEST_CASE("moves: two VMs take over a move at the same time and both act") {
    move_settings without_stagger;
    without_stagger.takeover_stagger = {};
    move_simulation world(1, 4, without_stagger);
    world.add_route("a", version_key);
    int first_stage_writes = 0;
    world.on_write = [&](const std::string& key, const Json::Value& value) {
        if (key == version_key && value["last_step"] == "stage 1" && value["step"] == 1 &&
            value["elapsed_ms"].asInt64() == 0)
            ++first_stage_writes;
    };
    world.request_version("a", 900);
    for (int i = 0; i < 3; ++i)
        world.step();
    CHECK(first_stage_writes == 1);
    CHECK(world.history_records(version_key) == 1);
}

TEST_CASE("moves: a paused driver acts on its expired lease") {
    version_run run(good);
    REQUIRE(
        run.world.run_until([&] { return run.world.object(version_key).value["step"].asInt() >= 2; }, 900));
    auto* paused = run.world.driver_of(version_key);
    REQUIRE(paused != nullptr);
    paused->paused = true;
    REQUIRE(run.world.run_until([&] { return run.world.driver_of(version_key) != paused; }, 15));
    const auto revision = run.world.object(version_key).revision;
    paused->paused = false;
    // It decides from the revision that it had seen before the pause.
    run.world.act(*paused);
    CHECK(run.world.object(version_key).revision == revision);
    REQUIRE(run.finish());
    CHECK(run.results == 1);
    CHECK(run.world.driver_of(version_key) != paused);
}

TEST_CASE("moves: a lease is taken over although its driver renews it") {
    version_run run(good);
    run.world.step();
    run.world.step();
    auto* driver = run.world.driver_of(version_key);
    REQUIRE(run.finish());
    CHECK(run.world.driver_of(version_key) == driver);
}

TEST_CASE("moves: a move hangs or repeats a step when an answer of the store is lost") {
    version_run run(good);
    for (int i = 0; i < 900 && !ended(run.world.state(version_key)); ++i) {
        if (i % 2 == 0) run.world.lost_answers = 1;
        run.world.step();
    }
    CHECK(run.world.state(version_key) == "done");
    CHECK(run.results == 1);
    CHECK(steps_of(run.world, version_key) == "stage 1 stage 2 stage 3 stage 4 stage 5 done ");
}

TEST_CASE("moves: a store outage ends a move or changes its share") {
    version_run run(good);
    REQUIRE(
        run.world.run_until([&] { return run.world.object(version_key).value["step"].asInt() >= 2; }, 900));
    run.world.store_down = true;
    const auto before = run.world.object(version_key).revision;
    run.world.attempted_writes = 0;
    for (int i = 0; i < 60; ++i)
        run.world.step();
    CHECK(run.world.object(version_key).revision == before);
    CHECK_MESSAGE(run.world.attempted_writes <= 4 * 30,
                  "a write with an unknown result is repeated before its retry delay has passed");
    run.world.store_down = false;
    REQUIRE(run.finish());
    CHECK(run.world.state(version_key) == "done");
}

namespace {

// Simulates a drain that cannot finish, because its driver has a request in flight. `other` is another VM.
struct drain_run {
    drain_run() : world(1, 4, {}) {
        world.add_route("a", version_key);
        for (auto& vm : world.vms())
            vm.in_flight["a-old"] = 1;
        world.request_drain("a-old", 300);
        REQUIRE(world.run_until([&] { return world.driver_of(drain_key) != nullptr; }, 5));
        for (auto& vm : world.vms()) {
            if (&vm == world.driver_of(drain_key)) continue;
            vm.in_flight.clear();
            other = &vm;
        }
        steps(5);
        REQUIRE(world.state(drain_key) == "running");
    }
    void steps(int count) {
        for (int i = 0; i < count; ++i)
            world.step();
    }
    void finish_driver_request() { world.driver_of(drain_key)->in_flight.clear(); }
    bool becomes_done() {
        return world.run_until([&] { return world.state(drain_key) == "done"; }, 10);
    }

    move_simulation world;
    move_simulation::vm* other = nullptr;
};

} // namespace

TEST_CASE("moves: a drain is done while a VM has requests in flight") {
    drain_run run;
    run.other->in_flight["a-old"] = 2;
    run.steps(2);
    run.finish_driver_request();
    run.steps(10);
    CHECK(run.world.state(drain_key) == "running");
    run.other->in_flight.clear();
    CHECK(run.becomes_done());
}

TEST_CASE("moves: a drain is done although a VM no longer reports") {
    drain_run run;
    run.other->silent = true;
    run.steps(5);
    run.finish_driver_request();
    run.steps(10);
    CHECK(run.world.state(drain_key) == "running");
    run.other->silent = false;
    CHECK(run.becomes_done());
}

TEST_CASE("moves: a drain is done before a VM has applied it") {
    drain_run run;
    run.other->serve_thread_behind = true;
    run.steps(2);
    run.finish_driver_request();
    run.steps(10);
    CHECK(run.world.state(drain_key) == "running");
    run.other->serve_thread_behind = false;
    CHECK(run.becomes_done());
}

TEST_CASE("moves: a drain that cannot finish stays pending after its deadline") {
    move_simulation world(1, 4, {});
    world.add_route("a", version_key);
    world.vms()[3].in_flight["a-old"] = 1;
    world.request_drain("a-old", 60);
    REQUIRE(world.run_until([&] { return ended(world.state(drain_key)); }, 90));
    CHECK(world.now().count <= 65'000);
    CHECK(world.state(drain_key) == "taken_back");
    CHECK(world.object(drain_key).value["result"].asString().find("vm3: 1 in flight") != std::string::npos);
}

// Guards against a deadline that each new driver counts from its own takeover.
TEST_CASE("moves: a change of the driver extends the deadline") {
    move_simulation world(1, 4, {});
    world.add_route("a", version_key);
    for (auto& vm : world.vms())
        vm.in_flight["a-old"] = 1;
    world.request_drain("a-old", 60);
    for (int i = 0; i < 40; ++i)
        world.step();
    world.driver_of(drain_key)->alive = false;
    REQUIRE(world.run_until([&] { return ended(world.state(drain_key)); }, 90));
    CHECK(world.now().count <= 70'000);
}

TEST_CASE("moves: a move is both cancelled and done") {
    version_run run(good);
    const auto cancel = [&](const move_simulation::stored& held) {
        auto value = held.value;
        value["state"] = "taken_back";
        value["result"] = "cancelled by test";
        value["step"] = value["step"].asInt64() + 1;
        value["last_step"] = "taken_back";
        return run.world.put(version_key, held.revision, value);
    };
    REQUIRE(
        run.world.run_until([&] { return run.world.object(version_key).value["step"].asInt() >= 5; }, 900));
    const auto before_done = run.world.object(version_key);
    REQUIRE(run.finish());
    CHECK_FALSE(cancel(before_done));
    CHECK(run.results == 1);

    version_run cancelled(good);
    REQUIRE(cancelled.world.run_until(
        [&] { return cancelled.world.object(version_key).value["step"].asInt() >= 3; }, 900));
    auto value = cancelled.world.object(version_key).value;
    value["state"] = "taken_back";
    REQUIRE(cancelled.world.put(version_key, cancelled.world.object(version_key).revision, value));
    for (int i = 0; i < 100; ++i)
        cancelled.world.step();
    CHECK(cancelled.world.state(version_key) == "taken_back");
    CHECK(cancelled.results == 1);
}

TEST_CASE("moves: a version that fails from the start passes the first stage or is not taken back") {
    version_run run([](const std::string& version, time_ms, double) {
        return version_behaviour{version == "v2" ? 0.8 : 0.005, 1};
    });
    REQUIRE(run.finish(60));
    CHECK(run.world.state(version_key) == "taken_back");
    CHECK(run.largest_share == 10'000);
    CHECK(run.world.object(version_key).value["share_ppm"] == 0);
    // From 2 s after the verdict on, the bad version gets no request (INV-5).
    run.world.step();
    run.world.step();
    const auto before = run.world.routes()[0].requests_to_new;
    for (int i = 0; i < 20; ++i)
        run.world.step();
    CHECK(run.world.routes()[0].requests_to_new == before);
}

TEST_CASE("moves: a version that is found bad during a store outage still gets requests") {
    bool bad = false;
    version_run run([&](const std::string& version, time_ms, double) {
        return version_behaviour{version == "v2" && bad ? 1.0 : 0.005, 1};
    });
    REQUIRE(
        run.world.run_until([&] { return run.world.object(version_key).value["step"].asInt() >= 4; }, 900));
    run.world.store_down = true;
    bad = true;
    for (int i = 0; i < 6; ++i)
        run.world.step();
    const auto before = run.world.routes()[0].requests_to_new;
    for (int i = 0; i < 20; ++i)
        run.world.step();
    CHECK(run.world.routes()[0].requests_to_new == before);
    run.world.store_down = false;
    REQUIRE(run.finish(30));
    CHECK(run.world.state(version_key) == "taken_back");
}

TEST_CASE("moves: a version that fails late, is slow or fails only under load is kept") {
    const auto taken_back = [](auto behaviour) {
        version_run run(behaviour);
        run.world.routes()[0].load.load = [](time_ms now) { return sinusoidal_load(now, time_ms{60'000}); };
        return run.world.run_until(
            [&] {
                const auto& value = run.world.object(version_key).value;
                return value["state"] == "taken_back" || value.isMember("reverted_after_done");
            },
            900);
    };
    CHECK(taken_back([](const std::string& version, time_ms now, double) {
        return version_behaviour{version == "v2" && now.count > 120'000 ? 0.1 : 0.005, 1};
    }));
    CHECK(taken_back([](const std::string& version, time_ms, double) {
        return version_behaviour{0.005, version == "v2" ? 2.0 : 1.0};
    }));
    CHECK(taken_back([](const std::string& version, time_ms, double load) {
        return version_behaviour{version == "v2" && load > 1.2 ? 0.15 : 0.005, 1};
    }));
}

TEST_CASE("moves: the new version is found bad because both versions fail under load") {
    version_run run([](const std::string&, time_ms, double load) {
        return version_behaviour{load > 1.2 ? 0.2 : 0.005, load > 1.2 ? 3.0 : 1.0};
    });
    run.world.routes()[0].load.load = [](time_ms now) { return sinusoidal_load(now, time_ms{20'000}); };
    REQUIRE(run.finish());
    CAPTURE(run.world.object(version_key).value["result"].asString());
    CAPTURE(run.world.now().count);
    CAPTURE(steps_of(run.world, version_key));
    CHECK(run.world.state(version_key) == "done");
}

TEST_CASE("moves: the new version is found bad although the old one fails as often") {
    version_run run([](const std::string&, time_ms, double) { return version_behaviour{0.3, 4}; });
    REQUIRE(run.finish());
    CHECK(run.world.state(version_key) == "done");
}

TEST_CASE("moves: a bad version on one route ends the move on another route") {
    move_simulation world(1, 4, {});
    world.add_route("a", version_key);
    world.add_route("b", "moves/b").behaviour = [](const std::string& version, time_ms, double) {
        return version_behaviour{version == "v2" ? 0.3 : 0.005, 1};
    };
    world.request_version("a", 900);
    world.request_version("b", 900);
    REQUIRE(world.run_until([&] { return ended(world.state(version_key)) && ended(world.state("moves/b")); },
                            950));
    CHECK(world.state(version_key) == "done");
    CHECK(world.state("moves/b") == "taken_back");
}

TEST_CASE("moves: a version that turns bad after done keeps its share") {
    bool bad = false;
    version_run run([&](const std::string& version, time_ms, double) {
        return version_behaviour{version == "v2" && bad ? 0.3 : 0.005, 1};
    });
    REQUIRE(run.finish());
    for (int i = 0; i < 60; ++i)
        run.world.step();
    bad = true;
    REQUIRE(run.world.run_until(
        [&] { return run.world.object(version_key).value.isMember("reverted_after_done"); }, 60));
    CHECK(run.world.state(version_key) == "done");
    CHECK(run.world.object(version_key).value["share_ppm"] == 0);
    CHECK(run.results == 1);
    for (int i = 0; i < 5; ++i)
        run.world.step();
    CHECK(run.world.history_records(version_key) == 7);
}

TEST_CASE("moves: a stage ends although too many VMs send no evidence") {
    version_run run(good, 4, 500);
    run.world.step();
    run.world.step();
    int silent = 0;
    for (auto& vm : run.world.vms()) {
        if (&vm != run.world.driver_of(version_key) && silent < 2) {
            vm.silent = true;
            ++silent;
        }
    }
    REQUIRE(run.finish(600));
    CHECK(run.largest_share == 10'000);
    CHECK(run.world.state(version_key) == "taken_back");
    CHECK(run.world.object(version_key).value["result"].asString().find("2 of 4 VMs") != std::string::npos);
}

TEST_CASE("moves: one VM without evidence holds up a good version") {
    version_run run(good);
    run.world.step();
    run.world.step();
    for (auto& vm : run.world.vms()) {
        if (&vm == run.world.driver_of(version_key)) continue;
        vm.silent = true;
        break;
    }
    REQUIRE(run.finish());
    CHECK(run.world.state(version_key) == "done");
}

TEST_CASE("moves: evidence that arrives twice or after a gap counts twice") {
    version_counts older;
    for (int i = 0; i < 10; ++i)
        add_outcome(older, i == 0, {i});
    auto newer = older;
    add_outcome(newer, true, {5000});
    CHECK(growth(older, newer).requests == 1);
    CHECK(growth(older, newer).errors == 1);
    CHECK(growth(newer, newer).requests == 0);
    // A restarted process counts from zero.
    CHECK(growth(newer, older).requests == older.requests);
}

TEST_CASE("moves: a new version is found bad without requests to the old one at the same time") {
    version_evaluator evaluator;
    version_counts fast;
    version_counts slow;
    for (int i = 0; i < 1000; ++i) {
        add_outcome(fast, false, {20});
        add_outcome(slow, false, {80});
    }
    evaluator.add(fast, {});
    for (int i = 0; i < 50; ++i)
        evaluator.add({}, slow);
    CHECK(evaluator.verdict() == version_verdict::undecided);
}
