#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace review {

/// @brief Milliseconds of the steady clock since the start of this program.
std::int64_t now_ms();
void sleep_ms(std::int64_t duration_ms);

/// @brief Head and body of an HTTP/1.1 request or response.
struct http_message {
    std::string start_line;
    /// Header values by name in lower case; of repeated headers, the last one.
    std::map<std::string, std::string> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    /// @brief Status of a response; 0 if the start line has none.
    [[nodiscard]] int status() const;
};

/// @brief A connected TCP socket with blocking reads and writes.
class connection {
public:
    explicit connection(int socket) : socket_(socket) {}
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    /// @brief Connects to ip:port; a failed connect leaves the object closed.
    static std::unique_ptr<connection> open(const std::string& address);
    [[nodiscard]] bool is_open() const { return socket_ >= 0; }
    bool send(std::string_view bytes);
    /// @brief Reads one message whose body has a length, is chunked or is absent.
    /// @return Nothing when the peer closes, sends something else or the time is up.
    std::optional<http_message> read_message(std::int64_t timeout_ms);
    /// @brief Reads the rest of the connection until the peer closes it or the time is up.
    std::string read_rest(std::int64_t timeout_ms);
    /// @brief Whether the peer has closed or reset the connection.
    [[nodiscard]] bool peer_closed() const;
    void close();

private:
    bool read_some(std::int64_t until_ms);

    int socket_;
    std::string buffer_;
};

/// @brief Accepts connections on a loopback address and serves each on a thread of its own until the program
/// ends.
class listener {
public:
    /// @param address ip:port; port 0 picks a free one.
    listener(const std::string& address, std::function<void(connection&)> serve);
    [[nodiscard]] const std::string& address() const { return address_; }

private:
    std::string address_;
};

/// @brief A TCP port that is free on a loopback address now.
int free_port(const std::string& ip);

std::string response_text(int status, const std::string& headers, const std::string& body);

/// @brief Text of a member of a JSON object, or an empty text.
std::string json_member(const std::string& text, const std::string& name);

} // namespace review
