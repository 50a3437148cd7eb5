// The small deployment of the utility (kvmau-dues): its VMs, bounds, configuration and upstreams.
#pragma once

#include "fleet.h"

#include <memory>
#include <string>
#include <vector>

namespace review {

/// @brief The 11 entry VMs in six zones of three regions, with free ports.
std::vector<vm_site> utility_sites();
/// @brief Regions of the zones and the bounds of the sheet.
fleet_settings utility_settings();
/// @brief Configuration with one route to balance-svc and accounts of the same rate.
std::string utility_configuration(const std::vector<std::string>& accounts, double rate_per_s, double burst);
/// @brief Starts an upstream of balance-svc in each zone and registers it.
void start_utility_upstreams(object_store& store, upstream_group& upstreams);
/// @brief Waits until all VMs are ready.
/// @return False when one is not after 10 s.
bool wait_ready(const std::vector<std::unique_ptr<vm_process>>& vms);

/// @brief Requests in 5 s that the rule QUOTA allows an account, by quotaWindow, quotaOvershoot and
/// quotaSlack of the sheet.
double allowed_runs(double rate_per_s, double burst);
inline constexpr std::int64_t quota_window_ms = 5'000;

/// @brief Sends requests of an account to all VMs, each at the same steady rate.
/// @param phase Begins the id of each request.
void send_load(const std::vector<vm_site>& vms, const std::string& account, double per_s,
               std::int64_t span_ms, const std::string& phase, record_file& record);

/// @brief Records the busiest five seconds of an account since a time, and the runs by VM.
/// @return Whether they keep to what is allowed.
bool check_rate(const upstream_group& upstreams, const std::string& account, const std::string& phase,
                std::int64_t from, double allowed, record_file& record);

/// @brief Runs a case and ends the process with its result: 1 if the rule was broken, 0 if it held, 2 if the
/// case could not run. Arguments: program, folder for temporary files, record file.
/// @param play Gets whether the trouble is wanted.
[[noreturn]] void run_case(int argc, char** argv,
                           int (*play)(const std::string& program, const std::string& folder, bool trouble,
                                       record_file& record));

} // namespace review
