#include "gateway/caller_server.h"

#include "protocol/caller_http.h"
#include "protocol/framing.h"
#include "state/error_kind.h"
#include "transport/ip_address.h"
#include "transport/log.h"
#include "transport/monotonic_clock.h"

#include <fmt/format.h>

#include <algorithm>

namespace lacewing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

using caller_parser = http::request_parser<http::string_body>;

// Most requests fit into one read of this size, which an idle connection holds; a connection that has filled
// it reads more at once from then on.
constexpr std::size_t first_read_bytes = std::size_t{2} * 1024;
constexpr std::size_t longest_read_bytes = std::size_t{16} * 1024;
// Callers may reuse a connection until the idle limit; closing a little later avoids crossing a request.
constexpr time_ms idle_margin{1000};
// A body that makes no progress for this time is given up.
constexpr time_ms body_stall{10'000};
// A caller that does not take its answer for this time is given up.
constexpr time_ms write_stall{10'000};
// After a refusal in the middle of a body, the caller gets this long to read the answer before the connection
// is closed; closing at once would reset it and could destroy the answer.
constexpr time_ms linger{1'000};
// A connection is closed in favour of a new one only after this long without a request: the next one may be
// on its way.
constexpr time_ms least_idle{250};
constexpr std::size_t linger_bytes = std::size_t{1024} * 1024;

auto completion(error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

std::string_view reason_of(unsigned status) {
    const auto text = http::obsolete_reason(http::int_to_status(status));
    return {text.data(), text.size()};
}

} // namespace

/// A request whose body is still being read.
struct caller_server::request_reading {
    caller_parser parser;
    /// The request has been answered; what is left of the body is of no use.
    bool closed = false;
    /// Answer to a request that cannot be read.
    caller_answer refusal;
};

/// How the answer to one request is framed.
struct caller_server::delivery {
    bool chunked = false;
    bool close = false;
};

/// One connection of a caller. A single read is outstanding at a time; while a request is being handled, it
/// tells when the caller leaves.
class caller_server::connection : public std::enable_shared_from_this<connection> {
public:
    connection(tcp::socket socket, deadlines& times)
        : socket_(std::move(socket)), times_(times), wake_(socket_.get_executor()) {}

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
    [[nodiscard]] bool closed() const { return !socket_.is_open(); }

    /// Place in the list of the server.
    std::list<std::shared_ptr<connection>>::iterator place;

    /// @brief Waits for the first byte of a request.
    /// @return False when the caller closes or stays silent.
    asio::awaitable<bool> wait_first(time_ms until) {
        if (buffer_.size() > 0) co_return true;
        const scoped_deadline limit(times_, until, [self = shared_from_this()] { self->close(); });
        watch();
        while (reading_) {
            co_await sleep();
        }
        co_return !ended_ && buffer_.size() > 0;
    }

    /// @brief Reads more bytes.
    asio::awaitable<bool> read(time_ms until) {
        bool expired = false;
        const scoped_deadline limit(times_, until, [&expired, self = shared_from_this()] {
            expired = true;
            error_code ignored;
            // Only the reading side ends, so that a refusal can still be written.
            self->socket_.shutdown(tcp::socket::shutdown_receive, ignored);
        });
        watch();
        while (reading_) {
            co_await sleep();
        }
        expired_ = expired;
        co_return !ended_ && !expired;
    }

    /// @brief Keeps one read outstanding; `leave` is called when it finds that the caller has left.
    void watch(std::function<void()> leave = {}) {
        on_leave_ = std::move(leave);
        if (ended_) {
            if (on_leave_) on_leave_();
            return;
        }
        // A caller that pipelines much is read no further until its first request is answered.
        if (reading_ || (on_leave_ && buffer_.size() >= longest_read_bytes)) return;
        reading_ = true;
        socket_.async_read_some(buffer_.prepare(read_bytes_),
                                [self = shared_from_this()](error_code failure, std::size_t count) {
                                    self->reading_ = false;
                                    self->buffer_.commit(count);
                                    if (count == self->read_bytes_) self->read_bytes_ = longest_read_bytes;
                                    if (failure || count == 0) {
                                        self->ended_ = true;
                                        if (self->on_leave_) self->on_leave_();
                                    }
                                    self->wake_.cancel();
                                });
    }
    void unwatch() { on_leave_ = nullptr; }

    asio::awaitable<bool> write(std::string_view head, std::string_view body) {
        const scoped_deadline limit(times_, monotonic_now() + write_stall,
                                    [self = shared_from_this()] { self->close(); });
        std::array<asio::const_buffer, 2> parts{asio::buffer(head.data(), head.size()),
                                                asio::buffer(body.data(), body.size())};
        error_code failure;
        co_await asio::async_write(socket_, parts, completion(failure));
        co_return !failure;
    }

    /// @brief Ends the connection so that the caller can still read the answer.
    asio::awaitable<void> finish(bool unread) {
        error_code failure;
        socket_.shutdown(tcp::socket::shutdown_send, failure);
        if (!unread || failure) co_return;
        const auto until = monotonic_now() + linger;
        std::size_t dropped = 0;
        while (!ended_ && dropped < linger_bytes) {
            dropped += buffer_.size();
            buffer_.consume(buffer_.size());
            if (!co_await read(until)) break;
        }
    }

    boost::beast::flat_buffer& buffer() { return buffer_; }
    [[nodiscard]] bool expired() const { return expired_; }
    [[nodiscard]] bool ended() const { return ended_; }

private:
    asio::awaitable<void> sleep() {
        error_code woken;
        wake_.expires_at(std::chrono::steady_clock::time_point::max());
        co_await wake_.async_wait(completion(woken));
    }

    tcp::socket socket_;
    deadlines& times_;
    asio::steady_timer wake_;
    boost::beast::flat_buffer buffer_;
    std::function<void()> on_leave_;
    std::size_t read_bytes_ = first_read_bytes;
    time_ms idle_since_ = monotonic_now();
    bool reading_ = false;
    bool ended_ = false;
    bool expired_ = false;
    bool busy_ = false;
};

namespace {

/// Feeds a parser from the buffer of a connection.
struct feed_result {
    bool done = false;
    error_code failure;
};

feed_result feed(caller_parser& parser, boost::beast::flat_buffer& buffer) {
    feed_result result;
    while (!parser.is_done() && buffer.size() > 0) {
        error_code failure;
        const auto used = parser.put(buffer.data(), failure);
        buffer.consume(used);
        if (failure == http::error::need_more) break;
        if (failure) {
            result.failure = failure;
            return result;
        }
        if (used == 0) break;
    }
    result.done = parser.is_done();
    return result;
}

unsigned status_of(error_code failure) {
    if (failure == http::error::header_limit || failure == http::error::buffer_overflow) return 431;
    if (failure == http::error::body_limit) return 413;
    return 400;
}

caller_answer plain_answer(unsigned status, std::string text) {
    caller_answer made;
    made.status = status;
    made.headers = "Content-Type: text/plain\r\n";
    made.body = std::move(text);
    made.close = true;
    return made;
}

std::string head_of(const caller_answer& answer, std::optional<std::uint64_t> length, bool chunked,
                    bool close) {
    std::string head = fmt::format("HTTP/1.1 {} {}\r\n", answer.status, reason_of(answer.status));
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

// Reads the next piece of a long body.
asio::awaitable<std::optional<std::string>>
caller_server::next_piece(std::shared_ptr<connection> of, std::shared_ptr<request_reading> reading) {
    auto& parser = reading->parser;
    while (!parser.is_done() && parser.get().body().empty()) {
        const bool more = co_await of->read(monotonic_now() + body_stall);
        if (!more || reading->closed) co_return std::nullopt;
        if (feed(parser, of->buffer()).failure) co_return std::nullopt;
    }
    std::string piece = std::move(parser.get().body());
    parser.get().body().clear();
    co_return piece;
}

caller_server::caller_server(asio::io_context& context, deadlines& times, bounds_source bounds,
                             handler on_request)
    : context_(context), times_(times), bounds_(std::move(bounds)), on_request_(std::move(on_request)),
      acceptor_(context) {}

void caller_server::listen(std::string_view address, std::size_t most) {
    const auto local = parse_socket_address(address);
    most_ = most;
    acceptor_.open(local.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(local);
    acceptor_.listen();
    asio::co_spawn(context_, accept(), asio::detached);
}

asio::awaitable<void> caller_server::accept() {
    while (acceptor_.is_open()) {
        error_code failure;
        tcp::socket socket(context_);
        if (connections_.size() < most_ || longest_idle() != nullptr) {
            co_await acceptor_.async_accept(socket, completion(failure));
        }
        if (failure == asio::error::operation_aborted) co_return;
        if (failure || !socket.is_open()) {
            // Out of descriptors, or at the limit without an idle connection: connections must end first.
            asio::steady_timer pause(context_, std::chrono::milliseconds(20));
            co_await pause.async_wait(completion(failure));
            continue;
        }
        socket.set_option(tcp::no_delay(true), failure);
        if (connections_.size() >= most_) {
            if (const auto idle = longest_idle()) {
                idle->close();
                ++closed_for_others_;
            }
        }
        auto made = std::make_shared<connection>(std::move(socket), times_);
        made->place = connections_.insert(connections_.end(), made);
        asio::co_spawn(context_, serve(std::move(made)), asio::detached);
    }
}

// Reads the head of a request and checks how it is framed.
asio::awaitable<caller_server::read_end> caller_server::read_head(std::shared_ptr<connection> of,
                                                                  std::shared_ptr<request_reading> reading,
                                                                  time_ms until) {
    auto& parser = reading->parser;
    auto fed = feed(parser, of->buffer());
    // g++ 12 evaluates a co_await on the right of && in a loop condition even when the left is false.
    while (!fed.failure && !parser.is_header_done()) {
        const bool more = co_await of->read(until);
        if (!more) break;
        fed = feed(parser, of->buffer());
    }
    if (fed.failure) {
        reading->refusal =
            plain_answer(status_of(fed.failure), "unusable request: " + fed.failure.message() + "\n");
        co_return read_end::refused;
    }
    if (!parser.is_header_done()) {
        if (!of->expired()) co_return read_end::caller_left;
        reading->refusal = plain_answer(408, "the request head did not arrive in time\n");
        co_return read_end::refused;
    }
    try {
        check_framing(parser.get());
    } catch (const error& problem) {
        reading->refusal = plain_answer(400, std::string("unusable request: ") + problem.what() + "\n");
        co_return read_end::refused;
    }
    co_return read_end::complete;
}

// Reads the body up to the bytes that are held before an endpoint is chosen.
asio::awaitable<caller_server::read_end> caller_server::read_body(std::shared_ptr<connection> of,
                                                                  std::shared_ptr<request_reading> reading) {
    auto& parser = reading->parser;
    if (!parser.is_done() && boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        co_await of->write("HTTP/1.1 100 Continue\r\n\r\n", {});
    }
    while (!parser.is_done() && parser.get().body().size() < held_body_bytes) {
        if (!co_await of->read(monotonic_now() + body_stall)) {
            co_return read_end::caller_left;
        }
        const auto fed = feed(parser, of->buffer());
        if (fed.failure) {
            reading->refusal =
                plain_answer(status_of(fed.failure), "unusable body: " + fed.failure.message() + "\n");
            co_return read_end::refused;
        }
    }
    co_return read_end::complete;
}

// Moves what has been read into a request.
void caller_server::take_request(const std::shared_ptr<connection>& of,
                                 const std::shared_ptr<request_reading>& reading, caller_request& request) {
    auto& parser = reading->parser;
    auto& message = parser.get();
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.version = message.version();
    if (const auto length = parser.content_length()) request.length = *length;
    request.body = std::make_shared<const std::string>(std::move(message.body()));
    message.body().clear();
    // The fields of a body that is still being read belong to the parser, which adds trailers to them.
    if (parser.is_done()) {
        request.fields = std::move(message.base());
    } else {
        request.fields = message.base();
        request.rest = [of, reading] { return next_piece(of, reading); };
    }
}

// Delivers long answers piece by piece while they arrive.
answer_sink caller_server::sink_for(connection& of, delivery& how, unsigned version) {
    answer_sink sink;
    sink.begin = [this, &of, &how, version](const endpoint_answer& begun,
                                            std::optional<std::uint64_t> length) -> asio::awaitable<bool> {
        caller_answer head;
        head.status = begun.status;
        head.headers = passed_on_lines(begun.fields);
        how.chunked = !length && version >= 11;
        how.close = how.close || stopping_ || (!length && !how.chunked);
        co_return co_await of.write(head_of(head, length, how.chunked, how.close), {});
    };
    sink.write = [&of, &how](std::string_view piece) -> asio::awaitable<bool> {
        if (!how.chunked) {
            co_return co_await of.write({}, piece);
        }
        co_return co_await of.write(fmt::format("{:x}\r\n{}\r\n", piece.size(), piece), {});
    };
    return sink;
}

// Writes the answer, or the end of one that was streamed.
asio::awaitable<bool> caller_server::deliver(connection& of, const delivery& how, bool head_only,
                                             caller_answer& answer) {
    if (answer.streamed) {
        if (how.chunked) {
            co_return co_await of.write("0\r\n\r\n", {});
        }
        co_return true;
    }
    const bool bodiless = head_only || answer.status == 204 || answer.status == 304;
    const auto length =
        bodiless ? std::optional<std::uint64_t>() : std::optional<std::uint64_t>(answer.body.size());
    if (head_only) answer.body.clear();
    co_return co_await of.write(head_of(answer, length, false, how.close), answer.body);
}

// Handles one request of a connection.
asio::awaitable<caller_server::exchange_end> caller_server::exchange(std::shared_ptr<connection> of,
                                                                     const caller_bounds& bounds) {
    caller_request request;
    request.arrived = monotonic_now() - lag_;
    // Shared with the body source, which may outlive this request by one wake-up.
    const auto reading = std::make_shared<request_reading>();
    auto& parser = reading->parser;
    parser.header_limit(bounds.header_bytes);
    parser.body_limit(bounds.body_bytes);
    parser.eager(true);
    auto read = co_await read_head(of, reading, monotonic_now() + bounds.header_timeout);
    if (read == read_end::complete) {
        read = co_await read_body(of, reading);
    }
    // Nothing has been sent to an endpoint.
    if (read == read_end::caller_left) co_return exchange_end::close;
    if (read == read_end::refused) {
        const auto& answer = reading->refusal;
        log(log_level::warn, "request_unusable", {{"status", answer.status}, {"reason", answer.body}});
        co_await of->write(head_of(answer, answer.body.size(), false, true), answer.body);
        co_return exchange_end::close_unread;
    }
    take_request(of, reading, request);
    delivery how;
    how.close = wants_close(request.fields, request.version);
    if (parser.is_done()) {
        of->watch([&request] {
            request.caller_left = true;
            if (request.on_leave) request.on_leave();
        });
    }
    auto answer = co_await on_request_(request, sink_for(*of, how, request.version));
    of->unwatch();
    reading->closed = true;
    const bool unread = !parser.is_done();
    how.close = how.close || answer.close || stopping_ || unread;
    if (answer.drop || request.caller_left) {
        co_return unread ? exchange_end::close_unread : exchange_end::close;
    }
    const bool delivered = co_await deliver(*of, how, request.method == "HEAD", answer);
    if (unread) co_return exchange_end::close_unread;
    co_return delivered && !how.close ? exchange_end::keep : exchange_end::close;
}

asio::awaitable<void> caller_server::serve(std::shared_ptr<connection> of) {
    auto end = exchange_end::keep;
    for (bool first = true; end == exchange_end::keep; first = false) {
        const auto bounds = bounds_();
        const auto idle = first ? bounds.header_timeout : bounds.idle_timeout + idle_margin;
        if (!co_await of->wait_first(monotonic_now() + idle)) break;
        of->set_busy(true);
        end = co_await exchange(of, bounds);
        // A connection that is about to end stays busy, so that a stop does not cut its last answer.
        if (end != exchange_end::keep) break;
        of->set_busy(false);
        connections_.splice(connections_.end(), connections_, of->place);
    }
    co_await of->finish(end == exchange_end::close_unread);
    of->close();
    connections_.erase(of->place);
}

// The connection that is the least likely to be used again, or null when all have a request.
std::shared_ptr<caller_server::connection> caller_server::longest_idle() const {
    const auto before = monotonic_now() - least_idle;
    const auto idle = std::find_if(connections_.begin(), connections_.end(), [before](const auto& item) {
        return !item->busy() && item->empty() && !item->closed() && item->idle_since() < before;
    });
    return idle == connections_.end() ? nullptr : *idle;
}

void caller_server::close_idle() {
    for (const auto& item : connections_) {
        if (!item->busy() && item->empty()) item->close();
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
