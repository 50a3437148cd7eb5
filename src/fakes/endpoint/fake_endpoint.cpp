#include "fakes/endpoint/fake_endpoint.h"

#include "protocol/caller_http.h"
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

constexpr std::size_t body_chunk_bytes = std::size_t{64} * 1024;

auto completion_token(error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

std::string quoted(std::string_view text) {
    return Json::valueToQuotedString(std::string(text).c_str());
}

// Closes the connection with a TCP reset instead of a FIN.
void reset(tcp::socket& socket) {
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

// Time that the caller still allows; 5 s, the default of the caller API, when the header is missing or
// malformed.
time_ms remaining_time_from(std::string_view text) {
    std::int64_t remaining_ms = 5000;
    std::from_chars(text.data(), text.data() + text.size(), remaining_ms);
    return {remaining_ms};
}

// Header lines as received, without those that differ per attempt; X-Request-Id is recorded separately.
template <class Fields>
std::vector<std::string> header_lines(const Fields& fields) {
    std::vector<std::string> lines;
    for (const auto& field : fields) {
        if (boost::beast::iequals(field.name_string(), "X-Request-Id")) continue;
        if (boost::beast::iequals(field.name_string(), attempt_header)) continue;
        lines.push_back(fmt::format("{}: {}", field.name_string(), field.value()));
    }
    return lines;
}

struct hash_state_deleter {
    void operator()(XXH64_state_t* state) const { XXH64_freeState(state); }
};

// Cancels the executing request when the caller closes the connection; bytes of a next request stay unread.
void cancel_on_close(const std::shared_ptr<endpoint_connection>& connection) {
    connection->socket.async_wait(tcp::socket::wait_read, [connection](error_code failure) {
        if (failure) return;
        char byte = 0;
        error_code state;
        connection->socket.non_blocking(true, state);
        const auto count =
            connection->socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, state);
        if (state == asio::error::would_block || count > 0) return;
        connection->cancelled = true;
        connection->work_timer.cancel();
    });
}

} // namespace

fake_endpoint::fake_endpoint(const asio::any_io_executor& executor, std::string_view listen,
                             const endpoint_behaviour& behaviour,
                             std::shared_ptr<endpoint_shared_state> shared)
    : acceptor_(executor), behaviour_(behaviour), shared_(std::move(shared)), started_at_(monotonic_now()),
      behaviour_changed_at_(started_at_) {
    const auto listen_address = parse_socket_address(listen);
    acceptor_.open(listen_address.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(listen_address);
    acceptor_.listen();
    address_ = lacewing::to_string(acceptor_.local_endpoint());
}

asio::awaitable<void> fake_endpoint::accept_all() {
    const auto self = shared_from_this();
    while (acceptor_.is_open()) {
        tcp::socket socket(acceptor_.get_executor());
        error_code failure;
        co_await acceptor_.async_accept(socket, completion_token(failure));
        if (failure == asio::error::operation_aborted) break;
        if (failure) {
            // Usually out of file descriptors: wait for connections to end instead of spinning on the error.
            asio::steady_timer pause(acceptor_.get_executor(), std::chrono::milliseconds(20));
            co_await pause.async_wait(completion_token(failure));
            continue;
        }
        if (static_cast<std::int64_t>(connections_.size()) >= behaviour_.max_connections) {
            ++shared_->refused_connections;
            reset(socket);
            continue;
        }
        socket.set_option(tcp::no_delay(true), failure);
        auto connection = std::make_shared<endpoint_connection>(std::move(socket));
        connections_.insert(connection);
        peak_connections_ = std::max(peak_connections_, static_cast<std::int64_t>(connections_.size()));
        asio::co_spawn(acceptor_.get_executor(), serve_connection(std::move(connection)), asio::detached);
    }
}

void fake_endpoint::close() {
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto& connection : connections_) {
        if (connection->idle) connection->socket.close(ignored);
    }
}

void fake_endpoint::on_behaviour_changed(bool restart) {
    behaviour_changed_at_ = monotonic_now();
    if (restart) started_at_ = behaviour_changed_at_;
}

