#pragma once

#include "coordination/endpoint_registry.h"
#include "coordination/endpoint_selector.h"
#include "coordination/latency_baselines.h"
#include "coordination/version_judge.h"
#include "coordination/vm_report.h"
#include "state/service_model.h"
#include "state/time_ms.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace lacewing {

/// @brief A change of a move's stored status, requested by the VM that drives the move.
struct move_write {
    /// The order with its new state.
    version_move_order order;
    /// Free text for the log.
    std::string reason;
};

/// @brief Whether a VM may drive a move.
enum class driver_rank : std::uint8_t {
    /// It must not, because it cannot write to the store.
    none,
    /// Another VM comes before it, but it goes on with a move that it drives until that VM takes over.
    stand_by,
    first,
};

/// @brief Request to one version of a service that has been sent to an endpoint.
struct sent_request {
    const std::string& service;
    const std::string& version;
    const std::string& route;
    /// Usual service time of such a request when its object is cold. Endpoints of a new version have handled
    /// few objects, so no shorter latency is slow.
    service_time_estimate cold;
    /// The endpoint has not handled the object of the request lately. False if the request has no object.
    bool cold_object = false;
};

/// @brief How a request to an endpoint ended.
enum class request_outcome : std::uint8_t {
    answered,
    failed,
    /// There was no answer before the deadline.
    deadline_passed,
    caller_left,
};

/// @brief How long an answer took.
struct answer_timing {
    /// Time until the answer, or the end of the wait for it, without the expected wait for a slot and the
    /// network round trip.
    double latency_ms = 0;
    /// A wait for a slot was expected.
    bool queued = false;
};

/// @brief Moves services from one version to another in stages, and chooses the version of each request.
///
/// One VM drives each move: it raises the target version's share of the requests stage by stage as long as
/// the outcomes are good, and declares the move completed or reverted. Every VM counts outcomes by version
/// and route, reports them to the others and follows the share that the driver announces. A VM that finds the
/// target version bad from the outcomes of the whole fleet stops sending to it on its own, so a bad version
/// stays at a small share also while the store or the driver is unavailable.
///
/// The process of any VM may end during a move. A process that finds a running move learns from the others
/// how long it has run and what the fleet has sent and seen, and drives it only after that.
///
/// The target's share grows only while the requests that a bad version could still get stay within the limit
/// on its exposure, or on evidence that it is good. A target that cannot be judged in time is reverted.
class version_mover {
public:
    /// @param exposure_share Share of a service's requests during a move that a bad version may get.
    /// @param exposure_slack Requests that it may get beyond that.
    /// @param seed Seed of this VM; should differ from those of the other VMs.
    explicit version_mover(double exposure_share = 0.1, double exposure_slack = 50, std::uint64_t seed = 1)
        : exposure_share_(exposure_share), exposure_slack_(exposure_slack),
          random_(static_cast<std::minstd_rand::result_type>(seed)) {}

    /// @brief Sets the size of the fleet.
    /// @param vms Known VMs, this one included; at least 1.
    void set_fleet(std::size_t vms) { baselines_.set_fleet(vms); }
    /// @brief Replaces the orders by those in the store. A move whose order is unchanged keeps its progress.
    void set_orders(time_ms now, const std::vector<version_move_order>& orders);
    /// @brief Records the outcomes that another VM counted and the shares of the moves that it drives.
    void on_report(time_ms now, const vm_report& report);
    /// @brief Determines the current version of services for which none is known yet: the version with the
    /// most endpoints, other than the target of a move.
    void observe_versions(const endpoint_registry& registry, const std::vector<std::string>& services);

