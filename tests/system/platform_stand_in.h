#pragma once

#include "deployment.h"
#include "silencing_proxy.h"

#include "transport/http_server.h"

#include <boost/asio.hpp>
#include <json/value.h>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lacewing::testing {

/// @brief Limits in the settings of the VMs.
struct vm_limits {
    /// As on the users' VMs.
    int descriptors = 4'100;
    /// Memory of a VM; 0 to leave it out of the settings.
    int memory_mb = 0;
};

/// @brief Fake of the platform: its store and endpoints run in this process, the VMs as separate processes.
class platform_stand_in {
public:
    /// @param vm_count Number of VMs, placed alternately in the zones north and south of one region.
    /// @param grace Time from SIGTERM to SIGKILL that the settings of the VMs name; nothing is killed after
    /// it.
    explicit platform_stand_in(std::size_t vm_count, time_ms grace = time_ms{6000}, vm_limits limits = {});
    ~platform_stand_in();
    platform_stand_in(const platform_stand_in&) = delete;
    platform_stand_in& operator=(const platform_stand_in&) = delete;
    platform_stand_in(platform_stand_in&&) = delete;
    platform_stand_in& operator=(platform_stand_in&&) = delete;

    /// @brief Creates or replaces a stored object.
    /// @param spec JSON text of the object's spec.
    void put_object(const std::string& kind, const std::string& name, const std::string& spec);
    /// @brief Creates or replaces an object as another writer may have left it.
    /// @param raw_spec Text of the spec, which need not be readable JSON.
    void put_raw_object(const std::string& kind, const std::string& name, const std::string& raw_spec);
    void delete_object(const std::string& kind, const std::string& name);
    /// @brief State of the version move of a service; empty when the VMs have written none.
    [[nodiscard]] std::string version_move_state(const std::string& service);
    /// @brief Most objects in one page of a list.
    std::atomic<std::size_t> page_objects{500};
    /// @brief Most bytes of objects in one page, except for a page with one object.
    std::atomic<std::size_t> page_bytes{1'000'000};
    /// @brief Time in ms that the store takes for one page of a list of endpoints.
    std::atomic<int> page_ms{0};
    /// @brief Number of pages of lists that the store has given.
    std::atomic<int> listed_pages{0};
    /// @brief While set, the store closes connections without an answer.
    std::atomic<bool> store_down{false};

    /// @brief Keeps a copy of the store's objects.
    void keep_store_copy();
    /// @brief Puts the store back to the copy that was kept: its revision goes back too, and its era rises.
    void restore_store_copy();

    /// @brief Silences the connections to the store that are open now; new ones work.
    void silence_store_connections() { store_proxy_->silence(); }

    /// @brief From now on, the store sends bytes without end in place of its answers; see silencing_proxy.
    void set_endless_store_answer(const std::string& begin, const std::string& repeated) {
        store_proxy_->set_endless_answer(begin, repeated);
    }

    /// @brief Starts an endpoint in the zone north and registers it in the store.
    void add_endpoint(const std::string& id, const std::string& service, const std::string& version = "v1");
    /// @brief Registers an endpoint of the zone north that runs elsewhere.
    /// @param address "ip:port".
    void register_endpoint(const std::string& id, const std::string& service, const std::string& address,
                           const std::string& version = "v1");
    /// @brief Address of an endpoint that was added.
    [[nodiscard]] std::string endpoint_address(const std::string& id);
    /// @brief IPv4 address of the VMs and of the store.
    [[nodiscard]] const std::string& host() const { return host_; }
    /// @brief Number of requests that an endpoint has executed or begun to execute.
    [[nodiscard]] int execution_count(const std::string& id);
    /// @brief A request that an endpoint has executed or begun to execute.
    struct execution {
        /// When the whole request had arrived.
        time_ms begun;
        /// When its answer was ready; nothing while the endpoint is at work.
        std::optional<time_ms> ended;
    };
    /// @brief Executions by all endpoints, by attempt id; the last one of an id.
    [[nodiscard]] std::map<std::string, execution> executions();
    /// @brief Time in ms that an endpoint takes for one request.
    std::atomic<int> service_ms{5};
    /// @brief Requests per second that endpoints name as their limit; 0 for none.
    std::atomic<double> named_limit{0};
    /// @brief Endpoints of this version answer failing_status after they have run a request.
    std::string failing_version;
    std::atomic<unsigned> failing_status{500};
    /// @brief Requests whose target contains this text fail in the same way at all endpoints.
    std::string failing_target;
    /// @brief Endpoints of this version take slow_factor times as long for every second request.
    std::string slow_version;
    std::atomic<int> slow_factor{1};
    /// @brief Length of what a failing endpoint adds to its answer.
    std::atomic<std::size_t> failing_extra_bytes{0};
    /// @brief What an endpoint says of itself in each answer.
    struct endpoint_word {
        /// Value of the header with which an endpoint says that it leaves; empty for none.
        std::string leaving;
        /// Retry-After of a 503 that says that the request was not run; empty for the usual answer.
        std::string pause;
    };
    void set_word(const std::string& id, const endpoint_word& word);
    /// @brief Attempt ids of the requests that an endpoint has executed or begun to execute.
    [[nodiscard]] std::set<std::string> executed_ids(const std::string& id);
    /// @brief Number of requests that have reached an endpoint, run or not.
    [[nodiscard]] int arrival_count(const std::string& id);

