// Guards against entries of other writers in the platform's store that take the memory of the VMs, or their
// time: processes end, again after each start, and no request is served (Fault; issue 64).
#include "deployment.h"
#include "platform_stand_in.h"

#include "platform/dialect.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace lacewing;
using namespace lacewing::testing;

namespace {

/// Memory of the smallest VM in the users' deployments.
constexpr int smallest_vm_mb = 160;
/// Length of an entry; the users' store takes objects of 1,048,576 bytes at most.
constexpr std::size_t entry_bytes = 1'000'000;

const std::vector<std::string> mirrored_kinds{"servers", "rollouts", "evacuations", "entryvms", "config"};

header_list request_headers(const std::string& key) {
    const auto& names = platform::dialect;
    return {{std::string(names.attempt_id), "id"},
            {std::string(names.deadline), "3000"},
            {std::string(names.key), key}};
}

unsigned status_of_call(platform_stand_in& platform, std::size_t vm, const std::string& key = "key") {
    return send_request(platform.caller_address(vm), "GET", "/read/x", request_headers(key)).status;
}

std::string repeated(const std::string& element, std::size_t bytes = entry_bytes - 200) {
    std::string list = "[" + element;
    while (list.size() + element.size() + 2 < bytes)
        list += "," + element;
    return list + "]";
}

/// Specs of one kind of length each, whose trees are 2 to 73 times as large as their texts.
std::vector<std::string> foreign_specs() {
    std::string members = "{";
    for (int i = 0; members.size() < entry_bytes - 200; ++i)
        members += fmt::format("{}\"{}\":1", i == 0 ? "" : ",", i);
    std::vector<std::string> specs{members + "}", fmt::format("\"{}\"", std::string(entry_bytes - 200, 'x'))};
    for (const auto* element : {"10", "1", "[]", "{}", "\"\"", "[[[[[[[[[1]]]]]]]]]"}) {
        specs.push_back(repeated(element));
        specs.push_back(fmt::format(R"({{"values":{}}})", repeated(element)));
        // In the place of members that the VMs read.
        specs.push_back(fmt::format(R"({{"service":"s","version":"r1","zone":{0}}})", repeated(element)));
        specs.push_back(fmt::format(R"({{"version":"r1","routes":{0}}})", repeated(element)));
    }
    return specs;
}

// Waits until a VM sends requests to an endpoint that is added now, and so has read all changes before.
bool follows_changes(platform_stand_in& platform, std::size_t vm) {
    static int number = 0;
    const auto id = fmt::format("probe-{}", ++number);
    platform.add_endpoint(id, "s");
    const bool used = wait_until([&] {
        status_of_call(platform, vm);
        return platform.execution_count(id) > 0;
    });
    platform.delete_object("servers", id);
    return used;
}

void check_memory(platform_stand_in& platform, std::size_t vm) {
    REQUIRE(platform.vm_process(vm).running());
    const auto peak_kb = platform.vm_process(vm).status_kb("VmHWM");
    MESSAGE("peak ", peak_kb, " kB");
    CHECK(peak_kb < std::int64_t{smallest_vm_mb} * 1024);
}

void start_sound_system(platform_stand_in& platform) {
    platform.put_object("config", "main", platform_stand_in::configuration(1, "key"));
    platform.add_endpoint("e-1", "s");
    platform.add_endpoint("e-2", "s");
    REQUIRE(platform.wait_all_ready());
}

/// Calls a VM until it is destroyed and counts the calls that get no answer.
class steady_caller {
public:
    steady_caller(platform_stand_in& platform, std::size_t vm)
        : thread_([this, &platform, vm] {
              while (!stop_) {
                  const auto status = status_of_call(platform, vm);
                  ++(status == 200 ? answered : failed);
                  std::this_thread::sleep_for(std::chrono::milliseconds(5));
              }
          }) {}
    ~steady_caller() {
        stop_ = true;
        thread_.join();
    }
    steady_caller(const steady_caller&) = delete;
    steady_caller& operator=(const steady_caller&) = delete;
    steady_caller(steady_caller&&) = delete;
    steady_caller& operator=(steady_caller&&) = delete;

    std::atomic<int> answered{0};
    std::atomic<int> failed{0};

private:
    std::atomic<bool> stop_{false};
    std::thread thread_;
};

// Configuration of about 1 MB: a tenant for each few bytes.
std::string large_configuration(int version, const std::string& key) {
    auto text = platform_stand_in::configuration(version, key);
    text.resize(text.size() - 2);
    for (int i = 0; text.size() < entry_bytes; ++i)
        text += fmt::format(R"(,{{"name":"t{0}","apiKeys":["{1}-{0}"],"ratePerS":1,"burst":1}})", i, key);
    return text + "]}";
}

} // namespace

