#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <stdexcept>
#include <thread>
#include <utility>

namespace review {

namespace {

sockaddr_in parse_address(const std::string& address) {
    const auto colon = address.rfind(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) != 1)
        throw std::runtime_error("not an address: " + address);
    return parsed;
}

// Binds a socket and returns its port.
int bind_socket(int socket, const std::string& address) {
    auto local = parse_address(address);
    socklen_t size = sizeof(local);
    if (::bind(socket, reinterpret_cast<sockaddr*>(&local), size) != 0)
        throw std::runtime_error("cannot bind " + address);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&local), &size);
    return ntohs(local.sin_port);
}

std::string lower_case(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string word(const std::string& line, int index) {
    std::size_t begin = 0;
    for (; index > 0 && begin != std::string::npos; --index) {
        const auto space = line.find(' ', begin);
        begin = space == std::string::npos ? space : space + 1;
    }
    return begin == std::string::npos ? "" : line.substr(begin, line.find(' ', begin) - begin);
}

const auto program_start = std::chrono::steady_clock::now();

} // namespace

std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 program_start)
        .count();
}

void sleep_ms(std::int64_t duration_ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(duration_ms));
}

std::string http_message::header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

std::string http_message::method() const {
    return word(start_line, 0);
}

std::string http_message::target() const {
    return word(start_line, 1);
}

int http_message::status() const {
    return std::atoi(word(start_line, 1).c_str());
}

std::unique_ptr<connection> connection::open(const std::string& address) {
    const auto remote = parse_address(address);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto made = std::make_unique<connection>(socket);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&remote), sizeof(remote)) != 0) made->close();
    return made;
}

bool connection::send(std::string_view bytes) {
    while (!bytes.empty() && socket_ >= 0) {
        const auto count = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return socket_ >= 0;
}

bool connection::read_some(std::int64_t until_ms) {
    pollfd wait{.fd = socket_, .events = POLLIN, .revents = 0};
    const auto left_ms = std::max<std::int64_t>(0, until_ms - now_ms());
    if (socket_ < 0 || ::poll(&wait, 1, static_cast<int>(left_ms)) <= 0) return false;
    std::array<char, 16384> bytes{};
    const auto count = ::recv(socket_, bytes.data(), bytes.size(), 0);
    if (count <= 0) return false;
    buffer_.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<http_message> connection::read_message(std::int64_t timeout_ms) {
    const auto until_ms = now_ms() + timeout_ms;
    std::size_t head_end = 0;
    while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!read_some(until_ms)) return std::nullopt;
    }
    http_message message;
    std::size_t line_begin = buffer_.find("\r\n");
    message.start_line = buffer_.substr(0, line_begin);
    for (line_begin += 2; line_begin < head_end;) {
        const auto line_end = buffer_.find("\r\n", line_begin);
        const auto colon = buffer_.find(':', line_begin);
        auto value = buffer_.substr(colon + 1, line_end - colon - 1);
        value.erase(0, value.find_first_not_of(' '));
        message.headers[lower_case(buffer_.substr(line_begin, colon - line_begin))] = value;
        line_begin = line_end + 2;
    }
    buffer_.erase(0, head_end + 4);
    if (message.header("transfer-encoding") == "chunked") {
        for (;;) {
            std::size_t line_end = 0;
            while ((line_end = buffer_.find("\r\n")) == std::string::npos) {
                if (!read_some(until_ms)) return std::nullopt;
            }
            const auto size = std::stoul(buffer_.substr(0, line_end), nullptr, 16);
            while (buffer_.size() < line_end + 2 + size + 2) {
                if (!read_some(until_ms)) return std::nullopt;
            }
            message.body += buffer_.substr(line_end + 2, size);
            buffer_.erase(0, line_end + 2 + size + 2);
            if (size == 0) return message;
        }
    }
    const auto length = message.header("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (buffer_.size() < size) {
        if (!read_some(until_ms)) return std::nullopt;
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return message;
}

std::string connection::read_rest(std::int64_t timeout_ms) {
    const auto until_ms = now_ms() + timeout_ms;
    while (now_ms() < until_ms && read_some(until_ms)) {
    }
    return std::exchange(buffer_, {});
}

bool connection::peer_closed() const {
    char byte = 0;
    const auto count = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::close() {
    if (socket_ >= 0) ::close(socket_);
    socket_ = -1;
}

listener::listener(const std::string& address, std::function<void(connection&)> serve) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const int port = bind_socket(socket, address);
    address_ = address.substr(0, address.rfind(':') + 1) + std::to_string(port);
    ::listen(socket, 128);
    std::thread([socket, serve = std::move(serve)] {
        for (;;) {
            const int accepted = ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) continue;
            const int no_delay = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
            std::thread([accepted, &serve] {
                connection peer(accepted);
                serve(peer);
            }).detach();
        }
    }).detach();
}

int free_port(const std::string& ip) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int port = bind_socket(socket, ip + ":0");
    ::close(socket);
    return port;
}

std::string response_text(int status, const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string json_member(const std::string& text, const std::string& name) {
    const auto at = text.find('"' + name + "\":");
    if (at == std::string::npos) return {};
    const auto begin = at + name.size() + 3;
    int depth = 0;
    bool quoted = false;
    for (auto end = begin; end < text.size(); ++end) {
        const char c = text[end];
        if (c == '"' && text[end - 1] != '\\') quoted = !quoted;
        if (quoted) continue;
        if (c == '{' || c == '[') ++depth;
        if ((c == ',' || c == '}' || c == ']') && depth == 0) return text.substr(begin, end - begin);
        if (c == '}' || c == ']') --depth;
    }
    return text.substr(begin);
}

} // namespace review
