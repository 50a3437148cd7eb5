#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace lacewing {

/// @brief Name of an object of one kind. The tag makes names of different kinds distinct types.
template <class Tag>
struct named_id {
    std::string value;

    // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const named_id&) const = default;
    [[nodiscard]] bool empty() const { return value.empty(); }
};

using vm_name = named_id<struct vm_tag>;
using zone_name = named_id<struct zone_tag>;
using region_name = named_id<struct region_tag>;
using route_name = named_id<struct route_tag>;
using plan_name = named_id<struct plan_tag>;
using account_name = named_id<struct account_tag>;
using endpoint_name = named_id<struct endpoint_tag>;
using class_name = named_id<struct class_tag>;

/// @brief Random number drawn at each process start; distinguishes a restarted process from its predecessor.
struct incarnation_id {
    std::uint64_t value = 0;

    // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const incarnation_id&) const = default;
};

/// @brief Revision of the platform's store. Revisions give all changes of stored objects one total order.
struct revision_id {
    std::uint64_t value = 0;

    // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const revision_id&) const = default;
};

/// @brief Formats an incarnation as 16 hexadecimal digits.
std::string to_hex(incarnation_id id);

/// @brief Parses 16 hexadecimal digits.
/// @throws error with error_kind::bad_request for any other text.
incarnation_id incarnation_from_hex(std::string_view text);

/// @brief Weight of a member in rendezvous hashing: the member with the highest weight for a key owns it.
/// @return 64-bit hash, the same on all hosts.
std::uint64_t rendezvous_weight(std::string_view key, incarnation_id member);

} // namespace lacewing

template <class Tag>
struct std::hash<lacewing::named_id<Tag>> {
    std::size_t operator()(const lacewing::named_id<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.value);
    }
};

template <>
struct std::hash<lacewing::incarnation_id> {
    std::size_t operator()(lacewing::incarnation_id id) const noexcept { return id.value; }
};
