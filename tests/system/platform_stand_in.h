#pragma once

#include "deployment.h"

#include "transport/http_server.h"

#include <boost/asio.hpp>
#include <json/value.h>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lacewing::testing {

/// @brief The platform's store and some endpoints, in this process, and VMs as processes of their own.
class platform_stand_in {
public:
    /// @param vm_count VMs in the zones north and south of one region, by turns.
    explicit platform_stand_in(std::size_t vm_count);
    ~platform_stand_in();
    platform_stand_in(const platform_stand_in&) = delete;
    platform_stand_in& operator=(const platform_stand_in&) = delete;
    platform_stand_in(platform_stand_in&&) = delete;
    platform_stand_in& operator=(platform_stand_in&&) = delete;

    /// @brief Writes an object as its owner would.
    void put(const std::string& kind, const std::string& name, const std::string& spec);
    void erase(const std::string& kind, const std::string& name);
    /// @brief State of a version move, empty when none was written.
    [[nodiscard]] std::string move_state(const std::string& service);
    /// @brief While set, the store answers no call.
    std::atomic<bool> store_down{false};

    /// @brief Starts an endpoint and registers it.
    void add_endpoint(const std::string& id, const std::string& service, const std::string& version = "v1");
    /// @brief Requests that an endpoint has executed so far.
    [[nodiscard]] int executions(const std::string& id);
    /// @brief Time that endpoints take for one request.
    std::atomic<int> service_ms{5};
    /// @brief Endpoints of this version answer 500.
    std::string failing_version;

    [[nodiscard]] std::string caller(std::size_t vm) const { return address(vm, 0); }
    [[nodiscard]] std::string readiness(std::size_t vm) const { return address(vm, 1); }
    [[nodiscard]] std::string lookup(std::size_t vm) const { return address(vm, 2); }
    child_process& vm(std::size_t index) { return *vms_.at(index); }
    void start_vm(std::size_t index);
    /// @brief Waits until all VMs are ready.
    bool all_ready();

    /// @brief Configuration with the routes /read/ (idempotent) and /pay/ on service s, and one account.
    static std::string configuration(int version, const std::string& key, double rate = 0);

private:
    [[nodiscard]] std::string address(std::size_t vm, int part) const;
    boost::asio::awaitable<http_response> store(http_request request);
    boost::asio::awaitable<http_response> endpoint(std::string id, std::string version, http_request request);
    http_response list(const std::string& kind);
    http_response events(const std::string& kind, std::uint64_t after);

    struct stored {
        std::uint64_t revision = 0;
        Json::Value object;
        bool deleted = false;
    };
    std::mutex mutex_;
    std::uint64_t revision_ = 10;
    std::map<std::string, std::map<std::string, Json::Value>> objects_;
    std::map<std::string, std::vector<stored>> history_;
    std::map<std::string, int> executions_;

    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::unique_ptr<http_server> store_server_;
    std::vector<std::unique_ptr<http_server>> endpoints_;
    std::thread thread_;
    std::filesystem::path folder_;
    std::string host_;
    std::size_t vm_count_;
    std::vector<std::unique_ptr<child_process>> vms_;
};

} // namespace lacewing::testing
