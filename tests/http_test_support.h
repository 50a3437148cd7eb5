#pragma once

#include <utility>

#include "state/time_ms.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <exception>
#include <functional>
#include <stdexcept>
#include <string>

namespace lacewing::testing {

/// @brief Runs the loop until the coroutine ends.
/// @throws std::runtime_error after 20 s; rethrows any exception of the coroutine.
template <class Task>
void run_until_done(boost::asio::io_context& loop, Task task) {
    bool done = false;
    std::exception_ptr failure;
    boost::asio::co_spawn(loop, std::move(task), [&](const std::exception_ptr& thrown) {
        done = true;
        failure = thrown;
    });
    loop.restart();
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done) {
        if (std::chrono::steady_clock::now() > deadline)
            throw std::runtime_error("the coroutine did not end");
        loop.run_one_for(std::chrono::milliseconds(100));
    }
    if (failure) std::rethrow_exception(failure);
}

/// @brief Waits until the condition holds, checking it every millisecond.
inline boost::asio::awaitable<void> wait_until(boost::asio::io_context& loop,
                                               std::function<bool()> condition) {
    boost::asio::steady_timer timer(loop);
    while (!condition()) {
        timer.expires_after(std::chrono::milliseconds(1));
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

/// @brief Sends raw bytes and returns everything received until the server closes the connection.
boost::asio::awaitable<std::string> raw_exchange(boost::asio::io_context& loop, std::string address,
                                                 std::string bytes);

} // namespace lacewing::testing
