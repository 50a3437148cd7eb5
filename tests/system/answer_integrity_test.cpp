// Guards against callers that receive the answer to another request or a truncated answer that looks complete
// (INV-6), and against answers that claim "not run" for a request that ran (INV-7). Endpoints cause both with
// reset connections and truncated, surplus or late answers.
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

// Sends requests with distinct ids from several threads, each request over a new connection to the second VM.
std::vector<sent_request> send_many(const deployment& system, std::string_view route,
                                    const std::string& id_prefix, int count, int thread_count,
                                    header_list headers = {}) {
    std::vector<sent_request> requests(static_cast<std::size_t>(count));
    std::atomic<int> next{0};
    std::vector<std::thread> callers;
    callers.reserve(static_cast<std::size_t>(thread_count));
    headers.emplace_back("Authorization", "Bearer " + system.office_key());
    for (int thread = 0; thread < thread_count; ++thread) {
        callers.emplace_back([&] {
            for (int i = next++; i < count; i = next++) {
                auto& item = requests[static_cast<std::size_t>(i)];
                item.id = fmt::format("{}-{}", id_prefix, i);
                auto request_headers = headers;
                request_headers.emplace_back("X-Request-Id", item.id);
                item.answer = send_request(system.caller_address(1), "GET", fmt::format("/r/{}/x", route),
                                           request_headers);
            }
        });
    }
    for (auto& caller : callers)
        caller.join();
    return requests;
}

std::map<std::string, int> executions_by_id(const deployment& system) {
    std::map<std::string, int> counts;
    const auto ledger = system.ledger();
    for (const auto& entry : ledger["executions"])
        ++counts[entry["request_id"].asString()];
    return counts;
}

// Checks every answer against its request and against the executions that the endpoints recorded.
// allow_repeats: whether a request may execute more than once.
void check_answers(const deployment& system, const std::vector<sent_request>& requests, bool allow_repeats) {
    auto executions = executions_by_id(system);
    for (const auto& request : requests) {
        const auto& id = request.id;
        const auto& answer = request.answer;
        INFO("id " << id << ", status " << answer.status << ", body " << answer.body.substr(0, 200));
        const auto effect = answer.header("X-Lacewing-Effect");
        if (answer.status == 200 && answer.complete) {
            CHECK(answer.json()["request_id"].asString() == id);
            CHECK(effect == "ran");
        } else if (answer.status != 200) {
            // An error answer must never be truncated.
            CHECK(answer.complete);
            CHECK(!answer.error().empty());
        }
        if (effect == "not_run") CHECK(executions[id] == 0);
        if (effect == "ran") CHECK(executions[id] >= 1);
        if (!allow_repeats) CHECK(executions[id] <= 1);
    }
}

// Free slots by endpoint that the second VM may use for a route.
std::map<std::string, std::int64_t> usable_slots(const deployment& system, const std::string& route) {
    std::map<std::string, std::int64_t> slots;
    const auto dump = system.dump(1);
    const auto& endpoints = dump["serve"]["routes"][route]["endpoints"];
    for (const auto& name : endpoints.getMemberNames()) {
        const auto& state = endpoints[name];
        if (state["breaker"].asString() == "closed") slots[name] = state["free_slots"].asInt64();
    }
    return slots;
}

std::size_t count_errors(const std::vector<sent_request>& requests, std::string_view error) {
    return static_cast<std::size_t>(std::count_if(
        requests.begin(), requests.end(), [&](const auto& item) { return item.answer.error() == error; }));
}

} // namespace

// Guards against MIXED (issue 46): bytes whose status is none reach a caller as an answer.
TEST_CASE("answers: an answer without a valid status is forwarded, or followed by another one") {
    auto& system = shared_deployment();
    REQUIRE(system.reset_endpoint_behaviour());
    system.set_endpoint_behaviour(R"({"answer_fault":"invalid_status"})");
    for (int i = 0; i < 16; ++i) {
        const auto answer = system.send_to_vm(1, "/r/scans/x", system.office_key());
        CAPTURE(answer.status);
        CHECK(answer.status == 502);
        CHECK(answer.error() == "endpoint_failed");
        CHECK(answer.header("X-Lacewing-Effect") == "outcome_unknown");
    }
    CHECK(system.reset_endpoint_behaviour());
}

