#pragma once

#include "ctl/context.h"

#include <map>
#include <string>
#include <vector>

namespace lacewing::ctl {

struct fleet_member {
    std::string vm;
    std::string zone;
    std::string address;
    std::string state;
    std::string incarnation;
    std::uint64_t revision = 0;
};

/// @brief Fleet as the asked VMs see it.
struct fleet_view {
    std::map<std::string, fleet_member> members;
    /// Addresses from --vm that gave no answer, with the cause.
    std::map<std::string, std::string> unreachable;
};

/// @brief Adds the answer of one VM's /fleet to a view; the highest revision known of a VM counts.
void merge_fleet(fleet_view& view, const Json::Value& answer);

/// @brief VMs that are in the fleet and hold a revision or a later one, and those that do not.
struct force_report {
    std::vector<std::string> in_force;
    /// VMs behind the revision and addresses without an answer.
    std::vector<std::string> cut_off;
};

force_report evaluate_force(const fleet_view& view, std::uint64_t revision);

/// @brief Asks all addresses given by --vm.
fleet_view read_fleet(const global_options& options);

/// @brief Polls the VMs until a revision is in force on all of them or --wait has passed.
force_report await_force(const global_options& options, std::uint64_t revision);

/// @brief Prints the answer of a write with the VMs on which it is in force.
/// @return exit_status::not_in_force when a VM is cut off, else done. Without --vm nothing is polled.
exit_status report_write(const global_options& options, revision_id revision, Json::Value answer,
                         const std::string& text);

/// @brief GET from the operators' port of a VM.
/// @throws http_error
std::string get_from_vm(const std::string& address, const std::string& target);

} // namespace lacewing::ctl
