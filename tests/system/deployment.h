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

/// @brief Answer to one HTTP request as far as it arrived.
struct http_answer {
    /// 0 when no header arrived.
    unsigned status = 0;
    boost::beast::http::fields headers;
    std::string body;
    /// The whole body arrived as its framing announced it.
    bool complete = false;

    [[nodiscard]] std::string header(std::string_view name) const { return std::string(headers[name]); }
    [[nodiscard]] Json::Value json() const;
    /// @brief Field "error" of an error answer; empty for any other answer.
    [[nodiscard]] std::string error() const;
};

/// @brief Blocking TCP connection to one process, for requests that a proper client would not send.
class raw_connection {
public:
    /// @throws std::runtime_error when the connection is refused.
    explicit raw_connection(std::string_view address);
    ~raw_connection();
    raw_connection(raw_connection&& other) noexcept;
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    raw_connection& operator=(raw_connection&&) = delete;

    /// @brief Sends bytes; false when the peer has closed.
    bool send(std::string_view bytes) const;
    /// @brief Receives the next answer.
    http_answer receive(time_ms limit = {10'000});
    /// @brief Ends the connection with a reset.
    void reset();

private:
    int socket_ = -1;
    std::string buffer_;
};

/// @brief Text of one request with Content-Length.
std::string request_text(std::string_view method, std::string_view target, const header_list& headers = {},
                         std::string_view body = {});

/// @brief Sends one request over a new connection.
http_answer call(std::string_view address, std::string_view method, std::string_view target,
                 const header_list& headers = {}, std::string_view body = {}, time_ms limit = {10'000});

/// @brief Polls a condition; false when it does not hold within the limit.
bool wait_until(const std::function<bool()>& condition, time_ms limit = {10'000});

/// @brief Result of a program that ran to its end.
struct program_result {
    int status = -1;
    std::string out;
    std::string err;
};

/// @brief Child process whose output goes to a file. The destructor ends it with SIGKILL.
class child_process {
public:
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  std::filesystem::path log, const std::filesystem::path& input = "/dev/null");
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;

    [[nodiscard]] pid_t id() const { return id_; }
    /// @brief Sends a signal; after SIGSTOP the process has stopped when this returns.
    void signal(int number) const;
    /// @brief Waits for the end; the exit status, or nothing when it still runs or was ended by a signal.
    std::optional<int> wait(time_ms limit);
    /// @brief Ends the process with SIGKILL and waits for it.
    void kill();
    [[nodiscard]] std::string output() const;
    /// @brief A number of /proc/ID/status in kB, for example VmHWM.
    [[nodiscard]] std::int64_t status_kb(std::string_view field) const;

private:
    pid_t id_ = -1;
    std::filesystem::path log_;
};

struct deployment_options {
    /// Zone of each VM.
    std::vector<std::string> vm_zones{"north", "north", "south"};
    /// YAML with the sections plans, accounts and classes.
    std::string plans;
    /// Bytes of a request body that the first VM accepts; the others accept 256 MB.
    std::int64_t first_body_bytes = 1'048'576;
    /// Whether the processes of the VMs are started.
    bool start_vms = true;
};

/// @brief Store, endpoints and VMs as processes on one loopback address of their own, with free ports.
///
/// Routes: balance (idempotent), payments (once), scans (neither) and notices (open, idempotent), each with
/// two endpoints of 16 slots in each of the zones north and south.
class deployment {
public:
    explicit deployment(deployment_options options = {});
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;

    [[nodiscard]] std::size_t vm_count() const { return vms_.size(); }
    [[nodiscard]] const std::string& caller(std::size_t vm) const { return vms_[vm].caller; }
    [[nodiscard]] const std::string& operators(std::size_t vm) const { return vms_[vm].operators; }
    [[nodiscard]] const std::string& store() const { return store_address_; }
    [[nodiscard]] child_process& vm(std::size_t index) { return *vms_[index].process; }
    [[nodiscard]] const std::filesystem::path& folder() const { return folder_; }
    [[nodiscard]] std::string endpoint(std::string_view route, std::string_view zone,
                                       std::size_t number = 1) const;

    void start_vm(std::size_t index);
    /// @brief Waits until a VM answers /healthz with 200.
    bool wait_healthy(std::size_t index, time_ms limit = {15'000});
    /// @brief Waits until a VM answers a request on every keyed route with 200.
    bool wait_serving(std::size_t index, time_ms limit = {15'000});

    /// @brief Runs lacewingctl against the store and all VMs.
    [[nodiscard]] program_result ctl(const std::vector<std::string>& arguments,
                                     std::string_view input = {}) const;
    /// @brief Gives an account a new key that is in force on all VMs.
    [[nodiscard]] std::string give_key(const std::string& account) const;
    /// @brief Key of the account "office", which has a high rate on all routes.
    [[nodiscard]] const std::string& office_key() const { return office_key_; }

    /// @brief Request with a key to one VM.
    http_answer ask(std::size_t vm, std::string_view target, std::string_view key, header_list headers = {},
                    std::string_view method = "GET", std::string_view body = {},
                    time_ms limit = {10'000}) const;
    /// @brief Request id bound to a VM, from the lookup of `asked`.
    [[nodiscard]] std::string bound_id(std::size_t vm, std::size_t asked, std::string_view suffix) const;

    /// @brief Changes the behaviour of one endpoint, or of all when the address is empty.
    void behave(std::string_view change, std::string_view endpoint = {}) const;
    /// @brief Ends every injected behaviour and waits until all VMs use the endpoints again.
    bool recover();
    [[nodiscard]] Json::Value ledger(std::size_t first = 0) const;
    [[nodiscard]] Json::Value summary(std::string_view search = {}) const;
    [[nodiscard]] std::uint64_t executed() const;
    /// @brief Executions with a request id.
    [[nodiscard]] std::size_t executions_of(std::string_view request_id) const;

    void store_faults(std::string_view faults) const;
    /// @brief Value and revision of a stored object; revision 0 when absent.
    [[nodiscard]] Json::Value stored(std::string_view key) const;
    http_answer put(std::string_view key, const Json::Value& value, std::uint64_t expected) const;

    [[nodiscard]] Json::Value dump(std::size_t vm) const;
    /// @brief Writes a text file into the folder of the deployment.
    std::string write_file(std::string_view name, std::string_view text) const;
    [[nodiscard]] std::string topology() const;
    /// @brief Output of all processes so far.
    [[nodiscard]] std::string logs() const;

private:
    struct vm_place {
        std::string zone;
        std::string caller;
        std::string peer;
        std::string operators;
        std::unique_ptr<child_process> process;
    };

    void write_settings(std::size_t index) const;

    deployment_options options_;
    std::filesystem::path folder_;
    std::string host_;
    std::unique_ptr<child_process> store_;
    std::unique_ptr<child_process> endpoints_;
    std::string store_address_;
    std::string admin_;
    std::vector<std::string> endpoint_addresses_;
    std::vector<vm_place> vms_;
    std::string office_key_;
};

/// @brief Deployment shared by the tests that leave all of its processes running.
deployment& shared_deployment();

/// @brief Text of a JSON value without line breaks.
std::string to_text(const Json::Value& value);

} // namespace lacewing::testing
