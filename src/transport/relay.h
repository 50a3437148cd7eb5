#pragma once

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <span>

namespace lacewing {

/// @brief Whether a body was relayed completely, or which side failed.
enum class relay_result : std::uint8_t { complete, source_failed, sink_failed };

/// @brief Copies the remaining body from one connection to another in chunks. Each chunk is written before
/// the next is read, so memory stays bounded and a slow receiver slows the sender down.
/// @param source Connection to read from.
/// @param buffer Bytes read from the source and not yet parsed.
/// @param parser Parser whose header is complete.
/// @param sink Connection to write to.
/// @param serializer Serializer over a buffer_body message whose header has been written.
/// @param outgoing Message of the serializer.
/// @param scratch Memory for one chunk.
/// @param idle_limit Longest time for reading or writing one chunk.
/// @param on_chunk Called before each chunk is read; when it returns false, the relay ends as if the source
/// had failed. May be empty.
template <bool IsRequest>
boost::asio::awaitable<relay_result>
relay_body(boost::beast::tcp_stream& source, boost::beast::flat_buffer& buffer,
           boost::beast::http::parser<IsRequest, boost::beast::http::buffer_body>& parser,
           boost::beast::tcp_stream& sink,
           boost::beast::http::serializer<IsRequest, boost::beast::http::buffer_body>& serializer,
           boost::beast::http::message<IsRequest, boost::beast::http::buffer_body>& outgoing,
           std::span<char> scratch, std::chrono::milliseconds idle_limit,
           std::function<bool()> on_chunk = {}) {
    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    while (!parser.is_done()) {
        if (on_chunk && !on_chunk()) co_return relay_result::source_failed;
        auto& incoming = parser.get().body();
        incoming.data = scratch.data();
        incoming.size = scratch.size();
        boost::system::error_code failure;
        source.expires_after(idle_limit);
        co_await http::async_read(source, buffer, parser, asio::redirect_error(asio::use_awaitable, failure));
        if (failure && failure != http::error::need_buffer) co_return relay_result::source_failed;

        outgoing.body().data = scratch.data();
        outgoing.body().size = scratch.size() - incoming.size;
        outgoing.body().more = !parser.is_done();
        failure = {};
        sink.expires_after(idle_limit);
        co_await http::async_write(sink, serializer, asio::redirect_error(asio::use_awaitable, failure));
        if (failure && failure != http::error::need_buffer) co_return relay_result::sink_failed;
    }
    co_return relay_result::complete;
}

/// @brief Reads body bytes into `chunk` until it is full or the body ends.
/// @param idle_limit Longest time for one read.
/// @return Number of bytes read; parser.is_done() tells whether the body is complete.
/// @throws boost::system::system_error when the connection fails.
template <bool IsRequest>
boost::asio::awaitable<std::size_t>
read_body_chunk(boost::beast::tcp_stream& source, boost::beast::flat_buffer& buffer,
                boost::beast::http::parser<IsRequest, boost::beast::http::buffer_body>& parser,
                std::span<char> chunk, std::chrono::milliseconds idle_limit) {
    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    std::size_t filled = 0;
    while (!parser.is_done() && filled < chunk.size()) {
        auto& body = parser.get().body();
        body.data = chunk.data() + filled;
        body.size = chunk.size() - filled;
        boost::system::error_code failure;
        source.expires_after(idle_limit);
        co_await http::async_read(source, buffer, parser, asio::redirect_error(asio::use_awaitable, failure));
        if (failure && failure != http::error::need_buffer) throw boost::system::system_error(failure);
        filled = chunk.size() - body.size;
    }
    co_return filled;
}

} // namespace lacewing
