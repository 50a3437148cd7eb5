#include "bench/budget_simulation.h"
#include "coordination/budget_manager.h"
#include "coordination/token_bucket.h"

#include <doctest/doctest.h>

using namespace lacewing;
using namespace lacewing::literals;

namespace {

const std::string account = "acme";
constexpr std::int64_t per_second = token / 1000;
constexpr budget_amount fleet_budget{600 * per_second, 300 * token, 0};
constexpr time_ms lease_duration = 1500_s;

// Three zones in two regions with two VMs each; every zone holds 200 requests/s and a burst of 100.
budget_simulation three_zones(std::uint64_t seed, std::vector<std::int64_t> clock_error_ppm = {}) {
    budget_simulation world(seed);
    clock_error_ppm.resize(6, 0);
    for (int i = 0; i < 6; ++i) {
        world.add_vm("zone" + std::to_string(i / 2), i / 4, clock_error_ppm[static_cast<std::size_t>(i)]);
    }
    world.divide(account, fleet_budget, lease_duration);
    return world;
}

// Offers requests to one VM at a steady rate, in requests per second.
void schedule_load(budget_simulation& world, int vm, std::int64_t rate, time_ms from, time_ms to) {
    for (std::int64_t n = 0; n * 1000 / rate < (to - from).count; ++n) {
        world.schedule(from + time_ms{n * 1000 / rate}, [&world, vm] { world.offer(vm, account); });
    }
}

// Offers each VM the rate of the whole fleet budget.
void schedule_overload(budget_simulation& world, time_ms from, time_ms to) {
    for (int vm = 0; vm < world.size(); ++vm) {
        schedule_load(world, vm, 600, from, to);
    }
}

// Sum of what all live VMs may use now.
budget_amount total_held(budget_simulation& world) {
    budget_amount sum;
    for (int i = 0; i < world.size(); ++i) {
        if (!world.at(i).alive) {
            continue;
        }
        const auto held = world.at(i).manager->held(world.local(i), account);
        sum.rate += held.rate;
        sum.capacity += held.capacity;
        sum.tokens += held.tokens;
    }
    return sum;
}

// Runs for the given span with load on one VM; returns the number of admissions.
std::uint64_t count_admitted(budget_simulation& world, int vm, std::int64_t rate, time_ms span) {
    const auto before = world.total.admitted;
    schedule_load(world, vm, rate, world.now(), world.now() + span);
    world.run_until(world.now() + span);
    return world.total.admitted - before;
}

} // namespace

TEST_CASE("budget: a bucket whose rate and capacity change creates no tokens") {
    token_bucket bucket(0_ms);
    bucket.set_limits(1000, 10 * token);
    bucket.advance(4000_ms);
    CHECK(bucket.level() == 3'960'000);
    bucket.set_limits(1000, 2 * token);
    CHECK(bucket.level() == 2 * token - 1000);
    bucket.set_limits(1000, 10 * token);
    CHECK(bucket.level() == 2 * token - 1000);
    bucket.advance(3000_ms);
    CHECK(bucket.level() == 2 * token - 1000);
    bucket.add(100 * token);
    CHECK(bucket.level() == 10 * token - 1000);
    CHECK_THROWS_AS(bucket.set_limits(-1, 0), std::invalid_argument);
}

TEST_CASE("budget: a lender with a clock 1 % fast outwaits a borrower with a clock 1 % slow") {
    for (const time_ms term : {50_ms, 3_s, 1500_s}) {
        CHECK(with_clock_drift(term).count * 990 >= term.count * 1010 + 1000);
    }
}

TEST_CASE(
    "budget: a VM with all the demand borrows nearly the whole budget within the account's limit (INV-4)") {
    auto world = three_zones(1);
    world.run_until(3_s);
    CHECK(count_admitted(world, 0, 540, 20_s) >= 540 * 20 * 999 / 1000);
    CHECK(world.ledger.violations() == 0);
}

TEST_CASE("budget: a VM without demand sends nothing and has no timer") {
    auto world = three_zones(2);
    world.run_until(3_s);
    count_admitted(world, 0, 540, 5_s);
    world.run_until(world.now() + 5_s);
    const auto before = world.total.messages;
    world.run_until(world.now() + 60_s);
    CHECK(world.total.messages == before);
    CHECK(total_held(world).rate == fleet_budget.rate);
}

TEST_CASE("budget: overload on all VMs does not exceed the account's limit") {
    auto world = three_zones(3);
    schedule_overload(world, 0_ms, 20_s);
    world.run_until(21_s);
    CHECK(world.ledger.violations() == 0);
    CHECK(world.total.admitted >= 600 * 20 * 90 / 100);
}

