#include "transport/peer_link.h"

#include "state/error_kind.h"
#include "transport/monotonic_clock.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio.hpp>

namespace lacewing {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t prefix_bytes = 4;

// Frames joined into one write; small periodic messages share a system call.
constexpr std::size_t max_batch_bytes = std::size_t{64} * 1024;

std::optional<tcp::endpoint> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    error_code failure;
    const auto ip = asio::ip::make_address(std::string(text.substr(0, colon)), failure);
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (failure || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return tcp::endpoint(ip, port);
}

std::array<char, prefix_bytes> length_prefix(std::size_t length) {
    const auto byte = [&](unsigned shift) { return static_cast<char>((length >> shift) & 0xffU); };
    return {byte(24), byte(16), byte(8), byte(0)};
}

std::size_t decode_length(const std::array<char, prefix_bytes>& prefix) {
    std::size_t length = 0;
    for (const char c : prefix) {
        length = (length << 8U) | static_cast<unsigned char>(c);
    }
    return length;
}

std::chrono::milliseconds chrono_of(time_ms span) {
    return std::chrono::milliseconds(span.count);
}

// Closes a socket when an operation on it lasts too long.
class deadline {
public:
    deadline(tcp::socket& socket, time_ms span) : timer_(socket.get_executor(), chrono_of(span)) {
        timer_.async_wait([&socket, alive = std::weak_ptr<char>(token_)](error_code cancelled) {
            if (cancelled || alive.expired()) {
                return;
            }
            error_code ignored;
            socket.close(ignored);
        });
    }

private:
    // Expires with this object, so a wait that completes during its destruction does not touch the socket.
    std::shared_ptr<char> token_ = std::make_shared<char>();
    asio::steady_timer timer_;
};

struct queued_message {
    time_ms queued_at;
    std::string text;
};

struct outgoing_peer {
    outgoing_peer(asio::io_context& context, const tcp::endpoint& remote)
        : endpoint(remote), socket(context), wake(context) {}

    tcp::endpoint endpoint;
    tcp::socket socket;
    // Cancelled to wake the writer for a new message.
    asio::steady_timer wake;
    std::deque<queued_message> queue;
    std::size_t queued_bytes = 0;
};

} // namespace

struct peer_link::core : std::enable_shared_from_this<core> {
    core(asio::io_context& io, const peer_link_limits& limit_values, std::uint64_t seed,
         receive_handler handler)
        : context(io), limits(limit_values), random(seed), on_receive(std::move(handler)), acceptor(io) {}

    asio::awaitable<void> accept_connections();
    asio::awaitable<void> read_frames(std::shared_ptr<tcp::socket> socket);
    asio::awaitable<void> write_frames(std::string address, std::shared_ptr<outgoing_peer> peer);
    asio::awaitable<bool> connect(std::shared_ptr<outgoing_peer> peer);
    asio::awaitable<bool> write_batch(std::shared_ptr<outgoing_peer> peer);
    asio::awaitable<void> wait_for_message(std::shared_ptr<outgoing_peer> peer);
    void drop_oldest(outgoing_peer& peer);
    void drop_expired(outgoing_peer& peer);
    time_ms jittered(time_ms delay);
    void stop();

    asio::io_context& context;
    peer_link_limits limits;
    std::mt19937_64 random;
    receive_handler on_receive;
    tcp::acceptor acceptor;
    std::unordered_map<std::string, std::shared_ptr<outgoing_peer>> peers;
    std::vector<std::weak_ptr<tcp::socket>> incoming;
    peer_link_counters counters;
    bool stopped = false;
};

