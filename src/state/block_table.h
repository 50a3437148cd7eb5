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

/// @brief 128-bit IP address; an IPv4 address is stored in the lowest 32 bits.
struct ip_address {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    bool v6 = false;

    // clang-tidy 14 takes the zero of the generated comparison for a null pointer.
    auto operator<=>(const ip_address&) const = default; // NOLINT(modernize-use-nullptr)
};

/// @brief Parses an IPv4 or IPv6 address in text form. An IPv4 address mapped into IPv6 becomes IPv4.
/// @return Nothing when the text is not an address.
std::optional<ip_address> parse_address(std::string_view text);

/// @brief Index of a site in block_set::sites. A site is a group of callers with the same nearest zones.
using site_index = std::uint16_t;

/// @brief A block of client addresses (CIDR prefix) and the site that its callers belong to.
struct client_block {
    ip_address address;
    std::uint8_t prefix_length = 0;
    site_index site = 0;
};

/// @brief Parses a block in CIDR notation, `address/length`.
/// @throws error with error_kind::bad_request when the text is not a block or has bits set after the prefix.
client_block parse_block(std::string_view text, site_index site);

/// @brief Change from one revision of the table to the next.
struct block_delta {
    /// Revision of the table that the delta applies to.
    revision_id after;
    /// Revision of the resulting table.
    revision_id revision;
    /// Added blocks and blocks whose site changed.
    std::vector<client_block> set;
    /// Removed blocks; the site is ignored.
    std::vector<client_block> removed;
};

namespace detail {

/// @brief Sorted blocks of one address width with longest prefix match.
/// @tparam Key Unsigned type with operators <=>, << and & of the address width.
template <class Key>
struct prefix_array {
    static constexpr std::uint32_t no_parent = UINT32_MAX;

    struct row {
        Key start{};
        std::uint8_t length = 0;
        site_index site = 0;
    };

    // Rows sorted by start, then length. Each column has its own array, so that the binary search reads only
    // the starts.
    std::vector<Key> starts;
    std::vector<std::uint8_t> lengths;
    std::vector<site_index> sites;
    // Row of the smallest other block that contains the row's block, or no_parent.
    std::vector<std::uint32_t> parents;

    [[nodiscard]] std::optional<site_index> find(Key address) const;
    // Fills this empty array with the rows of `base`, without `removed` and with `set` added or replacing a
    // row. Sorts both lists. Returns false when `base` lacks a removed row.
    bool merge(const prefix_array& base, std::vector<row>& set, std::vector<row>& removed);
    // Computes `parents` from the other columns.
    void link_parents();
    [[nodiscard]] std::size_t memory_bytes() const;
};

/// @brief 128-bit address, the key of IPv6 blocks with a prefix longer than 64 bits.
__extension__ using wide_key = unsigned __int128;

} // namespace detail

/// @brief Maps client addresses to sites by longest prefix match, to select the VMs that a caller is directed
/// to. Immutable: apply() returns a new table, so threads that read the old one need no lock.
class block_table {
public:
    block_table() = default;

    /// @brief Builds a table. For a block that occurs repeatedly the last one counts.
    block_table(std::span<const client_block> blocks, revision_id revision);

    /// @brief Site of the block with the longest prefix that contains the address. Does not allocate.
    [[nodiscard]] std::optional<site_index> find(const ip_address& address) const;

    /// @brief Returns the table after a delta.
    /// @return Nothing when the delta is not for the revision of this table or removes a block that it lacks;
    /// the table must then be built from the chunk objects again.
    [[nodiscard]] std::optional<block_table> apply(const block_delta& delta) const;

    [[nodiscard]] revision_id revision() const { return revision_; }
    /// @brief Number of blocks.
    [[nodiscard]] std::size_t size() const;
    /// @brief Bytes that the arrays have allocated.
    [[nodiscard]] std::size_t memory_bytes() const;

private:
    // IPv6 blocks with a prefix of at most 64 bits, the usual case, need only the upper half of the address.
    detail::prefix_array<std::uint32_t> v4_;
    detail::prefix_array<std::uint64_t> v6_;
    detail::prefix_array<detail::wide_key> v6_long_;
    revision_id revision_;
};

/// @brief A site of the chunk objects: its name and its zones, nearest first.
struct block_site {
    std::string name;
    std::vector<zone_name> zones;
};

/// @brief Sites and blocks of all objects `blocks/<n>`. client_block::site is an index into `sites`.
struct block_set {
    std::vector<block_site> sites;
    std::vector<client_block> blocks;
};

/// @brief Parses one object `blocks/<n>` and adds its content to a set. The object has the form
/// `{"sites":{"ktm":["bagmati-a",…]},"blocks":{"ktm":["203.0.113.0/24",…]}}`; a site named in several objects
/// has the zones of the last one.
/// @throws error with error_kind::bad_request when the text has another form; part of it may have been added.
void add_block_chunk(std::string_view json, block_set& set);

/// @brief Computes the delta between two lists of blocks.
/// @param before_revision Revision of the table with the blocks `before`.
/// @param after_revision Revision of the table with the blocks `after`.
block_delta diff_blocks(std::span<const client_block> before, std::span<const client_block> after,
                        revision_id before_revision, revision_id after_revision);

} // namespace lacewing
