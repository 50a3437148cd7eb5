#pragma once

#include <utility>

#include "state/time_ms.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace lacewing {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/// @brief Builds a response with a body; the server adds the Content-Length and Connection headers.
http_response make_response(unsigned status, std::string body,
                            std::string_view content_type = "application/json");

/// @brief Size and time limits of one connection.
struct http_limits {
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = std::uint64_t{2} * 1024 * 1024;
    /// For the first byte after the accept, and from the first byte of a request to the end of its header.
    time_ms header_timeout{5000};
    time_ms body_timeout{30000};
    /// Longest time between two requests on one connection.
    time_ms idle_timeout{60000};
    time_ms write_timeout{30000};
    /// Most open connections; 0 for no limit. At the limit, a new one replaces the one that has waited
    /// longest for bytes of its caller.
    std::size_t connections = 0;
};

/// @brief Thrown by a handler to close the connection without a response.
class close_without_response : public std::runtime_error {
public:
    close_without_response() : std::runtime_error("connection dropped by the handler") {}
};

/// @brief HTTP/1.1 server that buffers whole bodies. Its executor must run handlers on one thread at a time.
class http_server {
public:
    /// Returns the response to a request; a std::exception other than close_without_response becomes a 500
    /// with its text.
    using handler = std::function<boost::asio::awaitable<http_response>(http_request)>;

    /// @brief Binds the address and starts accepting.
    /// @param listen "ip:port"; port 0 selects a free port.
    /// @throws std::invalid_argument for a malformed address, boost::system::system_error when binding fails.
    http_server(const boost::asio::any_io_executor& executor, std::string_view listen,
                const http_limits& limits, handler on_request);
    /// Closes the listening socket and all connections.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// @brief Bound "ip:port".
    [[nodiscard]] std::string address() const;

    /// @brief Number of open connections.
    [[nodiscard]] std::size_t connections() const;

    /// @brief Stops accepting, closes idle connections and waits until the requests in flight have their
    /// responses.
    boost::asio::awaitable<void> stop();

private:
    struct shared_state;
    std::shared_ptr<shared_state> state_;
};

} // namespace lacewing
