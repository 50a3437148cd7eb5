// Guards against answers of other requests, unfinished answers that look whole (INV-6), and "not run" claims
// about requests that ran (INV-7).
#include "deployment.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <thread>

using namespace lacewing;
using namespace lacewing::testing;

namespace {

struct sent_request {
    std::string id;
    http_answer answer;
};

// Sends requests with distinct ids over several connections at the same time.
std::vector<sent_request> send_many(const deployment& system, std::string_view route,
                                    const std::string& prefix, int count, int connections,
                                    header_list headers = {}) {
    std::vector<sent_request> all(static_cast<std::size_t>(count));
    std::atomic<int> next{0};
    std::vector<std::thread> callers;
    callers.reserve(static_cast<std::size_t>(connections));
    headers.emplace_back("Authorization", "Bearer " + system.office_key());
    for (int c = 0; c < connections; ++c) {
        callers.emplace_back([&] {
            for (int i = next++; i < count; i = next++) {
                auto& item = all[static_cast<std::size_t>(i)];
                item.id = fmt::format("{}-{}", prefix, i);
                auto own = headers;
                own.emplace_back("X-Request-Id", item.id);
                item.answer = call(system.caller(1), "GET", fmt::format("/r/{}/x", route), own);
            }
        });
    }
    for (auto& caller : callers)
        caller.join();
    return all;
}

std::map<std::string, int> executions_by_id(const deployment& system) {
    std::map<std::string, int> counts;
    const auto ledger = system.ledger();
    for (const auto& entry : ledger["executions"])
        ++counts[entry["request_id"].asString()];
    return counts;
}

// Checks every answer against the caller's own request and against what the endpoints executed.
void check_answers(const deployment& system, const std::vector<sent_request>& requests, bool repeatable) {
    auto executed = executions_by_id(system);
    for (const auto& request : requests) {
        const auto& id = request.id;
        const auto& answer = request.answer;
        INFO("id " << id << ", status " << answer.status << ", body " << answer.body.substr(0, 200));
        const auto effect = answer.header("X-Lacewing-Effect");
        if (answer.status == 200 && answer.complete) {
            CHECK(answer.json()["request_id"].asString() == id);
            CHECK(effect == "ran");
        } else if (answer.status != 200) {
            // A refusal itself is always whole.
            CHECK(answer.complete);
            CHECK(!answer.error().empty());
        }
        if (effect == "not_run") CHECK(executed[id] == 0);
        if (effect == "ran") CHECK(executed[id] >= 1);
        if (!repeatable) CHECK(executed[id] <= 1);
    }
}

std::size_t count_errors(const std::vector<sent_request>& requests, std::string_view error) {
    return static_cast<std::size_t>(std::count_if(
        requests.begin(), requests.end(), [&](const auto& item) { return item.answer.error() == error; }));
}

} // namespace

