#pragma once

#include "coordination/vm_report.h"
#include "state/time_ms.h"
#include "transport/http_server.h"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio.hpp>

namespace lacewing {

/// @brief Exchange with the other VMs: reports as datagrams, snapshots on request over HTTP.
/// Reports hold totals, so a lost datagram costs nothing but time, and a cut never leaves a stale connection.
class peer_exchange {
public:
    using report_handler = std::function<void(const vm_report&)>;
    /// Text of the snapshot of a kind of objects.
    using snapshot_source = std::function<std::string(const std::string& kind)>;

    /// @param address ip:port for datagrams and for HTTP.
    /// @throws boost::system::system_error when the address cannot be bound.
    peer_exchange(boost::asio::io_context& context, const std::string& address, report_handler on_report,
                  snapshot_source snapshots);

    /// @brief Sends a text to a peer's address; a full socket buffer drops it.
    void send(const std::string& address, std::string_view text);
    /// @brief Asks a peer for its snapshot of a kind.
    /// @return Empty when the peer does not answer in time.
    boost::asio::awaitable<std::string> fetch(std::string address, std::string kind);

    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }

private:
    boost::asio::awaitable<void> receive();

    boost::asio::io_context& context_;
    boost::asio::ip::udp::socket socket_;
    report_handler on_report_;
    std::unique_ptr<http_server> server_;
    std::array<char, 65536> buffer_{};
    std::uint64_t bytes_sent_ = 0;
};

} // namespace lacewing