TEST_CASE("answers: a damaged answer is forwarded as a complete one or marked as not run") {
    auto& system = shared_deployment();
    REQUIRE(system.reset_endpoint_behaviour());
    for (const std::string route : {"balance", "scans"}) {
        for (const std::string fault :
             {"reset_before_answer", "reset_in_answer", "truncated", "truncated_head", "endless"}) {
            for (const int padding : {200, 300'000}) {
                INFO("route " << route << ", fault " << fault << ", padding " << padding);
                const auto prefix = fmt::format("{}-{}-{}", route, fault, padding);
                system.set_endpoint_behaviour(
                    fmt::format(R"({{"answer_fault":"{}","padding":{}}})", fault, padding));
                const auto sent = send_many(system, route, prefix, 2, 1, {{"X-Deadline-Ms", "400"}});
                check_answers(system, sent, route == "balance");
                for (const auto& item : sent)
                    CHECK(!(item.answer.status == 200 && item.answer.complete));
                // Successful requests between the faults keep the circuit breakers closed.
                system.set_endpoint_behaviour(R"({"answer_fault":"none","padding":0})");
                const auto succeeded = send_many(system, route, prefix + "-good", 10, 1);
                check_answers(system, succeeded, route == "balance");
                for (const auto& item : succeeded)
                    CHECK(item.answer.status == 200);
            }
        }
    }
    CHECK(system.reset_endpoint_behaviour());
}

TEST_CASE("answers: surplus bytes after an answer are delivered to the next caller") {
    auto& system = shared_deployment();
    REQUIRE(system.reset_endpoint_behaviour());
    system.set_endpoint_behaviour(R"({"answer_fault":"wrong_length","answer_fraction":0.5})");
    const auto sent = send_many(system, "balance", "crossed", 300, 6);
    check_answers(system, sent, true);
    for (const auto& item : sent)
        CHECK(item.answer.body.find("foreign") == std::string::npos);
    CHECK(system.reset_endpoint_behaviour());
}

// Guards against issue 28: an endpoint writes an earlier refusal, or answer, once more on a kept connection.
// A request that it then runs must not count as not run, and no caller may get the answer of another request.
TEST_CASE("answers: an earlier answer that an endpoint repeats counts for the next request") {
    auto& system = shared_deployment();
    REQUIRE(system.reset_endpoint_behaviour());
    // Few slots, so that refusals and answers alternate on the connections.
    system.set_endpoint_behaviour(R"({"answer_fault":"repeat_previous","slots":2,"service_ms":5})");
    for (const std::string route : {"balance", "scans"}) {
        const auto sent = send_many(system, route, "repeated-" + route, 300, 12);
        check_answers(system, sent, route == "balance");
        CHECK(std::any_of(sent.begin(), sent.end(),
                          [](const auto& item) { return item.answer.status == 200; }));
    }
    CHECK(system.reset_endpoint_behaviour());
}

TEST_CASE("answers: a connection is reused after a timeout and delivers the late answer to another request") {
    auto& system = shared_deployment();
    REQUIRE(system.reset_endpoint_behaviour());
    system.set_endpoint_behaviour(R"({"answer_fault":"late","late_ms":250,"answer_fraction":0.2})");
    const auto sent = send_many(system, "balance", "late", 200, 6, {{"X-Deadline-Ms", "120"}});
    check_answers(system, sent, true);
    CHECK(count_errors(sent, "deadline_exceeded") > 0);
    system.set_endpoint_behaviour(R"({"answer_fault":"none"})");
    // The late answers of the first requests arrive while these are served.
    const auto after = send_many(system, "balance", "after", 200, 6);
    check_answers(system, after, true);
    CHECK(system.reset_endpoint_behaviour());
}

TEST_CASE("not run: a request that was shed is refused although another endpoint is free") {
    auto& system = shared_deployment();
    REQUIRE(system.reset_endpoint_behaviour());
    // Every request adds a tenth of a retry to the retry budget.
    CHECK(count_errors(send_many(system, "scans", "earn", 100, 4), "endpoint_refused") == 0);
    // After the faults of earlier tests, the VM may use few slots of an endpoint, or none, until it is
    // answered again under load.
    std::map<std::string, std::int64_t> free_slots;
    REQUIRE(wait_until([&] {
        CHECK(count_errors(send_many(system, "scans", "warm", 40, 12), "endpoint_refused") == 0);
        free_slots = usable_slots(system, "scans");
        return free_slots["scans-north-1"] >= 2 && free_slots["scans-north-2"] >= 2;
    }));
    // The VM prefers the endpoint with more free slots.
    const std::size_t preferred = free_slots["scans-north-1"] > free_slots["scans-north-2"] ? 1 : 2;
    INFO("slots of the endpoints: " << free_slots["scans-north-1"] << ", " << free_slots["scans-north-2"]);
    const auto shed_before = system.summary()["shed"].asUInt64();
    system.set_endpoint_behaviour(R"({"draining":true})",
                                  system.endpoint_address("scans", "north", preferred));
    const auto sent = send_many(system, "scans", "shed", 40, 2);
    check_answers(system, sent, false);
    const auto succeeded =
        std::count_if(sent.begin(), sent.end(), [](const auto& item) { return item.answer.status == 200; });
    const auto shed = system.summary()["shed"].asUInt64() - shed_before;
    const auto retried = shed - count_errors(sent, "endpoint_refused");
    MESSAGE(fmt::format("40 requests, {} shed, {} of them retried, {} answered", shed, retried, succeeded));
    CHECK(shed > 0);
    CHECK(retried > 0);
    // The retry budget allows a tenth of the 100 + 40 requests, and at most 100 retries saved by earlier
    // tests.
    CHECK(retried <= 10 + 4 + 100);
    CHECK(succeeded + static_cast<long>(count_errors(sent, "endpoint_refused")) == 40);
    CHECK(system.reset_endpoint_behaviour());
}

TEST_CASE("not run: all endpoints refuse a request, and it is not answered as not run or was executed") {
    auto& system = shared_deployment();
    REQUIRE(system.reset_endpoint_behaviour());
    system.set_endpoint_behaviour(R"({"draining":true})");
    for (const auto* route : {"balance", "scans"}) {
        const auto sent =
            send_many(system, route, fmt::format("refused-{}", route), 20, 4, {{"X-Deadline-Ms", "300"}});
        check_answers(system, sent, false);
        for (const auto& item : sent)
            CHECK(item.answer.header("X-Lacewing-Effect") == "not_run");
    }
    CHECK(system.reset_endpoint_behaviour());
}

// Guards against REFUSED (issue 39): an endpoint refuses before it has read a request, and runs that request.
TEST_CASE("not run: a refusal that names no attempt counts for a request that is executed") {
    auto& system = shared_deployment();
    REQUIRE(system.reset_endpoint_behaviour());
    system.set_endpoint_behaviour(R"({"refuse_on_accept":true})");
    for (const std::string route : {"balance", "scans"}) {
        const auto sent = send_many(system, route, "unnamed-" + route, 40, 4, {{"X-Deadline-Ms", "500"}});
        check_answers(system, sent, route == "balance");
    }
    CHECK(system.reset_endpoint_behaviour());
}

TEST_CASE("not run: a non-idempotent request executes twice after an unknown outcome") {
    auto& system = shared_deployment();
    REQUIRE(system.reset_endpoint_behaviour());
    const auto double_executions_before = system.summary()["double_executions"].asUInt64();
    system.set_endpoint_behaviour(R"({"answer_fault":"reset_before_answer","answer_fraction":0.3})");
    const auto sent = send_many(system, "scans", "reset", 100, 4, {{"X-Deadline-Ms", "500"}});
    check_answers(system, sent, false);
    CHECK(count_errors(sent, "endpoint_failed") > 0);
    CHECK(system.summary()["double_executions"].asUInt64() == double_executions_before);
    CHECK(system.reset_endpoint_behaviour());
}

TEST_CASE("not run: a retried request that ran once and was then shed is answered as not run") {
    auto& system = shared_deployment();
    REQUIRE(system.reset_endpoint_behaviour());
    CHECK(count_errors(send_many(system, "balance", "credit", 100, 4), "endpoint_refused") == 0);
    // The first endpoint executes the request and resets the connection; the second one sheds the retry.
    system.set_endpoint_behaviour(R"({"answer_fault":"reset_before_answer"})",
                                  system.endpoint_address("balance", "north", 1));
    system.set_endpoint_behaviour(R"({"draining":true})", system.endpoint_address("balance", "north", 2));
    const auto sent = send_many(system, "balance", "half", 20, 1, {{"X-Deadline-Ms", "300"}});
    check_answers(system, sent, true);
    CHECK(system.reset_endpoint_behaviour());
}
