// Guards against a planned stop that aborts requests in flight (INV-10). The VM leaves the lookup answers
// first, refuses new requests later, and finishes the requests that it has accepted before it exits.
#include "deployment.h"

#include "transport/monotonic_clock.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <csignal>
#include <thread>

using namespace lacewing;
using namespace lacewing::testing;

TEST_CASE("graceful stop: a half-sent upload or a slow answer is aborted") {
    deployment system;
    const auto key = "Bearer " + system.office_key();
    constexpr std::size_t body_bytes = 400'000;

    raw_connection upload(system.caller_address(1));
    const std::string half(body_bytes / 2, 'u');
    auto head = fmt::format("POST /r/scans/upload HTTP/1.1\r\nHost: lacewingplank\r\nAuthorization: "
                            "{}\r\nContent-Length: {}\r\n\r\n",
                            key, body_bytes);
    REQUIRE(upload.send(head + half));
    // This answer is still pending when the VM already refuses new requests.
    system.set_endpoint_behaviour(R"({"service_ms":4000})", system.endpoint_address("balance", "north", 1));
    system.set_endpoint_behaviour(R"({"service_ms":4000})", system.endpoint_address("balance", "north", 2));
    raw_connection slow(system.caller_address(1));
    REQUIRE(slow.send(
        request_text("GET", "/r/balance/slow",
                     {{"Authorization", key}, {"X-Deadline-Ms", "20000"}, {"X-Request-Id", "slow"}})));
    REQUIRE(wait_until([&] { return system.executions_of("slow") == 1; }));
    raw_connection idle(system.caller_address(1));
    const auto quick = request_text("GET", "/r/notices/x");
    REQUIRE(idle.send(quick));
    REQUIRE(idle.receive().status == 200);

    system.vm_process(1).signal(SIGTERM);
    const auto listed_by = [&](std::size_t lookup_vm) {
        return !system.bound_request_id(1, lookup_vm, "x").empty();
    };
    // The lookup stops listing the VM while it still serves new requests.
    const bool removed_while_serving = wait_until(
        [&] {
            return !listed_by(0) && !listed_by(2) &&
                   send_request(system.caller_address(1), "GET", "/r/notices/x").status == 200;
        },
        {2'000});
    CHECK(removed_while_serving);
    http_answer refusal;
    CHECK(wait_until(
        [&] {
            refusal = send_request(system.caller_address(1), "GET", "/r/notices/x");
            return refusal.status != 200;
        },
        {4'000}));
    CHECK(refusal.error() == "vm_leaving");
    CHECK(refusal.header("X-Lacewing-Effect") == "not_run");

    REQUIRE(upload.send(half));
    const auto upload_answer = upload.receive();
    CHECK(upload_answer.status == 200);
    CHECK(upload_answer.json()["bytes"].asUInt64() == body_bytes);
    const auto slow_answer = slow.receive();
    CHECK(slow_answer.status == 200);
    CHECK(slow_answer.complete);
    CHECK(system.vm_process(1).wait({10'000}) == 0);
    CHECK(system.summary()["aborted_uploads"].asUInt64() == 0);
    CHECK(system.send_to_vm(0, "/r/balance/x", system.office_key()).status != 0);
    CHECK(system.send_to_vm(2, "/r/balance/x", system.office_key()).status == 200);
}

// Guards against an untrue "not run": the caller would send a payment again that is still running.
TEST_CASE("graceful stop: the repeat of a running at-most-once request is refused as not run") {
    deployment system;
    system.set_endpoint_behaviour(R"({"service_ms":5000})", system.endpoint_address("payments", "north", 1));
    system.set_endpoint_behaviour(R"({"service_ms":5000})", system.endpoint_address("payments", "north", 2));
    const auto id = system.bound_request_id(1, 0, "repeated");
    const auto payment = request_text("POST", "/r/payments/dues",
                                      {{"Authorization", "Bearer " + system.office_key()},
                                       {"X-Deadline-Ms", "10000"},
                                       {"X-Request-Id", id}},
                                      "dues");
    raw_connection first(system.caller_address(1));
    REQUIRE(first.send(payment));
    REQUIRE(wait_until([&] { return system.executions_of(id) == 1; }));
    system.vm_process(1).signal(SIGTERM);
    const bool refusing = wait_until([&] {
        return send_request(system.caller_address(1), "GET", "/r/notices/x").error() == "vm_leaving";
    });
    REQUIRE(refusing);
    raw_connection repeat(system.caller_address(1));
    REQUIRE(repeat.send(payment));
    const auto answer = repeat.receive();
    CHECK(answer.status != 0);
    CHECK(answer.header("X-Lacewing-Effect") != "not_run");
    CHECK(first.receive().status == 200);
    CHECK(system.executions_of(id) == 1);
}

// Guards against the fault of issue 35 on the own interface: a request is taken that the kill of the process
// cuts.
TEST_CASE("graceful stop: the process outlasts its grace, or accepts what it cannot answer in it") {
    deployment_options options;
    options.stop_grace = time_ms{6000};
    deployment system(std::move(options));
    const auto send = [&system](const char* id, const char* deadline_ms) {
        raw_connection connection(system.caller_address(1));
        REQUIRE(connection.send(request_text("GET", "/r/balance/x",
                                             {{"Authorization", "Bearer " + system.office_key()},
                                              {"X-Deadline-Ms", deadline_ms},
                                              {"X-Request-Id", id}})));
        return connection;
    };
    system.set_endpoint_behaviour(R"({"service_ms":12000})", system.endpoint_address("balance", "north", 1));
    system.set_endpoint_behaviour(R"({"service_ms":12000})", system.endpoint_address("balance", "north", 2));
    const auto before = send("before", "20000");
    REQUIRE(wait_until([&] { return system.executions_of("before") == 1; }));
    system.set_endpoint_behaviour(R"({"service_ms":1500})", system.endpoint_address("balance", "north", 1));
    system.set_endpoint_behaviour(R"({"service_ms":1500})", system.endpoint_address("balance", "north", 2));
    const auto signalled = monotonic_now();
    system.vm_process(1).signal(SIGTERM);
    REQUIRE(wait_until([&] { return system.bound_request_id(1, 0, "x").empty(); }, {1'500}));
    auto unbounded = send("unbounded", "20000");
    auto bounded = send("bounded", "3000");
    const auto refusal = unbounded.receive();
    CHECK(refusal.error() == "vm_leaving");
    CHECK(refusal.header("X-Lacewing-Effect") == "not_run");
    CHECK(system.executions_of("unbounded") == 0);
    CHECK(bounded.receive().status == 200);
    CHECK(system.vm_process(1).wait({10'000}) == 0);
    CHECK(monotonic_now() < signalled + time_ms{6000});
}
