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

constexpr std::size_t length_prefix_bytes = 4;

// Limit on the bytes of the frames that are joined into one write, so that small periodic messages share a
// system call.
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

std::array<char, length_prefix_bytes> length_prefix(std::size_t length) {
    const auto byte = [&](unsigned shift) { return static_cast<char>((length >> shift) & 0xffU); };
    return {byte(24), byte(16), byte(8), byte(0)};
}

std::size_t decode_length_prefix(const std::array<char, length_prefix_bytes>& prefix) {
    std::size_t length = 0;
    for (const char c : prefix) {
        length = (length << 8U) | static_cast<unsigned char>(c);
    }
    return length;
}

std::chrono::milliseconds to_chrono(time_ms duration) {
    return std::chrono::milliseconds(duration.count);
}

// Closes a socket unless destroyed within the given time.
class socket_deadline {
public:
    socket_deadline(tcp::socket& socket, time_ms duration)
        : timer_(socket.get_executor(), to_chrono(duration)) {
        timer_.async_wait(
            [&socket, lifetime_token = std::weak_ptr<char>(lifetime_token_)](error_code cancelled) {
                if (cancelled || lifetime_token.expired()) {
                    return;
                }
                error_code ignored;
                socket.close(ignored);
            });
    }

private:
    // Released with this object, so that a wait completing after its destruction does not touch the socket.
    std::shared_ptr<char> lifetime_token_ = std::make_shared<char>();
    asio::steady_timer timer_;
};

struct queued_message {
    time_ms queued_at;
    std::string payload;
};

struct outgoing_peer {
    outgoing_peer(asio::io_context& context, const tcp::endpoint& remote)
        : endpoint(remote), socket(context), wake(context) {}

    tcp::endpoint endpoint;
    tcp::socket socket;
    // Cancelled to wake the writer when a message is queued.
    asio::steady_timer wake;
    std::deque<queued_message> queue;
    std::size_t queued_bytes = 0;
};

} // namespace

