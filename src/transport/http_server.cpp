#include "transport/http_server.h"

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

auto completion(error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

// Status for unusable input; 0 when the connection itself failed and no answer can be delivered.
unsigned status_for(error_code failure) {
    if (failure == http::error::header_limit || failure == http::error::buffer_overflow) return 431;
    if (failure == http::error::body_limit) return 413;
    const bool parser_error = failure.category() == http::make_error_code(http::error::bad_method).category();
    return parser_error && failure != http::error::end_of_stream ? 400 : 0;
}

/// One accepted connection with the timer that bounds its current phase.
struct connection : std::enable_shared_from_this<connection> {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)), timer(socket.get_executor()) {}

    // Starts the time limit of a phase. At expiry a reading phase sees the end of the stream, so that an
    // answer can still be written; a writing phase loses its connection.
    void limit(time_ms duration, bool writing) {
        expired = false;
        const auto armed = ++phase;
        timer.expires_after(to_chrono(duration));
        timer.async_wait([self = shared_from_this(), armed, writing](error_code failure) {
            if (!failure && self->phase == armed) self->expire(writing);
        });
    }

    void unlimit() {
        ++phase;
        timer.cancel();
    }

    void expire(bool writing) {
        expired = true;
        error_code ignored;
        if (!writing) {
            socket.shutdown(tcp::socket::shutdown_receive, ignored);
            return;
        }
        socket.close(ignored);
    }

    void close() {
        unlimit();
        error_code ignored;
        socket.close(ignored);
    }

    tcp::socket socket;
    asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    std::uint64_t phase = 0;
    bool expired = false;
    /// No byte of a next request has been read.
    bool idle = true;
};

} // namespace

struct http_server::shared_state : std::enable_shared_from_this<http_server::shared_state> {
    shared_state(const asio::any_io_executor& executor, const http_limits& bounds, handler answer)
        : acceptor(executor), all_closed(executor), limits(bounds), on_request(std::move(answer)) {}

    void listen(const tcp::endpoint& address);
    asio::awaitable<void> accept_all();
    asio::awaitable<void> serve(std::shared_ptr<connection> peer);
    asio::awaitable<bool> await_first_byte(connection& peer, bool first);
    asio::awaitable<bool> serve_one(connection& peer);
    asio::awaitable<bool> reject(connection& peer, error_code failure, bool in_body);
    asio::awaitable<bool> write(connection& peer, http_response& answer);
    void begin_stop();

    tcp::acceptor acceptor;
    asio::steady_timer all_closed;
    http_limits limits;
    handler on_request;
    connection_set peers;
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
        co_await acceptor.async_accept(socket, completion(failure));
        if (failure == asio::error::operation_aborted) break;
        if (failure) {
            // Out of descriptors: a pause lets connections end instead of spinning on the same error.
            asio::steady_timer pause(acceptor.get_executor(), std::chrono::milliseconds(20));
            co_await pause.async_wait(completion(failure));
            continue;
        }
        socket.set_option(tcp::no_delay(true), failure);
        auto peer = std::make_shared<connection>(std::move(socket));
        peers.insert(peer);
        asio::co_spawn(acceptor.get_executor(), serve(std::move(peer)), asio::detached);
    }
}

// Answers the requests of one connection in order.
asio::awaitable<void> http_server::shared_state::serve(std::shared_ptr<connection> peer) {
    const auto self = shared_from_this();
    bool keep = true;
    try {
        for (bool first = true; keep; first = false) {
            keep = co_await await_first_byte(*peer, first);
            if (!keep) break;
            keep = co_await serve_one(*peer);
        }
    } catch (const std::exception&) {
        keep = false;
    }
    peer->close();
    peers.erase(peer);
    if (peers.empty()) all_closed.cancel();
}

// Waits for a request; false when the peer closes, is silent for too long, or the server stops.
asio::awaitable<bool> http_server::shared_state::await_first_byte(connection& peer, bool first) {
    if (peer.buffer.size() > 0) co_return true;
    if (stopping) co_return false;
    peer.idle = true;
    peer.limit(first ? limits.header_timeout : limits.idle_timeout, false);
    error_code failure;
    const auto space = peer.buffer.prepare(4096);
    const std::size_t count = co_await peer.socket.async_read_some(space, completion(failure));
    peer.unlimit();
    peer.idle = false;
    peer.buffer.commit(count);
    co_return !failure && count > 0;
}

