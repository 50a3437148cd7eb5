#pragma once

#include "coordination/endpoint_registry.h"
#include "coordination/placement.h"
#include "state/time_ms.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// @brief Requests for objects, and how often an object was sent to an endpoint that had not handled it
/// recently, by what kept it from the endpoint before.
struct placement_changes {
    /// The endpoint has ended, drains or does not respond.
    std::uint64_t gone = 0;
    /// All slots of the endpoint were busy.
    std::uint64_t full = 0;
    /// The endpoint had a free slot, but another was expected to answer earlier.
    std::uint64_t faster_elsewhere = 0;
    /// The list of endpoints or their slots have changed the object's own endpoints.
    std::uint64_t resized = 0;
    /// Requests for objects, and those of them whose endpoint was expected to have the object warm.
    std::uint64_t requests = 0;
    std::uint64_t warm_requests = 0;
};

/// @brief Keeps each object at few endpoints of a service, so that these have it warm.
///
/// In each region an object has an order of endpoints (see placement). Its own endpoints are the first ones
/// up to the second with a free slot, so an object has as many as its demand needs. Loads are what the VM
/// knows already; nothing else is shared between VMs.
class object_placement {
public:
    /// In a region with fewer endpoints of a service, objects are not kept to some of them: each endpoint
    /// then keeps a large part of the objects warm anyway, and load that gathers at two endpoints soon moves
    /// to another region.
    static constexpr std::size_t min_endpoints = 16;
    /// An object's own endpoints end with the one of this number that has a free slot.
    static constexpr std::size_t own_with_free_slot = 2;
    static constexpr time_ms log_interval{5'000};

    /// @brief What the placement has to know of an endpoint, by the caller's measures.
    struct endpoint_view {
        bool usable = false;
        bool has_free_slot = false;
    };
    using view_function = std::function<endpoint_view(const endpoint_state&)>;

    /// @brief Determines the own endpoints of the object of a request.
    /// @param object 0 for none; nothing is placed then.
    /// @param warmup Time over which a new endpoint gets its share of the objects.
    /// @param drained Whether an endpoint gets no requests by order of the operators.
    void prepare(time_ms now, std::string_view service, std::uint32_t object,
                 std::span<const std::shared_ptr<endpoint_state>> endpoints, time_ms warmup,
                 const std::function<bool(const endpoint_state&)>& drained, const view_function& view);

    /// @brief Whether the object of prepare() is kept to some endpoints, in any region.
    [[nodiscard]] bool active() const { return !own_.empty(); }
    /// @brief Whether objects are kept to some endpoints of a service in a region, after prepare().
    [[nodiscard]] bool places(std::uint32_t region) const;
    /// @brief Cost of the choice of an endpoint for the object of prepare(), beyond its expected time.
    /// @param home Tag of the region of this VM. Endpoints of other regions are never an object's own ones.
    /// @param warm The object is expected to be warm at the endpoint.
    /// @param warm_gain_ms Time that a warm object saves.
    [[nodiscard]] double cost_ms(const endpoint_state& endpoint, std::uint32_t home, bool warm,
                                 double warm_gain_ms) const;

    /// @brief Records that a request for an object is sent to an endpoint; called before the endpoint counts
    /// as having the object.
    void on_send(std::string_view service, const endpoint_state& endpoint, std::uint32_t object,
                 const view_function& view);
    [[nodiscard]] const placement_changes& changes() const { return changes_; }
    /// @brief Changes since the last call that returned them, for a periodic log line.
    /// @return Nothing if that was less than log_interval ago, or if there were no requests since.
    std::optional<placement_changes> take_changes(time_ms now);

private:
    /// The endpoints of a service in one region.
    struct region_members {
        std::uint32_t region = 0;
        placement places;
        std::vector<std::shared_ptr<endpoint_state>> endpoints;
    };
    struct service_members {
        std::vector<region_members> regions;
        time_ms refreshed{0};
        bool known = false;
        /// Smoothed share of the requests whose endpoint was expected to have the object warm.
        double warm_share = 0;
    };
    /// The own endpoints of one object in a region.
    struct own_endpoints {
        std::uint32_t region = 0;
        placement_order order;
        std::size_t own = 0;
        const region_members* members = nullptr;
        /// Position in the order; the capacity of the order if it is not among the first.
        [[nodiscard]] std::size_t rank(const endpoint_state& endpoint) const;
    };
    /// Where an object was sent last.
    struct last_place {
        std::uint32_t object = 0;
        std::uint32_t endpoint_tag = 0;
        /// The endpoint was among the first own_with_free_slot of the object's order.
        bool first_choice = false;
    };
    /// An endpoint among the members of a service.
    struct member_position {
        region_members* members = nullptr;
        std::uint32_t index = 0;
    };

    static void refresh(time_ms now, service_members& members,
                        std::span<const std::shared_ptr<endpoint_state>> endpoints, time_ms warmup,
                        const std::function<bool(const endpoint_state&)>& drained);
    [[nodiscard]] const own_endpoints* own_in(std::uint32_t region) const;
    [[nodiscard]] member_position find_member(std::string_view service, std::uint32_t endpoint_tag);
    static bool is_first_choice(const member_position& position, std::uint32_t object);
    void count_change(const member_position& before, const last_place& last, const view_function& view);

    std::map<std::string, service_members, std::less<>> services_;
    // The own endpoints of the object of prepare(), by region; kept between calls to avoid allocation.
    std::vector<own_endpoints> own_;
    // Share of warm requests of the service of prepare().
    double warm_share_ = 0;
    std::vector<last_place> last_places_;
    placement_changes changes_;
    placement_changes logged_;
    time_ms logged_at_{0};
};

} // namespace lacewing
