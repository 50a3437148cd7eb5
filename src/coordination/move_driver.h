#pragma once

#include "coordination/peer_message.h"
#include "coordination/version_judge.h"
#include "coordination/zone_roster.h"
#include "state/configuration.h"
#include "state/object_event.h"

#include <json/value.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewing {

/// @brief Rule for the time between stages; all but the first serve comparison runs.
enum class pacing_rule : std::uint8_t {
    /// As soon as the evidence suffices, but not before min_stage.
    evidence,
    /// As soon as the evidence suffices.
    immediate,
    /// The deadline divided evenly by the stages; evidence that is missing at the end of a stage is waited
    /// for.
    even,
};

struct move_settings {
    version_evaluator_settings judge;
    pacing_rule pacing = pacing_rule::evidence;
    time_ms lease{10'000};
    /// A lapsed lease is taken over after this addition: two clocks may differ by 2 %.
    time_ms lease_drift{250};
    /// Between VMs that would take over the same lease.
    time_ms takeover_stagger{500};
    time_ms sample_interval{1000};
    /// Age at which a report no longer counts.
    time_ms report_age{3500};
    /// Time for which a stage is held at least, for faults that show late.
    time_ms min_stage{10'000};
    /// Share of the requests, in millionths, that the old version keeps in the last stage and while the new
    /// version is watched: without requests at the same time there is nothing to compare with.
    std::int64_t comparison_ppm = 100'000;
    /// Time for which a version is watched after done.
    time_ms watch_after_done{300'000};
    /// Time after which a write without a known result is tried again.
    time_ms write_retry{2000};
    /// Share of the VMs alive, in per cent, whose evidence a stage needs.
    std::int64_t reporting_percent = 75;
};

/// @brief VM that is not dead, with the replica revision it has reported.
struct fleet_vm {
    peer_id id;
    revision_id revision;
};

/// @brief Cumulative outcomes of one version of a route on this VM.
struct version_sample {
    route_name route;
    std::string version;
    version_counts counts;
};

/// @brief Requests in flight from this VM to a drained endpoint.
struct drained_sample {
    endpoint_name endpoint;
    std::uint64_t in_flight = 0;
};

/// @brief What the serve thread measures for moves.
struct move_sample {
    /// Revision of the snapshot in force.
    revision_id revision;
    std::vector<version_sample> versions;
    std::vector<drained_sample> drained;
};

/// @brief Shares in force on this VM for a version that it has stopped by its own judgement.
struct stopped_version {
    route_name route;
    std::string version;

    bool operator==(const stopped_version&) const = default;
};

/// @brief Output of move_driver. The result of every write goes to move_driver::written.
struct move_actions {
    std::vector<conditional_write> writes;
    std::vector<send_action> sends;
};

/// @brief How a conditional write ended.
enum class write_outcome : std::uint8_t { done, conflict, unknown };

/// @brief Drives drains and version moves: one object per VM, of which the one that holds the lease in a move
/// acts (design 4.8).
///
/// Every step is a conditional write of the object at the revision on which the decision rests, so that of
/// two VMs that believe to hold a lease only one acts. The record history/<revision> of a step is written
/// before the next step, by the same or the next driver.
class move_driver {
public:
    explicit move_driver(peer_id self, const move_settings& settings = {});

    /// @brief Takes a replicated object; others than drains and moves are ignored.
    void observe(time_ms now, const object_event& object);
    void update(const configuration& config);
    /// @param vms All VMs that are not dead, this one included.
    void set_fleet(std::vector<fleet_vm> vms) { fleet_ = std::move(vms); }
    /// @brief Takes this VM's measurements and judges them.
    void sample(time_ms now, const move_sample& sample);
    void receive(time_ms now, const peer_id& from, const move_evidence& evidence);
    /// @param revision Of the write when it took effect.
    void written(time_ms now, const conditional_write& write, write_outcome outcome, revision_id revision);
    [[nodiscard]] move_actions tick(time_ms now);

    /// @brief Versions to which this VM sends nothing, whatever the stored share.
    [[nodiscard]] std::vector<stopped_version> stopped() const;

private:
    struct vm_report {
        time_ms at;
        revision_id revision;
        move_report report;
        // Counts up to which the fleet's judge has been fed.
        version_counts judged_old;
        version_counts judged_new;
    };
    struct move_state {
        std::string key;
        bool drain = false;
        revision_id revision;
        // Time at which this VM first saw the revision.
        time_ms seen;
        Json::Value value;
        std::string request;
        // Read from the value once, because they are used at every tick.
        std::string route;
        std::string from;
        std::string to;
        std::string driver;
        std::vector<std::int64_t> stages;
        time_ms deadline;
        time_ms elapsed_before;
        time_ms watch_until;
        std::size_t stage = 0;
        bool needs_driver = false;
        bool watched = false;
        bool ended = false;
        // Own measurements.
        version_evaluator own_judge;
        version_counts own_old;
        version_counts own_new;
        bool sampled = false;
        std::string stop_reason;
        // Used by the driver only.
        bool driving = false;
        time_ms stage_entered;
        std::size_t judged_stage = 0;
        version_evaluator fleet_judge;
        std::map<incarnation_id, vm_report> reports;
        time_ms next_window;
        std::optional<conditional_write> pending;
        time_ms pending_since;
        // A write at this revision was sent; its history record is due once it took effect.
        bool recorded = false;
    };
    struct decision {
        std::string step;
        std::string evidence;
        /// Members of the object that change with the step.
        std::vector<std::pair<const char*, Json::Value>> changes;
    };

    [[nodiscard]] static time_ms elapsed(time_ms now, const move_state& move);
    [[nodiscard]] bool may_take_over(time_ms now, const move_state& move) const;
    [[nodiscard]] std::uint64_t in_flight_to(const Json::Value& target, const move_sample& sample) const;
    [[nodiscard]] bool old_version_stands(const move_state& move) const;
    [[nodiscard]] std::size_t fresh_reports(time_ms now, const move_state& move) const;
    void judge_own(move_state& move, const move_sample& sample);
    void judge_fleet(time_ms now, move_state& move);
    void drive(time_ms now, move_state& move, move_actions& out);
    std::optional<decision> decide_drain(time_ms now, const move_state& move) const;
    std::optional<decision> decide_version(time_ms now, move_state& move) const;
    [[nodiscard]] static std::string reported_bad(const move_state& move);
    [[nodiscard]] std::string evidence_of(time_ms now, const move_state& move) const;
    [[nodiscard]] bool stage_may_end(time_ms now, const move_state& move) const;
    void write(time_ms now, move_state& move, Json::Value value, const std::optional<decision>& made,
               move_actions& out) const;
    static decision ending(const std::string& state, const std::string& reason);
    static void record(time_ms now, move_state& move, move_actions& out);
    void report(time_ms now, move_actions& out);

    peer_id self_;
    std::string own_hex_;
    move_settings settings_;
    std::map<std::string, move_state> moves_;
    std::vector<fleet_vm> fleet_;
    // Endpoints by kind and name of a drain target, and versions by route.
    std::map<std::pair<std::string, std::string>, std::set<std::string>> targets_;
    std::set<std::pair<std::string, std::string>> versions_;
    move_sample last_sample_;
    time_ms next_report_;
};

/// @brief Shares of all stages in millionths: each at most the standard stage and the requested cap; the last
/// cap holds for stages beyond the list.
std::vector<std::int64_t> stage_shares(const Json::Value& cap_percent);

} // namespace lacewing
