#include "gateway/caller_server.h"
#include "transport/monotonic_clock.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

using namespace lacewing;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Server that answers requests for /slow only once `held` is cancelled; its callers run in the same thread.
struct server_fixture {
    explicit server_fixture(std::size_t max_connections)
        : held(context, std::chrono::steady_clock::time_point::max()),
          server(
              context, deadlines, [this] { return bounds; },
              [this](caller_request& request, const answer_sink& sink) -> asio::awaitable<caller_answer> {
                  if (request.target.starts_with("/cut")) {
                      co_return co_await cut_answer(request.target, sink);
                  }
                  if (request.target.starts_with("/throw")) {
                      if (request.target == "/throw/streaming") {
                          co_await cut_answer("/cut/length", sink);
                      }
                      // The caller may leave while the exception is still to come.
                      boost::system::error_code woken;
                      if (request.target == "/throw/slow") {
                          co_await held.async_wait(asio::redirect_error(asio::use_awaitable, woken));
                      }
                      throw std::length_error("a test");
                  }
                  if (request.target == "/slow") {
                      boost::system::error_code woken;
                      co_await held.async_wait(asio::redirect_error(asio::use_awaitable, woken));
                  }
                  caller_answer answer;
                  answer.status = 200;
                  answer.body = request.target;
                  co_return answer;
              }) {
        tcp::acceptor probe(context, {asio::ip::make_address("127.0.0.1"), 0});
        address = probe.local_endpoint();
        probe.close();
        server.listen(fmt::format("127.0.0.1:{}", address.port()), max_connections);
    }

    /// Streams a part of an answer, with a declared length for the target "/cut/length", and gives up.
    static asio::awaitable<caller_answer> cut_answer(std::string target, answer_sink sink) {
        endpoint_answer begun;
        begun.status = 200;
        std::optional<std::uint64_t> length;
        if (target == "/cut/length") length = 1000;
        co_await sink.begin(begun, length);
        co_await sink.write("only a part");
        caller_answer answer;
        answer.streamed = true;
        answer.abort_connection = true;
        co_return answer;
    }

    /// Reads an answer until its end.
    /// @return Whether it looks complete to the caller.
    bool receive_whole(tcp::socket& socket) {
        boost::beast::http::response_parser<boost::beast::http::string_body> parser;
        boost::beast::flat_buffer buffer;
        boost::system::error_code failure;
        bool waiting = true;
        boost::beast::http::async_read(socket, buffer, parser,
                                       [&](boost::system::error_code ended, std::size_t) {
                                           failure = ended;
                                           waiting = false;
                                       });
        const auto until = monotonic_now() + time_ms{2000};
        while (waiting && monotonic_now() < until) {
            context.run_one_for(std::chrono::milliseconds(10));
            deadlines.tick(monotonic_now());
        }
        if (waiting) socket.close();
        while (waiting)
            context.run_one();
        return !failure;
    }

    // Ends all connections first, because handlers that still wait use the other members.
    ~server_fixture() {
        server.stop_accepting();
        held.cancel();
        while (server.connections() > 0) {
            server.close_idle();
            context.run_one_for(std::chrono::milliseconds(10));
        }
        context.poll();
    }
    server_fixture(const server_fixture&) = delete;
    server_fixture& operator=(const server_fixture&) = delete;
    server_fixture(server_fixture&&) = delete;
    server_fixture& operator=(server_fixture&&) = delete;

    std::shared_ptr<tcp::socket> connect() {
        auto socket = std::make_shared<tcp::socket>(context);
        socket->connect(address);
        return socket;
    }

    void send(tcp::socket& socket, std::string_view target) {
        const auto text = fmt::format("GET {} HTTP/1.1\r\nHost: h\r\n\r\n", target);
        asio::write(socket, asio::buffer(text));
    }

    /// Runs the server until a caller has received bytes, its connection has ended, or a second has passed.
    /// @return First line of the answer, "closed" or "silent".
    std::string receive(tcp::socket& socket) {
        std::string text;
        std::array<char, 512> buffer{};
        bool waiting = true;
        const auto until = monotonic_now() + time_ms{1000};
        socket.async_read_some(asio::buffer(buffer),
                               [&](boost::system::error_code failure, std::size_t count) {
                                   waiting = false;
                                   text = failure ? "closed" : std::string(buffer.data(), count);
                               });
        while (waiting && monotonic_now() < until) {
            context.run_one_for(std::chrono::milliseconds(10));
            deadlines.tick(monotonic_now());
        }
        if (waiting) {
            socket.cancel();
            while (waiting)
                context.run_one();
            return "silent";
        }
        return text.substr(0, text.find("\r\n"));
    }

