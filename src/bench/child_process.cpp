#include "bench/child_process.h"

#include "transport/ip_address.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <array>
#include <atomic>
#include <csignal>
#include <ctime>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace lacewing::bench {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

// Maximum number of processes that one experiment may run at a time.
constexpr std::size_t max_children = 160;
constexpr std::chrono::seconds receive_timeout{10};

// Process ids for the signal handler; 0 marks a free slot.
std::array<std::atomic<pid_t>, max_children> running_children{};

bool add_running(pid_t pid) {
    for (auto& slot : running_children) {
        pid_t free = 0;
        if (slot.compare_exchange_strong(free, pid)) return true;
    }
    return false;
}

void remove_running(pid_t pid) {
    for (auto& slot : running_children) {
        pid_t expected = pid;
        if (slot.compare_exchange_strong(expected, 0)) return;
    }
}

void kill_running(int) {
    for (const auto& slot : running_children) {
        if (const auto pid = slot.load(); pid != 0) ::kill(pid, SIGKILL);
    }
    std::_Exit(1);
}

} // namespace

void kill_children_on_signal() {
    std::signal(SIGINT, kill_running);
    std::signal(SIGTERM, kill_running);
}

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::filesystem::path& log) {
    const auto path = std::filesystem::read_symlink("/proc/self/exe").parent_path() / program;
    std::vector<std::string> argument_texts{path.string()};
    argument_texts.insert(argument_texts.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(argument_texts.size() + 1);
    for (auto& word : argument_texts)
        argv.push_back(word.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    const auto status = posix_spawn(&pid_, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (status != 0) throw std::runtime_error(path.string() + " cannot be started");
    if (add_running(pid_)) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    throw std::runtime_error("too many processes");
}

child_process::~child_process() {
    if (pid_ == 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    remove_running(pid_);
}

child_process::child_process(child_process&& other) noexcept : pid_(std::exchange(other.pid_, 0)) {}

double child_process::cpu_ms() const {
    clockid_t clock{};
    timespec used{};
    if (clock_getcpuclockid(pid_, &clock) != 0 || clock_gettime(clock, &used) != 0)
        throw std::runtime_error("a process has ended");
    return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) / 1e6;
}

double child_process::memory_bytes(std::string_view field) const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(in, line)) {
        if (line.starts_with(field) && line[field.size()] == ':') {
            return std::stod(line.substr(field.size() + 1)) * 1024;
        }
    }
    return 0;
}

struct blocking_client::connection {
    std::string address;
    asio::io_context context;
    asio::ip::tcp::socket socket{context};
    beast::flat_buffer buffer;
};

blocking_client::blocking_client(const std::string& address) : connection_(std::make_unique<connection>()) {
    connection_->address = address;
}

blocking_client::~blocking_client() = default;
blocking_client::blocking_client(blocking_client&&) noexcept = default;

std::optional<blocking_client::answer> blocking_client::call(std::string_view method, std::string_view target,
                                                             std::string_view body,
                                                             std::optional<std::uint64_t> if_match) {
    auto& current = *connection_;
    boost::system::error_code error;
    if (!current.socket.is_open()) {
        current.buffer.clear();
        current.socket.connect(parse_socket_address(current.address), error);
        const timeval limit{receive_timeout.count(), 0};
        ::setsockopt(current.socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }
    http::request<http::string_body> request{http::string_to_verb(method), target, 11};
    request.set(http::field::host, current.address);
    if (if_match) request.set(http::field::if_match, std::to_string(*if_match));
    request.body() = body;
    request.prepare_payload();
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::uint64_t{1} << 30U);
    if (!error) http::write(current.socket, request, error);
    if (!error) http::read(current.socket, current.buffer, parser, error);
    if (error || !parser.get().keep_alive()) {
        boost::system::error_code ignored;
        current.socket.close(ignored);
    }
    if (error) return std::nullopt;
    return answer{parser.get().result_int(), std::move(parser.get().body())};
}

} // namespace lacewing::bench
