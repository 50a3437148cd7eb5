#include "gateway/endpoint_attempt.h"

#include "protocol/growing_body.h"
#include "transport/detached.h"
#include "transport/ip_address.h"
#include "transport/log.h"
#include "transport/monotonic_clock.h"
#include "transport/reset_on_close.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <limits>

namespace lacewing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

using answer_parser = http::response_parser<growing_body>;

// Buffer for the first read of an answer, kept by idle connections; most answers fit into it.
constexpr std::size_t initial_read_bytes = std::size_t{4} * 1024;
constexpr std::size_t max_read_bytes = std::size_t{16} * 1024;
constexpr std::uint32_t max_answer_head_bytes = 64 * 1024;
// Bytes that the parser keeps waiting for the end of a line: a chunk size with its extension, or trailers.
constexpr std::size_t max_unparsed_bytes = std::size_t{64} * 1024;
// Bytes before the head of the own answer: interim answers, and late answers to earlier requests, of which
// one may be long.
constexpr std::size_t max_skipped_bytes = std::size_t{1024} * 1024;
// Endpoints that announce no idle timeout keep idle connections for at least this long.
constexpr time_ms default_idle_limit{4000};
// Subtracted from an announced idle timeout, so that no request is sent while the endpoint closes the
// connection.
constexpr time_ms idle_margin{1500};

auto completion(error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

// How long a connection may stay in the pool: the endpoint's "Keep-Alive: timeout=N" in seconds less the
// margin, or the default without such a header.
time_ms announced_idle_limit(const http::fields& fields) {
    const auto text = fields[http::field::keep_alive];
    const auto position = text.find("timeout=");
    if (position == std::string_view::npos) return default_idle_limit;
    int seconds = 0;
    const auto* begin = text.data() + position + 8;
    if (std::from_chars(begin, text.data() + text.size(), seconds).ec != std::errc{})
        return default_idle_limit;
    return std::max(time_ms{0}, time_ms{std::int64_t{seconds} * 1000} - idle_margin);
}

// Length that the answer's head declares. A separate function, because g++ 12 evaluates both branches of a
// conditional expression within a co_await expression.
std::optional<std::uint64_t> declared_length(const answer_parser& parser) {
    const auto length = parser.content_length();
    if (!length) return std::nullopt;
    return *length;
}

// How a read that brought no bytes ended the answer. The attempt closes the connection when its time is over.
answer_end end_of(error_code failure) {
    if (failure == asio::error::eof) return answer_end::closed;
    return failure == asio::error::operation_aborted ? answer_end::timed_out : answer_end::reset;
}

// Whether an answer names the request that it belongs to.
bool has_attempt_id(const http::fields& fields, const caller_dialect& dialect, std::string_view attempt_id) {
    return !attempt_id.empty() && fields[dialect.attempt_id] == attempt_id;
}

// Whether the endpoint states that it did not run the request. An answer that names none may have been
// written before the request was read.
bool states_not_run(const endpoint_answer& answer, const caller_dialect& dialect,
                    std::string_view attempt_id) {
    if (!has_attempt_id(answer.fields, dialect, attempt_id)) return false;
    return answer.fields.count(dialect.not_run) > 0 || answer.status == 421;
}

} // namespace

bool endpoint_answer::unproven_refusal() const {
    // The statuses that tell a caller that its request was not run and may be sent again.
    constexpr std::array<unsigned, 4> refusals{408, 421, 429, 503};
    return !not_run && std::find(refusals.begin(), refusals.end(), status) != refusals.end();
}

/// State of writing a request to the endpoint; shared with the writing coroutine, which may outlive the
/// attempt.
struct endpoint_attempt::request_write {
    std::shared_ptr<endpoint_connection> connection;
    attempt_message message;
    bool done = false;
    bool any_sent = false;
    bool failed = false;
};

void endpoint_attempt::abort() {
    aborted_ = true;
    if (connection_ == nullptr) return;
    error_code ignored;
    connection_->stream.socket().close(ignored);
}

void endpoint_attempt::expire() {
    expired_ = true;
    abort();
}

asio::awaitable<bool> endpoint_attempt::connect(std::string address, std::string attempt_id) {
    started_ = monotonic_now();
    // Without an id, an answer on a connection that was in use before could be a late one.
    if (!attempt_id.empty()) connection_ = pool_.take_idle(address, started_, attempt_id);
    if (connection_ != nullptr) co_return true;
    connection_ = pool_.create(address);
    auto& socket = connection_->stream.socket();
    bool expired = false;
    error_code failure;
    {
        const scoped_deadline limit(deadlines_, started_ + connect_timeout, [&] {
            expired = true;
            error_code ignored;
            socket.close(ignored);
        });
        co_await socket.async_connect(parse_socket_address(address), completion(failure));
    }
    if (failure || expired || aborted_) co_return false;
    socket.set_option(asio::ip::tcp::no_delay(true), failure);
    set_reset_on_close(socket);
    connect_duration_ = monotonic_now() - started_;
    co_return true;
}

