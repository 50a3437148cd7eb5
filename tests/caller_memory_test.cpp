#include "coordination/caller_memory.h"

#include <doctest/doctest.h>

#include <list>
#include <memory>
#include <random>
#include <vector>

using namespace lacewing;

namespace {

constexpr std::size_t kb = 1024;
constexpr std::size_t budget = 1'000 * kb;

/// Connections of an account that are numbered in the order of their creation.
struct fixture {
    explicit fixture(std::size_t bytes = budget) : account(bytes) {
        account.on_shed = [this](const memory_shedding& shed) { sheddings.push_back(shed); };
    }
    std::size_t add() {
        const auto number = holdings.size();
        holdings.push_back(
            std::make_unique<caller_memory::holding>(account, [this, number] { closed.push_back(number); }));
        return number;
    }
    bool set(std::size_t number, std::size_t bytes, memory_use use, std::int64_t now = 0) {
        return holdings.at(number)->set(bytes, use, time_ms{now});
    }

    caller_memory account;
    std::vector<memory_shedding> sheddings;
    std::vector<std::size_t> closed;
    std::vector<std::unique_ptr<caller_memory::holding>> holdings;
};

} // namespace

// Guards against bodies that are left open and take the memory of a VM (issue 46).
TEST_CASE("caller memory: unfinished requests hold more than the budget") {
    fixture f;
    for (int i = 0; i < 100; ++i) {
        const auto one = f.add();
        for (std::size_t bytes = 10 * kb; bytes <= 400 * kb; bytes += 10 * kb) {
            if (!f.set(one, bytes, memory_use::unfinished_request, i)) break;
        }
        CHECK(f.account.held() <= budget);
    }
    CHECK(f.account.count(memory_cause::unfinished_request) > 0);
}

