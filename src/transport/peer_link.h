#pragma once

#include "state/time_ms.h"

#include <utility>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lacewing {

/// @brief Limits of the links to peers.
struct peer_link_limits {
    /// Longest message in bytes, without its length prefix (design, 5.3).
    std::size_t max_frame_bytes = std::size_t{2} * 1024 * 1024;
    /// Messages waiting per peer; the oldest is dropped on overflow.
    std::size_t max_queued_messages = 256;
    /// Bytes waiting per peer. Holds a snapshot of several parts.
    std::size_t max_queued_bytes = std::size_t{8} * 1024 * 1024;
    std::size_t max_incoming_connections = 2048;
    time_ms connect_timeout{1000};
    /// A write or a begun frame that makes no progress for this time ends the connection.
    time_ms stall_timeout{5000};
    time_ms idle_timeout{30000};
    /// Messages older than this are dropped while the peer cannot be reached; their senders have repeated
    /// them.
    time_ms max_message_age{5000};
    time_ms first_reconnect_delay{100};
    time_ms max_reconnect_delay{5000};
};

/// @brief Totals since the start.
struct peer_link_counters {
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t messages_dropped = 0;
    std::uint64_t connect_failures = 0;
};

/// @brief Framed one-way messages between processes over TCP. All calls and callbacks run on the thread of
/// the I/O context.
class peer_link {
public:
    /// @brief Called for each received text; the view is valid during the call only. Exceptions end the
    /// connection.
    using receive_handler = std::function<void(std::string_view text)>;

    /// @param seed Seeds the jitter of reconnect delays.
    peer_link(boost::asio::io_context& context, peer_link_limits limits, std::uint64_t seed,
              receive_handler on_receive);
    /// @brief Closes all connections; coroutines end when the context runs next.
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    peer_link(peer_link&&) = delete;
    peer_link& operator=(peer_link&&) = delete;

    /// @brief Listens on ip:port; port 0 selects a free one.
    /// @return The bound address.
    /// @throws error with error_kind::bad_request for a malformed address.
    /// @throws boost::system::system_error when the address cannot be bound.
    std::string listen(std::string_view address);

    /// @brief Queues a text; never blocks and never waits for the peer.
    /// @return False when the text is longer than a frame or the address is malformed; it is then dropped.
    bool send(std::string_view peer_address, std::string text);

    /// @brief Stops listening and closes all connections. Queued messages are dropped.
    void stop();

    [[nodiscard]] const peer_link_counters& counters() const;
    /// @brief Number of peers with a queue or an open outgoing connection.
    [[nodiscard]] std::size_t outgoing_peers() const;

private:
    struct core;
    std::shared_ptr<core> core_;
};

} // namespace lacewing
