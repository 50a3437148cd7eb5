#pragma once

#include "protocol/framing.h"
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

/// @brief Connection to an endpoint.
struct endpoint_connection {
    explicit endpoint_connection(const boost::asio::any_io_executor& executor) : stream(executor) {}
    ~endpoint_connection() {
        if (closed) closed();
    }
    endpoint_connection(const endpoint_connection&) = delete;
    endpoint_connection& operator=(const endpoint_connection&) = delete;
    endpoint_connection(endpoint_connection&&) = delete;
    endpoint_connection& operator=(endpoint_connection&&) = delete;

    /// "ip:port" of the endpoint.
    std::string address;
    boost::beast::tcp_stream stream;
    /// Bytes that were read and not yet parsed.
    boost::beast::flat_buffer buffer{max_connection_buffer_bytes};
    /// Time of the last put_idle().
    time_ms idle_since;
    /// The connection has carried a request before, so bytes of an earlier answer may arrive on it.
    bool used_before = false;
    /// Longest time for which an idle connection is kept; the endpoint may announce another one.
    time_ms idle_limit{3000};
    /// Digests of the requests whose refusals have arrived on this connection.
    std::vector<std::uint64_t> refused;
    /// Called when this object is destroyed; may be empty.
    std::function<void()> closed;

    /// @brief Records that the endpoint has refused a request on this connection. A copy of that refusal may
    /// still arrive, and could not be told from the answer to a repeat of the request.
    /// @param request_id Id that the refusal names.
    void record_refusal(std::string_view request_id);
    /// @brief Whether a request of this id was refused on this connection.
    [[nodiscard]] bool has_refused(std::string_view request_id) const;
};

/// @brief Pool of idle keep-alive connections to endpoints, by address. For use by one thread only.
class endpoint_connection_pool {
public:
    explicit endpoint_connection_pool(boost::asio::any_io_executor executor)
        : executor_(std::move(executor)) {}

    /// @brief Takes an idle connection that the endpoint has neither closed nor written to, and on which it
    /// has not refused the same request before; null if there is none.
    /// @param address ip:port of the endpoint.
    /// @param request_id Id of the request to send; empty if each send has an id of its own.
    std::shared_ptr<endpoint_connection> take_idle(std::string_view address, time_ms now,
                                                   std::string_view request_id = {});

    /// @brief Creates a connection object without connecting it.
    std::shared_ptr<endpoint_connection> create(std::string_view address);

    /// @brief Connects to an endpoint.
    /// @param address ip:port of the endpoint.
    /// @param timeout Time limit for connecting.
    /// @throws error with error_kind::endpoint_refused when connecting fails or times out.
    boost::asio::awaitable<std::shared_ptr<endpoint_connection>> connect(std::string address,
                                                                         time_ms timeout);

    /// @brief Keeps a connection for reuse after a complete response has been read. A connection with unread
    /// bytes or many refusals, or above the limit per endpoint, is dropped instead.
    void put_idle(std::shared_ptr<endpoint_connection> connection, time_ms now);

    /// @brief Drops connections that have been idle for longer than their limit.
    void close_expired(time_ms now);

    /// @brief Drops the connections to an endpoint that were last used before a time.
    /// @param address ip:port of the endpoint.
    void drop_idle(std::string_view address, time_ms used_before);

    /// @brief Number of idle connections to all endpoints.
    [[nodiscard]] std::size_t idle_count() const;

private:
    using connection_list = std::vector<std::shared_ptr<endpoint_connection>>;

    boost::asio::any_io_executor executor_;
    std::unordered_map<std::string, connection_list> idle_;
};

} // namespace lacewing
