// Another writer leaves some large entries in the store's list of servers. Do the VMs go on?
#include "../stand_ins_3/utility.h"

#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace review;

namespace {

// `valueBytes` of the settings is 1048576.
constexpr std::size_t value_bytes = 1'000'000;
constexpr int foreign_entries = 10;
constexpr std::int64_t entry_interval_ms = 1'000;
constexpr std::int64_t memory_limit_kb = 260LL * 1024;
constexpr std::int64_t restart_delay_ms = 500;
constexpr std::int64_t play_ms = 40'000;
// "On a tenth of the machines in use (two at least) processes end by themselves three times in the day."
constexpr std::size_t bad_machines = 2;
constexpr int bad_ends = 3;

// An entry without any of the fields of a server: a series of measured values.
std::string foreign_spec(int number) {
    std::string values;
    while (values.size() < value_bytes - 100)
        values += fmt::format("{}{}", values.empty() ? "" : ",", 10 + (values.size() * 7 + 13) % 90);
    return fmt::format(R"({{"writer":"meter-{}","values":[{}]}})", number, values);
}

/// Ends and starts the VMs as the platform does.
class supervisor {
public:
    supervisor(std::vector<std::unique_ptr<vm_process>>& vms, record_file& record)
        : vms_(vms), record_(record), ends_(vms.size()), start_at_(vms.size()) {}

    void step() {
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            auto& vm = *vms_[i];
            if (start_at_[i] != 0) {
                if (now_ms() < start_at_[i]) continue;
                start_at_[i] = 0;
                vm.start(false);
                continue;
            }
            const auto memory = vm.memory_kb();
            const bool over = memory > memory_limit_kb;
            if (over) vm.kill();
            if (!over && !vm.has_ended()) continue;
            ++ends_[i];
            start_at_[i] = now_ms() + restart_delay_ms;
            record_.line(fmt::format(
                "{} ends for the {}. time: {}", vm.site().name, ends_[i],
                over ? fmt::format("killed with {} kB, {} allowed", memory, memory_limit_kb) : "by itself"));
        }
    }
    [[nodiscard]] bool broken() const {
        std::size_t bad = 0;
        for (const int count : ends_)
            bad += count >= bad_ends ? 1 : 0;
        return bad >= bad_machines;
    }
    [[nodiscard]] const std::vector<int>& ends() const { return ends_; }

private:
    std::vector<std::unique_ptr<vm_process>>& vms_;
    record_file& record_;
    std::vector<int> ends_;
    // 0 while the process runs.
    std::vector<std::int64_t> start_at_;
};

int play(const std::string& program, const std::string& folder, bool trouble, record_file& record) {
    const auto vms = utility_sites();
    // The stand-ins live until the process ends.
    static object_store store;
    store.put("config", "main", utility_configuration({"ward"}, 0, 0));
    static upstream_group upstreams;
    start_utility_upstreams(store, upstreams);
    static std::vector<std::unique_ptr<vm_process>> processes;
    for (const auto& vm : vms) {
        store.serve(vm.store_port);
        // The first VM of each region.
        const std::vector<std::string> seeds{loopback(vms[0].peer_port), loopback(vms[4].peer_port),
                                             loopback(vms[8].peer_port)};
        processes.push_back(std::make_unique<vm_process>(vm, utility_settings(), seeds, program, folder));
        processes.back()->start(true);
    }
    if (!wait_ready(processes)) return 2;
    sleep_ms(5'000);

    supervisor platform(processes, record);
    std::thread callers([&] { send_load(vms, "ward", 44, play_ms, "call", record); });
    const auto begin = now_ms();
    int written = 0;
    while (now_ms() < begin + play_ms) {
        if (trouble && written < foreign_entries && now_ms() >= begin + 2'000 + written * entry_interval_ms) {
            store.put("servers", fmt::format("meter-{}", written), foreign_spec(written));
            record.line(fmt::format("entry meter-{} of another writer, {} bytes", written, value_bytes));
            ++written;
        }
        platform.step();
        sleep_ms(50);
    }
    callers.join();
    for (std::size_t i = 0; i < processes.size(); ++i) {
        record.line(fmt::format("{}: {} ends, {} kB, {} kB at most since its start, {}", vms[i].name,
                                platform.ends()[i], processes[i]->memory_kb(), processes[i]->memory_kb(true),
                                processes[i]->is_ready() ? "ready" : "not ready"));
        processes[i]->kill();
    }
    record.line(fmt::format("{} requests run", upstreams.runs().size()));
    return platform.broken() ? 1 : 0;
}

} // namespace

int main(int argc, char** argv) {
    run_case(argc, argv, play);
}
