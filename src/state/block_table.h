#pragma once

#include "state/ids.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// @brief 128-bit IP address; an IPv4 address is held in the lowest 32 bits.
struct ip_address {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    bool v6 = false;

    auto operator<=>(const ip_address&) const = default;
};

/// @brief Parses an IPv4 or IPv6 address in text form. An IPv4 address mapped into IPv6 becomes IPv4.
/// @return Nothing when the text is no address.
std::optional<ip_address> parse_address(std::string_view text);

/// @brief Index of a site in the list that the owner of the table keeps.
using site_index = std::uint16_t;

/// @brief A client address block.
struct client_block {
    ip_address address;
    std::uint8_t prefix_length = 0;
    site_index site = 0;
};

/// @brief Parses `address/length`.
/// @throws error with error_kind::bad_request when the text is no block or has bits set below its length.
client_block parse_block(std::string_view text, site_index site);

/// @brief Change from one revision of the table to the next.
struct block_delta {
    /// Revision that the table must hold.
    revision_id after;
    revision_id revision;
    /// Added blocks and blocks whose site changed.
    std::vector<client_block> set;
    /// Removed blocks; the site is ignored.
    std::vector<client_block> removed;
};

namespace detail {

/// @brief Sorted blocks of one address width.
/// @tparam Key Unsigned type with operators <=>, << and & of the address width.
template <class Key>
struct prefix_array {
    static constexpr std::uint32_t no_parent = UINT32_MAX;

    struct row {
        Key start{};
        std::uint8_t length = 0;
        site_index site = 0;
    };

    // Sorted by start, then length; one array per column, so that the search touches only the starts.
    std::vector<Key> starts;
    std::vector<std::uint8_t> lengths;
    std::vector<site_index> sites;
    // Innermost block that contains the row's block.
    std::vector<std::uint32_t> parents;

    [[nodiscard]] std::optional<site_index> find(Key address) const;
    bool merge(const prefix_array& base, std::vector<row>& set, std::vector<row>& removed);
    void link_parents();
    [[nodiscard]] std::size_t memory_bytes() const;
};

/// @brief 128-bit key of IPv6 blocks longer than 64 bits.
__extension__ using wide_key = unsigned __int128;

} // namespace detail

/// @brief Client address blocks to sites by longest prefix match (design 4.9). Immutable; a delta gives a new
/// table, so that readers of the old one are not disturbed.
class block_table {
public:
    block_table() = default;

    /// @brief Builds a table. For a block that occurs repeatedly the last one counts.
    block_table(std::span<const client_block> blocks, revision_id revision);

    /// @brief Site of the longest block that contains the address. Does not allocate.
    [[nodiscard]] std::optional<site_index> find(const ip_address& address) const;

    /// @brief Table after a delta.
    /// @return Nothing when the delta does not follow the held revision or removes a block that is not held;
    /// the table must then be built from the chunk objects again.
    [[nodiscard]] std::optional<block_table> apply(const block_delta& delta) const;

    [[nodiscard]] revision_id revision() const { return revision_; }
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t memory_bytes() const;

private:
    // IPv6 blocks of at most 64 bits, the usual case, need only half an address.
    detail::prefix_array<std::uint32_t> v4_;
    detail::prefix_array<std::uint64_t> v6_;
    detail::prefix_array<detail::wide_key> v6_long_;
    revision_id revision_;
};

/// @brief A site as it stands in the chunk objects: its name and its zones, nearest first.
struct block_site {
    std::string name;
    std::vector<zone_name> zones;
};

/// @brief Blocks and sites that the objects `blocks/<n>` hold together.
struct block_set {
    std::vector<block_site> sites;
    std::vector<client_block> blocks;
};

/// @brief Reads one object `blocks/<n>` and adds it to a set. The object has the form
/// `{"sites":{"ktm":["bagmati-a",…]},"blocks":{"ktm":["203.0.113.0/24",…]}}`; a site named in several objects
/// has the zones of the last one.
/// @throws error with error_kind::bad_request when the text has another form.
void add_block_chunk(std::string_view json, block_set& set);

/// @brief Difference between two sets of blocks.
block_delta diff_blocks(std::span<const client_block> before, std::span<const client_block> after,
                        revision_id held, revision_id next);

} // namespace lacewing
