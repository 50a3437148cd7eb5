#include "bench/bench.h"
#include "bench/block_objects.h"
#include "bench/child_process.h"

#include "state/configuration.h"
#include "state/key_digest.h"
#include "transport/ip_address.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <fmt/format.h>
#include <json/json.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace lacewing::bench {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

constexpr const char* store_address = "127.7.1.1:23000";
constexpr const char* caller_address = "127.7.1.1:23001";
constexpr const char* operator_address = "127.7.1.1:23003";
constexpr int endpoint_count = 4;
constexpr int endpoint_slots = 100;
constexpr int first_endpoint_port = 24000;
constexpr const char* key = "bench-key-0123456789abcdef0123456789abcdef";
constexpr std::size_t connections = 64;
constexpr std::size_t lookup_connections = 4;
constexpr auto open_loop_duration = 5s;
constexpr std::size_t closed_loop_requests = 200'000;

// Returns the text of a request by its number.
using request_source = std::function<std::string(std::size_t)>;

struct load_figures {
    std::vector<double> latencies_us;
    std::size_t failed = 0;
    double seconds = 0;

    [[nodiscard]] double quantile(double q) const {
        if (latencies_us.empty()) return 0;
        return latencies_us[std::min(latencies_us.size() - 1,
                                     static_cast<std::size_t>(q * static_cast<double>(latencies_us.size())))];
    }
};

struct load_plan {
    std::vector<std::string> addresses;
    std::size_t connections = 1;
    /// Requests per second, evenly spaced; 0: each connection sends its next request when the answer arrives.
    double rate = 0;
    std::size_t requests = 0;
    request_source text;
};

struct load_state {
    const load_plan& plan;
    steady::time_point start;
    std::size_t next = 0;
    load_figures figures;
};

// Sends requests over one connection. With a rate, latency is measured from the planned time, so it includes
// waiting for a free connection.
asio::awaitable<void> send_requests(load_state& state, std::string address) {
    asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect(parse_socket_address(address), asio::use_awaitable);
    socket.set_option(asio::ip::tcp::no_delay(true));
    asio::steady_timer timer(socket.get_executor());
    beast::flat_buffer buffer;
    while (state.next < state.plan.requests) {
        const auto number = state.next++;
        auto planned_time = steady::now();
        if (state.plan.rate > 0) {
            planned_time = state.start +
                           std::chrono::duration_cast<steady::duration>(
                               std::chrono::duration<double>(static_cast<double>(number) / state.plan.rate));
            timer.expires_at(planned_time);
            if (planned_time > steady::now()) {
                co_await timer.async_wait(asio::use_awaitable);
            }
        }
        const auto text = state.plan.text(number);
        co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
        http::response_parser<http::string_body> parser;
        co_await http::async_read(socket, buffer, parser, asio::use_awaitable);
        state.figures.latencies_us.push_back(
            std::chrono::duration<double, std::micro>(steady::now() - planned_time).count());
        if (parser.get().result_int() != 200) ++state.figures.failed;
        if (!parser.get().keep_alive())
            throw std::runtime_error("the connection was closed: " + parser.get().body());
    }
}

load_figures run_load(const load_plan& plan) {
    asio::io_context context(1);
    load_state state{plan, steady::now() + 50ms, 0, {}};
    state.figures.latencies_us.reserve(plan.requests);
    std::exception_ptr error;
    for (std::size_t i = 0; i < plan.connections; ++i) {
        asio::co_spawn(context, send_requests(state, plan.addresses[i % plan.addresses.size()]),
                       [&](const std::exception_ptr& thrown) {
                           if (thrown) error = thrown;
                       });
    }
    const auto start = steady::now();
    context.run();
    state.figures.seconds = std::chrono::duration<double>(steady::now() - start).count();
    if (error) std::rethrow_exception(error);
    std::sort(state.figures.latencies_us.begin(), state.figures.latencies_us.end());
    return std::move(state.figures);
}

std::string topology() {
    std::string text =
        fmt::format("regions:\n  - {{name: One, capacity: {}}}\nzones:\n  - {{name: one, region: One}}\n"
                    "links: []\nroutes:\n  - name: balance\n    idempotent: true\n    endpoints:\n",
                    endpoint_count * endpoint_slots);
    for (int i = 0; i < endpoint_count; ++i) {
        text += fmt::format("      - {{name: balance-{}, zone: one, address: \"127.7.1.1:{}\", slots: {}, "
                            "connections: 400}}\n",
                            i, first_endpoint_port + i, endpoint_slots);
    }
    return text;
}

