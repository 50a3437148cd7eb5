// The path of a request, in order: parse, route, key, plan, once, rate, endpoint, forward, answer
// (design 2.2).

#include "daemon/request_path.h"

#include "daemon/lookup_answer.h"
#include "protocol/caller_http.h"
#include "protocol/framing.h"
#include "transport/log.h"
#include "transport/monotonic_clock.h"
#include "transport/relay.h"

#include <fmt/format.h>

#include <array>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace lacewing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// A body or an answer up to this size is held whole: the request can be sent to a second endpoint, and a
// broken answer becomes an error answer instead of a cut connection.
constexpr std::size_t piece_bytes = std::size_t{64} * 1024;
// A transfer without progress for this time is given up. Fitters' phones lose the network for some seconds at
// a time.
constexpr std::chrono::milliseconds transfer_idle_limit{30'000};
constexpr std::chrono::milliseconds keep_alive_limit{60'000};
// An answer that still arrives after this time is treated as endless.
constexpr time_ms longest_answer{600'000};
constexpr std::int64_t default_deadline_ms = 5'000;
constexpr std::int64_t longest_deadline_ms = 60'000;
constexpr std::uint32_t answer_header_bytes = 64 * 1024;
// A caller that was refused in the middle of its upload gets this much time and data to notice the answer;
// closing at once would reset the connection before the answer is read.
constexpr std::chrono::milliseconds drain_time{1'000};
constexpr std::size_t drain_bytes = std::size_t{1024} * 1024;

using caller_parser = http::request_parser<http::buffer_body>;
using answer_parser = http::response_parser<http::buffer_body>;

std::chrono::milliseconds remaining(time_ms deadline) {
    return std::chrono::milliseconds(std::max<std::int64_t>(0, (deadline - monotonic_now()).count));
}

// Ends the reads of a stream when its time is over. The time limit of tcp_stream closes the connection, so no
// answer could be written any more.
class read_limit {
public:
    read_limit(beast::tcp_stream& stream, std::chrono::milliseconds limit)
        : timer_(stream.get_executor(), limit), flags_(std::make_shared<shared_flags>()) {
        stream.expires_never();
        timer_.async_wait([&stream, flags = flags_](boost::system::error_code failure) {
            if (failure || flags->stopped) return;
            flags->expired = true;
            stream.cancel();
        });
    }
    // A wait that ended just before has its handler queued already.
    ~read_limit() { flags_->stopped = true; }
    read_limit(const read_limit&) = delete;
    read_limit& operator=(const read_limit&) = delete;
    read_limit(read_limit&&) = delete;
    read_limit& operator=(read_limit&&) = delete;
    [[nodiscard]] bool expired() const { return flags_->expired; }

private:
    struct shared_flags {
        bool stopped = false;
        bool expired = false;
    };
    asio::steady_timer timer_;
    std::shared_ptr<shared_flags> flags_;
};

// One request of a caller while it is served.
struct exchange {
    explicit exchange(std::uint64_t body_limit) { parser.body_limit(body_limit); }

    caller_parser parser;
    time_ms received;
    // Latest time at which an endpoint may be chosen; also the time left for the answer once the upload has
    // ended.
    time_ms deadline;
    std::int64_t deadline_ms = default_deadline_ms;
    request_identity identity;
    std::string key;
    std::string rest;
    std::string request_id;
    once_lease once;
    // First piece of the body; the whole body when parser.is_done().
    std::vector<char> first_piece;
    bool streamed = false;
    bool answer_started = false;
};

// What became of one attempt at an endpoint when no answer was passed on.
struct attempt_failure {
    error_kind kind;
    std::string detail;
};

class caller_session {
public:
    caller_session(asio::ip::tcp::socket socket, serve_state& state)
        : stream_(std::move(socket)), state_(state), open_(state, stream_) {}

    asio::awaitable<void> run();

private:
    asio::awaitable<bool> serve_request();
    asio::awaitable<bool> read_header(exchange& current);
    asio::awaitable<void> answer_lookup(exchange& current);
    asio::awaitable<void> proxy(exchange& current);
    void authorise(exchange& current);
    asio::awaitable<void> receive_first_piece(exchange& current);
    asio::awaitable<void> forward_with_retries(exchange& current);
    asio::awaitable<endpoint_lease> acquire_or_report(exchange& current,
                                                      const std::vector<std::uint32_t>& tried,
                                                      const std::optional<attempt_failure>& reported);
    asio::awaitable<std::optional<attempt_failure>> forward(exchange& current, endpoint_lease& lease);
    asio::awaitable<std::shared_ptr<endpoint_connection>> open_endpoint(exchange& current,
                                                                        endpoint_lease& lease);
    asio::awaitable<std::optional<attempt_failure>> send_request(exchange& current, endpoint_connection& to);
    asio::awaitable<std::optional<attempt_failure>> await_answer(exchange& current, endpoint_lease& lease,
                                                                 endpoint_connection& from,
                                                                 std::optional<answer_parser>& answer);
    asio::awaitable<void> write_held_answer(http::response<http::buffer_body>& out);
    asio::awaitable<std::optional<attempt_failure>> pass_answer(exchange& current, endpoint_lease& lease,
                                                                std::shared_ptr<endpoint_connection> from);
    asio::awaitable<void> stream_answer(exchange& current, endpoint_connection& from, answer_parser& answer,
                                        http::response<http::buffer_body>& out, std::span<char> piece);
    asio::awaitable<void> write_error(exchange& current, error_kind kind, std::string_view detail);
    asio::awaitable<void> write_text(exchange& current, int status, std::string body,
                                     std::string_view effect);
    asio::awaitable<void> drain_upload();
    [[nodiscard]] bool keep_alive(const exchange& current) const;

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    serve_state& state_;
    connection_registration open_;
};

asio::awaitable<void> caller_session::run() {
    stream_.socket().set_option(asio::ip::tcp::no_delay(true));
    while (co_await serve_request()) {
    }
    boost::system::error_code ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

// Serves the next request of the connection; false ends the connection.
asio::awaitable<bool> caller_session::serve_request() {
    exchange current(static_cast<std::uint64_t>(state_.limits().body_bytes));
    current.parser.header_limit(static_cast<std::uint32_t>(state_.limits().header_bytes));
    if (!co_await read_header(current)) co_return false;
    open_.set_busy(true);
    std::optional<attempt_failure> failure;
    try {
        const std::string_view target = current.parser.get().target();
        if (target.starts_with("/v1/entry")) {
            co_await answer_lookup(current);
        } else {
            co_await proxy(current);
        }
    } catch (const error& problem) {
        failure = attempt_failure{problem.kind(), problem.what()};
    } catch (const boost::system::system_error&) {
        // The caller's own connection failed; there is nobody to answer.
        open_.set_busy(false);
        co_return false;
    }
    if (failure) {
        state_.record(current.identity, failure->kind, monotonic_now() - current.received);
        if (current.answer_started) co_return false;
        co_await write_error(current, failure->kind, failure->detail);
    }
    open_.set_busy(false);
    co_return keep_alive(current);
}

// Reads a header within its bounds; a malformed, oversized or slow one is answered here.
asio::awaitable<bool> caller_session::read_header(exchange& current) {
    boost::system::error_code failure;
    if (buffer_.size() == 0) {
        // An idle connection may wait longer than a header that has begun.
        stream_.expires_after(open_.first_request()
                                  ? std::chrono::milliseconds(state_.limits().header_timeout.count)
                                  : keep_alive_limit);
        const auto read = co_await stream_.async_read_some(
            buffer_.prepare(4096), asio::redirect_error(asio::use_awaitable, failure));
        if (failure) co_return false;
        buffer_.commit(read);
    }
    bool expired = false;
    {
        const read_limit limit(stream_, std::chrono::milliseconds(state_.limits().header_timeout.count));
        co_await http::async_read_header(stream_, buffer_, current.parser,
                                         asio::redirect_error(asio::use_awaitable, failure));
        expired = limit.expired();
    }
    current.received = monotonic_now();
    std::string detail = failure.message();
    if (!failure) {
        try {
            check_framing(current.parser.get());
            co_return true;
        } catch (const error& problem) {
            detail = problem.what();
        }
    }
    if (failure == http::error::end_of_stream || failure == asio::error::connection_reset) co_return false;
    auto kind = error_kind::bad_request;
    if (failure == http::error::header_limit) kind = error_kind::header_too_large;
    if (failure == http::error::body_limit) kind = error_kind::body_too_large;
    if (expired) kind = error_kind::request_timeout;
    if (failure == http::error::partial_message || failure == asio::error::eof) co_return false;
    current.parser.get().keep_alive(false);
    state_.record(current.identity, kind, {});
    if (expired) detail = "the header did not arrive in time";
    co_await write_error(current, kind, detail);
    co_return false;
}

asio::awaitable<void> caller_session::answer_lookup(exchange& current) {
    if (current.parser.get().method() != http::verb::get) throw error(error_kind::bad_request, "use GET");
    const std::string target(current.parser.get().target());
    boost::system::error_code failure;
    const auto peer = stream_.socket().remote_endpoint(failure).address();
    auto body = lookup_answer(state_.entries().get(), target, peer.to_string());
    state_.metrics().count_lookup();
    co_await write_text(current, 200, std::move(body), "ran");
}

asio::awaitable<void> caller_session::proxy(exchange& current) {
    auto& request = current.parser.get();
    const auto presented_id = request.find("x-request-id");
    if (presented_id != request.end()) current.request_id = std::string(presented_id->value());
    std::optional<attempt_failure> stale;
    try {
        authorise(current);
    } catch (const error& problem) {
        if (problem.kind() != error_kind::keys_stale || !current.identity.route->once) throw;
        stale = attempt_failure{problem.kind(), problem.what()};
    }
    if (stale) {
        // The id may belong to a request that ran; not_run must be true for the id as well.
        current.once = co_await state_.begin_once(current.identity, current.request_id);
        current.once.finish(request_effect::not_run);
        throw error(stale->kind, stale->detail);
    }
    current.deadline_ms =
        integer_header(request, "x-deadline-ms", default_deadline_ms, 1, longest_deadline_ms);
    current.deadline = current.received + time_ms{current.deadline_ms};

    // The claim comes first: a refusal of a repeated id must not say not_run while the first request runs.
    if (current.identity.route->once) {
        current.once = co_await state_.begin_once(current.identity, current.request_id);
    }
    try {
        co_await state_.admit(current.identity, current.deadline);
        co_await receive_first_piece(current);
        co_await forward_with_retries(current);
        current.once.finish(request_effect::ran);
    } catch (const error& problem) {
        current.once.finish(error_answer_for(problem.kind()).effect);
        throw;
    }
}

// Decides on whose behalf the request runs and whether the plan permits it.
void caller_session::authorise(exchange& current) {
    const auto& request = current.parser.get();
    const std::string_view target = request.target();
    const auto parsed = parse_proxied_target(target);
    current.rest = parsed.rest;
    current.identity = state_.find_route(parsed.route);
    current.key = presented_key(request).value_or("");
    state_.reject_key_in_target(target, current.key);
    if (current.identity.route->open) return;
    state_.identify(current.identity, current.key);
    const auto caller_class = request.find("x-caller-class");
    if (caller_class != request.end())
        serve_state::set_class(current.identity, std::string_view(caller_class->value()));
}

// Receives the whole body, or its first piece, before an endpoint is occupied: a slow upload holds no slot
// meanwhile.
asio::awaitable<void> caller_session::receive_first_piece(exchange& current) {
    if (current.parser.is_done()) co_return;
    if (beast::iequals(current.parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> proceed{http::status::continue_, 11};
        co_await http::async_write(stream_, proceed, asio::use_awaitable);
    }
    current.first_piece.resize(piece_bytes);
    std::size_t size = 0;
    boost::system::error_code failure;
    try {
        size = co_await read_body_chunk(stream_, buffer_, current.parser, current.first_piece,
                                        transfer_idle_limit);
    } catch (const boost::system::system_error& problem) {
        failure = problem.code();
    }
    if (failure == http::error::body_limit) throw error(error_kind::body_too_large, "the body is too large");
    if (failure == beast::error::timeout)
        throw error(error_kind::request_timeout, "the body arrived too slowly");
    if (failure) {
        if (failure.category() != http::make_error_code(http::error::bad_chunk).category()) {
            throw boost::system::system_error(failure);
        }
        throw error(error_kind::bad_request, failure.message());
    }
    current.first_piece.resize(size);
    current.streamed = !current.parser.is_done();
}

// Chooses an endpoint. When none is left for another attempt, the failure of the attempts so far is the
// result.
asio::awaitable<endpoint_lease>
caller_session::acquire_or_report(exchange& current, const std::vector<std::uint32_t>& tried,
                                  const std::optional<attempt_failure>& reported) {
    std::optional<error> unavailable;
    try {
        co_return co_await state_.acquire_endpoint(current.identity, tried, current.deadline);
    } catch (const error& problem) {
        unavailable = problem;
    }
    if (reported) throw error(reported->kind, reported->detail);
    throw *unavailable;
}

// Tries endpoints until one answers or the table of error kinds, the retry budget or the deadline forbids
// another try.
asio::awaitable<void> caller_session::forward_with_retries(exchange& current) {
    std::vector<std::uint32_t> tried;
    std::optional<attempt_failure> reported;
    state_.count_first_attempt();
    while (true) {
        // A later attempt that did not run takes nothing back of an earlier one that may have run.
        auto lease = co_await acquire_or_report(current, tried, reported);
        const auto failure = co_await forward(current, lease);
        if (!failure)
            co_return state_.record(current.identity, std::nullopt, monotonic_now() - current.received);
        const bool proven = error_answer_for(failure->kind).effect == request_effect::not_run;
        if (!proven || !reported) reported = failure;
        if (proven) current.once.attempt_not_run();
        tried.push_back(lease.endpoint());
        failed_attempt attempt{failure->kind, static_cast<std::uint32_t>(tried.size()),
                               current.deadline - monotonic_now(),
                               !current.streamed && !current.answer_started, proven};
        const auto delay = state_.retry_delay(current.identity, attempt);
        if (!delay) throw error(reported->kind, reported->detail);
        co_await state_.sleep(*delay);
    }
}

asio::awaitable<std::optional<attempt_failure>> caller_session::forward(exchange& current,
                                                                        endpoint_lease& lease) {
    std::shared_ptr<endpoint_connection> connection;
    std::optional<attempt_failure> failure;
    try {
        connection = co_await open_endpoint(current, lease);
    } catch (const error& problem) {
        failure = attempt_failure{problem.kind(), problem.what()};
    }
    if (failure) {
        lease.finish(attempt_outcome::failure);
        co_return failure;
    }
    lease.guard(connection->stream);
    current.once.before_send();
    failure = co_await send_request(current, *connection);
    if (failure) {
        lease.finish(failure->kind == error_kind::upload_aborted ? attempt_outcome::neutral
                                                                 : attempt_outcome::failure);
        co_return failure;
    }
    co_return co_await pass_answer(current, lease, std::move(connection));
}

// An idle connection can be closed by the endpoint at the moment of reuse, which leaves the outcome unknown;
// requests that may run only once therefore get a new connection.
asio::awaitable<std::shared_ptr<endpoint_connection>> caller_session::open_endpoint(exchange& current,
                                                                                    endpoint_lease& lease) {
    constexpr time_ms connect_limit{1'000};
    if (!current.identity.route->once) {
        auto idle = state_.pool().take_idle(lease.address(), monotonic_now());
        if (idle) co_return idle;
    }
    const auto left = time_ms{remaining(current.deadline).count()};
    auto connection =
        co_await state_.pool().connect(std::string(lease.address()), std::min(left, connect_limit));
    connection->closed = state_.count_connection(lease.endpoint());
    co_return connection;
}

// Sends header and body. A failure of the endpoint while it receives is not final: it may have answered
// early.
asio::awaitable<std::optional<attempt_failure>> caller_session::send_request(exchange& current,
                                                                             endpoint_connection& to) {
    const auto& in = current.parser.get();
    http::request<http::buffer_body> out{in.method(), current.rest, 11};
    copy_request_headers(in, current.key, out);
    // A key that was sent in a header of another name is not the presented one.
    for (auto field = out.begin(); field != out.end();) {
        const auto next = std::next(field);
        if (state_.holds_key(std::string_view(field->value()))) out.erase(field);
        field = next;
    }
    out.set(http::field::host, to.address);
    out.set("X-Deadline-Ms", std::to_string(current.deadline_ms));
    if (current.identity.account) out.set("X-Account", current.identity.account->name.value);
    const auto length = current.parser.content_length();
    if (length) {
        out.content_length(*length);
    } else if (current.parser.chunked()) {
        out.chunked(true);
    }
    out.body().data = current.first_piece.empty() ? nullptr : current.first_piece.data();
    out.body().size = current.first_piece.size();
    out.body().more = current.streamed;

    http::request_serializer<http::buffer_body> serializer{out};
    boost::system::error_code failure;
    to.stream.expires_after(transfer_idle_limit);
    co_await http::async_write(to.stream, serializer, asio::redirect_error(asio::use_awaitable, failure));
    if (failure && failure != http::error::need_buffer) co_return std::nullopt;
    if (!current.streamed) co_return std::nullopt;

    std::vector<char> scratch(piece_bytes);
    const auto result = co_await relay_body<true>(stream_, buffer_, current.parser, to.stream, serializer,
                                                  out, scratch, transfer_idle_limit);
    if (result != relay_result::source_failed) co_return std::nullopt;
    co_return attempt_failure{error_kind::upload_aborted, "the upload ended early"};
}

// Reads the header of the answer, skipping interim ones.
asio::awaitable<boost::system::error_code>
read_answer_header(endpoint_connection& from, std::optional<answer_parser>& answer, bool head_request) {
    boost::system::error_code failure;
    do {
        answer.emplace();
        answer->header_limit(answer_header_bytes);
        // boost::none rejects every announced length in this version of Beast.
        answer->body_limit(std::numeric_limits<std::uint64_t>::max());
        answer->skip(head_request);
        co_await http::async_read_header(from.stream, from.buffer, *answer,
                                         asio::redirect_error(asio::use_awaitable, failure));
    } while (!failure && http::to_status_class(answer->get().result()) == http::status_class::informational);
    co_return failure;
}

// Fills the first piece of the answer; nothing when the answer broke off.
asio::awaitable<std::optional<std::size_t>> read_first_piece(endpoint_connection& from, answer_parser& answer,
                                                             std::span<char> piece,
                                                             std::chrono::milliseconds limit) {
    try {
        co_return co_await read_body_chunk(from.stream, from.buffer, answer, piece, limit);
    } catch (const boost::system::system_error&) {
        co_return std::nullopt;
    }
}

// What the header of an answer says about the attempt; nothing when the answer is to be passed on.
std::optional<attempt_failure> judge_header(const answer_parser& answer, endpoint_lease& lease) {
    const auto& head = answer.get();
    lease.report_load(head["X-Load"]);
    if (head.result() == http::status::service_unavailable && head["X-Not-Run"] == "1") {
        lease.finish(attempt_outcome::shed);
        return attempt_failure{error_kind::endpoint_refused, "the endpoint refused the request unexecuted"};
    }
    if (answer.need_eof()) {
        // Without a length the end of the answer cannot be told from a broken connection.
        lease.finish(attempt_outcome::failure);
        return attempt_failure{error_kind::answer_truncated, "the endpoint sent an answer without a length"};
    }
    return std::nullopt;
}

// Header of the answer for the caller, framed for a body of which `size` bytes are held.
http::response<http::buffer_body> outgoing_answer(const answer_parser& answer, bool head_request,
                                                  std::size_t size) {
    http::response<http::buffer_body> out{answer.get().result(), 11};
    copy_answer_headers(answer.get(), out);
    out.set("X-Lacewing-Effect", "ran");
    if (head_request) {
        const auto announced = answer.get().find(http::field::content_length);
        if (announced != answer.get().end()) out.set(http::field::content_length, announced->value());
    } else if (answer.content_length()) {
        out.content_length(*answer.content_length());
    } else if (out.result() == http::status::no_content || out.result() == http::status::not_modified) {
        // These have no body and must not announce one.
    } else if (answer.is_done()) {
        out.content_length(size);
    } else {
        out.chunked(true);
    }
    return out;
}

// Waits for the header of the answer; a caller that goes away cancels the request at the endpoint.
asio::awaitable<std::optional<attempt_failure>>
caller_session::await_answer(exchange& current, endpoint_lease& lease, endpoint_connection& from,
                             std::optional<answer_parser>& answer) {
    caller_watch watch(stream_, from.stream);
    const bool head_request = current.parser.get().method() == http::verb::head;
    const auto failure = co_await read_answer_header(from, answer, head_request);
    watch.stop();
    if (watch.caller_left()) {
        lease.finish(attempt_outcome::neutral);
        throw boost::system::system_error(asio::error::connection_reset);
    }
    if (!failure) co_return judge_header(*answer, lease);
    lease.finish(attempt_outcome::failure);
    if (failure == beast::error::timeout) {
        co_return attempt_failure{error_kind::deadline_exceeded, "the endpoint did not answer in time"};
    }
    co_return attempt_failure{error_kind::endpoint_failed, failure.message()};
}

// Passes the answer on. Up to the first byte to the caller a failure is still reported as an error answer.
asio::awaitable<std::optional<attempt_failure>>
caller_session::pass_answer(exchange& current, endpoint_lease& lease,
                            std::shared_ptr<endpoint_connection> from) {
    // The deadline limits waiting and not the upload, whose length depends on the caller's own line.
    const auto answer_by =
        current.streamed ? monotonic_now() + time_ms{current.deadline_ms} : current.deadline;
    from->stream.expires_after(remaining(answer_by));
    std::optional<answer_parser> answer;
    const auto failure = co_await await_answer(current, lease, *from, answer);
    if (failure) co_return failure;

    std::vector<char> piece(
        std::clamp<std::size_t>(answer->content_length().value_or(piece_bytes), 1, piece_bytes));
    const auto size = co_await read_first_piece(*from, *answer, piece, remaining(answer_by));
    if (!size) {
        lease.finish(attempt_outcome::failure);
        co_return attempt_failure{error_kind::answer_truncated, "the answer of the endpoint broke off"};
    }
    auto out = outgoing_answer(*answer, current.parser.get().method() == http::verb::head, *size);
    out.keep_alive(keep_alive(current));
    out.body().data = *size == 0 ? nullptr : piece.data();
    out.body().size = *size;
    out.body().more = !answer->is_done();
    const bool server_error = http::to_status_class(out.result()) == http::status_class::server_error;
    const auto outcome = server_error ? attempt_outcome::failure : attempt_outcome::success;
    current.answer_started = true;
    if (answer->is_done()) {
        // The answer is held whole; the slot of the endpoint is free while a slow caller receives it.
        lease.finish(outcome);
        if (answer->get().keep_alive()) state_.pool().put_idle(std::move(from), monotonic_now());
        co_await write_held_answer(out);
        co_return std::nullopt;
    }
    co_await stream_answer(current, *from, *answer, out, piece);
    lease.finish(outcome);
    if (answer->get().keep_alive()) state_.pool().put_idle(std::move(from), monotonic_now());
    co_return std::nullopt;
}

asio::awaitable<void> caller_session::write_held_answer(http::response<http::buffer_body>& out) {
    http::response_serializer<http::buffer_body> serializer{out};
    stream_.expires_after(transfer_idle_limit);
    co_await http::async_write(stream_, serializer, asio::use_awaitable);
}

// Passes a long answer on piece by piece; a failure in the middle cuts the caller's connection, which the
// caller recognises by the length or the missing last chunk.
asio::awaitable<void> caller_session::stream_answer(exchange& current, endpoint_connection& from,
                                                    answer_parser& answer,
                                                    http::response<http::buffer_body>& out,
                                                    std::span<char> piece) {
    http::response_serializer<http::buffer_body> serializer{out};
    boost::system::error_code failure;
    stream_.expires_after(transfer_idle_limit);
    co_await http::async_write(stream_, serializer, asio::redirect_error(asio::use_awaitable, failure));
    if (failure && failure != http::error::need_buffer) throw boost::system::system_error(failure);
    const auto limit = std::min<std::chrono::milliseconds>(transfer_idle_limit,
                                                           remaining(current.received + longest_answer));
    const auto result =
        co_await relay_body<false>(from.stream, from.buffer, answer, stream_, serializer, out, piece, limit);
    if (result == relay_result::source_failed)
        throw error(error_kind::answer_truncated, "the answer broke off");
    if (result == relay_result::sink_failed) throw boost::system::system_error(asio::error::connection_reset);
}

bool caller_session::keep_alive(const exchange& current) const {
    return current.parser.is_done() && current.parser.get().keep_alive() && !state_.leaving();
}

asio::awaitable<void> caller_session::write_error(exchange& current, error_kind kind,
                                                  std::string_view detail) {
    const auto& row = error_answer_for(kind);
    const bool unread = !current.parser.is_done();
    boost::system::error_code failure;
    try {
        co_await write_text(current, row.http_status, error_body(kind, detail), to_string(row.effect));
    } catch (const boost::system::system_error& problem) {
        failure = problem.code();
    }
    if (!failure && unread) {
        co_await drain_upload();
    }
}

asio::awaitable<void> caller_session::write_text(exchange& current, int status, std::string body,
                                                 std::string_view effect) {
    http::response<http::string_body> out{http::int_to_status(static_cast<unsigned>(status)), 11};
    out.set(http::field::content_type, "application/json");
    out.set("X-Lacewing-Effect", effect);
    out.body() = std::move(body);
    out.keep_alive(keep_alive(current));
    out.prepare_payload();
    stream_.expires_after(transfer_idle_limit);
    co_await http::async_write(stream_, out, asio::use_awaitable);
}

// Reads on for a moment after a refusal, so that the caller sees the answer and not a reset connection.
asio::awaitable<void> caller_session::drain_upload() {
    boost::system::error_code failure;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failure);
    std::array<char, 4096> discarded{};
    std::size_t total = 0;
    stream_.expires_after(drain_time);
    while (!failure && total < drain_bytes) {
        total += co_await stream_.async_read_some(asio::buffer(discarded),
                                                  asio::redirect_error(asio::use_awaitable, failure));
    }
}

} // namespace

asio::awaitable<void> serve_caller(asio::ip::tcp::socket socket, serve_state& state) {
    caller_session session(std::move(socket), state);
    co_await session.run();
}

} // namespace lacewing
