#pragma once

#include "ctl/store_access.h"
#include "state/configuration.h"

#include <json/value.h>
#include <stdexcept>
#include <string>
#include <vector>

namespace lacewing::ctl {

/// @brief Exit statuses; documented in --help.
enum class exit_status : int {
    done = 0,
    failed = 1,
    bad_input = 2,
    conflict = 3,
    store_unreachable = 4,
    not_in_force = 5,
};

/// @brief Ends a command with a status and a message.
class command_error : public std::runtime_error {
public:
    command_error(exit_status status, const std::string& message)
        : std::runtime_error(message), status_(status) {}
    [[nodiscard]] exit_status status() const { return status_; }

private:
    exit_status status_;
};

struct global_options {
    std::string store;
    /// Operators' addresses of VMs, ip:port.
    std::vector<std::string> vms;
    bool json = false;
    std::string requested_by;
    /// Time to wait until a write is in force on all VMs.
    int wait_s = 9;
};

/// @brief Configuration of the store and the object that holds it; an empty one at revision 0 when absent.
struct stored_configuration {
    configuration config;
    stored_object object;
};

/// @brief Opens the store named by --store.
/// @throws command_error when the option is missing or malformed.
store_access open_store(const global_options& options);

stored_configuration read_configuration(store_access& store);

/// @brief Reads a file; throws command_error with exit_status::bad_input when it cannot be read.
config_text read_file(const std::string& path);

/// @brief Prints an answer: as JSON with --json, else the text.
void print_answer(const global_options& options, const Json::Value& answer, const std::string& text);

std::string compact_json(const Json::Value& value);

/// @brief Writes an object under a condition.
/// @throws command_error with exit_status::conflict that names the winning revision.
revision_id write_or_conflict(store_access& store, const std::string& key, const Json::Value& value,
                              revision_id expected);

/// @brief One audit record; `evidence` lists the facts the decision rests on.
struct audit_record {
    std::string key;
    revision_id revision;
    std::string requested_by;
    std::string decided;
    Json::Value evidence;
};

/// @brief Creates history/<revision> unless it exists, so that a repeated command completes a missing record.
void record_history(store_access& store, const audit_record& record);

} // namespace lacewing::ctl