constexpr const char* plans =
    "plans:\n  - name: large\n    rate: 100000/s\n    burst: 100000\n    routes: [balance]\n"
    "classes:\n  - {name: plot-holder, weight: 1}\n";
constexpr const char* accounts = "accounts:\n  - {name: ward, plan: large}\n";

constexpr const char* settings =
    "vm: vm-1\nzone: one\ncaller_listen: 127.7.1.1:23001\npeer_listen: 127.7.1.1:23002\n"
    "operator_listen: 127.7.1.1:23003\nstore: 127.7.1.1:23000\nseeds: []\nkey_policy:\n  on_store_outage: "
    "serve\n"
    "  outage_bound_s: 900s\n  on_partition: refuse\nlimits:\n  header_bytes: 16384\n  header_timeout_ms: "
    "5000ms\n"
    "  body_bytes: 268435456\n  queue_length: 1000\n  caller_connections: 10000\n";

void put(blocking_client& store, const std::string& name, const std::string& value) {
    const auto answer = store.call("PUT", "/v1/objects/" + name, value, 0);
    if (!answer || answer->status != 200) throw std::runtime_error("the store refused " + name);
}

void wait_until(const char* what, const std::function<bool()>& condition) {
    const auto limit = steady::now() + 30s;
    while (!condition()) {
        if (steady::now() > limit) throw std::runtime_error(std::string("time limit: ") + what);
        std::this_thread::sleep_for(50ms);
    }
}

std::string request_for(std::string_view target, bool with_key) {
    return fmt::format("GET {} HTTP/1.1\r\nHost: bench\r\n{}\r\n", target,
                       with_key ? fmt::format("X-Api-Key: {}\r\n", key) : std::string());
}

struct load_with_cpu {
    load_figures load;
    double cpu_us = 0;
};

load_with_cpu run_measured(const child_process& process, const load_plan& plan) {
    const auto before = process.cpu_ms();
    load_with_cpu result{run_load(plan), 0};
    const auto completed = static_cast<double>(result.load.latencies_us.size());
    result.cpu_us = (process.cpu_ms() - before) * 1000 / std::max(1.0, completed);
    return result;
}

void run_open_loop(const child_process& vm, const load_plan& direct_plan, const load_plan& proxied_plan,
                   Json::Value& json) {
    fmt::print("{:>8}{:>12}{:>12}{:>12}{:>12}{:>12}{:>12}{:>12}{:>8}\n", "req/s", "direct p50", "direct p99",
               "proxy p50", "proxy p99", "added p50", "added p99", "CPU us/req", "failed");
    for (const double rate : {100.0, 1000.0, 5000.0}) {
        auto plan = direct_plan;
        plan.rate = rate;
        plan.requests = static_cast<std::size_t>(rate * static_cast<double>(open_loop_duration.count()));
        const auto direct_load = run_load(plan);
        plan.addresses = proxied_plan.addresses;
        plan.text = proxied_plan.text;
        const auto proxied = run_measured(vm, plan);
        const auto& load = proxied.load;
        const auto added50 = load.quantile(0.5) - direct_load.quantile(0.5);
        const auto added99 = load.quantile(0.99) - direct_load.quantile(0.99);
        fmt::print("{:>8.0f}{:>12.0f}{:>12.0f}{:>12.0f}{:>12.0f}{:>12.0f}{:>12.0f}{:>12.1f}{:>8}\n", rate,
                   direct_load.quantile(0.5), direct_load.quantile(0.99), load.quantile(0.5),
                   load.quantile(0.99), added50, added99, proxied.cpu_us, load.failed + direct_load.failed);
        auto& row = json["open_loop"][fmt::format("{:.0f}", rate)];
        row["added_p50_us"] = added50;
        row["added_p99_us"] = added99;
        row["direct_p50_us"] = direct_load.quantile(0.5);
        row["direct_p99_us"] = direct_load.quantile(0.99);
        row["cpu_us"] = proxied.cpu_us;
        row["failed"] = Json::UInt64(load.failed);
    }
}

