#include "bench/bench.h"
#include "bench/block_objects.h"
#include "bench/child_process.h"

#include "state/configuration.h"

#include <fmt/format.h>
#include <json/json.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <memory>
#include <numeric>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace lacewing::bench {

namespace {

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

// A loopback address that no other experiment or test uses, so that ports cannot collide.
constexpr const char* host = "127.7.0.1";
constexpr int store_port = 23000;
// Each VM takes three ports: caller, peer and operator.
constexpr int first_vm_port = 23010;
constexpr auto max_start_time = 60s;
constexpr auto max_change_time = 30s;
constexpr auto settle_duration = 4s;
constexpr auto measuring_duration = 8s;
constexpr int measured_changes = 3;
// Fleets of at least this size have 17 zones, as a fleet of the target size has.
constexpr int many_zones_min_nodes = 100;
constexpr int target_nodes = 870;

std::string address(int port) {
    return fmt::format("{}:{}", host, port);
}

std::string read_text(const std::filesystem::path& file) {
    std::ifstream in(file);
    if (!in) throw std::runtime_error(file.string() + " cannot be read; run in the root of the project");
    return {std::istreambuf_iterator<char>(in), {}};
}

Json::Value parse(const std::string& text) {
    Json::Value value;
    std::istringstream(text) >> value;
    return value;
}

std::string zone_of(int index) {
    return fmt::format("zone-{:02}", index);
}

std::string region_of(int zone, int regions) {
    return fmt::format("Region{}", zone % regions);
}

// The routes of config/utility with their endpoints spread over the given zones.
std::string scaled_topology(int zones) {
    const int regions = zones > 6 ? 6 : 3;
    const std::vector<std::tuple<std::string, std::string, int, int>> routes{
        {"balance", "idempotent: true", 20, 4},
        {"payments", "once: true", 12, 3},
        {"ledger-scans", "", 12, 3},
        {"plot-registers", "idempotent: true", 12, 4}};
    std::vector<int> capacity(static_cast<std::size_t>(regions));
    std::string route_text = "routes:\n";
    int endpoint = 0;
    for (const auto& [name, flag, min_endpoints, slots_per_endpoint] : routes) {
        route_text += fmt::format("  - name: {}\n", name);
        if (!flag.empty()) route_text += fmt::format("    {}\n", flag);
        route_text += "    endpoints:\n";
        for (int i = 0; i < std::max(min_endpoints, zones); ++i, ++endpoint) {
            const int zone = i % zones;
            capacity[static_cast<std::size_t>(zone % regions)] += slots_per_endpoint;
            route_text += fmt::format(
                "      - {{name: {}-{:02}, zone: {}, address: \"{}:{}\", slots: {}, connections: 400}}\n",
                name, i, zone_of(zone), host, 24000 + endpoint, slots_per_endpoint);
        }
    }
    std::string text = "regions:\n";
    for (int r = 0; r < regions; ++r) {
        text +=
            fmt::format("  - {{name: Region{}, capacity: {}}}\n", r, capacity[static_cast<std::size_t>(r)]);
    }
    text += "zones:\n";
    for (int z = 0; z < zones; ++z)
        text += fmt::format("  - {{name: {}, region: {}}}\n", zone_of(z), region_of(z, regions));
    return text + "links: []\n" + route_text;
}

std::string settings_text(int index, int zones, int nodes) {
    std::string seeds;
    for (int i = 0; i < std::min(zones, nodes); ++i) {
        if (i != index)
            seeds += fmt::format("{}\"{}\"", seeds.empty() ? "" : ", ", address(first_vm_port + 3 * i + 1));
    }
    const int port = first_vm_port + 3 * index;
    return fmt::format(
        "vm: vm-{}\nzone: {}\ncaller_listen: {}\npeer_listen: {}\noperator_listen: {}\nstore: {}\n"
        "seeds: [{}]\nkey_policy:\n  on_store_outage: serve\n  outage_bound_s: 900s\n"
        "  on_partition: refuse\nlimits:\n  header_bytes: 16384\n  header_timeout_ms: 5000ms\n"
        "  body_bytes: 268435456\n  queue_length: 1000\n  caller_connections: 10000\n",
        index + 1, zone_of(index % zones), address(port), address(port + 1), address(port + 2),
        address(store_port), seeds);
}

double seconds_since(steady::time_point start) {
    return std::chrono::duration<double>(steady::now() - start).count();
}

struct vm_sample {
    double cpu_ms = 0;
    double bytes_sent = 0;
    double bytes_received = 0;
    double messages = 0;
};

/// Figures of one fleet. Figures of the VMs are means or maxima over the VMs, traffic per second; store calls
/// are per second of the whole fleet; times count until the last VM has caught up.
struct fleet_figures {
    int nodes = 0;
    int zones = 0;
    double start_s = 0;
    double cpu_percent = 0;
    double cpu_percent_max = 0;
    double resident_mb = 0;
    double resident_mb_max = 0;
    double private_mb = 0;
    double sent_bytes_per_s = 0;
    double received_bytes_per_s = 0;
    double max_sent_bytes_per_s = 0;
    double max_received_bytes_per_s = 0;
    double messages = 0;
    double store_reads = 0;
    double store_watches = 0;
    double store_writes = 0;
    double pending_watches = 0;
    double change_ms = 0;
    double blocks_ms = 0;
    double block_change_ms = 0;
};

/// One store and its VMs, all as processes on this host.
class fleet {
public:
    fleet(int nodes, int zones, const std::filesystem::path& work)
        : store_process_("fake_store", {"--listen", address(store_port)}, work / "store.log"),
          store_client_(address(store_port)) {
        for (int tries = 0; !store_client_.call("GET", "/admin/stats"); ++tries) {
            if (tries == 100) throw std::runtime_error("fake_store does not answer");
            std::this_thread::sleep_for(50ms);
        }
        config_ = to_json(merge_configuration(
            {}, std::vector<config_text>{{"topology", scaled_topology(zones)},
                                         {"plans", read_text("config/utility/plans.yaml")},
                                         {"accounts", read_text("config/utility/accounts.yaml")}}));
        revision_ = put("config/current", config_, 0);
        config_revision_ = revision_;
        for (int i = 0; i < nodes; ++i) {
            const auto file = work / fmt::format("vm-{}.yaml", i);
            std::ofstream(file) << settings_text(i, zones, nodes);
            processes_.emplace_back("lacewingd", std::vector<std::string>{"--settings", file.string()},
                                    work / fmt::format("vm-{}.log", i));
            operator_clients_.emplace_back(address(first_vm_port + 3 * i + 2));
        }
    }

