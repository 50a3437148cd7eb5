#include "coordination/admission_queue.h"

#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace lacewing;
using namespace lacewing::literals;

namespace {

queued_request make(std::uint64_t id, std::uint32_t account, std::int64_t weight, time_ms deadline,
                    std::uint8_t caller_class = 0, std::int64_t class_weight = 1) {
    return {id, account, weight, caller_class, class_weight, deadline};
}

} // namespace

TEST_CASE("one account floods the queue and the others keep their weighted share") {
    admission_queue queue(200);
    std::map<std::uint32_t, int> served;
    std::vector<std::uint64_t> expired;
    std::uint64_t id = 0;
    int refused_of_others = 0;
    for (time_ms now{0}; now < 20_s; now += 10_ms) {
        // Account 0 floods; 1 and 2 offer 40 and 20 a second, within their shares of 100 a second.
        for (int i = 0; i < 20; ++i)
            queue.push(now, make(++id, 0, 1, now + 60_s));
        for (std::uint32_t account = 1; account <= 2; ++account) {
            const auto period = account == 1 ? 25 : 50;
            if (now.count % period >= 10) continue;
            const auto result = queue.push(now, make(++id, account, account == 1 ? 4 : 2, now + 60_s));
            refused_of_others += result.accepted ? 0 : 1;
            CHECK((!result.evicted || *result.evicted != id));
        }
        if (const auto next = queue.pop(now, expired)) ++served[next->account];
        CHECK(queue.size() <= 200);
    }
    CHECK(expired.empty());
    CHECK(refused_of_others == 0);
    CHECK(served[1] >= 790);
    CHECK(served[2] >= 395);
    CHECK(served[0] >= 700);
}

TEST_CASE("backlogged accounts are served in proportion to their weights without long runs") {
    admission_queue queue(3000);
    std::vector<std::uint64_t> expired;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        for (std::uint32_t account = 0; account < 3; ++account)
            queue.push({0}, make(i * 3 + account, account, account == 0 ? 1 : account == 1 ? 2 : 97, 900_s));
    }
    std::map<std::uint32_t, int> served;
    for (int i = 0; i < 1000; ++i)
        ++served[queue.pop({0}, expired)->account];
    CHECK(served[0] == doctest::Approx(10).epsilon(0.2));
    CHECK(served[1] == doctest::Approx(20).epsilon(0.2));
}

TEST_CASE("clerks keep their latency within their own account and take nothing from another") {
    admission_queue queue(1000);
    std::vector<std::uint64_t> expired;
    std::map<std::uint64_t, time_ms> clerk_pushed;
    std::map<std::uint32_t, int> served;
    std::int64_t worst_clerk_wait = 0;
    std::uint64_t id = 0;
    for (time_ms now{0}; now < 30_s; now += 10_ms) {
        for (std::uint32_t account = 0; account < 2; ++account) {
            for (int i = 0; i < 2; ++i)
                queue.push(now, make(++id, account, 1, now + 120_s));
        }
        // 33 a second: more than half of the account's 50 a second and less than eight ninths.
        if (now.count % 30 == 0) {
            queue.push(now, make(++id, 0, 1, now + 120_s, 1, 8));
            clerk_pushed[id] = now;
        }
        const auto next = queue.pop(now, expired);
        REQUIRE(next);
        ++served[next->account];
        if (clerk_pushed.count(next->id) > 0)
            worst_clerk_wait = std::max(worst_clerk_wait, (now - clerk_pushed[next->id]).count);
    }
    CHECK(worst_clerk_wait <= 100);
    CHECK(served[0] == 1500);
    CHECK(served[1] == 1500);
}

TEST_CASE("a request whose expected wait exceeds its deadline is refused early") {
    admission_queue queue(1000);
    std::vector<std::uint64_t> expired;
    time_ms now{0};
    for (std::uint64_t i = 0; i < 100; ++i)
        CHECK(queue.push(now, make(i, 0, 1, now + 600_s)).accepted);
    for (int i = 0; i < 50; ++i)
        queue.pop(now += 20_ms, expired);
    CHECK(queue.expected_wait(now, make(500, 0, 1, now + 600_s)).count == doctest::Approx(1020).epsilon(0.1));
    CHECK(!queue.push(now, make(500, 0, 1, now + 10_ms)).accepted);
    CHECK(!queue.push(now, make(501, 0, 1, now)).accepted);
    CHECK(queue.push(now, make(502, 0, 1, now + 100_ms)).accepted);
    // Earliest deadline first.
    CHECK(queue.pop(now, expired)->id == 502);
    // A stalled queue raises the estimate although nothing has left since.
    CHECK(!queue.push(now + 5_s, make(503, 0, 1, now + 9_s)).accepted);
}

TEST_CASE("waiting requests expire and are never handed out after their deadline") {
    admission_queue queue(10);
    std::vector<std::uint64_t> expired;
    queue.push({0}, make(1, 0, 1, 50_ms));
    queue.push({0}, make(2, 1, 1, 500_ms));
    queue.push({0}, make(3, 1, 1, 60_ms));
    const auto next = queue.pop(100_ms, expired);
    REQUIRE(next);
    CHECK(next->id == 2);
    CHECK(std::set<std::uint64_t>(expired.begin(), expired.end()) == std::set<std::uint64_t>{1, 3});
    CHECK(queue.size() == 0);
    CHECK(!queue.pop(100_ms, expired));
}

TEST_CASE("a request of a caller that went away leaves the queue") {
    admission_queue queue(10);
    std::vector<std::uint64_t> expired;
    for (std::uint64_t i = 0; i < 5; ++i)
        queue.push({0}, make(i, 0, 1, 500_ms));
    CHECK(queue.cancel(2, 0, 0));
    CHECK(!queue.cancel(2, 0, 0));
    for (const std::uint64_t id : {0, 1, 3, 4})
        CHECK(queue.pop({1}, expired)->id == id);
}
