#include "unreliable_endpoints.h"

#include "platform/dialect.h"
#include "transport/ip_address.h"

#include <boost/beast/core/string.hpp>
#include <fmt/format.h>

#include <array>
#include <charconv>
#include <future>
#include <limits>
#include <optional>
#include <random>

namespace lacewing::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t max_head_bytes = std::size_t{16} * 1024;
constexpr std::uint64_t slow_service_ms = 1'200;
// Shorter than an answer that a VM passes on while it arrives.
constexpr std::size_t long_body_bytes = std::size_t{250} * 1024;

auto completion(error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

// Value of a header line; empty when absent.
std::string header_value(std::string_view head, std::string_view name) {
    for (auto at = head.find("\r\n"); at != std::string_view::npos; at = head.find("\r\n", at + 2)) {
        const auto line = head.substr(at + 2, head.find("\r\n", at + 2) - at - 2);
        if (line.size() <= name.size() || line[name.size()] != ':') continue;
        if (!boost::beast::iequals({line.data(), name.size()}, {name.data(), name.size()})) continue;
        return std::string(line.substr(std::min(line.size(), name.size() + 2)));
    }
    return {};
}

// Text of an answer; without an id line if the id is empty.
std::string answer_text(unsigned status, std::string_view attempt_id, bool not_run, std::string_view body) {
    const auto& names = platform::dialect;
    std::string text = fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\n", status, body.size());
    if (!attempt_id.empty()) text += fmt::format("{}: {}\r\n", names.attempt_id, attempt_id);
    if (not_run) text += fmt::format("{}: 1\r\n", names.not_run);
    return fmt::format("{}\r\n{}", text, body);
}

} // namespace

/// An address, the process that listens there, and the connections of that process.
struct unreliable_endpoints::listener {
    explicit listener(asio::io_context& context, const tcp::endpoint& address) : acceptor(context, address) {}

    tcp::acceptor acceptor;
    std::string process;
    std::set<std::shared_ptr<socket>> connections;
};

struct unreliable_endpoints::request_head {
    std::string attempt_id;
    std::string expected_process;
    std::string process;
    std::size_t body_bytes = 0;
};

unreliable_endpoints::unreliable_endpoints(std::string host, std::uint64_t seed, endpoint_faults faults)
    : host_(std::move(host)), seed_(seed), faults_(std::move(faults)), work_(asio::make_work_guard(context_)),
      thread_([this] { context_.run(); }) {}

unreliable_endpoints::~unreliable_endpoints() {
    context_.stop();
    thread_.join();
}

std::string unreliable_endpoints::open(const std::string& id) {
    std::promise<std::string> address;
    asio::post(context_, [&] {
        auto at = std::make_shared<listener>(context_, tcp::endpoint(asio::ip::make_address(host_), 0));
        at->process = id;
        const auto text = to_string(at->acceptor.local_endpoint());
        listeners_[text] = at;
        asio::co_spawn(context_, accept(at), asio::detached);
        address.set_value(text);
    });
    return address.get_future().get();
}

void unreliable_endpoints::restart(const std::string& address, const std::string& id) {
    std::promise<void> done;
    asio::post(context_, [&] {
        auto& at = *listeners_.at(address);
        at.process = id;
        for (const auto& connection : at.connections) {
            error_code ignored;
            connection->set_option(asio::socket_base::linger(true, 0), ignored);
            connection->close(ignored);
        }
        done.set_value();
    });
    done.get_future().get();
}

std::map<std::string, int> unreliable_endpoints::runs() {
    const std::lock_guard lock(mutex_);
    return runs_;
}

int unreliable_endpoints::misdirected() {
    const std::lock_guard lock(mutex_);
    return misdirected_;
}

int unreliable_endpoints::in_progress() {
    const std::lock_guard lock(mutex_);
    return in_progress_;
}

std::uint64_t unreliable_endpoints::draw(std::string_view subject, std::string_view purpose) const {
    const auto hash = std::hash<std::string>{}(fmt::format("{}/{}/{}", seed_, subject, purpose));
    return std::mt19937_64(hash)();
}

