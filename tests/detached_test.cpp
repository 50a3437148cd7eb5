#include "transport/detached.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <stdexcept>

using namespace lacewing;
namespace asio = boost::asio;

TEST_CASE("detached: an exception ends a coroutine that is to run as long as the process") {
    asio::io_context context;
    int starts = 0;
    spawn_lasting(context, "test", [&]() -> asio::awaitable<void> {
        if (++starts < 3) throw std::runtime_error("a test");
        co_return;
    });
    context.run();
    CHECK(starts == 3);
}

TEST_CASE("detached: an exception of a handler ends the event loop") {
    asio::io_context context;
    int handled = 0;
    asio::post(context, [] { throw std::length_error("a test"); });
    asio::post(context, [] { throw 7; });
    asio::post(context, [&] { ++handled; });
    run_event_loop(context);
    CHECK(handled == 1);
    CHECK(describe(std::make_exception_ptr(std::runtime_error("reason"))) == "reason");
}
