#pragma once

#include "state/time_ms.h"

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief Connection to an endpoint with the bytes that were read and not yet parsed.
struct endpoint_connection {
    explicit endpoint_connection(const boost::asio::any_io_executor& executor) : stream(executor) {}
    ~endpoint_connection() {
        if (closed) closed();
    }
    endpoint_connection(const endpoint_connection&) = delete;
    endpoint_connection& operator=(const endpoint_connection&) = delete;
    endpoint_connection(endpoint_connection&&) = delete;
    endpoint_connection& operator=(endpoint_connection&&) = delete;

    std::string address;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    time_ms idle_since;
    /// Longest time for which the connection is kept; the endpoint may announce another one.
    time_ms idle_limit{3000};
    /// Called when the connection ends; may be empty.
    std::function<void()> closed;
};

/// @brief Idle connections to endpoints, by address; used by one thread.
class endpoint_connection_pool {
public:
    explicit endpoint_connection_pool(boost::asio::any_io_executor executor)
        : executor_(std::move(executor)) {}

    /// @brief An idle connection that the endpoint has neither closed nor written to, or null.
    /// @param address ip:port of the endpoint.
    std::shared_ptr<endpoint_connection> take_idle(std::string_view address, time_ms now);

    /// @brief A connection that has not been opened yet.
    std::shared_ptr<endpoint_connection> create(std::string_view address);

    /// @brief Opens a connection.
    /// @param timeout Longest time to wait.
    /// @throws error with error_kind::endpoint_refused.
    boost::asio::awaitable<std::shared_ptr<endpoint_connection>> connect(std::string address,
                                                                         time_ms timeout);

    /// @brief Keeps a connection for reuse. The caller has read one whole answer and nothing more.
    void put_idle(std::shared_ptr<endpoint_connection> connection, time_ms now);

    /// @brief Closes connections that were idle for too long.
    void close_expired(time_ms now);

    [[nodiscard]] std::size_t idle_count() const;

private:
    using connections = std::vector<std::shared_ptr<endpoint_connection>>;

    boost::asio::any_io_executor executor_;
    std::unordered_map<std::string, connections> idle_;
};

} // namespace lacewing