TEST_CASE("budget: the loans of a killed borrower return to their lenders when they expire") {
    auto world = three_zones(4);
    world.run_until(3_s);
    int borrower = 0;
    while (world.home_of(world.at(borrower).id.zone.value, account) == borrower) {
        ++borrower;
    }
    count_admitted(world, borrower, 540, 5_s);
    world.kill(borrower);
    world.run_until(world.now() + 1_s);
    CHECK(total_held(world).rate < fleet_budget.rate / 2);
    world.run_until(world.now() + max_loan_lifetime);
    CHECK(total_held(world).rate == fleet_budget.rate);
    CHECK(total_held(world).capacity == fleet_budget.capacity);
    schedule_overload(world, world.now(), world.now() + 5_s);
    world.run_until(world.now() + 6_s);
    CHECK(world.ledger.violations() == 0);
}

TEST_CASE("budget: the home shares of a killed VM stay unused until its lease ends") {
    auto world = three_zones(5);
    world.run_until(3_s);
    count_admitted(world, 0, 540, 5_s);
    world.kill(world.home_of("zone1", account));
    schedule_overload(world, world.now(), world.now() + 10_s);
    world.run_until(world.now() + 11_s);
    CHECK(world.ledger.violations() == 0);
    CHECK(total_held(world).rate <= fleet_budget.rate * 2 / 3);
}

TEST_CASE("budget: lost, duplicated and late loan messages never create budget") {
    for (const message_faults faults : {message_faults{30, 0, 0, 0_ms}, message_faults{0, 60, 0, 0_ms},
                                        message_faults{0, 0, 50, 5_s}, message_faults{15, 30, 30, 8_s}}) {
        auto world = three_zones(6);
        world.faults = faults;
        schedule_overload(world, 0_ms, 15_s);
        // The load moves from VM to VM, so that loans are returned and granted again.
        for (int vm = 0; vm < 6; ++vm) {
            schedule_load(world, vm, 540, 15_s + 4_s * vm, 19_s + 4_s * vm);
        }
        world.run_until(60_s);
        CHECK(world.ledger.violations() == 0);
        CHECK(total_held(world).rate <= fleet_budget.rate);
        CHECK(total_held(world).capacity <= fleet_budget.capacity);
    }
}

namespace {

// A lender and a borrower without a network; the test delivers their messages.
struct lender_and_borrower {
    peer_id lender_id{{"a"}, {"z"}, "127.0.0.1:1", {11}};
    peer_id borrower_id{{"b"}, {"z"}, "127.0.0.1:2", {22}};
    budget_manager lender{lender_id};
    budget_manager borrower{borrower_id};

    explicit lender_and_borrower(time_ms lease_expiry = lease_duration) {
        lender.set_home_share(0_ms, account, {1000 * per_second, 1000 * token, 0}, lease_expiry, 0_ms);
        borrower.set_lenders(account, {lender_id});
    }

    // Lets the borrower request a loan at the given time and returns the lender's grant.
    loan_grant request_grant(time_ms now) {
        CHECK(borrower.try_admit(now, account) == admission::wait);
        return answer(now, borrower.take_actions().at(0).payload);
    }

    // Delivers a request to the lender and returns its grant.
    loan_grant answer(time_ms now, const peer_payload& request) {
        lender.on_message(now, borrower_id, request);
        return std::get<loan_grant>(lender.take_actions().at(0).payload);
    }
};

} // namespace

TEST_CASE("budget: a grant that arrives after its expiry is dropped") {
    lender_and_borrower pair;
    const auto grant = pair.request_grant(1_s);
    pair.borrower.on_message(4_s, pair.lender_id, grant);
    CHECK(pair.borrower.held(4_s, account).capacity == 0);
    CHECK(pair.lender.held(1_s + max_loan_lifetime, account).capacity == 1000 * token);
    // A borrower that is a home itself must not keep the tokens of the late loan either.
    lender_and_borrower second;
    second.borrower.set_home_share(0_ms, account, {10, 50 * token, 0}, lease_duration, 0_ms);
    const auto late = second.request_grant(1_s);
    REQUIRE(late.amount.tokens > 0);
    const auto before = second.borrower.held(5_s, account).tokens;
    second.borrower.on_message(5_s, second.lender_id, late);
    CHECK(second.borrower.held(5_s, account).tokens == before);
}

