// The whole path on a stand-in of the users' platform, with VMs as processes of their own.
#include "platform_stand_in.h"

#include "platform/dialect.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <csignal>

using namespace lacewing;
using namespace lacewing::testing;

namespace {

header_list headers(const std::string& id, const std::string& key = "secret") {
    const auto& names = platform::dialect;
    return {{std::string(names.attempt_id), id},
            {std::string(names.deadline), "3000"},
            {std::string(names.key), key}};
}

} // namespace

TEST_CASE("platform: a request is not served from end to end, or an endpoint sees the key") {
    platform_stand_in platform(2);
    platform.put("config", "main", platform_stand_in::configuration(1, "secret"));
    platform.add_endpoint("e-1", "s");
    REQUIRE(platform.all_ready());
    for (std::size_t vm = 0; vm < 2; ++vm) {
        const auto answer = call(platform.caller(vm), "GET", "/read/x?q=1", headers("id-1"));
        CHECK(answer.status == 200);
        CHECK(answer.header(platform::dialect.attempt_id) == "id-1");
        CHECK(answer.json()["account"] == "ward");
        CHECK(answer.json()["key"] == "");
        CHECK(answer.json()["path"] == "/read/x?q=1");
        const std::string scan(300'000, 's');
        CHECK(call(platform.caller(vm), "POST", "/pay/x", headers("id-2"), scan).json()["bytes"] == 300'000);
        CHECK(call(platform.caller(vm), "GET", "/read/x", headers("id-3", "other")).status == 401);
        CHECK(call(platform.caller(vm), "GET", "/none/x", headers("id-4")).status == 404);
    }
    const auto named =
        call(platform.lookup(0), "GET",
             std::string(platform::dialect.lookup_path) + "?name=a.example&region=east&zone=north");
    CHECK(named.json()["addresses"].size() == 2);
}

TEST_CASE("platform: a VM without a configuration answers 401 or 404") {
    platform_stand_in platform(1);
    REQUIRE(wait_until([&] {
        try {
            return call(platform.caller(0), "GET", "/read/x", headers("id")).status == 503;
        } catch (const std::runtime_error&) {
            return false;
        }
    }));
    CHECK(call(platform.readiness(0), "GET", platform::dialect.ready_path).status == 503);
}

TEST_CASE("platform: a smuggled request is read from the body of another") {
    platform_stand_in platform(1);
    platform.put("config", "main", platform_stand_in::configuration(1, "secret"));
    platform.add_endpoint("e-1", "s");
    REQUIRE(platform.all_ready());
    for (const auto* coding : {"identity", "xchunked", "chunked, identity", "gzip, chunked"}) {
        CAPTURE(coding);
        raw_connection connection(platform.caller(0));
        connection.send(fmt::format(
            "GET /read/x HTTP/1.1\r\nHost: lacewingplank\r\n{}: secret\r\nTransfer-Encoding: {}\r\n\r\n"
            "GET /read/smuggled HTTP/1.1\r\nHost: lacewingplank\r\n{}: secret\r\n\r\n",
            platform::dialect.key, coding, platform::dialect.key));
        CHECK(connection.receive().status == 400);
        CHECK(connection.receive({1'000}).status == 0);
    }
    raw_connection two(platform.caller(0));
    two.send("GET /read/x HTTP/1.1\r\nHost: lacewingplank\r\nHost: b.example\r\n\r\n");
    CHECK(two.receive().status == 400);
    CHECK(platform.executions("e-1") == 0);
}

TEST_CASE("platform: a new configuration is not in force in time, or a key that was taken away still works") {
    platform_stand_in platform(2);
    platform.put("config", "main", platform_stand_in::configuration(1, "old"));
    platform.add_endpoint("e-1", "s");
    REQUIRE(platform.all_ready());
    CHECK(call(platform.caller(0), "GET", "/read/x", headers("id", "old")).status == 200);
    platform.put("config", "main", platform_stand_in::configuration(2, "new"));
    const auto in_force = [&] {
        for (std::size_t vm = 0; vm < 2; ++vm) {
            if (call(platform.caller(vm), "GET", "/read/x", headers("id", "old")).status != 401) return false;
            if (call(platform.caller(vm), "GET", "/read/x", headers("id", "new")).status != 200) return false;
        }
        return true;
    };
    CHECK(wait_until(in_force, {2'000}));
}

TEST_CASE("platform: a leaving endpoint gets requests, or an unreadable registration is used") {
    platform_stand_in platform(2);
    platform.put("config", "main", platform_stand_in::configuration(1, "secret"));
    platform.add_endpoint("e-1", "s");
    platform.add_endpoint("e-2", "s");
    REQUIRE(platform.all_ready());
    platform.put("servers", "forged", R"({"service":"s","address":7,"state":"ready"})");
    platform.erase("servers", "e-1");
    int before = 0;
    CHECK(wait_until(
        [&] {
            before = platform.executions("e-1");
            for (int i = 0; i < 10; ++i)
                call(platform.caller(i % 2), "GET", fmt::format("/read/{}", i), headers("i"));
            return platform.executions("e-1") == before;
        },
        {2'000}));
    for (int i = 0; i < 20; ++i) {
        CHECK(call(platform.caller(i % 2), "GET", fmt::format("/read/{}", i), headers("i")).status == 200);
    }
    CHECK(platform.executions("e-1") == before);
}

TEST_CASE("platform: a VM that starts while the store is away learns nothing from the others") {
    platform_stand_in platform(2);
    platform.put("config", "main", platform_stand_in::configuration(1, "secret"));
    platform.add_endpoint("e-1", "s");
    REQUIRE(platform.all_ready());
    platform.store_down = true;
    platform.vm(1).kill();
    platform.start_vm(1);
    CHECK(platform.all_ready());
    CHECK(call(platform.caller(1), "GET", "/read/x", headers("id")).status == 200);
}

TEST_CASE("platform: a graceful stop cuts a request, or the VM stays in lookups") {
    platform_stand_in platform(2);
    platform.put("config", "main", platform_stand_in::configuration(1, "secret"));
    platform.add_endpoint("e-1", "s");
    REQUIRE(platform.all_ready());
    platform.service_ms = 2500;
    raw_connection slow(platform.caller(0));
    REQUIRE(slow.send(request_text("GET", "/read/slow", headers("slow"))));
    REQUIRE(wait_until([&] { return platform.executions("e-1") == 1; }));
    platform.vm(0).signal(SIGTERM);
    CHECK(wait_until(
        [&] {
            const auto target =
                std::string(platform::dialect.lookup_path) + "?name=a.example&region=east&zone=north";
            return call(platform.lookup(1), "GET", target).json()["addresses"].size() == 1;
        },
        {2'000}));
    CHECK(call(platform.readiness(0), "GET", platform::dialect.ready_path).status == 503);
    const auto answer = slow.receive();
    CHECK(answer.status == 200);
    CHECK(answer.complete);
    CHECK(platform.vm(0).wait({7'000}) == 0);
}

TEST_CASE("platform: a request that may not be repeated runs twice when its answer is a failure") {
    platform_stand_in platform(1);
    platform.put("config", "main", platform_stand_in::configuration(1, "secret"));
    platform.failing_version = "v1";
    platform.add_endpoint("e-1", "s");
    platform.add_endpoint("e-2", "s");
    REQUIRE(platform.all_ready());
    for (int i = 0; i < 10; ++i)
        CHECK(call(platform.caller(0), "POST", "/pay/x", headers("p"), "b").status == 500);
    CHECK(platform.executions("e-1") + platform.executions("e-2") == 10);
}

TEST_CASE("platform: a good version is not completed, or a bad one is not taken back") {
    for (const bool good : {true, false}) {
        CAPTURE(good);
        platform_stand_in platform(2);
        if (!good) platform.failing_version = "v2";
        platform.put("config", "main", platform_stand_in::configuration(1, "secret"));
        platform.add_endpoint("old", "s", "v1");
        REQUIRE(platform.all_ready());
        platform.add_endpoint("new", "s", "v2");
        platform.put("rollouts", "s", R"({"service":"s","targetVersion":"v2","duration":"8s"})");
        const auto* expected = good ? "completed" : "reverted";
        int asked = 0;
        const bool declared = wait_until(
            [&] {
                for (std::size_t vm = 0; vm < 2; ++vm) {
                    call(platform.caller(vm), "POST", fmt::format("/pay/{}", ++asked), headers("m"), "b");
                }
                return platform.move_state("s") == expected;
            },
            {8'000});
        CHECK(declared);
        if (!good) CHECK(platform.executions("new") <= asked / 10 + 50);
    }
}
