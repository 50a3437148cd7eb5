#include "fakes/endpoint/endpoint_service.h"

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
asio::awaitable<void> stop_on_signal(asio::io_context& loop, lacewing::fakes::endpoint_service& service) {
    asio::signal_set signals(loop, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::use_awaitable);
    co_await service.stop();
    loop.stop();
}

void run(const std::vector<std::string>& listen, const std::string& admin,
         const lacewing::fakes::endpoint_behaviour& behaviour, std::uint64_t seed) {
    asio::io_context loop(1);
    lacewing::fakes::endpoint_service service(loop.get_executor(), listen, admin, behaviour, seed);
    asio::co_spawn(loop, stop_on_signal(loop, service), asio::detached);
    for (const auto& address : service.addresses()) {
        fmt::print("listening {}\n", address);
    }
    fmt::print("admin {}\n", service.admin_address());
    std::fflush(stdout);
    loop.run();
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Stand-in for endpoints: prints one 'listening ADDRESS' line each, then 'admin ADDRESS'"};
    std::vector<std::string> listen;
    std::string admin = "127.0.0.1:0";
    std::string host = "127.0.0.1";
    int count = 0;
    int first_port = 0;
    std::uint64_t seed = 1;
    lacewing::fakes::endpoint_behaviour behaviour;
    app.add_option("--listen", listen, "ip:port of one endpoint; repeatable");
    app.add_option("--count", count, "number of endpoints on consecutive ports");
    app.add_option("--first-port", first_port, "first port for --count; 0 chooses free ports");
    app.add_option("--host", host, "address for --count")->capture_default_str();
    app.add_option("--admin", admin, "ip:port of the admin interface")->capture_default_str();
    app.add_option("--seed", seed, "seed of the injected faults")->capture_default_str();
    app.add_option("--slots", behaviour.slots)->capture_default_str();
    app.add_option("--connections", behaviour.max_connections)->capture_default_str();
    app.add_option("--service-ms", behaviour.base_service_time.count)->capture_default_str();
    app.add_option("--cold-ms", behaviour.cold_duration.count)->capture_default_str();
    app.add_option("--version-name", behaviour.version)->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    for (int i = 0; i < count; ++i) {
        listen.push_back(fmt::format("{}:{}", host, first_port == 0 ? 0 : first_port + i));
    }
    try {
        run(listen, admin, behaviour, seed);
    } catch (const std::exception& problem) {
        fmt::print(stderr, "fake_endpoint: {}\n", problem.what());
        return 1;
    }
    return 0;
}
