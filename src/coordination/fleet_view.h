#pragma once

#include "coordination/vm_report.h"
#include "state/time_ms.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// @brief What this VM knows about another VM.
struct fleet_member {
    /// Identity and state by the last report, or the registration in the store while there is none. Fields
    /// that other modules keep, such as loads and usage, are empty.
    vm_report report;
    /// Time of the last report. A VM known only by registration starts with a time of silence_limit ago.
    time_ms heard{0};
    time_ms first_seen{0};
    /// The VM has sent a report; otherwise only its registration in the store is known.
    bool has_reported = false;
    /// Its peer address refused a connection after its last report, so the process has ended.
    bool refused = false;
};

/// @brief Tracks the VMs of the fleet and which of them are alive, from their reports and their registrations
/// in the store.
class fleet_view {
public:
    /// A VM that has been silent for this long counts as dead and gets no callers. Reports come every
    /// 100 ms in a region and every 300 ms between regions, so at least six in a row were lost.
    static constexpr time_ms silence_limit{2000};
    /// A VM that has been silent for this long is removed from the fleet, even if it is still registered.
    static constexpr time_ms removal_limit{20000};

    explicit fleet_view(vm_report self) : self_(std::move(self)) {}

    /// @brief Whether a report has been overtaken by a later one of the same process, or is a copy of one.
    [[nodiscard]] bool outdated(const report_header& report) const;
    /// @brief Records a report.
    /// @return Whether the process was not known before, so that it should be told about this VM at once.
    bool on_report(time_ms now, const vm_report& report);
    /// @brief Records a registration in the store. It is ignored while the VM reports, and does not make the
    /// VM count as alive.
    void on_registration(time_ms now, const vm_report& registration);
    /// @brief Records that a peer address refused a connection, which means that its process has ended.
    void on_connection_refused(std::string_view peer_address);
    /// @brief Removes the VMs that have been silent for longer than removal_limit.
    void remove_silent(time_ms now);

    /// @brief Whether a member has reported within silence_limit, is not leaving and has not ended.
    [[nodiscard]] static bool alive(const fleet_member& member, time_ms now);
    /// @brief Number of live VMs, including this one.
    [[nodiscard]] std::size_t alive_vm_count(time_ms now) const;
    /// @brief Number of VMs that may hold a share of a fleet-wide budget, including this one and silent VMs
    /// that have not been removed yet.
    [[nodiscard]] std::size_t known_vm_count() const { return members_.size() + 1; }
    /// @brief Whether this VM and the VMs that it hears are the majority of the fleet. VMs that are leaving
    /// or have ended do not count. Of two equal halves, the one that holds the first VM by name is the
    /// majority.
    [[nodiscard]] bool in_majority(time_ms now) const;
    /// @brief Whether this VM owns the duty of a key: it has the highest rendezvous weight among the live
    /// VMs. The weights differ by key, so duties spread over the fleet.
    [[nodiscard]] bool owns(std::string_view key, time_ms now) const;
    /// @brief As owns(), for duties that write to the store: only VMs that can reach it are considered.
    /// @param store_reached Whether this VM can reach the store.
    [[nodiscard]] bool owns_writes(std::string_view key, time_ms now, bool store_reached) const;

    /// @brief Whether this VM is one of the VMs that watch the store closely for their region.
    [[nodiscard]] bool watches_for_region(time_ms now) const;

    [[nodiscard]] const std::map<std::string, fleet_member>& members() const { return members_; }
    [[nodiscard]] const vm_report& self() const { return self_; }
    /// @brief Sets the part of this VM's processor time that is in use, in thousandths.
    void set_own_load(std::uint32_t busy_permille) { self_.busy_permille = busy_permille; }

private:
    [[nodiscard]] bool ranks_first(std::string_view key, time_ms now, bool needs_store) const;

    vm_report self_;
    std::map<std::string, fleet_member> members_;
};

} // namespace lacewing
