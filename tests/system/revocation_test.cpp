// Guards against configuration and key changes that do not take effect in time on every VM.
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
using clock_type = std::chrono::steady_clock;

namespace {

std::string digest_text(std::string_view key) {
    std::array<unsigned char, 32> digest{};
    EVP_Digest(key.data(), key.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    std::string text;
    for (const auto byte : digest)
        text += fmt::format("{:02x}", byte);
    return text;
}

// Writes the digests of the given keys as the whole list of an account; the new revision.
std::uint64_t write_keys(const deployment& system, const std::string& account,
                         const std::vector<std::string>& keys, std::uint64_t expected) {
    Json::Value value;
    value["account"] = account;
    value["digests"] = Json::Value(Json::arrayValue);
    for (const auto& key : keys)
        value["digests"].append(digest_text(key));
    const auto answer = system.put("keys/" + account, value, expected);
    REQUIRE(answer.status == 200);
    return answer.json()["revision"].asUInt64();
}

} // namespace

TEST_CASE("keys: a withdrawn key still works after 3 s, also on an open connection") {
    auto& system = shared_deployment();
    const auto key = system.give_key("fitter");
    const auto request = request_text("GET", "/r/balance/x", {{"Authorization", "Bearer " + key}});
    std::vector<raw_connection> open;
    for (std::size_t i = 0; i < system.vm_count(); ++i) {
        open.emplace_back(system.caller(i));
        REQUIRE(open[i].send(request));
        CHECK(open[i].receive().status == 200);
    }
    const auto withdrawn = clock_type::now();
    REQUIRE(system.ctl({"keys", "withdraw", "fitter", key, "--wait", "0"}).status != 1);
    for (std::size_t i = 0; i < system.vm_count(); ++i) {
        INFO("VM " << i + 1);
        const auto rejected =
            wait_until([&] { return system.ask(i, "/r/balance/x", key).status == 401; }, {3'000});
        CHECK(rejected);
        CHECK(clock_type::now() - withdrawn < std::chrono::milliseconds(3'000));
    }
    const auto before = system.executed();
    for (auto& connection : open) {
        REQUIRE(connection.send(request));
        const auto answer = connection.receive();
        CHECK(answer.error() == "key_rejected");
        CHECK(answer.header("X-Lacewing-Effect") == "not_run");
    }
    CHECK(system.executed() == before);
}

TEST_CASE("keys: giving and withdrawing keys at 50/s disturbs other accounts") {
    auto& system = shared_deployment();
    std::atomic<bool> stop{false};
    std::atomic<int> good{0};
    std::atomic<int> bad{0};
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < system.vm_count(); ++i) {
        callers.emplace_back([&, i] {
            const auto request =
                request_text("GET", "/r/balance/x", {{"Authorization", "Bearer " + system.office_key()}});
            raw_connection connection(system.caller(i));
            while (!stop) {
                if (!connection.send(request) || connection.receive().status != 200) {
                    ++bad;
                    return;
                }
                ++good;
            }
        });
    }
    auto revision = system.stored("keys/guest")["revision"].asUInt64();
    const auto begin = clock_type::now();
    std::string last;
    constexpr int changes = 150;
    for (int i = 0; i < changes; ++i) {
        // Every second change withdraws the key that the one before gave.
        std::vector<std::string> keys;
        if (i % 2 == 0) keys.push_back(last = fmt::format("lwk_changing_{}", i));
        revision = write_keys(system, "guest", keys, revision);
        std::this_thread::sleep_until(begin + std::chrono::milliseconds(20) * (i + 1));
    }
    const auto took = std::chrono::duration<double>(clock_type::now() - begin).count();
    write_keys(system, "guest", {"lwk_final"}, revision);
    for (std::size_t i = 0; i < system.vm_count(); ++i) {
        CHECK(wait_until([&] { return system.ask(i, "/r/balance/x", "lwk_final").status == 200; }, {3'000}));
        CHECK(system.ask(i, "/r/balance/x", last).error() == "key_rejected");
    }
    stop = true;
    for (auto& caller : callers)
        caller.join();
    MESSAGE(fmt::format("{:.0f} key changes/s; {} requests of another account succeeded, {} failed",
                        changes / took, good.load(), bad.load()));
    CHECK(bad == 0);
    CHECK(good > 100);
    CHECK(changes / took > 45);
}

TEST_CASE("configuration: a route removed from a plan is still served, or a rejected edit takes effect") {
    auto& system = shared_deployment();
    const auto key = system.give_key("guest");
    for (std::size_t i = 0; i < system.vm_count(); ++i)
        CHECK(system.ask(i, "/r/balance/x", key).status == 200);
    const auto edit = [&](std::string_view routes) {
        const auto file = system.write_file(
            "edit.yaml", fmt::format("plans:\n"
                                     "  - {{name: wide, rate: 20000/s, burst: 20000, weight: 4, "
                                     "routes: [balance, payments, scans]}}\n"
                                     "  - {{name: narrow, rate: 20000/s, burst: 20000, routes: [{}]}}\n",
                                     routes));
        return system.ctl({"apply", file}).status;
    };
    CHECK(edit("scans") == 0);
    const auto before = system.executed();
    for (std::size_t i = 0; i < system.vm_count(); ++i)
        CHECK(system.ask(i, "/r/balance/x", key).error() == "route_not_in_plan");
    CHECK(system.executed() == before);

    SUBCASE("a rejected edit leaves the last good one in force") {
        const auto good = system.stored("config/current");
        auto value = good["value"];
        value["plans"][0]["rate"] = "-5/s";
        const auto answer = system.put("config/current", value, good["revision"].asUInt64());
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
            CHECK(seen["config_revision"].asUInt64() == good["revision"].asUInt64());
            CHECK(system.ask(i, "/r/balance/x", key).error() == "route_not_in_plan");
            CHECK(system.ask(i, "/r/scans/x", key).status == 200);
        }
        REQUIRE(system.put("config/current", good["value"], rejected).status == 200);
    }
    CHECK(edit("balance") == 0);
    for (std::size_t i = 0; i < system.vm_count(); ++i)
        CHECK(wait_until([&] { return system.ask(i, "/r/balance/x", key).status == 200; }));
}
