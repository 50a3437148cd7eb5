#include "net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in loopback_address(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool bind_to(int descriptor, int port) {
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = loopback_address(port);
    return bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string trimmed(const std::string& text) {
    const auto begin = text.find_first_not_of(" \t");
    if (begin == std::string::npos) return {};
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

} // namespace

std::int64_t now_ms() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start)
        .count();
}

void sleep_ms(std::int64_t span) {
    if (span > 0) std::this_thread::sleep_for(std::chrono::milliseconds(span));
}

int free_port() {
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    // Below the ports that the system gives to outgoing connections, and elsewhere in each process.
    constexpr int first_port = 10'000;
    constexpr int port_count = 22'000;
    static int next = static_cast<int>(getpid() * 499LL % port_count);
    for (int tries = 0; tries < port_count; ++tries) {
        // All ports have five digits, so that one address can stand in the place of another.
        const int port = first_port + next;
        next = (next + 1) % port_count;
        const tcp_socket tcp(socket(AF_INET, SOCK_STREAM, 0));
        const tcp_socket udp(socket(AF_INET, SOCK_DGRAM, 0));
        if (bind_to(tcp.descriptor(), port) && bind_to(udp.descriptor(), port)) return port;
    }
    throw std::runtime_error("no free port");
}

std::string loopback(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

tcp_socket tcp_socket::connect(int port) {
    tcp_socket made(socket(AF_INET, SOCK_STREAM, 0));
    const auto address = loopback_address(port);
    if (::connect(made.descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        made.close();
        return made;
    }
    const int on = 1;
    setsockopt(made.descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return made;
}

void tcp_socket::set_read_timeout(std::int64_t span_ms) const {
    const timeval span{span_ms / 1000, (span_ms % 1000) * 1000};
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &span, sizeof span);
}

bool tcp_socket::write(std::string_view bytes) const {
    while (!bytes.empty()) {
        const auto count = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

std::string tcp_socket::read() const {
    std::string bytes(65'536, '\0');
    const auto count = recv(descriptor_, bytes.data(), bytes.size(), 0);
    bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return bytes;
}

void tcp_socket::close() {
    if (descriptor_ >= 0) ::close(descriptor_);
    descriptor_ = -1;
}

void tcp_socket::reset() {
    const linger at_once{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
}

void serve_tcp(int port, std::function<void(tcp_socket)> on_connection) {
    tcp_socket listener(socket(AF_INET, SOCK_STREAM, 0));
    if (!bind_to(listener.descriptor(), port) || listen(listener.descriptor(), 512) != 0)
        throw std::runtime_error("cannot listen on " + loopback(port));
    std::thread([listener = std::move(listener), on_connection = std::move(on_connection)] {
        for (;;) {
            const int accepted = accept(listener.descriptor(), nullptr, nullptr);
            if (accepted < 0) {
                sleep_ms(5);
                continue;
            }
            const int on = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([accepted, &on_connection] { on_connection(tcp_socket(accepted)); }).detach();
        }
    }).detach();
}

bool http_reader::fill() {
    const auto bytes = socket_.read();
    buffer_ += bytes;
    return !bytes.empty();
}

bool http_reader::read_line(std::string& line) {
    for (;;) {
        const auto end = buffer_.find("\r\n");
        if (end != std::string::npos) {
            line = buffer_.substr(0, end);
            buffer_.erase(0, end + 2);
            return true;
        }
        if (!fill()) return false;
    }
}

std::optional<http_message> http_reader::read_head() {
    http_message message;
    std::string line;
    if (!read_line(line)) return std::nullopt;
    const auto first = line.find(' ');
    const auto second = line.find(' ', first + 1);
    if (first == std::string::npos) return std::nullopt;
    if (line.starts_with("HTTP/")) {
        message.status = std::atoi(line.c_str() + first + 1);
    } else {
        message.method = line.substr(0, first);
        message.target = line.substr(first + 1, second - first - 1);
    }
    for (;;) {
        if (!read_line(line)) return std::nullopt;
        if (line.empty()) return message;
        const auto colon = line.find(':');
        if (colon != std::string::npos)
            message.fields[lower(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
    }
}

bool http_reader::read_body(http_message& message) {
    if (message.status == 204 || message.status == 304) return true;
    if (lower(message.field("transfer-encoding")) == "chunked") {
        for (;;) {
            std::string line;
            if (!read_line(line)) return false;
            const auto size = std::strtoull(line.c_str(), nullptr, 16);
            while (buffer_.size() < size + 2) {
                if (!fill()) return false;
            }
            message.body += buffer_.substr(0, size);
            buffer_.erase(0, size + 2);
            if (size == 0) return true;
        }
    }
    const auto length = message.field("content-length");
    const auto size = length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
    while (buffer_.size() < size) {
        if (!fill()) return false;
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
}

std::optional<http_message> http_reader::read() {
    auto message = read_head();
    if (message && !read_body(*message)) return std::nullopt;
    return message;
}

std::string http_answer(int status, const std::vector<std::pair<std::string, std::string>>& fields,
                        std::string_view body) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : fields)
        text.append(name).append(": ").append(value).append("\r\n");
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text.append(body);
}

std::string http_request(std::string_view method, std::string_view target,
                         const std::vector<std::pair<std::string, std::string>>& fields,
                         std::string_view body) {
    std::string text;
    text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    for (const auto& [name, value] : fields)
        text.append(name).append(": ").append(value).append("\r\n");
    if (!body.empty() || method != "GET") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text.append("\r\n").append(body);
}

void serve_http(int port, std::function<std::string(const http_message&)> handler) {
    serve_tcp(port, [handler = std::move(handler)](const tcp_socket& socket) {
        http_reader reader(socket);
        for (;;) {
            const auto request = reader.read();
            if (!request) return;
            const auto answer = handler(*request);
            if (answer.empty() || !socket.write(answer)) return;
        }
    });
}

std::optional<http_message> fetch(int port, const std::string& request, std::int64_t timeout_ms) {
    const auto socket = tcp_socket::connect(port);
    if (!socket.is_open()) return std::nullopt;
    socket.set_read_timeout(timeout_ms);
    if (!socket.write(request)) return std::nullopt;
    http_reader reader(socket);
    return reader.read();
}

record_file::record_file(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) throw std::runtime_error("cannot write " + path);
}

record_file::~record_file() {
    std::fclose(file_);
}

void record_file::line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f %s\n", static_cast<double>(now_ms()) / 1000, text.c_str());
}

} // namespace review
