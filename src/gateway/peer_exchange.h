#pragma once

#include "state/time_ms.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio.hpp>

namespace lacewing {

/// @brief Communication with the other VMs: reports as UDP datagrams, snapshots on request over HTTP.
/// Reports carry totals, so the next one makes up for a lost datagram, and UDP leaves no stale connection
/// after a network partition.
class peer_exchange {
public:
    using datagram_handler = std::function<void(std::string_view datagram)>;
    /// Returns the snapshot of one kind of stored objects as JSON text; nothing when this VM has none to send
    /// now.
    using snapshot_source = std::function<std::optional<std::string>(const std::string& kind)>;

    /// @param address ip:port to bind for both UDP and HTTP.
    /// @throws boost::system::system_error when the address cannot be bound.
    peer_exchange(boost::asio::io_context& context, const std::string& address, datagram_handler on_datagram,
                  snapshot_source snapshots);

    /// @brief Sends a datagram to a peer (ip:port) without waiting; it is dropped when the socket buffer is
    /// full.
    void send_datagram(const std::string& address, std::string_view text);
    /// @brief Fetches a peer's snapshot of one kind of objects.
    /// @param receiver Gets the JSON text while it arrives.
    /// @return False when the peer fails or does not answer in time.
    boost::asio::awaitable<bool> fetch_snapshot(std::string address, std::string kind,
                                                body_receiver receiver);

    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }

private:
    boost::asio::awaitable<void> receive();

    boost::asio::io_context& context_;
    boost::asio::ip::udp::socket socket_;
    datagram_handler on_datagram_;
    std::unique_ptr<http_server> server_;
    std::array<char, 65536> buffer_{};
    std::uint64_t bytes_sent_ = 0;
};

} // namespace lacewing
