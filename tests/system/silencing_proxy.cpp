#include "silencing_proxy.h"

#include "transport/ip_address.h"

#include <future>

namespace lacewing::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Bound for the memory of this machine, in case that the other side takes all bytes.
constexpr std::size_t max_endless_bytes = std::size_t{256} * 1024 * 1024;

} // namespace

silencing_proxy::silencing_proxy(asio::io_context& context, const std::string& listen,
                                 const std::string& target)
    : context_(context), acceptor_(context, parse_socket_address(listen)),
      target_(parse_socket_address(target)) {
    asio::co_spawn(context_, accept(), asio::detached);
}

asio::awaitable<void> silencing_proxy::accept() {
    for (;;) {
        auto connection = std::make_shared<link>(context_);
        error_code failure;
        co_await acceptor_.async_accept(connection->client,
                                        asio::redirect_error(asio::use_awaitable, failure));
        if (failure) co_return;
        std::erase_if(links_, [](const auto& item) { return !item->client.is_open(); });
        links_.push_back(connection);
        asio::co_spawn(context_, serve(connection), asio::detached);
    }
}

asio::awaitable<void> silencing_proxy::serve(std::shared_ptr<link> connection) {
    error_code failure;
    co_await connection->server.async_connect(target_, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        connection->client.close(failure);
        co_return;
    }
    asio::co_spawn(context_, relay(connection, true), asio::detached);
    asio::co_spawn(context_, relay(connection, false), asio::detached);
}

asio::awaitable<void> silencing_proxy::relay(std::shared_ptr<link> connection, bool to_server) {
    auto& from = to_server ? connection->client : connection->server;
    auto& to = to_server ? connection->server : connection->client;
    std::array<char, 16'384> buffer{};
    for (;;) {
        error_code failure;
        const auto count = co_await from.async_read_some(asio::buffer(buffer),
                                                         asio::redirect_error(asio::use_awaitable, failure));
        if (connection->silent) co_return;
        if (to_server && !failure && !endless_piece_.empty()) {
            co_await write_endless_answer(connection);
            failure = asio::error::eof;
        }
        if (!failure) {
            co_await asio::async_write(to, asio::buffer(buffer.data(), count),
                                       asio::redirect_error(asio::use_awaitable, failure));
        }
        if (!failure) continue;
        connection->client.close(failure);
        connection->server.close(failure);
        co_return;
    }
}

asio::awaitable<void> silencing_proxy::write_endless_answer(std::shared_ptr<link> connection) {
    error_code failure;
    const auto begin = endless_begin_;
    const auto piece = endless_piece_;
    co_await asio::async_write(connection->client, asio::buffer(begin),
                               asio::redirect_error(asio::use_awaitable, failure));
    for (std::size_t sent = 0; !failure && sent < max_endless_bytes;) {
        sent += co_await asio::async_write(connection->client, asio::buffer(piece),
                                           asio::redirect_error(asio::use_awaitable, failure));
    }
}

void silencing_proxy::set_endless_answer(const std::string& begin, const std::string& repeated) {
    constexpr std::size_t piece_bytes = 16'384;
    std::string piece;
    while (!repeated.empty() && piece.size() < piece_bytes)
        piece += repeated;
    std::promise<void> done;
    asio::post(context_, [&] {
        endless_begin_ = begin;
        endless_piece_ = piece;
        done.set_value();
    });
    done.get_future().get();
}

void silencing_proxy::silence() {
    std::promise<void> done;
    asio::post(context_, [&] {
        for (const auto& connection : links_)
            connection->silent = true;
        done.set_value();
    });
    done.get_future().get();
}

} // namespace lacewing::testing
