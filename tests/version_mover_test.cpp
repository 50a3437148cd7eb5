#include "coordination/version_mover.h"

#include <doctest/doctest.h>

#include <functional>
#include <random>

using namespace lacewing;

namespace {

using phase = version_move_order::phase;

/// A fleet of movers with one stored order; outcomes are drawn by version, route and load.
struct moving_fleet {
    struct request {
        std::string route;
        bool to_target = false;
        double target_share = 0;
    };
    using failure_rule = std::function<double(const request&, time_ms since_order)>;

    explicit moving_fleet(std::uint64_t seed) : random(seed), movers(4) {
        order.service = "s";
        order.target_version = "v2";
        order.duration = time_ms{16'000};
        order.revision = 1;
        order.created = 1;
        const std::unordered_map<std::string, std::string> zones{{"z", "r"}};
        endpoint_registry registry(zones);
        for (const auto* version : {"v1", "v2"}) {
            endpoint_registration made;
            made.id = {std::string("e") + version};
            made.service = "s";
            made.zone = {"z"};
            made.version = version;
            registry.put(now, made);
        }
        for (auto& mover : movers) {
            mover.set_orders(now, {order});
            mover.observe_versions(registry, {"s"});
        }
    }

    void run(time_ms span, double per_s, const failure_rule& fails) {
        const auto begin = now;
        std::bernoulli_distribution arrives(per_s / 1000);
        for (; now < begin + span; now += time_ms{1}) {
            if (arrives(random)) serve(fails, begin);
            if (now.count % 100 != 0) continue;
            for (std::size_t i = 0; i < movers.size(); ++i) {
                const auto writes = movers[i].advance(now, [&](const std::string&) { return i == driver; });
                for (const auto& write : writes)
                    store(write.order.state);
                vm_report report;
                report.vm = {"vm-" + std::to_string(i)};
                report.incarnation = incarnation_id{i + 1};
                movers[i].fill(report);
                for (std::size_t to = 0; to < movers.size(); ++to) {
                    if (to != i) movers[to].on_report(now, report);
                }
            }
        }
    }

    void serve(const failure_rule& fails, time_ms begin) {
        auto& mover = movers[std::uniform_int_distribution<std::size_t>(0, movers.size() - 1)(random)];
        const auto choice = mover.choose(now, "s");
        request asked;
        asked.to_target = choice.allows("v2");
        asked.route = std::bernoulli_distribution(0.2)(random) ? "rare" : "usual";
        ++requests;
        const auto recent = std::max<std::size_t>(1, requests);
        asked.target_share = static_cast<double>(to_target) / static_cast<double>(recent);
        if (asked.to_target) ++to_target;
        const bool failed = std::bernoulli_distribution(fails(asked, now - begin))(random);
        if (asked.to_target && failed) {
            ++bad_answers;
            if (bad_answers == 50) fiftieth_bad = now;
        }
        if (asked.to_target) last_target = now;
        const auto* version = asked.to_target ? "v2" : "v1";
        const auto taken = duration(asked);
        if (taken > patience_ms) {
            mover.on_abandoned("s", version, asked.route, patience_ms);
        } else {
            mover.on_outcome("s", version, asked.route, failed, taken);
        }
    }

    // Endpoints of the old version know most objects, those of the new one few; waits are not always
    // foreseen.
    double duration(const request& asked) {
        const bool knows = std::bernoulli_distribution(asked.to_target ? 0.2 : 0.7)(random);
        const double work = std::normal_distribution<double>(600, 90)(random) * (knows ? 0.3 : 1.0);
        const double wait = std::exponential_distribution<double>(1.0 / 60)(random);
        const bool slow = asked.to_target && std::bernoulli_distribution(slow_share)(random);
        return work * (slow ? slowness : 1) + wait;
    }

    void store(phase state) {
        if (store_down) return;
        order.state = state;
        order.state_version = "v2";
        ++order.revision;
        if (state == phase::completed) completed_at = now;
        for (auto& mover : movers)
            mover.set_orders(now, {order});
    }

    time_ms now{1'000'000};
    std::mt19937_64 random;
    std::vector<version_mover> movers;
    version_move_order order;
    std::size_t driver = 0;
    bool store_down = false;
    /// Part of the requests that the new version handles slowly, and how many times as slowly.
    double slow_share = 0;
    double slowness = 1;
    /// Callers leave after this time.
    double patience_ms = 60'000;
    std::size_t requests = 0;
    std::size_t to_target = 0;
    std::size_t bad_answers = 0;
    time_ms fiftieth_bad{0};
    time_ms last_target{0};
    time_ms completed_at{0};
};

double usual_errors(const moving_fleet::request&, time_ms) {
    return 0.01;
}

} // namespace

TEST_CASE("version mover: a good version is not completed in time") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        moving_fleet fleet(seed);
        fleet.run(time_ms{16'000}, 40, usual_errors);
        CHECK(fleet.order.state == phase::completed);
    }
}

TEST_CASE("version mover: a bad version gets more than its share, or stays") {
    const std::vector<std::pair<const char*, moving_fleet::failure_rule>> kinds{
        {"errors", [](const auto& r, time_ms) { return r.to_target ? 0.5 : 0.01; }},
        {"one route", [](const auto& r, time_ms) { return r.to_target && r.route == "rare" ? 0.5 : 0.01; }},
        {"late", [](const auto& r, time_ms t) { return r.to_target && t > time_ms{3000} ? 0.5 : 0.01; }},
        {"under load",
         [](const auto& r, time_ms t) { return r.to_target && t > time_ms{6000} ? 0.5 : 0.01; }},
    };
    for (const auto& kind : kinds) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            INFO(std::string(kind.first) << ", seed " << seed);
            moving_fleet fleet(seed);
            fleet.run(time_ms{16'000}, 70, kind.second);
            CHECK(fleet.order.state == phase::reverted);
            CHECK(static_cast<double>(fleet.to_target) <= 0.1 * static_cast<double>(fleet.requests) + 50);
        }
    }
}

TEST_CASE("version mover: a bad version is served on while the store is away") {
    moving_fleet fleet(3);
    fleet.run(time_ms{1500}, 70, usual_errors);
    fleet.store_down = true;
    fleet.run(time_ms{12'000}, 70, [](const auto& r, time_ms) { return r.to_target ? 0.6 : 0.01; });
    CHECK(static_cast<double>(fleet.to_target) <= 0.1 * static_cast<double>(fleet.requests) + 50);
    CHECK(fleet.now - fleet.last_target >= time_ms{4000});
}

TEST_CASE("version mover: a move is left undone when its driver dies") {
    moving_fleet fleet(4);
    fleet.run(time_ms{4000}, 40, usual_errors);
    fleet.driver = 2;
    fleet.run(time_ms{12'000}, 40, usual_errors);
    CHECK(fleet.order.state == phase::completed);
}

TEST_CASE("version mover: a new version is used before it has been ordered") {
    const std::unordered_map<std::string, std::string> zones{{"z", "r"}};
    endpoint_registry registry(zones);
    int number = 0;
    for (const auto* version : {"v1", "v1", "v2"}) {
        endpoint_registration made;
        made.id = {"e" + std::to_string(number++)};
        made.service = "s";
        made.zone = {"z"};
        made.version = version;
        registry.put(time_ms{0}, made);
    }
    version_mover mover;
    mover.observe_versions(registry, {"s"});
    for (int i = 0; i < 100; ++i)
        CHECK_FALSE(mover.choose(time_ms{i}, "s").allows("v2"));
}

TEST_CASE("version mover: the state of an earlier order is taken for that of a new one") {
    version_mover mover;
    version_move_order order;
    order.service = "s";
    order.target_version = "v3";
    order.state = phase::completed;
    order.state_version = "v2";
    mover.set_orders(time_ms{0}, {order});
    CHECK(mover.moving());
}

namespace {

// Half of the requests to the new version take eight times as long; callers wait for `patience_ms`.
void check_slow_version(double patience_ms) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        moving_fleet fleet(seed);
        fleet.slow_share = 0.5;
        fleet.slowness = 8;
        fleet.patience_ms = patience_ms;
        fleet.run(time_ms{20'000}, 40, usual_errors);
        CHECK(fleet.order.state == phase::reverted);
        // A tenth of the requests of the move, and 50 more.
        CHECK(static_cast<double>(fleet.to_target) <= 0.1 * 16 * 40 + 50);
    }
}

} // namespace

TEST_CASE("version mover: a version that is eight times as slow on half of its requests is completed") {
    check_slow_version(60'000);
}

TEST_CASE("version mover: a slow version is completed because callers leave before its answers") {
    check_slow_version(1'400);
}

TEST_CASE("version mover: a good version is taken back because its endpoints know no objects yet") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        moving_fleet fleet(seed);
        fleet.run(time_ms{20'000}, 40, usual_errors);
        CHECK(fleet.order.state == phase::completed);
    }
}

TEST_CASE("version mover: a good version of a service with little traffic is not completed in time") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        moving_fleet fleet(seed);
        const auto ordered = fleet.now;
        fleet.run(time_ms{20'000}, 4, usual_errors);
        CHECK(fleet.order.state == phase::completed);
        CHECK(fleet.completed_at - ordered <= fleet.order.duration);
    }
}

TEST_CASE("version mover: a bad version of a service with little traffic gets more than its share") {
    for (const double per_s : {4.0, 8.0, 15.0, 25.0}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            CAPTURE(seed);
            CAPTURE(per_s);
            moving_fleet fleet(seed);
            fleet.run(time_ms{16'000}, per_s,
                      [](const auto& asked, time_ms) { return asked.to_target ? 0.5 : 0.01; });
            CHECK(static_cast<double>(fleet.to_target) <= 0.1 * 16 * per_s + 50);
        }
    }
}

TEST_CASE("version mover: a slow version of a service with little traffic gets more than its share") {
    for (const double per_s : {4.0, 9.0, 15.0}) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(seed);
            CAPTURE(per_s);
            moving_fleet fleet(seed);
            fleet.slow_share = 0.5;
            fleet.slowness = 8;
            fleet.patience_ms = 4'000;
            fleet.run(time_ms{16'000}, per_s, usual_errors);
            CHECK(static_cast<double>(fleet.to_target) <= 0.1 * 16 * per_s + 50);
        }
    }
}
