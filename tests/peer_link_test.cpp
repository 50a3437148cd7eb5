#include "transport/monotonic_clock.h"
#include "transport/peer_link.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

using namespace lacewing;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Runs the context until the condition holds or two seconds have passed; returns whether it holds.
template <class Condition>
bool run_until(asio::io_context& context, Condition condition) {
    const auto deadline = monotonic_now() + time_ms{2000};
    while (!condition() && monotonic_now() < deadline) {
        context.restart();
        context.run_for(std::chrono::milliseconds(5));
    }
    return condition();
}

std::string address_of(const tcp::acceptor& acceptor) {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

void ignore_message(std::string_view /*message*/) {}

} // namespace

TEST_CASE("peer messages arrive complete and in order over one connection, which closes when idle") {
    asio::io_context context;
    std::vector<std::string> received;
    peer_link_limits limits;
    limits.idle_timeout = {50};
    peer_link receiver(context, limits, 1, [&](std::string_view text) { received.emplace_back(text); });
    peer_link sender(context, limits, 2, ignore_message);
    const auto address = receiver.listen("127.0.0.1:0");
    const std::string large(limits.max_frame_bytes, 'x');
    CHECK(sender.send(address, "first"));
    CHECK(sender.send(address, large));
    CHECK(sender.send(address, ""));
    CHECK_FALSE(sender.send(address, large + "x"));
    CHECK_FALSE(sender.send("nowhere", "x"));
    REQUIRE(run_until(context, [&] { return received.size() == 3; }));
    CHECK(received == std::vector<std::string>{"first", large, ""});
    CHECK(sender.counters().bytes_sent == 5 + large.size() + 12);
    CHECK(receiver.counters().bytes_received == sender.counters().bytes_sent);
    CHECK(run_until(context, [&] { return sender.outgoing_peer_count() == 0; }));
    CHECK(sender.send(address, "again"));
    CHECK(run_until(context, [&] { return received.size() == 4; }));
}

TEST_CASE("a peer that does not read never blocks the sender, which drops the oldest messages") {
    asio::io_context context;
    peer_link_limits limits;
    limits.max_queued_messages = 4;
    limits.stall_timeout = {100};
    // The kernel completes the handshake, but nothing accepts or reads the connection.
    tcp::acceptor unread_acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    std::vector<std::string> received;
    peer_link healthy(context, limits, 1, [&](std::string_view text) { received.emplace_back(text); });
    const auto healthy_address = healthy.listen("127.0.0.1:0");
    peer_link sender(context, limits, 2, ignore_message);
    const auto before = monotonic_now();
    for (int i = 0; i < 100; ++i) {
        CHECK(sender.send(address_of(unread_acceptor), std::string(limits.max_frame_bytes, 'x')));
    }
    CHECK(monotonic_now() - before < time_ms{1000});
    CHECK(sender.counters().messages_dropped >= 96);
    CHECK(sender.send(healthy_address, "to a healthy peer"));
    CHECK(run_until(context, [&] { return received.size() == 1; }));
    // The stalled write times out and ends the connection instead of holding its buffer forever.
    CHECK(run_until(context, [&] { return sender.counters().messages_dropped >= 97; }));
}

TEST_CASE("a frame that is too long, cut short or refused by the handler closes only its own connection") {
    asio::io_context context;
    std::vector<std::string> received;
    peer_link_limits limits;
    limits.max_frame_bytes = 1000;
    limits.stall_timeout = {50};
    peer_link receiver(context, limits, 1, [&](std::string_view text) {
        if (text == "bad") {
            throw std::runtime_error("bad");
        }
        received.emplace_back(text);
    });
    const auto address = receiver.listen("127.0.0.1:0");
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    for (const std::string& bytes : {std::string("\xff\xff\xff\xff", 4), std::string("\0\0\0\x05xx", 6),
                                     std::string("\0\0\0\x03"
                                                 "bad",
                                                 7)}) {
        tcp::socket raw(context);
        raw.connect({asio::ip::make_address("127.0.0.1"), port});
        asio::write(raw, asio::buffer(bytes));
        bool closed = false;
        char byte = 0;
        raw.async_read_some(asio::buffer(&byte, 1),
                            [&](boost::system::error_code failure, std::size_t) { closed = bool(failure); });
        CHECK(run_until(context, [&] { return closed; }));
    }
    peer_link sender(context, limits, 2, ignore_message);
    sender.send(address, "good");
    CHECK(run_until(context, [&] { return received.size() == 1; }));
}

TEST_CASE("the sender reconnects by itself to a peer that restarts on the same address") {
    asio::io_context context;
    std::vector<std::string> received;
    const auto record_message = [&](std::string_view text) { received.emplace_back(text); };
    peer_link_limits limits;
    limits.first_reconnect_delay = {20};
    peer_link sender(context, limits, 2, ignore_message);
    auto receiver = std::make_unique<peer_link>(context, limits, 1, record_message);
    const auto address = receiver->listen("127.0.0.1:0");
    sender.send(address, "one");
    REQUIRE(run_until(context, [&] { return received.size() == 1; }));
    receiver.reset();
    run_until(context, [&] {
        sender.send(address, "lost");
        return sender.counters().connect_failures > 0;
    });
    CHECK(sender.counters().connect_failures > 0);
    receiver = std::make_unique<peer_link>(context, limits, 1, record_message);
    receiver->listen(address);
    sender.send(address, "two");
    CHECK(run_until(context, [&] { return !received.empty() && received.back() == "two"; }));
}