    std::uint64_t put(const std::string& key, const std::string& value, std::uint64_t expected) {
        const auto answer = store_client_.call("PUT", "/v1/objects/" + key, value, expected);
        if (!answer || answer->status != 200) throw std::runtime_error("the store refused " + key);
        return parse(answer->body)["revision"].asUInt64();
    }

    // Writes a changed configuration and returns the milliseconds until all VMs use it.
    double change_configuration() {
        auto value = parse(config_);
        value["requested_by"] = fmt::format("bench-{}", ++change_count_);
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        const auto start = steady::now();
        config_revision_ = put("config/current", Json::writeString(writer, value), config_revision_);
        return wait_for_revision(start, max_change_time, "config_revision", config_revision_);
    }

    // Waits until each VM reports at least the revision; returns the milliseconds since `start`.
    double wait_for_revision(steady::time_point start, std::chrono::seconds limit, const char* field,
                             std::uint64_t revision) {
        for (std::size_t i = 0; i < operator_clients_.size();) {
            const auto dump = operator_clients_[i].call("GET", "/dump");
            if (dump && parse(dump->body)["control"][field].asUInt64() >= revision) {
                ++i;
                continue;
            }
            if (steady::now() - start > limit)
                throw std::runtime_error(fmt::format("vm-{} does not reach {} {}", i + 1, field, revision));
            std::this_thread::sleep_for(5ms);
        }
        return seconds_since(start) * 1000;
    }

    // Waits until each VM lists all VMs as alive and uses the current configuration.
    void wait_for_members(steady::time_point start) {
        for (std::size_t i = 0; i < operator_clients_.size();) {
            const auto answer = operator_clients_[i].call("GET", "/fleet");
            std::size_t alive = 0;
            if (answer) {
                const auto value = parse(answer->body);
                for (const auto& member : value["members"])
                    alive += member["state"].asString() == "alive" ? 1 : 0;
            }
            if (alive == operator_clients_.size()) {
                ++i;
                continue;
            }
            if (steady::now() - start > max_start_time)
                throw std::runtime_error(fmt::format("vm-{} knows {} live members", i + 1, alive));
            std::this_thread::sleep_for(50ms);
        }
        wait_for_revision(start, max_start_time, "config_revision", config_revision_);
    }

