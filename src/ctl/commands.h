#pragma once

#include "ctl/context.h"

#include <CLI/CLI.hpp>
#include <functional>
#include <memory>

namespace lacewing::ctl {

/// @brief The command chosen on the command line; set while it is parsed.
using chosen_command = std::function<exit_status()>;

/// Each function adds one group of commands. The references must outlive the parsing and the command.
void add_config_commands(CLI::App& app, const global_options& options, chosen_command& chosen);
void add_key_commands(CLI::App& app, const global_options& options, chosen_command& chosen);
void add_move_commands(CLI::App& app, const global_options& options, chosen_command& chosen);
void add_status_commands(CLI::App& app, const global_options& options, chosen_command& chosen);
void add_explain_command(CLI::App& app, const global_options& options, chosen_command& chosen);

} // namespace lacewing::ctl