// Accepts connections until the acceptor closes.
asio::awaitable<void> peer_link::core::accept_connections() {
    const auto self = shared_from_this();
    while (!stopped) {
        error_code failure;
        auto accepted = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
        if (stopped) {
            co_return;
        }
        if (failure) {
            // Descriptors may be exhausted; a pause avoids a busy loop.
            asio::steady_timer pause(context, chrono_of(limits.first_reconnect_delay));
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, failure));
            continue;
        }
        std::erase_if(incoming, [](const auto& socket) { return socket.expired(); });
        if (incoming.size() >= limits.max_incoming_connections) {
            continue;
        }
        auto socket = std::make_shared<tcp::socket>(std::move(accepted));
        incoming.push_back(socket);
        asio::co_spawn(context, read_frames(std::move(socket)), asio::detached);
    }
}

// Reads frames until the peer closes, stalls within a frame, breaks the limits, or is silent for too long.
asio::awaitable<void> peer_link::core::read_frames(std::shared_ptr<tcp::socket> socket) {
    const auto self = shared_from_this();
    std::array<char, prefix_bytes> prefix{};
    std::string text;
    while (!stopped) {
        error_code failure;
        {
            // The sender closes after its idle time; twice that means that it vanished without a close.
            deadline idle(*socket, limits.idle_timeout * 2);
            co_await asio::async_read(*socket, asio::buffer(prefix),
                                      asio::redirect_error(asio::use_awaitable, failure));
        }
        const auto length = decode_length(prefix);
        if (failure || length > limits.max_frame_bytes) {
            co_return;
        }
        text.resize(length);
        {
            deadline stall(*socket, limits.stall_timeout);
            co_await asio::async_read(*socket, asio::buffer(text),
                                      asio::redirect_error(asio::use_awaitable, failure));
        }
        if (failure || stopped) {
            co_return;
        }
        ++counters.messages_received;
        counters.bytes_received += prefix_bytes + length;
        try {
            on_receive(text);
        } catch (const std::exception&) {
            co_return;
        }
        // Keeps no buffer of snapshot size on connections that carry small messages.
        if (text.capacity() > max_batch_bytes) {
            std::string().swap(text);
        }
    }
}

void peer_link::core::drop_oldest(outgoing_peer& peer) {
    peer.queued_bytes -= peer.queue.front().text.size();
    peer.queue.pop_front();
    ++counters.messages_dropped;
}

// Drops messages that have waited too long to be of use.
void peer_link::core::drop_expired(outgoing_peer& peer) {
    const auto oldest = monotonic_now() - limits.max_message_age;
    while (!peer.queue.empty() && peer.queue.front().queued_at < oldest) {
        drop_oldest(peer);
    }
}

// Spreads delays over half to the whole of the given time, so that peers do not reconnect together.
time_ms peer_link::core::jittered(time_ms delay) {
    return {std::uniform_int_distribution<std::int64_t>(delay.count / 2, delay.count)(random)};
}

asio::awaitable<bool> peer_link::core::connect(std::shared_ptr<outgoing_peer> peer) {
    error_code failure;
    deadline limit(peer->socket, limits.connect_timeout);
    co_await peer->socket.async_connect(peer->endpoint, asio::redirect_error(asio::use_awaitable, failure));
    if (failure || !peer->socket.is_open()) {
        co_return false;
    }
    peer->socket.set_option(tcp::no_delay(true), failure);
    co_return !failure;
}

// Writes as many queued messages as fit in one batch; they leave the queue before the write, so a message is
// sent at most once.
asio::awaitable<bool> peer_link::core::write_batch(std::shared_ptr<outgoing_peer> peer) {
    std::string batch;
    std::uint64_t messages = 0;
    while (!peer->queue.empty() &&
           (batch.empty() || batch.size() + peer->queue.front().text.size() < max_batch_bytes)) {
        auto& text = peer->queue.front().text;
        const auto prefix = length_prefix(text.size());
        batch.append(prefix.data(), prefix.size()).append(text);
        peer->queued_bytes -= text.size();
        peer->queue.pop_front();
        ++messages;
    }
    error_code failure;
    deadline limit(peer->socket, limits.stall_timeout);
    co_await asio::async_write(peer->socket, asio::buffer(batch),
                               asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        counters.messages_dropped += messages;
        co_return false;
    }
    counters.messages_sent += messages;
    counters.bytes_sent += batch.size();
    co_return true;
}

