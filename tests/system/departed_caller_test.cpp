// Guards against requests that reach an endpoint after their caller has left: they cost slots that other
// callers wait for, and come on top of the requests that are admitted then.
#include "deployment.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <thread>
#include <vector>

using namespace lacewing;
using namespace lacewing::testing;

TEST_CASE("callers: a request that waits for a slot reaches an endpoint after its caller has left") {
    // Its own deployment, because the load on one VM changes how the VMs divide the slots.
    deployment system(deployment_options{});
    system.set_endpoint_behaviour(R"({"service_ms":500})");
    const auto send = [&](const std::string& id) {
        raw_connection connection(system.caller_address(0));
        connection.send(request_text("GET", "/r/balance/x",
                                     {{"Authorization", fmt::format("Bearer {}", system.office_key())},
                                      {"X-Request-Id", id},
                                      {"X-Deadline-Ms", "20000"}}));
        return connection;
    };
    const auto before = system.execution_count();
    const auto executions = [&] { return system.execution_count() - before; };
    // More requests than the endpoints of the route have slots.
    constexpr std::size_t staying_count = 80;
    constexpr int leaving_count = 10;
    std::vector<raw_connection> staying;
    staying.reserve(staying_count);
    for (std::size_t i = 0; i < staying_count; ++i)
        staying.push_back(send(fmt::format("stays-{}", i)));
    REQUIRE(wait_until([&] { return executions() > 0; }));
    for (const bool reset : {true, false}) {
        CAPTURE(reset);
        std::vector<raw_connection> leaving;
        leaving.reserve(leaving_count);
        for (int i = 0; i < leaving_count; ++i)
            leaving.push_back(send(fmt::format("leaves-{}-{}", reset, i)));
        // Once the VM has answered a request that was sent later, it has read those before.
        REQUIRE(send_request(system.caller_address(0), "GET", "/v1/entry").status == 200);
        REQUIRE(executions() < staying_count);
        for (auto& connection : leaving) {
            if (reset) connection.reset();
        }
    }
    for (auto& connection : staying)
        CHECK(connection.receive({20'000}).status == 200);
    // Requests are served in the order of their arrival, so those of the callers that left would have been.
    CHECK(system.send_to_vm(0, "/r/balance/x", system.office_key()).status == 200);
    for (const bool reset : {true, false}) {
        for (int i = 0; i < leaving_count; ++i)
            CHECK(system.executions_of(fmt::format("leaves-{}-{}", reset, i)) == 0);
    }
}
