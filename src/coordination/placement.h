#pragma once

#include "state/time_ms.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace lacewing {

/// @brief An endpoint as placement sees it.
struct placement_member {
    /// Hash of the endpoint's id; a replacement under the same id keeps the objects of its predecessor.
    std::uint64_t id = 0;
    /// Share of the objects relative to the other members; a member without weight gets none.
    double weight = 1;

    friend bool operator==(const placement_member&, const placement_member&) = default;
};

/// @brief The members that an object prefers, best first, as indexes of the member list.
struct placement_order {
    /// Members kept per object; an object whose members are all full may go anywhere.
    static constexpr std::size_t capacity = 8;

    std::array<std::uint32_t, capacity> members{};
    std::size_t count = 0;

    [[nodiscard]] std::span<const std::uint32_t> view() const { return {members.data(), count}; }
    /// @brief Position of a member in the order.
    /// @return Nothing if the member is not among the preferred ones.
    [[nodiscard]] std::optional<std::size_t> rank_of(std::uint32_t member) const;
};

/// @brief Places objects at endpoints by weighted rendezvous hashing.
///
/// The order of an object depends on the member list alone, so VMs with the same list agree on it without
/// messages. A change of one member moves only objects to or from that member.
class placement {
public:
    /// @brief Replaces the member list.
    /// @return Whether it differs from the one before.
    bool set_members(std::vector<placement_member> members);
    [[nodiscard]] std::span<const placement_member> members() const { return members_; }

    /// @brief The preferred members of an object, from a cache that lasts until the list changes.
    /// @return Valid until the next call of a non-const function.
    const placement_order& order_of(std::uint64_t object);
    /// @brief The preferred members of an object, without the cache.
    [[nodiscard]] placement_order compute_order(std::uint64_t object) const;

private:
    /// A slot of the cache, which holds one object.
    struct cached_order {
        std::uint64_t object = 0;
        std::uint64_t generation = 0;
        placement_order order;
    };

    std::vector<placement_member> members_;
    // Generation of the member list; 0 marks an unused slot of the cache.
    std::uint64_t generation_ = 1;
    std::vector<cached_order> cache_;
};

/// @brief Weight of an endpoint that has to warm up: it rises to the full weight in steps, so that the
/// endpoint gets its objects one after the other.
/// @param age Time since the endpoint became able to take its share; negative before that.
/// @param warmup Time until the full weight; 0 for the full weight at once.
double warmed_weight(double weight, time_ms age, time_ms warmup);

} // namespace lacewing
