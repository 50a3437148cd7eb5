#include "transport/detached.h"

#include "transport/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>

namespace lacewing {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds restart_pause{100};

} // namespace

std::string describe(const std::exception_ptr& problem) {
    try {
        std::rethrow_exception(problem);
    } catch (const std::exception& reason) {
        return reason.what();
    } catch (...) {
        return "an exception of another type";
    }
}

void log_exception::operator()(const std::exception_ptr& problem) const {
    if (problem) log(log_level::error, "coroutine_failed", {{"name", name}, {"reason", describe(problem)}});
}

namespace {

// Starts the coroutine, and again after each exception. The function outlives the coroutine, which may refer
// to its captures.
void start_lasting(asio::io_context& context, const std::string& name,
                   const std::shared_ptr<const std::function<asio::awaitable<void>()>>& make) {
    asio::co_spawn(context, (*make)(), [&context, name, make](const std::exception_ptr& problem) {
        if (!problem) return;
        log_exception{name}(problem);
        const auto pause = std::make_shared<asio::steady_timer>(context, restart_pause);
        pause->async_wait([&context, name, make, pause](boost::system::error_code failure) {
            if (!failure) start_lasting(context, name, make);
        });
    });
}

} // namespace

void spawn_lasting(asio::io_context& context, const std::string& name,
                   std::function<asio::awaitable<void>()> make) {
    start_lasting(context, name,
                  std::make_shared<const std::function<asio::awaitable<void>()>>(std::move(make)));
}

void run_event_loop(asio::io_context& context) {
    for (;;) {
        try {
            context.run();
            return;
        } catch (...) {
            log(log_level::error, "handler_failed", {{"reason", describe(std::current_exception())}});
        }
    }
}

} // namespace lacewing
