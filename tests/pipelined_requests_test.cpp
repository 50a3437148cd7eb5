// Guards against TWICE and MIXED on connections with several requests in flight (review/1): the bytes of one
// request became those of another.
#include "gateway/caller_server.h"
#include "transport/monotonic_clock.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cstdlib>
#include <random>
#include <string>
#include <vector>

using namespace lacewing;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::string_view id_header = "X-Id";

/// A request as its caller sends it, or as the server passes it to its handler.
struct plain_request {
    std::string id;
    std::string method;
    std::string body;
    bool operator==(const plain_request&) const = default;
};

struct wire_request {
    plain_request request;
    std::string text;
};

/// Random requests of one seed.
class request_source {
public:
    explicit request_source(std::uint64_t seed) : random_(seed) {}

    std::size_t up_to(std::size_t limit) {
        return std::uniform_int_distribution<std::size_t>(0, limit)(random_);
    }

    wire_request next() {
        wire_request made;
        made.request.id = fmt::format("r-{}-{}", ++count_, up_to(9'999'999));
        const auto framing = up_to(3);
        made.request.method = framing == 0 ? "GET" : "POST";
        made.text = fmt::format("{} /x HTTP/1.1\r\nHost: h\r\n{}: {}\r\n", made.request.method, id_header,
                                made.request.id);
        if (framing == 0) {
            made.text += "\r\n";
            return made;
        }
        const auto size = up_to(9) == 0 ? up_to(60'000) : up_to(3000);
        for (std::size_t i = 0; i < size; ++i)
            made.request.body += static_cast<char>('a' + up_to(25));
        if (framing == 1) {
            made.text += chunked_body(made.request.body);
            return made;
        }
        if (framing == 2) made.text += "Expect: 100-continue\r\n";
        made.text += fmt::format("Content-Length: {}\r\n\r\n{}", size, made.request.body);
        return made;
    }

    /// Length of the next piece to write.
    std::size_t piece(std::size_t left) {
        const std::size_t most = up_to(3) == 0 ? 20'000 : 700;
        return std::min(left, 1 + up_to(most));
    }

private:
    std::string chunked_body(std::string_view body) {
        std::string text = "Transfer-Encoding: chunked\r\n\r\n";
        while (!body.empty()) {
            const auto size = std::min(body.size(), 1 + up_to(900));
            text += fmt::format("{:x}\r\n{}\r\n", size, body.substr(0, size));
            body.remove_prefix(size);
        }
        return text + "0\r\n\r\n";
    }

    std::mt19937_64 random_;
    int count_ = 0;
};

std::string answer_body(const plain_request& request) {
    return fmt::format("{} {} {}", request.id, request.method, std::hash<std::string>{}(request.body));
}

/// Server whose handler records each request and answers it after a random time.
struct recording_server {
    explicit recording_server(std::uint64_t seed)
        : delays(seed), server(
                            context, deadlines, [] { return caller_bounds{}; },
                            [this](caller_request& request, const answer_sink&) { return handle(request); }) {
        tcp::acceptor probe(context, {asio::ip::make_address("127.0.0.1"), 0});
        address = probe.local_endpoint();
        probe.close();
        server.listen(fmt::format("127.0.0.1:{}", address.port()), 10);
    }
    ~recording_server() {
        server.stop_accepting();
        const auto until = monotonic_now() + time_ms{3000};
        while (server.connections() > 0 && monotonic_now() < until) {
            server.close_idle();
            run();
        }
        context.poll();
    }
    recording_server(const recording_server&) = delete;
    recording_server& operator=(const recording_server&) = delete;
    recording_server(recording_server&&) = delete;
    recording_server& operator=(recording_server&&) = delete;

