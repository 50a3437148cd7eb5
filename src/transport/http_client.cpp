#include "transport/http_client.h"

#include "transport/ip_address.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <fmt/format.h>

#include <chrono>
#include <optional>

namespace lacewing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

auto completion(error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

struct pooled_connection {
    explicit pooled_connection(const asio::any_io_executor& executor) : stream(executor) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

using connection_ptr = std::unique_ptr<pooled_connection>;

} // namespace

struct http_client::shared_state {
    asio::awaitable<connection_ptr> connect(std::chrono::steady_clock::time_point deadline);
    asio::awaitable<std::optional<http_response>> exchange(connection_ptr connection, http_request& request,
                                                           bool reused);
    connection_ptr take_idle();
    [[noreturn]] void fail(http_failure kind, std::string_view what, error_code failure) const;

    asio::any_io_executor executor;
    tcp::endpoint endpoint;
    std::string address;
    http_client_options options;
    std::vector<connection_ptr> idle;
};

void http_client::shared_state::fail(http_failure kind, std::string_view what, error_code failure) const {
    if (failure == beast::error::timeout) {
        // A connection that was not established has carried nothing.
        const auto late = kind == http_failure::connect_failed ? kind : http_failure::timed_out;
        throw http_error(late, fmt::format("{}: {} timed out", address, what));
    }
    throw http_error(kind, fmt::format("{}: {} failed: {}", address, what, failure.message()));
}

// Takes a pooled connection that the server has not closed; nothing when there is none.
connection_ptr http_client::shared_state::take_idle() {
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        auto& socket = connection->stream.socket();
        char byte = 0;
        error_code state;
        socket.non_blocking(true, state);
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, state);
        if (state == asio::error::would_block) return connection;
    }
    return nullptr;
}

asio::awaitable<connection_ptr>
http_client::shared_state::connect(std::chrono::steady_clock::time_point deadline) {
    auto connection = std::make_unique<pooled_connection>(executor);
    connection->stream.expires_at(deadline);
    error_code failure;
    co_await connection->stream.async_connect(endpoint, completion(failure));
    if (failure) fail(http_failure::connect_failed, "connect", failure);
    connection->stream.socket().set_option(tcp::no_delay(true), failure);
    co_return connection;
}

// Sends the request and reads the answer. Nothing when a reused connection was closed before any byte of the
// answer.
asio::awaitable<std::optional<http_response>>
http_client::shared_state::exchange(connection_ptr connection, http_request& request, bool reused) {
    error_code sending;
    co_await http::async_write(connection->stream, request, completion(sending));
    if (sending == beast::error::timeout) fail(http_failure::timed_out, "sending the request", sending);
    // A server may answer and close before it has read the whole body, so a failed write still reads.
    http::response_parser<http::string_body> parser;
    parser.body_limit(options.answer_bytes);
    if (request.method() == http::verb::head) parser.skip(true);
    error_code failure;
    co_await http::async_read(connection->stream, connection->buffer, parser, completion(failure));
    if (failure) {
        const bool no_byte = !parser.got_some() && connection->buffer.size() == 0;
        if (reused && no_byte && failure != beast::error::timeout) co_return std::nullopt;
        const bool ended = failure == http::error::end_of_stream || failure == http::error::partial_message ||
                           failure.category() != http::make_error_code(http::error::bad_status).category();
        fail(ended ? http_failure::closed : http_failure::malformed_answer, "reading the answer", failure);
    }
    http_response answer = parser.release();
    if (!sending && answer.keep_alive() && connection->buffer.size() == 0 &&
        idle.size() < options.max_idle_connections) {
        connection->stream.expires_never();
        idle.push_back(std::move(connection));
    }
    co_return answer;
}

http_client::http_client(asio::any_io_executor executor, std::string_view address,
                         const http_client_options& options)
    : state_(std::make_shared<shared_state>()) {
    state_->executor = std::move(executor);
    state_->endpoint = parse_socket_address(address);
    state_->address = std::string(address);
    state_->options = options;
}

const std::string& http_client::address() const {
    return state_->address;
}

asio::awaitable<http_response> http_client::request(std::string method, std::string target,
                                                    http_headers headers, std::string body, time_ms timeout) {
    const auto state = state_;
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout.count);
    http_request request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    request.set(http::field::host, state->address);
    for (const auto& [name, value] : headers) {
        request.set(name, value);
    }
    request.body() = std::move(body);
    request.prepare_payload();

    // Only a GET is repeated: the server may have acted on another request before it closed the connection.
    const bool repeatable = request.method() == http::verb::get;
    connection_ptr connection = state->take_idle();
    if (connection != nullptr) {
        connection->stream.expires_at(deadline);
        std::optional<http_response> answer = co_await state->exchange(std::move(connection), request, true);
        if (answer) co_return std::move(*answer);
        if (!repeatable) {
            state->fail(http_failure::closed, "sending on a kept connection", http::error::end_of_stream);
        }
    }
    connection = co_await state->connect(deadline);
    std::optional<http_response> answer = co_await state->exchange(std::move(connection), request, false);
    co_return std::move(*answer);
}

} // namespace lacewing
