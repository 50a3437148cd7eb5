#include "daemon/control_thread.h"
#include "daemon/operator_port.h"
#include "daemon/serve_thread.h"
#include "gateway/gateway.h"
#include "state/gateway_settings.h"
#include "state/settings.h"
#include "transport/log.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <future>
#include <iostream>
#include <malloc.h>
#include <random>
#include <sstream>
#include <variant>

namespace {

constexpr int exit_bad_settings = 2;
// Size from which malloc maps memory outside of the heap. glibc otherwise raises this threshold up to 32 MB
// by itself; the texts and tables of the client blocks then lie in the heap between short-lived nodes, and
// the free memory between them is not returned to the operating system. Larger than the 64 KB body chunks of
// the request path, which stay in the heap.
constexpr int mmap_threshold_bytes = 128 * 1024;

std::uint64_t random_u64() {
    std::random_device entropy;
    return (std::uint64_t{entropy()} << 32U) | entropy();
}

/// Settings of either kind of process; the kind decides which interface the process serves.
using any_settings = std::variant<lacewing::process_settings, lacewing::gateway_settings>;

any_settings read_settings(const std::string& path) {
    std::ifstream in(path);
    if (!in) throw lacewing::config_error(path, 0, "", "the file cannot be read");
    std::ostringstream text;
    text << in.rdbuf();
    if (lacewing::is_gateway_settings(text.str())) return lacewing::parse_gateway_settings(text.str(), path);
    return lacewing::parse_process_settings(text.str(), path);
}

// Runs the gateway, which serves on the users' platform, until a graceful stop.
void run(const lacewing::gateway_settings& settings, const std::string& settings_path) {
    lacewing::set_log_level(lacewing::log_level::debug);
    lacewing::set_log_rate(settings.log_lines_per_s);
    lacewing::gateway gateway(settings, settings_path, random_u64());
    gateway.run();
    lacewing::flush_log();
    // Suspended coroutines still refer to the gateway, so the process ends without destroying it.
    std::_Exit(0);
}

// Runs the serve, control and operator threads until SIGTERM or SIGINT, then stops gracefully.
void run(const lacewing::process_settings& settings) {
    using namespace lacewing;
    prometheus::Registry registry;
    const auto seed = random_u64();
    peer_id self{settings.vm, settings.zone, settings.peer_listen, incarnation_id{random_u64()}};

    serve_thread serve(settings, self, seed, registry);
    control_thread control(settings, self, serve.caller_address(), seed, serve.input(),
                           [&serve] { return serve.requests_in_flight(); });
    serve.connect_output(control.input());
    operator_port operators(settings.operator_listen, registry,
                            {&serve.context(), [&serve] { return serve.state().dump(); }, &control.context(),
                             [&control] { return control.dump(); }, [&control] { return control.fleet(); },
                             [&control] { return control.readiness(); }});
    boost::asio::io_context signals;
    boost::asio::signal_set stop_signals(signals, SIGTERM, SIGINT);
    serve.start();
    control.start();
    operators.start();
    log(log_level::info, "started",
        {{"vm", settings.vm.value},
         {"zone", settings.zone.value},
         {"incarnation", to_hex(self.incarnation)},
         {"callers", serve.caller_address()},
         {"operators", operators.address()}});
    stop_signals.async_wait([&control, &signals](const boost::system::error_code&, int) {
        control.leave([&signals] { signals.stop(); });
    });
    const auto keep_running = boost::asio::make_work_guard(signals);
    signals.run();
    control.stop();
    serve.stop();
    operators.stop();
    log(log_level::info, "stopped", {{"vm", settings.vm.value}});
    // All requests have ended. Suspended coroutines still refer to the objects above, so the process ends
    // without destroying them.
    std::_Exit(0);
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"lacewingd: entry process of the lacewingplank traffic steering system"};
    std::string settings_path;
    app.add_option("--settings", settings_path, "Settings of this process (YAML)")->required();
    app.set_version_flag("--version", std::string("lacewingd ") + LACEWING_VERSION);
    app.footer("Exit status: 0 after a graceful stop, 1 when a port cannot be bound, 2 for bad settings.");
    CLI11_PARSE(app, argc, argv);
    mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
    try {
        std::visit(
            [&](const auto& settings) {
                if constexpr (std::is_same_v<std::decay_t<decltype(settings)>, lacewing::gateway_settings>) {
                    run(settings, settings_path);
                } else {
                    run(settings);
                }
            },
            read_settings(settings_path));
    } catch (const lacewing::config_error& problem) {
        std::cerr << problem.what() << '\n';
        return exit_bad_settings;
    } catch (const std::exception& problem) {
        lacewing::log(lacewing::log_level::error, "start_failed", {{"reason", problem.what()}});
        return 1;
    }
    return 0;
}
