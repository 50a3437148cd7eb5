// Request path. The steps in order: parse the request, find the route, check the key and the plan, claim the
// request id (at-most-once routes), admit within rate and burst, choose an endpoint, forward the request,
// return the answer.

#include "daemon/request_path.h"

#include "coordination/send_ledger.h"
#include "daemon/lookup_answer.h"
#include "protocol/answer_end.h"
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

// Size of the buffer for body data. A request body or an answer up to this size is buffered whole, so the
// request can be sent to a second endpoint, and a broken answer becomes an error answer instead of a cut
// connection.
constexpr std::size_t body_chunk_bytes = std::size_t{64} * 1024;
// Memory for the first bytes of a body; more is added as they arrive.
constexpr std::size_t min_chunk_bytes = std::size_t{4} * 1024;
// Memory of a connection beside its buffers and bodies: coroutine frames, parser and socket.
constexpr std::size_t connection_bytes = std::size_t{4} * 1024;
// A transfer without progress for this time is aborted. Long, because the phones of fitters in the field lose
// the network for some seconds at a time.
constexpr std::chrono::milliseconds transfer_idle_timeout{30'000};
// An idle caller connection is closed after this time.
constexpr std::chrono::milliseconds keep_alive_timeout{60'000};
// Shortens the idle timeout of a streamed answer: it is at most the time from the start of the streaming
// until this long after the request.
constexpr time_ms max_answer_duration{600'000};
constexpr std::int64_t default_deadline_ms = 5'000;
constexpr std::int64_t max_deadline_ms = 60'000;
constexpr std::uint32_t max_answer_header_bytes = 64 * 1024;
// After a refusal in the middle of an upload, up to this much more of the upload is read and discarded.
// Closing the connection at once would reset it before the caller has read the answer.
constexpr std::chrono::milliseconds discard_timeout{1'000};
constexpr std::size_t max_discarded_bytes = std::size_t{1024} * 1024;

using caller_parser = http::request_parser<http::buffer_body>;
using answer_parser = http::response_parser<http::buffer_body>;

std::chrono::milliseconds remaining(time_ms deadline) {
    return std::chrono::milliseconds(std::max<std::int64_t>(0, (deadline - monotonic_now()).count));
}

// Cancels the reads of a stream after a time limit. The time limit of tcp_stream itself would close the
// connection, and no error answer could be written.
class read_timeout {
public:
    read_timeout(beast::tcp_stream& stream, std::chrono::milliseconds limit)
        : timer_(stream.get_executor(), limit), flags_(std::make_shared<shared_flags>()) {
        stream.expires_never();
        timer_.async_wait([&stream, flags = flags_](boost::system::error_code failure) {
            if (failure || flags->stopped) return;
            flags->expired = true;
            stream.cancel();
        });
    }
    // If the timer has just expired, its handler is already queued and must not cancel later operations.
    ~read_timeout() { flags_->stopped = true; }
    read_timeout(const read_timeout&) = delete;
    read_timeout& operator=(const read_timeout&) = delete;
    read_timeout(read_timeout&&) = delete;
    read_timeout& operator=(read_timeout&&) = delete;
    [[nodiscard]] bool expired() const { return flags_->expired; }

private:
    struct shared_flags {
        bool stopped = false;
        bool expired = false;
    };
    asio::steady_timer timer_;
    std::shared_ptr<shared_flags> flags_;
};

// State of one request of a caller while it is served.
struct exchange {
    explicit exchange(std::uint64_t body_limit) { parser.body_limit(body_limit); }

    caller_parser parser;
    time_ms received;
    // Time by which an endpoint must be chosen and, unless the body is streamed, the answer must start.
    time_ms deadline;
    // Length of the deadline that the caller asked for. After a streamed upload the answer gets this time
    // anew.
    std::int64_t deadline_ms = default_deadline_ms;
    request_identity identity;
    std::string key;
    // Path and query that the endpoint receives.
    std::string endpoint_target;
    std::string request_id;
    // Empty unless the route is at-most-once.
    request_id_claim id_claim;
    // Start of the body; the whole body unless `streamed`.
    std::vector<char> first_chunk;
    // The body is larger than first_chunk, so it is forwarded as it arrives and cannot be sent again.
    bool streamed = false;
    // Bytes of an endpoint's answer may have reached the caller, so no error answer can follow.
    bool answer_started = false;
    // Value of attempt_header in the last attempt.
    std::string attempt_tag;
    // Decides whether an error answer may say "not run".
    send_ledger sends;
};

// Why one attempt at an endpoint gave no answer to forward.
struct attempt_failure {
    error_kind kind;
    std::string detail;
    // The endpoint states that it did not run the request.
    bool stated_not_run = false;
};

// Replaces a failure that promises "not run" while a send may have run the request.
void withhold_unproven_promise(const exchange& current, attempt_failure& failure) {
    const auto& row = error_answer_for(failure.kind);
    if (!current.sends.may_have_run() || row.effect != request_effect::not_run) return;
    log(log_level::error, "promise_withheld",
        {{"id", current.request_id}, {"kind", row.name}, {"detail", failure.detail}});
    failure.kind = error_kind::endpoint_failed;
}

// Serves one caller connection.
class caller_session {
public:
    caller_session(asio::ip::tcp::socket socket, serve_state& state)
        : stream_(std::move(socket)), state_(state), registration_(state, stream_),
          holding_(state.memory(), [this] { reset(); }) {}

    asio::awaitable<void> run();

private:
    asio::awaitable<bool> serve_request();
    asio::awaitable<bool> read_header(exchange& current);
    asio::awaitable<void> answer_lookup(exchange& current);
    asio::awaitable<void> proxy(exchange& current);
    void authorise(exchange& current);
    asio::awaitable<void> receive_first_chunk(exchange& current);
    asio::awaitable<void> forward_with_retries(exchange& current);
    asio::awaitable<endpoint_lease>
    acquire_endpoint_or_rethrow(exchange& current, const std::vector<std::uint32_t>& tried,
                                const std::optional<attempt_failure>& reported);
    asio::awaitable<std::optional<attempt_failure>> forward(exchange& current, endpoint_lease& lease);
    asio::awaitable<std::shared_ptr<endpoint_connection>> connect_endpoint(exchange& current,
                                                                           endpoint_lease& lease);
    asio::awaitable<std::optional<attempt_failure>> send_request(exchange& current,
                                                                 endpoint_connection& endpoint);
    asio::awaitable<std::optional<attempt_failure>> await_answer(exchange& current, endpoint_lease& lease,
                                                                 endpoint_connection& from,
                                                                 std::optional<answer_parser>& answer);
    asio::awaitable<void> write_buffered_answer(http::response<http::buffer_body>& out);
    asio::awaitable<std::optional<attempt_failure>> forward_answer(exchange& current, endpoint_lease& lease,
                                                                   std::shared_ptr<endpoint_connection> from);
    asio::awaitable<void> stream_answer(exchange& current, endpoint_connection& from, answer_parser& answer,
                                        http::response<http::buffer_body>& out, std::span<char> chunk);
    asio::awaitable<void> write_error(exchange& current, error_kind kind, std::string_view detail);
    asio::awaitable<void> write_json(exchange& current, int status, std::string body,
                                     std::string_view effect);
    asio::awaitable<void> discard_upload();
    void reset();
    bool hold(std::size_t body_bytes, memory_use use);
    void hold_answer(std::size_t bytes);
    [[nodiscard]] bool keep_alive(const exchange& current) const;

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_{max_connection_buffer_bytes};
    serve_state& state_;
    connection_registration registration_;
    caller_memory::holding holding_;
};

// Closes the connection such that the caller takes what it has of an answer for incomplete.
void caller_session::reset() {
    boost::system::error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream_.close();
}

// Records the memory of the connection after progress. False when it must not hold that much.
bool caller_session::hold(std::size_t body_bytes, memory_use use) {
    return holding_.set(connection_bytes + buffer_.capacity() + body_bytes, use, monotonic_now());
}

// Records the memory of an answer that waits for the caller.
void caller_session::hold_answer(std::size_t bytes) {
    // The bytes are in memory already, so only a closed connection is given up.
    if (hold(bytes, memory_use::unread_answer) || !holding_.closed()) return;
    reset();
    throw boost::system::system_error(asio::error::connection_reset);
}

asio::awaitable<void> caller_session::run() {
    stream_.socket().set_option(asio::ip::tcp::no_delay(true));
    while (co_await serve_request()) {
    }
    boost::system::error_code ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

// Serves the next request of the connection; returns false when the connection must end.
asio::awaitable<bool> caller_session::serve_request() {
    exchange current(static_cast<std::uint64_t>(state_.limits().body_bytes));
    current.parser.header_limit(static_cast<std::uint32_t>(state_.limits().header_bytes));
    if (!co_await read_header(current)) co_return false;
    registration_.set_busy(true);
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
        // The caller's connection failed, so no answer can be sent.
        registration_.set_busy(false);
        co_return false;
    }
    if (failure) {
        withhold_unproven_promise(current, *failure);
        state_.record(current.identity, failure->kind, monotonic_now() - current.received);
        if (current.answer_started) co_return false;
        co_await write_error(current, failure->kind, failure->detail);
    }
    registration_.set_busy(false);
    hold(0, memory_use::idle);
    co_return keep_alive(current);
}

// Reads a request header and checks it. Answers a malformed, oversized or slow one with an error and returns
// false.
asio::awaitable<bool> caller_session::read_header(exchange& current) {
    boost::system::error_code failure;
    if (buffer_.size() == 0) {
        // A kept-alive connection may be idle for longer than a header may take.
        stream_.expires_after(registration_.awaits_first_request()
                                  ? std::chrono::milliseconds(state_.limits().header_timeout.count)
                                  : keep_alive_timeout);
        const auto read = co_await stream_.async_read_some(
            buffer_.prepare(4096), asio::redirect_error(asio::use_awaitable, failure));
        if (failure) co_return false;
        buffer_.commit(read);
    }
    hold(0, memory_use::unfinished_request);
    bool expired = false;
    {
        const read_timeout limit(stream_, std::chrono::milliseconds(state_.limits().header_timeout.count));
        co_await http::async_read_header(stream_, buffer_, current.parser,
                                         asio::redirect_error(asio::use_awaitable, failure));
        expired = limit.expired();
    }
    if (holding_.closed()) co_return false;
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
    if (failure == http::error::header_limit || failure == http::error::buffer_overflow)
        kind = error_kind::header_too_large;
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
    auto body = make_lookup_body(state_.current_entry_view().get(), target, peer.to_string());
    state_.metrics().count_lookup();
    co_await write_json(current, 200, std::move(body), "ran");
}

asio::awaitable<void> caller_session::proxy(exchange& current) {
    auto& request = current.parser.get();
    const auto presented_id = request.find("x-request-id");
    if (presented_id != request.end()) current.request_id = std::string(presented_id->value());
    std::optional<attempt_failure> stale_keys;
    try {
        authorise(current);
    } catch (const error& problem) {
        if (problem.kind() != error_kind::keys_stale || !current.identity.route->once) throw;
        stale_keys = attempt_failure{problem.kind(), problem.what()};
    }
    if (stale_keys) {
        // The request id may belong to an earlier request that ran. Without the claim, the answer could say
        // not_run about an id that did run.
        current.id_claim = co_await state_.claim_request_id(current.identity, current.request_id);
        current.id_claim.finish(request_effect::not_run);
        throw error(stale_keys->kind, stale_keys->detail);
    }
    current.deadline_ms = integer_header(request, "x-deadline-ms", default_deadline_ms, 1, max_deadline_ms);
    current.deadline = current.received + time_ms{current.deadline_ms};

    // The claim precedes admission: the refusal of a repeated id must not say not_run while the first request
    // with that id runs.
    if (current.identity.route->once) {
        current.id_claim = co_await state_.claim_request_id(current.identity, current.request_id);
    }
    try {
        state_.refuse_new_when_stopping();
        state_.refuse_unless_in_time(current.deadline);
        co_await state_.admit(current.identity, current.deadline);
        co_await receive_first_chunk(current);
        // The duration of a streamed upload has no bound.
        if (current.streamed) state_.refuse_unless_in_time(std::nullopt);
        co_await forward_with_retries(current);
        current.id_claim.finish(request_effect::ran);
    } catch (const error& problem) {
        current.id_claim.finish(error_answer_for(problem.kind()).effect);
        throw;
    }
}

// Finds the route and checks the key and the plan; open routes need no key.
void caller_session::authorise(exchange& current) {
    const auto& request = current.parser.get();
    const std::string_view target = request.target();
    const auto parsed = parse_proxied_target(target);
    current.endpoint_target = parsed.rest;
    current.identity = state_.find_route(parsed.route);
    current.key = presented_key(request).value_or("");
    state_.reject_key_in_target(target, current.key);
    if (current.identity.route->open) return;
    state_.authenticate(current.identity, current.key);
    const auto caller_class = request.find("x-caller-class");
    if (caller_class != request.end())
        serve_state::set_caller_class(current.identity, std::string_view(caller_class->value()));
}

// Receives the whole body, or its first chunk, before an endpoint is chosen, so that a slow caller does not
// occupy a slot meanwhile.
asio::awaitable<void> caller_session::receive_first_chunk(exchange& current) {
    if (current.parser.is_done()) {
        hold(0, memory_use::in_service);
        co_return;
    }
    if (beast::iequals(current.parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> proceed{http::status::continue_, 11};
        co_await http::async_write(stream_, proceed, asio::use_awaitable);
    }
    std::size_t size = 0;
    boost::system::error_code failure;
    try {
        while (!current.parser.is_done() && size < body_chunk_bytes) {
            // The memory follows the bytes that have arrived; the length is only announced.
            const auto grown = std::clamp(2 * size, min_chunk_bytes, body_chunk_bytes);
            if (!hold(grown, memory_use::unfinished_request)) {
                current.first_chunk = {};
                throw error(error_kind::no_capacity, "the VM is short of memory");
            }
            current.first_chunk.resize(grown);
            size +=
                co_await read_body_chunk(stream_, buffer_, current.parser,
                                         std::span(current.first_chunk).subspan(size), transfer_idle_timeout);
        }
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
    current.first_chunk.resize(size);
    current.streamed = !current.parser.is_done();
    hold(size, current.streamed ? memory_use::unfinished_request : memory_use::in_service);
}

// Chooses an endpoint. If there is none for a further attempt, throws the failure of the earlier attempts.
asio::awaitable<endpoint_lease>
caller_session::acquire_endpoint_or_rethrow(exchange& current, const std::vector<std::uint32_t>& tried,
                                            const std::optional<attempt_failure>& reported) {
    std::optional<error> unavailable;
    try {
        state_.refuse_unless_in_time(current.deadline);
        co_return co_await state_.acquire_endpoint(current.identity, tried, current.deadline);
    } catch (const error& problem) {
        unavailable = problem;
    }
    if (reported) throw error(reported->kind, reported->detail);
    throw *unavailable;
}

// Tries endpoints until one answers. Throws the failure when the rules of its error kind, the retry budget or
// the deadline permit no further attempt.
asio::awaitable<void> caller_session::forward_with_retries(exchange& current) {
    std::vector<std::uint32_t> tried;
    std::optional<attempt_failure> reported;
    state_.count_first_attempt();
    while (true) {
        auto lease = co_await acquire_endpoint_or_rethrow(current, tried, reported);
        if (has_disconnected(stream_)) {
            lease.finish(attempt_outcome::neutral);
            if (!reported) current.id_claim.finish(request_effect::not_run);
            throw boost::system::system_error(asio::error::connection_reset);
        }
        const auto failure = co_await forward(current, lease);
        if (!failure)
            co_return state_.record(current.identity, std::nullopt, monotonic_now() - current.received);
        const bool not_run = error_answer_for(failure->kind).effect == request_effect::not_run;
        if (failure->stated_not_run) current.sends.on_stated_not_run();
        // An earlier attempt that may have run is what the caller must hear of, even if a later one did not
        // run.
        if (!not_run || !reported) reported = failure;
        if (not_run) current.id_claim.attempt_not_run();
        tried.push_back(lease.endpoint());
        failed_attempt attempt{failure->kind, static_cast<std::uint32_t>(tried.size()),
                               current.deadline - monotonic_now(),
                               !current.streamed && !current.answer_started, not_run};
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
        connection = co_await connect_endpoint(current, lease);
    } catch (const error& problem) {
        failure = attempt_failure{problem.kind(), problem.what()};
    }
    if (failure) {
        lease.finish(attempt_outcome::failure);
        co_return failure;
    }
    lease.close_on_expiry(connection->stream);
    current.id_claim.before_send();
    current.sends.on_send();
    failure = co_await send_request(current, *connection);
    if (failure) {
        lease.finish(failure->kind == error_kind::upload_aborted ? attempt_outcome::neutral
                                                                 : attempt_outcome::failure);
        co_return failure;
    }
    co_return co_await forward_answer(current, lease, std::move(connection));
}

// Returns an idle or a new connection to the endpoint. At-most-once requests always get a new one: the
// endpoint may close an idle connection just as it is reused, which would leave the outcome unknown.
asio::awaitable<std::shared_ptr<endpoint_connection>>
caller_session::connect_endpoint(exchange& current, endpoint_lease& lease) {
    constexpr time_ms connect_timeout{1'000};
    if (!current.identity.route->once) {
        auto idle = state_.pool().take_idle(lease.address(), monotonic_now());
        if (idle) co_return idle;
    }
    const auto time_left = time_ms{remaining(current.deadline).count()};
    auto connection =
        co_await state_.pool().connect(std::string(lease.address()), std::min(time_left, connect_timeout));
    connection->closed = state_.count_connection(lease.endpoint());
    co_return connection;
}

// Sends the header and the body. If writing to the endpoint fails, no failure is reported yet: the endpoint
// may have answered before it read the whole request.
asio::awaitable<std::optional<attempt_failure>> caller_session::send_request(exchange& current,
                                                                             endpoint_connection& endpoint) {
    const auto& in = current.parser.get();
    http::request<http::buffer_body> out{in.method(), current.endpoint_target, 11};
    copy_request_headers(in, current.key, out);
    // copy_request_headers leaves out the presented key; a key may also stand in a header of any other name.
    for (auto field = out.begin(); field != out.end();) {
        const auto next = std::next(field);
        if (state_.contains_key(std::string_view(field->value()))) out.erase(field);
        field = next;
    }
    out.set(http::field::host, endpoint.address);
    out.set("X-Deadline-Ms", std::to_string(current.deadline_ms));
    current.attempt_tag = state_.next_attempt_tag();
    out.set(attempt_header, current.attempt_tag);
    if (current.identity.account) out.set("X-Account", current.identity.account->name.value);
    const auto length = current.parser.content_length();
    if (length) {
        out.content_length(*length);
    } else if (current.parser.chunked()) {
        out.chunked(true);
    }
    out.body().data = current.first_chunk.empty() ? nullptr : current.first_chunk.data();
    out.body().size = current.first_chunk.size();
    out.body().more = current.streamed;

    http::request_serializer<http::buffer_body> serializer{out};
    boost::system::error_code failure;
    endpoint.stream.expires_after(transfer_idle_timeout);
    co_await http::async_write(endpoint.stream, serializer,
                               asio::redirect_error(asio::use_awaitable, failure));
    if (failure && failure != http::error::need_buffer) co_return std::nullopt;
    if (!current.streamed) co_return std::nullopt;

    // The first chunk has been written and cannot be sent again, so its memory carries the others.
    const auto result =
        co_await relay_body<true>(stream_, buffer_, current.parser, endpoint.stream, serializer, out,
                                  current.first_chunk, transfer_idle_timeout, [this, &current] {
                                      return hold(current.first_chunk.size(), memory_use::unfinished_request);
                                  });
    if (result == relay_result::complete) hold(current.first_chunk.size(), memory_use::in_service);
    if (result != relay_result::source_failed) co_return std::nullopt;
    co_return attempt_failure{error_kind::upload_aborted, "the upload ended early"};
}

// Reads the header of the answer and skips informational (1xx) ones.
asio::awaitable<boost::system::error_code>
read_answer_header(endpoint_connection& from, std::optional<answer_parser>& answer, bool head_request) {
    for (int interim_answers = 0; interim_answers <= max_interim_answers; ++interim_answers) {
        boost::system::error_code failure;
        answer.emplace();
        answer->header_limit(max_answer_header_bytes);
        // boost::none would mean no limit, but this version of Beast then rejects every Content-Length.
        answer->body_limit(std::numeric_limits<std::uint64_t>::max());
        answer->skip(head_request);
        co_await http::async_read_header(from.stream, from.buffer, *answer,
                                         asio::redirect_error(asio::use_awaitable, failure));
        if (failure) co_return failure;
        const auto kind = kind_of_status(answer->get().result_int());
        if (kind == status_kind::invalid) co_return http::error::bad_status;
        if (kind == status_kind::final) co_return failure;
    }
    co_return http::error::bad_status;
}

// Reads the start of the answer's body into the chunk; nothing when the connection failed.
asio::awaitable<std::optional<std::size_t>> read_first_chunk(endpoint_connection& from, answer_parser& answer,
                                                             std::span<char> chunk,
                                                             std::chrono::milliseconds limit) {
    try {
        co_return co_await read_body_chunk(from.stream, from.buffer, answer, chunk, limit);
    } catch (const boost::system::system_error&) {
        co_return std::nullopt;
    }
}

// Whether an answer belongs to the attempt by the tag that the endpoint echoes. Without a tag, only the first
// answer on a connection cannot be that of an earlier request.
bool answers_attempt(const answer_parser& answer, const endpoint_connection& from, std::string_view tag) {
    const auto echoed = answer.get().find(attempt_header);
    if (echoed == answer.get().end()) return !from.used_before;
    return std::string_view(echoed->value()) == tag;
}

// Whether a connection may carry another request after this answer.
bool may_reuse(const answer_parser& answer) {
    return answer.get().keep_alive() && answer.get().count(attempt_header) > 0;
}

// Records the endpoint's load and checks by its header whether the answer may be forwarded. If not, finishes
// the lease and returns the failure.
std::optional<attempt_failure> check_answer_header(const answer_parser& answer,
                                                   const endpoint_connection& from, std::string_view tag,
                                                   endpoint_lease& lease) {
    const auto& head = answer.get();
    if (!answers_attempt(answer, from, tag)) {
        lease.finish(attempt_outcome::failure);
        return attempt_failure{error_kind::endpoint_failed, "the endpoint answered an earlier request"};
    }
    lease.report_load(head["X-Load"]);
    if (head.result() == http::status::service_unavailable && head["X-Not-Run"] == "1") {
        // A refusal that names no attempt may have been written before the request was read.
        if (head.count(attempt_header) == 0) {
            lease.finish(attempt_outcome::failure);
            return attempt_failure{error_kind::endpoint_failed, "a refusal that names no attempt"};
        }
        lease.finish(attempt_outcome::shed);
        return attempt_failure{error_kind::endpoint_refused, "the endpoint refused the request unexecuted",
                               true};
    }
    if (delimiter_of(answer) == answer_delimiter::connection_end) {
        // The caller gets the answer before its end is known to be orderly.
        lease.finish(attempt_outcome::failure);
        return attempt_failure{error_kind::answer_truncated, "the endpoint sent an answer without a length"};
    }
    return std::nullopt;
}

// Makes the header of the answer to the caller. `size` is the number of body bytes read so far.
http::response<http::buffer_body> make_caller_answer(const answer_parser& answer, bool head_request,
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
        // Answers of these statuses have no body and must not have a length.
    } else if (answer.is_done()) {
        out.content_length(size);
    } else {
        out.chunked(true);
    }
    return out;
}

// Waits for the header of the answer. If the caller disconnects, the wait ends and the endpoint's connection
// is closed, which cancels the request there.
asio::awaitable<std::optional<attempt_failure>>
caller_session::await_answer(exchange& current, endpoint_lease& lease, endpoint_connection& from,
                             std::optional<answer_parser>& answer) {
    disconnect_watch watch(stream_, from.stream);
    const bool head_request = current.parser.get().method() == http::verb::head;
    const auto failure = co_await read_answer_header(from, answer, head_request);
    watch.stop();
    if (watch.caller_disconnected()) {
        lease.finish(attempt_outcome::neutral);
        throw boost::system::system_error(asio::error::connection_reset);
    }
    if (!failure) co_return check_answer_header(*answer, from, current.attempt_tag, lease);
    lease.finish(attempt_outcome::failure);
    if (failure == beast::error::timeout) {
        co_return attempt_failure{error_kind::deadline_exceeded, "the endpoint did not answer in time"};
    }
    co_return attempt_failure{error_kind::endpoint_failed, failure.message()};
}

// Forwards the endpoint's answer to the caller. A failure before the first byte to the caller is returned and
// can still become an error answer.
asio::awaitable<std::optional<attempt_failure>>
caller_session::forward_answer(exchange& current, endpoint_lease& lease,
                               std::shared_ptr<endpoint_connection> from) {
    // The deadline limits the wait for the endpoint and not a streamed upload, whose duration depends on the
    // caller's network.
    const auto answer_by =
        current.streamed ? monotonic_now() + time_ms{current.deadline_ms} : current.deadline;
    from->stream.expires_after(remaining(answer_by));
    std::optional<answer_parser> answer;
    const auto failure = co_await await_answer(current, lease, *from, answer);
    if (failure) co_return failure;

    std::vector<char> chunk(
        std::clamp<std::size_t>(answer->content_length().value_or(body_chunk_bytes), 1, body_chunk_bytes));
    const auto size = co_await read_first_chunk(*from, *answer, chunk, remaining(answer_by));
    if (!size) {
        lease.finish(attempt_outcome::failure);
        co_return attempt_failure{error_kind::answer_truncated, "the answer of the endpoint broke off"};
    }
    auto out = make_caller_answer(*answer, current.parser.get().method() == http::verb::head, *size);
    out.keep_alive(keep_alive(current));
    out.body().data = *size == 0 ? nullptr : chunk.data();
    out.body().size = *size;
    out.body().more = !answer->is_done();
    const bool server_error = http::to_status_class(out.result()) == http::status_class::server_error;
    const auto outcome = server_error ? attempt_outcome::failure : attempt_outcome::success;
    current.answer_started = true;
    if (answer->is_done()) {
        // The whole answer is buffered, so the slot is released before a possibly slow caller receives it.
        lease.finish(outcome);
        if (may_reuse(*answer)) state_.pool().put_idle(std::move(from), monotonic_now());
        hold_answer(current.first_chunk.size() + chunk.size());
        co_await write_buffered_answer(out);
        co_return std::nullopt;
    }
    hold_answer(current.first_chunk.size() + chunk.size());
    co_await stream_answer(current, *from, *answer, out, chunk);
    lease.finish(outcome);
    if (may_reuse(*answer)) state_.pool().put_idle(std::move(from), monotonic_now());
    co_return std::nullopt;
}

asio::awaitable<void> caller_session::write_buffered_answer(http::response<http::buffer_body>& out) {
    http::response_serializer<http::buffer_body> serializer{out};
    stream_.expires_after(transfer_idle_timeout);
    co_await http::async_write(stream_, serializer, asio::use_awaitable);
}

// Forwards a long answer chunk by chunk. A failure in the middle closes the caller's connection; the caller
// recognises the incomplete answer by its length or by the missing last HTTP chunk.
asio::awaitable<void> caller_session::stream_answer(exchange& current, endpoint_connection& from,
                                                    answer_parser& answer,
                                                    http::response<http::buffer_body>& out,
                                                    std::span<char> chunk) {
    http::response_serializer<http::buffer_body> serializer{out};
    boost::system::error_code failure;
    stream_.expires_after(transfer_idle_timeout);
    co_await http::async_write(stream_, serializer, asio::redirect_error(asio::use_awaitable, failure));
    if (failure && failure != http::error::need_buffer) throw boost::system::system_error(failure);
    const auto limit = std::min<std::chrono::milliseconds>(transfer_idle_timeout,
                                                           remaining(current.received + max_answer_duration));
    const auto result = co_await relay_body<false>(
        from.stream, from.buffer, answer, stream_, serializer, out, chunk, limit, [this, &current, chunk] {
            return hold(current.first_chunk.size() + chunk.size(), memory_use::unread_answer);
        });
    if (result == relay_result::source_failed)
        throw error(error_kind::answer_truncated, "the answer broke off");
    if (result == relay_result::sink_failed) throw boost::system::system_error(asio::error::connection_reset);
}

bool caller_session::keep_alive(const exchange& current) const {
    return current.parser.is_done() && current.parser.get().keep_alive() && !state_.leaving();
}

asio::awaitable<void> caller_session::write_error(exchange& current, error_kind kind,
                                                  std::string_view detail) {
    const auto& answer = error_answer_for(kind);
    const bool upload_unfinished = !current.parser.is_done();
    boost::system::error_code failure;
    try {
        co_await write_json(current, answer.http_status, error_body(kind, detail), to_string(answer.effect));
    } catch (const boost::system::system_error& problem) {
        failure = problem.code();
    }
    if (!failure && upload_unfinished) {
        co_await discard_upload();
    }
}

asio::awaitable<void> caller_session::write_json(exchange& current, int status, std::string body,
                                                 std::string_view effect) {
    http::response<http::string_body> out{http::int_to_status(static_cast<unsigned>(status)), 11};
    out.set(http::field::content_type, "application/json");
    out.set("X-Lacewing-Effect", effect);
    out.body() = std::move(body);
    out.keep_alive(keep_alive(current));
    out.prepare_payload();
    stream_.expires_after(transfer_idle_timeout);
    co_await http::async_write(stream_, out, asio::use_awaitable);
}

// Reads and discards the rest of an upload for a while after a refusal, so that the caller can read the
// answer instead of getting a connection reset.
asio::awaitable<void> caller_session::discard_upload() {
    boost::system::error_code failure;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failure);
    std::array<char, 4096> discarded{};
    std::size_t total = 0;
    stream_.expires_after(discard_timeout);
    while (!failure && total < max_discarded_bytes) {
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
