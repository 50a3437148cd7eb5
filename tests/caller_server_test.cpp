#include "gateway/caller_server.h"
#include "transport/monotonic_clock.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

using namespace lacewing;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Server whose requests for /slow stay unanswered until release() is called; callers are in the same thread.
struct server_fixture {
    explicit server_fixture(std::size_t most)
        : held(context, std::chrono::steady_clock::time_point::max()),
          server(
              context, times, [] { return caller_bounds{}; },
              [this](caller_request& request, const answer_sink&) -> asio::awaitable<caller_answer> {
                  if (request.target == "/slow") {
                      boost::system::error_code woken;
                      co_await held.async_wait(asio::redirect_error(asio::use_awaitable, woken));
                  }
                  caller_answer made;
                  made.status = 200;
                  made.body = request.target;
                  co_return made;
              }) {
        tcp::acceptor probe(context, {asio::ip::make_address("127.0.0.1"), 0});
        address = probe.local_endpoint();
        probe.close();
        server.listen(fmt::format("127.0.0.1:{}", address.port()), most);
    }

    // The handlers that still wait use the other members.
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

    /// Runs the server until a caller has received a whole answer, its connection has ended, or a second has
    /// passed.
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
            times.tick(monotonic_now());
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
    deadlines times;
    asio::steady_timer held;
    caller_server server;
    tcp::endpoint address;
};

} // namespace

TEST_CASE("caller server: idle connections keep new callers out") {
    constexpr std::size_t most = 20;
    server_fixture fixture(most);
    std::vector<std::shared_ptr<tcp::socket>> all;
    for (std::size_t i = 0; i < most; ++i) {
        all.push_back(fixture.connect());
        REQUIRE(fixture.ask(*all.back(), "/x") == "HTTP/1.1 200 OK");
    }
    // The first connection is used again and the third one waits for an answer, so the second one is the
    // longest idle.
    REQUIRE(fixture.ask(*all[0], "/x") == "HTTP/1.1 200 OK");
    fixture.send(*all[2], "/slow");
    auto late = fixture.connect();
    CHECK(fixture.ask(*late, "/x") == "HTTP/1.1 200 OK");
    CHECK(fixture.receive(*all[1]) == "closed");
    CHECK(fixture.ask(*all[0], "/x") == "HTTP/1.1 200 OK");
    CHECK(fixture.server.connections() == most);
    auto later = fixture.connect();
    CHECK(fixture.ask(*later, "/x") == "HTTP/1.1 200 OK");
    fixture.held.cancel();
    CHECK(fixture.receive(*all[2]) == "HTTP/1.1 200 OK");
    CHECK(fixture.server.closed_for_others() == 2);
}

TEST_CASE("caller server: a connection with a request is closed to make room for another") {
    server_fixture fixture(2);
    auto first = fixture.connect();
    auto second = fixture.connect();
    fixture.send(*first, "/slow");
    fixture.send(*second, "/slow");
    auto third = fixture.connect();
    CHECK(fixture.ask(*third, "/x") == "silent");
    CHECK(fixture.server.closed_for_others() == 0);
    fixture.held.cancel();
    CHECK(fixture.receive(*first) == "HTTP/1.1 200 OK");
    CHECK(fixture.receive(*second) == "HTTP/1.1 200 OK");
    CHECK(fixture.receive(*third) == "HTTP/1.1 200 OK");
}
