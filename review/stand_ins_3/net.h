// Blocking sockets on loopback addresses, for the stand-ins of the cases.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

/// @brief Milliseconds of the steady clock since the start of the process.
std::int64_t now_ms();
void sleep_ms(std::int64_t span);

/// @brief A TCP port of 127.0.0.1 that is free for UDP as well. Each call returns another one.
int free_port();
/// @brief "127.0.0.1:PORT".
std::string loopback(int port);

/// @brief A socket that is closed at the end of its life.
class tcp_socket {
public:
    tcp_socket() = default;
    explicit tcp_socket(int descriptor) : descriptor_(descriptor) {}
    ~tcp_socket() { close(); }
    tcp_socket(const tcp_socket&) = delete;
    tcp_socket& operator=(const tcp_socket&) = delete;
    tcp_socket(tcp_socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
    tcp_socket& operator=(tcp_socket&& other) noexcept {
        std::swap(descriptor_, other.descriptor_);
        return *this;
    }

    /// @brief Connects to 127.0.0.1; the socket stays closed when that fails.
    static tcp_socket connect(int port);
    [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }
    [[nodiscard]] int descriptor() const { return descriptor_; }
    void set_read_timeout(std::int64_t span_ms) const;
    [[nodiscard]] bool write(std::string_view bytes) const;
    /// @brief Reads some bytes; empty at the end of the stream, after a failure or the timeout.
    [[nodiscard]] std::string read() const;
    void close();
    /// @brief Closes with a reset.
    void reset();

private:
    int descriptor_ = -1;
};

/// @brief Accepts connections on a port of 127.0.0.1 for ever, each with a thread of its own.
void serve_tcp(int port, std::function<void(tcp_socket)> on_connection);

/// @brief Request or answer of HTTP/1.1.
struct http_message {
    std::string method;
    std::string target;
    int status = 0;
    /// Names are in lower case; the last field of a name counts.
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string& name) const {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
};

/// @brief Reads the messages of one connection.
class http_reader {
public:
    explicit http_reader(const tcp_socket& socket) : socket_(socket) {}
    /// @brief Reads the head of the next message; nothing at the end of the stream.
    std::optional<http_message> read_head();
    /// @brief Reads the body of the message whose head was read last.
    /// @return False when the stream ends within it.
    bool read_body(http_message& message);
    std::optional<http_message> read();

private:
    bool fill();
    bool read_line(std::string& line);

    const tcp_socket& socket_;
    std::string buffer_;
};

/// @brief Text of an answer with its length.
std::string http_answer(int status, const std::vector<std::pair<std::string, std::string>>& fields,
                        std::string_view body);
/// @brief Text of a request with its length.
std::string http_request(std::string_view method, std::string_view target,
                         const std::vector<std::pair<std::string, std::string>>& fields,
                         std::string_view body);

/// @brief Serves HTTP/1.1 on a port of 127.0.0.1 for ever. The handler returns the text of the answer; an
/// empty one closes the connection.
void serve_http(int port, std::function<std::string(const http_message&)> handler);

/// @brief Sends one request on a new connection.
/// @return Nothing when there is no whole answer in time.
std::optional<http_message> fetch(int port, const std::string& request, std::int64_t timeout_ms);

/// @brief Lines of record.txt.
class record_file {
public:
    explicit record_file(const std::string& path);
    ~record_file();
    record_file(const record_file&) = delete;
    record_file& operator=(const record_file&) = delete;
    record_file(record_file&&) = delete;
    record_file& operator=(record_file&&) = delete;
    /// @brief Adds a line with the time.
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::FILE* file_;
};

} // namespace review
