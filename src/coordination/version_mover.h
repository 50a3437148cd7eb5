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

/// @brief A status write that the driver of a move asks for.
struct move_write {
    version_move_order order;
    std::string reason;
};

/// @brief Moves services between versions: which version a request goes to, and how a move goes on.
///
/// Every VM counts outcomes by version and route and keeps to the share that the driver announces. One VM
/// drives each move; it widens the share in stages while the evidence is good and declares the move completed
/// or reverted. Every VM stops by itself when the evidence of the whole fleet turns bad, so a bad version is
/// contained without the store and without the driver.
class version_mover {
public:
    /// @brief Takes over the orders as stored.
    void set_orders(time_ms now, const std::vector<version_move_order>& orders);
    /// @brief Records what another VM has counted and, if it drives a move, announced.
    void on_report(time_ms now, const vm_report& report);
    /// @brief Learns which version serves a service while no order exists.
    void observe_versions(const endpoint_registry& registry, const std::vector<std::string>& services);

    /// @brief The version for the next request of a service.
    version_choice choose(time_ms now, const std::string& service);
    /// @brief Records the outcome of a request.
    /// @param taken_ms Time until the answer without the expected wait for a slot; nothing when it says
    /// little about the version, because the endpoint is cold.
    void on_outcome(const std::string& service, const std::string& version, const std::string& route,
                    bool failed, std::optional<double> taken_ms);
    /// @brief Records a request whose caller left before the answer; it counts when it had become slow
    /// already.
    void on_abandoned(const std::string& service, const std::string& version, const std::string& route,
                      double waited_ms);

    /// @brief Advances the moves that this VM drives.
    /// @param drives Whether this VM drives the move of a service.
    /// @return Status writes to make; the caller reports success through set_orders().
    template <class Predicate>
    std::vector<move_write> advance(time_ms now, const Predicate& drives) {
        std::vector<move_write> writes;
        for (auto& [service, of] : moves_) {
            const bool drive = drives(service);
            if (drive && !of.driven) take_over(now, of);
            of.driven = drive;
            if (of.driven) {
                step(now, of, writes);
            } else if (!of.judged_bad) {
                of.judged_bad = is_bad(of, nullptr);
            }
        }
        return writes;
    }

    /// @brief Shares and outcomes for the report of this VM.
    void fill(vm_report& report) const;
    [[nodiscard]] bool moving() const;

private:
    /// Outcomes of one version on one route over all VMs.
    struct evidence {
        version_tally target;
        version_tally others;
    };

    struct move {
        version_move_order order;
        time_ms seen{0};
        std::size_t stage = 0;
        time_ms stage_since{0};
        std::uint64_t stage_answers = 0;
        bool driven = false;
        bool judged_bad = false;
        /// Share announced by the driver and when.
        double announced = 0;
        time_ms announced_at{-10'000};
        /// Share of the target that has not been given to it yet, in requests.
        double credit = 0.5;
        /// Outcomes at the start of the stage, by route; faults that appear later are not diluted by earlier
        /// ones.
        std::map<std::string, evidence> before_stage;
        time_ms last_write{-10'000};
    };
    /// Time that nearly all answers of a route keep below, learnt from the versions that are not moved to.
    struct usual_time {
        double high_ms = 0;
        std::uint64_t samples = 0;
    };
    bool learn_or_judge(const std::string& route, bool of_target, double taken_ms);
    void take_over(time_ms now, move& of);
    void enter_stage(time_ms now, move& of, std::size_t stage);
    void step(time_ms now, move& of, std::vector<move_write>& writes);
    [[nodiscard]] std::map<std::string, evidence> evidence_of(const move& of) const;
    static bool speaks_against(const evidence& seen);
    [[nodiscard]] bool is_bad(const move& of, std::string* why) const;
    [[nodiscard]] double share_of(time_ms now, const move& of) const;

    std::map<std::string, move> moves_;
    // Version that serves a service by the last completed move, or by the first endpoints seen.
    std::map<std::string, std::string> settled_;
    std::map<std::string, version_tally> own_;
    std::map<std::string, usual_time> usual_times_;
    std::map<std::string, std::map<std::string, version_tally>> peers_;
};

} // namespace lacewing
