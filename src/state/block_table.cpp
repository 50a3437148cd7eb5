#include "state/block_table.h"

#include "state/error_kind.h"
#include "state/json_text.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>
#include <json/json.h>
#include <limits>
#include <memory>
#include <tuple>

namespace lacewing {

namespace {

constexpr std::uint8_t v4_bits = 32;
constexpr std::uint8_t v6_half_bits = 64;
constexpr std::uint8_t v6_bits = 128;

detail::wide_key to_wide(const ip_address& address) {
    return (static_cast<detail::wide_key>(address.high) << v6_half_bits) | address.low;
}

// Mask of the first `length` bits of an address.
template <class Key>
Key prefix_mask(std::uint8_t length) {
    constexpr unsigned bits = sizeof(Key) * 8;
    if (length == 0) return 0;
    return static_cast<Key>(~Key{0} << (bits - length));
}

std::uint64_t read_big_endian(const unsigned char* bytes, int count) {
    std::uint64_t value = 0;
    for (int i = 0; i < count; ++i)
        value = (value << 8) | bytes[i];
    return value;
}

// Sort key of a row; rows with equal keys are the same block.
template <class Row>
auto row_key(const Row& item) {
    return std::tuple{item.start, item.length};
}

template <class Row>
bool row_before(const Row& a, const Row& b) {
    return row_key(a) < row_key(b);
}

struct rows_by_width {
    std::vector<detail::prefix_array<std::uint32_t>::row> v4;
    std::vector<detail::prefix_array<std::uint64_t>::row> v6;
    std::vector<detail::prefix_array<detail::wide_key>::row> v6_long;
};

rows_by_width split_by_width(std::span<const client_block> blocks) {
    rows_by_width rows;
    for (const auto& block : blocks) {
        if (!block.address.v6) {
            rows.v4.push_back(
                {static_cast<std::uint32_t>(block.address.low), block.prefix_length, block.site});
        } else if (block.prefix_length <= v6_half_bits) {
            rows.v6.push_back({block.address.high, block.prefix_length, block.site});
        } else {
            rows.v6_long.push_back({to_wide(block.address), block.prefix_length, block.site});
        }
    }
    return rows;
}

[[noreturn]] void reject_block(std::string_view text) {
    throw error(error_kind::bad_request, fmt::format("'{}' is not an address block", text));
}

} // namespace

std::optional<ip_address> parse_address(std::string_view text) {
    std::array<char, INET6_ADDRSTRLEN + 1> copy{};
    if (text.size() >= copy.size()) return std::nullopt;
    std::copy(text.begin(), text.end(), copy.begin());
    std::array<unsigned char, 16> bytes{};
    if (inet_pton(AF_INET, copy.data(), bytes.data()) == 1)
        return ip_address{0, read_big_endian(bytes.data(), 4), false};
    if (inet_pton(AF_INET6, copy.data(), bytes.data()) != 1) return std::nullopt;
    const ip_address address{read_big_endian(bytes.data(), 8), read_big_endian(bytes.data() + 8, 8), true};
    constexpr std::uint64_t v4_mapped_prefix = 0xffff;
    if (address.high == 0 && address.low >> v4_bits == v4_mapped_prefix)
        return ip_address{0, address.low & UINT32_MAX, false};
    return address;
}

client_block parse_block(std::string_view text, site_index site) {
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) reject_block(text);
    const auto address = parse_address(text.substr(0, slash));
    unsigned length = 0;
    const auto* end = text.data() + text.size();
    const auto [parse_end, status] = std::from_chars(text.data() + slash + 1, end, length);
    if (!address || status != std::errc{} || parse_end != end) reject_block(text);
    if (length > (address->v6 ? v6_bits : v4_bits)) reject_block(text);
    const auto bits = static_cast<std::uint8_t>(length);
    const bool aligned =
        address->v6 ? (to_wide(*address) & ~prefix_mask<detail::wide_key>(bits)) == 0
                    : (static_cast<std::uint32_t>(address->low) & ~prefix_mask<std::uint32_t>(bits)) == 0;
    if (!aligned) reject_block(text);
    return {*address, bits, site};
}

