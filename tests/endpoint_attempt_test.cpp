#include "gateway/endpoint_attempt.h"
#include "platform/dialect.h"
#include "scripted_endpoint.h"
#include "transport/monotonic_clock.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>
#include <exception>
#include <limits>
#include <random>
#include <string>
#include <vector>

using namespace lacewing;
using namespace lacewing::testing;
namespace asio = boost::asio;

namespace {

constexpr std::string_view id = "a1";

std::string answer(std::string_view body, std::string_view answer_id = id, int status = 200) {
    return fmt::format("HTTP/1.1 {} OK\r\nX-Lacewingplank-Attempt-Id: {}\r\nContent-Length: {}\r\n\r\n{}",
                       status, answer_id, body.size(), body);
}

struct attempt_fixture {
    explicit attempt_fixture(std::vector<scripted_endpoint::script> scripts)
        : pool(context.get_executor()), endpoint(context, std::move(scripts)) {}

    /// Makes one attempt, which is aborted after `patience`.
    /// @param address Address instead of that of the scripted endpoint.
    endpoint_result run(body_source remaining_body = {}, std::string address = {}) {
        if (address.empty()) address = endpoint.address();
        attempt_message message;
        message.head = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
        message.body = std::make_shared<const std::string>();
        message.attempt_id = attempt_id;
        message.remaining_body = std::move(remaining_body);
        answer_sink sink;
        streamed.clear();
        streamed_length.reset();
        sink.begin = [this](const endpoint_answer&,
                            std::optional<std::uint64_t> length) -> asio::awaitable<bool> {
            streamed_length = length;
            co_return true;
        };
        sink.write = [this](std::string_view piece) -> asio::awaitable<bool> {
            streamed += piece;
            co_return streamed.size() < max_streamed_bytes;
        };
        endpoint_attempt attempt(pool, deadlines, platform::dialect, memory);
        endpoint_result result;
        bool done = false;
        const scoped_deadline limit(deadlines, monotonic_now() + patience, [&] { attempt.expire(); });
        std::exception_ptr thrown;
        const auto body = [&]() -> asio::awaitable<void> {
            result = co_await attempt.run(address, message, sink);
        };
        asio::co_spawn(context, body(), [&](const std::exception_ptr& problem) {
            done = true;
            thrown = problem;
        });
        while (!done) {
            context.run_one_for(std::chrono::milliseconds(20));
            deadlines.tick(monotonic_now());
        }
        if (thrown) std::rethrow_exception(thrown);
        return result;
    }

    asio::io_context context;
    deadline_queue deadlines;
    answer_memory memory{std::size_t{64} * 1024 * 1024};
    endpoint_connection_pool pool;
    scripted_endpoint endpoint;
    time_ms patience{300};
    /// Id of the next request.
    std::string attempt_id{id};
    std::string streamed;
    /// The caller leaves once it has received this much.
    std::size_t max_streamed_bytes = std::numeric_limits<std::size_t>::max();
    std::optional<std::uint64_t> streamed_length;
};

/// How a scripted answer marks the end of its body.
enum class body_framing : std::uint8_t { length, chunks, close };

std::string framed_answer(body_framing framing, std::string_view body) {
    std::string head = fmt::format("HTTP/1.1 200 OK\r\nX-Lacewingplank-Attempt-Id: {}\r\n", id);
    if (framing == body_framing::length)
        return head + fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
    if (framing == body_framing::close) return head + "\r\n" + std::string(body);
    head += "Transfer-Encoding: chunked\r\n\r\n";
    constexpr std::size_t chunk_bytes = 30'000;
    for (std::size_t at = 0; at < body.size(); at += chunk_bytes) {
        const auto piece = body.substr(at, chunk_bytes);
        head += fmt::format("{:x}\r\n{}\r\n", piece.size(), piece);
    }
    return head + "0\r\n\r\n";
}

} // namespace

TEST_CASE("endpoint attempt: a valid answer is rejected, or its connection is not reused") {
    attempt_fixture fixture({{answer("one")}, {answer("two")}});
    const auto first = fixture.run();
    CHECK(first.outcome == attempt_end::answered);
    REQUIRE(first.answer);
    CHECK(first.answer->body == "one");
    CHECK(fixture.run().answer->body == "two");
    CHECK(fixture.endpoint.connections == 1);
}

