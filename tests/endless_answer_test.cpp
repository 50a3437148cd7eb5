// Guards against servers in trouble that send bytes that are no answer, without end, in a head or in a body:
// whoever called them must neither keep the bytes nor wait for the end of its time limit (issue 39).
#include "http_test_support.h"
#include "scripted_endpoint.h"

#include "transport/http_client.h"
#include "transport/monotonic_clock.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

using namespace lacewing;
using namespace lacewing::testing;
namespace asio = boost::asio;

namespace {

constexpr time_ms call_timeout{5'000};

/// What became of one call.
struct call_outcome {
    std::optional<http_failure> failure;
    std::string body;
    time_ms duration{0};
};

call_outcome call(asio::io_context& loop, http_client& client) {
    call_outcome outcome;
    const auto started = monotonic_now();
    run_until_done(loop, [&]() -> asio::awaitable<void> {
        try {
            const auto answer = co_await client.request("GET", "/x", {}, {}, call_timeout);
            outcome.body = answer.body();
        } catch (const http_error& problem) {
            outcome.failure = problem.failure();
        }
    });
    outcome.duration = monotonic_now() - started;
    return outcome;
}

} // namespace

// The store and other VMs are called with this client.
TEST_CASE("http client: bytes without end that are no answer are buffered, or read until the time limit") {
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = status + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string whole = status + "Content-Length: 4\r\n\r\nnext";
    for (const auto& row : std::vector<std::array<std::string, 3>>{
             {"no protocol", "", "x"},
             {"status line", "HTTP/1.1 200 ", "O"},
             {"header value", status + "X-Filler: ", "x"},
             {"header lines", status, "X-Filler: x\r\n"},
             {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
             {"chunk size", chunked, "0"},
             {"chunk extension", chunked + "1;", "x"},
             {"chunk extensions", chunked, "1;x=y\r\nx\r\n"},
             {"trailer value", chunked + "0\r\nX-Filler: ", "x"},
             {"trailers", chunked + "0\r\n", "X-Filler: x\r\n"},
             {"chunks", chunked, "1000\r\n" + std::string(4096, 'x') + "\r\n"},
             {"body until the end", status + "\r\n", "x"}}) {
        CAPTURE(row[0]);
        asio::io_context loop;
        scripted_endpoint server(loop, {{row[1], false, false, row[2]}, {whole, true}});
        http_client client(loop.get_executor(), server.address(),
                           {.max_response_bytes = std::uint64_t{1024} * 1024});
        const auto outcome = call(loop, client);
        CHECK(outcome.failure == http_failure::malformed_answer);
        CHECK(outcome.duration < call_timeout / 2);
        // What the server could send includes the buffers of both sockets.
        CHECK(server.endless_bytes < scripted_endpoint::max_endless_bytes / 2);
        CHECK(call(loop, client).body == "next");
    }
}

TEST_CASE(
    "http client: an interim answer is taken for the answer, and the answer for that to the next call") {
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    const auto answer = [](std::string_view body) {
        return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
    };
    asio::io_context loop;
    scripted_endpoint server(loop, {{interim + answer("one")}, {answer("two")}});
    http_client client(loop.get_executor(), server.address());
    CHECK(call(loop, client).body == "one");
    CHECK(call(loop, client).body == "two");
    CHECK(server.connections == 1);
}
