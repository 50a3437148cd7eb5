// Entry VMs as separate processes, upstreams, and the network between the VMs.
#pragma once

#include "net.h"
#include "store.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace review {

/// @brief Where a VM runs, and its ports on 127.0.0.1.
struct vm_site {
    std::string name;
    std::string zone;
    std::string region;
    int caller_port = 0;
    int ready_port = 0;
    int lookup_port = 0;
    int peer_port = 0;
    int metrics_port = 0;
    int store_port = 0;
};

/// @brief The network between the VMs: everything that they send to each other passes here, and any pair of
/// them can be cut off from each other.
///
/// Each VM knows every other one under an address of this network, which stands in the place of the real one
/// in what the VM receives from the others and from the store.
class vm_network {
public:
    explicit vm_network(std::vector<vm_site> vms);
    /// @brief Address under which one VM knows another.
    [[nodiscard]] std::string address_of(std::size_t vm, std::size_t seen_by) const;
    /// @brief Puts the addresses in place that a VM knows the others under.
    [[nodiscard]] std::string as_seen_by(std::size_t viewer, std::string text) const;
    /// @brief Cuts all VMs of one region off from all VMs of another one, or ends that.
    void cut_regions(const std::string& one, const std::string& other, bool cut);

private:
    void serve_pair(std::size_t from, std::size_t to);
    void pump(const tcp_socket& source, const tcp_socket& sink, std::size_t one, std::size_t other) const;
    [[nodiscard]] bool is_cut(std::size_t one, std::size_t other) const;
    [[nodiscard]] std::size_t index(std::size_t from, std::size_t to) const {
        return from * vms_.size() + to;
    }

    std::vector<vm_site> vms_;
    // By index(): port at which the first VM reaches the second one.
    std::vector<int> ports_;
    std::vector<std::atomic<bool>> cut_;
};

/// @brief Settings that all VMs share.
struct fleet_settings {
    std::map<std::string, std::string> zone_regions;
    std::vector<std::string> bounds;
    bool first_start = true;
    int memory_mb = 260;
    int descriptors = 4100;
};

/// @brief A process of the system, started with the command of the deploy file.
class vm_process {
public:
    /// @param seeds Addresses of the seeds, as this VM knows them.
    vm_process(const vm_site& site, const fleet_settings& settings, const std::vector<std::string>& seeds,
               const std::string& program, const std::string& folder);
    ~vm_process();
    vm_process(const vm_process&) = delete;
    vm_process& operator=(const vm_process&) = delete;
    vm_process(vm_process&&) = delete;
    vm_process& operator=(vm_process&&) = delete;

    void start(bool first_start);
    void signal(int number) const;
    /// @brief Kills the process and waits for its end.
    void kill();
    /// @brief Whether the process has ended by itself.
    [[nodiscard]] bool has_ended();
    [[nodiscard]] bool is_ready() const;
    /// @brief Resident memory now, and the most so far, in kB; 0 when the process has ended.
    [[nodiscard]] std::int64_t memory_kb(bool peak = false) const;
    [[nodiscard]] const vm_site& site() const { return site_; }

private:
    void write_settings(bool first_start) const;

    vm_site site_;
    fleet_settings settings_;
    std::vector<std::string> seeds_;
    std::string program_;
    std::string folder_;
    pid_t process_ = -1;
};

/// @brief A run of a request at an upstream.
struct upstream_run {
    std::int64_t at = 0;
    /// When the client sent it.
    std::int64_t sent = 0;
    std::string upstream;
    std::string attempt;
    std::string account;
    std::string target;
    std::string vm;
};

/// @brief What an upstream does with a request that it runs.
struct upstream_reply {
    int status = 200;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
};

/// @brief Upstreams that follow the pages: they turn away what is meant for another instance, run the rest,
/// and name the request in the answer.
class upstream_group {
public:
    /// @brief Starts an upstream.
    /// @return Its address.
    std::string start(const std::string& id);
    /// @brief Makes the reply of a run; the default is a short body at once.
    std::function<upstream_reply(const std::string& id, const http_message& request)> on_run;
    std::atomic<std::int64_t> service_ms{10};
    [[nodiscard]] std::vector<upstream_run> runs() const;

private:
    std::string answer(const std::string& id, const http_message& request);

    mutable std::mutex mutex_;
    std::vector<upstream_run> runs_;
};

/// @brief Text of the spec of an upstream's entry in the store.
std::string server_spec(const std::string& service, const std::string& address, const std::string& zone,
                        const std::string& version, int slots, const std::string& state, std::int64_t born);

/// @brief Most runs of an account that were both sent and arrived in a span of this length, sent since a
/// time.
struct busiest_span {
    std::int64_t begin = 0;
    std::size_t runs = 0;
};
busiest_span busiest(const std::vector<upstream_run>& runs, const std::string& account, std::int64_t span_ms,
                     std::int64_t from);

} // namespace review
