#pragma once

#include "gateway/deadlines.h"
#include "gateway/endpoint_attempt.h"
#include "state/service_model.h"
#include "state/time_ms.h"

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace lacewing {

/// @brief A request of a caller whose head is complete.
struct caller_request {
    std::string method;
    std::string target;
    boost::beast::http::fields fields;
    unsigned version = 11;
    /// The body as far as it is held.
    std::shared_ptr<const std::string> body;
    /// Source of the rest of a long body; empty when the body is complete.
    body_source rest;
    /// Length that the caller announced, if it did.
    std::optional<std::uint64_t> length;
    time_ms arrived{0};
    /// Set by the handler; called when the caller closes its connection.
    std::function<void()> on_leave;
    bool caller_left = false;
};

/// @brief Answer to a caller.
struct caller_answer {
    unsigned status = 500;
    /// Header lines, each with its line end.
    std::string headers;
    std::string body;
    /// The answer cannot be delivered; the connection is closed instead.
    bool drop = false;
    /// The answer has been streamed already.
    bool streamed = false;
    /// Close the connection after the answer.
    bool close = false;
};

/// @brief Accepts callers, reads their requests and delivers answers. HTTP/1.1 with kept connections.
class caller_server {
public:
    /// Longest body that is held before an endpoint is chosen; such requests can be sent again.
    static constexpr std::size_t held_body_bytes = std::size_t{512} * 1024;

    using handler = std::function<boost::asio::awaitable<caller_answer>(caller_request&, answer_sink)>;
    /// Bounds in force now; they may change with the configuration.
    using bounds_source = std::function<caller_bounds()>;

    caller_server(boost::asio::io_context& context, deadlines& times, bounds_source bounds,
                  handler on_request);
    /// @brief Binds and accepts.
    /// @param most Connections open at once. A further one takes the place of the one that has been idle for
    /// longest, or waits in the queue of the system when none is idle.
    /// @throws boost::system::system_error when binding fails.
    void listen(std::string_view address, std::size_t most);
    /// @brief From now on every answer closes its connection.
    void begin_stop() { stopping_ = true; }
    /// @brief Closes connections without a request.
    void close_idle();
    /// @brief Stops accepting.
    void stop_accepting();
    /// @brief Tells how late the thread is; what is read now has waited in the socket for about that long.
    void set_lag(time_ms lag) { lag_ = lag; }
    [[nodiscard]] std::size_t busy() const;
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }
    /// @brief Idle connections that were closed to make room for others.
    [[nodiscard]] std::uint64_t closed_for_others() const { return closed_for_others_; }

private:
    class connection;
    struct request_reading;
    struct delivery;
    /// How reading a part of a request ended.
    enum class read_end : std::uint8_t { complete, refused, caller_left };
    /// What becomes of a connection after a request; bytes that are still unread must not reset it.
    enum class exchange_end : std::uint8_t { keep, close, close_unread };

    static boost::asio::awaitable<std::optional<std::string>>
    next_piece(std::shared_ptr<connection> of, std::shared_ptr<request_reading> reading);
    static boost::asio::awaitable<read_end>
    read_head(std::shared_ptr<connection> of, std::shared_ptr<request_reading> reading, time_ms until);
    static boost::asio::awaitable<read_end> read_body(std::shared_ptr<connection> of,
                                                      std::shared_ptr<request_reading> reading);
    static void take_request(const std::shared_ptr<connection>& of,
                             const std::shared_ptr<request_reading>& reading, caller_request& request);
    answer_sink sink_for(connection& of, delivery& how, unsigned version);
    static boost::asio::awaitable<bool> deliver(connection& of, const delivery& how, bool head_only,
                                                caller_answer& answer);
    boost::asio::awaitable<exchange_end> exchange(std::shared_ptr<connection> of,
                                                  const caller_bounds& bounds);
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<connection> of);
    [[nodiscard]] std::shared_ptr<connection> longest_idle() const;

    boost::asio::io_context& context_;
    deadlines& times_;
    bounds_source bounds_;
    handler on_request_;
    boost::asio::ip::tcp::acceptor acceptor_;
    // The longest idle ones first.
    std::list<std::shared_ptr<connection>> connections_;
    std::uint64_t closed_for_others_ = 0;
    std::size_t most_ = 0;
    time_ms lag_{0};
    bool stopping_ = false;
};

} // namespace lacewing
