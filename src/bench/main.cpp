#include "bench/benchmarks.h"

#include <CLI/CLI.hpp>
#include <fmt/core.h>

namespace {

struct benchmark {
    const char* name;
    const char* description;
    int (*function)();
};

constexpr benchmark benchmarks[] = {
    {"spread", "cost and speed of membership and configuration propagation per node", lacewing::bench_spread},
};

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Benchmarks of lacewingplank"};
    app.require_subcommand(1);
    int status = 0;
    for (const auto& each : benchmarks) {
        app.add_subcommand(each.name, each.description)->callback([&status, &each] {
            status = each.function();
        });
    }
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& failure) {
        return app.exit(failure);
    } catch (const std::exception& failure) {
        fmt::print(stderr, "benchmark failed: {}\n", failure.what());
        return 1;
    }
    return status;
}