    std::vector<vm_sample> sample() {
        std::vector<vm_sample> samples(processes_.size());
        for (std::size_t i = 0; i < samples.size(); ++i) {
            const auto answer = operator_clients_[i].call("GET", "/dump");
            if (!answer) throw std::runtime_error(fmt::format("vm-{} does not answer", i + 1));
            const auto peers = parse(answer->body)["control"]["peers"];
            samples[i].bytes_sent = peers["bytes_sent"].asDouble();
            samples[i].bytes_received = peers["bytes_received"].asDouble();
            samples[i].messages = peers["messages_sent"].asDouble();
        }
        return samples;
    }

    void measure(fleet_figures& out) {
        const auto before = sample();
        const auto store_before = parse(store_client_.call("GET", "/admin/stats").value().body);
        std::vector<double> cpu_before;
        for (const auto& process : processes_)
            cpu_before.push_back(process.cpu_ms());
        const auto start = steady::now();
        std::this_thread::sleep_for(measuring_duration);
        const auto cpu_s = seconds_since(start);
        std::vector<double> cpu;
        for (std::size_t i = 0; i < processes_.size(); ++i)
            cpu.push_back((processes_[i].cpu_ms() - cpu_before[i]) / cpu_s / 10);
        const auto store_after = parse(store_client_.call("GET", "/admin/stats").value().body);
        const auto after = sample();
        const auto bytes_s = seconds_since(start);
        const auto n = static_cast<double>(processes_.size());
        for (std::size_t i = 0; i < processes_.size(); ++i) {
            const auto sent_bytes_per_s = (after[i].bytes_sent - before[i].bytes_sent) / bytes_s;
            const auto received_bytes_per_s = (after[i].bytes_received - before[i].bytes_received) / bytes_s;
            const auto resident = processes_[i].memory_bytes("VmRSS") / 1e6;
            out.cpu_percent += cpu[i] / n;
            out.cpu_percent_max = std::max(out.cpu_percent_max, cpu[i]);
            out.resident_mb += resident / n;
            out.resident_mb_max = std::max(out.resident_mb_max, resident);
            out.private_mb += processes_[i].memory_bytes("RssAnon") / 1e6 / n;
            out.sent_bytes_per_s += sent_bytes_per_s / n;
            out.received_bytes_per_s += received_bytes_per_s / n;
            out.max_sent_bytes_per_s = std::max(out.max_sent_bytes_per_s, sent_bytes_per_s);
            out.max_received_bytes_per_s = std::max(out.max_received_bytes_per_s, received_bytes_per_s);
            out.messages += (after[i].messages - before[i].messages) / bytes_s / n;
        }
        const auto rate = [&](const char* field) {
            return (store_after[field].asDouble() - store_before[field].asDouble()) / cpu_s;
        };
        out.store_reads = rate("reads");
        out.store_watches = rate("watches");
        out.store_writes = rate("writes");
        out.pending_watches = store_after["pending_watches"].asDouble();
    }