    std::string ask(tcp::socket& socket, std::string_view target) {
        send(socket, target);
        return receive(socket);
    }

    asio::io_context context;
    deadline_queue deadlines;
    caller_bounds bounds;
    asio::steady_timer held;
    caller_server server;
    tcp::endpoint address;
};

} // namespace

TEST_CASE("caller server: idle connections keep new callers out") {
    constexpr std::size_t max_connections = 20;
    server_fixture fixture(max_connections);
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    for (std::size_t i = 0; i < max_connections; ++i) {
        sockets.push_back(fixture.connect());
        REQUIRE(fixture.ask(*sockets.back(), "/x") == "HTTP/1.1 200 OK");
    }
    // The first connection is used again and the third one waits for an answer, so the second one is the
    // longest idle.
    REQUIRE(fixture.ask(*sockets[0], "/x") == "HTTP/1.1 200 OK");
    fixture.send(*sockets[2], "/slow");
    auto late = fixture.connect();
    CHECK(fixture.ask(*late, "/x") == "HTTP/1.1 200 OK");
    CHECK(fixture.receive(*sockets[1]) == "closed");
    CHECK(fixture.ask(*sockets[0], "/x") == "HTTP/1.1 200 OK");
    CHECK(fixture.server.connections() == max_connections);
    auto later = fixture.connect();
    CHECK(fixture.ask(*later, "/x") == "HTTP/1.1 200 OK");
    fixture.held.cancel();
    CHECK(fixture.receive(*sockets[2]) == "HTTP/1.1 200 OK");
    CHECK(fixture.server.evicted_connections() == 2);
}

TEST_CASE("caller server: a connection with a request is closed to make room for another") {
    server_fixture fixture(2);
    auto first = fixture.connect();
    auto second = fixture.connect();
    fixture.send(*first, "/slow");
    fixture.send(*second, "/slow");
    auto third = fixture.connect();
    CHECK(fixture.ask(*third, "/x") == "silent");
    CHECK(fixture.server.evicted_connections() == 0);
    fixture.held.cancel();
    CHECK(fixture.receive(*first) == "HTTP/1.1 200 OK");
    CHECK(fixture.receive(*second) == "HTTP/1.1 200 OK");
    CHECK(fixture.receive(*third) == "HTTP/1.1 200 OK");
}

TEST_CASE("caller server: an answer that breaks off looks complete to the caller, by its framing") {
    for (const std::string_view request :
         {"GET /cut/length HTTP/1.1\r\nHost: h\r\n\r\n", "GET /cut/chunks HTTP/1.1\r\nHost: h\r\n\r\n",
          "GET /cut/length HTTP/1.0\r\n\r\n", "GET /cut/close HTTP/1.0\r\n\r\n"}) {
        CAPTURE(request);
        server_fixture fixture(4);
        auto socket = fixture.connect();
        asio::write(*socket, asio::buffer(request.data(), request.size()));
        CHECK_FALSE(fixture.receive_whole(*socket));
    }
}

// Whatever throws while a request is handled, only its connection ends. Nothing may refer to the request
// after that.
TEST_CASE(
    "caller server: an exception keeps a connection open without an answer, or others from being served") {
    for (const std::string target : {"/throw", "/throw/streaming", "/throw/slow"}) {
        CAPTURE(target);
        server_fixture fixture(4);
        for (int i = 0; i < 8; ++i) {
            auto socket = fixture.connect();
            fixture.send(*socket, target);
            if (target == "/throw/slow") {
                fixture.receive(*socket);
                fixture.held.cancel();
            }
            CHECK_FALSE(fixture.receive_whole(*socket));
            CHECK(fixture.server.connections() == 0);
        }
        auto other = fixture.connect();
        CHECK(fixture.ask(*other, "/x") == "HTTP/1.1 200 OK");
    }
}

