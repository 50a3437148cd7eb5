#include "gateway/caller_server.h"

#include "protocol/caller_http.h"
#include "protocol/framing.h"
#include "protocol/growing_body.h"
#include "state/error_kind.h"
#include "transport/detached.h"
#include "transport/ip_address.h"
#include "transport/log.h"
#include "transport/monotonic_clock.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

namespace lacewing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

using caller_parser = http::request_parser<growing_body>;

// Buffer that every idle connection keeps for its next read; most requests fit into it. A connection that has
// once filled it uses max_read_bytes from then on.
constexpr std::size_t initial_read_bytes = std::size_t{2} * 1024;
constexpr std::size_t max_read_bytes = std::size_t{16} * 1024;
// Callers may reuse a connection until the idle timeout. The server waits this much longer, so that it does
// not close a connection on which a request is already on its way.
constexpr time_ms idle_timeout_margin{1000};
// Time without a new byte of a request body after which the request is abandoned.
constexpr time_ms body_stall_timeout{10'000};
// While callers hold much memory, a body is also abandoned when it grows by less than this within that time.
// Far below what any link carries.
constexpr std::size_t min_body_progress_bytes = 64;
// Added to the time that a caller waits, because its clock starts earlier and bytes are on their way.
constexpr time_ms body_time_margin{1'000};
// At the limit of connections, an unfinished request that has stood still for this long gives way to a new
// connection.
constexpr time_ms min_stall_before_eviction{1'000};
// Memory of a connection beside its buffers and bodies: coroutine frames, parser and socket.
constexpr std::size_t connection_bytes = std::size_t{4} * 1024;
constexpr time_ms memory_retry_after{1'000};
// Longest time for one write to the caller, after which the connection is closed.
constexpr time_ms write_stall_timeout{10'000};
// After an answer in the middle of a request body, input is read and discarded for this long before the
// close. Closing with unread input resets the connection, and the caller could lose the answer.
constexpr time_ms linger_timeout{1'000};
// A connection may be closed in favour of a new one only after this long without a request, because its next
// request may already be on its way.
constexpr time_ms min_idle_before_eviction{250};
constexpr std::size_t max_linger_bytes = std::size_t{1024} * 1024;
// Bytes that the parser keeps waiting for the end of a line within a body: a chunk size with its extension,
// or trailers.
constexpr std::size_t max_unparsed_bytes = max_read_bytes;

auto completion(error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

std::string_view reason_phrase(unsigned status) {
    const auto text = http::obsolete_reason(http::int_to_status(status));
    return {text.data(), text.size()};
}

} // namespace

/// Reading state of one request; shared with the body source.
struct caller_server::request_reading {
    caller_parser parser;
    /// The request has been answered, so the remaining body is not needed.
    bool closed = false;
    /// Answer to a request that is malformed, too large or too slow.
    caller_answer refusal;
    /// Memory of the part of the body that is buffered until the request ends.
    std::size_t buffered_bytes = 0;
};

/// How the answer to one request is framed.
struct caller_server::answer_framing {
    bool chunked = false;
    bool close = false;
    /// The end of the connection marks the end of the answer.
    bool until_close = false;
};

/// One connection of a caller. At most one read is outstanding; while a request is being handled, that read
/// detects that the caller disconnects. It has a buffer of its own, so the bytes that have arrived may be
/// consumed meanwhile.
class caller_server::connection : public std::enable_shared_from_this<connection> {
public:
    connection(tcp::socket socket, deadline_queue& deadlines, std::shared_ptr<caller_memory> memory)
        : socket_(std::move(socket)), deadlines_(deadlines), read_done_(socket_.get_executor()),
          memory_(std::move(memory)), holding_(*memory_, [this] { give_up(); }) {}

    /// @brief Records the memory that the connection holds, after progress of its request or answer.
    /// @param request_bytes Memory of the request's body.
    /// @return False when the account has closed the connection, or does not permit that much.
    bool hold(std::size_t request_bytes, memory_use use) {
        request_bytes_ = request_bytes;
        return hold_with(0, use);
    }
    /// @brief Records memory of an answer that waits for the caller, beside what hold() has recorded.
    bool hold_answer(std::size_t answer_bytes) { return hold_with(answer_bytes, memory_use::unread_answer); }
    /// @brief Bytes by which a body must grow within body_stall_timeout.
    [[nodiscard]] std::size_t min_body_progress() const {
        return memory_->is_short() ? min_body_progress_bytes : 1;
    }
    /// @brief Whether the account has closed the connection.
    [[nodiscard]] bool given_up() const { return holding_.closed(); }

    [[nodiscard]] bool busy() const { return busy_; }
    void set_busy(bool busy) {
        busy_ = busy;
        idle_since_ = monotonic_now();
    }
    [[nodiscard]] time_ms idle_since() const { return idle_since_; }
    [[nodiscard]] bool empty() const { return buffer_.size() == 0; }

    void close() {
        error_code ignored;
        socket_.close(ignored);
    }
    /// @brief Resets the connection, so that the caller does not take what it has received for the whole
    /// answer.
    void reset() {
        error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }
    [[nodiscard]] bool closed() const { return !socket_.is_open(); }

    /// Position in the server's list of connections.
    std::list<std::shared_ptr<connection>>::iterator list_position;

    /// @brief Waits for the first byte of a request.
    /// @return False when the caller closes the connection or sends nothing until the given time.
    asio::awaitable<bool> wait_for_request(time_ms until) {
        if (buffer_.size() > 0) co_return true;
        // An idle connection keeps only the memory of its read.
        buffer_.shrink_to_fit();
        const scoped_deadline limit(deadlines_, until, [self = shared_from_this()] { self->close(); });
        start_read();
        while (reading_) {
            co_await wait_for_read();
        }
        co_return !ended_ && buffer_.size() > 0;
    }

    /// @brief Reads more bytes into the buffer.
    /// @return False when the caller has disconnected or the given time has passed; see expired().
    asio::awaitable<bool> read(time_ms until) {
        bool expired = false;
        const scoped_deadline limit(deadlines_, until, [&expired, self = shared_from_this()] {
            expired = true;
            error_code ignored;
            // Shuts down only the receiving side, so that an error answer can still be written.
            self->socket_.shutdown(tcp::socket::shutdown_receive, ignored);
        });
        start_read();
        while (reading_) {
            co_await wait_for_read();
        }
        expired_ = expired;
        co_return !ended_ && !expired;
    }

    /// @brief Starts a read unless one is outstanding.
    /// @param on_disconnect_handler Called when the caller has disconnected; may be empty.
    void start_read(std::function<void()> on_disconnect_handler = {}) {
        on_disconnect_ = std::move(on_disconnect_handler);
        if (ended_) {
            if (on_disconnect_) on_disconnect_();
            return;
        }
        // While a request is being handled, pipelined requests are buffered only up to this limit.
        if (reading_ || (on_disconnect_ && buffer_.size() >= max_read_bytes)) return;
        reading_ = true;
        socket_.async_read_some(incoming_.prepare(read_bytes_),
                                [self = shared_from_this()](error_code failure, std::size_t count) {
                                    self->reading_ = false;
                                    self->take_incoming(count);
                                    if (count == self->read_bytes_) self->read_bytes_ = max_read_bytes;
                                    if (failure || count == 0) {
                                        self->ended_ = true;
                                        if (self->on_disconnect_) self->on_disconnect_();
                                    }
                                    self->read_done_.cancel();
                                });
    }
    void clear_disconnect_handler() { on_disconnect_ = nullptr; }
    /// Clears the disconnect handler at the end of the scope, before what the handler refers to is destroyed.
    class disconnect_scope {
    public:
        explicit disconnect_scope(connection& conn) : conn_(conn) {}
        ~disconnect_scope() { conn_.clear_disconnect_handler(); }
        disconnect_scope(const disconnect_scope&) = delete;
        disconnect_scope& operator=(const disconnect_scope&) = delete;
        disconnect_scope(disconnect_scope&&) = delete;
        disconnect_scope& operator=(disconnect_scope&&) = delete;

    private:
        connection& conn_;
    };

    asio::awaitable<bool> write(std::string_view head, std::string_view body) {
        const scoped_deadline limit(deadlines_, monotonic_now() + write_stall_timeout,
                                    [self = shared_from_this()] { self->close(); });
        std::array<asio::const_buffer, 2> parts{asio::buffer(head.data(), head.size()),
                                                asio::buffer(body.data(), body.size())};
        error_code failure;
        writing_ = true;
        co_await asio::async_write(socket_, parts, completion(failure));
        writing_ = false;
        co_return !failure;
    }

    /// @brief Shuts down the sending side so that the caller can still read the answer.
    /// @param unread Request bytes are still to come; they are read and discarded for a limited time.
    asio::awaitable<void> shut_down(bool unread) {
        error_code failure;
        socket_.shutdown(tcp::socket::shutdown_send, failure);
        if (!unread || failure) co_return;
        const auto until = monotonic_now() + linger_timeout;
        std::size_t dropped = 0;
        while (!ended_ && dropped < max_linger_bytes) {
            dropped += buffer_.size();
            buffer_.consume(buffer_.size());
            if (!co_await read(until)) break;
        }
    }

    boost::beast::flat_buffer& buffer() { return buffer_; }
    [[nodiscard]] bool expired() const { return expired_; }
    [[nodiscard]] bool ended() const { return ended_; }

private:
    // Ends the wait for a caller. A request of which nothing was sent can still be refused; an answer of
    // which a part may have been written is reset.
    void give_up() {
        if (writing_) {
            reset();
            return;
        }
        error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_receive, ignored);
    }

    bool hold_with(std::size_t answer_bytes, memory_use use) {
        return holding_.set(connection_bytes + buffer_.capacity() + incoming_.capacity() + request_bytes_ +
                                answer_bytes,
                            use, monotonic_now());
    }

    // Moves the bytes of a read that has ended behind those that have not been consumed yet.
    void take_incoming(std::size_t count) {
        incoming_.commit(count);
        if (buffer_.size() == 0) {
            std::swap(buffer_, incoming_);
        } else {
            buffer_.commit(asio::buffer_copy(buffer_.prepare(count), incoming_.data()));
        }
        incoming_.consume(incoming_.size());
    }

    asio::awaitable<void> wait_for_read() {
        error_code woken;
        read_done_.expires_at(std::chrono::steady_clock::time_point::max());
        co_await read_done_.async_wait(completion(woken));
    }

    tcp::socket socket_;
    deadline_queue& deadlines_;
    asio::steady_timer read_done_;
    // Bytes that have arrived and are not consumed yet.
    boost::beast::flat_buffer buffer_;
    // Memory of the outstanding read; holds no bytes otherwise.
    boost::beast::flat_buffer incoming_;
    std::function<void()> on_disconnect_;
    std::size_t read_bytes_ = initial_read_bytes;
    time_ms idle_since_ = monotonic_now();
    bool reading_ = false;
    bool ended_ = false;
    bool expired_ = false;
    bool busy_ = false;
    bool writing_ = false;
    std::size_t request_bytes_ = 0;
    std::shared_ptr<caller_memory> memory_;
    caller_memory::holding holding_;
};

namespace {

/// Result of parse_buffered().
struct parse_result {
    bool done = false;
    error_code failure;
};

// Passes the buffered bytes of a connection to the parser and removes them from the buffer.
parse_result parse_buffered(caller_parser& parser, boost::beast::flat_buffer& buffer) {
    parse_result result;
    while (!parser.is_done() && buffer.size() > 0) {
        error_code failure;
        std::size_t used = 0;
        try {
            used = parser.put(buffer.data(), failure);
        } catch (const std::length_error&) {
            // A field that the parser cannot store.
            failure = http::error::header_limit;
        }
        buffer.consume(used);
        if (failure == http::error::need_more) {
            if (buffer.size() > max_unparsed_bytes && parser.is_header_done())
                result.failure = http::error::header_limit;
            break;
        }
        if (failure) {
            result.failure = failure;
            return result;
        }
        if (used == 0) break;
    }
    result.done = parser.is_done();
    return result;
}

unsigned error_status(error_code failure) {
    if (failure == http::error::header_limit || failure == http::error::buffer_overflow) return 431;
    if (failure == http::error::body_limit) return 413;
    return 400;
}

caller_answer plain_answer(unsigned status, std::string text) {
    caller_answer answer;
    answer.status = status;
    answer.headers = "Content-Type: text/plain\r\n";
    answer.body = std::move(text);
    answer.close = true;
    return answer;
}

// Refuses a request of which nothing has been sent to an endpoint.
caller_answer memory_refusal() {
    auto answer = plain_answer(503, "not run: this VM is short of memory\n");
    answer.headers +=
        fmt::format("Retry-After: {:.3f}\r\n", static_cast<double>(memory_retry_after.count) / 1000);
    return answer;
}

std::string format_head(const caller_answer& answer, std::optional<std::uint64_t> length, bool chunked,
                        bool close) {
    std::string head = fmt::format("HTTP/1.1 {} {}\r\n", answer.status, reason_phrase(answer.status));
    head += answer.headers;
    if (length) head += fmt::format("Content-Length: {}\r\n", *length);
    if (chunked) head += "Transfer-Encoding: chunked\r\n";
    if (close) head += "Connection: close\r\n";
    return head + "\r\n";
}

bool wants_close(const http::fields& fields, unsigned version) {
    const auto value = fields[http::field::connection];
    http::token_list tokens(value);
    if (tokens.exists("close")) return true;
    return version < 11 && !tokens.exists("keep-alive");
}

} // namespace

// Reads the next piece of a body that was too long to be buffered; nothing when it cannot be completed.
asio::awaitable<std::optional<std::string>>
caller_server::read_next_piece(std::shared_ptr<connection> conn, std::shared_ptr<request_reading> reading) {
    auto& parser = reading->parser;
    while (!parser.is_done() && parser.get().body().empty()) {
        if (reading->closed || parse_buffered(parser, conn->buffer()).failure) co_return std::nullopt;
        if (parser.is_done() || !parser.get().body().empty()) break;
        // Only here the caller is waited for; a slow endpoint is not its fault.
        if (!conn->hold(reading->buffered_bytes, memory_use::unfinished_request)) co_return std::nullopt;
        if (!co_await conn->read(monotonic_now() + body_stall_timeout)) co_return std::nullopt;
        if (conn->given_up()) co_return std::nullopt;
    }
    conn->hold(reading->buffered_bytes, memory_use::in_service);
    std::string piece = std::move(parser.get().body());
    parser.get().body() = {};
    co_return piece;
}

caller_server::caller_server(asio::io_context& context, deadline_queue& deadlines, bounds_source bounds,
                             handler on_request)
    : context_(context), deadlines_(deadlines), bounds_(std::move(bounds)),
      on_request_(std::move(on_request)), acceptor_(context) {}

void caller_server::listen(std::string_view address, std::size_t max_connections) {
    const auto local = parse_socket_address(address);
    max_connections_ = max_connections;
    acceptor_.open(local.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(local);
    acceptor_.listen();
    spawn_lasting(context_, "accept_callers", [this] { return accept(); });
}

asio::awaitable<void> caller_server::accept() {
    while (acceptor_.is_open()) {
        error_code failure;
        tcp::socket socket(context_);
        if (connections_.size() < max_connections_ || longest_idle() != nullptr ||
            memory_->has_stalled(monotonic_now(), min_stall_before_eviction)) {
            co_await acceptor_.async_accept(socket, completion(failure));
        }
        if (failure == asio::error::operation_aborted) co_return;
        if (failure || !socket.is_open()) {
            // Out of file descriptors, or at the connection limit with no idle connection: wait until one
            // ends.
            asio::steady_timer pause(context_, std::chrono::milliseconds(20));
            co_await pause.async_wait(completion(failure));
            continue;
        }
        socket.set_option(tcp::no_delay(true), failure);
        if (connections_.size() >= max_connections_) {
            if (const auto idle = longest_idle()) {
                idle->close();
                ++evicted_connections_;
            } else {
                memory_->close_stalled(monotonic_now(), min_stall_before_eviction);
            }
        }
        auto accepted = std::make_shared<connection>(std::move(socket), deadlines_, memory_);
        accepted->list_position = connections_.insert(connections_.end(), accepted);
        asio::co_spawn(context_, serve_connection(std::move(accepted)), log_exception{"serve_connection"});
    }
}

// Reads the head of a request and validates its framing.
asio::awaitable<caller_server::read_result> caller_server::read_head(std::shared_ptr<connection> conn,
                                                                     std::shared_ptr<request_reading> reading,
                                                                     time_ms until) {
    auto& parser = reading->parser;
    auto parsed = parse_buffered(parser, conn->buffer());
    if (!parsed.failure && !parser.is_header_done()) conn->hold(0, memory_use::unfinished_request);
    // g++ 12 evaluates a co_await on the right of && in a loop condition even when the left is false.
    while (!parsed.failure && !parser.is_header_done()) {
        const bool more = co_await conn->read(until);
        if (!more) break;
        parsed = parse_buffered(parser, conn->buffer());
        if (!conn->hold(parser.get().body().capacity(), memory_use::unfinished_request)) break;
    }
    if (conn->given_up()) {
        reading->refusal = memory_refusal();
        co_return read_result::refused;
    }
    if (parsed.failure) {
        reading->refusal = plain_answer(error_status(parsed.failure),
                                        "unusable request: " + parsed.failure.message() + "\n");
        co_return read_result::refused;
    }
    if (!parser.is_header_done()) {
        if (!conn->expired()) co_return read_result::caller_left;
        reading->refusal = plain_answer(408, "the request head did not arrive in time\n");
        co_return read_result::refused;
    }
    try {
        check_framing(parser.get());
    } catch (const error& problem) {
        reading->refusal = plain_answer(400, std::string("unusable request: ") + problem.what() + "\n");
        co_return read_result::refused;
    }
    co_return read_result::complete;
}

// Reads the body until it is complete or max_buffered_body_bytes are buffered.
asio::awaitable<caller_server::read_result> caller_server::read_body(std::shared_ptr<connection> conn,
                                                                     std::shared_ptr<request_reading> reading,
                                                                     time_ms until) {
    auto& parser = reading->parser;
    const auto& body = parser.get().body();
    if (!parser.is_done() && boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        co_await conn->write("HTTP/1.1 100 Continue\r\n\r\n", {});
    }
    auto stalls_at = monotonic_now() + body_stall_timeout;
    std::size_t progress_from = body.size();
    for (;;) {
        // The rest of the body may have arrived with a read that was outstanding before.
        const auto parsed = parse_buffered(parser, conn->buffer());
        if (parsed.failure) {
            reading->refusal = plain_answer(error_status(parsed.failure),
                                            "unusable body: " + parsed.failure.message() + "\n");
            co_return read_result::refused;
        }
        if (parser.is_done() || body.size() >= max_buffered_body_bytes) co_return read_result::complete;
        bool held = conn->hold(body.capacity(), memory_use::unfinished_request);
        if (body.size() >= progress_from + conn->min_body_progress()) {
            progress_from = body.size();
            stalls_at = monotonic_now() + body_stall_timeout;
        }
        if (held) {
            const bool more = co_await conn->read(std::min(stalls_at, until));
            held = !conn->given_up();
            if (held && !more) co_return read_result::caller_left;
        }
        if (held) continue;
        parser.get().body() = std::string();
        reading->refusal = memory_refusal();
        co_return read_result::refused;
    }
}

// How long the buffered part of a body may take: as long as its caller waits for the answer.
time_ms caller_server::body_time(const http::fields& fields) const {
    return patience_ ? patience_(fields) + body_time_margin : max_body_time;
}

// Fills the request with the parsed head and the buffered body.
void caller_server::fill_request(const std::shared_ptr<connection>& conn,
                                 const std::shared_ptr<request_reading>& reading, caller_request& request) {
    auto& parser = reading->parser;
    auto& message = parser.get();
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.version = message.version();
    if (const auto length = parser.content_length()) request.length = *length;
    request.body = std::make_shared<const std::string>(std::move(message.body()));
    message.body() = {};
    // While the body is incomplete, the parser keeps its fields, because it adds trailers to them.
    if (parser.is_done()) {
        request.fields = std::move(message.base());
    } else {
        request.fields = message.base();
        request.remaining_body = [conn, reading] { return read_next_piece(conn, reading); };
    }
}

// Makes the sink that writes a long answer to the caller while it arrives from the endpoint.
answer_sink caller_server::make_answer_sink(connection& conn, answer_framing& framing, unsigned version) {
    answer_sink sink;
    sink.begin = [this, &conn, &framing,
                  version](const endpoint_answer& begun,
                           std::optional<std::uint64_t> length) -> asio::awaitable<bool> {
        caller_answer head;
        head.status = begun.status;
        head.headers = forwarded_header_lines(begun.fields);
        framing.chunked = !length && version >= 11;
        framing.until_close = !length && !framing.chunked;
        framing.close = framing.close || stopping_ || framing.until_close;
        co_return co_await conn.write(format_head(head, length, framing.chunked, framing.close), {});
    };
    sink.write = [&conn, &framing](std::string_view piece) -> asio::awaitable<bool> {
        if (!conn.hold_answer(piece.size()) && conn.given_up()) co_return false;
        if (!framing.chunked) {
            co_return co_await conn.write({}, piece);
        }
        co_return co_await conn.write(fmt::format("{:x}\r\n{}\r\n", piece.size(), piece), {});
    };
    return sink;
}

// Writes the answer, or the last chunk of one that was streamed.
asio::awaitable<bool> caller_server::deliver(connection& conn, const answer_framing& framing, bool head_only,
                                             caller_answer& answer) {
    if (answer.streamed) {
        if (framing.chunked) {
            co_return co_await conn.write("0\r\n\r\n", {});
        }
        co_return true;
    }
    const bool without_body = head_only || answer.status == 204 || answer.status == 304;
    const auto length =
        without_body ? std::optional<std::uint64_t>() : std::optional<std::uint64_t>(answer.body.size());
    if (head_only) answer.body.clear();
    // The answer is in memory already, so refusing it would free nothing; only a closed connection is reset.
    // It promises nothing, because the request may have run.
    if (!conn.hold_answer(answer.body.size()) && conn.given_up()) {
        conn.reset();
        co_return false;
    }
    co_return co_await conn.write(format_head(answer, length, false, framing.close), answer.body);
}

// Reads one request, handles it and writes the answer.
asio::awaitable<caller_server::connection_action>
caller_server::serve_request(std::shared_ptr<connection> conn, const caller_bounds& bounds) {
    caller_request request;
    request.arrived = monotonic_now() - loop_lag_;
    // Shared with the body source, which may be resumed once more after the end of this request.
    const auto reading = std::make_shared<request_reading>();
    auto& parser = reading->parser;
    parser.header_limit(bounds.header_bytes);
    parser.body_limit(bounds.body_bytes);
    parser.eager(true);
    auto read = co_await read_head(conn, reading, monotonic_now() + bounds.header_timeout);
    if (read == read_result::complete) {
        read = co_await read_body(conn, reading, request.arrived + body_time(parser.get()));
    }
    if (read == read_result::complete) {
        reading->buffered_bytes = parser.get().body().capacity();
        if (!conn->hold(reading->buffered_bytes, memory_use::in_service)) {
            parser.get().body() = std::string();
            reading->refusal = memory_refusal();
            read = read_result::refused;
        }
    }
    // The caller left, or its body stalled, before anything was sent to an endpoint: only the connection is
    // closed.
    if (read == read_result::caller_left) co_return connection_action::close;
    if (read == read_result::refused) {
        const auto& answer = reading->refusal;
        log(log_level::warn, "request_unusable", {{"status", answer.status}, {"reason", answer.body}});
        co_await conn->write(format_head(answer, answer.body.size(), false, true), answer.body);
        co_return connection_action::close_unread;
    }
    fill_request(conn, reading, request);
    answer_framing framing;
    framing.close = wants_close(request.fields, request.version);
    const connection::disconnect_scope scope(*conn);
    if (parser.is_done()) {
        conn->start_read([&request] {
            request.caller_left = true;
            if (request.on_disconnect) request.on_disconnect();
        });
    }
    auto answer = co_await on_request_(request, make_answer_sink(*conn, framing, request.version));
    conn->clear_disconnect_handler();
    reading->closed = true;
    const bool unread = !parser.is_done();
    framing.close = framing.close || answer.close || stopping_ || unread;
    if (answer.abort_connection && framing.until_close) conn->reset();
    if (answer.abort_connection || request.caller_left) {
        co_return unread ? connection_action::close_unread : connection_action::close;
    }
    const bool delivered = co_await deliver(*conn, framing, request.method == "HEAD", answer);
    if (unread) co_return connection_action::close_unread;
    co_return delivered && !framing.close ? connection_action::keep : connection_action::close;
}

asio::awaitable<void> caller_server::serve_connection(std::shared_ptr<connection> conn) {
    auto end = connection_action::keep;
    for (bool first = true; end == connection_action::keep; first = false) {
        const auto bounds = bounds_();
        const auto idle = first ? bounds.header_timeout : bounds.idle_timeout + idle_timeout_margin;
        if (!co_await conn->wait_for_request(monotonic_now() + idle)) break;
        conn->set_busy(true);
        try {
            end = co_await serve_request(conn, bounds);
        } catch (const std::exception& problem) {
            // Whatever has been sent, the caller must not take it for a whole answer.
            log(log_level::error, "caller_request_failed", {{"reason", problem.what()}});
            conn->reset();
            end = connection_action::close;
        }
        // A connection that is about to close stays busy, so that close_idle() does not cut its last answer.
        if (end != connection_action::keep) break;
        conn->set_busy(false);
        conn->hold(0, memory_use::idle);
        connections_.splice(connections_.end(), connections_, conn->list_position);
    }
    co_await conn->shut_down(end == connection_action::close_unread);
    conn->close();
    connections_.erase(conn->list_position);
}

// The longest idle connection that may be closed for a new one, or null when there is none.
std::shared_ptr<caller_server::connection> caller_server::longest_idle() const {
    const auto before = monotonic_now() - min_idle_before_eviction;
    const auto idle = std::find_if(connections_.begin(), connections_.end(), [before](const auto& item) {
        return !item->busy() && item->empty() && !item->closed() && item->idle_since() < before;
    });
    return idle == connections_.end() ? nullptr : *idle;
}

void caller_server::close_idle(time_ms idle_for) {
    const auto before = monotonic_now() - idle_for;
    for (const auto& item : connections_) {
        if (!item->busy() && item->empty() && item->idle_since() <= before) item->close();
    }
}

void caller_server::stop_accepting() {
    error_code ignored;
    acceptor_.close(ignored);
}

std::size_t caller_server::busy() const {
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                  [](const auto& item) { return item->busy(); }));
}

} // namespace lacewing
