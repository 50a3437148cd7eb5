#include "ctl/commands.h"

#include <cstdlib>
#include <fmt/format.h>

using namespace lacewing;
using namespace lacewing::ctl;

namespace {

constexpr const char* footer =
    "Exit statuses: 0 done, 1 failed, 2 bad input, 3 conflict, 4 store unreachable,\n"
    "5 not in force on all VMs. Every command is safe to repeat after a lost answer.";

std::string default_requested_by() {
    const char* user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe)
    return user == nullptr ? "unknown" : user;
}

void add_global_options(CLI::App& app, global_options& options) {
    app.add_option("--store", options.store, "Address ip:port of the platform's store");
    app.add_option("--vm", options.vms, "Operators' address ip:port of a VM; may be repeated")
        ->allow_extra_args(false);
    app.add_flag("--json", options.json, "Print the answer as one line of JSON");
    app.add_option("--as", options.requested_by, "Name of the operator in the audit records")
        ->default_val(default_requested_by());
    app.add_option("--wait", options.wait_s, "Seconds to wait until a write is in force on all VMs")
        ->default_val(9)
        ->check(CLI::Range(0, 600));
}

exit_status run(const chosen_command& chosen) {
    try {
        return chosen();
    } catch (const command_error& e) {
        fmt::print(stderr, "{}\n", e.what());
        return e.status();
    } catch (const config_error& e) {
        fmt::print(stderr, "{}\n", e.what());
        return exit_status::bad_input;
    } catch (const store_unreachable& e) {
        fmt::print(stderr, "store unreachable: {}\n", e.what());
        return exit_status::store_unreachable;
    } catch (const std::exception& e) {
        fmt::print(stderr, "failed: {}\n", e.what());
        return exit_status::failed;
    }
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app("Operators' tool of lacewingplank", "lacewingctl");
    app.set_version_flag("--version", "lacewingctl " LACEWING_VERSION);
    app.footer(footer);
    app.require_subcommand(1);
    app.fallthrough();
    global_options options;
    chosen_command chosen;
    add_global_options(app, options);
    add_config_commands(app, options, chosen);
    add_key_commands(app, options, chosen);
    add_move_commands(app, options, chosen);
    add_status_commands(app, options, chosen);
    add_explain_command(app, options, chosen);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : static_cast<int>(exit_status::bad_input);
    }
    return static_cast<int>(run(chosen));
}
