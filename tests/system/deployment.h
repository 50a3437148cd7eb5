#pragma once

#include "state/time_ms.h"

#include <boost/beast/http.hpp>
#include <json/value.h>

#include <sys/types.h>

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewing::testing {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// @brief Answer to one HTTP request, as much of it as arrived.
struct http_answer {
    /// HTTP status code; 0 when no complete header arrived.
    unsigned status = 0;
    boost::beast::http::fields headers;
    std::string body;
    /// Whether the body arrived as long as its framing (Content-Length or chunks) declares.
    bool complete = false;

    [[nodiscard]] std::string header(std::string_view name) const { return std::string(headers[name]); }
    /// @brief Body as JSON; null when it is not valid JSON.
    [[nodiscard]] Json::Value json() const;
    /// @brief Field "error" of the JSON body; empty when there is none.
    [[nodiscard]] std::string error() const;
};

/// @brief Blocking TCP connection that sends arbitrary bytes, such as malformed or partial requests.
class raw_connection {
public:
    /// @param address "IPv4:port".
    /// @throws std::runtime_error when the connection fails.
    explicit raw_connection(std::string_view address);
    ~raw_connection();
    raw_connection(raw_connection&& other) noexcept;
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    raw_connection& operator=(raw_connection&&) = delete;

    /// @brief Sends all bytes.
    /// @return False when the peer has closed the connection.
    bool send(std::string_view bytes) const;
    /// @brief Receives the next answer; what has arrived of it when the timeout expires or the peer closes.
    http_answer receive(time_ms timeout = {10'000});
    /// @brief Closes the connection with a TCP reset.
    void reset();

private:
    int socket_ = -1;
    std::string buffer_;
};

/// @brief Builds the text of one HTTP/1.1 request; with Content-Length for POST, PUT and any body.
std::string request_text(std::string_view method, std::string_view target, const header_list& headers = {},
                         std::string_view body = {});

/// @brief Sends one request over a new connection.
/// @return The answer; status 0 when the connection fails or no answer arrives within the timeout.
http_answer send_request(std::string_view address, std::string_view method, std::string_view target,
                         const header_list& headers = {}, std::string_view body = {},
                         time_ms timeout = {10'000});

/// @brief Polls a condition every 10 ms.
/// @return False when the condition does not hold before the timeout.
bool wait_until(const std::function<bool()>& condition, time_ms timeout = {10'000});

/// @brief Exit status and output of a command-line program.
struct program_result {
    /// Exit status; -1 when the program timed out or was ended by a signal.
    int status = -1;
    std::string out;
    std::string err;
};

/// @brief Child process whose output goes to a file. The destructor ends it with SIGKILL.
class child_process {
public:
    /// @param log File to which standard output and standard error are appended. When its extension is
    /// ".out", standard error goes to the file with the extension ".err" instead.
    /// @param input File for standard input.
    /// @throws std::runtime_error when the program cannot be started.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  std::filesystem::path log, const std::filesystem::path& input = "/dev/null");
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;

    [[nodiscard]] pid_t id() const { return id_; }
    /// @brief Sends a signal. For SIGSTOP it returns once the process has stopped.
    void signal(int signal_number) const;
    /// @brief Waits for the process to end.
    /// @return Exit status, or nothing when the process still runs or was ended by a signal.
    std::optional<int> wait(time_ms timeout);
    /// @brief Whether the process has not ended.
    [[nodiscard]] bool running() const;
    /// @brief Ends the process with SIGKILL and waits for it.
    void kill();
    /// @brief Content of the log file.
    [[nodiscard]] std::string output() const;
    /// @brief Value in kB of a field of /proc/ID/status, for example VmHWM.
    /// @throws std::runtime_error when there is no such field.
    [[nodiscard]] std::int64_t status_kb(std::string_view field) const;

private:
    pid_t id_ = -1;
    std::filesystem::path log_;
};

struct deployment_options {
    /// Zone of each VM.
    std::vector<std::string> vm_zones{"north", "north", "south"};
    /// YAML with the sections plans, accounts and classes; empty for the default plans.
    std::string plans;
    /// Limit of the request body on the first VM; the others accept 256 MiB.
    std::int64_t first_vm_max_body_bytes = 1'048'576;
    /// Memory in the settings of the VMs in MB; 0 to leave it out.
    std::int64_t memory_mb = 0;
    /// Time from SIGTERM until the VMs have ended.
    time_ms stop_grace{30'000};
    /// Whether the constructor starts the VMs and waits until they serve requests.
    bool start_vms = true;
};

/// @brief Store, endpoints and VMs as processes on free ports of a separate loopback address.
///
/// Routes: balance (idempotent), payments (at most once), scans (neither) and notices (idempotent, needs no
/// key), each with two endpoints of 16 slots in each of the zones north and south.
class deployment {
public:
    /// @throws std::runtime_error when a process does not start or a VM does not serve requests.
    explicit deployment(deployment_options options = {});
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;

    [[nodiscard]] std::size_t vm_count() const { return vms_.size(); }
    [[nodiscard]] const std::string& caller_address(std::size_t vm) const { return vms_[vm].caller_address; }
    [[nodiscard]] const std::string& operator_address(std::size_t vm) const {
        return vms_[vm].operator_address;
    }
    [[nodiscard]] const std::string& store_address() const { return store_address_; }
    [[nodiscard]] child_process& vm_process(std::size_t index) { return *vms_[index].process; }
    [[nodiscard]] const std::filesystem::path& folder() const { return folder_; }
    /// @param number Number of the endpoint within its route and zone, starting at 1.
    [[nodiscard]] std::string endpoint_address(std::string_view route, std::string_view zone,
                                               std::size_t number = 1) const;

    void start_vm(std::size_t index);
    /// @brief Waits until a VM answers /healthz with 200.
    bool wait_healthy(std::size_t index, time_ms timeout = {15'000});
    /// @brief Waits until a VM serves every route: balance, scans and notices answer 200, and payments
    /// answers without the error no_capacity.
    bool wait_serving(std::size_t index, time_ms timeout = {15'000});

    /// @brief Runs lacewingctl with the addresses of the store and of all VMs.
    /// @param input Text for standard input.
    [[nodiscard]] program_result run_lacewingctl(const std::vector<std::string>& arguments,
                                                 std::string_view input = {}) const;
    /// @brief Gives an account a new key and waits until it is in force on all VMs.
    /// @return The key.
    [[nodiscard]] std::string give_key(const std::string& account) const;
    /// @brief Key of the account "office", whose plan has a high rate.
    [[nodiscard]] const std::string& office_key() const { return office_key_; }

    /// @brief Sends a request to one VM, with a key unless it is empty.
    http_answer send_to_vm(std::size_t vm, std::string_view target, std::string_view key,
                           header_list headers = {}, std::string_view method = "GET",
                           std::string_view body = {}, time_ms timeout = {10'000}) const;
    /// @brief Builds a request id that is bound to a VM, so that only this VM may execute the request.
    /// @param lookup_vm VM whose lookup /v1/entry gives the id prefix.
    /// @return Id, empty when the lookup does not list the VM.
    [[nodiscard]] std::string bound_request_id(std::size_t vm, std::size_t lookup_vm,
                                               std::string_view suffix) const;

    /// @brief Changes the behaviour of one endpoint, or of all endpoints when the address is empty.
    /// @param behaviour JSON object with the fields to change.
    void set_endpoint_behaviour(std::string_view behaviour, std::string_view address = {}) const;
    /// @brief Ends the injected faults of all endpoints, restores their slots and service time, and waits
    /// until all VMs serve every route again.
    /// @return False when a VM does not.
    bool reset_endpoint_behaviour();
    /// @brief Executions that the endpoints recorded, starting at index `first`.
    [[nodiscard]] Json::Value ledger(std::size_t first = 0) const;
    /// @brief Counters of the endpoints. With a search text, the field "found" counts the received targets,
    /// header lines and request ids that contain it.
    [[nodiscard]] Json::Value summary(std::string_view search = {}) const;
    /// @brief Number of requests that the endpoints have executed or begun to execute.
    [[nodiscard]] std::uint64_t execution_count() const;
    /// @brief Number of executions of requests with this id.
    [[nodiscard]] std::size_t executions_of(std::string_view request_id) const;

    /// @brief Injects faults into the store.
    /// @param faults JSON object with the fields to change.
    void set_store_faults(std::string_view faults) const;
    /// @brief Reads the value and revision of a stored object; revision 0 when it is absent.
    [[nodiscard]] Json::Value read_object(std::string_view key) const;
    /// @brief Writes an object, bypassing lacewingctl, if its revision is still the expected one.
    http_answer write_object(std::string_view key, const Json::Value& value,
                             std::uint64_t expected_revision) const;

    /// @brief Internal state of a VM, from its operator interface.
    [[nodiscard]] Json::Value dump(std::size_t vm) const;
    /// @brief Writes a text file into the folder of the deployment.
    /// @return Path of the file.
    std::string write_file(std::string_view name, std::string_view text) const;
    /// @brief YAML with the regions, zones and routes.
    [[nodiscard]] std::string topology() const;
    /// @brief Last part of the output of each process.
    [[nodiscard]] std::string logs() const;

private:
    struct vm_instance {
        std::string zone;
        std::string caller_address;
        std::string peer_address;
        std::string operator_address;
        std::unique_ptr<child_process> process;
    };

    void write_settings(std::size_t index) const;

    deployment_options options_;
    std::filesystem::path folder_;
    std::string host_;
    std::unique_ptr<child_process> store_;
    std::unique_ptr<child_process> endpoints_;
    std::string store_address_;
    std::string endpoint_admin_address_;
    std::vector<std::string> endpoint_addresses_;
    std::vector<vm_instance> vms_;
    std::string office_key_;
};

/// @brief Deployment shared by the tests that stop none of its processes; started on first use.
deployment& shared_deployment();

/// @brief Serializes a JSON value on one line.
std::string to_text(const Json::Value& value);

} // namespace lacewing::testing