    // Measures the time until all VMs have the client blocks, then the time of a change that moves 200 blocks
    // to another site.
    void measure_blocks(int blocks, fleet_figures& out) {
        const auto start = steady::now();
        std::uint64_t first = 0;
        std::uint64_t newest = 0;
        for (int object = 0; object * blocks_per_object < blocks; ++object) {
            const int count = std::min(blocks_per_object, blocks - object * blocks_per_object);
            newest = put(fmt::format("blocks/{}", object), block_object(object, count, 0), 0);
            if (object == 0) first = newest;
        }
        out.blocks_ms = wait_for_revision(start, max_start_time, "revision", newest);
        std::this_thread::sleep_for(settle_duration);
        const auto text = block_object(0, std::min(blocks, blocks_per_object), 200);
        const auto change = steady::now();
        out.block_change_ms =
            wait_for_revision(change, max_change_time, "revision", put("blocks/0", text, first));
    }

private:
    child_process store_process_;
    blocking_client store_client_;
    std::vector<child_process> processes_;
    std::vector<blocking_client> operator_clients_;
    std::string config_;
    std::uint64_t revision_ = 0;
    std::uint64_t config_revision_ = 0;
    int change_count_ = 0;
};

fleet_figures run_size(int nodes, int zones, int blocks, const std::filesystem::path& work) {
    fleet_figures figures;
    figures.nodes = nodes;
    figures.zones = std::min(nodes, zones > 0 ? zones : nodes >= many_zones_min_nodes ? 17 : 6);
    const auto start = steady::now();
    fleet running(nodes, figures.zones, work);
    running.wait_for_members(start);
    figures.start_s = seconds_since(start);
    if (blocks > 0) running.measure_blocks(blocks, figures);
    std::this_thread::sleep_for(settle_duration);
    running.measure(figures);
    for (int i = 0; i < measured_changes; ++i)
        figures.change_ms = std::max(figures.change_ms, running.change_configuration());
    return figures;
}

struct linear_fit {
    double slope = 0;
    double at_target = 0;
};

// Fits a least-squares line to a figure as a function of the number of nodes.
linear_fit fit_line(const std::vector<fleet_figures>& all, double fleet_figures::*field) {
    const auto n = static_cast<double>(all.size());
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    for (const auto& row : all) {
        x += row.nodes;
        y += row.*field;
        xx += double(row.nodes) * row.nodes;
        xy += row.nodes * (row.*field);
    }
    const auto slope = (n * xy - x * y) / (n * xx - x * x);
    return {slope, (y - slope * x) / n + slope * target_nodes};
}

struct reported_figure {
    const char* name;
    double fleet_figures::*field;
    // Upper limit at 870 nodes; 0: none.
    double limit;
};

constexpr reported_figure reported_figures[] = {
    {"cpu_percent", &fleet_figures::cpu_percent, 2.7},
    {"cpu_percent_max", &fleet_figures::cpu_percent_max, 2.7},
    {"resident_mb", &fleet_figures::resident_mb, 32},
    {"resident_mb_max", &fleet_figures::resident_mb_max, 32},
    {"private_mb", &fleet_figures::private_mb, 32},
    {"bytes_sent_per_s", &fleet_figures::sent_bytes_per_s, 26000},
    {"bytes_sent_per_s_max", &fleet_figures::max_sent_bytes_per_s, 26000},
    {"bytes_received_per_s", &fleet_figures::received_bytes_per_s, 26000},
    {"bytes_received_per_s_max", &fleet_figures::max_received_bytes_per_s, 26000},
    {"messages_per_s", &fleet_figures::messages, 0},
    {"store_reads_per_s", &fleet_figures::store_reads, 0},
    {"store_watches_per_s", &fleet_figures::store_watches, 2000},
    {"store_pending_watches", &fleet_figures::pending_watches, 0},
    {"store_writes_per_s", &fleet_figures::store_writes, 100},
    {"change_ms", &fleet_figures::change_ms, 9000},
    {"start_s", &fleet_figures::start_s, 0},
    {"blocks_ms", &fleet_figures::blocks_ms, 0},
    {"block_change_ms", &fleet_figures::block_change_ms, 9000},
};

void report(const std::vector<fleet_figures>& all) {
    Json::Value json;
    fmt::print("{:26}", "nodes (zones)");
    for (const auto& row : all)
        fmt::print("{:>12}", fmt::format("{} ({})", row.nodes, row.zones));
    fmt::print("{:>12}{:>12}{:>10}\n", "slope", "at 870", "target");
    for (const auto& [name, field, limit] : reported_figures) {
        fmt::print("{:26}", name);
        for (const auto& row : all) {
            fmt::print("{:>12.2f}", row.*field);
            json["sizes"][std::to_string(row.nodes)][name] = row.*field;
        }
        if (all.size() > 1) {
            const auto fitted = fit_line(all, field);
            json["fit"][name]["slope"] = fitted.slope;
            json["fit"][name]["at_870"] = fitted.at_target;
            fmt::print("{:>12.4f}{:>12.2f}", fitted.slope, fitted.at_target);
        } else {
            fmt::print("{:>12}{:>12}", "-", "-");
        }
        fmt::print("{:>10}\n", limit > 0 ? fmt::format("{}", limit) : "-");
    }
    std::filesystem::create_directories("out");
    std::ofstream("out/fleet.json") << json.toStyledString();
}

} // namespace

int run_fleet(const std::vector<int>& sizes, int zones, int blocks) {
    kill_children_on_signal();
    const auto work = std::filesystem::temp_directory_path() / fmt::format("lacewing-fleet-{}", ::getpid());
    std::filesystem::create_directories(work);
    std::vector<fleet_figures> all;
    try {
        for (const int nodes : sizes)
            all.push_back(run_size(nodes, zones, blocks, work));
    } catch (const std::exception& error) {
        fmt::print(stderr, "fleet: {}; logs in {}\n", error.what(), work.string());
        return 1;
    }
    std::filesystem::remove_all(work);
    report(all);
    return 0;
}

} // namespace lacewing::bench