// Returns when a message is queued, or after the idle time.
asio::awaitable<void> peer_link::core::wait_for_message(std::shared_ptr<outgoing_peer> peer) {
    if (!peer->queue.empty()) {
        co_return;
    }
    error_code ignored;
    peer->wake.expires_after(chrono_of(limits.idle_timeout));
    co_await peer->wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

// Owns the connection to one peer: opens it on demand, writes, closes it when idle.
asio::awaitable<void> peer_link::core::write_frames(std::string address,
                                                    std::shared_ptr<outgoing_peer> peer) {
    const auto self = shared_from_this();
    auto delay = limits.first_reconnect_delay;
    error_code ignored;
    while (!stopped) {
        co_await wait_for_message(peer);
        if (peer->queue.empty() || stopped) {
            break;
        }
        bool working = peer->socket.is_open();
        if (!working) {
            working = co_await connect(peer);
            if (!working) {
                ++counters.connect_failures;
            }
        }
        if (working) {
            working = co_await write_batch(peer);
        }
        if (working) {
            delay = limits.first_reconnect_delay;
            continue;
        }
        peer->socket.close(ignored);
        if (stopped) {
            break;
        }
        asio::steady_timer pause(context, chrono_of(jittered(delay)));
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        delay = std::min(delay * 2, limits.max_reconnect_delay);
        drop_expired(*peer);
    }
    peer->socket.close(ignored);
    peers.erase(address);
}

void peer_link::core::stop() {
    stopped = true;
    error_code ignored;
    acceptor.close(ignored);
    for (const auto& weak : incoming) {
        if (const auto socket = weak.lock()) {
            socket->close(ignored);
        }
    }
    for (const auto& [address, peer] : peers) {
        peer->queue.clear();
        peer->queued_bytes = 0;
        peer->wake.cancel();
        peer->socket.close(ignored);
    }
}

peer_link::peer_link(asio::io_context& context, peer_link_limits limits, std::uint64_t seed,
                     receive_handler on_receive)
    : core_(std::make_shared<core>(context, limits, seed, std::move(on_receive))) {}

peer_link::~peer_link() {
    stop();
}

std::string peer_link::listen(std::string_view address) {
    const auto endpoint = parse_address(address);
    if (!endpoint) {
        throw error(error_kind::bad_request, "malformed peer address " + std::string(address));
    }
    auto& acceptor = core_->acceptor;
    acceptor.open(endpoint->protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(*endpoint);
    acceptor.listen();
    asio::co_spawn(core_->context, core_->accept_connections(), asio::detached);
    const auto bound = acceptor.local_endpoint();
    return bound.address().to_string() + ":" + std::to_string(bound.port());
}

bool peer_link::send(std::string_view peer_address, std::string text) {
    const auto endpoint = parse_address(peer_address);
    if (core_->stopped || !endpoint || text.size() > core_->limits.max_frame_bytes) {
        ++core_->counters.messages_dropped;
        return false;
    }
    const std::string address(peer_address);
    auto& peer = core_->peers[address];
    const bool start = peer == nullptr;
    if (start) {
        peer = std::make_shared<outgoing_peer>(core_->context, *endpoint);
    }
    peer->queued_bytes += text.size();
    peer->queue.push_back({monotonic_now(), std::move(text)});
    while (peer->queue.size() > 1 && (peer->queue.size() > core_->limits.max_queued_messages ||
                                      peer->queued_bytes > core_->limits.max_queued_bytes)) {
        core_->drop_oldest(*peer);
    }
    if (start) {
        asio::co_spawn(core_->context, core_->write_frames(address, peer), asio::detached);
    } else {
        peer->wake.cancel();
    }
    return true;
}

void peer_link::stop() {
    core_->stop();
}

const peer_link_counters& peer_link::counters() const {
    return core_->counters;
}

std::size_t peer_link::outgoing_peers() const {
    return core_->peers.size();
}

} // namespace lacewing
