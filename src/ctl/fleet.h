#pragma once

#include "ctl/context.h"

#include <map>
#include <string>
#include <vector>

namespace lacewing::ctl {

/// @brief One VM in the answer of /fleet.
struct fleet_member {
    std::string vm;
    std::string zone;
    std::string address;
    std::string state;
    std::string incarnation;
    /// Highest store revision that the VM is known to hold.
    std::uint64_t revision = 0;
};

/// @brief Members of the fleet as reported by the VMs given by --vm.
struct fleet_view {
    /// By name of the VM.
    std::map<std::string, fleet_member> members;
    /// Causes of failed queries, by address given by --vm.
    std::map<std::string, std::string> unreachable;
};

/// @brief Merges one VM's answer to /fleet into a view; the highest revision reported for a VM is kept.
void merge_fleet(fleet_view& view, const Json::Value& answer);

/// @brief Which VMs of the fleet hold a given revision or a later one.
struct propagation_report {
    std::vector<std::string> in_force;
    /// VMs with an older revision, and addresses given by --vm without an answer.
    std::vector<std::string> cut_off;
};

/// @brief Sorts the VMs of the fleet by whether they hold a revision; VMs that are leaving or dead are
/// ignored.
propagation_report evaluate_propagation(const fleet_view& view, std::uint64_t revision);

/// @brief Queries /fleet at all addresses given by --vm.
fleet_view read_fleet(const global_options& options);

/// @brief Polls the VMs until a revision is in force on all of them or the time given by --wait has passed.
propagation_report await_propagation(const global_options& options, std::uint64_t revision);

/// @brief Waits until a write is in force and prints its result with the VMs on which it is. Without --vm it
/// prints the result at once.
/// @return exit_status::not_in_force when propagation_report::cut_off is not empty, else exit_status::done.
exit_status report_write(const global_options& options, revision_id revision, Json::Value answer,
                         const std::string& text);

/// @brief Sends a GET request to the operators' port of a VM and returns the body of the answer.
/// @throws http_error also when the status is not 200.
std::string get_from_vm(const std::string& address, const std::string& target);

} // namespace lacewing::ctl
