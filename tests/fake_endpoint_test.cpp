#include "fakes/endpoint/endpoint_service.h"

#include "http_test_support.h"

#include "transport/http_client.h"
#include "transport/ip_address.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <json/value.h>

#include <optional>

namespace lacewing::fakes {
namespace {

namespace asio = boost::asio;
using testing::run_until_done;
using testing::wait_until;

/// One endpoint in this process, a client of it and a client of its admin port.
struct endpoint_fixture {
    explicit endpoint_fixture(const endpoint_behaviour& behaviour = {})
        : service(loop.get_executor(), {"127.0.0.1:0"}, "127.0.0.1:0", behaviour, 7),
          client(loop.get_executor(), service.addresses().front(), {8, 100000}),
          admin(loop.get_executor(), service.admin_address()) {}

    asio::awaitable<http_response> send(std::string request_id, std::string body = "") {
        http_headers headers{{"X-Request-Id", std::move(request_id)}, {"X-Account", "ward"}};
        co_return co_await client.request("POST", "/r/payments/1?key=none", std::move(headers),
                                          std::move(body), time_ms{10000});
    }

    // Failure of a request to an endpoint with this answer fault; none when the client gets an answer.
    std::optional<http_failure> failure_with(const char* fault) {
        Json::Value change;
        change["answer_fault"] = fault;
        service.change_behaviour(change);
        std::optional<http_failure> failure;
        run_until_done(loop, [&]() -> asio::awaitable<void> {
            try {
                co_await client.request("GET", "/", {}, "", time_ms{300});
            } catch (const http_error& problem) {
                failure = problem.failure();
            }
        });
        return failure;
    }

    asio::io_context loop;
    endpoint_service service;
    http_client client;
    http_client admin;
};

endpoint_behaviour slow_single_slot_endpoint() {
    endpoint_behaviour behaviour;
    behaviour.base_service_time = time_ms{60000};
    behaviour.slots = 1;
    return behaviour;
}

} // namespace

// Guards against an answer that does not identify its request, and against a ledger that misses executions.
TEST_CASE("fake endpoint echoes the request and records it") {
    endpoint_fixture fixture;
    run_until_done(fixture.loop, [&]() -> asio::awaitable<void> {
        const auto answer = co_await fixture.send("id-1", std::string(300000, 'b'));
        CHECK(answer.result_int() == 200);
        CHECK(answer.body().find(R"("request_id":"id-1","account":"ward","bytes":300000)") !=
              std::string::npos);
        co_await fixture.send("id-1");
        const auto summary =
            co_await fixture.admin.request("GET", "/admin/summary?search=key%3Dnone", {}, "", time_ms{5000});
        CHECK(summary.body().find(R"("executed":2,"completed":2)") != std::string::npos);
        CHECK(summary.body().find(R"("double_executions":1)") != std::string::npos);
        CHECK(summary.body().find(R"("found":1)") != std::string::npos);
        const auto ledger = co_await fixture.admin.request("GET", "/admin/ledger", {}, "", time_ms{5000});
        CHECK(ledger.body().find(R"("X-Account: ward")") != std::string::npos);
    });
}

// Guards against a shed request that executes nevertheless, and against a request that keeps executing after
// its connection was closed.
TEST_CASE("fake endpoint sheds above its slots and cancels on close") {
    endpoint_fixture fixture(slow_single_slot_endpoint());
    const auto& ledger = fixture.service.ledger();
    run_until_done(fixture.loop, [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket caller(fixture.loop);
        const auto address = parse_socket_address(fixture.service.addresses().front());
        co_await caller.async_connect(address, asio::use_awaitable);
        const std::string request = "GET / HTTP/1.1\r\nX-Request-Id: a\r\nX-Deadline-Ms: 60000\r\n\r\n";
        co_await asio::async_write(caller, asio::buffer(request), asio::use_awaitable);
        co_await wait_until(fixture.loop, [&] { return ledger.count(execution_state::running) == 1; });
        const auto answer = co_await fixture.send("b");
        CHECK(answer.result_int() == 503);
        CHECK(answer["X-Not-Run"] == "1");
        caller.close();
        co_await wait_until(fixture.loop, [&] { return ledger.count(execution_state::cancelled) == 1; });
    });
    CHECK(ledger.executions().size() == 1);
}

// Guards against a request that executes beyond its deadline.
TEST_CASE("fake endpoint ends a request at its deadline") {
    endpoint_fixture fixture(slow_single_slot_endpoint());
    run_until_done(fixture.loop, [&]() -> asio::awaitable<void> {
        http_headers headers{{"X-Deadline-Ms", "30"}};
        const auto answer =
            co_await fixture.client.request("GET", "/", std::move(headers), "", time_ms{5000});
        CHECK(answer.result_int() == 504);
    });
    CHECK(fixture.service.ledger().count(execution_state::deadline_exceeded) == 1);
}

// Guards against answer faults without an effect on the caller: tests of the proxy would pass without testing
// anything.
TEST_CASE("fake endpoint damages answers") {
    endpoint_fixture fixture;
    CHECK_FALSE(fixture.failure_with("none"));
    CHECK(fixture.failure_with("reset_before_answer") == http_failure::closed);
    CHECK(fixture.failure_with("reset_in_answer") == http_failure::closed);
    CHECK(fixture.failure_with("truncated") == http_failure::closed);
    CHECK(fixture.failure_with("endless") == http_failure::malformed_answer);
    CHECK(fixture.failure_with("late") == http_failure::timed_out);
    // The client gets a complete answer. It must not reuse the connection, on which a second answer follows.
    CHECK_FALSE(fixture.failure_with("wrong_length"));
    CHECK_FALSE(fixture.failure_with("none"));
}

// Guards against a version fault that affects other routes than the chosen one.
TEST_CASE("fake endpoint fails only on the chosen route") {
    endpoint_fixture fixture;
    Json::Value change;
    change["fail_fraction"] = 1.0;
    change["route_prefix"] = "/r/payments/";
    fixture.service.change_behaviour(change);
    run_until_done(fixture.loop, [&]() -> asio::awaitable<void> {
        const auto failed = co_await fixture.send("a");
        CHECK(failed.result_int() == 500);
        const auto other = co_await fixture.client.request("GET", "/r/ledger/1", {}, "", time_ms{5000});
        CHECK(other.result_int() == 200);
        const auto wrong =
            co_await fixture.admin.request("PUT", "/admin/behaviour", {}, R"({"slot":1})", time_ms{5000});
        CHECK(wrong.result_int() == 400);
    });
}

} // namespace lacewing::fakes
