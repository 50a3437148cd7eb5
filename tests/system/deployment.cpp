#include "deployment.h"

#include "protocol/growing_body.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <json/reader.h>
#include <json/writer.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <fstream>
#include <limits>
#include <sstream>
#include <stdexcept>
#include <thread>

extern char** environ; // NOLINT(readability-redundant-declaration)

namespace lacewing::testing {

namespace http = boost::beast::http;
using clock = std::chrono::steady_clock;

namespace {

constexpr std::array<std::string_view, 4> route_names{"balance", "payments", "scans", "notices"};
constexpr std::array<std::string_view, 2> zone_names{"north", "south"};
constexpr std::size_t endpoints_per_zone = 2;
constexpr std::size_t endpoint_count = route_names.size() * zone_names.size() * endpoints_per_zone;
constexpr std::size_t log_tail_bytes = 6000;

constexpr std::string_view default_plans = R"(
plans:
  - {name: wide, rate: 20000/s, burst: 20000, weight: 4, routes: [balance, payments, scans]}
  - {name: narrow, rate: 20000/s, burst: 20000, routes: [balance]}
accounts:
  - {name: office, plan: wide}
  - {name: fitter, plan: wide}
  - {name: guest, plan: narrow}
classes: []
)";

std::string read_text(const std::filesystem::path& file) {
    std::ifstream in(file, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

sockaddr_in to_sockaddr(std::string_view address) {
    const auto colon = address.rfind(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(std::string(address.substr(colon + 1)))));
    if (inet_pton(AF_INET, std::string(address.substr(0, colon)).c_str(), &parsed.sin_addr) != 1)
        throw std::runtime_error("malformed address " + std::string(address));
    return parsed;
}

// Returns a different loopback address for each deployment. Outgoing connections of other processes use
// 127.0.0.1 as source address, so they cannot occupy the ports of this address.
std::string next_loopback_host() {
    static std::atomic<unsigned> count{0};
    const auto id = static_cast<unsigned>(getpid());
    return fmt::format("127.{}.{}.{}", 16 + id / 250 % 200, 1 + id % 250, 1 + count++ % 250);
}

// Finds free ports. All sockets stay bound until the last port is known, so that the ports differ.
std::vector<std::string> find_free_addresses(const std::string& host, std::size_t count) {
    std::vector<int> sockets;
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < count; ++i) {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = to_sockaddr(host + ":0");
        socklen_t size = sizeof(address);
        if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
            getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            throw std::runtime_error("cannot bind a free port on " + host);
        sockets.push_back(descriptor);
        addresses.push_back(fmt::format("{}:{}", host, ntohs(address.sin_port)));
    }
    for (const int descriptor : sockets)
        close(descriptor);
    return addresses;
}

std::string program_path(std::string_view name) {
    return fmt::format("{}/{}", LACEWING_BINARY_DIR, name);
}

// Returns the values of all lines "NAME VALUE" with this name that a process has printed.
std::vector<std::string> printed_values(const child_process& process, std::string_view name) {
    std::istringstream lines(process.output());
    std::vector<std::string> values;
    std::string word;
    std::string value;
    while (lines >> word >> value) {
        if (word == name) values.push_back(value);
    }
    return values;
}

std::vector<std::string> wait_for_printed_values(const child_process& process, std::string_view name,
                                                 std::size_t count) {
    std::vector<std::string> values;
    const bool done = wait_until([&] {
        values = printed_values(process, name);
        return values.size() >= count;
    });
    if (!done) throw std::runtime_error("a process did not report its start; output: " + process.output());
    return values;
}

// Logs of the deployments that were destroyed during the current test case.
std::string& logs_of_ended_deployments() {
    static std::string text;
    return text;
}

std::vector<deployment*>& running_deployments() {
    static std::vector<deployment*> all;
    return all;
}

// Prints the logs of all processes after a failed test case.
struct log_printer : doctest::IReporter {
    explicit log_printer(const doctest::ContextOptions&) {}
    void report_query(const doctest::QueryData&) override {}
    void test_run_start() override {}
    void test_run_end(const doctest::TestRunStats&) override {}
    void test_case_start(const doctest::TestCaseData&) override { logs_of_ended_deployments().clear(); }
    void test_case_reenter(const doctest::TestCaseData&) override {}
    void test_case_end(const doctest::CurrentTestCaseStats& result) override {
        if (result.failure_flags == 0) return;
        fmt::print(stderr, "{}", logs_of_ended_deployments());
        for (const auto* running : running_deployments())
            fmt::print(stderr, "{}", running->logs());
    }
    void test_case_exception(const doctest::TestCaseException&) override {}
    void subcase_start(const doctest::SubcaseSignature&) override {}
    void subcase_end() override {}
    void log_assert(const doctest::AssertData&) override {}
    void log_message(const doctest::MessageData&) override {}
    void test_case_skipped(const doctest::TestCaseData&) override {}
};

REGISTER_LISTENER("process logs", 1, log_printer);

} // namespace

