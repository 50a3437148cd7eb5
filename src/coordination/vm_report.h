#pragma once

#include "state/ids.h"
#include "state/time_ms.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewing {

/// @brief Outcomes of one version of one service at one VM since the start of its process.
struct version_tally {
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    /// Answers slower than the service's usual answers.
    std::uint64_t slow = 0;
};

/// @brief For whom a report is meant; those far away get theirs less often.
enum class report_audience : std::uint8_t { same_region, other_regions };
inline constexpr std::size_t report_audiences = 2;

/// @brief Requests of one account at one VM since the start of its process.
struct account_usage {
    std::int64_t asked = 0;
    std::int64_t admitted = 0;
};

/// @brief What a VM tells the others several times a second. Counters are totals since the process start, so
/// a lost report is made up for by the next one.
struct vm_report {
    vm_name vm;
    incarnation_id incarnation;
    /// Place and addresses; left out of most reports, because they never change within a process.
    bool has_identity = true;
    zone_name zone;
    region_name region;
    std::string peer_address;
    std::string caller_address;
    /// The VM takes requests; false before it has a configuration and once it leaves.
    bool ready = false;
    bool leaving = false;
    /// The VM has lately had an answer of the platform's store.
    bool store_reached = false;
    std::uint64_t configuration_version = 0;
    /// Store revision of the newest known change, by kind.
    std::map<std::string, std::uint64_t> revisions;
    /// Requests in flight by endpoint tag.
    std::vector<std::pair<std::uint32_t, int>> in_flight;
    /// Objects sent to endpoints since the last report, by endpoint tag. Not a total: a lost report only
    /// makes an endpoint seem to know less than it does.
    std::vector<std::pair<std::uint32_t, std::vector<std::uint32_t>>> objects;
    /// Requests by account.
    std::vector<std::pair<std::string, account_usage>> usage;
    /// Outcomes by "service/version/route" while a version move is under way.
    std::vector<std::pair<std::string, version_tally>> outcomes;
    /// Share of a service's requests that the target version of a move gets, set by the VM that drives it.
    std::vector<std::pair<std::string, double>> move_shares;
};

/// @brief Short name of an endpoint or object in reports. Two of them may share a tag; the load or the
/// knowledge of one is then taken for the other's, which costs a less exact choice and nothing else.
std::uint32_t hash_tag(std::string_view name);

} // namespace lacewing