    /// @brief Chooses the version for the next request of a service and charges it to the target's share.
    version_choice choose(time_ms now, const std::string& service);
    /// @brief Time without an answer after which a request counts as slow by on_overdue().
    /// @return Nothing when no move of the service is running or its usual latency is not known yet.
    [[nodiscard]] std::optional<time_ms> slow_limit(const sent_request& request) const;
    /// @brief Records that a request has been sent.
    void on_sent(const sent_request& request);
    /// @brief Records a request that has reached its slow_limit() without an answer.
    void on_overdue(const sent_request& request);
    /// @brief Records the outcome of a request. One whose caller left counts as slow if it had already waited
    /// longer than usual, and is ignored otherwise. The same holds for one with a cold object whose deadline
    /// has passed, because endpoints of a new version have handled few objects.
    /// @param timing Nothing when the endpoint is cold, because the latency then says little about the
    /// version, or when on_overdue() has counted the request.
    void on_outcome(time_ms now, const sent_request& request, request_outcome outcome,
                    std::optional<answer_timing> timing);

    /// @brief Advances the moves that this VM drives.
    /// @param rank_of Function of a service name: this VM's driver_rank for the service's move.
    /// @return Status changes to write to the store; they take effect here through set_orders().
    template <class Function>
    std::vector<move_write> advance(time_ms now, const Function& rank_of) {
        std::vector<move_write> writes;
        if (has_running_move()) {
            baselines_.update(now);
            time_earlier_requests();
        }
        count_matured(now);
        for (auto& [service, move] : moves_) {
            const bool drives_move = drives(now, move, rank_of(service));
            if (drives_move && !move.driven_here) become_driver(now, move);
            move.driven_here = drives_move;
            if (move.driven_here) {
                advance_move(now, move, writes);
            } else if (!move.judged_bad) {
                move.judged_bad = judge(move).verdict == version_verdict::bad;
            }
        }
        return writes;
    }