TEST_CASE("caller memory: others than the worst unfinished request are closed first") {
    fixture f;
    const auto stalled = f.add();
    const auto larger = f.add();
    const auto answer = f.add();
    const auto served = f.add();
    const auto moving = f.add();
    REQUIRE(f.set(stalled, 180 * kb, memory_use::unfinished_request, 0));
    REQUIRE(f.set(larger, 200 * kb, memory_use::unfinished_request, 9'000));
    REQUIRE(f.set(answer, 100 * kb, memory_use::unread_answer, 0));
    REQUIRE(f.set(served, 250 * kb, memory_use::in_service, 0));
    // Fits once the stalled one, 180 kB for 10 s, is gone: more than 200 kB for 1 s.
    CHECK(f.set(moving, 180 * kb, memory_use::unfinished_request, 10'000));
    REQUIRE(f.closed.size() == 1);
    CHECK(f.closed.front() == stalled);
    REQUIRE(f.sheddings.size() == 1);
    CHECK(f.sheddings.front().cause == memory_cause::unfinished_request);
    CHECK(f.sheddings.front().longest_stall.count == 10'000);
    CHECK(f.sheddings.front().bytes == 180 * kb);
}

TEST_CASE(
    "caller memory: unread answers hold more than the budget, or are closed before unfinished requests") {
    fixture f;
    const auto request = f.add();
    REQUIRE(f.set(request, 100 * kb, memory_use::unfinished_request, 0));
    for (int i = 0; i < 20; ++i) {
        f.set(f.add(), 200 * kb, memory_use::unread_answer, i);
        CHECK(f.account.held() <= budget);
    }
    REQUIRE_FALSE(f.closed.empty());
    CHECK(f.closed.front() == request);
    CHECK(f.account.count(memory_cause::unread_answer) > 0);
}

TEST_CASE("caller memory: a request that needs memory while nothing can be freed is served") {
    fixture f;
    REQUIRE(f.set(f.add(), 700 * kb, memory_use::in_service));
    const auto late = f.add();
    CHECK_FALSE(f.set(late, 200 * kb, memory_use::in_service));
    CHECK(f.closed.empty());
    CHECK(f.account.count(memory_cause::budget_used_up) == 1);
}

// Guards against a crowd with large requests that takes the memory of ordinary callers.
TEST_CASE("caller memory: large requests leave nothing for small ones") {
    fixture f;
    while (f.set(f.add(), 120 * kb, memory_use::in_service))
        REQUIRE(f.holdings.size() < 100);
    f.holdings.pop_back();
    for (int i = 0; i < 10; ++i)
        CHECK(f.set(f.add(), 10 * kb, memory_use::unfinished_request));
    CHECK(f.closed.empty());
}

// A refused request keeps its connection for a while.
TEST_CASE("caller memory: a large request that was refused counts against small ones while its connection is "
          "open") {
    fixture f;
    while (f.set(f.add(), 120 * kb, memory_use::in_service))
        REQUIRE(f.holdings.size() < 100);
    CHECK(f.holdings.back()->bytes() == 0);
    for (int i = 0; i < 10; ++i) {
        const auto one = f.add();
        CHECK(f.set(one, 4 * kb, memory_use::unfinished_request));
        CHECK(f.set(one, 8 * kb, memory_use::unread_answer));
    }
    CHECK(f.closed.empty());
}

TEST_CASE("caller memory: a single request that fits is refused, or its memory stays charged after it") {
    fixture f;
    for (int i = 0; i < 50; ++i) {
        const auto one = f.add();
        CHECK(f.set(one, 500 * kb, memory_use::unfinished_request, i));
        CHECK(f.set(one, 500 * kb, memory_use::in_service, i));
        if (i % 2 == 0) {
            CHECK(f.set(one, 4 * kb, memory_use::idle, i));
            CHECK(f.account.held() == 4 * kb);
        }
        f.holdings.back().reset();
        CHECK(f.account.held() == 0);
    }
    CHECK(f.closed.empty());
    CHECK(f.sheddings.empty());
}

TEST_CASE("caller memory: no connection is left for others while unfinished requests stand still") {
    fixture f;
    const auto older = f.add();
    const auto larger = f.add();
    REQUIRE(f.set(older, 10 * kb, memory_use::unfinished_request, 0));
    REQUIRE(f.set(larger, 50 * kb, memory_use::unfinished_request, 500));
    REQUIRE(f.set(f.add(), 50 * kb, memory_use::in_service, 0));
    REQUIRE(f.set(f.add(), 4 * kb, memory_use::idle, 0));
    CHECK_FALSE(f.account.close_stalled(time_ms{900}, time_ms{1'000}));
    CHECK(f.account.close_stalled(time_ms{1'400}, time_ms{1'000}));
    CHECK(f.account.close_stalled(time_ms{1'600}, time_ms{1'000}));
    CHECK_FALSE(f.account.close_stalled(time_ms{5'000}, time_ms{1'000}));
    CHECK(f.closed == std::vector<std::size_t>{older, larger});
    CHECK(f.account.count(memory_cause::no_connection_left) == 2);
}

// Guards against an account that drifts from what the connections hold.
TEST_CASE(
    "caller memory: slow bodies are held to a rate while there is room, or to none when there is little") {
    caller_memory account(1'000'000);
    caller_memory::holding half(account, [] {});
    CHECK_FALSE(account.is_short());
    REQUIRE(half.set(300'000, memory_use::unfinished_request, time_ms{1}));
    CHECK_FALSE(account.is_short());
    REQUIRE(half.set(600'000, memory_use::unfinished_request, time_ms{2}));
    CHECK(account.is_short());
}

TEST_CASE("caller memory: the account loses or invents bytes over many random changes") {
    std::mt19937_64 random(46);
    fixture f;
    for (int step = 0; step < 20'000; ++step) {
        if (f.holdings.size() < 40) f.add();
        const auto number = random() % f.holdings.size();
        if (f.holdings[number]->closed() || random() % 10 == 0) {
            f.holdings[number] = std::make_unique<caller_memory::holding>(f.account, [] {});
            continue;
        }
        f.set(number, random() % (120 * kb), static_cast<memory_use>(random() % 4), step);
    }
    std::size_t held = 0;
    for (const auto& one : f.holdings)
        held += one->closed() ? 0 : one->bytes();
    CHECK(f.account.held() == held);
}
