#pragma once

#include "ctl/context.h"

#include <CLI/CLI.hpp>
#include <functional>
#include <memory>

namespace lacewing::ctl {

/// @brief The command selected on the command line; set by the parser and run afterwards.
using chosen_command = std::function<exit_status()>;

/// Each of these functions adds one group of commands. `options` and `chosen` must outlive the parsing and
/// the execution of the command.
void add_config_commands(CLI::App& app, const global_options& options, chosen_command& chosen);
void add_key_commands(CLI::App& app, const global_options& options, chosen_command& chosen);
void add_move_commands(CLI::App& app, const global_options& options, chosen_command& chosen);
void add_status_commands(CLI::App& app, const global_options& options, chosen_command& chosen);
void add_explain_command(CLI::App& app, const global_options& options, chosen_command& chosen);

} // namespace lacewing::ctl
