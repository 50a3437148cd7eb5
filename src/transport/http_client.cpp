#include "transport/http_client.h"

#include "protocol/answer_end.h"
#include "protocol/framing.h"
#include "transport/ip_address.h"
#include "transport/reset_on_close.h"

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

auto await_with_error(error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

struct pooled_connection {
    explicit pooled_connection(const asio::any_io_executor& executor) : stream(executor) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_connection_buffer_bytes};
};

using connection_ptr = std::unique_ptr<pooled_connection>;
using head_parser = http::response_parser<http::empty_body>;
using held_parser = http::response_parser<http::string_body>;
using streamed_parser = http::response_parser<http::buffer_body>;

// Piece of a body that is passed on at once.
constexpr std::size_t streamed_piece_bytes = std::size_t{32} * 1024;

// Reads the body of a response whose head has been read, and holds it.
asio::awaitable<http_response> read_held_body(pooled_connection& connection, held_parser& parser,
                                              error_code& failure) {
    if (!parser.is_done()) {
        co_await http::async_read(connection.stream, connection.buffer, parser, await_with_error(failure));
    }
    co_return parser.release();
}

// Reads the body of a response whose head has been read, and passes it on.
asio::awaitable<http_response> read_streamed_body(pooled_connection& connection, streamed_parser& parser,
                                                  const body_receiver& receiver, error_code& failure) {
    std::vector<char> piece(parser.is_done() ? 0 : streamed_piece_bytes);
    while (!failure && !parser.is_done()) {
        auto& body = parser.get().body();
        body.data = piece.data();
        body.size = piece.size();
        co_await http::async_read(connection.stream, connection.buffer, parser, await_with_error(failure));
        if (failure == http::error::need_buffer) failure = {};
        const bool usable = receiver({piece.data(), piece.size() - body.size});
        if (!failure && !usable) failure = http::error::bad_value;
    }
    co_return http_response(parser.release().base());
}

} // namespace

struct http_client::shared_state {
    asio::awaitable<connection_ptr> connect(std::chrono::steady_clock::time_point deadline);
    asio::awaitable<std::optional<http_response>> exchange(connection_ptr connection, http_request& request,
                                                           bool reused, const body_receiver& receiver);
    connection_ptr take_idle();
    [[noreturn]] void throw_failure(http_failure kind, std::string_view action, error_code failure) const;

    asio::any_io_executor executor;
    tcp::endpoint endpoint;
    std::string address;
    http_client_options options;
    std::vector<connection_ptr> idle;
};

void http_client::shared_state::throw_failure(http_failure kind, std::string_view action,
                                              error_code failure) const {
    if (failure == beast::error::timeout) {
        // A connect that times out stays connect_failed: no byte of the request was sent.
        const auto reported_kind = kind == http_failure::connect_failed ? kind : http_failure::timed_out;
        throw http_error(reported_kind, fmt::format("{}: {} timed out", address, action));
    }
    throw http_error(kind, fmt::format("{}: {} failed: {}", address, action, failure.message()));
}

// Takes a pooled connection that the server has neither closed nor written to; null if there is none.
connection_ptr http_client::shared_state::take_idle() {
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        auto& socket = connection->stream.socket();
        char byte = 0;
        error_code failure;
        socket.non_blocking(true, failure);
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
        if (failure == asio::error::would_block) return connection;
    }
    return nullptr;
}

asio::awaitable<connection_ptr>
http_client::shared_state::connect(std::chrono::steady_clock::time_point deadline) {
    auto connection = std::make_unique<pooled_connection>(executor);
    connection->stream.expires_at(deadline);
    error_code failure;
    co_await connection->stream.async_connect(endpoint, await_with_error(failure));
    if (failure) throw_failure(http_failure::connect_failed, "connect", failure);
    connection->stream.socket().set_option(tcp::no_delay(true), failure);
    set_reset_on_close(connection->stream.socket());
    co_return connection;
}