struct peer_link::shared_state : std::enable_shared_from_this<shared_state> {
    shared_state(asio::io_context& io, const peer_link_limits& limit_values, std::uint64_t seed,
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
    time_ms with_jitter(time_ms delay);
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
asio::awaitable<void> peer_link::shared_state::accept_connections() {
    const auto self = shared_from_this();
    while (!stopped) {
        error_code failure;
        auto accepted = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
        if (stopped) {
            co_return;
        }
        if (failure) {
            // File descriptors may be exhausted; wait instead of retrying in a busy loop.
            asio::steady_timer pause(context, to_chrono(limits.first_reconnect_delay));
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

// Reads frames until the peer closes the connection, takes too long over a frame, exceeds the frame limit or
// sends nothing for too long, or the handler throws.
asio::awaitable<void> peer_link::shared_state::read_frames(std::shared_ptr<tcp::socket> socket) {
    const auto self = shared_from_this();
    std::array<char, length_prefix_bytes> prefix{};
    std::string message;
    while (!stopped) {
        error_code failure;
        {
            // The sender closes its connection after the idle timeout; silence for twice that time means that
            // it disappeared without closing.
            socket_deadline idle_deadline(*socket, limits.idle_timeout * 2);
            co_await asio::async_read(*socket, asio::buffer(prefix),
                                      asio::redirect_error(asio::use_awaitable, failure));
        }
        const auto length = decode_length_prefix(prefix);
        if (failure || length > limits.max_frame_bytes) {
            co_return;
        }
        message.resize(length);
        {
            socket_deadline read_deadline(*socket, limits.stall_timeout);
            co_await asio::async_read(*socket, asio::buffer(message),
                                      asio::redirect_error(asio::use_awaitable, failure));
        }
        if (failure || stopped) {
            co_return;
        }
        ++counters.messages_received;
        counters.bytes_received += length_prefix_bytes + length;
        try {
            on_receive(message);
        } catch (const std::exception&) {
            co_return;
        }
        // Frees a buffer of snapshot size: most messages are small.
        if (message.capacity() > max_batch_bytes) {
            std::string().swap(message);
        }
    }
}

void peer_link::shared_state::drop_oldest(outgoing_peer& peer) {
    peer.queued_bytes -= peer.queue.front().payload.size();
    peer.queue.pop_front();
    ++counters.messages_dropped;
}

// Drops queued messages that are too old to be useful.
void peer_link::shared_state::drop_expired(outgoing_peer& peer) {
    const auto oldest = monotonic_now() - limits.max_message_age;
    while (!peer.queue.empty() && peer.queue.front().queued_at < oldest) {
        drop_oldest(peer);
    }
}

// Picks a random delay between half and all of the given one, so that peers do not reconnect at the same
// time.
time_ms peer_link::shared_state::with_jitter(time_ms delay) {
    return {std::uniform_int_distribution<std::int64_t>(delay.count / 2, delay.count)(random)};
}

asio::awaitable<bool> peer_link::shared_state::connect(std::shared_ptr<outgoing_peer> peer) {
    error_code failure;
    socket_deadline connect_deadline(peer->socket, limits.connect_timeout);
    co_await peer->socket.async_connect(peer->endpoint, asio::redirect_error(asio::use_awaitable, failure));
    if (failure || !peer->socket.is_open()) {
        co_return false;
    }
    peer->socket.set_option(tcp::no_delay(true), failure);
    co_return !failure;
}

// Writes as many queued messages as fit into one batch. They are removed from the queue before the write, so
// a message is sent at most once.
asio::awaitable<bool> peer_link::shared_state::write_batch(std::shared_ptr<outgoing_peer> peer) {
    std::string batch;
    std::uint64_t messages = 0;
    while (!peer->queue.empty() &&
           (batch.empty() || batch.size() + peer->queue.front().payload.size() < max_batch_bytes)) {
        auto& payload = peer->queue.front().payload;
        const auto prefix = length_prefix(payload.size());
        batch.append(prefix.data(), prefix.size()).append(payload);
        peer->queued_bytes -= payload.size();
        peer->queue.pop_front();
        ++messages;
    }
    error_code failure;
    socket_deadline write_deadline(peer->socket, limits.stall_timeout);
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

// Returns when a message is queued or the idle timeout has passed.
asio::awaitable<void> peer_link::shared_state::wait_for_message(std::shared_ptr<outgoing_peer> peer) {
    if (!peer->queue.empty()) {
        co_return;
    }
    error_code ignored;
    peer->wake.expires_after(to_chrono(limits.idle_timeout));
    co_await peer->wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

// Manages the connection to one peer: opens it on demand, writes queued messages and closes it when idle.
asio::awaitable<void> peer_link::shared_state::write_frames(std::string address,
                                                            std::shared_ptr<outgoing_peer> peer) {
    const auto self = shared_from_this();
    auto reconnect_delay = limits.first_reconnect_delay;
    error_code ignored;
    while (!stopped) {
        co_await wait_for_message(peer);
        if (peer->queue.empty() || stopped) {
            break;
        }
        bool usable = peer->socket.is_open();
        if (!usable) {
            usable = co_await connect(peer);
            if (!usable) {
                ++counters.connect_failures;
            }
        }
        if (usable) {
            usable = co_await write_batch(peer);
        }
        if (usable) {
            reconnect_delay = limits.first_reconnect_delay;
            continue;
        }
        peer->socket.close(ignored);
        if (stopped) {
            break;
        }
        asio::steady_timer pause(context, to_chrono(with_jitter(reconnect_delay)));
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        reconnect_delay = std::min(reconnect_delay * 2, limits.max_reconnect_delay);
        drop_expired(*peer);
    }
    peer->socket.close(ignored);
    peers.erase(address);
}

void peer_link::shared_state::stop() {
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
    : state_(std::make_shared<shared_state>(context, limits, seed, std::move(on_receive))) {}

peer_link::~peer_link() {
    stop();
}

std::string peer_link::listen(std::string_view address) {
    const auto endpoint = parse_address(address);
    if (!endpoint) {
        throw error(error_kind::bad_request, "malformed peer address " + std::string(address));
    }
    auto& acceptor = state_->acceptor;
    acceptor.open(endpoint->protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(*endpoint);
    acceptor.listen();
    asio::co_spawn(state_->context, state_->accept_connections(), asio::detached);
    const auto bound = acceptor.local_endpoint();
    return bound.address().to_string() + ":" + std::to_string(bound.port());
}

bool peer_link::send(std::string_view peer_address, std::string message) {
    const auto endpoint = parse_address(peer_address);
    if (state_->stopped || !endpoint || message.size() > state_->limits.max_frame_bytes) {
        ++state_->counters.messages_dropped;
        return false;
    }
    const std::string address(peer_address);
    auto& peer = state_->peers[address];
    const bool is_new_peer = peer == nullptr;
    if (is_new_peer) {
        peer = std::make_shared<outgoing_peer>(state_->context, *endpoint);
    }
    peer->queued_bytes += message.size();
    peer->queue.push_back({monotonic_now(), std::move(message)});
    while (peer->queue.size() > 1 && (peer->queue.size() > state_->limits.max_queued_messages ||
                                      peer->queued_bytes > state_->limits.max_queued_bytes)) {
        state_->drop_oldest(*peer);
    }
    if (is_new_peer) {
        asio::co_spawn(state_->context, state_->write_frames(address, peer), asio::detached);
    } else {
        peer->wake.cancel();
    }
    return true;
}

void peer_link::stop() {
    state_->stop();
}

const peer_link_counters& peer_link::counters() const {
    return state_->counters;
}

std::size_t peer_link::outgoing_peer_count() const {
    return state_->peers.size();
}

} // namespace lacewing