namespace detail {

template <class Key>
std::optional<site_index> prefix_array<Key>::find(Key address) const {
    const auto following = std::upper_bound(starts.begin(), starts.end(), address);
    if (following == starts.begin()) return std::nullopt;
    // The row with the greatest start up to the address is the longest match or nested in it, because two
    // blocks are either nested or disjoint.
    auto row_number = static_cast<std::uint32_t>(following - starts.begin() - 1);
    while (row_number != no_parent) {
        if ((address & prefix_mask<Key>(lengths[row_number])) == starts[row_number]) return sites[row_number];
        row_number = parents[row_number];
    }
    return std::nullopt;
}

template <class Key>
bool prefix_array<Key>::merge(const prefix_array& base, std::vector<row>& set, std::vector<row>& removed) {
    std::stable_sort(set.begin(), set.end(), row_before<row>);
    std::sort(removed.begin(), removed.end(), row_before<row>);
    const auto total = base.starts.size() + set.size();
    starts.reserve(total);
    lengths.reserve(total);
    sites.reserve(total);
    const auto append = [&](const row& item) {
        starts.push_back(item.start);
        lengths.push_back(item.length);
        sites.push_back(item.site);
    };
    auto next_set = set.begin();
    auto next_removed = removed.begin();
    const auto append_set = [&] {
        // If a block occurs repeatedly, the last one counts.
        while (next_set + 1 != set.end() && row_key(next_set[0]) == row_key(next_set[1]))
            ++next_set;
        append(*next_set++);
    };
    for (std::size_t i = 0; i < base.starts.size(); ++i) {
        const row item{base.starts[i], base.lengths[i], base.sites[i]};
        while (next_set != set.end() && row_before(*next_set, item))
            append_set();
        if (next_removed != removed.end() && row_before(*next_removed, item)) return false;
        const bool drop = next_removed != removed.end() && row_key(*next_removed) == row_key(item);
        while (next_removed != removed.end() && row_key(*next_removed) == row_key(item))
            ++next_removed;
        const bool replace = next_set != set.end() && row_key(*next_set) == row_key(item);
        if (replace) {
            append_set();
        } else if (!drop) {
            append(item);
        }
    }
    while (next_set != set.end())
        append_set();
    if (next_removed != removed.end()) return false;
    starts.shrink_to_fit();
    lengths.shrink_to_fit();
    sites.shrink_to_fit();
    link_parents();
    return true;
}

template <class Key>
void prefix_array<Key>::link_parents() {
    parents.assign(starts.size(), no_parent);
    // Rows whose block contains the current start, outermost first.
    std::vector<std::uint32_t> enclosing;
    for (std::uint32_t i = 0; i < starts.size(); ++i) {
        while (!enclosing.empty() &&
               (starts[i] & prefix_mask<Key>(lengths[enclosing.back()])) != starts[enclosing.back()])
            enclosing.pop_back();
        if (!enclosing.empty()) parents[i] = enclosing.back();
        enclosing.push_back(i);
    }
}

template <class Key>
std::size_t prefix_array<Key>::memory_bytes() const {
    return starts.capacity() * sizeof(Key) + lengths.capacity() + sites.capacity() * sizeof(site_index) +
           parents.capacity() * sizeof(std::uint32_t);
}

} // namespace detail

block_table::block_table(std::span<const client_block> blocks, revision_id revision) : revision_(revision) {
    auto rows = split_by_width(blocks);
    rows_by_width no_removed;
    v4_.merge({}, rows.v4, no_removed.v4);
    v6_.merge({}, rows.v6, no_removed.v6);
    v6_long_.merge({}, rows.v6_long, no_removed.v6_long);
}

std::optional<site_index> block_table::find(const ip_address& address) const {
    if (!address.v6) return v4_.find(static_cast<std::uint32_t>(address.low));
    if (!v6_long_.starts.empty()) {
        if (const auto site = v6_long_.find(to_wide(address))) return site;
    }
    return v6_.find(address.high);
}