asio::awaitable<void> fake_endpoint::serve_connection(connection_ptr connection) {
    const auto self = shared_from_this();
    bool keep_open = true;
    if (behaviour_.refuse_on_accept) {
        auto refusal = make_response(503, R"({"error":"not run"})");
        refusal.set("X-Not-Run", "1");
        keep_open = co_await write_response(connection, refusal);
    }
    while (keep_open && acceptor_.is_open()) {
        keep_open = co_await serve_request(connection);
    }
    error_code ignored;
    connection->socket.close(ignored);
    connections_.erase(connection);
}

// Reads, executes and answers one request; false when the connection must be closed.
asio::awaitable<bool> fake_endpoint::serve_request(connection_ptr connection) {
    request_parser parser;
    // Without a limit, Beast 1.74 takes every declared length for too large.
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    parser.header_limit(64 * 1024);
    error_code failure;
    connection->idle = true;
    co_await http::async_read_header(connection->socket, connection->buffer, parser,
                                     completion_token(failure));
    connection->idle = false;
    if (failure) co_return false;
    const auto& header = parser.get();
    received_request request;
    request.request_id = std::string(header["X-Request-Id"]);
    request.account = std::string(header["X-Account"]);
    request.attempt_tag = std::string(header[attempt_header]);
    request.target = std::string(header.target());
    request.deadline = monotonic_now() + remaining_time_from(header["X-Deadline-Ms"]);
    const bool keep_alive = header.keep_alive();
    if (behaviour_.injected_answer_fault == answer_fault::repeat_previous) {
        co_await asio::async_write(connection->socket, asio::buffer(connection->previous_answer),
                                   completion_token(failure));
    }
    auto header_line_indices = shared_->ledger.record_request(request.target, header_lines(header));
    if (behaviour_.draining || in_flight_ >= behaviour_.slots) {
        ++shared_->shed_requests;
        const bool keep_open = co_await refuse(connection, parser);
        co_return keep_open;
    }

    peak_in_flight_ = std::max(peak_in_flight_, ++in_flight_);
    const bool complete = co_await read_body(connection, parser, request);
    if (!complete) {
        ++shared_->aborted_uploads;
        --in_flight_;
        co_return false;
    }
    ++executed_;
    last_execution_started_ = monotonic_now();
    const auto ledger_index =
        shared_->ledger.begin_execution(address_, request.request_id, request.account, request.target,
                                        std::move(header_line_indices), last_execution_started_);
    const auto state = co_await execute(connection, request);
    shared_->ledger.finish_execution(ledger_index, state);
    bool keep_open = false;
    if (state != execution_state::cancelled) {
        keep_open = co_await send_answer(connection, request, state, keep_alive);
    }
    --in_flight_;
    co_return keep_open;
}

// Reads the body in chunks and computes its size and hash; false when it does not arrive completely.
asio::awaitable<bool> fake_endpoint::read_body(connection_ptr connection, request_parser& parser,
                                               received_request& request) {
    error_code failure;
    if (!parser.is_done() && parser.get()[http::field::expect] == "100-continue") {
        http::response<http::empty_body> proceed(http::status::continue_, 11);
        co_await http::async_write(connection->socket, proceed, completion_token(failure));
    }
    const std::unique_ptr<XXH64_state_t, hash_state_deleter> hash(XXH64_createState());
    XXH64_reset(hash.get(), 0);
    std::vector<char> chunk;
    while (!failure && !parser.is_done()) {
        chunk.resize(body_chunk_bytes);
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        co_await http::async_read(connection->socket, connection->buffer, parser, completion_token(failure));
        if (failure == http::error::need_buffer) failure = {};
        const auto count = chunk.size() - parser.get().body().size;
        XXH64_update(hash.get(), chunk.data(), count);
        request.body_bytes += count;
    }
    request.body_hash = XXH64_digest(hash.get());
    co_return !failure;
}

// Answers with 503 and X-Not-Run: the request has not been executed and may be sent to another endpoint.
asio::awaitable<bool> fake_endpoint::refuse(connection_ptr connection, request_parser& parser) {
    auto refusal = make_response(503, R"({"error":"not run"})");
    refusal.set("X-Not-Run", "1");
    refusal.set(attempt_header, parser.get()[attempt_header]);
    // The body stays unread, so after one the start of a next request on the connection is unknown.
    refusal.keep_alive(parser.get().keep_alive() && parser.is_done());
    const bool keep_open = co_await write_response(connection, refusal);
    if (keep_open) co_return true;
    // Closing with unread input would reset the connection, and the caller could lose the answer.
    error_code failure;
    connection->socket.shutdown(tcp::socket::shutdown_send, failure);
    std::vector<char> discarded(body_chunk_bytes);
    const auto until = monotonic_now() + time_ms{2000};
    while (!failure && monotonic_now() < until) {
        co_await connection->socket.async_read_some(asio::buffer(discarded), completion_token(failure));
    }
    co_return false;
}

