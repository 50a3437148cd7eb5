#include "gateway/peer_exchange.h"

#include "state/error_kind.h"
#include "transport/detached.h"
#include "transport/ip_address.h"
#include "transport/log.h"

namespace lacewing {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr std::string_view snapshot_path = "/snapshot/";
// A peer in another region answers in about 120 ms.
constexpr time_ms fetch_timeout{800};
// Nobody waits longer for a snapshot, so its text is given up.
constexpr time_ms send_timeout{2 * fetch_timeout.count};
// Requests for snapshots have no body.
constexpr std::uint64_t max_request_body_bytes = std::uint64_t{4} * 1024;
constexpr std::size_t max_fetching_peers = 256; // connections
// A snapshot is read piece by piece; it is no longer than the objects that a VM keeps of a kind.
constexpr std::uint64_t max_snapshot_bytes = std::uint64_t{256} * 1024 * 1024;

udp::endpoint datagram_address(const std::string& text) {
    const auto parsed = parse_socket_address(text);
    return {parsed.address(), parsed.port()};
}

} // namespace

peer_exchange::peer_exchange(asio::io_context& context, const std::string& address,
                             datagram_handler on_datagram, snapshot_source snapshots)
    : context_(context), socket_(context, datagram_address(address)), on_datagram_(std::move(on_datagram)) {
    socket_.non_blocking(true);
    const auto answer = [source =
                             std::move(snapshots)](http_request request) -> asio::awaitable<http_response> {
        const std::string target(request.target());
        if (!target.starts_with(snapshot_path)) co_return make_response(404, "{}");
        auto text = source(target.substr(snapshot_path.size()));
        if (!text) co_return make_response(503, "{}");
        co_return make_response(200, std::move(*text));
    };
    http_limits limits;
    limits.body_bytes = max_request_body_bytes;
    limits.connections = max_fetching_peers;
    limits.write_timeout = send_timeout;
    server_ = std::make_unique<http_server>(context.get_executor(), address, limits, answer);
    spawn_lasting(context_, "receive_reports", [this] { return receive(); });
}

asio::awaitable<void> peer_exchange::receive() {
    udp::endpoint from;
    for (;;) {
        boost::system::error_code failure;
        const auto count = co_await socket_.async_receive_from(
            asio::buffer(buffer_), from, asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted) co_return;
        // An error here concerns an earlier send, such as a datagram refused by a peer that has ended; no
        // message was received.
        if (failure) continue;
        on_datagram_({buffer_.data(), count});
    }
}

void peer_exchange::send_datagram(const std::string& address, std::string_view text) {
    boost::system::error_code failure;
    socket_.send_to(asio::buffer(text.data(), text.size()), datagram_address(address), 0, failure);
    if (!failure) bytes_sent_ += text.size();
}

asio::awaitable<bool> peer_exchange::fetch_snapshot(std::string address, std::string kind,
                                                    body_receiver receiver) {
    http_client client(context_.get_executor(), address, {.max_streamed_bytes = max_snapshot_bytes});
    try {
        const auto answer = co_await client.request("GET", std::string(snapshot_path) + kind, {}, {},
                                                    fetch_timeout, std::move(receiver));
        co_return answer.result_int() == 200;
    } catch (const http_error& problem) {
        log(log_level::info, "peer_snapshot_failed",
            {{"peer", address}, {"kind", kind}, {"reason", problem.what()}});
    }
    co_return false;
}

} // namespace lacewing
