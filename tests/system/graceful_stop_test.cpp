// Guards against a graceful stop that cuts requests (INV-10).
#include "deployment.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <csignal>
#include <thread>

using namespace lacewing;
using namespace lacewing::testing;

TEST_CASE("graceful stop: a half-sent upload or a slow answer is cut") {
    deployment system;
    const auto key = "Bearer " + system.office_key();
    constexpr std::size_t body_bytes = 400'000;

    raw_connection upload(system.caller(1));
    const std::string half(body_bytes / 2, 'u');
    auto head = fmt::format("POST /r/scans/upload HTTP/1.1\r\nHost: lacewingplank\r\nAuthorization: "
                            "{}\r\nContent-Length: {}\r\n\r\n",
                            key, body_bytes);
    REQUIRE(upload.send(head + half));
    // An answer that is still awaited when new requests are already refused.
    system.behave(R"({"service_ms":4000})", system.endpoint("balance", "north", 1));
    system.behave(R"({"service_ms":4000})", system.endpoint("balance", "north", 2));
    raw_connection slow(system.caller(1));
    REQUIRE(slow.send(
        request_text("GET", "/r/balance/slow",
                     {{"Authorization", key}, {"X-Deadline-Ms", "20000"}, {"X-Request-Id", "slow"}})));
    REQUIRE(wait_until([&] { return system.executions_of("slow") == 1; }));
    raw_connection idle(system.caller(1));
    const auto quick = request_text("GET", "/r/notices/x");
    REQUIRE(idle.send(quick));
    REQUIRE(idle.receive().status == 200);

    system.vm(1).signal(SIGTERM);
    const auto named = [&](std::size_t asked) { return !system.bound_id(1, asked, "x").empty(); };
    // Callers learn of other VMs while new requests are still served.
    const bool pointed_away = wait_until(
        [&] { return !named(0) && !named(2) && call(system.caller(1), "GET", "/r/notices/x").status == 200; },
        {2'000});
    CHECK(pointed_away);
    http_answer refusal;
    CHECK(wait_until(
        [&] {
            refusal = call(system.caller(1), "GET", "/r/notices/x");
            return refusal.status != 200;
        },
        {4'000}));
    CHECK(refusal.error() == "vm_leaving");
    CHECK(refusal.header("X-Lacewing-Effect") == "not_run");

    REQUIRE(upload.send(half));
    const auto stored = upload.receive();
    CHECK(stored.status == 200);
    CHECK(stored.json()["bytes"].asUInt64() == body_bytes);
    const auto answer = slow.receive();
    CHECK(answer.status == 200);
    CHECK(answer.complete);
    CHECK(system.vm(1).wait({10'000}) == 0);
    CHECK(system.summary()["aborted_uploads"].asUInt64() == 0);
    CHECK(system.ask(0, "/r/balance/x", system.office_key()).status != 0);
    CHECK(system.ask(2, "/r/balance/x", system.office_key()).status == 200);
}