TEST_CASE("answers: a damaged answer is passed on as a whole one, or called not run") {
    auto& system = shared_deployment();
    REQUIRE(system.recover());
    for (const std::string route : {"balance", "scans"}) {
        for (const std::string fault : {"reset_before_answer", "reset_in_answer", "truncated", "endless"}) {
            for (const int padding : {200, 300'000}) {
                INFO("route " << route << ", fault " << fault << ", padding " << padding);
                const auto prefix = fmt::format("{}-{}-{}", route, fault, padding);
                system.behave(fmt::format(R"({{"answer_fault":"{}","padding":{}}})", fault, padding));
                const auto sent = send_many(system, route, prefix, 2, 1, {{"X-Deadline-Ms", "400"}});
                check_answers(system, sent, route == "balance");
                for (const auto& item : sent)
                    CHECK(!(item.answer.status == 200 && item.answer.complete));
                // Good answers between the damaged ones keep the circuit breakers closed.
                system.behave(R"({"answer_fault":"none","padding":0})");
                const auto good = send_many(system, route, prefix + "-good", 10, 1);
                check_answers(system, good, route == "balance");
                for (const auto& item : good)
                    CHECK(item.answer.status == 200);
            }
        }
    }
    CHECK(system.recover());
}

TEST_CASE("answers: bytes after an answer reach the next caller") {
    auto& system = shared_deployment();
    REQUIRE(system.recover());
    system.behave(R"({"answer_fault":"wrong_length","answer_fraction":0.5})");
    const auto sent = send_many(system, "balance", "crossed", 300, 6);
    check_answers(system, sent, true);
    for (const auto& item : sent)
        CHECK(item.answer.body.find("foreign") == std::string::npos);
    CHECK(system.recover());
}

TEST_CASE("answers: a connection that timed out is used again and delivers the late answer") {
    auto& system = shared_deployment();
    REQUIRE(system.recover());
    system.behave(R"({"answer_fault":"late","late_ms":250,"answer_fraction":0.2})");
    const auto sent = send_many(system, "balance", "late", 200, 6, {{"X-Deadline-Ms", "120"}});
    check_answers(system, sent, true);
    CHECK(count_errors(sent, "deadline_exceeded") > 0);
    system.behave(R"({"answer_fault":"none"})");
    // The late answers of the first requests arrive while these are served.
    const auto after = send_many(system, "balance", "after", 200, 6);
    check_answers(system, after, true);
    CHECK(system.recover());
}

TEST_CASE("not run: a request that was shed is refused although another endpoint is free") {
    auto& system = shared_deployment();
    REQUIRE(system.recover());
    // Every request earns a tenth of a retry.
    CHECK(count_errors(send_many(system, "scans", "earn", 100, 4), "endpoint_refused") == 0);
    const auto shed_before = system.summary()["shed"].asUInt64();
    system.behave(R"({"draining":true})", system.endpoint("scans", "north", 1));
    const auto sent = send_many(system, "scans", "shed", 40, 2);
    check_answers(system, sent, false);
    const auto good =
        std::count_if(sent.begin(), sent.end(), [](const auto& item) { return item.answer.status == 200; });
    const auto shed = system.summary()["shed"].asUInt64() - shed_before;
    const auto retried = shed - count_errors(sent, "endpoint_refused");
    MESSAGE(fmt::format("40 requests, {} shed, {} of them retried, {} answered", shed, retried, good));
    CHECK(shed > 0);
    CHECK(retried > 0);
    // 100 + 40 requests and at most 100 saved ones before the test earn at most this.
    CHECK(retried <= 10 + 4 + 100);
    CHECK(good + static_cast<long>(count_errors(sent, "endpoint_refused")) == 40);
    CHECK(system.recover());
}

TEST_CASE("not run: all endpoints refuse and the answer or the ledger says otherwise") {
    auto& system = shared_deployment();
    REQUIRE(system.recover());
    system.behave(R"({"draining":true})");
    for (const auto* route : {"balance", "scans"}) {
        const auto sent =
            send_many(system, route, fmt::format("refused-{}", route), 20, 4, {{"X-Deadline-Ms", "300"}});
        check_answers(system, sent, false);
        for (const auto& item : sent)
            CHECK(item.answer.header("X-Lacewing-Effect") == "not_run");
    }
    CHECK(system.recover());
}

TEST_CASE("not run: a request that is not idempotent runs twice after an unknown outcome") {
    auto& system = shared_deployment();
    REQUIRE(system.recover());
    const auto doubles = system.summary()["double_executions"].asUInt64();
    system.behave(R"({"answer_fault":"reset_before_answer","answer_fraction":0.3})");
    const auto sent = send_many(system, "scans", "reset", 100, 4, {{"X-Deadline-Ms", "500"}});
    check_answers(system, sent, false);
    CHECK(count_errors(sent, "endpoint_failed") > 0);
    CHECK(system.summary()["double_executions"].asUInt64() == doubles);
    CHECK(system.recover());
}

TEST_CASE("not run: a repeated request that ran once and was then shed is called not run") {
    auto& system = shared_deployment();
    REQUIRE(system.recover());
    CHECK(count_errors(send_many(system, "balance", "credit", 100, 4), "endpoint_refused") == 0);
    // The first endpoint executes and resets, the second one sheds.
    system.behave(R"({"answer_fault":"reset_before_answer"})", system.endpoint("balance", "north", 1));
    system.behave(R"({"draining":true})", system.endpoint("balance", "north", 2));
    const auto sent = send_many(system, "balance", "half", 20, 1, {{"X-Deadline-Ms", "300"}});
    check_answers(system, sent, true);
    CHECK(system.recover());
}