std::string to_text(const Json::Value& value) {
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

Json::Value http_answer::json() const {
    Json::Value value;
    std::istringstream in(body);
    std::string parse_error;
    if (!Json::parseFromStream(Json::CharReaderBuilder(), in, &value, &parse_error)) return {};
    return value;
}

std::string http_answer::error() const {
    const auto value = json();
    return value.isObject() ? value["error"].asString() : std::string();
}

raw_connection::raw_connection(std::string_view address)
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const auto target = to_sockaddr(address);
    if (connect(socket_, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
        close(socket_);
        throw std::runtime_error(fmt::format("connect to {} failed", address));
    }
}

raw_connection::~raw_connection() {
    if (socket_ >= 0) close(socket_);
}

raw_connection::raw_connection(raw_connection&& other) noexcept
    : socket_(std::exchange(other.socket_, -1)), buffer_(std::move(other.buffer_)) {}

bool raw_connection::send(std::string_view bytes) const {
    while (!bytes.empty()) {
        const auto count = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) continue;
        if (count <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

void raw_connection::reset() {
    const linger reset_on_close{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
    close(std::exchange(socket_, -1));
}

http_answer raw_connection::receive(time_ms timeout) {
    // Its memory follows the bytes that arrive, also when more are announced than there is memory.
    http::response_parser<growing_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    parser.header_limit(64 * 1024);
    parser.eager(true);
    const auto end = clock::now() + std::chrono::milliseconds(timeout.count);
    boost::system::error_code failure;
    std::array<char, 65536> chunk{};
    while (!parser.is_done()) {
        if (!buffer_.empty()) {
            const auto used = parser.put(boost::asio::buffer(buffer_), failure);
            buffer_.erase(0, used);
            if (failure && failure != http::error::need_more) break;
            if (used > 0) continue;
        }
        const auto remaining_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(end - clock::now()).count();
        pollfd waiting{socket_, POLLIN, 0};
        if (remaining_ms <= 0 || poll(&waiting, 1, static_cast<int>(remaining_ms)) <= 0) break;
        const auto count = recv(socket_, chunk.data(), chunk.size(), 0);
        if (count <= 0) {
            if (count == 0 && parser.is_header_done()) parser.put_eof(failure);
            break;
        }
        buffer_.append(chunk.data(), static_cast<std::size_t>(count));
    }
    http_answer answer;
    if (!parser.is_header_done()) return answer;
    answer.status = parser.get().result_int();
    answer.headers = parser.get().base();
    answer.complete = parser.is_done() && !failure;
    answer.body = parser.get().body();
    return answer;
}

std::string request_text(std::string_view method, std::string_view target, const header_list& headers,
                         std::string_view body) {
    auto text = fmt::format("{} {} HTTP/1.1\r\nHost: lacewingplank\r\n", method, target);
    for (const auto& [name, value] : headers)
        text += fmt::format("{}: {}\r\n", name, value);
    if (!body.empty() || method == "POST" || method == "PUT")
        text += fmt::format("Content-Length: {}\r\n", body.size());
    return text.append("\r\n").append(body);
}

http_answer send_request(std::string_view address, std::string_view method, std::string_view target,
                         const header_list& headers, std::string_view body, time_ms timeout) {
    try {
        raw_connection connection(address);
        connection.send(request_text(method, target, headers, body));
        return connection.receive(timeout);
    } catch (const std::runtime_error&) {
        return {};
    }
}

bool wait_until(const std::function<bool()>& condition, time_ms timeout) {
    const auto end = clock::now() + std::chrono::milliseconds(timeout.count);
    while (!condition()) {
        if (clock::now() >= end) return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             std::filesystem::path log, const std::filesystem::path& input)
    : log_(std::move(log)) {
    std::vector<char*> values{const_cast<char*>(program.c_str())};
    for (const auto& argument : arguments)
        values.push_back(const_cast<char*>(argument.c_str()));
    values.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 0, input.c_str(), O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&files, 1, log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    // Tests of command-line programs read standard output and standard error separately.
    const auto errors =
        log_.extension() == ".out" ? std::filesystem::path(log_).replace_extension(".err") : log_;
    posix_spawn_file_actions_addopen(&files, 2, errors.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    const int failure = posix_spawn(&id_, program.c_str(), &files, nullptr, values.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (failure != 0) throw std::runtime_error(fmt::format("cannot start {}: error {}", program, failure));
}

child_process::~child_process() {
    kill();
}

void child_process::signal(int signal_number) const {
    if (id_ <= 0) return;
    ::kill(id_, signal_number);
    // The signal takes effect asynchronously; waitpid returns once all threads have stopped.
    if (signal_number == SIGSTOP) waitpid(id_, nullptr, WUNTRACED);
}

std::optional<int> child_process::wait(time_ms timeout) {
    int status = 0;
    const bool ended = id_ > 0 && wait_until([&] { return waitpid(id_, &status, WNOHANG) == id_; }, timeout);
    if (!ended) return std::nullopt;
    id_ = -1;
    if (!WIFEXITED(status)) return std::nullopt;
    return WEXITSTATUS(status);
}

bool child_process::running() const {
    siginfo_t info{};
    return ::waitid(P_PID, static_cast<id_t>(id_), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid == 0;
}

void child_process::kill() {
    if (id_ <= 0) return;
    ::kill(id_, SIGKILL);
    waitpid(std::exchange(id_, -1), nullptr, 0);
}

std::string child_process::output() const {
    return read_text(log_);
}

std::int64_t child_process::status_kb(std::string_view field) const {
    std::istringstream lines(read_text(fmt::format("/proc/{}/status", id_)));
    std::string line;
    while (std::getline(lines, line)) {
        if (line.starts_with(field)) return std::stoll(line.substr(line.find(':') + 1));
    }
    throw std::runtime_error(fmt::format("/proc/{}/status has no field {}", id_, field));
}

deployment::deployment(deployment_options options)
    : options_(std::move(options)), host_(next_loopback_host()) {
    std::string pattern = (std::filesystem::temp_directory_path() / "lacewing-system-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary folder from " + pattern);
    folder_ = pattern;
    running_deployments().push_back(this);
    store_ = std::make_unique<child_process>(program_path("fake_store"),
                                             std::vector<std::string>{"--listen", host_ + ":0"},
                                             folder_ / "store.log");
    endpoints_ = std::make_unique<child_process>(
        program_path("fake_endpoint"),
        std::vector<std::string>{"--host", host_, "--admin", host_ + ":0", "--slots", "16", "--count",
                                 std::to_string(endpoint_count)},
        folder_ / "endpoints.log");
    store_address_ = wait_for_printed_values(*store_, "listening", 1).front();
    endpoint_addresses_ = wait_for_printed_values(*endpoints_, "listening", endpoint_count);
    endpoint_admin_address_ = wait_for_printed_values(*endpoints_, "admin", 1).front();

    const auto addresses = find_free_addresses(host_, options_.vm_zones.size() * 3);
    for (std::size_t i = 0; i < options_.vm_zones.size(); ++i) {
        vms_.push_back(
            {options_.vm_zones[i], addresses[3 * i], addresses[3 * i + 1], addresses[3 * i + 2], {}});
    }
    const auto plans = options_.plans.empty() ? std::string(default_plans) : options_.plans;
    const auto applied = run_lacewingctl(
        {"apply", "--wait", "0", write_file("topology.yaml", topology()), write_file("plans.yaml", plans)});
    if (applied.status != 0 && applied.status != 5) throw std::runtime_error(applied.err + applied.out);
    const auto key_output = run_lacewingctl({"keys", "give", "office", "--wait", "0"});
    office_key_ = key_output.out.substr(0, key_output.out.find('\n'));
    if (!options_.start_vms) return;
    for (std::size_t i = 0; i < vms_.size(); ++i)
        start_vm(i);
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        if (!wait_healthy(i) || !wait_serving(i))
            throw std::runtime_error(fmt::format("VM {} does not serve requests", i + 1));
    }
}

deployment::~deployment() {
    // The VMs end first, so that they never run without the store.
    for (auto& vm : vms_)
        vm.process.reset();
    logs_of_ended_deployments() += logs();
    endpoints_.reset();
    store_.reset();
    std::erase(running_deployments(), this);
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::string deployment::endpoint_address(std::string_view route, std::string_view zone,
                                         std::size_t number) const {
    const auto row = std::find(route_names.begin(), route_names.end(), route) - route_names.begin();
    const auto column = std::find(zone_names.begin(), zone_names.end(), zone) - zone_names.begin();
    const auto group = static_cast<std::size_t>(row) * zone_names.size() + static_cast<std::size_t>(column);
    return endpoint_addresses_.at(group * endpoints_per_zone + number - 1);
}

std::string deployment::topology() const {
    std::string text = "regions:\n  - {name: centre, capacity: 256}\nzones:\n"
                       "  - {name: north, region: centre}\n  - {name: south, region: centre}\n"
                       "links: []\nroutes:\n";
    constexpr std::array<std::string_view, 4> flags{"idempotent: true", "once: true", "idempotent: false",
                                                    "open: true\n    idempotent: true"};
    for (std::size_t i = 0; i < route_names.size(); ++i) {
        text += fmt::format("  - name: {}\n    {}\n    endpoints:\n", route_names[i], flags[i]);
        for (const auto zone : zone_names) {
            for (std::size_t number = 1; number <= endpoints_per_zone; ++number) {
                text += fmt::format("      - {{name: {}-{}-{}, zone: {}, address: \"{}\", slots: 16, "
                                    "connections: 400}}\n",
                                    route_names[i], zone, number, zone,
                                    endpoint_address(route_names[i], zone, number));
            }
        }
    }
    return text;
}

std::string deployment::write_file(std::string_view name, std::string_view text) const {
    const auto file = folder_ / name;
    std::ofstream(file, std::ios::binary) << text;
    return file.string();
}

void deployment::write_settings(std::size_t index) const {
    const auto& vm = vms_[index];
    std::string seeds;
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        if (i != index) seeds += fmt::format("{}\"{}\"", seeds.empty() ? "" : ", ", vms_[i].peer_address);
    }
    write_file(
        fmt::format("vm-{}.yaml", index + 1),
        fmt::format("vm: vm-{}\nzone: {}\ncaller_listen: {}\npeer_listen: {}\noperator_listen: {}\n"
                    "store: {}\nseeds: [{}]\nlimits:\n  header_bytes: 16384\n"
                    "  header_timeout_ms: 1000ms\n  body_bytes: {}\n  stop_grace_ms: {}\n",
                    index + 1, vm.zone, vm.caller_address, vm.peer_address, vm.operator_address,
                    store_address_, seeds, index == 0 ? options_.first_vm_max_body_bytes : 268'435'456,
                    options_.stop_grace.count) +
            (options_.memory_mb == 0 ? std::string() : fmt::format("  memory_mb: {}\n", options_.memory_mb)));
}

void deployment::start_vm(std::size_t index) {
    write_settings(index);
    const auto name = fmt::format("vm-{}", index + 1);
    vms_[index].process = std::make_unique<child_process>(
        program_path("lacewingd"),
        std::vector<std::string>{"--settings", (folder_ / (name + ".yaml")).string()},
        folder_ / (name + ".log"));
}

bool deployment::wait_healthy(std::size_t index, time_ms timeout) {
    return wait_until([&] { return send_request(operator_address(index), "GET", "/healthz").status == 200; },
                      timeout);
}

bool deployment::wait_serving(std::size_t index, time_ms timeout) {
    return wait_until(
        [&] {
            return send_to_vm(index, "/r/balance/ready", office_key_).status == 200 &&
                   send_to_vm(index, "/r/scans/ready", office_key_).status == 200 &&
                   send_to_vm(index, "/r/notices/ready", {}).status == 200 &&
                   send_to_vm(index, "/r/payments/ready", office_key_,
                              {{"X-Request-Id", bound_request_id(index, index, fmt::format("{}", getpid()))}})
                           .error() != "no_capacity";
        },
        timeout);
}

program_result deployment::run_lacewingctl(const std::vector<std::string>& arguments,
                                           std::string_view input) const {
    static std::atomic<int> count{0};
    const auto number = count++;
    std::vector<std::string> all_arguments{"--store", store_address_, "--as", "tester"};
    for (const auto& vm : vms_) {
        all_arguments.emplace_back("--vm");
        all_arguments.push_back(vm.operator_address);
    }
    all_arguments.insert(all_arguments.end(), arguments.begin(), arguments.end());
    const auto in = write_file(fmt::format("ctl-{}.in", number), input);
    const auto out = folder_ / fmt::format("ctl-{}.out", number);
    child_process process(program_path("lacewingctl"), all_arguments, out, in);
    program_result result;
    result.status = process.wait({20'000}).value_or(-1);
    result.out = read_text(out);
    result.err = read_text(std::filesystem::path(out).replace_extension(".err"));
    return result;
}

std::string deployment::give_key(const std::string& account) const {
    const auto key_output = run_lacewingctl({"keys", "give", account});
    if (key_output.status != 0) throw std::runtime_error(key_output.err + key_output.out);
    return key_output.out.substr(0, key_output.out.find('\n'));
}

http_answer deployment::send_to_vm(std::size_t vm, std::string_view target, std::string_view key,
                                   header_list headers, std::string_view method, std::string_view body,
                                   time_ms timeout) const {
    if (!key.empty()) headers.emplace_back("Authorization", fmt::format("Bearer {}", key));
    return send_request(caller_address(vm), method, target, headers, body, timeout);
}

std::string deployment::bound_request_id(std::size_t vm, std::size_t lookup_vm,
                                         std::string_view suffix) const {
    const auto answer = send_request(caller_address(lookup_vm), "GET", "/v1/entry").json();
    if (!answer.isObject()) return {};
    for (const auto& entry : answer["vms"]) {
        if (entry["address"].asString() == caller_address(vm))
            return fmt::format("{}-{}", entry["id_prefix"].asString(), suffix);
    }
    return {};
}

void deployment::set_endpoint_behaviour(std::string_view behaviour, std::string_view address) const {
    std::string body(behaviour);
    if (!address.empty()) body.insert(1, fmt::format(R"("endpoint":"{}",)", address));
    const auto answer = send_request(endpoint_admin_address_, "POST", "/admin/behaviour", {}, body);
    if (answer.status != 200)
        throw std::runtime_error(fmt::format("endpoint behaviour {} rejected: {}", body, answer.body));
}

bool deployment::reset_endpoint_behaviour() {
    set_endpoint_behaviour(
        R"({"answer_fault":"none","answer_fraction":1,"draining":false,"service_ms":2,"slots":16,)"
        R"("padding":0,"fail_fraction":0,"refuse_on_accept":false})");
    bool serving = true;
    for (std::size_t i = 0; i < vms_.size(); ++i)
        serving = serving && wait_serving(i);
    return serving;
}

Json::Value deployment::ledger(std::size_t first) const {
    return send_request(endpoint_admin_address_, "GET", fmt::format("/admin/ledger?first={}", first)).json();
}

Json::Value deployment::summary(std::string_view search) const {
    const auto target =
        search.empty() ? std::string("/admin/summary") : fmt::format("/admin/summary?search={}", search);
    return send_request(endpoint_admin_address_, "GET", target).json();
}

std::uint64_t deployment::execution_count() const {
    return summary()["executed"].asUInt64();
}

std::size_t deployment::executions_of(std::string_view request_id) const {
    std::size_t count = 0;
    const auto all = ledger();
    for (const auto& entry : all["executions"])
        count += entry["request_id"].asString() == request_id ? 1 : 0;
    return count;
}

void deployment::set_store_faults(std::string_view faults) const {
    if (send_request(store_address_, "POST", "/admin/faults", {}, faults).status != 200)
        throw std::runtime_error(fmt::format("store faults {} rejected", faults));
}

Json::Value deployment::read_object(std::string_view key) const {
    const auto answer = send_request(store_address_, "GET", fmt::format("/v1/objects/{}", key));
    if (answer.status == 200) return answer.json();
    Json::Value absent;
    absent["revision"] = 0;
    return absent;
}

http_answer deployment::write_object(std::string_view key, const Json::Value& value,
                                     std::uint64_t expected_revision) const {
    return send_request(store_address_, "PUT", fmt::format("/v1/objects/{}", key),
                        {{"If-Match", std::to_string(expected_revision)}}, to_text(value));
}

Json::Value deployment::dump(std::size_t vm) const {
    return send_request(operator_address(vm), "GET", "/dump").json();
}

std::string deployment::logs() const {
    std::string text;
    for (const auto& entry : std::filesystem::directory_iterator(folder_)) {
        if (entry.path().extension() != ".log") continue;
        auto log = read_text(entry.path());
        if (log.size() > log_tail_bytes) log.erase(0, log.size() - log_tail_bytes);
        text += fmt::format("--- {}\n{}", entry.path().filename().string(), log);
    }
    return text;
}

deployment& shared_deployment() {
    static deployment shared;
    return shared;
}

} // namespace lacewing::testing