TEST_CASE("budget: the borrower counts the term from its request and the lender longer from its grant") {
    lender_and_borrower pair;
    pair.borrower.try_admit(1_s, account);
    const auto request = pair.borrower.take_actions().at(0).payload;
    const auto grant = pair.answer(2_s, request);
    pair.borrower.on_message(3_s, pair.lender_id, grant);
    CHECK(pair.borrower.held(3999_ms, account).capacity == grant.amount.capacity);
    CHECK(pair.borrower.held(4_s, account).capacity == 0);
    CHECK(pair.lender.held(2_s + max_loan_lifetime - 1_ms, account).capacity < 1000 * token);
    CHECK(pair.lender.held(2_s + max_loan_lifetime, account).capacity == 1000 * token);
}

TEST_CASE("budget: a duplicated grant, request or return counts once") {
    lender_and_borrower pair;
    pair.borrower.try_admit(1_s, account);
    const auto request = pair.borrower.take_actions().at(0).payload;
    const auto grant = pair.answer(1_s, request);
    const auto available = pair.lender.held(1_s, account).capacity;
    pair.lender.on_message(1_s, pair.borrower_id, request);
    CHECK(pair.lender.take_actions().empty());
    CHECK(pair.lender.held(1_s, account).capacity == available);
    pair.borrower.on_message(1_s, pair.lender_id, grant);
    const auto held = pair.borrower.held(1_s, account);
    pair.borrower.on_message(1_s, pair.lender_id, grant);
    CHECK(pair.borrower.held(1_s, account).capacity == held.capacity);
    CHECK(pair.borrower.held(1_s, account).tokens == held.tokens);
    pair.borrower.stop(1100_ms);
    const auto message = pair.borrower.take_actions().at(0).payload;
    pair.lender.on_message(1100_ms, pair.borrower_id, message);
    const auto after = pair.lender.held(1100_ms, account);
    pair.lender.on_message(1100_ms, pair.borrower_id, message);
    CHECK(pair.lender.held(1100_ms, account).tokens == after.tokens);
    CHECK(after.capacity == 1000 * token);
}

TEST_CASE("budget: a restarted borrower ignores a grant to its earlier incarnation") {
    lender_and_borrower pair;
    const auto grant = pair.request_grant(1_s);
    peer_id restarted = pair.borrower_id;
    restarted.incarnation = {33};
    budget_manager successor(restarted);
    successor.set_lenders(account, {pair.lender_id});
    successor.try_admit(1_s, account);
    successor.on_message(1_s, pair.lender_id, grant);
    CHECK(successor.held(1_s, account).capacity == 0);
    // A return from the new incarnation must not free the loan of the earlier one.
    const auto available = pair.lender.held(1_s, account).capacity;
    pair.lender.on_message(1_s, restarted, loan_return{account, grant.loan, 0});
    CHECK(pair.lender.held(1_s, account).capacity == available);
}

TEST_CASE("budget: no loan lasts beyond the lease of its lender") {
    lender_and_borrower pair(2_s);
    const auto grant = pair.request_grant(1_s);
    CHECK(1_s + with_clock_drift(grant.duration) <= 2_s);
}

TEST_CASE(
    "budget: a VM that resumes after its lease and loans have expired admits nothing and refills nothing") {
    lender_and_borrower pair(10_s);
    const auto grant = pair.request_grant(1_s);
    pair.borrower.on_message(1_s, pair.lender_id, grant);
    CHECK(pair.borrower.try_admit(1_s, account) == admission::admitted);
    CHECK(pair.borrower.try_admit(60_s, account) != admission::admitted);
    CHECK(pair.lender.try_admit(60_s, account) != admission::admitted);
    CHECK(pair.lender.held(60_s, account).capacity == 0);
    // A home with a share of 1 request/s borrows for 1 s. The pause must not refill its bucket at the rate of
    // the loan.
    budget_manager home({{"c"}, {"y"}, "127.0.0.1:3", {44}});
    home.set_home_share(0_ms, account, {per_second, 5000 * token, 0}, lease_duration, 0_ms);
    home.set_lenders(account, {pair.lender_id});
    budget_manager lender(pair.lender_id);
    lender.set_home_share(0_ms, account, {1000 * per_second, 1000 * token, 0}, lease_duration, 0_ms);
    time_ms now = 1_s;
    for (; now < 2_s; now += 5_ms) {
        home.try_admit(now, account);
        home.on_tick(now);
        for (const auto& action : home.take_actions()) {
            lender.on_message(now, {{"c"}, {"y"}, "127.0.0.1:3", {44}}, action.payload);
        }
        for (const auto& action : lender.take_actions()) {
            home.on_message(now, pair.lender_id, action.payload);
        }
    }
    const auto before = home.held(now, account);
    CHECK(before.rate > 100 * per_second);
    // Empties the bucket; the loans expire at the latest 3 s later.
    while (home.try_admit(now, account) == admission::admitted) {
    }
    const auto after = home.held(now + 60_s, account);
    CHECK(after.rate == per_second);
    CHECK(after.tokens <= before.rate * 3000 + 61 * token);
    home.check();
}

