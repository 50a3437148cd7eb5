#include "coordination/admission_queue.h"

#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace lacewing;
using namespace lacewing::literals;

namespace {

queued_request make_request(std::uint64_t id, std::uint32_t account, std::int64_t weight, time_ms deadline,
                            std::uint8_t caller_class = 0, std::int64_t class_weight = 1) {
    return {id, account, weight, caller_class, class_weight, deadline};
}

} // namespace

TEST_CASE("admission queue: an account that floods the queue does not reduce the weighted shares of others") {
    admission_queue queue(200);
    std::map<std::uint32_t, int> served_count;
    std::vector<std::uint64_t> expired;
    std::uint64_t id = 0;
    int refused_from_others = 0;
    for (time_ms now{0}; now < 20_s; now += 10_ms) {
        // Account 0 floods the queue. Accounts 1 and 2 send 40 and 20 requests per second, which is within
        // their shares of the 100 served per second.
        for (int i = 0; i < 20; ++i)
            queue.push(now, make_request(++id, 0, 1, now + 60_s));
        for (std::uint32_t account = 1; account <= 2; ++account) {
            const auto period = account == 1 ? 25 : 50;
            if (now.count % period >= 10) continue;
            const auto result =
                queue.push(now, make_request(++id, account, account == 1 ? 4 : 2, now + 60_s));
            refused_from_others += result.accepted ? 0 : 1;
            CHECK((!result.evicted || *result.evicted != id));
        }
        if (const auto next = queue.pop(now, expired)) ++served_count[next->account];
        CHECK(queue.size() <= 200);
    }
    CHECK(expired.empty());
    CHECK(refused_from_others == 0);
    CHECK(served_count[1] >= 790);
    CHECK(served_count[2] >= 395);
    CHECK(served_count[0] >= 700);
}

TEST_CASE("admission queue: accounts with waiting requests are served in proportion to their weights") {
    admission_queue queue(3000);
    std::vector<std::uint64_t> expired;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        for (std::uint32_t account = 0; account < 3; ++account) {
            queue.push({0}, make_request(i * 3 + account, account,
                                         account == 0   ? 1
                                         : account == 1 ? 2
                                                        : 97,
                                         900_s));
        }
    }
    std::map<std::uint32_t, int> served_count;
    for (int i = 0; i < 1000; ++i)
        ++served_count[queue.pop({0}, expired)->account];
    CHECK(served_count[0] == doctest::Approx(10).epsilon(0.2));
    CHECK(served_count[1] == doctest::Approx(20).epsilon(0.2));
}

TEST_CASE(
    "admission queue: a caller class with a high weight waits little and takes nothing from other accounts") {
    admission_queue queue(1000);
    std::vector<std::uint64_t> expired;
    std::map<std::uint64_t, time_ms> class_1_push_times;
    std::map<std::uint32_t, int> served_count;
    std::int64_t max_class_1_wait_ms = 0;
    std::uint64_t id = 0;
    for (time_ms now{0}; now < 30_s; now += 10_ms) {
        for (std::uint32_t account = 0; account < 2; ++account) {
            for (int i = 0; i < 2; ++i)
                queue.push(now, make_request(++id, account, 1, now + 120_s));
        }
        // 33 per second: more than half of the 50 per second that the account is served, but less than the
        // eight ninths of them that class 1 is entitled to.
        if (now.count % 30 == 0) {
            queue.push(now, make_request(++id, 0, 1, now + 120_s, 1, 8));
            class_1_push_times[id] = now;
        }
        const auto next = queue.pop(now, expired);
        REQUIRE(next);
        ++served_count[next->account];
        if (class_1_push_times.count(next->id) > 0)
            max_class_1_wait_ms = std::max(max_class_1_wait_ms, (now - class_1_push_times[next->id]).count);
    }
    CHECK(max_class_1_wait_ms <= 100);
    CHECK(served_count[0] == 1500);
    CHECK(served_count[1] == 1500);
}

TEST_CASE("admission queue: a request that would wait beyond its deadline is refused at once") {
    admission_queue queue(1000);
    std::vector<std::uint64_t> expired;
    time_ms now{0};
    for (std::uint64_t i = 0; i < 100; ++i)
        CHECK(queue.push(now, make_request(i, 0, 1, now + 600_s)).accepted);
    for (int i = 0; i < 50; ++i)
        queue.pop(now += 20_ms, expired);
    CHECK(queue.expected_wait(now, make_request(500, 0, 1, now + 600_s)).count ==
          doctest::Approx(1020).epsilon(0.1));
    CHECK(!queue.push(now, make_request(500, 0, 1, now + 10_ms)).accepted);
    CHECK(!queue.push(now, make_request(501, 0, 1, now)).accepted);
    CHECK(queue.push(now, make_request(502, 0, 1, now + 100_ms)).accepted);
    // Earliest deadline first.
    CHECK(queue.pop(now, expired)->id == 502);
    // While the queue is stalled, the estimate rises although no request leaves the queue.
    CHECK(!queue.push(now + 5_s, make_request(503, 0, 1, now + 9_s)).accepted);
}

TEST_CASE("admission queue: waiting requests expire and are not returned after their deadline") {
    admission_queue queue(10);
    std::vector<std::uint64_t> expired;
    queue.push({0}, make_request(1, 0, 1, 50_ms));
    queue.push({0}, make_request(2, 1, 1, 500_ms));
    queue.push({0}, make_request(3, 1, 1, 60_ms));
    const auto next = queue.pop(100_ms, expired);
    REQUIRE(next);
    CHECK(next->id == 2);
    CHECK(std::set<std::uint64_t>(expired.begin(), expired.end()) == std::set<std::uint64_t>{1, 3});
    CHECK(queue.size() == 0);
    CHECK(!queue.pop(100_ms, expired));
}

TEST_CASE("admission queue: a cancelled request leaves the queue") {
    admission_queue queue(10);
    std::vector<std::uint64_t> expired;
    for (std::uint64_t i = 0; i < 5; ++i)
        queue.push({0}, make_request(i, 0, 1, 500_ms));
    CHECK(queue.cancel(2, 0, 0));
    CHECK(!queue.cancel(2, 0, 0));
    for (const std::uint64_t id : {0, 1, 3, 4})
        CHECK(queue.pop({1}, expired)->id == id);
}