    [[nodiscard]] std::string caller_address(std::size_t vm) const { return address(vm, caller_port_offset); }
    [[nodiscard]] std::string ready_address(std::size_t vm) const { return address(vm, ready_port_offset); }
    [[nodiscard]] std::string peer_address(std::size_t vm) const { return address(vm, peer_port_offset); }
    [[nodiscard]] std::string lookup_address(std::size_t vm) const { return address(vm, lookup_port_offset); }
    child_process& vm_process(std::size_t index) { return *vms_.at(index); }
    void start_vm(std::size_t index);
    /// @brief Writes the settings file of a VM again with another grace; the VM reads it on SIGHUP.
    void change_grace(std::size_t index, time_ms grace);
    /// @brief Waits until the readiness check of every VM succeeds.
    /// @return False when one still fails after the default timeout of wait_until.
    bool wait_all_ready();

    /// @brief Configuration with the routes /read/ (idempotent) and /pay/ (not idempotent) on the service s,
    /// and the account ward.
    /// @param rate Requests per second and burst of the account.
    /// @param timeout Timeout of both routes.
    static std::string configuration(int version, const std::string& key, double rate = 0,
                                     time_ms timeout = time_ms{3000});

private:
    // Ports of a VM, relative to its first port.
    static constexpr int caller_port_offset = 0;
    static constexpr int ready_port_offset = 1;
    static constexpr int lookup_port_offset = 2;
    static constexpr int peer_port_offset = 3;

    [[nodiscard]] std::string address(std::size_t vm, int port_offset) const;
    std::filesystem::path write_settings(std::size_t vm) const;
    [[nodiscard]] std::string with_raw_specs(std::string text) const;
    boost::asio::awaitable<http_response> handle_store_request(http_request request);
    boost::asio::awaitable<http_response> answer_store_request(http_request request);
    boost::asio::awaitable<http_response> handle_endpoint_request(std::string id, std::string version,
                                                                  http_request request);
    http_response list_objects(const std::string& kind, const std::string& after);
    http_response read_object(const std::string& kind, const std::string& name);
    http_response list_events(const std::string& kind, std::uint64_t after_revision);

    /// @brief One write or deletion of an object.
    struct change_event {
        std::uint64_t revision = 0;
        Json::Value object;
        bool deleted = false;
    };
    std::mutex mutex_;
    /// @brief Objects of the store and the changes that watches can still get.
    struct store_content {
        std::uint64_t revision = 10;
        std::map<std::string, std::map<std::string, Json::Value>> objects;
        std::map<std::string, std::vector<change_event>> history;
    };
    std::uint64_t revision_ = 10;
    std::map<std::string, std::map<std::string, Json::Value>> objects_;
    std::map<std::string, std::vector<change_event>> history_;
    store_content copy_;
    std::uint64_t era_ = 1;
    std::map<std::string, int> execution_counts_;
    std::map<std::string, int> arrival_counts_;
    std::map<std::string, std::set<std::string>> executed_ids_;
    std::map<std::string, execution> executions_;
    std::map<std::string, endpoint_word> words_;
    // Texts that replace the specs of objects in answers, by the placeholder that stands for each.
    std::map<std::string, std::string> raw_specs_;

    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::unique_ptr<http_server> store_server_;
    std::unique_ptr<silencing_proxy> store_proxy_;
    std::vector<std::unique_ptr<http_server>> endpoints_;
    std::thread thread_;
    std::filesystem::path folder_;
    std::string host_;
    std::size_t vm_count_;
    time_ms grace_;
    vm_limits limits_;
    std::vector<std::unique_ptr<child_process>> vms_;
};

} // namespace lacewing::testing
