#pragma once

#include "coordination/endpoint_registry.h"
#include "coordination/endpoint_selector.h"
#include "coordination/vm_report.h"
#include "state/service_model.h"
#include "state/time_ms.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/// @brief A change of a move's stored status, requested by the VM that drives the move.
struct move_write {
    /// The order with its new state.
    version_move_order order;
    /// Free text for the log.
    std::string reason;
};

/// @brief Moves services from one version to another in stages, and chooses the version of each request.
///
/// One VM drives each move: it raises the target version's share of the requests stage by stage as long as
/// the outcomes are good, and declares the move completed or reverted. Every VM counts outcomes by version
/// and route, reports them to the others and follows the share that the driver announces. A VM that finds the
/// target version bad from the outcomes of the whole fleet stops sending to it on its own, so a bad version
/// stays at a small share also while the store or the driver is unavailable.
class version_mover {
public:
    /// @brief Replaces the orders by those in the store. A move whose order is unchanged keeps its progress.
    void set_orders(time_ms now, const std::vector<version_move_order>& orders);
    /// @brief Records the outcomes that another VM counted and the shares of the moves that it drives.
    void on_report(time_ms now, const vm_report& report);
    /// @brief Determines the current version of services for which none is known yet: the version with the
    /// most endpoints, other than the target of a move.
    void observe_versions(const endpoint_registry& registry, const std::vector<std::string>& services);

    /// @brief Chooses the version for the next request of a service and charges it to the target's share.
    version_choice choose(time_ms now, const std::string& service);
    /// @brief Records the outcome of a request.
    /// @param latency_ms Time until the answer without the expected wait for a slot; nothing when the
    /// endpoint is cold, because the latency then says little about the version.
    void on_outcome(const std::string& service, const std::string& version, const std::string& route,
                    bool failed, std::optional<double> latency_ms);
    /// @brief Records a request whose caller left before the answer; counted as slow if it had already waited
    /// longer than usual, otherwise ignored.
    void on_abandoned(const std::string& service, const std::string& version, const std::string& route,
                      double waited_ms);

    /// @brief Advances the moves that this VM drives.
    /// @param is_driver Predicate on a service name: whether this VM drives the service's move.
    /// @return Status changes to write to the store; they take effect here through set_orders().
    template <class Predicate>
    std::vector<move_write> advance(time_ms now, const Predicate& is_driver) {
        std::vector<move_write> writes;
        for (auto& [service, move] : moves_) {
            const bool drives_move = is_driver(service);
            if (drives_move && !move.driven_here) become_driver(now, move);
            move.driven_here = drives_move;
            if (move.driven_here) {
                advance_move(now, move, writes);
            } else if (!move.judged_bad) {
                move.judged_bad = target_is_bad(move, nullptr);
            }
        }
        return writes;
    }

    /// @brief Adds the announced shares and the counted outcomes to the report of this VM.
    void fill(vm_report& report) const;
    /// @brief Whether a move is ordered or active.
    [[nodiscard]] bool has_running_move() const;

private:
    /// Outcomes on one route over all VMs: of the target version and of all others.
    struct route_outcomes {
        version_tally target;
        version_tally others;
    };

    struct move_state {
        version_move_order order;
        /// When this VM first received the order.
        time_ms order_received_at{0};
        std::size_t stage = 0;
        time_ms stage_started_at{0};
        /// Answers of the target version at the start of the stage.
        std::uint64_t answers_before_stage = 0;
        bool driven_here = false;
        /// Set once this VM finds the target bad; it then gets no more requests from this VM.
        bool judged_bad = false;
        /// Newest share announced by the driver, 0 to 1, and the time of the announcement.
        double announced_share = 0;
        time_ms announced_share_at{-10'000};
        /// Requests that the target version is owed by its share and has not received yet.
        double target_credit = 0.5;
        /// Outcomes at the start of the stage, by route. The outcomes of a stage are also compared on their
        /// own, so that good answers of earlier stages do not hide faults that appear later.
        std::map<std::string, route_outcomes> outcomes_before_stage;
        time_ms last_write_at{-10'000};
    };
    /// Usual latency of a route, estimated from the versions that are not the target of a move.
    struct latency_baseline {
        /// Estimate of the 95th percentile; the longest latency while answers are few.
        double p95_ms = 0;
        std::uint64_t answer_count = 0;
    };
    bool record_latency(const std::string& route, bool is_target, double latency_ms);
    void become_driver(time_ms now, move_state& move);
    void enter_stage(time_ms now, move_state& move, std::size_t stage);
    void advance_move(time_ms now, move_state& move, std::vector<move_write>& writes);
    [[nodiscard]] std::map<std::string, route_outcomes> outcomes_by_route(const move_state& move) const;
    static bool is_significantly_worse(const route_outcomes& compared);
    [[nodiscard]] bool target_is_bad(const move_state& move, std::string* bad_reason) const;
    [[nodiscard]] double target_share(time_ms now, const move_state& move) const;

    std::map<std::string, move_state> moves_;
    // Current version by service: the target of the last completed move, or the most common version among the
    // first endpoints seen.
    std::map<std::string, std::string> stable_versions_;
    // Outcomes that this VM counted; key: service/version/route.
    std::map<std::string, version_tally> own_tallies_;
    // By route.
    std::map<std::string, latency_baseline> baselines_;
    // Outcomes that other VMs reported; key: VM/incarnation, then as in own_tallies_.
    std::map<std::string, std::map<std::string, version_tally>> peer_tallies_;
};

} // namespace lacewing
