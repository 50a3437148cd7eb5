#include "gateway/endpoint_attempt.h"

#include "transport/ip_address.h"
#include "transport/monotonic_clock.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace lacewing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

using answer_parser = http::response_parser<http::string_body>;

// Most answers fit into one read of this size, which an idle connection holds.
constexpr std::size_t first_read_bytes = std::size_t{4} * 1024;
constexpr std::size_t longest_read_bytes = std::size_t{16} * 1024;
constexpr std::uint32_t answer_head_bytes = 64 * 1024;
// An endpoint that announces no time for idle connections keeps them for at least this long.
constexpr time_ms unannounced_idle{4000};
// Subtracted from an announced idle time, so that both sides do not act at the same moment.
constexpr time_ms idle_margin{1500};

auto completion(error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

// Idle time that an endpoint announces in "Keep-Alive: timeout=N".
time_ms idle_limit_of(const http::fields& fields) {
    const auto text = fields[http::field::keep_alive];
    const auto at = text.find("timeout=");
    if (at == std::string_view::npos) return unannounced_idle;
    int seconds = 0;
    const auto* begin = text.data() + at + 8;
    if (std::from_chars(begin, text.data() + text.size(), seconds).ec != std::errc{}) return unannounced_idle;
    return std::max(time_ms{0}, time_ms{std::int64_t{seconds} * 1000} - idle_margin);
}

} // namespace

/// Bytes on their way to the endpoint; lives until the last write has ended.
struct endpoint_attempt::sending {
    std::shared_ptr<endpoint_connection> connection;
    attempt_message message;
    bool done = false;
    bool any = false;
    bool failed = false;
};

void endpoint_attempt::abort() {
    aborted_ = true;
    if (connection_ == nullptr) return;
    error_code ignored;
    connection_->stream.socket().close(ignored);
}

asio::awaitable<bool> endpoint_attempt::connect(std::string address) {
    connection_ = pool_.take_idle(address, monotonic_now());
    if (connection_ != nullptr) co_return true;
    const auto started = monotonic_now();
    connection_ = pool_.create(address);
    auto& socket = connection_->stream.socket();
    bool expired = false;
    error_code failure;
    {
        const scoped_deadline limit(times_, started + connect_timeout, [&] {
            expired = true;
            error_code ignored;
            socket.close(ignored);
        });
        co_await socket.async_connect(parse_socket_address(address), completion(failure));
    }
    if (failure || expired || aborted_) co_return false;
    socket.set_option(asio::ip::tcp::no_delay(true), failure);
    connect_duration_ = monotonic_now() - started;
    co_return true;
}

// Writes head and held body at once, and then the rest of a long body, while the answer is being read.
void endpoint_attempt::start_sending(attempt_message& message) {
    sending_ = std::make_shared<sending>();
    sending_->connection = connection_;
    sending_->message = std::move(message);
    asio::co_spawn(connection_->stream.get_executor(), send_rest(sending_), asio::detached);
}

