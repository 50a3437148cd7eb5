// Guards against callers that keep no limits (issue 46): many bodies at once, most of them stopped just short
// of their end and left open, take the memory or the descriptors of a VM and end its process.
//
// The crowds are small because the settings of the VMs name little memory and few descriptors. Nothing here
// depends on the speed of the machine: a process lives, stays under its bounds and answers one request.
#include "deployment.h"
#include "hostile_crowd.h"
#include "platform_stand_in.h"

#include "platform/dialect.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <filesystem>
#include <iterator>
#include <string>

using namespace lacewing;
using namespace lacewing::testing;

namespace {

constexpr int vm_memory_mb = 64;
constexpr std::int64_t vm_memory_kb = std::int64_t{vm_memory_mb} * 1024;
constexpr int vm_descriptors = 400;
constexpr std::size_t crowd_size = 200;
/// Largest body in the limits of the deployments.
constexpr std::size_t max_body_bytes = 1'048'576;
/// Body that the process buffers whole before it forwards it.
constexpr std::size_t platform_body_bytes = 500'000;
constexpr std::size_t own_body_bytes = 65'000;
constexpr std::size_t excessive_body_bytes = 4 * max_body_bytes;
constexpr std::size_t large_chunk_bytes = 60'000;
constexpr std::size_t tiny_chunk_bytes = 8;
/// Bytes that are missing at the end of a body that is left open.
constexpr std::size_t unsent_bytes = 6;
/// A refused crowd may occupy endpoints until the deadlines of its requests.
constexpr time_ms answer_timeout{60'000};

/// How the bodies of a crowd are sent.
enum class crowd_kind : std::uint8_t {
    whole,
    pieces,
    large_chunks,
    tiny_chunks,
    announced_excess,
    sent_excess,
};

// Makes the plan of a crowd that sends bodies of a size, all but those of the excessive kinds legal.
crowd_plan make_crowd(crowd_kind kind, const std::string& head_lines, std::size_t body_bytes) {
    const std::string body(body_bytes, 'x');
    const std::string excess(excessive_body_bytes, 'x');
    const auto length = [](std::size_t size) { return fmt::format("Content-Length: {}\r\n\r\n", size); };
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    crowd_plan plan;
    plan.callers = crowd_size;
    plan.unsent = unsent_bytes;
    switch (kind) {
    case crowd_kind::whole:
        plan.head = head_lines + length(body.size());
        plan.body = body;
        plan.unsent = 0;
        break;
    case crowd_kind::pieces:
        plan.head = head_lines + length(body.size());
        plan.body = body;
        plan.step = 2'000;
        break;
    case crowd_kind::large_chunks:
        plan.head = head_lines + chunked;
        plan.body = in_chunks(body, large_chunk_bytes);
        break;
    case crowd_kind::tiny_chunks:
        plan.head = head_lines + chunked;
        plan.body = in_chunks(body, tiny_chunk_bytes);
        break;
    case crowd_kind::announced_excess:
        plan.head = head_lines + length(excess.size());
        plan.body = excess;
        break;
    case crowd_kind::sent_excess:
        plan.head = head_lines + chunked;
        plan.body = in_chunks(excess, large_chunk_bytes);
        break;
    }
    return plan;
}

std::size_t open_descriptors(const child_process& process) {
    const std::filesystem::directory_iterator entries(fmt::format("/proc/{}/fd", process.id()));
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

// Sends a crowd to an address of a process and checks the process while the crowd stays open.
template <class OrdinaryRequest>
void check_crowd(child_process& process, const std::string& address, crowd_plan plan,
                 OrdinaryRequest&& is_answered) {
    const auto before_kb = process.status_kb("VmHWM");
    hostile_crowd crowd(address, std::move(plan));
    crowd.send_all();
    REQUIRE(process.running());
    const auto descriptors = open_descriptors(process);
    CHECK(wait_until(is_answered, answer_timeout));
    REQUIRE(process.running());
    const auto peak_kb = process.status_kb("VmHWM");
    MESSAGE("peak ", before_kb, " kB before, ", peak_kb, " kB after, ", descriptors,
            " descriptors; of the callers ", crowd.sent(), " sent all, ", crowd.closed(), " were closed");
    CHECK(peak_kb < vm_memory_kb);
    CHECK(descriptors < vm_descriptors);
}

std::string platform_configuration() {
    auto text = platform_stand_in::configuration(1, "secret");
    text.insert(text.size() - 1,
                fmt::format(R"(,"limits":{{"maxBodyBytes":{},"maxHeaderBytes":16384}})", max_body_bytes));
    return text;
}

/// One VM of the platform interface with one endpoint.
struct platform_vm {
    platform_vm() : platform(1, time_ms{6'000}, {.descriptors = vm_descriptors, .memory_mb = vm_memory_mb}) {
        platform.put_object("config", "main", platform_configuration());
        platform.add_endpoint("e-1", "s");
        REQUIRE(platform.wait_all_ready());
        REQUIRE(wait_until([this] { return answers(); }));
    }
    [[nodiscard]] bool answers() {
        const auto& names = platform::dialect;
        const auto id = fmt::format("ordinary-{}", ++requests);
        return send_request(platform.caller_address(0), "GET", "/read/x",
                            {{std::string(names.attempt_id), id},
                             {std::string(names.deadline), "2000"},
                             {std::string(names.key), "secret"}})
                   .status == 200;
    }
    [[nodiscard]] static std::string head(std::string_view target) {
        const auto& names = platform::dialect;
        return fmt::format("POST {} HTTP/1.1\r\nHost: lacewingplank\r\n{}: crowd\r\n{}: 600000\r\n{}: "
                           "secret\r\n",
                           target, names.attempt_id, names.deadline, names.key);
    }
    void check(crowd_kind kind) {
        check_crowd(platform.vm_process(0), platform.caller_address(0),
                    make_crowd(kind, head("/pay/x"), platform_body_bytes), [this] { return answers(); });
    }

    platform_stand_in platform;
    int requests = 0;
};

/// One VM of the own interface.
struct own_vm {
    static deployment_options options() {
        deployment_options made;
        made.vm_zones = {"north"};
        made.first_vm_max_body_bytes = std::int64_t{max_body_bytes};
        made.memory_mb = vm_memory_mb;
        return made;
    }
    own_vm() : system(options()) {}
    [[nodiscard]] bool answers() const {
        return system.send_to_vm(0, "/r/balance/x", system.office_key()).status == 200;
    }
    void check(crowd_kind kind, std::size_t body_bytes = own_body_bytes) {
        const auto head = fmt::format("POST /r/scans/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {}\r\n"
                                      "X-Deadline-Ms: 60000\r\n",
                                      system.office_key());
        check_crowd(system.vm_process(0), system.caller_address(0), make_crowd(kind, head, body_bytes),
                    [this] { return answers(); });
    }

    deployment system;
};

} // namespace

TEST_CASE("callers without limits: large legal bodies sent whole take the memory of a VM") {
    platform_vm().check(crowd_kind::whole);
}

TEST_CASE("callers without limits: bodies sent in pieces and left open take the memory of a VM") {
    platform_vm().check(crowd_kind::pieces);
}

TEST_CASE("callers without limits: large chunks left open take the memory of a VM") {
    platform_vm().check(crowd_kind::large_chunks);
}

TEST_CASE("callers without limits: tiny chunks left open take the memory of a VM") {
    platform_vm().check(crowd_kind::tiny_chunks);
}

TEST_CASE("callers without limits: announced bodies over the limit take the memory of a VM") {
    platform_vm().check(crowd_kind::announced_excess);
}

TEST_CASE("callers without limits: unannounced bodies over the limit take the memory of a VM") {
    platform_vm().check(crowd_kind::sent_excess);
}

TEST_CASE("callers without limits: bodies for the readiness port take the memory of a VM") {
    platform_vm vm;
    check_crowd(
        vm.platform.vm_process(0), vm.platform.ready_address(0),
        make_crowd(crowd_kind::pieces, platform_vm::head(platform::dialect.ready_path), platform_body_bytes),
        [&vm] { return vm.answers(); });
}

TEST_CASE("callers without limits: bodies for the lookup port take the memory of a VM") {
    platform_vm vm;
    check_crowd(vm.platform.vm_process(0), vm.platform.lookup_address(0),
                make_crowd(crowd_kind::tiny_chunks, platform_vm::head(platform::dialect.lookup_path),
                           platform_body_bytes),
                [&vm] { return vm.answers(); });
}

TEST_CASE("callers without limits: own interface, large legal bodies sent whole take the memory of a VM") {
    own_vm().check(crowd_kind::whole, max_body_bytes);
}

TEST_CASE("callers without limits: own interface, bodies in pieces left open take the memory of a VM") {
    own_vm().check(crowd_kind::pieces);
}

TEST_CASE("callers without limits: own interface, large chunks left open take the memory of a VM") {
    own_vm().check(crowd_kind::large_chunks, max_body_bytes);
}

TEST_CASE("callers without limits: own interface, tiny chunks left open take the memory of a VM") {
    own_vm().check(crowd_kind::tiny_chunks);
}

TEST_CASE("callers without limits: own interface, announced bodies over the limit take the memory of a VM") {
    own_vm().check(crowd_kind::announced_excess);
}

TEST_CASE(
    "callers without limits: own interface, unannounced bodies over the limit take the memory of a VM") {
    own_vm().check(crowd_kind::sent_excess);
}
