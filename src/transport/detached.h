#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <functional>
#include <string>

namespace lacewing {

/// @brief Text of an exception, for logs.
std::string describe(const std::exception_ptr& problem);

/// @brief Completion handler for a coroutine that nobody waits for: logs the exception that has ended it.
struct log_exception {
    /// Name of the coroutine, for the log line.
    std::string name;

    void operator()(const std::exception_ptr& problem) const;
};

/// @brief Starts a coroutine that is to run as long as the process. If an exception ends it, it is logged and
/// the coroutine is started anew after a pause.
/// @param name Name of the coroutine, for the log line.
/// @param make Makes the coroutine.
void spawn_lasting(boost::asio::io_context& context, const std::string& name,
                   std::function<boost::asio::awaitable<void>()> make);

/// @brief Runs an event loop until it is stopped or has no more work. An exception that a handler throws is
/// logged and ends the operation of that handler only.
void run_event_loop(boost::asio::io_context& context);

} // namespace lacewing