// Starts to write the request while the answer is being read: an endpoint may answer before the body ends.
void endpoint_attempt::start_request_write(attempt_message& message) {
    request_write_ = std::make_shared<request_write>();
    request_write_->connection = connection_;
    request_write_->message = std::move(message);
    asio::co_spawn(connection_->stream.get_executor(), write_request(request_write_),
                   [state = request_write_](const std::exception_ptr& problem) {
                       if (problem) fail_write(*state, problem);
                   });
}

// Ends a request that cannot be written further. Without its connection, the answer is not waited for.
void endpoint_attempt::fail_write(request_write& state, const std::exception_ptr& problem) {
    log(log_level::error, "request_write_failed",
        {{"id", state.message.attempt_id}, {"reason", describe(problem)}});
    state.failed = true;
    error_code ignored;
    state.connection->stream.socket().close(ignored);
}

asio::awaitable<void> endpoint_attempt::write_request(std::shared_ptr<request_write> state) {
    auto& socket = state->connection->stream.socket();
    error_code failure;
    std::array<asio::const_buffer, 2> first{asio::buffer(state->message.head),
                                            asio::buffer(*state->message.body)};
    const std::size_t sent = co_await asio::async_write(socket, first, completion(failure));
    state->any_sent = sent > 0;
    while (!failure && state->message.remaining_body) {
        auto piece = co_await state->message.remaining_body();
        if (!piece) {
            // The caller's body ended early. Closing keeps the endpoint from taking the part for the whole
            // body.
            socket.close(failure);
            state->failed = true;
            break;
        }
        const bool last = piece->empty();
        std::string framed = std::move(*piece);
        if (state->message.chunk_remaining_body) {
            framed = last ? "0\r\n\r\n" : fmt::format("{:x}\r\n{}\r\n", framed.size(), framed);
        }
        if (!framed.empty()) {
            co_await asio::async_write(socket, asio::buffer(framed), completion(failure));
        }
        if (last) break;
    }
    state->done = !failure && !state->failed;
    state->failed = state->failed || failure;
}

request_progress endpoint_attempt::progress() const {
    return request_write_->done ? request_progress::written : request_progress::unfinished;
}

asio::awaitable<bool> endpoint_attempt::read_more(error_code& failure) {
    auto& buffer = connection_->buffer;
    const auto wanted = last_read_full_ ? max_read_bytes : initial_read_bytes;
    const auto count =
        co_await connection_->stream.socket().async_read_some(buffer.prepare(wanted), completion(failure));
    last_read_full_ = count == wanted;
    any_received_ = any_received_ || count > 0;
    buffer.commit(count);
    co_return !failure && count > 0;
}

// Returns the connection to the pool if it is reusable, the request is fully written and no further bytes
// have arrived, so that the next answer can only belong to the next request.
void endpoint_attempt::return_to_pool(const http::fields& fields) {
    if (!reusable_ || !request_write_->done || connection_->buffer.size() != 0) return;
    connection_->idle_limit = announced_idle_limit(fields);
    pool_.put_idle(connection_, monotonic_now());
}