asio::awaitable<void> endpoint_attempt::send_rest(std::shared_ptr<sending> state) {
    auto& socket = state->connection->stream.socket();
    error_code failure;
    std::array<asio::const_buffer, 2> first{asio::buffer(state->message.head),
                                            asio::buffer(*state->message.body)};
    const std::size_t sent = co_await asio::async_write(socket, first, completion(failure));
    state->any = sent > 0;
    while (!failure && state->message.rest) {
        auto piece = co_await state->message.rest();
        if (!piece) {
            // The caller's body broke off; the endpoint must not take the part for the whole.
            socket.close(failure);
            state->failed = true;
            break;
        }
        const bool last = piece->empty();
        std::string framed = std::move(*piece);
        if (state->message.chunked_rest) {
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

asio::awaitable<bool> endpoint_attempt::read_more(error_code& failure) {
    auto& buffer = connection_->buffer;
    const auto wanted = read_full_ ? longest_read_bytes : first_read_bytes;
    const auto count =
        co_await connection_->stream.socket().async_read_some(buffer.prepare(wanted), completion(failure));
    read_full_ = count == wanted;
    buffer.commit(count);
    co_return !failure && count > 0;
}

// Returns the connection to the pool when the next answer on it can only belong to the next request.
void endpoint_attempt::keep(const http::fields& fields) {
    if (!reusable_ || !sending_->done || connection_->buffer.size() != 0) return;
    connection_->idle_limit = idle_limit_of(fields);
    pool_.put_idle(connection_, monotonic_now());
}

asio::awaitable<endpoint_result> endpoint_attempt::read_answer(const answer_sink& sink) {
    endpoint_result result;
    auto& buffer = connection_->buffer;
    const auto& message = sending_->message;
    for (;;) {
        answer_parser parser;
        parser.header_limit(answer_head_bytes);
        parser.body_limit(boost::none);
        parser.eager(true);
        if (message.head_method) parser.skip(true);
        error_code failure;
        bool own = false;
        bool judged = false;
        bool interim = false;
        while (!parser.is_done()) {
            failure = {};
            if (buffer.size() > 0) buffer.consume(parser.put(buffer.data(), failure));
            if (failure && failure != http::error::need_more) {
                result.reason = "malformed answer: " + failure.message();
                co_return result;
            }
            if (parser.is_header_done() && !judged) {
                judged = true;
                const auto& head = parser.get();
                interim = head.result_int() < 200;
                const auto echoed = head[names_.attempt_id];
                // An answer with another id was meant for an earlier request. Only an answer without a claim
                // of success may lack the id.
                own = echoed.empty() ? head.result_int() >= 400 : echoed == message.attempt_id;
            }
            if (judged && own && !interim && parser.get().body().size() > held_answer_bytes &&
                !result.streamed) {
                endpoint_answer answer;
                answer.status = parser.get().result_int();
                answer.fields = parser.get().base();
                const auto length = parser.content_length();
                result.streamed = true;
                if (!co_await sink.begin(answer,
                                         length ? std::optional<std::uint64_t>(*length) : std::nullopt)) {
                    result.how = attempt_end::abandoned;
                    co_return result;
                }
            }
            if (result.streamed && !parser.get().body().empty()) {
                if (!co_await sink.write(parser.get().body())) {
                    result.how = attempt_end::abandoned;
                    co_return result;
                }
                parser.get().body().clear();
            }
            if (parser.is_done()) break;
            if (buffer.size() > 0 && !failure) continue;
            if (co_await read_more(failure)) continue;
            if (failure == asio::error::eof && parser.is_header_done() && parser.need_eof()) {
                reusable_ = false;
                failure = {};
                parser.put_eof(failure);
                if (!failure) break;
            }
            result.reason = fmt::format("the connection ended {}: {}",
                                        parser.is_header_done() ? "within the answer" : "before an answer",
                                        failure ? failure.message() : "closed");
            co_return result;
        }
        if (interim) continue;
        if (!own) {
            reusable_ = false;
            continue;
        }
        reusable_ = reusable_ && parser.get().keep_alive();
        endpoint_answer answer;
        answer.status = parser.get().result_int();
        answer.fields = std::move(parser.get().base());
        answer.body = std::move(parser.get().body());
        answer.not_run = answer.fields.count(names_.not_run) > 0 || answer.status == 421;
        keep(answer.fields);
        result.stream_complete = result.streamed;
        result.how = answer.not_run         ? attempt_end::not_run
                     : answer.status >= 500 ? attempt_end::failed
                                            : attempt_end::answered;
        result.answer = std::move(answer);
        co_return result;
    }
}

asio::awaitable<endpoint_result> endpoint_attempt::run(std::string address, attempt_message message,
                                                       answer_sink sink) {
    endpoint_result result;
    if (!co_await connect(address)) {
        result.how = aborted_ ? attempt_end::abandoned : attempt_end::unreachable;
        result.unsent = true;
        result.reason = fmt::format("no connection to {}", address);
        co_return result;
    }
    start_sending(message);
    result = co_await read_answer(sink);
    if (aborted_) {
        result.how = attempt_end::abandoned;
        result.answer.reset();
    }
    if (!sending_->done || result.how == attempt_end::broken || result.how == attempt_end::abandoned) {
        error_code ignored;
        connection_->stream.socket().close(ignored);
    }
    connection_ = nullptr;
    co_return result;
}

} // namespace lacewing