bool fake_endpoint::version_fault_active(const received_request& request) const {
    const auto& fault = behaviour_.fault;
    return monotonic_now() - behaviour_changed_at_ >= fault.start_delay &&
           in_flight_ >= fault.min_in_flight && request.target.starts_with(fault.route_prefix);
}

time_ms fake_endpoint::service_time(const received_request& request) const {
    double factor = 1;
    if (monotonic_now() - started_at_ < behaviour_.cold_duration) factor *= behaviour_.cold_factor;
    if (version_fault_active(request)) factor *= behaviour_.fault.slow_factor;
    return {static_cast<std::int64_t>(static_cast<double>(behaviour_.base_service_time.count) * factor)};
}

// Simulates the work: waits for the service time, but not beyond the deadline or the end of the connection.
asio::awaitable<execution_state> fake_endpoint::execute(connection_ptr connection,
                                                        const received_request& request) {
    const auto now = monotonic_now();
    const auto work_end = now + service_time(request);
    const auto until = std::min(work_end, std::max(now, request.deadline));
    cancel_on_close(connection);
    connection->work_timer.expires_after(std::chrono::milliseconds((until - now).count));
    error_code ignored;
    // Cancelling the timer ends only a wait that has begun, so the flag is checked before every wait.
    while (!connection->cancelled && monotonic_now() < until) {
        co_await connection->work_timer.async_wait(completion_token(ignored));
    }
    if (!connection->cancelled) connection->socket.cancel(ignored);
    if (connection->cancelled) co_return execution_state::cancelled;
    if (request.deadline < work_end) co_return execution_state::deadline_exceeded;
    const bool fails = version_fault_active(request) && shared_->bernoulli(behaviour_.fault.fail_fraction);
    co_return fails ? execution_state::failed : execution_state::completed;
}

// Load to report: requests in flight per slot, at most 1. It is updated only here and no more often than
// load_report_interval, so an idle endpoint keeps its last value until the next answer.
double fake_endpoint::reported_load() {
    if (behaviour_.load_override >= 0) return behaviour_.load_override;
    const auto now = monotonic_now();
    if (now - load_updated_at_ >= behaviour_.load_report_interval) {
        load_updated_at_ = now;
        const auto slots = std::max<std::int64_t>(behaviour_.slots, 1);
        reported_load_ = std::min(1.0, static_cast<double>(in_flight_) / static_cast<double>(slots));
    }
    return reported_load_;
}

asio::awaitable<bool> fake_endpoint::send_answer(connection_ptr connection, const received_request& request,
                                                 execution_state state, bool keep_alive) {
    unsigned status = 200;
    if (state == execution_state::failed) status = 500;
    if (state == execution_state::deadline_exceeded) status = 504;
    auto body = fmt::format(
        R"({{"request_id":{},"account":{},"bytes":{},"hash":"{:016x}","endpoint":{},"version":{}}})",
        quoted(request.request_id), quoted(request.account), request.body_bytes, request.body_hash,
        quoted(address_), quoted(behaviour_.version));
    body += '\n';
    body.append(behaviour_.padding_bytes, 'x');
    auto response = make_response(status, std::move(body));
    response.set("X-Version", behaviour_.version);
    response.set(attempt_header, request.attempt_tag);
    if (behaviour_.report_load) response.set("X-Load", fmt::format("{:.3f}", reported_load()));
    response.keep_alive(keep_alive && !behaviour_.draining);
    const bool damaged = behaviour_.injected_answer_fault != answer_fault::none &&
                         behaviour_.injected_answer_fault != answer_fault::repeat_previous &&
                         shared_->bernoulli(behaviour_.answer_fault_fraction);
    bool keep_open = false;
    if (damaged) {
        keep_open = co_await send_damaged_answer(connection, response);
    }
    if (!damaged) {
        keep_open = co_await write_response(connection, response);
    }
    co_return keep_open;
}

