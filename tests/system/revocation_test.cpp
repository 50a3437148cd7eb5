// Guards against configuration and key changes that do not take effect in time on every VM, and against
// rejected changes that do.
#include "deployment.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <openssl/evp.h>

#include <array>
#include <atomic>
#include <chrono>
#include <thread>

using namespace lacewing;
using namespace lacewing::testing;
using steady_clock = std::chrono::steady_clock;

namespace {

std::string digest_text(std::string_view key) {
    std::array<unsigned char, 32> digest{};
    EVP_Digest(key.data(), key.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    std::string text;
    for (const auto byte : digest)
        text += fmt::format("{:02x}", byte);
    return text;
}

// Replaces the key list of an account by the digests of the given keys; returns the new revision.
std::uint64_t write_keys(const deployment& system, const std::string& account,
                         const std::vector<std::string>& keys, std::uint64_t expected_revision) {
    Json::Value value;
    value["account"] = account;
    value["digests"] = Json::Value(Json::arrayValue);
    for (const auto& key : keys)
        value["digests"].append(digest_text(key));
    const auto answer = system.write_object("keys/" + account, value, expected_revision);
    REQUIRE(answer.status == 200);
    return answer.json()["revision"].asUInt64();
}

} // namespace

TEST_CASE("keys: a withdrawn key still works after 3 s, also on an open connection") {
    auto& system = shared_deployment();
    const auto key = system.give_key("fitter");
    const auto request = request_text("GET", "/r/balance/x", {{"Authorization", "Bearer " + key}});
    std::vector<raw_connection> open_connections;
    for (std::size_t i = 0; i < system.vm_count(); ++i) {
        open_connections.emplace_back(system.caller_address(i));
        REQUIRE(open_connections[i].send(request));
        CHECK(open_connections[i].receive().status == 200);
    }
    const auto withdrawn_at = steady_clock::now();
    REQUIRE(system.run_lacewingctl({"keys", "withdraw", "fitter", key, "--wait", "0"}).status != 1);
    for (std::size_t i = 0; i < system.vm_count(); ++i) {
        INFO("VM " << i + 1);
        const auto rejected =
            wait_until([&] { return system.send_to_vm(i, "/r/balance/x", key).status == 401; }, {3'000});
        CHECK(rejected);
        CHECK(steady_clock::now() - withdrawn_at < std::chrono::milliseconds(3'000));
    }
    const auto before = system.execution_count();
    for (auto& connection : open_connections) {
        REQUIRE(connection.send(request));
        const auto answer = connection.receive();
        CHECK(answer.error() == "key_rejected");
        CHECK(answer.header("X-Lacewing-Effect") == "not_run");
    }
    CHECK(system.execution_count() == before);
}

TEST_CASE("keys: giving and withdrawing keys at 50/s disturbs other accounts") {
    auto& system = shared_deployment();
    std::atomic<bool> stop{false};
    std::atomic<int> succeeded{0};
    std::atomic<int> failed{0};
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < system.vm_count(); ++i) {
        callers.emplace_back([&, i] {
            const auto request =
                request_text("GET", "/r/balance/x", {{"Authorization", "Bearer " + system.office_key()}});
            raw_connection connection(system.caller_address(i));
            while (!stop) {
                if (!connection.send(request) || connection.receive().status != 200) {
                    ++failed;
                    return;
                }
                ++succeeded;
            }
        });
    }
    auto revision = system.read_object("keys/guest")["revision"].asUInt64();
    const auto begin = steady_clock::now();
    std::string last_key;
    constexpr int changes = 150;
    for (int i = 0; i < changes; ++i) {
        // Every second change withdraws the key that the previous change added.
        std::vector<std::string> keys;
        if (i % 2 == 0) keys.push_back(last_key = fmt::format("lwk_changing_{}", i));
        revision = write_keys(system, "guest", keys, revision);
        std::this_thread::sleep_until(begin + std::chrono::milliseconds(20) * (i + 1));
    }
    const auto elapsed_s = std::chrono::duration<double>(steady_clock::now() - begin).count();
    write_keys(system, "guest", {"lwk_final"}, revision);
    for (std::size_t i = 0; i < system.vm_count(); ++i) {
        CHECK(wait_until([&] { return system.send_to_vm(i, "/r/balance/x", "lwk_final").status == 200; },
                         {3'000}));
        CHECK(system.send_to_vm(i, "/r/balance/x", last_key).error() == "key_rejected");
    }
    stop = true;
    for (auto& caller : callers)
        caller.join();
    MESSAGE(fmt::format("{:.0f} key changes/s; {} requests of another account succeeded, {} failed",
                        changes / elapsed_s, succeeded.load(), failed.load()));
    CHECK(failed == 0);
    CHECK(succeeded > 100);
    CHECK(changes / elapsed_s > 45);
}

TEST_CASE("configuration: a route removed from a plan is still served, or a rejected edit takes effect") {
    auto& system = shared_deployment();
    const auto key = system.give_key("guest");
    for (std::size_t i = 0; i < system.vm_count(); ++i)
        CHECK(system.send_to_vm(i, "/r/balance/x", key).status == 200);
    const auto apply_narrow_routes = [&](std::string_view routes) {
        const auto file = system.write_file(
            "edit.yaml", fmt::format("plans:\n"
                                     "  - {{name: wide, rate: 20000/s, burst: 20000, weight: 4, "
                                     "routes: [balance, payments, scans]}}\n"
                                     "  - {{name: narrow, rate: 20000/s, burst: 20000, routes: [{}]}}\n",
                                     routes));
        return system.run_lacewingctl({"apply", file}).status;
    };
    CHECK(apply_narrow_routes("scans") == 0);
    const auto before = system.execution_count();
    for (std::size_t i = 0; i < system.vm_count(); ++i)
        CHECK(system.send_to_vm(i, "/r/balance/x", key).error() == "route_not_in_plan");
    CHECK(system.execution_count() == before);

    SUBCASE("a rejected edit leaves the last accepted one in force") {
        const auto current = system.read_object("config/current");
        auto value = current["value"];
        value["plans"][0]["rate"] = "-5/s";
        const auto answer = system.write_object("config/current", value, current["revision"].asUInt64());
        REQUIRE(answer.status == 200);
        const auto rejected = answer.json()["revision"].asUInt64();
        for (std::size_t i = 0; i < system.vm_count(); ++i) {
            INFO("VM " << i + 1);
            Json::Value seen;
            CHECK(wait_until([&] {
                seen = system.dump(i)["control"];
                return seen["rejected"]["config/current"]["revision"].asUInt64() == rejected;
            }));
            CHECK(!seen["rejected"]["config/current"]["reason"].asString().empty());
            CHECK(seen["config_revision"].asUInt64() == current["revision"].asUInt64());
            CHECK(system.send_to_vm(i, "/r/balance/x", key).error() == "route_not_in_plan");
            CHECK(system.send_to_vm(i, "/r/scans/x", key).status == 200);
        }
        REQUIRE(system.write_object("config/current", current["value"], rejected).status == 200);
    }
    CHECK(apply_narrow_routes("balance") == 0);
    for (std::size_t i = 0; i < system.vm_count(); ++i)
        CHECK(wait_until([&] { return system.send_to_vm(i, "/r/balance/x", key).status == 200; }));
}