// Reads one request and answers it; false when the connection must close.
asio::awaitable<bool> http_server::shared_state::serve_one(connection& peer) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    error_code failure;
    peer.limit(limits.header_timeout, false);
    co_await http::async_read_header(peer.socket, peer.buffer, parser, completion(failure));
    if (failure) {
        co_return co_await reject(peer, failure, false);
    }
    peer.limit(limits.body_timeout, false);
    if (!parser.is_done() && parser.get()[http::field::expect] == "100-continue") {
        http::response<http::empty_body> proceed(http::status::continue_, 11);
        co_await http::async_write(peer.socket, proceed, completion(failure));
    }
    co_await http::async_read(peer.socket, peer.buffer, parser, completion(failure));
    if (failure) {
        co_return co_await reject(peer, failure, true);
    }
    peer.unlimit();

    http_request request = parser.release();
    const bool keep_alive = request.keep_alive();
    const unsigned version = request.version();
    const bool head = request.method() == http::verb::head;
    http_response answer;
    bool drop = false;
    try {
        answer = co_await on_request(std::move(request));
    } catch (const close_without_response&) {
        drop = true;
    } catch (const std::exception& problem) {
        answer = make_response(500, problem.what(), "text/plain");
    }
    if (drop) co_return false;
    if (head) answer.body().clear();
    answer.version(version);
    answer.keep_alive(keep_alive && !stopping);
    co_return co_await write(peer, answer);
}

// Answers unusable input with a 4xx. Returns false: the position in the stream is unknown afterwards.
asio::awaitable<bool> http_server::shared_state::reject(connection& peer, error_code failure, bool in_body) {
    const bool expired = peer.expired;
    const unsigned status = expired ? 408 : status_for(failure);
    if (status == 0) co_return false;
    const auto* reason = in_body ? "the request body is unusable: " : "the request header is unusable: ";
    auto answer = make_response(status, reason + (expired ? "timed out" : failure.message()), "text/plain");
    answer.keep_alive(false);
    co_await write(peer, answer);
    if (expired) co_return false;
    // Closing with unread input would reset the connection and could discard the answer at the peer.
    error_code ended;
    peer.socket.shutdown(tcp::socket::shutdown_send, ended);
    peer.limit(time_ms{1000}, true);
    std::array<char, 16384> discarded{};
    while (!ended) {
        co_await peer.socket.async_read_some(asio::buffer(discarded), completion(ended));
    }
    co_return false;
}

// Writes an answer; false when the connection must close.
asio::awaitable<bool> http_server::shared_state::write(connection& peer, http_response& answer) {
    answer.prepare_payload();
    peer.limit(limits.write_timeout, true);
    error_code failure;
    co_await http::async_write(peer.socket, answer, completion(failure));
    peer.unlimit();
    co_return !failure && answer.keep_alive();
}

void http_server::shared_state::begin_stop() {
    stopping = true;
    error_code ignored;
    acceptor.close(ignored);
    for (const auto& peer : peers) {
        if (peer->idle) peer->socket.close(ignored);
    }
}

http_response make_response(unsigned status, std::string body, std::string_view content_type) {
    http_response answer;
    answer.version(11);
    answer.result(status);
    answer.set(http::field::content_type, content_type);
    answer.body() = std::move(body);
    return answer;
}

http_server::http_server(const asio::any_io_executor& executor, std::string_view listen,
                         const http_limits& limits, handler on_request)
    : state_(std::make_shared<shared_state>(executor, limits, std::move(on_request))) {
    state_->listen(parse_socket_address(listen));
    asio::co_spawn(executor, state_->accept_all(), asio::detached);
}

http_server::~http_server() {
    state_->begin_stop();
    for (const auto& peer : state_->peers) {
        peer->close();
    }
}

std::string http_server::address() const {
    return to_string(state_->acceptor.local_endpoint());
}

std::size_t http_server::connections() const {
    return state_->peers.size();
}

asio::awaitable<void> http_server::stop() {
    const auto state = state_;
    state->begin_stop();
    while (!state->peers.empty()) {
        state->all_closed.expires_at(std::chrono::steady_clock::time_point::max());
        error_code woken;
        co_await state->all_closed.async_wait(completion(woken));
    }
}

} // namespace lacewing