TEST_CASE("budget: admissions stay within the account's limit when VMs that hold loans and leases pause") {
    auto world = three_zones(7);
    schedule_overload(world, 0_ms, 30_s);
    for (int round = 0; round < 6; ++round) {
        world.schedule(3_s + 4_s * round, [&world, round] { world.pause(round, 3500_ms); });
    }
    world.run_until(40_s);
    CHECK(world.ledger.violations() == 0);
}

TEST_CASE("budget: while the store is down, shares stay usable until their lease ends and no longer") {
    auto world = three_zones(8);
    world.run_until(1499_s);
    CHECK(total_held(world).rate == fleet_budget.rate);
    world.run_until(1500_s);
    CHECK(total_held(world).rate == 0);
}

TEST_CASE("budget: a zone cut off in both directions keeps its share, and its loans expire") {
    auto world = three_zones(9);
    world.run_until(3_s);
    count_admitted(world, 0, 540, 5_s);
    world.blocked = [](const auto& from, const auto& to) {
        return (from.id.zone.value == "zone0") != (to.id.zone.value == "zone0");
    };
    world.run_until(world.now() + 4_s);
    // The zone's share is 200 requests/s; the slower refill and transfers within the zone lose little of it.
    CHECK(count_admitted(world, 0, 180, 60_s) >= 180 * 60 * 99 / 100);
    schedule_overload(world, world.now(), world.now() + 10_s);
    world.run_until(world.now() + 11_s);
    CHECK(world.ledger.violations() == 0);
}

TEST_CASE("budget: a zone cut off in one direction creates no budget") {
    for (const bool outwards : {true, false}) {
        auto world = three_zones(10);
        schedule_overload(world, 0_ms, 20_s);
        world.schedule(5_s, [&] {
            world.blocked = [outwards](const auto& from, const auto& to) {
                return (outwards ? from : to).id.zone.value == "zone0" && from.id.zone != to.id.zone;
            };
        });
        world.run_until(21_s);
        CHECK(world.ledger.violations() == 0);
        CHECK(total_held(world).rate <= fleet_budget.rate);
    }
}

TEST_CASE("budget: a partition together with a paused lender and lost messages creates no budget") {
    auto world = three_zones(11);
    world.faults = {20, 20, 20, 4_s};
    schedule_overload(world, 0_ms, 30_s);
    world.schedule(5_s, [&] {
        world.blocked = [](const auto& from, const auto& to) {
            return from.id.zone.value == "zone0" && to.id.zone.value == "zone1";
        };
        world.pause(world.home_of("zone1", account), 4_s);
        world.pause(world.home_of("zone2", account), 8_s);
    });
    world.run_until(40_s);
    CHECK(world.ledger.violations() == 0);
}

TEST_CASE("budget: admissions stay within the account's limit with clocks that run 1 % fast or slow") {
    auto world = three_zones(12, {10'000, -10'000, 10'000, 10'000, -10'000, 10'000});
    schedule_overload(world, 0_ms, 60_s);
    world.run_until(61_s);
    CHECK(world.ledger.violations() == 0);
}

TEST_CASE("budget: a restarted home starts without tokens and waits until the loans of its earlier "
          "incarnation expire") {
    auto world = three_zones(13);
    world.run_until(3_s);
    schedule_overload(world, 3_s, 20_s);
    world.run_until(8_s);
    const int home = world.home_of("zone1", account);
    world.restart(home);
    auto& manager = *world.at(home).manager;
    const time_ms now = world.local(home);
    manager.set_home_share(now, account, {fleet_budget.rate / 3, fleet_budget.capacity / 3, 0},
                           now + lease_duration, now + max_loan_lifetime);
    CHECK(manager.held(now + max_loan_lifetime - 1_ms, account).capacity == 0);
    CHECK(manager.held(now + max_loan_lifetime, account).capacity == fleet_budget.capacity / 3);
    CHECK(manager.held(now + max_loan_lifetime, account).tokens == 0);
    world.run_until(22_s);
    CHECK(world.ledger.violations() == 0);
}