asio::awaitable<bool> fake_endpoint::write_response(connection_ptr connection, http_response& response) {
    response.prepare_payload();
    error_code failure;
    if (behaviour_.injected_answer_fault == answer_fault::repeat_previous) {
        std::ostringstream text;
        text << response;
        connection->previous_answer = text.str();
    }
    co_await http::async_write(connection->socket, response, completion_token(failure));
    co_return !failure && response.keep_alive();
}

/// Bytes that are no answer: a begin, and what follows it without end.
struct endless_bytes {
    std::string begin;
    std::string repeated;
};

// Bytes of a fault that are no answer; nothing for other faults.
std::optional<endless_bytes> endless_bytes_of(answer_fault fault, std::string_view attempt_tag) {
    const auto head = fmt::format("HTTP/1.1 200 OK\r\n{}: {}\r\n", attempt_header, attempt_tag);
    const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    switch (fault) {
    case answer_fault::endless_interim_answers:
        return endless_bytes{"", "HTTP/1.1 100 Continue\r\n\r\n"};
    case answer_fault::endless_header:
        return endless_bytes{head + "X-Filler: ", "x"};
    case answer_fault::endless_chunk_extension:
        return endless_bytes{chunked + "1;", "x"};
    case answer_fault::endless_trailers:
        return endless_bytes{chunked + "1\r\nx\r\n0\r\n", "X-Filler: x\r\n"};
    default:
        return std::nullopt;
    }
}

// Sends the answer to an executed request with the configured fault.
asio::awaitable<bool> fake_endpoint::send_damaged_answer(connection_ptr connection, http_response& response) {
    const auto fault = behaviour_.injected_answer_fault;
    if (fault == answer_fault::reset_before_answer) {
        reset(connection->socket);
        co_return false;
    }
    error_code failure;
    if (fault == answer_fault::late) {
        connection->work_timer.expires_after(std::chrono::milliseconds(behaviour_.late_delay.count));
        co_await connection->work_timer.async_wait(completion_token(failure));
        const bool keep_open = co_await write_response(connection, response);
        co_return keep_open;
    }
    if (const auto endless = endless_bytes_of(fault, response[attempt_header])) {
        co_await asio::async_write(connection->socket, asio::buffer(endless->begin),
                                   completion_token(failure));
        co_await write_endlessly(connection, endless->repeated);
        co_return false;
    }
    response.prepare_payload();
    if (fault == answer_fault::endless) {
        response.erase(http::field::content_length);
        response.keep_alive(false);
    }
    std::ostringstream text;
    text << response;
    std::string bytes = text.str();
    if (fault == answer_fault::wrong_length) bytes += "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign";
    if (fault == answer_fault::invalid_status) {
        static constexpr std::array<std::string_view, 4> invalid{"000", "099", "600", "999"};
        constexpr std::size_t status_position = 9; // after "HTTP/1.1 "
        bytes.replace(status_position, 3, invalid[executed_ % invalid.size()]);
    }
    if (fault == answer_fault::truncated_head) bytes.resize(bytes.find("\r\n\r\n") / 2);
    if (fault == answer_fault::truncated || fault == answer_fault::reset_in_answer) {
        bytes.resize(bytes.size() - response.body().size() / 2);
    }
    co_await asio::async_write(connection->socket, asio::buffer(bytes), completion_token(failure));
    if (fault == answer_fault::endless && !failure) {
        co_await write_endlessly(connection, "x");
    }
    if (fault == answer_fault::reset_in_answer) reset(connection->socket);
    co_return fault == answer_fault::wrong_length && !failure && response.keep_alive();
}

asio::awaitable<void> fake_endpoint::write_endlessly(connection_ptr connection, std::string repeated) {
    std::string chunk;
    while (chunk.size() < body_chunk_bytes)
        chunk += repeated;
    error_code failure;
    while (!failure && acceptor_.is_open()) {
        co_await asio::async_write(connection->socket, asio::buffer(chunk), completion_token(failure));
    }
}

std::string fake_endpoint::summary_json() const {
    return fmt::format(
        R"({{"address":{},"version":{},"executed":{},"in_flight":{},"peak_in_flight":{},"connections":{},)"
        R"("peak_connections":{},"slots":{},"last_request_ms":{}}})",
        quoted(address_), quoted(behaviour_.version), executed_, in_flight_, peak_in_flight_,
        connections_.size(), peak_connections_, behaviour_.slots, last_execution_started_.count);
}

} // namespace lacewing::fakes
