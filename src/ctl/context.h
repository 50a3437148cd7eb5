#pragma once

#include "ctl/store_access.h"
#include "state/configuration.h"

#include <json/value.h>
#include <stdexcept>
#include <string>
#include <vector>

namespace lacewing::ctl {

/// @brief Exit statuses, as documented in --help.
enum class exit_status : int {
    done = 0,
    failed = 1,
    bad_input = 2,
    conflict = 3,
    store_unreachable = 4,
    /// The write succeeded, but at least one VM has not applied it or did not answer.
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

/// @brief Options that all commands share.
struct global_options {
    /// Address of the platform's store, ip:port.
    std::string store;
    /// Addresses of the operators' ports of VMs, ip:port.
    std::vector<std::string> vms;
    bool json = false;
    /// Name of the operator in audit records.
    std::string requested_by;
    /// Longest time to wait until a write is in force on all VMs.
    int wait_s = 9;
};

/// @brief Stored configuration and the object that holds it. Without a stored configuration, it is empty and
/// the object has revision 0.
struct stored_configuration {
    configuration config;
    stored_object object;
};

/// @brief Returns access to the store at the address given by --store.
/// @throws command_error when the option is missing or malformed.
store_access open_store(const global_options& options);

/// @brief Reads config/current.
/// @throws store_unreachable, or config_error when the stored configuration is invalid.
stored_configuration read_configuration(store_access& store);

/// @brief Reads a file; throws command_error with exit_status::bad_input when it cannot be read.
config_text read_file(const std::string& path);

/// @brief Prints the result of a command: `answer` with --json, else `text`.
void print_answer(const global_options& options, const Json::Value& answer, const std::string& text);

std::string compact_json(const Json::Value& value);

/// @brief Writes an object if its revision is still `expected`.
/// @return The new revision.
/// @throws command_error with exit_status::conflict, which names the newer revision.
revision_id write_or_conflict(store_access& store, const std::string& key, const Json::Value& value,
                              revision_id expected);

/// @brief Audit record of one change of a stored object.
struct audit_record {
    /// Key of the changed object.
    std::string key;
    /// Revision of the change.
    revision_id revision;
    std::string requested_by;
    /// The decision or action taken.
    std::string decided;
    /// List of the facts on which the decision is based.
    Json::Value evidence;
};

/// @brief Creates history/<revision> unless it exists, so that repeating a command adds a missing record.
void record_history(store_access& store, const audit_record& record);

} // namespace lacewing::ctl
