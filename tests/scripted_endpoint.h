#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio.hpp>
#include <fmt/format.h>

namespace lacewing::testing {

/// @brief Server that answers its n-th request, over all connections, with the n-th script. Requests have no
/// body.
struct scripted_endpoint {
    struct script {
        std::string bytes;
        /// Close the connection after the bytes.
        bool close = false;
        /// Reset the connection after the bytes.
        bool reset = false;
        /// Sent again and again after the bytes, until the other side closes or max_endless_bytes are sent.
        std::string endless{};
        /// Send the bytes in pieces of this size, each in a packet of its own; 0 for all at once.
        std::size_t piece_bytes = 0;
    };
    static constexpr std::size_t max_endless_bytes = std::size_t{32} * 1024 * 1024;

    scripted_endpoint(boost::asio::io_context& context, std::vector<script> script_list)
        : acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          scripts(std::move(script_list)) {
        boost::asio::co_spawn(context, accept(), boost::asio::detached);
    }

    [[nodiscard]] std::string address() const {
        return fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
    }

    boost::asio::awaitable<void> accept() {
        for (;;) {
            auto socket = co_await acceptor.async_accept(boost::asio::use_awaitable);
            ++connections;
            boost::asio::co_spawn(acceptor.get_executor(), serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket) {
        std::string received;
        for (;;) {
            boost::system::error_code failure;
            const auto head = co_await boost::asio::async_read_until(
                socket, boost::asio::dynamic_buffer(received), "\r\n\r\n",
                boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            if (failure || next >= scripts.size()) co_return;
            received.erase(0, head);
            const auto script = scripts[next++];
            co_await write_pieces(socket, script, failure);
            const auto piece = repeated(script.endless);
            std::size_t sent = 0;
            while (!piece.empty() && !failure && sent < max_endless_bytes) {
                sent += co_await boost::asio::async_write(
                    socket, boost::asio::buffer(piece),
                    boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            }
            endless_bytes += sent;
            if (script.reset) {
                // The destructor of a socket ignores the linger option, so the socket is closed explicitly.
                socket.set_option(boost::asio::socket_base::linger(true, 0), failure);
                socket.close(failure);
            }
            if (script.close || script.reset) co_return;
        }
    }

    static boost::asio::awaitable<void> write_pieces(boost::asio::ip::tcp::socket& socket,
                                                     const script& script,
                                                     boost::system::error_code& failure) {
        socket.set_option(boost::asio::ip::tcp::no_delay(true));
        const auto size = script.piece_bytes == 0 ? script.bytes.size() : script.piece_bytes;
        boost::asio::steady_timer pause(socket.get_executor());
        for (std::size_t at = 0; at < script.bytes.size() && !failure; at += size) {
            const auto piece = std::string_view(script.bytes).substr(at, size);
            co_await boost::asio::async_write(
                socket, boost::asio::buffer(piece.data(), piece.size()),
                boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            if (script.piece_bytes == 0) continue;
            pause.expires_after(std::chrono::milliseconds(1));
            co_await pause.async_wait(boost::asio::use_awaitable);
        }
    }

    // A few kilobytes of whole repetitions, so that sending them takes few calls.
    static std::string repeated(const std::string& text) {
        std::string made;
        while (!text.empty() && made.size() < 4096)
            made += text;
        return made;
    }

    boost::asio::ip::tcp::acceptor acceptor;
    std::size_t endless_bytes = 0;
    std::vector<script> scripts;
    std::size_t next = 0;
    int connections = 0;
};

} // namespace lacewing::testing
