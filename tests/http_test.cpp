#include "http_test_support.h"
#include "scripted_endpoint.h"

#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/ip_address.h"

#include <doctest/doctest.h>

#include <fmt/format.h>

#include <limits>
#include <memory>
#include <optional>

namespace lacewing {
namespace {

namespace asio = boost::asio;
using testing::raw_exchange;
using testing::run_until_done;
using testing::wait_until;

asio::awaitable<http_response> echo(http_request request) {
    co_return make_response(200, std::string(request.target()) + "|" + request.body(), "text/plain");
}

// Status line of the response to raw bytes sent to a server with small limits.
std::string status_line(std::string bytes) {
    asio::io_context loop;
    http_limits limits;
    limits.body_bytes = 1000;
    limits.header_timeout = time_ms{60};
    limits.body_timeout = time_ms{60};
    http_server server(loop.get_executor(), "127.0.0.1:0", limits, echo);
    std::string response;
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        response = co_await raw_exchange(loop, server.address(), bytes);
    });
    return response.substr(0, response.find('\r'));
}

} // namespace

// Guards against a client that takes the memory of the process (issue 39).
TEST_CASE("http server: a chunk extension or a trailer without end is buffered") {
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(std::size_t{1024} * 1024, 'x');
    CHECK(status_line(head + "5;" + filler) == "HTTP/1.1 431 Request Header Fields Too Large");
    CHECK(status_line(head + "5\r\nhello\r\n0\r\nX-Trailer: " + filler) ==
          "HTTP/1.1 431 Request Header Fields Too Large");
}