// Sends the request and reads the response; nullopt if a reused connection was closed before the first byte
// of the response.
asio::awaitable<std::optional<http_response>>
http_client::shared_state::exchange(connection_ptr connection, http_request& request, bool reused,
                                    const body_receiver& receiver) {
    if (options.may_send && !options.may_send())
        throw http_error(http_failure::connect_failed, fmt::format("{}: the request was withdrawn", address));
    error_code write_failure;
    co_await http::async_write(connection->stream, request, await_with_error(write_failure));
    if (write_failure == beast::error::timeout) {
        idle.clear();
        throw_failure(http_failure::timed_out, "sending the request", write_failure);
    }
    // A server may respond and close before it has read the whole body, so read even after a failed write.
    std::optional<head_parser> head;
    error_code failure;
    for (int interim_answers = 0; interim_answers <= max_interim_answers; ++interim_answers) {
        head.emplace();
        head->body_limit(receiver ? options.max_streamed_bytes : options.max_response_bytes);
        if (request.method() == http::verb::head) head->skip(true);
        // The head by itself: when both are parsed together, this version of Beast loses the error of a
        // length over the limit, and allocates that length.
        co_await http::async_read_header(connection->stream, connection->buffer, *head,
                                         await_with_error(failure));
        if (failure || kind_of_status(head->get().result_int()) != status_kind::interim) break;
    }
    if (!failure && kind_of_status(head->get().result_int()) != status_kind::final)
        throw_failure(http_failure::malformed_answer, "reading the response", http::error::bad_status);
    const bool any_bytes = head->got_some() || connection->buffer.size() > 0;
    const auto delimiter = delimiter_of(*head);
    http_response response;
    const bool streams = receiver && head->get().result_int() / 100 == 2;
    if (!failure && !streams && head->content_length().value_or(0) > options.max_response_bytes)
        failure = http::error::body_limit;
    if (!failure && streams) {
        streamed_parser parser(std::move(*head));
        response = co_await read_streamed_body(*connection, parser, receiver, failure);
    } else if (!failure) {
        head->body_limit(options.max_response_bytes);
        held_parser parser(std::move(*head));
        response = co_await read_held_body(*connection, parser, failure);
    }
    // What has silenced one connection may have silenced the pooled ones as well.
    if (failure == beast::error::timeout) idle.clear();
    if (failure) {
        if (reused && !any_bytes && failure != beast::error::timeout) co_return std::nullopt;
        const bool connection_ended =
            failure == http::error::end_of_stream || failure == http::error::partial_message ||
            failure.category() != http::make_error_code(http::error::bad_status).category();
        throw_failure(connection_ended ? http_failure::closed : http_failure::malformed_answer,
                      "reading the response", failure);
    }
    if (delimiter == answer_delimiter::connection_end &&
        !is_complete_answer(answer_delimiter::connection_end, answer_end::closed,
                            write_failure ? request_progress::unfinished : request_progress::written))
        throw_failure(http_failure::closed, "sending the request", write_failure);
    if (!write_failure && response.keep_alive() && connection->buffer.size() == 0 &&
        idle.size() < options.max_idle_connections) {
        connection->stream.expires_never();
        idle.push_back(std::move(connection));
    }
    co_return response;
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
                                                    http_headers headers, std::string body, time_ms timeout,
                                                    body_receiver receiver) {
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

    // Only a GET is retried: the server may have executed another request before it closed the connection.
    const bool retryable = request.method() == http::verb::get;
    connection_ptr connection = state->take_idle();
    if (connection != nullptr) {
        connection->stream.expires_at(deadline);
        std::optional<http_response> response =
            co_await state->exchange(std::move(connection), request, true, receiver);
        if (response) co_return std::move(*response);
        if (!retryable) {
            state->throw_failure(http_failure::closed, "sending on a reused connection",
                                 http::error::end_of_stream);
        }
    }
    connection = co_await state->connect(deadline);
    std::optional<http_response> response =
        co_await state->exchange(std::move(connection), request, false, receiver);
    co_return std::move(*response);
}

} // namespace lacewing