// The library reports an empty body limit as exceeded when the head arrives in a read of its own.
TEST_CASE("endpoint attempt: an answer whose head arrives before its body is thrown away") {
    for (const auto framing : {body_framing::length, body_framing::chunks, body_framing::close}) {
        for (const std::size_t body_bytes : {std::size_t{1}, std::size_t{100}, std::size_t{300'000}}) {
            const auto text = framed_answer(framing, std::string(body_bytes, 'b'));
            const auto head_bytes = text.find("\r\n\r\n") + 4;
            for (const std::size_t piece_bytes :
                 {head_bytes, head_bytes - 1, head_bytes + 1, std::size_t{1}}) {
                if (piece_bytes == 1 && body_bytes > 1000) continue;
                CAPTURE(static_cast<int>(framing));
                CAPTURE(body_bytes);
                CAPTURE(piece_bytes);
                scripted_endpoint::script script{text, framing == body_framing::close};
                script.piece_bytes = piece_bytes;
                attempt_fixture fixture({script});
                fixture.patience = time_ms{10'000};
                const auto result = fixture.run();
                CHECK(result.reason == "");
                CHECK(result.outcome == attempt_end::answered);
                CHECK((result.streamed ? fixture.streamed : result.answer->body) ==
                      std::string(body_bytes, 'b'));
            }
        }
    }
}

TEST_CASE("endpoint attempt: an answer to another request is delivered") {
    attempt_fixture fixture({{answer("other", "b2") + answer("own")}, {answer("next")}});
    const auto result = fixture.run();
    REQUIRE(result.answer);
    CHECK(result.answer->body == "own");
    CHECK(fixture.run().answer->body == "next");
    CHECK(fixture.endpoint.connections == 2);
}

TEST_CASE("endpoint attempt: a success without an attempt id is delivered, or an error without one is lost") {
    attempt_fixture fixture({{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
                             {"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\nno", true}});
    CHECK(fixture.run().outcome == attempt_end::broken);
    const auto refused = fixture.run();
    CHECK(refused.outcome == attempt_end::failed);
    CHECK(refused.answer->status == 503);
}

TEST_CASE(
    "endpoint attempt: a late error without an attempt id is delivered to the next request, or states that "
    "it was not run") {
    const std::string late =
        "HTTP/1.1 503 X\r\nX-Lacewingplank-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nno";
    attempt_fixture fixture({{answer("first")}, {late + answer("own")}, {answer("next")}});
    CHECK(fixture.run().answer->body == "first");
    const auto result = fixture.run();
    REQUIRE(fixture.endpoint.connections == 1);
    CHECK(result.outcome == attempt_end::broken);
    CHECK_FALSE(result.answer);
    CHECK(fixture.run().answer->body == "next");
    CHECK(fixture.endpoint.connections == 2);
}

TEST_CASE("endpoint attempt: a second answer after the first is delivered to the next request") {
    attempt_fixture fixture({{answer("first") + answer("extra")}, {answer("next")}});
    CHECK(fixture.run().answer->body == "first");
    CHECK(fixture.run().answer->body == "next");
    CHECK(fixture.endpoint.connections == 2);
}

TEST_CASE("endpoint attempt: a missing or malformed answer counts as an answer, or as a request that was not "
          "sent") {
    const auto whole = answer("0123456789");
    for (const auto& script : std::vector<scripted_endpoint::script>{
             {"", true},
             {"", false, true},
             {whole.substr(0, 20), true},
             {whole.substr(0, whole.size() - 4), true},
             {whole.substr(0, whole.size() - 4), false, true},
             {"HTTP/1.1 200 OK\r\nX-Lacewingplank-Attempt-Id: a1\r\nContent-Length: x\r\n\r\nbody", true},
             {"HTTP/1.1 200 OK\r\nX-Lacewingplank-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
              true},
             {"SPDY\r\n\r\n", true}}) {
        CAPTURE(script.bytes);
        attempt_fixture fixture({script, {answer("next")}});
        const auto result = fixture.run();
        CHECK(result.outcome == attempt_end::broken);
        CHECK_FALSE(result.answer);
        CHECK_FALSE(result.unsent);
        CHECK(fixture.run().answer->body == "next");
    }
}

// Guards against issue 28: an endpoint writes an earlier refusal once more on a kept connection, and a
// request that it runs counts as not run.
TEST_CASE("endpoint attempt: an earlier refusal that is repeated counts for the next request") {
    const auto refusal = [](int status, std::string_view id_line) {
        return fmt::format("HTTP/1.1 {} No\r\n{}X-Lacewingplank-Not-Executed: 1\r\nRetry-After: 1\r\n"
                           "Content-Length: 2\r\n\r\nno",
                           status, id_line);
    };
    for (const int status : {503, 429, 421, 408, 400}) {
        for (const auto* id_line :
             {"X-Lacewingplank-Attempt-Id: a0\r\n", "X-Lacewingplank-Attempt-Id: \r\n", ""}) {
            CAPTURE(status);
            CAPTURE(id_line);
            const auto earlier = refusal(status, id_line);
            const auto first = refusal(status, "X-Lacewingplank-Attempt-Id: a0\r\n");
            // The copy arrives before the answer of the second request, or instead of it.
            attempt_fixture before({{first}, {earlier + answer("own")}});
            before.attempt_id = "a0";
            CHECK(before.run().outcome == attempt_end::not_run);
            before.attempt_id = id;
            const auto result = before.run();
            REQUIRE(before.endpoint.connections == 1);
            CHECK(result.outcome != attempt_end::not_run);
            CHECK_FALSE(result.unsent);
            if (result.answer) CHECK(result.answer->body == "own");
            attempt_fixture instead({{first}, {earlier}});
            instead.attempt_id = "a0";
            CHECK(instead.run().outcome == attempt_end::not_run);
            instead.attempt_id = id;
            REQUIRE(instead.pool.idle_count() == 1);
            CHECK(instead.run().outcome != attempt_end::not_run);
        }
    }
}

// Guards against REFUSED (issue 39): a copy of the refusal of one send counts for the next send of the
// request.
TEST_CASE("endpoint attempt: a connection that has refused a request carries it again") {
    const auto refusal = fmt::format("HTTP/1.1 421 No\r\nX-Lacewingplank-Attempt-Id: {}\r\n"
                                     "Content-Length: 2\r\n\r\nno",
                                     id);
    attempt_fixture fixture({{refusal}, {answer("own")}, {answer("next")}});
    CHECK(fixture.run().outcome == attempt_end::not_run);
    REQUIRE(fixture.pool.idle_count() == 1);
    CHECK(fixture.run().answer->body == "own");
    CHECK(fixture.endpoint.connections == 2);
    // Requests with other ids use the connection further on.
    CHECK(fixture.pool.take_idle(fixture.endpoint.address(), monotonic_now(), "other") != nullptr);
    CHECK(fixture.pool.take_idle(fixture.endpoint.address(), monotonic_now(), "other") != nullptr);
}

// Guards against REFUSED (issue 39): a refusal that an endpoint writes before it has read the request, and
// that names none, counts as a statement about that request.
TEST_CASE("endpoint attempt: a refusal that names no request states that one was not run") {
    for (const int status : {408, 421, 429, 503}) {
        for (const auto* id_line : {"", "X-Lacewingplank-Attempt-Id: \r\n"}) {
            CAPTURE(status);
            CAPTURE(id_line);
            const auto refusal = fmt::format(
                "HTTP/1.1 {} No\r\n{}X-Lacewingplank-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nno", status,
                id_line);
            attempt_fixture fixture({{refusal + answer("late")}, {answer("next")}});
            const auto result = fixture.run();
            CHECK(result.outcome == attempt_end::failed);
            REQUIRE(result.answer);
            CHECK_FALSE(result.answer->not_run);
            CHECK(result.answer->unproven_refusal());
            CHECK(fixture.run().answer->body == "next");
            CHECK(fixture.endpoint.connections == 2);
        }
    }
}

// Guards against REFUSED (issue 39): a long refusal is passed on while it arrives, whatever became of earlier
// sends of the request.
TEST_CASE("endpoint attempt: a refusal that is too long to be buffered is passed on") {
    const std::string body(2 * endpoint_attempt::max_buffered_answer_bytes, 'x');
    for (const int status : {400, 421, 429, 503}) {
        CAPTURE(status);
        const auto refusal = fmt::format("HTTP/1.1 {} No\r\nX-Lacewingplank-Attempt-Id: {}\r\n"
                                         "X-Lacewingplank-Not-Executed: 1\r\nContent-Length: {}\r\n\r\n{}",
                                         status, id, body.size(), body);
        attempt_fixture fixture({{refusal}, {answer("next")}});
        const auto result = fixture.run();
        CHECK(result.outcome == attempt_end::not_run);
        CHECK_FALSE(result.streamed);
        CHECK(fixture.streamed.empty());
        CHECK(fixture.run().answer->body == "next");
        CHECK(fixture.endpoint.connections == 2);
    }
}

TEST_CASE("endpoint attempt: a request without an id gets the late answer to another one") {
    const std::string unnamed = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
    attempt_fixture fixture({{answer("first")}, {unnamed + "own"}, {unnamed + "two"}});
    CHECK(fixture.run().answer->body == "first");
    fixture.attempt_id = "";
    CHECK(fixture.run().answer->body == "own");
    CHECK(fixture.run().answer->body == "two");
    CHECK(fixture.endpoint.connections == 3);
}

// Guards against issue 28: an endpoint stops within the head of its answer, and callers get a short body that
// looks whole.
TEST_CASE("endpoint attempt: an answer that ends in its head counts as complete") {
    for (const auto framing : {body_framing::length, body_framing::chunks, body_framing::close}) {
        const auto whole = framed_answer(framing, "0123456789");
        const auto head_bytes = whole.find("\r\n\r\n") + 4;
        for (std::size_t cut = 0; cut < head_bytes; ++cut) {
            for (const bool reset : {false, true}) {
                CAPTURE(cut);
                attempt_fixture fixture({{whole.substr(0, cut), !reset, reset}});
                const auto result = fixture.run();
                CHECK(result.outcome == attempt_end::broken);
                CHECK_FALSE(result.answer);
                CHECK_FALSE(result.streamed);
            }
        }
    }
}

TEST_CASE("endpoint attempt: an answer without a length is lost, or its connection is reused") {
    attempt_fixture fixture(
        {{"HTTP/1.1 200 OK\r\nX-Lacewingplank-Attempt-Id: a1\r\n\r\nto the end", true}, {answer("next")}});
    const auto result = fixture.run();
    CHECK(result.outcome == attempt_end::answered);
    CHECK(result.answer->body == "to the end");
    CHECK(fixture.run().answer->body == "next");
    CHECK(fixture.endpoint.connections == 2);
}

// Guards against MIXED (issue 46): an upstream in trouble sends a status that is none. The bytes after its
// head belong to nothing, so they must not be read as the next head either.
TEST_CASE("endpoint attempt: an answer without a valid status is delivered or skipped") {
    for (const auto* status : {"000", "001", "099", "600", "999"}) {
        for (const bool named : {true, false}) {
            CAPTURE(status);
            CAPTURE(named);
            const std::string id_line = named ? "X-Lacewingplank-Attempt-Id: a1\r\n" : "";
            const auto none = fmt::format("HTTP/1.1 {} X\r\n{}Content-Length: {}\r\n\r\n{}", status, id_line,
                                          answer("own").size(), answer("own"));
            attempt_fixture fixture({{none}, {answer("next")}});
            const auto result = fixture.run();
            CHECK(result.outcome == attempt_end::broken);
            CHECK_FALSE(result.answer);
            CHECK_FALSE(result.unsent);
            CHECK(fixture.run().answer->body == "next");
            CHECK(fixture.endpoint.connections == 2);
        }
    }
}

// Guards against MIXED (issue 46): the reset is reported to the write of the upload, after which a read sees
// what looks like the orderly end of an answer without a length.
TEST_CASE("endpoint attempt: an answer without a length is complete though its upload was not written") {
    constexpr auto buffered = endpoint_attempt::max_buffered_answer_bytes;
    for (const std::size_t size : {std::size_t{100}, buffered + 1}) {
        for (const bool reset : {true, false}) {
            for (int round = 0; round < 10; ++round) {
                CAPTURE(size);
                CAPTURE(reset);
                const auto part = framed_answer(body_framing::close, std::string(size, 'x'));
                attempt_fixture fixture({{part, !reset, reset}, {answer("next")}});
                fixture.patience = time_ms{3000};
                const auto result = fixture.run([]() -> asio::awaitable<std::optional<std::string>> {
                    constexpr std::size_t piece_bytes = std::size_t{64} * 1024;
                    co_return std::string(piece_bytes, 'u');
                });
                CHECK(result.outcome != attempt_end::answered);
                CHECK_FALSE(result.stream_complete);
                CHECK_FALSE(result.unsent);
            }
        }
    }
}

TEST_CASE("endpoint attempt: an interim answer ends the request or its connection") {
    attempt_fixture fixture(
        {{"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answer("own")}, {answer("next")}});
    CHECK(fixture.run().answer->body == "own");
    CHECK(fixture.run().answer->body == "next");
    CHECK(fixture.endpoint.connections == 1);
}

TEST_CASE("endpoint attempt: a connection with an unfinished request body is reused after an early answer") {
    attempt_fixture fixture({{answer("early", id, 413)}, {answer("next")}});
    asio::steady_timer never(fixture.context, std::chrono::steady_clock::time_point::max());
    const auto endless = [&never]() -> asio::awaitable<std::optional<std::string>> {
        boost::system::error_code woken;
        co_await never.async_wait(asio::redirect_error(asio::use_awaitable, woken));
        co_return std::nullopt;
    };
    const auto result = fixture.run(endless);
    REQUIRE(result.answer);
    CHECK(result.answer->status == 413);
    CHECK(fixture.run().answer->body == "next");
    CHECK(fixture.endpoint.connections == 2);
    never.cancel();
    fixture.context.poll();
}

TEST_CASE("endpoint attempt: a long answer is buffered whole or loses bytes") {
    const std::string body(3 * endpoint_attempt::max_buffered_answer_bytes, 'x');
    attempt_fixture fixture(
        {{answer(body)}, {answer(body).substr(0, 2 * endpoint_attempt::max_buffered_answer_bytes), true}});
    const auto result = fixture.run();
    CHECK(result.streamed);
    CHECK(result.stream_complete);
    CHECK(fixture.streamed == body);
    const auto cut = fixture.run();
    CHECK(cut.streamed);
    CHECK_FALSE(cut.stream_complete);
}

TEST_CASE(
    "endpoint attempt: an answer ends the process, loses bytes or looks complete when it is not, by framing "
    "and size") {
    constexpr auto buffered = endpoint_attempt::max_buffered_answer_bytes;
    for (const auto framing : {body_framing::length, body_framing::chunks, body_framing::close}) {
        for (const std::size_t size :
             {std::size_t{0}, std::size_t{1}, buffered - 1, buffered, buffered + 1, 2 * buffered + 17}) {
            CAPTURE(static_cast<int>(framing));
            CAPTURE(size);
            const std::string body(size, 'x');
            const auto whole = framed_answer(framing, body);
            const bool until_close = framing == body_framing::close;
            attempt_fixture fixture({{whole, until_close}, {answer("next")}});
            fixture.patience = time_ms{3000};
            const auto result = fixture.run();
            CHECK(result.outcome == attempt_end::answered);
            REQUIRE(result.answer);
            CHECK(result.streamed == (size > buffered));
            CHECK(result.stream_complete == result.streamed);
            CHECK((result.streamed ? fixture.streamed : result.answer->body) == body);
            CHECK((result.streamed && framing == body_framing::length) ==
                  fixture.streamed_length.has_value());
            CHECK(fixture.run().answer->body == "next");
            CHECK(fixture.endpoint.connections == (until_close ? 2 : 1));
            if (size == 0) continue;
            // The last byte is missing: the end of the body, its last chunk or an orderly close.
            attempt_fixture cut({{whole.substr(0, whole.size() - 1), !until_close, until_close}});
            cut.patience = time_ms{3000};
            const auto broken = cut.run();
            CHECK(broken.outcome == attempt_end::broken);
            CHECK_FALSE(broken.answer);
            CHECK_FALSE(broken.stream_complete);
        }
    }
}

TEST_CASE("endpoint attempt: bytes without end that are no answer are read until the deadline") {
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string own = fmt::format("{}X-Lacewingplank-Attempt-Id: {}\r\n", status, id);
    const std::string other = status + "X-Lacewingplank-Attempt-Id: other\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    for (const auto& row :
         std::vector<std::array<std::string, 3>>{{"no protocol", "", "x"},
                                                 {"status line", "HTTP/1.1 200 ", "O"},
                                                 {"header value", status + "X-Filler: ", "x"},
                                                 {"header lines", status, "X-Filler: x\r\n"},
                                                 {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
                                                 {"body of another answer", other + "\r\n", "x"},
                                                 {"chunks of another answer", other + chunked, "1\r\nx\r\n"},
                                                 {"other answers", "", other + "Content-Length: 1\r\n\r\nx"},
                                                 {"chunk size", own + chunked, "0"},
                                                 {"chunk extension", own + chunked + "1;", "x"},
                                                 {"trailers", own + chunked + "0\r\n", "X-Filler: x\r\n"}}) {
        const auto& name = row[0];
        CAPTURE(name);
        attempt_fixture fixture({{row[1], false, false, row[2]}, {answer("next")}});
        fixture.patience = time_ms{5000};
        const auto result = fixture.run();
        CHECK(result.outcome == attempt_end::broken);
        CHECK_FALSE(result.answer);
        CHECK(fixture.run().answer->body == "next");
        // What the endpoint could send includes the buffers of both sockets.
        CHECK(fixture.endpoint.endless_bytes < scripted_endpoint::max_endless_bytes / 2);
    }
}

TEST_CASE("endpoint attempt: a body without end is buffered, or looks complete") {
    attempt_fixture fixture(
        {{fmt::format("HTTP/1.1 200 OK\r\nX-Lacewingplank-Attempt-Id: {}\r\n\r\n", id), false, false, "x"}});
    fixture.max_streamed_bytes = std::size_t{2} * 1024 * 1024;
    const auto result = fixture.run();
    CHECK(result.streamed);
    CHECK_FALSE(result.stream_complete);
    CHECK(fixture.streamed.size() <= fixture.max_streamed_bytes + std::size_t{1} * 1024 * 1024);
}

// The library's own body allocates the announced length when the head is complete.
TEST_CASE("endpoint attempt: an announced length beyond any memory drops the request") {
    constexpr std::array<std::uint64_t, 6> lengths{1'000'000'000'000,
                                                   1'000'000'000'000'000'000,
                                                   (std::uint64_t{1} << 63U) - 1,
                                                   std::uint64_t{1} << 63U,
                                                   std::numeric_limits<std::uint64_t>::max() - 1,
                                                   std::numeric_limits<std::uint64_t>::max()};
    for (const auto length : lengths) {
        CAPTURE(length);
        const auto head =
            fmt::format("HTTP/1.1 200 OK\r\nX-Lacewingplank-Attempt-Id: {}\r\nContent-Length: {}"
                        "\r\n\r\n",
                        id, length);
        // Bytes without end are passed on as they arrive.
        attempt_fixture endless({{head, false, false, "x"}});
        endless.max_streamed_bytes = 1'000'000;
        auto result = endless.run();
        CHECK(result.streamed);
        CHECK_FALSE(result.stream_complete);
        CHECK(endless.streamed_length == length);
        CHECK(endless.streamed.size() < 2'000'000);
        // A part of the body is not taken for the whole.
        attempt_fixture cut({{head + "a part", true}});
        result = cut.run();
        CHECK(result.outcome == attempt_end::broken);
        CHECK_FALSE(result.answer);
        CHECK_FALSE(result.unsent);
    }
    attempt_fixture too_large({{fmt::format("HTTP/1.1 200 OK\r\nX-Lacewingplank-Attempt-Id: {}\r\n"
                                            "Content-Length: 18446744073709551616\r\n\r\nx",
                                            id)}});
    CHECK(too_large.run().outcome == attempt_end::broken);
}

// The library throws for a field that it cannot store.
TEST_CASE("endpoint attempt: a field of about 64 kB drops the request, or is taken for an answer") {
    for (const std::size_t value_bytes : {65'000, 65'500, 65'531, 65'532, 65'533, 65'534, 66'000, 70'000}) {
        CAPTURE(value_bytes);
        const auto field = "X-Filler: " + std::string(value_bytes, 'x') + "\r\n\r\n";
        const auto head = fmt::format("HTTP/1.1 200 OK\r\nX-Lacewingplank-Attempt-Id: {}\r\n", id);
        const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
        for (const auto& text : {head + field, chunked + field}) {
            attempt_fixture fixture({{text}, {answer("next")}});
            const auto result = fixture.run();
            CHECK((result.outcome == attempt_end::broken || result.outcome == attempt_end::answered));
            CHECK_FALSE(result.unsent);
            CHECK(fixture.run().answer->body == "next");
        }
    }
}

TEST_CASE("endpoint attempt: a silent endpoint blocks a request forever") {
    attempt_fixture fixture({{""}});
    const auto result = fixture.run();
    CHECK(result.outcome == attempt_end::abandoned);
    CHECK_FALSE(result.answer);
}

// Guards against pooled connections that have gone silent for good: each of them would cost one more request.
TEST_CASE("endpoint attempt: after a request without an answer the next one meets a silent connection too") {
    attempt_fixture fixture({{answer("first")}, {""}, {answer("third")}});
    const auto idle = fixture.pool.create(fixture.endpoint.address());
    boost::system::error_code failure;
    idle->stream.socket().connect(fixture.endpoint.acceptor.local_endpoint(), failure);
    REQUIRE_FALSE(failure);
    fixture.pool.put_idle(idle, monotonic_now());
    REQUIRE(fixture.run().outcome == attempt_end::answered);
    const auto other = fixture.pool.create(fixture.endpoint.address());
    other->stream.socket().connect(fixture.endpoint.acceptor.local_endpoint(), failure);
    REQUIRE_FALSE(failure);
    fixture.pool.put_idle(other, monotonic_now());
    REQUIRE(fixture.pool.idle_count() == 2);
    CHECK(fixture.run().outcome == attempt_end::abandoned);
    CHECK(fixture.pool.idle_count() == 0);
    CHECK(fixture.run().outcome == attempt_end::answered);
    CHECK(fixture.endpoint.connections == 3);
}

TEST_CASE("endpoint attempt: a refused connection counts as a request that may have run") {
    attempt_fixture fixture({});
    const auto address = fixture.endpoint.address();
    fixture.endpoint.acceptor.close();
    const auto result = fixture.run({}, address);
    CHECK(result.outcome == attempt_end::unreachable);
    CHECK(result.unsent);
}

TEST_CASE("endpoint attempt: damaged bytes crash the process, or shift the next answer") {
    std::mt19937 random(7);
    for (int turn = 0; turn < 300; ++turn) {
        CAPTURE(turn);
        auto damaged = answer("0123456789") + (turn % 3 == 0 ? answer("behind") : "");
        for (int n = 0; n <= turn % 5; ++n)
            damaged[random() % damaged.size()] = static_cast<char>(random());
        if (turn % 2 == 0) damaged.resize(random() % damaged.size());
        attempt_fixture fixture({{damaged, true}, {answer("next"), true}});
        const auto result = fixture.run();
        if (result.outcome == attempt_end::answered) {
            CHECK(result.answer->body.size() <= damaged.size());
        }
        const auto next = fixture.run();
        REQUIRE(next.answer);
        CHECK(next.answer->body == "next");
    }
}

// Endpoints that stop within long answers take as much memory as there are requests.
TEST_CASE("endpoint attempt: answers are buffered without regard to what others hold") {
    constexpr auto small = answer_memory::small_answer_bytes;
    const std::string body(4 * small, 'x');
    attempt_fixture fixture({{answer(body)}, {answer(body)}, {answer(std::string(small / 2, 'y'))}});
    CHECK_FALSE(fixture.run().streamed);
    CHECK(fixture.memory.held() == 0);
    // The answers of others take the whole budget.
    answer_memory::holding others(fixture.memory);
    others.set(fixture.memory.held() + std::size_t{64} * 1024 * 1024 + 1);
    const auto held_by_others = fixture.memory.held();
    const auto streamed = fixture.run();
    CHECK(streamed.outcome == attempt_end::answered);
    CHECK(streamed.stream_complete);
    CHECK(fixture.streamed == body);
    CHECK_FALSE(fixture.run().streamed);
    CHECK(fixture.memory.held() == held_by_others);
}
