// Guards against new work for a draining endpoint (INV-9) and against memory that grows with an upload.
#include "deployment.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <thread>

using namespace lacewing;
using namespace lacewing::testing;

TEST_CASE("drain: a drained endpoint gets new requests after 2 s") {
    auto& system = shared_deployment();
    REQUIRE(system.recover());
    const auto drained = system.endpoint("balance", "north", 1);
    std::atomic<bool> stop{false};
    std::atomic<int> bad{0};
    std::atomic<int> good{0};
    std::vector<std::thread> callers;
    // A single request at a time always goes to the better of two endpoints; several at once use both.
    constexpr std::size_t callers_per_vm = 4;
    for (std::size_t i = 0; i < 2 * callers_per_vm; ++i) {
        callers.emplace_back([&, i] {
            while (!stop)
                ++(system.ask(i % 2, "/r/balance/x", system.office_key()).status == 200 ? good : bad);
        });
    }
    const auto last_request = [&] {
        const auto summary = system.summary();
        for (const auto& entry : summary["endpoints"])
            if (entry["address"].asString() == drained) return entry["last_request_ms"].asInt64();
        return std::int64_t{-1};
    };
    const auto first_seen = last_request();
    CHECK(wait_until([&] { return last_request() > first_seen; }));
    const auto started = system.ctl({"drain", "start", "--endpoint", "balance-north-1", "--deadline", "30"});
    INFO(started.out << started.err);
    CHECK(started.status == 0);
    // The command ends when the drain is known on all VMs.
    const auto known = std::chrono::steady_clock::now();
    std::int64_t newest = last_request();
    const auto changed_at = [&] { return std::chrono::steady_clock::now() - known; };
    while (changed_at() < std::chrono::milliseconds(2'000)) {
        newest = last_request();
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    const int good_before = good;
    CHECK(wait_until([&] { return good > good_before + 200; }));
    CHECK(last_request() == newest);
    // The drain ends with a declared result, and the endpoint returns only when an operator asks for it.
    CHECK(wait_until([&] {
        return system.ctl({"drain", "status", "endpoint-balance-north-1"}).out.find(" done ") !=
               std::string::npos;
    }));
    // An audit record without a time explains nothing.
    CHECK(wait_until([&] {
        const auto records = system.ctl({"history"}).out;
        return records.find("balance-north-1 done") != std::string::npos &&
               records.find(" at 0 ") == std::string::npos;
    }));
    CHECK(system.ctl({"drain", "cancel", "endpoint-balance-north-1"}).status == 3);
    CHECK(last_request() == newest);
    CHECK(system.ctl({"drain", "end", "endpoint-balance-north-1"}).status == 0);
    CHECK(wait_until([&] { return last_request() > newest; }));
    stop = true;
    for (auto& caller : callers)
        caller.join();
    CHECK(bad == 0);
}

TEST_CASE("upload: 200 MB raise the resident memory of a VM by 16 MB or more") {
    auto& system = shared_deployment();
    REQUIRE(system.recover());
    constexpr std::size_t total = 200'000'000;
    const std::string piece(1'000'000, 'p');
    const auto before = system.vm(1).status_kb("VmRSS");
    // Resets the peak value VmHWM.
    std::ofstream(fmt::format("/proc/{}/clear_refs", system.vm(1).id())) << "5";
    raw_connection upload(system.caller(1));
    REQUIRE(upload.send(
        fmt::format("POST /r/scans/large HTTP/1.1\r\nHost: lacewingplank\r\nAuthorization: Bearer {}\r\n"
                    "X-Request-Id: large\r\nContent-Length: {}\r\n\r\n",
                    system.office_key(), total)));
    std::int64_t peak = 0;
    for (std::size_t sent = 0; sent < total; sent += piece.size()) {
        REQUIRE(upload.send(piece));
        peak = std::max(peak, system.vm(1).status_kb("VmRSS"));
    }
    const auto answer = upload.receive({20'000});
    CHECK(answer.status == 200);
    CHECK(answer.json()["bytes"].asUInt64() == total);
    peak = std::max(peak, system.vm(1).status_kb("VmHWM"));
    MESSAGE(fmt::format("resident {} kB before, at most {} kB during 200 MB", before, peak));
    CHECK(peak - before < 16 * 1024);
}
