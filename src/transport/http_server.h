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

/// @brief Builds an answer with a body; the server adds the length and the connection header.
http_response make_response(unsigned status, std::string body,
                            std::string_view content_type = "application/json");

/// @brief Bounds on the input of one connection.
struct http_limits {
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = std::uint64_t{2} * 1024 * 1024;
    /// From the first byte of a request, or from the accept, to the end of its header.
    time_ms header_timeout{5000};
    time_ms body_timeout{30000};
    /// Between two requests on one connection.
    time_ms idle_timeout{60000};
    time_ms write_timeout{30000};
};

/// @brief Thrown by a handler to close the connection without an answer.
class close_without_response : public std::runtime_error {
public:
    close_without_response() : std::runtime_error("connection dropped by the handler") {}
};

/// @brief HTTP/1.1 server for whole bodies. Its executor must run handlers on one thread at a time.
class http_server {
public:
    using handler = std::function<boost::asio::awaitable<http_response>(http_request)>;

    /// @brief Binds and starts to accept.
    /// @param listen "ip:port"; port 0 chooses a free port.
    /// @throws std::invalid_argument for a malformed address, boost::system::system_error when binding fails.
    http_server(const boost::asio::any_io_executor& executor, std::string_view listen,
                const http_limits& limits, handler on_request);
    /// Closes the listening socket and all connections.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// @brief The bound "ip:port".
    [[nodiscard]] std::string address() const;

    /// @brief Number of open connections.
    [[nodiscard]] std::size_t connections() const;

    /// @brief Stops accepting, closes idle connections and waits until the requests in flight are answered.
    boost::asio::awaitable<void> stop();

private:
    struct shared_state;
    std::shared_ptr<shared_state> state_;
};

} // namespace lacewing