    asio::awaitable<caller_answer> handle(caller_request& request) {
        plain_request seen{std::string(request.fields[std::string(id_header)]), request.method,
                           *request.body};
        while (request.remaining_body) {
            const auto piece = co_await request.remaining_body();
            if (!piece || piece->empty()) break;
            seen.body += *piece;
        }
        handled.push_back(seen);
        const auto delay = delays.up_to(4);
        if (delay > 0) {
            asio::steady_timer timer(context, std::chrono::milliseconds(delay - 1));
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        caller_answer answer;
        answer.status = 200;
        answer.body = answer_body(seen);
        co_return answer;
    }

    void run() {
        context.run_one_for(std::chrono::milliseconds(1));
        context.poll();
        deadlines.tick(monotonic_now());
    }

    asio::io_context context;
    deadline_queue deadlines;
    request_source delays;
    caller_server server;
    tcp::endpoint address;
    std::vector<plain_request> handled;
};

/// Takes the whole answers from the begin of the received bytes.
void take_answers(std::string& received, std::vector<std::string>& answers) {
    constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    constexpr std::string_view length_header = "Content-Length: ";
    for (;;) {
        if (received.starts_with(interim)) received.erase(0, interim.size());
        const auto head_end = received.find("\r\n\r\n");
        if (head_end == std::string::npos) return;
        const auto length_at = received.find(length_header);
        REQUIRE(length_at < head_end);
        const auto length = std::stoul(received.substr(length_at + length_header.size()));
        if (received.size() < head_end + 4 + length) return;
        answers.push_back(received.substr(head_end + 4, length));
        received.erase(0, head_end + 4 + length);
    }
}

/// One connection that sends random requests without waiting for the answers.
/// @param leaves Whether the caller closes the connection in the middle.
void run_stream(std::uint64_t seed, bool leaves) {
    recording_server server(seed);
    request_source source(seed + 1);
    std::vector<plain_request> sent;
    std::string text;
    const auto depth = 1 + source.up_to(15);
    for (std::size_t i = 0; i < depth; ++i) {
        auto next = source.next();
        sent.push_back(next.request);
        text += next.text;
    }
    tcp::socket socket(server.context);
    socket.connect(server.address);
    socket.non_blocking(true);
    std::string received;
    std::vector<std::string> answers;
    boost::system::error_code failure;
    const auto receive = [&] {
        std::array<char, 4096> buffer{};
        while (const auto count = socket.read_some(asio::buffer(buffer), failure))
            received.append(buffer.data(), count);
        take_answers(received, answers);
    };
    const std::size_t end = leaves ? source.up_to(text.size()) : text.size();
    std::size_t written = 0;
    const auto until = monotonic_now() + time_ms{10'000};
    while (written < end && monotonic_now() < until) {
        const std::string_view piece = std::string_view(text).substr(written, source.piece(end - written));
        const auto count = socket.write_some(asio::buffer(piece.data(), piece.size()), failure);
        written += count;
        for (auto turns = source.up_to(3) * source.up_to(2); turns > 0; --turns)
            server.run();
        if (count == 0) server.run();
        receive();
    }
    while (!leaves && answers.size() < sent.size() && monotonic_now() < until) {
        server.run();
        receive();
    }
    socket.close();
    server.run();
    CAPTURE(seed);
    REQUIRE(server.handled.size() <= sent.size());
    for (std::size_t i = 0; i < server.handled.size(); ++i) {
        CAPTURE(i);
        REQUIRE(server.handled[i] == sent[i]);
    }
    REQUIRE(answers.size() <= server.handled.size());
    for (std::size_t i = 0; i < answers.size(); ++i)
        REQUIRE(answers[i] == answer_body(sent[i]));
    if (!leaves) REQUIRE(answers.size() == sent.size());
}

// Value of a variable of the environment, for long runs and for single seeds.
std::uint64_t number_from_environment(const char* name, std::uint64_t default_value) {
    const char* text = std::getenv(name);
    return text != nullptr ? std::stoull(text) : default_value;
}

} // namespace

TEST_CASE("pipelined requests: a request runs twice or with foreign bytes, or its answer goes to another") {
    // Seed 1635: the body arrived while "100 Continue" was written, and the server waited for more bytes.
    run_stream(1635, false);
    const auto first = number_from_environment("LACEWING_FIRST_STREAM", 1);
    const auto count = number_from_environment("LACEWING_STREAMS", 300);
    for (std::uint64_t seed = first; seed < first + count; ++seed)
        run_stream(seed, seed % 4 == 0);
    MESSAGE("seeds ", first, " to ", first + count - 1);
}