std::optional<block_table> block_table::apply(const block_delta& delta) const {
    if (delta.after != revision_ || delta.revision <= revision_) return std::nullopt;
    auto set = split_by_width(delta.set);
    auto removed = split_by_width(delta.removed);
    block_table next;
    next.revision_ = delta.revision;
    const bool complete = next.v4_.merge(v4_, set.v4, removed.v4) &&
                          next.v6_.merge(v6_, set.v6, removed.v6) &&
                          next.v6_long_.merge(v6_long_, set.v6_long, removed.v6_long);
    if (!complete) return std::nullopt;
    return next;
}

std::size_t block_table::size() const {
    return v4_.starts.size() + v6_.starts.size() + v6_long_.starts.size();
}

std::size_t block_table::memory_bytes() const {
    return v4_.memory_bytes() + v6_.memory_bytes() + v6_long_.memory_bytes();
}

void add_block_chunk(std::string_view json, block_set& set) {
    std::string problem;
    const auto parsed = read_json(json, &problem);
    if (!parsed || !parsed->isObject())
        throw error(error_kind::bad_request, fmt::format("blocks: {}", problem));
    const auto& root = *parsed;
    const auto find_or_add_site = [&](const std::string& name) {
        for (std::size_t i = 0; i < set.sites.size(); ++i) {
            if (set.sites[i].name == name) return static_cast<site_index>(i);
        }
        if (set.sites.size() > std::numeric_limits<site_index>::max())
            throw error(error_kind::bad_request, "blocks: more than 65536 sites");
        set.sites.push_back({name, {}});
        return static_cast<site_index>(set.sites.size() - 1);
    };
    const auto& sites = root["sites"];
    const auto& blocks = root["blocks"];
    if (!(sites.isNull() || sites.isObject()) || !(blocks.isNull() || blocks.isObject()))
        throw error(error_kind::bad_request, "blocks: 'sites' and 'blocks' must be objects");
    for (const auto& name : sites.getMemberNames()) {
        auto& zones = set.sites[find_or_add_site(name)].zones;
        zones.clear();
        if (!sites[name].isArray()) throw error(error_kind::bad_request, "blocks: zones must be a list");
        for (const auto& zone : sites[name]) {
            if (!zone.isString()) throw error(error_kind::bad_request, "blocks: a zone must be a string");
            zones.push_back({zone.asString()});
        }
    }
    for (const auto& name : blocks.getMemberNames()) {
        const auto site = find_or_add_site(name);
        if (!blocks[name].isArray()) throw error(error_kind::bad_request, "blocks: blocks must be a list");
        for (const auto& block : blocks[name]) {
            if (!block.isString()) throw error(error_kind::bad_request, "blocks: a block must be a string");
            set.blocks.push_back(parse_block(block.asString(), site));
        }
    }
}

block_delta diff_blocks(std::span<const client_block> before, std::span<const client_block> after,
                        revision_id before_revision, revision_id after_revision) {
    const auto key = [](const client_block& block) { return std::tuple{block.address, block.prefix_length}; };
    const auto less = [&](const client_block& a, const client_block& b) { return key(a) < key(b); };
    std::vector<client_block> old_blocks(before.begin(), before.end());
    std::vector<client_block> new_blocks(after.begin(), after.end());
    std::stable_sort(old_blocks.begin(), old_blocks.end(), less);
    std::stable_sort(new_blocks.begin(), new_blocks.end(), less);
    block_delta delta{before_revision, after_revision, {}, {}};
    std::set_difference(old_blocks.begin(), old_blocks.end(), new_blocks.begin(), new_blocks.end(),
                        std::back_inserter(delta.removed), less);
    auto old_block = old_blocks.begin();
    for (const auto& block : new_blocks) {
        while (old_block != old_blocks.end() && less(*old_block, block))
            ++old_block;
        const bool unchanged =
            old_block != old_blocks.end() && key(*old_block) == key(block) && old_block->site == block.site;
        if (!unchanged) delta.set.push_back(block);
    }
    return delta;
}

} // namespace lacewing