TEST_CASE(
    "caller server: a field of about 64 kB ends the process or keeps its connection without an answer") {
    const std::string field = "X-Filler: " + std::string(66'000, 'x') + "\r\n\r\n";
    for (const std::string& text :
         {"GET /x HTTP/1.1\r\nHost: h\r\n" + field,
          "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + field}) {
        server_fixture fixture(4);
        fixture.bounds.header_bytes = 1'000'000;
        auto socket = fixture.connect();
        asio::async_write(*socket, asio::buffer(text), asio::detached);
        CHECK(fixture.receive(*socket) == "HTTP/1.1 431 Request Header Fields Too Large");
        auto other = fixture.connect();
        CHECK(fixture.ask(*other, "/x") == "HTTP/1.1 200 OK");
    }
}

// Guards against a caller that takes the memory of the process before its key is checked.
TEST_CASE("caller server: a chunk extension or a trailer without end is buffered") {
    constexpr std::string_view head = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    // The server reads this much at most before it answers and gives up on the connection.
    constexpr std::size_t max_accepted_bytes = std::size_t{8} * 1024 * 1024;
    for (const std::string_view begin : {"5;x=", "5\r\nhello\r\n0\r\nX-Trailer: "}) {
        CAPTURE(begin);
        server_fixture fixture(4);
        auto socket = fixture.connect();
        asio::write(*socket, asio::buffer(std::string(head) + std::string(begin)));
        socket->non_blocking(true);
        const std::string piece(4096, 'a');
        boost::system::error_code failure;
        std::string received;
        std::size_t accepted = 0;
        const auto until = monotonic_now() + time_ms{3000};
        while (accepted < max_accepted_bytes && monotonic_now() < until) {
            accepted += socket->write_some(asio::buffer(piece), failure);
            if (failure && failure != asio::error::would_block) break;
            fixture.context.poll();
            fixture.deadlines.tick(monotonic_now());
            std::array<char, 512> buffer{};
            boost::system::error_code ignored;
            received.append(buffer.data(), socket->read_some(asio::buffer(buffer), ignored));
        }
        CHECK(received.starts_with("HTTP/1.1 431 "));
        CHECK(accepted < max_accepted_bytes);
    }
}

// Guards against many bodies that are left open just before their end (issue 46).
TEST_CASE("caller server: unfinished bodies hold more memory than the budget, or others are not served") {
    constexpr std::size_t budget = std::size_t{1024} * 1024;
    constexpr std::size_t body_bytes = 100'000;
    server_fixture fixture(100);
    fixture.server.memory().set_budget(budget);
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    for (int i = 0; i < 40; ++i) {
        sockets.push_back(fixture.connect());
        const auto head =
            fmt::format("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", body_bytes);
        asio::write(*sockets.back(), asio::buffer(head + std::string(body_bytes - 1, 'x')));
        for (int turn = 0; turn < 30; ++turn)
            fixture.context.run_one_for(std::chrono::milliseconds(1));
        CHECK(fixture.server.memory().held() <= budget);
    }
    CHECK(fixture.server.memory().count(memory_cause::unfinished_request) > 0);
    auto ordinary = fixture.connect();
    CHECK(fixture.ask(*ordinary, "/x") == "HTTP/1.1 200 OK");
    int refused = 0;
    for (const auto& socket : sockets) {
        if (socket->available() > 0 && fixture.receive(*socket) == "HTTP/1.1 503 Service Unavailable")
            ++refused;
    }
    CHECK(refused > 0);
}

TEST_CASE("caller server: a body within the limits is refused though no other is there") {
    constexpr std::size_t body_bytes = 600'000;
    server_fixture fixture(4);
    fixture.server.memory().set_budget(std::size_t{2} * 1024 * 1024);
    auto socket = fixture.connect();
    const auto head = fmt::format("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", body_bytes);
    const std::string text = head + std::string(body_bytes, 'x');
    bool written = false;
    asio::async_write(*socket, asio::buffer(text),
                      [&](boost::system::error_code, std::size_t) { written = true; });
    CHECK(fixture.receive(*socket) == "HTTP/1.1 200 OK");
    socket->close();
    while (!written)
        fixture.context.run_one();
}

TEST_CASE("caller server: a body that does not end while its caller waits keeps its connection") {
    server_fixture fixture(4);
    fixture.server.set_patience([](const boost::beast::http::fields&) { return time_ms{-990}; });
    auto socket = fixture.connect();
    asio::write(*socket,
                asio::buffer(std::string("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")));
    CHECK(fixture.receive(*socket) == "closed");
}

TEST_CASE("caller server: unfinished bodies keep new callers out at the limit of connections") {
    server_fixture fixture(3);
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    for (int i = 0; i < 3; ++i) {
        sockets.push_back(fixture.connect());
        asio::write(*sockets.back(),
                    asio::buffer(std::string("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")));
    }
    auto late = fixture.connect();
    fixture.send(*late, "/x");
    std::string answer = "silent";
    for (int i = 0; i < 5 && answer == "silent"; ++i)
        answer = fixture.receive(*late);
    CHECK(answer == "HTTP/1.1 200 OK");
    CHECK(fixture.server.memory().count(memory_cause::no_connection_left) == 1);
}

TEST_CASE("caller server: the body of an announced length over the limit is read before it is refused") {
    server_fixture fixture(4);
    auto socket = fixture.connect();
    asio::write(*socket, asio::buffer(std::string(
                             "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n")));
    CHECK(fixture.receive(*socket) == "HTTP/1.1 413 Payload Too Large");
}
