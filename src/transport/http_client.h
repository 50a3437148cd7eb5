#pragma once

#include "state/time_ms.h"
#include "transport/http_server.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewing {

using http_headers = std::vector<std::pair<std::string, std::string>>;

enum class http_failure : std::uint8_t {
    /// No byte of the request was sent.
    connect_failed,
    timed_out,
    /// The connection ended before the answer was complete.
    closed,
    malformed_answer,
};

/// @brief A request that received no complete answer.
class http_error : public std::runtime_error {
public:
    http_error(http_failure failure, const std::string& detail)
        : std::runtime_error(detail), failure_(failure) {}
    [[nodiscard]] http_failure failure() const { return failure_; }

private:
    http_failure failure_;
};

struct http_client_options {
    std::size_t max_idle_connections = 8;
    std::uint64_t answer_bytes = std::uint64_t{64} * 1024 * 1024;
};

/// @brief HTTP/1.1 client of one address with a pool of kept-alive connections. Must be used on one thread at
/// a time.
class http_client {
public:
    /// @param address "ip:port".
    /// @throws std::invalid_argument for a malformed address.
    http_client(boost::asio::any_io_executor executor, std::string_view address,
                const http_client_options& options = {});

    /// @brief Sends one request. A GET is sent a second time on a new connection when a reused connection
    /// turns out to be closed before any byte of the answer; nothing else is repeated.
    /// @param timeout For connecting, sending and the complete answer.
    /// @throws http_error when there is no complete answer; the message names the address and the cause.
    boost::asio::awaitable<http_response> request(std::string method, std::string target,
                                                  http_headers headers, std::string body, time_ms timeout);

    [[nodiscard]] const std::string& address() const;

private:
    struct shared_state;
    std::shared_ptr<shared_state> state_;
};

} // namespace lacewing