bool unreliable_endpoints::happens(double share, std::string_view subject, std::string_view purpose) const {
    constexpr auto range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return static_cast<double>(draw(subject, purpose)) < share * range;
}

void unreliable_endpoints::record_run(const std::string& attempt_id) {
    const std::lock_guard lock(mutex_);
    ++runs_[attempt_id];
}

asio::awaitable<bool> unreliable_endpoints::write(socket& connection, std::string_view text) {
    error_code failure;
    co_await asio::async_write(connection, asio::buffer(text.data(), text.size()), completion(failure));
    co_return !failure;
}

// Writes one kind of bytes that are no answer until the caller closes.
asio::awaitable<bool> unreliable_endpoints::write_endless_bytes(socket& connection, std::string attempt_id,
                                                                std::uint64_t kind) {
    const auto head = fmt::format("HTTP/1.1 200 OK\r\n{}: {}\r\n", platform::dialect.attempt_id, attempt_id);
    const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    // A field of a trailer that is longer than the parser can store.
    const auto long_trailer = "0\r\nX-Filler: " + std::string(66'000, 'x') + "\r\n\r\n";
    const std::array<std::array<std::string, 2>, 10> kinds{
        {{"", "x"},
         {"", "HTTP/1.1 100 Continue\r\n\r\n"},
         {head + "X-Filler: ", "x"},
         {head, "X-Filler: x\r\n"},
         {chunked + "1;", "x"},
         {chunked + "1\r\nx\r\n0\r\n", "X-Filler: x\r\n"},
         {head + "\r\n", "x"},
         {head + "Content-Length: 1000000000000000000\r\n\r\n", "x"},
         {head + "Content-Length: 18446744073709551615\r\n\r\n", "x"},
         {chunked + long_trailer, "x"}}};
    const auto& [begin, repeated] = kinds[kind % kinds.size()];
    std::string piece = repeated;
    while (faults_.endless_pause_ms == 0 && piece.size() < max_head_bytes)
        piece += repeated;
    bool open = co_await write(connection, begin);
    asio::steady_timer pause(context_);
    while (open) {
        open = co_await write(connection, piece);
        if (faults_.endless_pause_ms == 0) continue;
        pause.expires_after(std::chrono::milliseconds(faults_.endless_pause_ms));
        co_await pause.async_wait(asio::use_awaitable);
    }
    co_return false;
}

asio::awaitable<void> unreliable_endpoints::accept(std::shared_ptr<listener> at) {
    for (;;) {
        error_code failure;
        auto connection = std::make_shared<socket>(context_);
        co_await at->acceptor.async_accept(*connection, completion(failure));
        if (failure) co_return;
        connection->set_option(tcp::no_delay(true), failure);
        at->connections.insert(connection);
        asio::co_spawn(context_, serve(at, connection), asio::detached);
    }
}

// Serves the requests of one connection in order.
asio::awaitable<void> unreliable_endpoints::serve(std::shared_ptr<listener> at,
                                                  std::shared_ptr<socket> connection) {
    std::string received;
    std::string last_refusal;
    const auto number = std::to_string(++accepted_);
    bool open = true;
    if (happens(faults_.refusals_on_accept, number, "accept")) {
        open = co_await write(*connection, answer_text(503, {}, true, "{}"));
    }
    while (open) {
        error_code failure;
        const auto bytes = co_await asio::async_read_until(
            *connection, asio::dynamic_buffer(received, max_head_bytes), "\r\n\r\n", completion(failure));
        if (failure) break;
        const auto text = received.substr(0, bytes);
        received.erase(0, bytes);
        request_head head;
        head.attempt_id = header_value(text, platform::dialect.attempt_id);
        head.expected_process = header_value(text, platform::dialect.expected_endpoint);
        head.process = at->process;
        const auto length = header_value(text, "Content-Length");
        std::from_chars(length.data(), length.data() + length.size(), head.body_bytes);
        {
            const std::lock_guard lock(mutex_);
            ++in_progress_;
        }
        open = co_await handle(*connection, head, received, last_refusal);
        const std::lock_guard lock(mutex_);
        --in_progress_;
    }
    error_code ignored;
    connection->close(ignored);
    at->connections.erase(connection);
}

// Handles one request; returns false when the connection must end.
asio::awaitable<bool> unreliable_endpoints::handle(socket& connection, const request_head& head,
                                                   std::string& received, std::string& last_refusal) {
    const auto& id = head.attempt_id;
    // Sends of the same request to different processes are independent.
    const auto subject = id + "@" + head.process;
    auto conduct = faults_.conducts[draw(subject, "conduct") % faults_.conducts.size()];
    const bool misdirected = head.expected_process != head.process;
    if (!misdirected && conduct == endpoint_conduct::refuses_early) {
        last_refusal = answer_text(503, id, true, "{}");
        if (!co_await write(connection, last_refusal)) co_return false;
    }
    if (received.size() < head.body_bytes) {
        error_code failure;
        const auto missing = head.body_bytes - received.size();
        std::string rest(missing, '\0');
        co_await asio::async_read(connection, asio::buffer(rest), completion(failure));
        if (failure) co_return false;
        received += rest;
    }
    received.erase(0, head.body_bytes);
    if (!last_refusal.empty() && conduct != endpoint_conduct::refuses_early &&
        happens(faults_.repeated_refusals, subject, "repeat")) {
        if (!co_await write(connection, last_refusal)) co_return false;
    }
    if (misdirected) {
        {
            const std::lock_guard lock(mutex_);
            ++misdirected_;
        }
        last_refusal = answer_text(421, id, true, "{}");
        co_return co_await write(connection, last_refusal);
    }
    if (conduct == endpoint_conduct::refuses_early) co_return true;
    if (conduct == endpoint_conduct::refuses) {
        last_refusal = answer_text(draw(subject, "status") % 2 == 0 ? 503 : 429, id, true, "{}");
        co_return co_await write(connection, last_refusal);
    }
    record_run(id);
    std::uint64_t service_ms = 0;
    if (faults_.max_service_ms > 0)
        service_ms = draw(subject, "time") % static_cast<std::uint64_t>(faults_.max_service_ms);
    if (conduct == endpoint_conduct::is_slow) service_ms = slow_service_ms;
    asio::steady_timer timer(context_, std::chrono::milliseconds(service_ms));
    co_await timer.async_wait(asio::use_awaitable);
    if (conduct == endpoint_conduct::sends_endless_bytes) {
        co_return co_await write_endless_bytes(connection, id, draw(subject, "kind"));
    }
    if (conduct == endpoint_conduct::stops_in_answer) {
        const auto whole = answer_text(200, id, false, std::string(long_body_bytes, 'x'));
        if (!co_await write(connection, std::string_view(whole).substr(0, whole.size() - 1))) co_return false;
        char byte = 0;
        error_code failure;
        co_await connection.async_read_some(asio::buffer(&byte, 1), completion(failure));
        co_return false;
    }
    const auto body = fmt::format(R"({{"request":"{}"}})", id);
    const auto answer = answer_text(200, id, false, body);
    switch (conduct) {
    case endpoint_conduct::answers:
    case endpoint_conduct::is_slow:
        co_return co_await write(connection, answer);
    case endpoint_conduct::answers_twice:
        co_return co_await write(connection, answer + answer);
    case endpoint_conduct::fails:
        co_return co_await write(connection, answer_text(500, id, false, "{}"));
    case endpoint_conduct::answers_like_a_refusal: {
        constexpr std::array<unsigned, 3> statuses{408, 429, 503};
        const auto status = statuses[draw(subject, "status") % statuses.size()];
        co_return co_await write(connection, answer_text(status, id, false, "{}"));
    }
    case endpoint_conduct::cuts_answer:
        co_await write(connection, std::string_view(answer).substr(0, 20));
        co_return false;
    default:
        co_return false;
    }
}

} // namespace lacewing::testing