    /// @brief The state of each move that this VM drives, as text for logs.
    [[nodiscard]] std::vector<std::pair<std::string, std::string>> evidence(time_ms now) const;
    /// @brief Adds the announced shares and the counted outcomes to the report of this VM.
    /// @param full Include what this VM knows of running moves from all VMs.
    void fill(time_ms now, vm_report& report, bool full) const;
    /// @brief Whether a move is ordered or active.
    [[nodiscard]] bool has_running_move() const;

private:
    struct move_state {
        version_move_order order;
        /// When the order came, as far as this VM and those that it has learned from know.
        time_ms ordered_at{0};
        /// Until this time this VM learns what the others know of the move.
        time_ms learns_until{0};
        std::size_t stage = 0;
        time_ms stage_started_at{0};
        bool driven_here = false;
        /// Set once this VM finds the target bad; it then gets no more requests from this VM.
        bool judged_bad = false;
        /// Newest share announced by the driver, 0 to 1, and the time of the announcement.
        double announced_share = 0;
        time_ms announced_share_at{-10'000};
        /// Share of the target that this VM, as the driver, has decided on last.
        double share = 0;
        /// Share of the target at the end of the first stage.
        double first_share = 0;
        /// Requests that the target version is owed by its share and has not received yet. Each VM begins
        /// with a random part of a request, so that the share holds for the fleet from the first request on,
        /// also where a VM gets few.
        double target_credit = 0;
        /// Outcomes at the start of the stage, by route. The outcomes of a stage are also compared on their
        /// own, so that good answers of earlier stages do not hide faults that appear later.
        service_outcomes outcomes_before_stage;
        /// Requests to the target, and to all versions, that are counted here but were sent before the order;
        /// negative if fewer than were sent since then are counted, because processes have ended.
        std::int64_t sent_to_target_before = 0;
        std::int64_t sent_before = 0;
        /// Outcomes that only the VMs know from which this one has learned.
        service_outcomes inherited;
        time_ms last_write_at{-10'000};
    };
    /// Requests to a service during a move.
    struct traffic {
        /// Part of the move's duration that has passed.
        double duration_fraction = 0;
        /// Requests to the target so far.
        double to_target = 0;
        /// Requests in the whole duration, at the rate so far.
        double expected = 0;
        /// Requests that a bad target may get in the whole duration.
        double exposure_limit = 0;
    };
    /// Tally to which a timed request is added.
    struct timed_tally {
        std::string key;
        bool cold_object = false;
    };
    /// How long a request took that is not compared with the baseline of its route yet.
    struct untimed_request {
        timed_tally tally;
        std::string route;
        time_ms ended_at{0};
        double latency_ms = 0;
        /// The request has an answer, and not only waited for one.
        bool answered = false;
        /// The answer is a failure, which is never quick.
        bool failed = false;
    };
    [[nodiscard]] static timed_tally timed_tally_of(const sent_request& request);
    void count_timed(const timed_tally& counted, bool slow);
    void time_request(const untimed_request& request);
    void time_earlier_requests();
    void count_matured(time_ms now);
    [[nodiscard]] static bool drives(time_ms now, const move_state& move, driver_rank rank);
    [[nodiscard]] move_knowledge knowledge_of(time_ms now, const move_state& move) const;
    void learn(time_ms now, move_state& move, const move_knowledge& known) const;
    void become_driver(time_ms now, move_state& move);
    void enter_stage(time_ms now, move_state& move, std::size_t stage);
    void advance_move(time_ms now, move_state& move, std::vector<move_write>& writes);
    [[nodiscard]] service_outcomes counted_outcomes(const move_state& move) const;
    [[nodiscard]] service_outcomes outcomes_of(const move_state& move) const;
    [[nodiscard]] static std::int64_t sent_to_target(const move_state& move,
                                                     const service_outcomes& outcomes);
    [[nodiscard]] static std::int64_t sent_since_order(const move_state& move,
                                                       const service_outcomes& outcomes);
    [[nodiscard]] version_judgement judge(const move_state& move) const;
    [[nodiscard]] traffic traffic_of(time_ms now, const move_state& move) const;
    [[nodiscard]] static bool exposure_allows(const traffic& seen, double share, double until, double margin);
    [[nodiscard]] double first_stage_share(const move_state& move, const traffic& seen) const;
    [[nodiscard]] double current_share(time_ms now, const move_state& move, bool good) const;
    [[nodiscard]] bool stage_worries(const move_state& move) const;
    [[nodiscard]] bool shown_in_stage(const move_state& move) const;
    [[nodiscard]] bool stage_passed(time_ms now, const move_state& move,
                                    const version_judgement& total) const;
    [[nodiscard]] std::string describe(const move_state& move, const version_judgement& judgement) const;
    [[nodiscard]] std::string undecided_reason(const move_state& move,
                                               const version_judgement& judgement) const;
    [[nodiscard]] double random_credit();
    [[nodiscard]] double target_share(time_ms now, const move_state& move) const;

    double exposure_share_;
    double exposure_slack_;

    std::map<std::string, move_state> moves_;
    // Current version by service: the target of the last completed move, or the most common version among the
    // first endpoints seen.
    std::map<std::string, std::string> stable_versions_;
    // Outcomes that this VM counted; key: service/version/route.
    std::map<std::string, version_tally> own_tallies_;
    latency_baselines baselines_;
    std::minstd_rand random_;
    // Tallies of requests that were answered in time, by the moment at which a slow request of the same
    // age would be known as slow. Counted at once, quick answers would hide slow ones that are still running.
    std::multimap<time_ms, timed_tally> maturing_;
    // Requests during moves that wait for a baseline of their route, the latest ones.
    std::deque<untimed_request> untimed_;
    // Outcomes that other VMs reported; key: VM/incarnation, then as in own_tallies_.
    std::map<std::string, std::map<std::string, version_tally>> peer_tallies_;
    // Sums of peer_tallies_ over the VMs, so that judging a move costs the same in a large fleet.
    std::map<std::string, version_tally> peer_totals_;
};

} // namespace lacewing
