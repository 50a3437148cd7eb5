#include "transport/http_server.h"

#include "protocol/framing.h"
#include "transport/ip_address.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <chrono>
#include <unordered_set>

namespace lacewing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

struct connection;

using connection_set = std::unordered_set<std::shared_ptr<connection>>;

std::chrono::milliseconds to_chrono(time_ms time) {
    return std::chrono::milliseconds(time.count);
}

auto await_with_error(error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

// Response status for invalid input; 0 if the connection failed, so that no response can be delivered.
unsigned status_for(error_code failure) {
    if (failure == http::error::header_limit || failure == http::error::buffer_overflow) return 431;
    if (failure == http::error::body_limit) return 413;
    const bool parser_error = failure.category() == http::make_error_code(http::error::bad_method).category();
    return parser_error && failure != http::error::end_of_stream ? 400 : 0;
}

/// Accepted connection with the timer for its current phase: reading or writing.
struct connection : std::enable_shared_from_this<connection> {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)), timer(socket.get_executor()) {}

    // Starts the time limit of a phase. On expiry a read sees the end of the stream, so that a response can
    // still be written; during a write the connection is closed.
    void start_phase_timer(time_ms duration, bool writing) {
        expired = false;
        const auto armed_phase = ++phase;
        timer.expires_after(to_chrono(duration));
        timer.async_wait([self = shared_from_this(), armed_phase, writing](error_code failure) {
            if (!failure && self->phase == armed_phase) self->on_phase_timeout(writing);
        });
    }

    void stop_phase_timer() {
        ++phase;
        timer.cancel();
    }

    void on_phase_timeout(bool writing) {
        expired = true;
        error_code ignored;
        if (!writing) {
            socket.shutdown(tcp::socket::shutdown_receive, ignored);
            return;
        }
        socket.close(ignored);
    }

    void close() {
        stop_phase_timer();
        error_code ignored;
        socket.close(ignored);
    }

    tcp::socket socket;
    asio::steady_timer timer;
    boost::beast::flat_buffer buffer{max_connection_buffer_bytes};
    std::uint64_t phase = 0;
    bool expired = false;
    /// Waiting for the first byte of a request.
    bool idle = true;
    /// A request is being handled, so the connection does not wait for its caller's bytes.
    bool handling = false;
    /// Start of the wait for a request, or for the rest of one.
    std::chrono::steady_clock::time_point waiting_since = std::chrono::steady_clock::now();
};

} // namespace

struct http_server::shared_state : std::enable_shared_from_this<http_server::shared_state> {
    shared_state(const asio::any_io_executor& executor, const http_limits& bounds, handler request_handler)
        : acceptor(executor), all_closed_signal(executor), limits(bounds),
          on_request(std::move(request_handler)) {}

    void listen(const tcp::endpoint& address);
    asio::awaitable<void> accept_all();
    asio::awaitable<void> serve_connection(std::shared_ptr<connection> client);
    asio::awaitable<bool> await_first_byte(connection& client, bool first_request);
    asio::awaitable<bool> serve_request(connection& client);
    asio::awaitable<bool> reject(connection& client, error_code failure, bool in_body);
    asio::awaitable<bool> write(connection& client, http_response& response);
    void begin_stop();
    void close_longest_waiting();

    tcp::acceptor acceptor;
    asio::steady_timer all_closed_signal;
    http_limits limits;
    handler on_request;
    connection_set open_connections;
    bool stopping = false;
};

void http_server::shared_state::listen(const tcp::endpoint& address) {
    acceptor.open(address.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(address);
    acceptor.listen();
}

// Accepts until the listening socket is closed.
asio::awaitable<void> http_server::shared_state::accept_all() {
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        error_code failure;
        tcp::socket socket(acceptor.get_executor());
        co_await acceptor.async_accept(socket, await_with_error(failure));
        if (failure == asio::error::operation_aborted) break;
        if (failure) {
            // Probably out of file descriptors: wait for connections to close instead of retrying in a busy
            // loop.
            asio::steady_timer pause(acceptor.get_executor(), std::chrono::milliseconds(20));
            co_await pause.async_wait(await_with_error(failure));
            continue;
        }
        socket.set_option(tcp::no_delay(true), failure);
        if (limits.connections != 0 && open_connections.size() >= limits.connections) close_longest_waiting();
        auto client = std::make_shared<connection>(std::move(socket));
        open_connections.insert(client);
        asio::co_spawn(acceptor.get_executor(), serve_connection(std::move(client)), asio::detached);
    }
}

// Closes the connection that has waited longest for bytes of its caller.
void http_server::shared_state::close_longest_waiting() {
    const std::shared_ptr<connection>* longest = nullptr;
    for (const auto& client : open_connections) {
        if (client->handling || !client->socket.is_open()) continue;
        if (longest == nullptr || client->waiting_since < (*longest)->waiting_since) longest = &client;
    }
    if (longest == nullptr) return;
    error_code ignored;
    (*longest)->socket.close(ignored);
}

// Serves the requests of one connection in order.
asio::awaitable<void> http_server::shared_state::serve_connection(std::shared_ptr<connection> client) {
    const auto self = shared_from_this();
    bool keep_open = true;
    try {
        for (bool first_request = true; keep_open; first_request = false) {
            keep_open = co_await await_first_byte(*client, first_request);
            if (!keep_open) break;
            keep_open = co_await serve_request(*client);
        }
    } catch (const std::exception&) {
        keep_open = false;
    }
    client->close();
    open_connections.erase(client);
    if (open_connections.empty()) all_closed_signal.cancel();
}

