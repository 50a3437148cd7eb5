#include "coordination/endpoint_limit.h"
#include "endpoint_fleet.h"
#include "sliding_window.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

using namespace lacewing;
using namespace lacewing::testing;

namespace {

// Length of the windows in which an endpoint may get limit_overshoot times its limit and limit_slack
// requests.
constexpr time_ms limit_window{4000};
constexpr double limit_overshoot = 1.5;
constexpr double limit_slack = 5;
// The limit binds from this time after it was first named.
constexpr time_ms limit_grace{4000};
// Least part of the limits that is used while demand exceeds them
// (docs/decisions/0008-limits-of-endpoints.md).
constexpr double used_part = 0.75;

/// Endpoints at capacity, of which seven tenths name a limit of half of the rate that each got before.
struct endpoints_in_trouble : endpoint_fleet {
    static constexpr double per_s_and_region = 60;

    endpoints_in_trouble(std::size_t vms_per_region, std::uint64_t seed)
        : endpoint_fleet({{6, 6, 6}, vms_per_region, 1, seed}) {}

    void name_limits() {
        run(time_ms{6000}, per_s_and_region);
        for (std::size_t e = 0; e < servers.size(); ++e) {
            const auto& sent = servers[e].sent;
            const auto count = std::count_if(sent.begin(), sent.end(),
                                             [this](time_ms at) { return at >= now - limit_window; });
            if (e % 10 < 7) servers[e].limit = static_cast<double>(count) * 500 / limit_window.count;
        }
        named_at = now;
    }

    /// Largest number of requests that a limited endpoint got in a window, relative to what is allowed.
    [[nodiscard]] double largest_use() const {
        double largest = 0;
        for (const auto& item : servers) {
            if (!item.limit) continue;
            const double allowed = limit_overshoot * *item.limit * limit_window.count / 1000 + limit_slack;
            const auto begin = std::lower_bound(item.sent.begin(), item.sent.end(), named_at + limit_grace);
            const auto most = most_in_window({begin, item.sent.end()}, limit_window);
            largest = std::max(largest, static_cast<double>(most) / allowed);
        }
        return largest;
    }

    /// Part of what the limits allow that was used since a time.
    [[nodiscard]] double mean_use(time_ms from) const {
        double used = 0;
        double allowed = 0;
        for (const auto& item : servers) {
            if (!item.limit) continue;
            used += static_cast<double>(item.sent.end() -
                                        std::lower_bound(item.sent.begin(), item.sent.end(), from));
            allowed += *item.limit * static_cast<double>((now - from).count) / 1000;
        }
        return used / allowed;
    }

    time_ms named_at{0};
};

} // namespace

TEST_CASE("endpoint limit: a text that is no rate is taken for a limit") {
    CHECK(parse_endpoint_limit("2.5") == 2.5);
    CHECK(parse_endpoint_limit("0") == 0.0);
    CHECK(parse_endpoint_limit("300") == 300.0);
    constexpr std::array<std::string_view, 13> malformed{
        "", " ", "-1", "-0", "+1", "1,5", "2.5 ", "2/s", "0x10", "1e3", "nan", "infinity", "1.2.3"};
    for (const auto text : malformed) {
        CAPTURE(text);
        CHECK_FALSE(parse_endpoint_limit(text));
    }
}

TEST_CASE("endpoint limit: the requests of an earlier limit are counted for the next") {
    endpoint_limit limit;
    limit.on_send();
    CHECK(limit.current().sent == 0);
    CHECK(limit.on_answer(time_ms{10}, 2.5));
    limit.on_send();
    CHECK_FALSE(limit.on_answer(time_ms{20}, 2.5));
    CHECK(limit.current().sent == 1);
    CHECK(limit.current().begin == time_ms{10});
    CHECK(limit.on_answer(time_ms{30}, {}));
    CHECK(limit.current().sent == 0);
    CHECK_FALSE(limit.per_s());
}

// Regression test of the incident of 2026-12-04: each VM alone was within the limit, their sum was not.
TEST_CASE("endpoints in trouble: an endpoint gets more requests than its limit from all VMs together") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        for (const std::size_t vms_per_region : {1, 3, 12}) {
            CAPTURE(seed);
            CAPTURE(vms_per_region);
            endpoints_in_trouble fleet(vms_per_region, seed);
            fleet.name_limits();
            fleet.run(time_ms{20'000}, endpoints_in_trouble::per_s_and_region);
            CHECK(fleet.largest_use() <= 1);
            const auto from = fleet.named_at + limit_grace;
            const auto mean_use = fleet.mean_use(from);
            // Over a finite time, a bucket gives out its burst besides.
            const double burst_part = static_cast<double>(endpoint_limit::burst_time.count) /
                                      static_cast<double>((fleet.now - from).count);
            CHECK(mean_use <= 1 + burst_part);
            CHECK(mean_use >= used_part);
        }
    }
}

// Regression test of the incident of 2026-12-04: a VM that started learned of each limit by its own requests.
TEST_CASE("endpoints in trouble: VMs that start send without regard to the limits that others know") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        endpoints_in_trouble fleet(3, seed);
        fleet.name_limits();
        fleet.run(time_ms{4000}, endpoints_in_trouble::per_s_and_region);
        for (std::size_t i = 0; i < 27; ++i) {
            fleet.restart_vm(i % fleet.vms.size());
            fleet.run(time_ms{700}, endpoints_in_trouble::per_s_and_region);
        }
        CHECK(fleet.largest_use() <= 1);
    }
}