TEST_CASE("foreign objects: large entries of another writer take the memory of the VMs") {
    const auto specs = foreign_specs();
    for (const auto& kind : mirrored_kinds) {
        CAPTURE(kind);
        platform_stand_in platform(1, time_ms{6'000}, {.memory_mb = smallest_vm_mb});
        start_sound_system(platform);
        for (std::size_t i = 0; i < specs.size(); ++i) {
            platform.put_raw_object(kind, fmt::format("foreign-{}", i), specs[i]);
            if (i % 4 == 3) REQUIRE(follows_changes(platform, 0));
        }
        REQUIRE(follows_changes(platform, 0));
        check_memory(platform, 0);
        // The next process reads them in a list.
        platform.vm_process(0).kill();
        platform.start_vm(0);
        REQUIRE(platform.wait_all_ready());
        REQUIRE(follows_changes(platform, 0));
        check_memory(platform, 0);
        CHECK(status_of_call(platform, 0) == 200);
    }
}

TEST_CASE("foreign objects: requests go without an answer while large entries of another writer come") {
    const auto spec = fmt::format(R"({{"values":{}}})", repeated("[[[[[[[[[1]]]]]]]]]"));
    platform_stand_in platform(2, time_ms{6'000}, {.memory_mb = smallest_vm_mb});
    start_sound_system(platform);
    {
        steady_caller first(platform, 0);
        steady_caller second(platform, 1);
        for (int i = 0; i < 10; ++i) {
            platform.put_raw_object("servers", fmt::format("foreign-{}", i), spec);
            REQUIRE(follows_changes(platform, static_cast<std::size_t>(i % 2)));
        }
        CHECK(first.answered > 0);
        CHECK(second.answered > 0);
        CHECK(first.failed == 0);
        CHECK(second.failed == 0);
    }
    check_memory(platform, 0);
    check_memory(platform, 1);
}

// What the VMs need of the entry is sound, so it names an endpoint.
TEST_CASE("foreign objects: an endpoint with a large unknown member is not used, or costs memory") {
    platform_stand_in platform(1, time_ms{6'000}, {.memory_mb = smallest_vm_mb});
    start_sound_system(platform);
    const auto address = platform.endpoint_address("e-1");
    for (int i = 0; i < 10; ++i) {
        const auto spec = fmt::format(
            R"({{"extra":{},"service":"{}","address":"{}","zone":"north","version":"v1","slots":8,"state":"ready"}})",
            repeated("[]", 900'000), i == 0 ? "s" : "other", address);
        platform.put_raw_object("servers", i == 0 ? "e-1" : fmt::format("copy-{}", i), spec);
    }
    platform.delete_object("servers", "e-2");
    REQUIRE(follows_changes(platform, 0));
    const auto before = platform.execution_count("e-1");
    CHECK(wait_until([&] {
        CHECK(status_of_call(platform, 0) == 200);
        return platform.execution_count("e-1") > before + 20;
    }));
    check_memory(platform, 0);
}

TEST_CASE("foreign objects: a VM without the store learns nothing from the others beside large entries") {
    const auto spec = fmt::format(R"({{"values":{}}})", repeated("10"));
    platform_stand_in platform(2);
    start_sound_system(platform);
    for (const auto& kind : mirrored_kinds) {
        for (int i = 0; i < 9; ++i)
            platform.put_raw_object(kind, fmt::format("foreign-{}", i), spec);
    }
    for (std::size_t vm = 0; vm < 2; ++vm)
        REQUIRE(follows_changes(platform, vm));
    platform.store_down = true;
    platform.vm_process(1).kill();
    platform.start_vm(1);
    REQUIRE(platform.wait_all_ready());
    CHECK(status_of_call(platform, 1) == 200);
    check_memory(platform, 1);
}

TEST_CASE("foreign objects: a change beside large entries costs a list of all objects") {
    const auto spec = fmt::format(R"({{"values":{}}})", repeated("10"));
    platform_stand_in platform(1);
    start_sound_system(platform);
    // The watches are answered with all entries at once.
    platform.vm_process(0).signal(SIGSTOP);
    for (const auto& kind : mirrored_kinds) {
        for (int i = 0; i < 12; ++i)
            platform.put_raw_object(kind, fmt::format("foreign-{}", i), spec);
    }
    const int pages_before = platform.listed_pages;
    platform.vm_process(0).signal(SIGCONT);
    REQUIRE(follows_changes(platform, 0));
    CHECK(platform.listed_pages == pages_before);
}

TEST_CASE("foreign objects: a configuration as large as the store permits does not come into force") {
    platform_stand_in platform(1, time_ms{6'000}, {.memory_mb = smallest_vm_mb});
    start_sound_system(platform);
    for (int version = 2; version <= 5; ++version) {
        const auto key = fmt::format("key-{}", version);
        platform.put_object("config", "main", large_configuration(version, key));
        REQUIRE(wait_until([&] { return status_of_call(platform, 0, key) == 200; }));
    }
    check_memory(platform, 0);
}

TEST_CASE("foreign objects: many small entries with long names keep a VM from starting") {
    platform_stand_in platform(1, time_ms{6'000}, {.memory_mb = smallest_vm_mb});
    start_sound_system(platform);
    for (int i = 0; i < 40'000; ++i)
        platform.put_object("servers", fmt::format("a{}-{}", std::string(1'000, 'n'), i), "{}");
    platform.vm_process(0).kill();
    platform.start_vm(0);
    REQUIRE(wait_until([&] { return status_of_call(platform, 0) == 200; }, time_ms{60'000}));
    check_memory(platform, 0);
}

// All VMs start, so that none can tell the others what it knows.
TEST_CASE("foreign objects: a list of many pages keeps VMs that start from what they have read of it") {
    constexpr int entries = 100;
    platform_stand_in platform(2);
    start_sound_system(platform);
    platform.page_objects = 1;
    for (int i = 0; i < entries; ++i)
        platform.put_object("servers", fmt::format("foreign-{}", i), "{}");
    for (std::size_t vm = 0; vm < 2; ++vm)
        platform.vm_process(vm).kill();
    platform.page_ms = 300;
    platform.listed_pages = 0;
    for (std::size_t vm = 0; vm < 2; ++vm)
        platform.start_vm(vm);
    REQUIRE(wait_until([&] { return status_of_call(platform, 0) == 200; }, time_ms{60'000}));
    REQUIRE(wait_until([&] { return status_of_call(platform, 1) == 200; }, time_ms{60'000}));
    CHECK(platform.listed_pages < entries);
}
