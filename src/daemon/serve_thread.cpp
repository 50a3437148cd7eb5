#include "daemon/serve_thread.h"

#include "daemon/request_path.h"
#include "transport/detached.h"
#include "transport/ip_address.h"
#include "transport/log.h"
#include "transport/monotonic_clock.h"

#include <sys/resource.h>

#include <algorithm>
#include <limits>

namespace lacewing {

namespace asio = boost::asio;

namespace {

constexpr std::size_t input_ring_capacity = 4096;
constexpr std::chrono::milliseconds tick_interval{5};
// Without requests in flight, ticks mostly check the timeouts of peers and of idle connections, which are
// 500 ms or longer.
constexpr std::chrono::milliseconds idle_tick_interval{50};
constexpr int accept_backlog = 1024; // connections
// Pause after a failed accept.
constexpr time_ms accept_retry_delay{10};
// Share of the file descriptors that callers may use; the others are for endpoints, peers and the store.
constexpr double caller_descriptor_share = 0.75;
// At the limit of connections, an unfinished request that has stood still for this long gives way to a new
// connection.
constexpr time_ms min_stall_before_eviction{1'000};

// Number of file descriptors that callers may use.
std::size_t caller_descriptors() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<std::size_t>::max();
    return static_cast<std::size_t>(static_cast<double>(limit.rlim_cur) * caller_descriptor_share);
}

} // namespace

serve_thread::serve_thread(const process_settings& settings, const peer_id& self, std::uint64_t seed,
                           prometheus::Registry& registry)
    : state_(context_, settings, self, seed, registry,
             [this](control_input message) { send_to_control(std::move(message)); }),
      input_(input_ring_capacity, context_, [this](serve_input input) {
          std::visit([this](const auto& event) { state_.apply(event); }, input);
      }) {
    const auto address = parse_socket_address(settings.caller_listen);
    acceptor_.open(address.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(address);
    acceptor_.listen(accept_backlog);
    caller_address_ = to_string(acceptor_.local_endpoint());
}

serve_thread::~serve_thread() {
    stop();
}

void serve_thread::start() {
    asio::co_spawn(context_, accept_callers(), asio::detached);
    asio::co_spawn(context_, tick_loop(), asio::detached);
    thread_ = std::thread([this] { run_event_loop(context_); });
}

void serve_thread::stop() {
    context_.stop();
    if (thread_.joinable()) thread_.join();
}

asio::awaitable<void> serve_thread::accept_callers() {
    const auto max_connections =
        std::min(static_cast<std::size_t>(state_.limits().caller_connections), caller_descriptors());
    while (true) {
        boost::system::error_code failure;
        auto socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            log(log_level::warn, "accept_failed", {{"reason", failure.message()}});
            co_await state_.sleep(accept_retry_delay);
            continue;
        }
        if (state_.open_connections() >= max_connections &&
            !state_.memory().close_stalled(monotonic_now(), min_stall_before_eviction)) {
            log(log_level::warn, "caller_connection_limit", {{"limit", max_connections}});
            continue;
        }
        asio::co_spawn(context_, serve_caller(std::move(socket), state_), log_exception{"serve_caller"});
    }
}

asio::awaitable<void> serve_thread::tick_loop() {
    asio::steady_timer timer(context_);
    while (true) {
        timer.expires_after(state_.busy_connections() > 0 ? tick_interval : idle_tick_interval);
        co_await timer.async_wait(asio::use_awaitable);
        state_.tick();
    }
}

// Drops the message when the ring is full: loans and queries are repeated or expire.
void serve_thread::send_to_control(control_input message) {
    if (to_control_->push(std::move(message))) return;
    log(log_level::warn, "control_ring_full");
}

} // namespace lacewing
