#pragma once

#include "coordination/peer_message.h"
#include "coordination/version_evaluator.h"
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

/// @brief Rule for when a stage may end. The fleet uses `evidence`; a benchmark compares it with the others.
enum class pacing_rule : std::uint8_t {
    /// As soon as the evidence suffices and min_stage_duration has passed.
    evidence,
    /// As soon as the evidence suffices.
    immediate,
    /// At fixed intervals: the deadline divided by the number of stages plus one. A stage whose evidence does
    /// not suffice by then goes on until it does.
    even,
};

struct move_settings {
    version_evaluator_settings evaluator_settings;
    pacing_rule pacing = pacing_rule::evidence;
    /// Time after which a driver that has not renewed its lease loses it.
    time_ms lease{10'000};
    /// Added to the lease before another VM takes it over: the clocks of two VMs may differ by 2 %.
    time_ms lease_clock_drift{250};
    /// Delay between the VMs that may take over the same lease, so that only one of them writes.
    time_ms takeover_stagger{500};
    /// Interval at which a VM sends its evidence and a driver evaluates that of the fleet.
    time_ms sample_interval{1000};
    /// A VM whose last report is older counts as not reporting.
    time_ms max_report_age{3500};
    /// Shortest duration of a stage, so that faults that show late are found.
    time_ms min_stage_duration{10'000};
    /// Share of the requests, in millionths, that the old version keeps in the last stage and while the new
    /// version is watched. The new version is compared with requests to the old one at the same time.
    std::int64_t min_old_version_ppm = 100'000;
    /// Time for which a version is watched, and reverted when it turns bad, after the move is done.
    time_ms watch_duration{300'000};
    /// Time after which a write whose result is unknown is tried again.
    time_ms write_retry_delay{2000};
    /// Share of the VMs that are not dead, in per cent, whose reports a stage needs before it ends.
    std::int64_t min_reporting_percent = 75;
};

/// @brief A VM that is not dead, and the revision of its replica that it has reported.
struct fleet_vm {
    peer_id id;
    revision_id revision;
};

/// @brief Cumulative counts of the attempts that this VM sent to one version of a route.
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

/// @brief Measurements of the serve thread about drains and version moves.
struct move_sample {
    /// Revision of the snapshot that the serve thread uses.
    revision_id revision;
    std::vector<version_sample> versions;
    std::vector<drained_sample> drained;
};

/// @brief Version to which this VM sends no requests, because this VM or the driver of the move found it bad.
struct stopped_version {
    route_name route;
    std::string version;

    bool operator==(const stopped_version&) const = default;
};

/// @brief Writes and messages that the caller of move_driver::tick must carry out. The result of every write
/// must be passed to move_driver::written.
struct move_actions {
    std::vector<conditional_write> writes;
    std::vector<send_action> sends;
};

/// @brief Result of a conditional write.
enum class write_outcome : std::uint8_t {
    done,
    /// The object is no longer at the expected revision.
    conflict,
    /// No answer: the write may or may not have taken effect.
    unknown
};

/// @brief Carries out drains and version moves. Each VM has one move_driver; of these, the one that holds the
/// lease of a drain or move is its driver and takes the decisions.
///
/// Every step is a conditional write of the object at the revision from which it was decided, so that of two
/// VMs that both believe to hold the lease only one can act. The audit record history/<revision> of a step is
/// written before the next step, by the same driver or its successor.
///
/// In this class "move" stands for the object of a drain as well as of a version move.
class move_driver {
public:
    explicit move_driver(peer_id self, const move_settings& settings = {});

    /// @brief Takes over a changed object of the replica; objects other than drains and moves are ignored.
    void observe(time_ms now, const object_event& object);
    /// @brief Takes over the endpoints and versions of a new configuration.
    void update(const configuration& config);
    /// @param vms All VMs that are not dead, this one included.
    void set_fleet(std::vector<fleet_vm> vms) { fleet_ = std::move(vms); }
    /// @brief Adds this VM's measurements and stops a version that they show to be bad.
    void sample(time_ms now, const move_sample& sample);
    /// @brief Takes evidence from another VM, or the driver's message that a version is bad.
    void receive(time_ms now, const peer_id& from, const move_evidence& evidence);
    /// @brief Takes the result of a write that tick() returned.
    /// @param revision Revision of the written object; only used when the outcome is `done`.
    void written(time_ms now, const conditional_write& write, write_outcome outcome, revision_id revision);
    /// @brief Decides what is due: steps, renewals and takeovers of leases, audit records and reports.
    [[nodiscard]] move_actions tick(time_ms now);

    /// @brief Versions to which this VM must send no requests although their stored share is above zero.
    [[nodiscard]] std::vector<stopped_version> stopped() const;

private:
    struct vm_report {
        time_ms received_at;
        revision_id revision;
        move_report report;
        // Counts that fleet_evaluator already contains.
        version_counts evaluated_old;
        version_counts evaluated_new;
    };
    struct move_state {
        std::string key;
        bool is_drain = false;
        revision_id revision;
        // Time at which this VM first saw the revision.
        time_ms revision_seen_at;
        Json::Value value;
        // Identifies the request that created the move.
        std::string request_identity;
        // Members of `value`, parsed once because every tick uses them.
        std::string route;
        std::string from_version;
        std::string to_version;
        // Incarnation of the lease holder in hex; empty when there is none.
        std::string driver_incarnation;
        // Share of each stage in millionths.
        std::vector<std::int64_t> stages;
        time_ms deadline;
        // Duration of the move up to the write of this revision.
        time_ms elapsed_before;
        // Duration of the move at which the watch ends.
        time_ms watch_until;
        std::size_t stage = 0;
        bool needs_driver = false;
        bool watched = false;
        bool ended = false;
        // Measurements of this VM.
        version_evaluator own_evaluator;
        version_counts own_old;
        version_counts own_new;
        bool has_own_baseline = false;
        // Why this VM has stopped the new version; empty when it has not.
        std::string stop_reason;
        // Used only while this VM is the driver.
        bool driving = false;
        time_ms stage_entered_at;
        std::size_t evaluated_stage = 0;
        version_evaluator fleet_evaluator;
        std::map<incarnation_id, vm_report> reports;
        time_ms next_window_at;
        std::optional<conditional_write> pending_write;
        time_ms pending_write_since;
        // Whether the audit record of this revision has been written.
        bool history_written = false;
    };
    struct step_decision {
        std::string step;
        std::string evidence;
        /// Members of the object that the step changes.
        std::vector<std::pair<const char*, Json::Value>> changes;
    };

    [[nodiscard]] static time_ms elapsed(time_ms now, const move_state& move);
    [[nodiscard]] bool may_take_over(time_ms now, const move_state& move) const;
    [[nodiscard]] std::uint64_t in_flight_to(const Json::Value& target, const move_sample& sample) const;
    [[nodiscard]] bool old_version_configured(const move_state& move) const;
    [[nodiscard]] std::size_t count_fresh_reports(time_ms now, const move_state& move) const;
    void evaluate_own_counts(move_state& move, const move_sample& sample);
    void evaluate_fleet_counts(time_ms now, move_state& move);
    void advance_move(time_ms now, move_state& move, move_actions& out);
    std::optional<step_decision> decide_drain_step(time_ms now, const move_state& move) const;
    std::optional<step_decision> decide_version_step(time_ms now, move_state& move) const;
    [[nodiscard]] static std::string bad_version_reason(const move_state& move);
    [[nodiscard]] std::string evidence_text(time_ms now, const move_state& move) const;
    [[nodiscard]] bool stage_is_complete(time_ms now, const move_state& move) const;
    void write_object(time_ms now, move_state& move, Json::Value value,
                      const std::optional<step_decision>& new_step, move_actions& out) const;
    static step_decision ending_step(const std::string& state, const std::string& reason);
    static void write_history_record(time_ms now, move_state& move, move_actions& out);
    void send_reports(time_ms now, move_actions& out);

    peer_id self_;
    std::string self_incarnation_hex_;
    move_settings settings_;
    std::map<std::string, move_state> moves_;
    std::vector<fleet_vm> fleet_;
    // Endpoints by kind (endpoint, zone or region) and name of the drain target.
    std::map<std::pair<std::string, std::string>, std::set<std::string>> drain_target_endpoints_;
    // Pairs of a route and a version that has an endpoint there.
    std::set<std::pair<std::string, std::string>> configured_versions_;
    move_sample last_sample_;
    time_ms next_report_at_;
};

/// @brief Shares of the new version in all stages of a version move, in millionths. Each is the smaller of
/// the standard share and the requested cap, so that a shift of traffic stays under its cap (INV-1). The last
/// cap holds for all further stages.
/// @param cap_percent Array of the requested caps, one for each stage, in per cent; without any, the standard
/// shares hold.
std::vector<std::int64_t> stage_shares_ppm(const Json::Value& cap_percent);

} // namespace lacewing
