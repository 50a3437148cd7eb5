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

/// @brief Size, queue and time limits of the links to peers.
struct peer_link_limits {
    /// Longest message in bytes, without the 4-byte length prefix that the peer port puts before each
    /// message.
    std::size_t max_frame_bytes = std::size_t{2} * 1024 * 1024;
    /// Messages queued per peer; the oldest is dropped on overflow.
    std::size_t max_queued_messages = 256;
    /// Bytes queued per peer; enough for a snapshot of several parts. The oldest message is dropped on
    /// overflow.
    std::size_t max_queued_bytes = std::size_t{8} * 1024 * 1024;
    /// Further incoming connections are closed at once.
    std::size_t max_incoming_connections = 2048;
    time_ms connect_timeout{1000};
    /// A write of a batch, or a frame after its prefix, that takes longer than this ends the connection.
    time_ms stall_timeout{5000};
    /// An outgoing connection is closed after this time without a message, an incoming one after twice this
    /// time.
    time_ms idle_timeout{30000};
    /// Queued messages older than this are dropped while the peer is unreachable; the senders repeat their
    /// messages, so newer ones follow.
    time_ms max_message_age{5000};
    /// Delay after the first failure; it doubles with each further one up to max_reconnect_delay.
    time_ms first_reconnect_delay{100};
    time_ms max_reconnect_delay{5000};
};

/// @brief Totals since the link was created.
struct peer_link_counters {
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t messages_dropped = 0;
    std::uint64_t connect_failures = 0;
};

/// @brief Sends and receives length-prefixed one-way messages between processes over TCP. All calls and
/// callbacks run on the thread of the I/O context.
class peer_link {
public:
    /// @brief Called for each received message; the view is valid during the call only. An exception closes
    /// the connection.
    using receive_handler = std::function<void(std::string_view message)>;

    /// @param seed Seed of the random jitter of reconnect delays.
    peer_link(boost::asio::io_context& context, peer_link_limits limits, std::uint64_t seed,
              receive_handler on_receive);
    /// @brief Closes all connections; the coroutines end when the context runs next.
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    peer_link(peer_link&&) = delete;
    peer_link& operator=(peer_link&&) = delete;

    /// @brief Listens on ip:port; port 0 selects a free port.
    /// @return The bound address.
    /// @throws error with error_kind::bad_request for a malformed address.
    /// @throws boost::system::system_error when the address cannot be bound.
    std::string listen(std::string_view address);

    /// @brief Queues a message; never blocks and never waits for the peer. A queued message may still be
    /// dropped.
    /// @return False if the message is longer than a frame, the address is malformed or the link is stopped;
    /// the message is then dropped.
    bool send(std::string_view peer_address, std::string message);

    /// @brief Stops listening and closes all connections. Queued messages are dropped.
    void stop();

    [[nodiscard]] const peer_link_counters& counters() const;
    /// @brief Number of peers that have a queue or an open outgoing connection.
    [[nodiscard]] std::size_t outgoing_peer_count() const;

private:
    struct shared_state;
    std::shared_ptr<shared_state> state_;
};

} // namespace lacewing