TEST_CASE("budget: a reduced budget is in force at all reachable VMs once their loans have expired") {
    auto world = three_zones(14);
    world.run_until(3_s);
    schedule_overload(world, 3_s, 30_s);
    world.run_until(8_s);
    // zone2 is cut off and keeps the old amount; the other homes apply the new one at different times.
    world.blocked = [](const auto& from, const auto& to) {
        return (from.id.zone.value == "zone2") != (to.id.zone.value == "zone2");
    };
    const budget_amount reduced{fleet_budget.rate / 6, fleet_budget.capacity / 6, 0};
    for (int zone = 0; zone < 2; ++zone) {
        const int home = world.home_of("zone" + std::to_string(zone), account);
        world.at(home).manager->set_home_share(world.local(home), account, reduced,
                                               world.local(home) + lease_duration, world.local(home));
        world.run_until(world.now() + 1_s);
    }
    world.run_until(world.now() + max_loan_lifetime);
    CHECK(total_held(world).rate <= 2 * reduced.rate + fleet_budget.rate / 3);
    CHECK(total_held(world).capacity <= 2 * reduced.capacity + fleet_budget.capacity / 3);
    world.run_until(31_s);
    CHECK(world.ledger.violations() == 0);
}

TEST_CASE("budget: admissions stay within the account's limit with random faults and loads") {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const auto pick = [&](std::int64_t bound) {
            return static_cast<std::int64_t>(random() >> 1U) % bound;
        };
        std::vector<std::int64_t> clock_error_ppm;
        clock_error_ppm.reserve(6);
        for (int i = 0; i < 6; ++i) {
            clock_error_ppm.push_back(pick(20'001) - 10'000);
        }
        auto world = three_zones(seed, clock_error_ppm);
        world.faults = {static_cast<int>(pick(30)), static_cast<int>(pick(30)), static_cast<int>(pick(30)),
                        time_ms{1 + pick(6000)}};
        for (int i = 0; i < 12; ++i) {
            const time_ms start{pick(15'000)};
            schedule_load(world, static_cast<int>(pick(6)), 100 + pick(900), start,
                          start + time_ms{500 + pick(5000)});
        }
        for (int i = 0; i < 6; ++i) {
            const int vm = static_cast<int>(pick(6));
            const time_ms at{pick(15'000)};
            const auto choice = static_cast<int>(pick(3));
            switch (pick(3)) {
            case 0:
                world.schedule(at, [&world, vm, choice] { world.pause(vm, 1500_ms * (choice + 1)); });
                break;
            case 1:
                world.schedule(at, [&world, choice] {
                    world.blocked = [zone = "zone" + std::to_string(choice)](const auto& from,
                                                                             const auto& to) {
                        return from.id.zone.value == zone && to.id.zone.value != zone;
                    };
                });
                world.schedule(at + 3_s, [&world] { world.blocked = nullptr; });
                break;
            default:
                world.schedule(at, [&world, vm] {
                    // If the VM was the home of its zone's share, its new incarnation takes the share over.
                    const bool was_home = world.home_of(world.at(vm).id.zone.value, account) == vm;
                    world.restart(vm);
                    if (was_home) {
                        const time_ms now = world.local(vm);
                        world.at(vm).manager->set_home_share(
                            now, account, {fleet_budget.rate / 3, fleet_budget.capacity / 3, 0},
                            now + lease_duration, now + max_loan_lifetime);
                    }
                    world.set_lenders_on_all_vms(account);
                });
            }
        }
        world.run_until(25_s);
        CHECK(world.ledger.violations() == 0);
        CHECK(total_held(world).rate <= fleet_budget.rate);
        CHECK(total_held(world).capacity <= fleet_budget.capacity);
    }
}

TEST_CASE("budget: tokens sent without a loan count only while capacity is reserved for them") {
    lender_and_borrower pair;
    budget_manager home({{"b"}, {"z"}, "127.0.0.1:2", {22}});
    home.set_lenders(account, {pair.lender_id});
    home.set_home_share(0_ms, account, {30 * per_second, 10 * token, 0}, lease_duration, 0_ms);
    while (home.try_admit(9_s, account) == admission::admitted) {
    }
    const auto action = home.take_actions().at(0);
    const auto grant = pair.answer(9_s, action.payload);
    REQUIRE(grant.loan == 0);
    REQUIRE(grant.amount.tokens > 0);
    CHECK(grant.amount.capacity == 0);
    const auto free = home.held(9_s, account).capacity;
    CHECK(free <= 10 * token - grant.amount.tokens);
    // More than 250 ms after the request, the capacity is free for refill again.
    CHECK(home.held(9251_ms, account).capacity == 10 * token);
    const auto before = home.held(9251_ms, account).tokens;
    home.on_message(9251_ms, pair.lender_id, grant);
    CHECK(home.held(9251_ms, account).tokens == before);
}
