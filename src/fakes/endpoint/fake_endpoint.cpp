#include "fakes/endpoint/fake_endpoint.h"

#include "transport/ip_address.h"
#include "transport/monotonic_clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <fmt/format.h>
#include <json/value.h>
#include <json/writer.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <limits>
#include <sstream>
#include <vector>

namespace lacewing::fakes {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t body_chunk = std::size_t{64} * 1024;

auto completion(error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

std::string quoted(std::string_view text) {
    return Json::valueToQuotedString(std::string(text).c_str());
}

// Closes with a reset instead of an orderly end.
void reset(tcp::socket& socket) {
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

// Remaining time that the caller allows; the default of section 5.1 when the header is missing or malformed.
time_ms deadline_from(std::string_view text) {
    std::int64_t deadline = 5000;
    std::from_chars(text.data(), text.data() + text.size(), deadline);
    return {deadline};
}

// Header lines as received, without the request id, which differs per request and is recorded by itself.
template <class Fields>
std::vector<std::string> header_lines(const Fields& fields) {
    std::vector<std::string> lines;
    for (const auto& field : fields) {
        if (boost::beast::iequals(field.name_string(), "X-Request-Id")) continue;
        lines.push_back(fmt::format("{}: {}", field.name_string(), field.value()));
    }
    return lines;
}

struct hash_closer {
    void operator()(XXH64_state_t* state) const { XXH64_freeState(state); }
};

// Watches for the end of the connection while a request executes; data of a next request is left unread.
void watch_for_close(const std::shared_ptr<endpoint_connection>& peer) {
    peer->socket.async_wait(tcp::socket::wait_read, [peer](error_code failure) {
        if (failure) return;
        char byte = 0;
        error_code state;
        peer->socket.non_blocking(true, state);
        const auto count = peer->socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, state);
        if (state == asio::error::would_block || count > 0) return;
        peer->cancelled = true;
        peer->work.cancel();
    });
}

} // namespace

fake_endpoint::fake_endpoint(const asio::any_io_executor& executor, std::string_view listen,
                             const endpoint_behaviour& behaviour, std::shared_ptr<endpoint_shared> shared)
    : acceptor_(executor), behaviour_(behaviour), shared_(std::move(shared)), started_(monotonic_now()),
      behaviour_set_(started_) {
    const auto wanted = parse_socket_address(listen);
    acceptor_.open(wanted.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(wanted);
    acceptor_.listen();
    address_ = lacewing::to_string(acceptor_.local_endpoint());
}

asio::awaitable<void> fake_endpoint::accept_all() {
    const auto self = shared_from_this();
    while (acceptor_.is_open()) {
        tcp::socket socket(acceptor_.get_executor());
        error_code failure;
        co_await acceptor_.async_accept(socket, completion(failure));
        if (failure == asio::error::operation_aborted) break;
        if (failure) {
            // Out of descriptors: a pause lets connections end instead of spinning on the same error.
            asio::steady_timer pause(acceptor_.get_executor(), std::chrono::milliseconds(20));
            co_await pause.async_wait(completion(failure));
            continue;
        }
        if (static_cast<std::int64_t>(peers_.size()) >= behaviour_.connections) {
            ++shared_->refused_connections;
            reset(socket);
            continue;
        }
        socket.set_option(tcp::no_delay(true), failure);
        auto peer = std::make_shared<endpoint_connection>(std::move(socket));
        peers_.insert(peer);
        peak_connections_ = std::max(peak_connections_, static_cast<std::int64_t>(peers_.size()));
        asio::co_spawn(acceptor_.get_executor(), serve(std::move(peer)), asio::detached);
    }
}

void fake_endpoint::close() {
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto& peer : peers_) {
        if (peer->idle) peer->socket.close(ignored);
    }
}

void fake_endpoint::behaviour_changed(bool restart) {
    behaviour_set_ = monotonic_now();
    if (restart) started_ = behaviour_set_;
}

asio::awaitable<void> fake_endpoint::serve(connection_ptr peer) {
    const auto self = shared_from_this();
    bool keep = true;
    while (keep && acceptor_.is_open()) {
        keep = co_await serve_one(peer);
    }
    error_code ignored;
    peer->socket.close(ignored);
    peers_.erase(peer);
}

// Reads, executes and answers one request; false when the connection must close.
asio::awaitable<bool> fake_endpoint::serve_one(connection_ptr peer) {
    request_parser parser;
    // Beast 1.74 compares a declared length with an absent limit as too large.
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    parser.header_limit(64 * 1024);
    error_code failure;
    peer->idle = true;
    co_await http::async_read_header(peer->socket, peer->buffer, parser, completion(failure));
    peer->idle = false;
    if (failure) co_return false;
    const auto& header = parser.get();
    exchange request;
    request.request_id = std::string(header["X-Request-Id"]);
    request.account = std::string(header["X-Account"]);
    request.target = std::string(header.target());
    request.deadline = monotonic_now() + deadline_from(header["X-Deadline-Ms"]);
    const bool keep_alive = header.keep_alive();
    auto lines = shared_->ledger.record_header(request.target, header_lines(header));
    if (behaviour_.draining || in_flight_ >= behaviour_.slots) {
        ++shared_->shed;
        const bool keep = co_await refuse(peer, parser);
        co_return keep;
    }

    peak_in_flight_ = std::max(peak_in_flight_, ++in_flight_);
    const bool complete = co_await read_body(peer, parser, request);
    if (!complete) {
        ++shared_->aborted_uploads;
        --in_flight_;
        co_return false;
    }
    ++executed_;
    last_started_ = monotonic_now();
    const auto entry = shared_->ledger.begin(address_, request.request_id, request.account, request.target,
                                             std::move(lines), last_started_);
    const auto state = co_await execute(peer, request);
    shared_->ledger.finish(entry, state);
    bool keep = false;
    if (state != execution_state::cancelled) {
        keep = co_await answer(peer, request, state, keep_alive);
    }
    --in_flight_;
    co_return keep;
}

// Counts and hashes the body in bounded memory; false when it does not arrive completely.
asio::awaitable<bool> fake_endpoint::read_body(connection_ptr peer, request_parser& parser,
                                               exchange& request) {
    error_code failure;
    if (!parser.is_done() && parser.get()[http::field::expect] == "100-continue") {
        http::response<http::empty_body> proceed(http::status::continue_, 11);
        co_await http::async_write(peer->socket, proceed, completion(failure));
    }
    const std::unique_ptr<XXH64_state_t, hash_closer> hash(XXH64_createState());
    XXH64_reset(hash.get(), 0);
    std::vector<char> chunk;
    while (!failure && !parser.is_done()) {
        chunk.resize(body_chunk);
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        co_await http::async_read(peer->socket, peer->buffer, parser, completion(failure));
        if (failure == http::error::need_buffer) failure = {};
        const auto count = chunk.size() - parser.get().body().size;
        XXH64_update(hash.get(), chunk.data(), count);
        request.body_bytes += count;
    }
    request.body_hash = XXH64_digest(hash.get());
    co_return !failure;
}

// Refuses a request that has not been executed.
asio::awaitable<bool> fake_endpoint::refuse(connection_ptr peer, request_parser& parser) {
    auto refusal = make_response(503, R"({"error":"not run"})");
    refusal.set("X-Not-Run", "1");
    // Without the body the position of the next request is unknown.
    refusal.keep_alive(parser.get().keep_alive() && parser.is_done());
    const bool keep = co_await write(peer, refusal);
    if (keep) co_return true;
    // Closing with unread input would reset the connection and could discard the answer at the peer.
    error_code ended;
    peer->socket.shutdown(tcp::socket::shutdown_send, ended);
    std::vector<char> discarded(body_chunk);
    const auto until = monotonic_now() + time_ms{2000};
    while (!ended && monotonic_now() < until) {
        co_await peer->socket.async_read_some(asio::buffer(discarded), completion(ended));
    }
    co_return false;
}

bool fake_endpoint::version_fault_active(const exchange& request) const {
    const auto& fault = behaviour_.fault;
    return monotonic_now() - behaviour_set_ >= fault.after && in_flight_ >= fault.min_in_flight &&
           request.target.starts_with(fault.route_prefix);
}

time_ms fake_endpoint::service_time(const exchange& request) const {
    double factor = 1;
    if (monotonic_now() - started_ < behaviour_.cold) factor *= behaviour_.cold_factor;
    if (version_fault_active(request)) factor *= behaviour_.fault.slow_factor;
    return {static_cast<std::int64_t>(static_cast<double>(behaviour_.service.count) * factor)};
}

// Simulates the work: ends after the service time, at the deadline, or when the caller closes the connection.
asio::awaitable<execution_state> fake_endpoint::execute(connection_ptr peer, const exchange& request) {
    const auto now = monotonic_now();
    const auto end = now + service_time(request);
    const auto until = std::min(end, std::max(now, request.deadline));
    watch_for_close(peer);
    peer->work.expires_after(std::chrono::milliseconds((until - now).count));
    error_code stopped;
    // A cancellation seen by the watch before the wait began would be lost, hence the loop.
    while (!peer->cancelled && monotonic_now() < until) {
        co_await peer->work.async_wait(completion(stopped));
    }
    if (!peer->cancelled) peer->socket.cancel(stopped);
    if (peer->cancelled) co_return execution_state::cancelled;
    if (request.deadline < end) co_return execution_state::deadline_exceeded;
    const bool fails = version_fault_active(request) && shared_->chance(behaviour_.fault.fail_fraction);
    co_return fails ? execution_state::failed : execution_state::completed;
}

// The load as it was at the last renewal; an idle endpoint keeps reporting its last value until a request
// asks.
double fake_endpoint::load_report() {
    if (behaviour_.false_load >= 0) return behaviour_.false_load;
    const auto now = monotonic_now();
    if (now - load_read_ >= behaviour_.load_lag) {
        load_read_ = now;
        const auto slots = std::max<std::int64_t>(behaviour_.slots, 1);
        load_ = std::min(1.0, static_cast<double>(in_flight_) / static_cast<double>(slots));
    }
    return load_;
}

asio::awaitable<bool> fake_endpoint::answer(connection_ptr peer, const exchange& request,
                                            execution_state state, bool keep_alive) {
    unsigned status = 200;
    if (state == execution_state::failed) status = 500;
    if (state == execution_state::deadline_exceeded) status = 504;
    auto body = fmt::format(
        R"({{"request_id":{},"account":{},"bytes":{},"hash":"{:016x}","endpoint":{},"version":{}}})",
        quoted(request.request_id), quoted(request.account), request.body_bytes, request.body_hash,
        quoted(address_), quoted(behaviour_.version));
    body += '\n';
    body.append(behaviour_.padding, 'x');
    auto response = make_response(status, std::move(body));
    response.set("X-Version", behaviour_.version);
    if (behaviour_.report_load) response.set("X-Load", fmt::format("{:.3f}", load_report()));
    response.keep_alive(keep_alive && !behaviour_.draining);
    const bool damaged =
        behaviour_.answer != answer_fault::none && shared_->chance(behaviour_.answer_fraction);
    bool keep = false;
    if (damaged) {
        keep = co_await answer_with_fault(peer, response);
    }
    if (!damaged) {
        keep = co_await write(peer, response);
    }
    co_return keep;
}

asio::awaitable<bool> fake_endpoint::write(connection_ptr peer, http_response& response) {
    response.prepare_payload();
    error_code failure;
    co_await http::async_write(peer->socket, response, completion(failure));
    co_return !failure && response.keep_alive();
}

// Damages the answer of an executed request as configured.
asio::awaitable<bool> fake_endpoint::answer_with_fault(connection_ptr peer, http_response& response) {
    const auto kind = behaviour_.answer;
    if (kind == answer_fault::reset_before_answer) {
        reset(peer->socket);
        co_return false;
    }
    error_code failure;
    if (kind == answer_fault::late) {
        peer->work.expires_after(std::chrono::milliseconds(behaviour_.late.count));
        co_await peer->work.async_wait(completion(failure));
        const bool keep = co_await write(peer, response);
        co_return keep;
    }
    response.prepare_payload();
    if (kind == answer_fault::endless) {
        response.erase(http::field::content_length);
        response.keep_alive(false);
    }
    std::ostringstream text;
    text << response;
    std::string bytes = text.str();
    if (kind == answer_fault::wrong_length) bytes += "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign";
    if (kind == answer_fault::truncated || kind == answer_fault::reset_in_answer) {
        bytes.resize(bytes.size() - response.body().size() / 2);
    }
    co_await asio::async_write(peer->socket, asio::buffer(bytes), completion(failure));
    if (kind == answer_fault::endless && !failure) {
        co_await write_without_end(peer);
    }
    if (kind == answer_fault::reset_in_answer) reset(peer->socket);
    co_return kind == answer_fault::wrong_length && !failure && response.keep_alive();
}

asio::awaitable<void> fake_endpoint::write_without_end(connection_ptr peer) {
    const std::string chunk(body_chunk, 'x');
    error_code failure;
    while (!failure && acceptor_.is_open()) {
        co_await asio::async_write(peer->socket, asio::buffer(chunk), completion(failure));
    }
}

std::string fake_endpoint::summary_json() const {
    return fmt::format(
        R"({{"address":{},"version":{},"executed":{},"in_flight":{},"peak_in_flight":{},"connections":{},)"
        R"("peak_connections":{},"slots":{},"last_request_ms":{}}})",
        quoted(address_), quoted(behaviour_.version), executed_, in_flight_, peak_in_flight_, peers_.size(),
        peak_connections_, behaviour_.slots, last_started_.count);
}

} // namespace lacewing::fakes
