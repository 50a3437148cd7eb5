// A request that was given up must not reach its endpoint afterwards, from the buffers of the kernel.
#include "gateway/endpoint_attempt.h"
#include "platform/dialect.h"
#include "transport/http_client.h"
#include "transport/monotonic_clock.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>
#include <functional>
#include <memory>
#include <string>

using namespace lacewing;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Fits into the buffers of both kernels, but not into that of the receiver alone.
constexpr std::size_t body_bytes = std::size_t{128} * 1024;
constexpr time_ms patience{200};

/// Endpoint that accepts a connection and reads nothing until it is asked to, as behind a network partition.
struct unread_endpoint {
    unread_endpoint() : acceptor(context) {
        const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
        acceptor.open(any.protocol());
        acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
        acceptor.bind(any);
        acceptor.listen();
    }

    [[nodiscard]] std::string address() const {
        return fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
    }

    void accept() { socket.emplace(acceptor.accept()); }

    /// Reads until the connection ends.
    /// @return Bytes of the body of the request; nothing when no connection was made.
    std::size_t read_body() {
        std::string received;
        std::array<char, 65536> piece{};
        boost::system::error_code failure;
        while (!failure)
            received.append(piece.data(), socket->read_some(asio::buffer(piece), failure));
        const auto head = received.find("\r\n\r\n");
        return head == std::string::npos ? 0 : received.size() - head - 4;
    }

    asio::io_context context;
    tcp::acceptor acceptor;
    std::optional<tcp::socket> socket;
};

/// A process that sends a request to an endpoint.
struct sender {
    sender() : pool(context.get_executor()) {}

    void start_attempt(const std::string& address) {
        attempt.emplace(pool, deadlines, platform::dialect, memory);
        attempt_message message;
        message.head = fmt::format("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", body_bytes);
        message.body = std::make_shared<const std::string>(body_bytes, 'b');
        message.attempt_id = "a";
        const auto body = [this, address, message]() -> asio::awaitable<void> {
            answer_sink sink;
            result = co_await attempt->run(address, message, sink);
            done = true;
        };
        asio::co_spawn(context, body, asio::detached);
        run_for(patience);
    }

    void run_for(time_ms span) {
        const auto end = monotonic_now() + span;
        while (monotonic_now() < end)
            context.run_one_for(std::chrono::milliseconds(10));
    }

    asio::io_context context;
    deadline_queue deadlines;
    answer_memory memory{std::size_t{1024} * 1024};
    endpoint_connection_pool pool;
    std::optional<endpoint_attempt> attempt;
    endpoint_result result;
    bool done = false;
};

} // namespace

TEST_CASE("late request: an endpoint gets a request after its deadline, or after its caller has left") {
    unread_endpoint endpoint;
    sender process;
    process.start_attempt(endpoint.address());
    endpoint.accept();
    process.attempt->abort();
    process.run_for(patience);
    CHECK(process.done);
    CHECK(process.result.outcome == attempt_end::abandoned);
    CHECK(endpoint.read_body() < body_bytes);
}

TEST_CASE("late request: an endpoint gets a request after the process that sent it has ended") {
    unread_endpoint endpoint;
    auto process = std::make_unique<sender>();
    process->start_attempt(endpoint.address());
    endpoint.accept();
    process.reset();
    CHECK(endpoint.read_body() < body_bytes);
}

TEST_CASE("late request: an endpoint gets the rest of a request after its answer was rejected") {
    unread_endpoint endpoint;
    sender process;
    process.start_attempt(endpoint.address());
    endpoint.accept();
    asio::write(*endpoint.socket, asio::buffer(std::string("no answer\r\n\r\n")));
    process.run_for(patience);
    CHECK(process.done);
    CHECK(process.result.outcome == attempt_end::broken);
    CHECK(endpoint.read_body() < body_bytes);
}

TEST_CASE("late request: a write to the store that was given up takes effect afterwards") {
    unread_endpoint store;
    sender process;
    http_client client(process.context.get_executor(), store.address());
    bool failed = false;
    const auto body = [&]() -> asio::awaitable<void> {
        try {
            co_await client.request("POST", "/x", {}, std::string(body_bytes, 'b'), patience);
        } catch (const http_error&) {
            failed = true;
        }
    };
    asio::co_spawn(process.context, body, asio::detached);
    process.run_for(patience);
    store.accept();
    process.run_for(patience);
    CHECK(failed);
    CHECK(store.read_body() < body_bytes);
}
