#pragma once

#include "coordination/caller_memory.h"
#include "gateway/deadline_queue.h"
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

/// @brief A caller's request; the head is complete, a long body may still be arriving.
struct caller_request {
    std::string method;
    std::string target;
    boost::beast::http::fields fields;
    unsigned version = 11;
    /// The buffered part of the body.
    std::shared_ptr<const std::string> body;
    /// Source of the part of a long body that is not buffered; empty when the body is complete.
    body_source remaining_body;
    /// Body length from the Content-Length header, if present.
    std::optional<std::uint64_t> length;
    /// Monotonic time of arrival, corrected by the lag of the event loop.
    time_ms arrived{0};
    /// Set by the handler; called when the caller closes its connection before the answer.
    std::function<void()> on_disconnect;
    bool caller_left = false;
};

/// @brief Answer to a caller.
struct caller_answer {
    unsigned status = 500;
    /// Header lines, each with its line end.
    std::string headers;
    std::string body;
    /// Close the connection without writing the answer or its remaining part.
    bool abort_connection = false;
    /// The answer has already been written through the answer_sink.
    bool streamed = false;
    /// Close the connection after the answer.
    bool close = false;
};

/// @brief HTTP/1.1 server for callers with persistent connections: reads requests and writes answers.
class caller_server {
public:
    /// Memory of a VM whose settings name none.
    static constexpr std::int64_t default_memory_mb = 512;
    /// Body bytes buffered before an endpoint is chosen. Only a request whose whole body is buffered can be
    /// sent to a second endpoint once its first attempt has sent anything.
    static constexpr std::size_t max_buffered_body_bytes = std::size_t{512} * 1024;

    using handler = std::function<boost::asio::awaitable<caller_answer>(caller_request&, answer_sink)>;
    /// Returns the limits of the current configuration; read again for each request.
    using bounds_source = std::function<caller_bounds()>;
    /// Returns how long the caller waits for an answer, by the head of its request.
    using patience_source = std::function<time_ms(const boost::beast::http::fields&)>;
    /// Longest time for the buffered part of a body without a patience_source.
    static constexpr time_ms max_body_time{600'000};

    caller_server(boost::asio::io_context& context, deadline_queue& deadlines, bounds_source bounds,
                  handler on_request);
    /// @brief Binds and starts to accept connections.
    /// @param address ip:port.
    /// @param max_connections Limit of open connections. At the limit, a new connection replaces the one that
    /// has been idle longest, or waits in the operating system's accept queue when none is idle.
    /// @throws boost::system::system_error when binding fails.
    void listen(std::string_view address, std::size_t max_connections);
    /// @brief Abandons bodies that are not buffered when their caller waits no longer.
    void set_patience(patience_source patience) { patience_ = std::move(patience); }
    /// @brief Account of what the connections hold.
    [[nodiscard]] caller_memory& memory() { return *memory_; }
    [[nodiscard]] const caller_memory& memory() const { return *memory_; }
    /// @brief Makes every further answer close its connection.
    void begin_stop() { stopping_ = true; }
    /// @brief Closes connections that neither handle a request nor have unread bytes.
    /// @param idle_for Minimum time since they were opened or last answered; the next request of a younger
    /// one may be on its way.
    void close_idle(time_ms idle_for = {});
    /// @brief Stops accepting.
    void stop_accepting();
    /// @brief Sets the lag of the event loop: about how long bytes wait in the socket before they are read.
    void set_lag(time_ms lag) { loop_lag_ = lag; }
    /// @brief Number of connections with a request in progress.
    [[nodiscard]] std::size_t busy() const;
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }
    /// @brief Number of idle connections closed at the connection limit in favour of new ones.
    [[nodiscard]] std::uint64_t evicted_connections() const { return evicted_connections_; }

private:
    class connection;
    struct request_reading;
    struct answer_framing;
    /// Result of reading the head or the body of a request.
    enum class read_result : std::uint8_t { complete, refused, caller_left };
    /// What to do with a connection after a request. With `close_unread`, request bytes are still to come:
    /// they are read and discarded for a while, because closing at once would reset the connection.
    enum class connection_action : std::uint8_t { keep, close, close_unread };

    static boost::asio::awaitable<std::optional<std::string>>
    read_next_piece(std::shared_ptr<connection> conn, std::shared_ptr<request_reading> reading);
    static boost::asio::awaitable<read_result>
    read_head(std::shared_ptr<connection> conn, std::shared_ptr<request_reading> reading, time_ms until);
    static boost::asio::awaitable<read_result>
    read_body(std::shared_ptr<connection> conn, std::shared_ptr<request_reading> reading, time_ms until);
    [[nodiscard]] time_ms body_time(const boost::beast::http::fields& fields) const;
    static void fill_request(const std::shared_ptr<connection>& conn,
                             const std::shared_ptr<request_reading>& reading, caller_request& request);
    answer_sink make_answer_sink(connection& conn, answer_framing& framing, unsigned version);
    static boost::asio::awaitable<bool> deliver(connection& conn, const answer_framing& framing,
                                                bool head_only, caller_answer& answer);
    boost::asio::awaitable<connection_action> serve_request(std::shared_ptr<connection> conn,
                                                            const caller_bounds& bounds);
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve_connection(std::shared_ptr<connection> conn);
    [[nodiscard]] std::shared_ptr<connection> longest_idle() const;

    boost::asio::io_context& context_;
    deadline_queue& deadlines_;
    bounds_source bounds_;
    handler on_request_;
    patience_source patience_;
    // Shared with the connections, which may outlive the server.
    std::shared_ptr<caller_memory> memory_ =
        std::make_shared<caller_memory>(caller_memory::budget_of(default_memory_mb));
    boost::asio::ip::tcp::acceptor acceptor_;
    // Ordered by last use, so that the longest idle connection comes first.
    std::list<std::shared_ptr<connection>> connections_;
    std::uint64_t evicted_connections_ = 0;
    std::size_t max_connections_ = 0;
    time_ms loop_lag_{0};
    bool stopping_ = false;
};

} // namespace lacewing