asio::awaitable<void> endpoint_attempt::read_answer(const answer_sink& sink, endpoint_result& result) {
    auto& buffer = connection_->buffer;
    const auto& message = request_write_->message;
    std::size_t skipped_bytes = 0;
    for (;;) {
        answer_parser parser;
        parser.header_limit(max_answer_head_bytes);
        // boost::none would mean no limit, but this version of Beast then rejects a Content-Length whose body
        // does not arrive with the head.
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        parser.eager(true);
        if (message.is_head_request) parser.skip(true);
        error_code failure;
        bool id_matches = false;
        bool head_checked = false;
        bool interim = false;
        while (!parser.is_done()) {
            failure = {};
            const bool own_answer = head_checked && id_matches && !interim;
            std::size_t parsed_bytes = 0;
            if (buffer.size() > 0) parsed_bytes = parser.put(buffer.data(), failure);
            buffer.consume(parsed_bytes);
            if (!own_answer) skipped_bytes += parsed_bytes;
            if (failure && failure != http::error::need_more) {
                result.reason = "malformed answer: " + failure.message();
                co_return;
            }
            if (skipped_bytes > max_skipped_bytes || (failure && buffer.size() > max_unparsed_bytes)) {
                result.reason = "too many bytes that belong to no answer";
                co_return;
            }
            if (parser.is_header_done() && !head_checked) {
                head_checked = true;
                const auto& head = parser.get();
                const auto kind = kind_of_status(head.result_int());
                if (kind == status_kind::invalid) {
                    result.reason = fmt::format("{} is not the status of an answer", head.result_int());
                    co_return;
                }
                interim = kind == status_kind::interim;
                const auto echoed = head[dialect_.attempt_id];
                // An answer with another id belongs to an earlier request on this connection. Only an error
                // answer may lack the id, and only on a new connection can it not be a late one.
                const bool error_without_id = echoed.empty() && head.result_int() >= 400;
                if (error_without_id && !connect_duration_) {
                    result.reason = "an error without an attempt id on a connection that was in use before";
                    co_return;
                }
                id_matches = error_without_id || echoed == message.attempt_id;
            }
            buffered_.set(parser.get().body().capacity());
            if (head_checked && id_matches && !interim && !memory_.may_buffer(parser.get().body().size()) &&
                !result.streamed) {
                endpoint_answer answer;
                answer.status = parser.get().result_int();
                answer.fields = parser.get().base();
                answer.not_run = states_not_run(answer, dialect_, message.attempt_id);
                if (answer.unproven_refusal()) {
                    result.reason = fmt::format("a long answer {} that does not say not run", answer.status);
                    co_return;
                }
                // Whether the caller may be told so depends on the other sends as well.
                if (answer.not_run) {
                    result.outcome = attempt_end::not_run;
                    result.names_request = true;
                    result.answer = std::move(answer);
                    co_return;
                }
                const auto length = declared_length(parser);
                result.streamed = true;
                if (!co_await sink.begin(answer, length)) {
                    result.outcome = attempt_end::abandoned;
                    co_return;
                }
            }
            if (result.streamed && !parser.get().body().empty()) {
                if (!co_await sink.write(parser.get().body())) {
                    result.outcome = attempt_end::abandoned;
                    co_return;
                }
                result.streamed_bytes += parser.get().body().size();
                // What was buffered before the answer was streamed is given back.
                parser.get().body() = std::string();
            }
            if (parser.is_done()) break;
            if (buffer.size() > 0 && !failure) continue;
            if (co_await read_more(failure)) continue;
            if (parser.is_header_done() &&
                is_complete_answer(delimiter_of(parser), end_of(failure), progress())) {
                reusable_ = false;
                failure = {};
                parser.put_eof(failure);
                if (!failure) break;
            }
            result.reason = fmt::format("the connection ended {}: {}",
                                        parser.is_header_done() ? "within the answer" : "before an answer",
                                        failure ? failure.message() : "closed");
            co_return;
        }
        if (interim) continue;
        if (!id_matches) {
            reusable_ = false;
            continue;
        }
        reusable_ = reusable_ && parser.get().keep_alive();
        endpoint_answer answer;
        answer.status = parser.get().result_int();
        answer.fields = std::move(parser.get().base());
        answer.body = std::move(parser.get().body());
        answer.not_run = states_not_run(answer, dialect_, message.attempt_id);
        result.names_request = has_attempt_id(answer.fields, dialect_, message.attempt_id);
        reusable_ = reusable_ && result.names_request;
        if (answer.not_run) connection_->record_refusal(message.attempt_id);
        return_to_pool(answer.fields);
        result.stream_complete = result.streamed;
        const bool failed = answer.status >= 500 || answer.unproven_refusal();
        result.outcome = answer.not_run ? attempt_end::not_run
                         : failed       ? attempt_end::failed
                                        : attempt_end::answered;
        result.answer = std::move(answer);
        co_return;
    }
}

asio::awaitable<endpoint_result> endpoint_attempt::run(std::string address, attempt_message message,
                                                       answer_sink sink) {
    endpoint_result result;
    try {
        if (co_await connect(address, message.attempt_id)) {
            start_request_write(message);
            co_await read_answer(sink, result);
        } else {
            result.outcome = aborted_ ? attempt_end::abandoned : attempt_end::unreachable;
            result.reason = fmt::format("no connection to {}", address);
        }
    } catch (const std::exception& problem) {
        // The parser throws for a field that it cannot store.
        result.outcome = attempt_end::broken;
        result.answer.reset();
        result.reason = fmt::format("the answer cannot be read: {}", problem.what());
    }
    result.unsent = request_write_ == nullptr;
    if (result.unsent) {
        connection_ = nullptr;
        co_return result;
    }
    result.new_connection = connect_duration_.has_value();
    if (aborted_) {
        result.outcome = attempt_end::abandoned;
        result.answer.reset();
    }
    if (expired_ && !connect_duration_ && !any_received_) pool_.drop_idle(address, started_);
    if (!request_write_->done || result.outcome == attempt_end::broken ||
        result.outcome == attempt_end::abandoned) {
        error_code ignored;
        connection_->stream.socket().close(ignored);
    }
    connection_ = nullptr;
    co_return result;
}

} // namespace lacewing