// The library throws for a field that it cannot store, out of the event loop.
TEST_CASE("http server: a trailer of about 64 kB ends the process") {
    for (const std::size_t value_bytes : {65'000, 65'530, 65'534, 66'000, 100'000}) {
        CAPTURE(value_bytes);
        const auto line = status_line("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: "
                                      "chunked\r\n\r\n5\r\nhello\r\n"
                                      "0\r\nX-Filler: " +
                                      std::string(value_bytes, 'x') + "\r\n\r\n");
        CHECK((line == "HTTP/1.1 431 Request Header Fields Too Large" || line == "HTTP/1.1 200 OK"));
    }
}

// The library allocates the announced length when the first bytes of the body arrive with the head.
TEST_CASE("http client: an announced length beyond any memory ends the process") {
    for (const std::uint64_t length : {std::uint64_t{1} << 27U, std::uint64_t{1} << 40U,
                                       std::uint64_t{1} << 60U, (std::uint64_t{1} << 63U) - 1,
                                       std::uint64_t{1} << 63U, std::numeric_limits<std::uint64_t>::max()}) {
        for (const std::string body : {"", "x"}) {
            CAPTURE(length);
            CAPTURE(body);
            asio::io_context loop;
            testing::scripted_endpoint server(
                loop, {{fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", length, body)}});
            http_client client(loop.get_executor(), server.address());
            run_until_done(loop, [&]() -> asio::awaitable<void> {
                auto failure = http_failure::connect_failed;
                try {
                    co_await client.request("GET", "/", {}, "", time_ms{5000});
                } catch (const http_error& problem) {
                    failure = problem.failure();
                }
                CHECK(failure == http_failure::malformed_answer);
            });
        }
    }
}

TEST_CASE("http client: a trailer of about 64 kB ends the process") {
    for (const std::size_t value_bytes : {65'000, 65'530, 65'534, 66'000, 100'000}) {
        CAPTURE(value_bytes);
        asio::io_context loop;
        testing::scripted_endpoint server(
            loop, {{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Filler: " +
                    std::string(value_bytes, 'x') + "\r\n\r\n"}});
        http_client client(loop.get_executor(), server.address());
        run_until_done(loop, [&]() -> asio::awaitable<void> {
            try {
                const auto response = co_await client.request("GET", "/", {}, "", time_ms{5000});
                CHECK(response.body() == "x");
            } catch (const http_error& problem) {
                CHECK(problem.failure() == http_failure::malformed_answer);
            }
        });
    }
}

// The library reports an empty body limit as exceeded when a head arrives without its body.
TEST_CASE("http client: a response whose head arrives before its body is thrown away") {
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    for (const auto piece_bytes : {text.size() - 5, text.size() - 4, std::size_t{1}}) {
        CAPTURE(piece_bytes);
        asio::io_context loop;
        testing::scripted_endpoint::script script{text};
        script.piece_bytes = piece_bytes;
        testing::scripted_endpoint server(loop, {script});
        http_client client(loop.get_executor(), server.address());
        run_until_done(loop, [&]() -> asio::awaitable<void> {
            const auto response = co_await client.request("GET", "/", {}, "", time_ms{5000});
            CHECK(response.body() == "hello");
        });
    }
}

// The body is read by another way than that of a response that is held.
TEST_CASE("http client: a body that is passed on while it arrives is cut, or is held as well") {
    const std::string body(100'000, 'b');
    const std::string head = "HTTP/1.1 200 OK\r\n";
    struct example {
        std::string bytes;
        std::string received;
        std::string held;
        std::optional<http_failure> failure{};
    };
    const std::vector<example> rows{
        {head + "Content-Length: 100000\r\n\r\n" + body, body, ""},
        {head + "Content-Length: 0\r\n\r\n", "", ""},
        {"HTTP/1.1 204 No Content\r\n\r\n", "", ""},
        {head + "Transfer-Encoding: chunked\r\n\r\n186A0\r\n" + body + "\r\n3\r\nend\r\n0\r\n\r\n",
         body + "end", ""},
        {"HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", "ok", ""},
        {"HTTP/1.1 410 Gone\r\nContent-Length: 4\r\n\r\ngone", "", "gone"},
        {"HTTP/1.1 410 Gone\r\nContent-Length: 2000\r\n\r\n" + std::string(2'000, 'g'), "", "",
         http_failure::malformed_answer},
        {head + "Content-Length: 200001\r\n\r\n" + body, "", "", http_failure::malformed_answer},
        {head + "Transfer-Encoding: chunked\r\n\r\n30D41\r\n" + body + body + "x\r\n0\r\n\r\n", "", "",
         http_failure::malformed_answer},
        {head + "Content-Length: 3\r\n\r\nno!", "no!", "", http_failure::malformed_answer}};
    for (const auto& row : rows) {
        for (const std::size_t piece_bytes : {std::size_t{0}, std::size_t{7'001}}) {
            CAPTURE(row.bytes.substr(0, 60));
            CAPTURE(piece_bytes);
            asio::io_context loop;
            testing::scripted_endpoint::script script{row.bytes};
            script.piece_bytes = piece_bytes;
            testing::scripted_endpoint server(loop, {script});
            http_client client(loop.get_executor(), server.address(),
                               {.max_response_bytes = 1'000, .max_streamed_bytes = 200'000});
            std::string received;
            std::string held_body;
            std::optional<http_failure> failure;
            run_until_done(loop, [&]() -> asio::awaitable<void> {
                try {
                    const auto response = co_await client.request("GET", "/", {}, "", time_ms{5000},
                                                                  [&](std::string_view piece) {
                                                                      received += piece;
                                                                      return !received.starts_with("no!");
                                                                  });
                    held_body = response.body();
                } catch (const http_error& problem) {
                    failure = problem.failure();
                }
            });
            CHECK(failure == row.failure);
            CHECK(held_body == row.held);
            if (!failure || !row.received.empty()) CHECK(received == row.received);
        }
    }
}

TEST_CASE("http server: a request whose head arrives before its body is refused") {
    const std::string text = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
    for (const auto piece_bytes : {text.size() - 5, text.size() - 4, std::size_t{1}}) {
        CAPTURE(piece_bytes);
        asio::io_context loop;
        http_server server(loop.get_executor(), "127.0.0.1:0", {}, echo);
        run_until_done(loop, [&]() -> asio::awaitable<void> {
            asio::ip::tcp::socket socket(loop);
            co_await socket.async_connect(parse_socket_address(server.address()), asio::use_awaitable);
            testing::scripted_endpoint::script script{text};
            script.piece_bytes = piece_bytes;
            boost::system::error_code failure;
            co_await testing::scripted_endpoint::write_pieces(socket, script, failure);
            std::string received;
            co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "/x|hello",
                                            asio::use_awaitable);
            CHECK(received.starts_with("HTTP/1.1 200 OK"));
        });
    }
}

// Guards against a client that opens a connection per request or returns the response to another request.
TEST_CASE("http client reuses its connection and returns each response to its own request") {
    asio::io_context loop;
    http_server server(loop.get_executor(), "127.0.0.1:0", {}, echo);
    http_client client(loop.get_executor(), server.address());
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        for (int i = 0; i < 50; ++i) {
            const auto target = "/t" + std::to_string(i);
            const auto response = co_await client.request("PUT", target, {}, "body", time_ms{5000});
            CHECK(response.result_int() == 200);
            CHECK(response.body() == target + "|body");
        }
    });
    CHECK(server.connections() == 1);
}

// Guards against input beyond the limits that is served, or that holds a connection open without a response.
TEST_CASE("http server responds to malformed, oversized and slow input with a 4xx") {
    CHECK(status_line("NOT HTTP AT ALL\r\n\r\n") == "HTTP/1.1 400 Bad Request");
    CHECK(status_line("GET / HTTP/1.1\r\nA: " + std::string(20000, 'x') + "\r\n\r\n") ==
          "HTTP/1.1 431 Request Header Fields Too Large");
    CHECK(status_line("PUT / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x')) ==
          "HTTP/1.1 413 Payload Too Large");
    CHECK(status_line("GET / HTTP/1.1\r\nA: ") == "HTTP/1.1 408 Request Timeout");
    CHECK(status_line("PUT / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc") == "HTTP/1.1 408 Request Timeout");
    CHECK(status_line("").empty());
}

// Guards against a stop that aborts a request in flight, or that never ends because of idle connections.
TEST_CASE("http server finishes requests in flight before it stops") {
    asio::io_context loop;
    bool started = false;
    bool release = false;
    http_server server(loop.get_executor(), "127.0.0.1:0", {},
                       [&](http_request request) -> asio::awaitable<http_response> {
                           started = true;
                           if (request.target() == "/slow") {
                               co_await wait_until(loop, [&] { return release; });
                           }
                           co_return make_response(200, "finished");
                       });
    const auto address = server.address();
    http_client idle(loop.get_executor(), address);
    http_client busy(loop.get_executor(), address);
    std::string body;
    bool stopped = false;
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        co_await idle.request("GET", "/", {}, "", time_ms{5000});
        started = false;
        asio::co_spawn(
            loop,
            [&]() -> asio::awaitable<void> {
                const auto response = co_await busy.request("GET", "/slow", {}, "", time_ms{15000});
                body = response.body();
            },
            [](const std::exception_ptr&) {});
        co_await wait_until(loop, [&] { return started; });
        asio::co_spawn(
            loop,
            [&]() -> asio::awaitable<void> {
                co_await server.stop();
                stopped = true;
            },
            [](const std::exception_ptr&) {});
        co_await wait_until(loop, [&] { return server.connections() == 1; });
        CHECK_FALSE(stopped);
        release = true;
        co_await wait_until(loop, [&] { return stopped && !body.empty(); });
    });
    CHECK(body == "finished");
}

// Guards against MIXED (issue 46): a status that is none counts as a response, or as an interim one.
TEST_CASE("http client: a response without a valid status is returned or skipped") {
    for (const auto* status : {"000", "099", "600", "999"}) {
        CAPTURE(status);
        asio::io_context loop;
        const std::string none = fmt::format("HTTP/1.1 {} X\r\nContent-Length: 0\r\n\r\n", status);
        testing::scripted_endpoint server(loop,
                                          {{none + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"}});
        http_client client(loop.get_executor(), server.address());
        std::optional<http_failure> failure;
        run_until_done(loop, [&]() -> asio::awaitable<void> {
            try {
                co_await client.request("GET", "/", {}, "", time_ms{2000});
            } catch (const http_error& failed) {
                failure = failed.failure();
            }
        });
        CHECK(failure == http_failure::malformed_answer);
    }
}

// Guards against failures that callers cannot tell apart: the kind of failure decides whether the server may
// have executed the request.
TEST_CASE("http client reports the kind of failure") {
    asio::io_context loop;
    auto server = std::make_unique<http_server>(loop.get_executor(), "127.0.0.1:0", http_limits{},
                                                [&](http_request request) -> asio::awaitable<http_response> {
                                                    if (request.target() == "/drop")
                                                        throw close_without_response();
                                                    co_await wait_until(loop, [] { return false; });
                                                    co_return make_response(200, "");
                                                });
    http_client client(loop.get_executor(), server->address());
    const auto failure_of = [&](const char* target, time_ms timeout) {
        std::optional<http_failure> failure;
        run_until_done(loop, [&]() -> asio::awaitable<void> {
            try {
                co_await client.request("PUT", target, {}, "", timeout);
            } catch (const http_error& failed) {
                failure = failed.failure();
            }
        });
        return failure;
    };
    CHECK(failure_of("/drop", time_ms{5000}) == http_failure::closed);
    CHECK(failure_of("/never", time_ms{30}) == http_failure::timed_out);
    server.reset();
    CHECK(failure_of("/", time_ms{5000}) == http_failure::connect_failed);
}

} // namespace lacewing
