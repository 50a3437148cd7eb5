#include "coordination/overload_control.h"

#include "contested_service.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <vector>

using namespace lacewing;
using lacewing::testing::contested_service;

namespace {

using flows = std::vector<contested_service::flow>;
using ruling = overload_control::ruling;

constexpr std::size_t account_count = 10;
// Together nine tenths of the capacity.
constexpr double usual_per_s = 17;

flows usual_flows(double per_s = usual_per_s) {
    flows made;
    for (std::size_t account = 0; account < account_count; ++account)
        made.push_back({account, 0, per_s});
    return made;
}

// Share of the requests of the accounts from the second on that were served.
double served_share_of_others(const contested_service& service) {
    contested_service::counts sum;
    for (std::size_t account = 1; account < account_count; ++account) {
        sum.asked += service.by_account[account].asked;
        sum.served += service.by_account[account].served;
    }
    return sum.served_share();
}

struct hot_account_result {
    double others = 0;
    double hot = 0;
    double all = 0;
};

// Serves the usual load, and then with the first account at a multiple of its usual rate.
hot_account_result run_hot_account(bool controlled, double multiple) {
    hot_account_result mean;
    constexpr int seeds = 5;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        contested_service service(controlled, account_count, {1}, seed);
        auto load = usual_flows();
        service.run(time_ms{60'000}, load);
        service.clear();
        load[0].per_s *= multiple;
        service.run(time_ms{20'000}, load);
        mean.others += served_share_of_others(service) / seeds;
        mean.hot += service.by_account[0].served_share() / seeds;
        mean.all += service.by_route[0].served_share() / seeds;
    }
    return mean;
}

overload_request request_of(std::string_view account, int priority = 1) {
    overload_request made;
    made.group = "s";
    made.account = account;
    made.route = "r";
    made.priority = priority;
    made.goal_left = time_ms{400};
    made.left = time_ms{2000};
    return made;
}

constexpr slot_outlook free_slot{true, false, true, time_ms{100}};
constexpr slot_outlook no_slot{false, true, true, time_ms{100}};

// A control that has lately sent a request every 10 ms.
struct busy_control {
    busy_control() {
        for (; now < time_ms{1'004'000}; now += time_ms{10}) {
            auto asked = control.arrive(now, request_of("usual"));
            control.before_choice(now, asked);
            control.on_outlook(now, asked, free_slot);
        }
        control.on_wake = [this](std::uint64_t id) { woken.push_back(id); };
    }

    // Makes a request ask while no slot is free.
    overload_control::ticket hold(const overload_request& request, const slot_outlook& outlook = no_slot) {
        auto asked = control.arrive(now, request);
        last = control.before_choice(now, asked);
        if (last.what == ruling::choose) last = control.on_outlook(now, asked, outlook);
        return asked;
    }

    overload_control control{1};
    time_ms now{1'000'000};
    overload_control::verdict last;
    std::vector<std::uint64_t> woken;
};

} // namespace

TEST_CASE("hot account: others are refused because one account sends six times its usual rate") {
    const auto calm = run_hot_account(true, 1);
    const auto hot = run_hot_account(true, 6);
    const auto before = run_hot_account(false, 6);
    MESSAGE("others " << calm.others << ", beside a hot account " << hot.others << ", without control "
                      << before.others << "; hot account " << hot.hot << " of all " << hot.all);
    CHECK(hot.others >= calm.others - 0.02);
    CHECK(hot.hot >= hot.all / 4);
    CHECK(before.others < calm.others - 0.02);
}

TEST_CASE("burst of one kind: urgent requests wait behind a burst of less urgent ones") {
    for (const bool controlled : {true, false}) {
        CAPTURE(controlled);
        double urgent = 0;
        double less_urgent = 0;
        double all = 0;
        constexpr int seeds = 5;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            contested_service service(controlled, account_count, {0, 2}, seed);
            auto load = usual_flows(7);
            for (std::size_t account = 0; account < account_count; ++account)
                load.push_back({account, 1, 7});
            service.run(time_ms{20'000}, load);
            service.clear();
            for (std::size_t i = account_count; i < load.size(); ++i)
                load[i].per_s = 30;
            service.run(time_ms{20'000}, load);
            urgent += service.by_route[0].served_share() / seeds;
            less_urgent += service.by_route[1].served_share() / seeds;
            all += (service.by_route[0].served + service.by_route[1].served) /
                   (service.by_route[0].asked + service.by_route[1].asked) / seeds;
        }
        MESSAGE("urgent " << urgent << ", less urgent " << less_urgent << ", all " << all);
        CHECK(urgent >= less_urgent - 0.05);
        CHECK(less_urgent >= all / 4);
        // The urgent requests alone need less than half of the slots.
        CHECK((urgent >= 0.9) == controlled);
    }
}

TEST_CASE("retry storm: callers that return at once displace those that return when told") {
    double others = 0;
    double abusive = 0;
    double others_before = 0;
    constexpr int seeds = 5;
    for (const bool controlled : {true, false}) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            contested_service service(controlled, account_count, {1}, seed);
            auto load = usual_flows();
            service.run(time_ms{20'000}, load);
            service.clear();
            load.push_back({0, 0, 60, true});
            service.run(time_ms{20'000}, load);
            (controlled ? others : others_before) += served_share_of_others(service) / seeds;
            if (controlled) abusive += service.abusive_counts.served_share() / seeds;
        }
    }
    MESSAGE("others " << others << ", without control " << others_before << ", abusive " << abusive);
    CHECK(others >= abusive);
    CHECK(others >= others_before + 0.05);
}

TEST_CASE("retry storm: refused callers come back together") {
    contested_service service(true, account_count, {1}, 1);
    service.run(time_ms{10'000}, usual_flows());
    service.clear();
    service.run(time_ms{10'000}, usual_flows(40));
    std::vector<int> per_interval(150, 0);
    for (const auto at : service.return_times) {
        const auto index = static_cast<std::size_t>((at.count - 1'010'000) / 100);
        if (index < per_interval.size()) ++per_interval[index];
    }
    const double mean = static_cast<double>(service.return_times.size()) / 100;
    const auto most = *std::max_element(per_interval.begin(), per_interval.end());
    MESSAGE("returns in 100 ms: mean " << mean << ", most " << most);
    CHECK(most <= 2 * mean);
}

TEST_CASE("twice the capacity: work that misses its goal takes the slots") {
    constexpr int seeds = 5;
    double work = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        contested_service service(true, account_count, {1}, seed);
        service.run(time_ms{10'000}, usual_flows());
        service.clear();
        service.run(time_ms{20'000}, usual_flows(2 * contested_service::capacity_per_s / account_count));
        work += static_cast<double>(service.in_goal) / (contested_service::capacity_per_s * 20) / seeds;
    }
    MESSAGE("answers within the goal, of the capacity: " << work);
    CHECK(work >= 0.9);
}

TEST_CASE("overload control: a VM that gets no reports promises slots or leaves requests waiting") {
    contested_service service(true, account_count, {0, 2}, 1);
    service.reports_arrive = false;
    service.run(time_ms{20'000}, usual_flows(2 * contested_service::capacity_per_s / account_count));
    for (const auto& each : service.vms) {
        for (const auto& [id, asked] : each->waiting)
            CHECK(asked.ticket.latest_send >= service.now - time_ms{1});
    }
    CHECK(service.waiting() <= contested_service::vm_count * 8 * (overload_control::max_waiting + 1));
    service.run(time_ms{2'000}, {});
    CHECK(service.waiting() == 0);
    CHECK(service.by_route[0].served_share() > 0.2);
}

TEST_CASE("overload control: a request is refused although a slot is expected soon") {
    busy_control busy;
    auto asked = busy.hold(request_of("a"));
    CHECK(busy.last.what == ruling::wait);
    CHECK(busy.control.has_turn(asked));
    busy.now += time_ms{20};
    CHECK(busy.control.before_choice(busy.now, asked).what == ruling::choose);
    CHECK(busy.control.on_outlook(busy.now, asked, free_slot).what == ruling::send);
    CHECK(busy.control.waiting() == 0);
}

TEST_CASE("overload control: a request waits although its goal cannot be met") {
    busy_control busy;
    for (int i = 0; i < 60; ++i)
        busy.hold(request_of("a"));
    // At 100 sends a second, a queue of more than 200 ms of work leaves no time for the goal.
    CHECK(busy.last.what == ruling::refuse);
    CHECK(busy.last.reason == overload_reason::no_slot_in_time);
    CHECK(busy.last.retry_after > time_ms{0});
    CHECK(busy.last.retry_after <= time_ms{667});
}

TEST_CASE("overload control: a caller that has left keeps its place") {
    busy_control busy;
    auto first = busy.hold(request_of("a"));
    auto second = busy.hold(request_of("b"));
    REQUIRE(busy.control.has_turn(first));
    busy.woken.clear();
    busy.control.leave(busy.now, first);
    CHECK(busy.control.has_turn(second));
    CHECK(busy.woken == std::vector<std::uint64_t>{second.id});
    busy.control.leave(busy.now, second);
    CHECK(busy.control.waiting() == 0);
}

TEST_CASE("overload control: an urgent request waits behind a less urgent one") {
    busy_control busy;
    auto less_urgent = busy.hold(request_of("a", 2));
    auto urgent = busy.hold(request_of("b", 0));
    CHECK(busy.control.has_turn(urgent));
    busy.control.leave(busy.now, urgent);
    CHECK(busy.control.has_turn(less_urgent));
}

TEST_CASE("overload control: a request that found no slot in time is sent afterwards") {
    busy_control busy;
    auto asked = busy.hold(request_of("a"));
    REQUIRE(busy.last.what == ruling::wait);
    const auto verdict = busy.control.before_choice(asked.latest_send, asked);
    CHECK(verdict.what == ruling::refuse);
    CHECK(verdict.reason == overload_reason::waited_in_vain);
    CHECK(busy.control.waiting() == 0);
}

TEST_CASE("overload control: a caller that returns before it was told goes first") {
    busy_control busy;
    auto request = request_of("a");
    request.repeat_key = 7;
    auto none_to_come = no_slot;
    none_to_come.may_wait = false;
    busy.hold(request, none_to_come);
    REQUIRE(busy.last.what == ruling::refuse);
    const auto told = busy.last.retry_after;
    REQUIRE(told >= time_ms{50});
    const auto arrived = busy.now;
    const auto returns_after = [&](time_ms pause) {
        auto repeat = request;
        repeat.elapsed = pause;
        return busy.control.arrive(arrived + pause, repeat);
    };
    CHECK(returns_after(time_ms{5}).returned_early);
    const auto punctual = returns_after(told);
    CHECK_FALSE(punctual.returned_early);
    CHECK(punctual.returned);
}

TEST_CASE("overload control: requests are treated differently while slots are free") {
    overload_control control(1);
    for (time_ms now{1'000'000}; now < time_ms{1'010'000}; now += time_ms{2}) {
        auto asked = control.arrive(now, request_of("hot", 3));
        REQUIRE(control.before_choice(now, asked).what == ruling::choose);
        slot_outlook outlook = free_slot;
        outlook.scarce = true;
        REQUIRE(control.on_outlook(now, asked, outlook).what == ruling::send);
    }
}

TEST_CASE("overload control: the cost of a decision grows with the number of accounts") {
    const auto cost_us = [](std::size_t accounts) {
        overload_control control(1);
        std::vector<std::string> names;
        for (std::size_t i = 0; i < accounts; ++i)
            names.push_back("account-" + std::to_string(i));
        time_ms now{1'000'000};
        constexpr int decisions = 200'000;
        const auto begun = std::chrono::steady_clock::now();
        for (int i = 0; i < decisions; ++i) {
            if (i % 10 == 0) now += time_ms{1};
            auto asked =
                control.arrive(now, request_of(names[static_cast<std::size_t>(i) % accounts], i % 3));
            auto verdict = control.before_choice(now, asked);
            if (verdict.what == ruling::choose)
                verdict = control.on_outlook(now, asked, i % 4 == 0 ? no_slot : free_slot);
            if (verdict.what == ruling::wait) control.leave(now, asked);
        }
        const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - begun;
        return spent.count() / decisions;
    };
    const double few = cost_us(10);
    const double many = cost_us(100);
    MESSAGE("one decision takes " << few << " us with 10 accounts, " << many << " us with 100");
    CHECK(many <= 4 * few);
}
