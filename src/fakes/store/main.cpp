#include "fakes/store/store_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <exception>

namespace {

namespace asio = boost::asio;

// Stops the service in order on SIGTERM or SIGINT.
asio::awaitable<void> stop_on_signal(asio::io_context& loop, lacewing::fakes::store_service& service) {
    asio::signal_set signals(loop, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::use_awaitable);
    co_await service.stop();
    loop.stop();
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"In-memory stand-in for the platform's object store"};
    std::string listen = "127.0.0.1:0";
    std::uint64_t seed = 1;
    app.add_option("--listen", listen, "ip:port; port 0 chooses a free port")->capture_default_str();
    app.add_option("--seed", seed, "seed of the injected faults")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    try {
        asio::io_context loop(1);
        lacewing::fakes::store_service service(loop.get_executor(), listen, seed);
        asio::co_spawn(loop, stop_on_signal(loop, service), asio::detached);
        fmt::print("listening {}\n", service.address());
        std::fflush(stdout);
        loop.run();
    } catch (const std::exception& problem) {
        fmt::print(stderr, "fake_store: {}\n", problem.what());
        return 1;
    }
    return 0;
}
