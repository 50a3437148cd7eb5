#include "bench/bench.h"
#include "bench/benchmarks.h"

#include <CLI/CLI.hpp>

#include <array>

using namespace lacewing;
using namespace lacewing::bench;

// Runs the experiment that is named on the command line.
int main(int argc, char** argv) {
    static constexpr std::array commands{
        command{"limits", "compare policies for fleet-wide rate limits", run_limits},
        command{"spread", "cost and speed of membership and configuration propagation",
                [](std::uint64_t) { return bench_spread(); }},
        command{"lookup", "measure the client block table", run_lookup},
        command{"moves", "compare judging and pacing rules for version moves", run_moves},
        command{"routing", "measure the router and compare selection rules", run_routing},
    };
    CLI::App app{"lacewingplank experiments"};
    app.require_subcommand(1);
    std::uint64_t seed = 1;
    int status = 0;
    for (const auto& entry : commands) {
        auto* sub = app.add_subcommand(entry.name, entry.summary);
        sub->add_option("--seed", seed, "seed of all random choices");
        sub->callback([&status, &seed, run = entry.run] { status = run(seed); });
    }
    CLI11_PARSE(app, argc, argv);
    return status;
}