// Waits for the first byte of a request; false if the client closes or sends nothing in time, or the server
// stops.
asio::awaitable<bool> http_server::shared_state::await_first_byte(connection& client, bool first_request) {
    if (client.buffer.size() > 0) co_return true;
    if (stopping) co_return false;
    client.idle = true;
    client.waiting_since = std::chrono::steady_clock::now();
    client.start_phase_timer(first_request ? limits.header_timeout : limits.idle_timeout, false);
    error_code failure;
    const auto space = client.buffer.prepare(4096);
    const std::size_t count = co_await client.socket.async_read_some(space, await_with_error(failure));
    client.stop_phase_timer();
    client.idle = false;
    client.buffer.commit(count);
    co_return !failure && count > 0;
}

// Reads one request and writes its response; false if the connection must close.
asio::awaitable<bool> http_server::shared_state::serve_request(connection& client) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    error_code failure;
    client.start_phase_timer(limits.header_timeout, false);
    co_await http::async_read_header(client.socket, client.buffer, parser, await_with_error(failure));
    if (failure) {
        co_return co_await reject(client, failure, false);
    }
    client.start_phase_timer(limits.body_timeout, false);
    if (!parser.is_done() && parser.get()[http::field::expect] == "100-continue") {
        http::response<http::empty_body> continue_response(http::status::continue_, 11);
        co_await http::async_write(client.socket, continue_response, await_with_error(failure));
    }
    co_await http::async_read(client.socket, client.buffer, parser, await_with_error(failure));
    if (failure) {
        co_return co_await reject(client, failure, true);
    }
    client.stop_phase_timer();
    client.handling = true;

    http_request request = parser.release();
    const bool keep_alive = request.keep_alive();
    const unsigned version = request.version();
    const bool head_request = request.method() == http::verb::head;
    http_response response;
    bool drop = false;
    try {
        response = co_await on_request(std::move(request));
    } catch (const close_without_response&) {
        drop = true;
    } catch (const std::exception& problem) {
        response = make_response(500, problem.what(), "text/plain");
    }
    if (drop) co_return false;
    if (head_request) response.body().clear();
    response.version(version);
    response.keep_alive(keep_alive && !stopping);
    co_return co_await write(client, response);
}

// Responds to invalid input with a 4xx status. Always returns false: where the next request would begin in
// the stream is unknown.
asio::awaitable<bool> http_server::shared_state::reject(connection& client, error_code failure,
                                                        bool in_body) {
    const bool expired = client.expired;
    const unsigned status = expired ? 408 : status_for(failure);
    if (status == 0) co_return false;
    const auto* reason = in_body ? "the request body is unusable: " : "the request header is unusable: ";
    auto response = make_response(status, reason + (expired ? "timed out" : failure.message()), "text/plain");
    response.keep_alive(false);
    co_await write(client, response);
    if (expired) co_return false;
    // Closing with unread input would reset the connection, and the client could lose the response.
    error_code stream_failure;
    client.socket.shutdown(tcp::socket::shutdown_send, stream_failure);
    client.start_phase_timer(time_ms{1000}, true);
    std::array<char, 16384> discarded{};
    while (!stream_failure) {
        co_await client.socket.async_read_some(asio::buffer(discarded), await_with_error(stream_failure));
    }
    co_return false;
}

// Writes a response; false if the connection must close.
asio::awaitable<bool> http_server::shared_state::write(connection& client, http_response& response) {
    response.prepare_payload();
    client.start_phase_timer(limits.write_timeout, true);
    error_code failure;
    co_await http::async_write(client.socket, response, await_with_error(failure));
    client.stop_phase_timer();
    client.handling = false;
    co_return !failure && response.keep_alive();
}

void http_server::shared_state::begin_stop() {
    stopping = true;
    error_code ignored;
    acceptor.close(ignored);
    for (const auto& client : open_connections) {
        if (client->idle) client->socket.close(ignored);
    }
}

http_response make_response(unsigned status, std::string body, std::string_view content_type) {
    http_response response;
    response.version(11);
    response.result(status);
    response.set(http::field::content_type, content_type);
    response.body() = std::move(body);
    return response;
}

http_server::http_server(const asio::any_io_executor& executor, std::string_view listen,
                         const http_limits& limits, handler on_request)
    : state_(std::make_shared<shared_state>(executor, limits, std::move(on_request))) {
    state_->listen(parse_socket_address(listen));
    asio::co_spawn(executor, state_->accept_all(), asio::detached);
}

http_server::~http_server() {
    state_->begin_stop();
    for (const auto& client : state_->open_connections) {
        client->close();
    }
}

std::string http_server::address() const {
    return to_string(state_->acceptor.local_endpoint());
}

std::size_t http_server::connections() const {
    return state_->open_connections.size();
}

asio::awaitable<void> http_server::stop() {
    const auto state = state_;
    state->begin_stop();
    while (!state->open_connections.empty()) {
        state->all_closed_signal.expires_at(std::chrono::steady_clock::time_point::max());
        error_code ignored;
        co_await state->all_closed_signal.async_wait(await_with_error(ignored));
    }
}

} // namespace lacewing
