#include "hostile_crowd.h"

#include "transport/ip_address.h"

#include <fmt/format.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <thread>

namespace lacewing::testing {

namespace {

// Every eighth caller sends its request to the end.
constexpr std::size_t finishing_caller = 8;
// Polls without progress of any caller after which the crowd has ended: the peer reads no more.
constexpr int max_idle_polls = 100;
constexpr std::chrono::milliseconds poll_interval{10};

int connect_to(std::string_view address) {
    const auto parsed = parse_socket_address(address);
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(parsed.port());
    peer.sin_addr.s_addr = htonl(parsed.address().to_v4().to_uint());
    // The connection is established while the first bytes wait.
    static_cast<void>(::connect(made, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)));
    return made;
}

} // namespace

hostile_crowd::hostile_crowd(std::string_view address, crowd_plan plan)
    : plan_(std::move(plan)), bytes_(plan_.head + plan_.body) {
    for (std::size_t i = 0; i < plan_.callers; ++i) {
        const bool finishes = i % finishing_caller == 0;
        callers_.push_back(
            {connect_to(address), 0, bytes_.size() - (finishes ? std::size_t{0} : plan_.unsent)});
    }
}

hostile_crowd::~hostile_crowd() {
    for (const auto& one : callers_)
        ::close(one.socket);
}

// Sends one step of a caller. Returns whether it made progress.
bool hostile_crowd::send_step(caller& one) const {
    if (one.closed || one.position == one.end) return false;
    const auto count = std::min(plan_.step, one.end - one.position);
    const auto sent = ::send(one.socket, bytes_.data() + one.position, count, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
        one.position += static_cast<std::size_t>(sent);
        return true;
    }
    one.closed = errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR && errno != ENOTCONN;
    return one.closed;
}

void hostile_crowd::send_all() {
    int idle_polls = 0;
    while (idle_polls < max_idle_polls) {
        bool progress = false;
        for (auto& one : callers_)
            progress = send_step(one) || progress;
        if (progress) {
            idle_polls = 0;
            continue;
        }
        const bool ended = std::all_of(callers_.begin(), callers_.end(),
                                       [](const auto& one) { return one.closed || one.position == one.end; });
        if (ended) return;
        ++idle_polls;
        std::this_thread::sleep_for(poll_interval);
    }
}

std::size_t hostile_crowd::sent() const {
    return static_cast<std::size_t>(std::count_if(callers_.begin(), callers_.end(),
                                                  [](const auto& one) { return one.position == one.end; }));
}

std::size_t hostile_crowd::closed() const {
    return static_cast<std::size_t>(
        std::count_if(callers_.begin(), callers_.end(), [](const auto& one) { return one.closed; }));
}

std::string in_chunks(std::string_view body, std::size_t chunk_bytes) {
    std::string made;
    for (std::size_t at = 0; at < body.size(); at += chunk_bytes) {
        const auto piece = body.substr(at, chunk_bytes);
        made += fmt::format("{:x}\r\n{}\r\n", piece.size(), piece);
    }
    return made + "0\r\n\r\n";
}

} // namespace lacewing::testing
