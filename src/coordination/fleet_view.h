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

/// @brief Another VM as this VM sees it.
struct fleet_member {
    vm_report report;
    time_ms heard{0};
    time_ms first_seen{0};
    /// The VM's registration in the platform's store is known, or it has reported itself.
    bool has_reported = false;
    /// Its process refused a connection after its last report, so it has ended.
    bool refused = false;
};

/// @brief Which VMs exist and which are alive, from their reports and their registrations.
class fleet_view {
public:
    /// A VM that has been silent for this long gets no callers. Reports come every 250 ms, so eight are lost.
    static constexpr time_ms silence_limit{2000};
    /// A registered VM that has been silent for this long does not count as a part of the fleet any more.
    static constexpr time_ms removal_limit{20000};

    explicit fleet_view(vm_report self) : self_(std::move(self)) {}

    /// @brief Records a report.
    /// @return Whether the process was not known before, so that it should be told about this VM at once.
    bool on_report(time_ms now, const vm_report& report);
    /// @brief Records a registration in the store; only its addresses and places are used.
    void on_registration(time_ms now, const vm_report& registration);
    /// @brief Records that a peer address refused a connection.
    void on_connection_refused(std::string_view peer_address);
    void remove_silent(time_ms now);

    /// @brief Whether a member has been heard lately and neither leaves nor has ended.
    [[nodiscard]] static bool alive(const fleet_member& member, time_ms now);
    /// @brief VMs heard lately, with this one.
    [[nodiscard]] std::size_t alive_vm_count(time_ms now) const;
    /// @brief All VMs that may hold a share of a fleet-wide budget, with this one.
    [[nodiscard]] std::size_t known_vm_count() const { return members_.size() + 1; }
    /// @brief Whether this VM hears most of the fleet; processes that have surely ended do not count. Of two
    /// equal halves, the one with the VM that comes first by name is the majority.
    [[nodiscard]] bool in_majority(time_ms now) const;
    /// @brief Whether this VM comes first among the live ones in the order of a key.
    /// The order differs by key, so duties spread over the fleet.
    [[nodiscard]] bool owns(std::string_view key, time_ms now) const;
    /// @brief As owns(), for duties that write to the store: only VMs that reach it count.
    /// @param store_reached Whether this VM reaches the store.
    [[nodiscard]] bool owns_writes(std::string_view key, time_ms now, bool store_reached) const;

    [[nodiscard]] const std::map<std::string, fleet_member>& members() const { return members_; }
    [[nodiscard]] const vm_report& self() const { return self_; }

private:
    [[nodiscard]] bool first(std::string_view key, time_ms now, bool need_store) const;

    vm_report self_;
    std::map<std::string, fleet_member> members_;
};

} // namespace lacewing