TEST_CASE("endpoints in trouble: lost reports or silent VMs let an endpoint get more than its limit") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        endpoints_in_trouble fleet(3, seed);
        fleet.report_loss = 0.1;
        fleet.name_limits();
        for (std::size_t i = 0; i < 6; ++i) {
            auto& frozen = *fleet.vms[i];
            fleet.run(time_ms{1000}, endpoints_in_trouble::per_s_and_region);
            frozen.paused = true;
            fleet.run(time_ms{2500}, endpoints_in_trouble::per_s_and_region);
            frozen.paused = false;
        }
        CHECK(fleet.largest_use() <= 1);
    }
}

TEST_CASE("endpoints in trouble: a limit goes on after the endpoint has stopped naming it") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        endpoints_in_trouble fleet(3, seed);
        fleet.name_limits();
        fleet.run(time_ms{8000}, endpoints_in_trouble::per_s_and_region);
        for (auto& item : fleet.servers)
            item.limit.reset();
        fleet.run(time_ms{3000}, endpoints_in_trouble::per_s_and_region);
        for (const auto& vm : fleet.vms)
            CHECK(vm->registry.limited_endpoint_count() == 0);
    }
}

TEST_CASE("endpoints in trouble: an endpoint that takes no requests is left alone for ever, or not at all") {
    endpoints_in_trouble fleet(3, 1);
    fleet.name_limits();
    for (auto& item : fleet.servers) {
        if (item.limit) item.limit = 0;
    }
    fleet.run(time_ms{12'000}, endpoints_in_trouble::per_s_and_region);
    CHECK(fleet.largest_use() <= 1);
    for (auto& item : fleet.servers)
        item.limit.reset();
    // One trial every 4 s, and then a report.
    fleet.run(time_ms{8000}, endpoints_in_trouble::per_s_and_region);
    for (const auto& vm : fleet.vms)
        CHECK(vm->registry.limited_endpoint_count() == 0);
}

TEST_CASE("endpoint limit: an older report replaces what a later answer said") {
    endpoint_limit limit;
    limit.on_answer(time_ms{10'000}, {});
    endpoint_limit_report report;
    report.answer = {2.5, time_ms{300}};
    CHECK_FALSE(limit.on_report(time_ms{10'100}, report));
    CHECK_FALSE(limit.per_s());
    // The time of the way of a report between regions makes its answer seem later.
    report.answer->age = time_ms{0};
    CHECK_FALSE(limit.on_report(time_ms{10'060}, report));
    CHECK(limit.on_report(time_ms{10'200}, report));
    CHECK(limit.per_s() == 2.5);
}

TEST_CASE("endpoint limit: nobody, or everybody, reports a limit") {
    endpoint_limit first;
    endpoint_limit second;
    CHECK_FALSE(first.report(time_ms{0}, report_audience::same_region, true));
    first.on_answer(time_ms{1000}, 2.5);
    const auto told = first.report(time_ms{1100}, report_audience::same_region, false);
    REQUIRE(told);
    CHECK(told->answer->per_s == 2.5);
    CHECK(told->answer->age == time_ms{100});
    second.on_report(time_ms{1100}, *told);
    CHECK(second.per_s() == 2.5);
    // Only the VM that got the answer passes it on; the other one reports what it has sent.
    CHECK_FALSE(second.report(time_ms{1200}, report_audience::same_region, true));
    second.on_send();
    const auto used = second.report(time_ms{1200}, report_audience::same_region, false);
    REQUIRE(used);
    CHECK_FALSE(used->answer);
    CHECK(used->usage.admitted == 1);
    second.clear_unreported(report_audience::same_region);
    CHECK_FALSE(second.report(time_ms{1300}, report_audience::same_region, true));
    CHECK(second.report(time_ms{1300}, report_audience::other_regions, false)->usage.admitted == 1);
    // A quiet limit is in full reports only.
    CHECK_FALSE(first.report(time_ms{3000}, report_audience::same_region, false));
    CHECK(first.report(time_ms{3000}, report_audience::same_region, true));
}

TEST_CASE("endpoint limit: a registration that lapsed in a store outage loses the limit of its process") {
    const std::unordered_map<std::string, std::string> zones{{"z", "r"}};
    endpoint_registry registry(zones);
    endpoint_registration registered;
    registered.id = {"e"};
    registered.service = "s";
    registered.zone = {"z"};
    registered.started_unix_ms = 1;
    registry.put(time_ms{0}, registered);
    registry.on_limit(time_ms{10}, *registry.find("e"), 2.5);
    registry.remove(time_ms{20}, "e");
    registered.revision = 2;
    registry.put(time_ms{2000}, registered);
    CHECK(registry.find("e")->limit.per_s() == 2.5);
    registry.remove(time_ms{2100}, "e");
    registered.revision = 3;
    registered.started_unix_ms = 2;
    registry.put(time_ms{2200}, registered);
    CHECK_FALSE(registry.find("e")->limit.per_s());
}
