// Guards against new requests to a draining endpoint (INV-9), and against a VM that buffers an upload instead
// of streaming it, so that its memory grows with the size of the body.
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
    REQUIRE(system.reset_endpoint_behaviour());
    const auto drained = system.endpoint_address("balance", "north", 1);
    std::atomic<bool> stop{false};
    std::atomic<int> failed{0};
    std::atomic<int> succeeded{0};
    std::vector<std::thread> callers;
    // A single request at a time always goes to the preferred endpoint; concurrent requests use both.
    constexpr std::size_t callers_per_vm = 4;
    for (std::size_t i = 0; i < 2 * callers_per_vm; ++i) {
        callers.emplace_back([&, i] {
            while (!stop) {
                ++(system.send_to_vm(i % 2, "/r/balance/x", system.office_key()).status == 200 ? succeeded
                                                                                               : failed);
            }
        });
    }
    const auto last_request = [&] {
        const auto summary = system.summary();
        for (const auto& entry : summary["endpoints"])
            if (entry["address"].asString() == drained) return entry["last_request_ms"].asInt64();
        return std::int64_t{-1};
    };
    const auto last_request_before = last_request();
    CHECK(wait_until([&] { return last_request() > last_request_before; }));
    const auto started =
        system.run_lacewingctl({"drain", "start", "--endpoint", "balance-north-1", "--deadline", "30"});
    INFO(started.out << started.err);
    CHECK(started.status == 0);
    // The command returns once all VMs know of the drain.
    const auto drain_known = std::chrono::steady_clock::now();
    std::int64_t last_request_drained = last_request();
    const auto since_drain_known = [&] { return std::chrono::steady_clock::now() - drain_known; };
    while (since_drain_known() < std::chrono::milliseconds(2'000)) {
        last_request_drained = last_request();
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    const int succeeded_before = succeeded;
    CHECK(wait_until([&] { return succeeded > succeeded_before + 200; }));
    CHECK(last_request() == last_request_drained);
    // The drain reports its completion, and the endpoint gets requests again only after "drain end".
    CHECK(wait_until([&] {
        return system.run_lacewingctl({"drain", "status", "endpoint-balance-north-1"}).out.find(" done ") !=
               std::string::npos;
    }));
    // Every audit record has a time; a missing one would read "at 0".
    CHECK(wait_until([&] {
        const auto records = system.run_lacewingctl({"history"}).out;
        return records.find("balance-north-1 done") != std::string::npos &&
               records.find(" at 0 ") == std::string::npos;
    }));
    CHECK(system.run_lacewingctl({"drain", "cancel", "endpoint-balance-north-1"}).status == 3);
    CHECK(last_request() == last_request_drained);
    CHECK(system.run_lacewingctl({"drain", "end", "endpoint-balance-north-1"}).status == 0);
    CHECK(wait_until([&] { return last_request() > last_request_drained; }));
    stop = true;
    for (auto& caller : callers)
        caller.join();
    CHECK(failed == 0);
}

TEST_CASE("upload: 200 MB raise the resident memory of a VM by 16 MB or more") {
    auto& system = shared_deployment();
    REQUIRE(system.reset_endpoint_behaviour());
    constexpr std::size_t body_bytes = 200'000'000;
    const std::string chunk(1'000'000, 'p');
    const auto rss_before_kb = system.vm_process(1).status_kb("VmRSS");
    // Resets the peak resident size VmHWM to the current size.
    std::ofstream(fmt::format("/proc/{}/clear_refs", system.vm_process(1).id())) << "5";
    raw_connection upload(system.caller_address(1));
    REQUIRE(upload.send(
        fmt::format("POST /r/scans/large HTTP/1.1\r\nHost: lacewingplank\r\nAuthorization: Bearer {}\r\n"
                    "X-Request-Id: large\r\nContent-Length: {}\r\n\r\n",
                    system.office_key(), body_bytes)));
    std::int64_t peak_rss_kb = 0;
    for (std::size_t sent = 0; sent < body_bytes; sent += chunk.size()) {
        REQUIRE(upload.send(chunk));
        peak_rss_kb = std::max(peak_rss_kb, system.vm_process(1).status_kb("VmRSS"));
    }
    const auto answer = upload.receive({20'000});
    CHECK(answer.status == 200);
    CHECK(answer.json()["bytes"].asUInt64() == body_bytes);
    peak_rss_kb = std::max(peak_rss_kb, system.vm_process(1).status_kb("VmHWM"));
    MESSAGE(fmt::format("resident memory: {} kB before, at most {} kB during an upload of 200 MB",
                        rss_before_kb, peak_rss_kb));
    CHECK(peak_rss_kb - rss_before_kb < 16 * 1024);
}
