#pragma once

#include "coordination/latency_counts.h"
#include "state/ids.h"
#include "state/time_ms.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewing {

/// @brief Outcomes of one version of one service at one VM since the start of its process.
struct version_tally {
    /// Requests that were sent to an endpoint.
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    /// Requests whose latency says something about the version: neither cold nor without a known usual
    /// latency.
    std::uint64_t timed = 0;
    /// Those of them that took longer than is usual for the route, answered or not.
    std::uint64_t slow = 0;
    /// Part of the timed and of the slow requests whose object the endpoint had not handled lately.
    std::uint64_t timed_cold = 0;
    std::uint64_t slow_cold = 0;
    friend bool operator==(const version_tally&, const version_tally&) = default;
};

/// @brief What a VM knows of a running version move from all VMs. Processes that have started since the order
/// learn it from the others.
struct move_knowledge {
    /// Outcomes on one route.
    struct route_tallies {
        std::string route;
        version_tally target;
        version_tally others;
    };
    std::string service;
    /// Store revision at which the order was created.
    std::uint64_t created = 0;
    /// Time since the order.
    time_ms age{0};
    /// Share of the target version that the driver announced last, 0 to 1.
    double share = 0;
    /// Requests since the order, to the target version and to all versions.
    std::uint64_t sent_to_target = 0;
    std::uint64_t sent = 0;
    std::vector<route_tallies> routes;
};

/// @brief What one VM has lately measured of a route, with the versions that are not the target of a move.
struct route_latencies {
    std::string route;
    /// Latencies of the latest answers, by whether a wait for a slot was expected.
    latency_counts queued;
    latency_counts unqueued;
    /// The VM's estimate of the service time of a cold object, counted once for each answer on which it
    /// rests.
    latency_counts cold_service_time;
};

/// @brief Receivers of a report; VMs of other regions get reports less often.
enum class report_audience : std::uint8_t { same_region, other_regions };
/// Number of values of report_audience.
inline constexpr std::size_t report_audiences = 2;

/// @brief Requests under one fleet-wide rate limit at one VM since the start of its process.
struct rate_usage {
    /// Requests that asked for admission.
    std::int64_t asked = 0;
    std::int64_t admitted = 0;
};

/// @brief What one VM knows of the limit that an endpoint has named, and its use of the endpoint.
struct endpoint_limit_report {
    /// Last answer of the endpoint.
    struct observation {
        /// Limit in requests per second; nothing when the answer named none.
        std::optional<double> per_s;
        /// Time since the answer.
        time_ms age{0};
    };
    /// Tag of the endpoint, by hash_tag().
    std::uint32_t endpoint = 0;
    /// Absent when this VM learned of the limit from another VM.
    std::optional<observation> answer;
    /// Requests since the last report to the same audience: those that were meant for the endpoint, and those
    /// that were sent to it. Not totals, so that the receiver keeps no state for each VM; after a lost
    /// report, other VMs underestimate the use.
    rate_usage usage;
};

/// @brief Requests of one VM to the endpoints of one region since the start of its process.
struct region_send_total {
    /// Tag of the region, by hash_tag().
    std::uint32_t region = 0;
    std::uint64_t sent = 0;
    /// Those of them that were not run there.
    std::uint64_t returned = 0;
    friend bool operator==(const region_send_total&, const region_send_total&) = default;
};

/// @brief Which report of which process a report is.
struct report_header {
    vm_name vm;
    incarnation_id incarnation;
    /// Number of the report since the start of the process; 0 if it has none.
    std::uint64_t sequence = 0;
};

/// @brief State that a VM sends to the other VMs several times a second. Counters are totals since the
/// process start, so the next report makes up for a lost one.
struct vm_report {
    vm_name vm;
    incarnation_id incarnation;
    /// Number of the report since the start of the process; 0 if it has none.
    std::uint64_t sequence = 0;
    /// Time of the sender's clock; comparable only within one process.
    time_ms made_at{0};
    /// The report holds zone, region and addresses. Most reports omit them, because they never change within
    /// a process.
    bool has_identity = true;
    zone_name zone;
    region_name region;
    std::string peer_address;
    std::string caller_address;
    /// Processor time that the VM may use, in thousandths of a core; 0 if unknown.
    std::uint32_t processor_millicores = 0;
    /// Bandwidth of the VM's link, in Mbit/s; 0 if unknown.
    std::uint32_t link_mbps = 0;
    /// Part of the time that events have lately waited for the VM's event loop, in thousandths.
    std::uint32_t busy_permille = 0;
    /// The receiver passes the report on to its region.
    bool pass_on = false;
    /// The VM accepts requests; false before it has a configuration and once it is leaving.
    bool ready = false;
    bool leaving = false;
    /// The platform's store has recently answered this VM.
    bool store_reached = false;
    std::uint64_t configuration_version = 0;
    /// Store revision of the newest known change, by kind of object.
    std::map<std::string, std::uint64_t> revisions;
    /// Requests in flight by endpoint tag.
    std::vector<std::pair<std::uint32_t, int>> in_flight;
    /// Objects whose requests were sent to endpoints since the last report, by endpoint tag. Not a total:
    /// after a lost report, other VMs only underestimate which objects are warm at an endpoint.
    std::vector<std::pair<std::uint32_t, std::vector<std::uint32_t>>> objects;
    /// Totals of requests by region; only in reports to the same region.
    std::vector<region_send_total> region_sends;
    /// Totals of requests by account.
    std::vector<std::pair<std::string, rate_usage>> usage;
    /// Limited endpoints that the VM has used lately or knows most of.
    std::vector<endpoint_limit_report> limits;
    /// Endpoint processes that have said to this VM that they leave, by hash_process().
    std::vector<std::uint64_t> leaving_endpoints;
    /// Outcomes by "service/version/route" while a version move is under way.
    std::vector<std::pair<std::string, version_tally>> outcomes;
    /// Share (0 to 1) of a service's requests that goes to the target version of a move, set by the VM that
    /// drives the move.
    std::vector<std::pair<std::string, double>> move_shares;
    /// Running moves; only in full reports.
    std::vector<move_knowledge> moves;
    /// Routes of services with a running move; only in full reports.
    std::vector<route_latencies> latencies;

    [[nodiscard]] report_header header() const { return {vm, incarnation, sequence}; }
};

/// @brief Hashes the name of an endpoint or object to the 24-bit tag that stands for it in reports. When two
/// names share a tag, the load or warm objects of one are attributed to the other; this only makes the choice
/// of an endpoint less exact.
std::uint32_t hash_tag(std::string_view name);

/// @brief Hashes one process of an endpoint; another process under the same id has another hash. With 64
/// bits, no two of a fleet are expected to share one.
/// @param started_unix_ms Start of the process; 0 if unknown.
std::uint64_t hash_process(std::string_view endpoint, std::int64_t started_unix_ms);

} // namespace lacewing