void run_closed_loop(const char* name, const child_process& vm, const load_plan& plan, Json::Value& json) {
    const auto resident_before = vm.memory_bytes("VmRSS") / 1e6;
    const auto result = run_measured(vm, plan);
    const auto resident_after = vm.memory_bytes("VmRSS") / 1e6;
    const auto completed = static_cast<double>(result.load.latencies_us.size());
    fmt::print("{}: {:.0f} requests, {:.0f}/s, CPU {:.1f} us each ({:.0f}/s per core), {} failed, resident "
               "{:.1f} -> "
               "{:.1f} MB\n",
               name, completed, completed / result.load.seconds, result.cpu_us, 1e6 / result.cpu_us,
               result.load.failed, resident_before, resident_after);
    auto& row = json[name];
    row["per_s"] = completed / result.load.seconds;
    row["cpu_us"] = result.cpu_us;
    row["failed"] = Json::UInt64(result.load.failed);
    row["resident_mb_before"] = resident_before;
    row["resident_mb_after"] = resident_after;
}

void run_experiments(int blocks, const std::filesystem::path& work) {
    child_process store("fake_store", {"--listen", store_address}, work / "store.log");
    child_process endpoints("fake_endpoint",
                            {"--host", "127.7.1.1", "--count", std::to_string(endpoint_count), "--first-port",
                             std::to_string(first_endpoint_port), "--slots", std::to_string(endpoint_slots),
                             "--service-ms", "0"},
                            work / "endpoints.log");
    blocking_client store_client(store_address);
    wait_until("fake_store", [&] { return store_client.call("GET", "/admin/stats").has_value(); });
    put(store_client, "config/current",
        to_json(merge_configuration(
            {},
            std::vector<config_text>{{"topology", topology()}, {"plans", plans}, {"accounts", accounts}})));
    put(store_client, "keys/ward",
        fmt::format(R"({{"account":"ward","digests":["{}"]}})", to_hex(digest_of(key))));
    for (int object = 0; object * blocks_per_object < blocks; ++object) {
        put(store_client, fmt::format("blocks/{}", object),
            block_object(object, std::min(blocks_per_object, blocks - object * blocks_per_object), 0));
    }
    std::ofstream(work / "vm.yaml") << settings;
    child_process vm("lacewingd", {"--settings", (work / "vm.yaml").string()}, work / "vm.log");

    load_plan direct_plan;
    for (int i = 0; i < endpoint_count; ++i)
        direct_plan.addresses.push_back(fmt::format("127.7.1.1:{}", first_endpoint_port + i));
    direct_plan.connections = connections;
    direct_plan.text = [text = request_for("/plots/17", false)](std::size_t) { return text; };
    load_plan proxied_plan = direct_plan;
    proxied_plan.addresses = {caller_address};
    proxied_plan.text = [text = request_for("/r/balance/plots/17", true)](std::size_t) { return text; };
    load_plan lookups;
    lookups.addresses = {caller_address};
    lookups.connections = lookup_connections;
    lookups.requests = closed_loop_requests;
    lookups.text = [](std::size_t number) {
        const auto mixed = number * 2654435761U;
        return request_for(
            fmt::format("/v1/entry?client={}.{}.{}.9", 11 + mixed % 6, mixed / 7 % 256, mixed / 1801 % 256),
            false);
    };

    // The VM gets its slots and its share of the account's rate only once the store has its first roster
    // entries.
    blocking_client operators(operator_address);
    wait_until("the VM's configuration", [&] {
        const auto health = operators.call("GET", "/healthz");
        return health && health->status == 200;
    });
    load_plan probe = proxied_plan;
    probe.connections = 1;
    probe.requests = 1;
    wait_until("an answer through the VM", [&] { return run_load(probe).failed == 0; });
    std::this_thread::sleep_for(6s);

    Json::Value json;
    run_open_loop(vm, direct_plan, proxied_plan, json);
    proxied_plan.requests = closed_loop_requests;
    run_closed_loop("proxied", vm, proxied_plan, json);
    run_closed_loop("lookups", vm, lookups, json);
    std::filesystem::create_directories("out");
    std::ofstream("out/path.json") << json.toStyledString();
}

} // namespace

int run_path(int blocks) {
    kill_children_on_signal();
    const auto work = std::filesystem::temp_directory_path() / fmt::format("lacewing-path-{}", ::getpid());
    std::filesystem::create_directories(work);
    try {
        run_experiments(blocks, work);
    } catch (const std::exception& error) {
        fmt::print(stderr, "path: {}; logs in {}\n", error.what(), work.string());
        return 1;
    }
    std::filesystem::remove_all(work);
    return 0;
}

} // namespace lacewing::bench
