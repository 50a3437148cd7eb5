#pragma once

#include "coordination/vm_report.h"
#include "state/ids.h"
#include "state/time_ms.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace lacewing {

/// @brief Use of one account's rate limit by the other VMs, from their reports.
///
/// A VM that falls silent is assumed to go on admitting at its last rate for a limited time. The VMs are kept
/// in the order of their last reports, so a call handles only those that have just reported or whose silence
/// has just reached a limit: its cost does not grow with the number of VMs.
class peer_usage {
public:
    /// A VM whose last report is older than this gets no share of the refill.
    static constexpr time_ms stale_report_age{3000};

    /// Demand of the VMs whose rates are known.
    struct demand {
        double asked_per_s = 0;
        std::size_t vms = 0;
    };

    explicit peer_usage(time_ms now) : advanced_(now) {}

    /// @brief Brings the assumed admissions of silent VMs up to date.
    /// @return Admissions to subtract since the last call; negative when earlier ones are corrected.
    double advance(time_ms now);
    /// @brief Records the totals of a VM; to be called after advance() of the same time.
    /// @return Admissions to subtract: those since the last report, less those that were assumed.
    double on_report(time_ms now, const std::string& vm, incarnation_id incarnation,
                     const rate_usage& totals);
    /// @brief Demand as of the last advance().
    [[nodiscard]] demand known_demand() const { return demand_; }

private:
    /// How long a VM has been silent; the order is that in which a silent VM passes through them.
    enum class silence : std::uint8_t { none, assumed, assumed_no_longer, stale };
    static constexpr std::size_t silence_stages = 4;

    struct peer {
        incarnation_id incarnation;
        rate_usage totals;
        double asked_per_s = 0;
        double admitted_per_s = 0;
        /// The rates have been measured between two reports.
        bool rates_measured = false;
        /// Time of the last report.
        time_ms updated{0};
        silence stage = silence::none;
    };
    /// Ordered by peer::updated.
    using peer_list = std::list<peer>;

    [[nodiscard]] peer_list& list_of(silence stage) { return peers_.at(static_cast<std::size_t>(stage)); }
    [[nodiscard]] static double assumed_admissions(time_ms now, const peer& known);
    void move_to(peer_list::iterator item, silence stage);
    void count_demand(const peer& known);
    void discount_demand(const peer& known);

    std::array<peer_list, silence_stages> peers_;
    // VMs without measured rates, in no order; nothing is assumed of them.
    peer_list unmeasured_;
    std::unordered_map<std::string, peer_list::iterator> by_name_;
    demand demand_;
    // Sum of the rates of the VMs that are assumed to go on admitting.
    double assumed_per_s_ = 0;
    time_ms advanced_;
};

} // namespace lacewing
