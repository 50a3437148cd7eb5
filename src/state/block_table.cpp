#include "state/block_table.h"

#include "state/error_kind.h"

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
constexpr std::uint8_t half_bits = 64;
constexpr std::uint8_t v6_bits = 128;

detail::wide_key to_wide(const ip_address& address) {
    return (static_cast<detail::wide_key>(address.high) << half_bits) | address.low;
}

// Mask of the first `length` bits.
template <class Key>
Key mask_of(std::uint8_t length) {
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

// Order of rows, and equality of blocks.
template <class Row>
auto row_key(const Row& item) {
    return std::tuple{item.start, item.length};
}

template <class Row>
bool row_before(const Row& a, const Row& b) {
    return row_key(a) < row_key(b);
}

struct split_rows {
    std::vector<detail::prefix_array<std::uint32_t>::row> v4;
    std::vector<detail::prefix_array<std::uint64_t>::row> v6;
    std::vector<detail::prefix_array<detail::wide_key>::row> v6_long;
};

split_rows split(std::span<const client_block> blocks) {
    split_rows rows;
    for (const auto& block : blocks) {
        if (!block.address.v6) {
            rows.v4.push_back(
                {static_cast<std::uint32_t>(block.address.low), block.prefix_length, block.site});
        } else if (block.prefix_length <= half_bits) {
            rows.v6.push_back({block.address.high, block.prefix_length, block.site});
        } else {
            rows.v6_long.push_back({to_wide(block.address), block.prefix_length, block.site});
        }
    }
    return rows;
}

[[noreturn]] void reject(std::string_view text) {
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
    constexpr std::uint64_t mapped = 0xffff;
    if (address.high == 0 && address.low >> v4_bits == mapped)
        return ip_address{0, address.low & UINT32_MAX, false};
    return address;
}

client_block parse_block(std::string_view text, site_index site) {
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) reject(text);
    const auto address = parse_address(text.substr(0, slash));
    unsigned length = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, status] = std::from_chars(text.data() + slash + 1, end, length);
    if (!address || status != std::errc{} || stop != end) reject(text);
    if (length > (address->v6 ? v6_bits : v4_bits)) reject(text);
    const auto bits = static_cast<std::uint8_t>(length);
    const bool aligned =
        address->v6 ? (to_wide(*address) & ~mask_of<detail::wide_key>(bits)) == 0
                    : (static_cast<std::uint32_t>(address->low) & ~mask_of<std::uint32_t>(bits)) == 0;
    if (!aligned) reject(text);
    return {*address, bits, site};
}

namespace detail {

template <class Key>
std::optional<site_index> prefix_array<Key>::find(Key address) const {
    const auto after = std::upper_bound(starts.begin(), starts.end(), address);
    if (after == starts.begin()) return std::nullopt;
    // The row before is the answer or lies inside it: blocks nest and never overlap otherwise.
    auto at = static_cast<std::uint32_t>(after - starts.begin() - 1);
    while (at != no_parent) {
        if ((address & mask_of<Key>(lengths[at])) == starts[at]) return sites[at];
        at = parents[at];
    }
    return std::nullopt;
}

// Fills an empty array with the rows of base, changed by `set` and `removed`; false when base lacks a removed
// row.
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
        // Of equal blocks the last one counts.
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
    // Blocks that contain the current start, outermost first.
    std::vector<std::uint32_t> open;
    for (std::uint32_t i = 0; i < starts.size(); ++i) {
        while (!open.empty() && (starts[i] & mask_of<Key>(lengths[open.back()])) != starts[open.back()])
            open.pop_back();
        if (!open.empty()) parents[i] = open.back();
        open.push_back(i);
    }
}

template <class Key>
std::size_t prefix_array<Key>::memory_bytes() const {
    return starts.capacity() * sizeof(Key) + lengths.capacity() + sites.capacity() * sizeof(site_index) +
           parents.capacity() * sizeof(std::uint32_t);
}

} // namespace detail

block_table::block_table(std::span<const client_block> blocks, revision_id revision) : revision_(revision) {
    auto rows = split(blocks);
    split_rows none;
    v4_.merge({}, rows.v4, none.v4);
    v6_.merge({}, rows.v6, none.v6);
    v6_long_.merge({}, rows.v6_long, none.v6_long);
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
    auto set = split(delta.set);
    auto removed = split(delta.removed);
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
    Json::Value root;
    std::string problem;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    if (!reader->parse(json.data(), json.data() + json.size(), &root, &problem) || !root.isObject())
        throw error(error_kind::bad_request, fmt::format("blocks: {}", problem));
    const auto site_of = [&](const std::string& name) {
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
        auto& zones = set.sites[site_of(name)].zones;
        zones.clear();
        for (const auto& zone : sites[name]) {
            if (!zone.isString()) throw error(error_kind::bad_request, "blocks: a zone must be a string");
            zones.push_back({zone.asString()});
        }
    }
    for (const auto& name : blocks.getMemberNames()) {
        const auto site = site_of(name);
        for (const auto& block : blocks[name]) {
            if (!block.isString()) throw error(error_kind::bad_request, "blocks: a block must be a string");
            set.blocks.push_back(parse_block(block.asString(), site));
        }
    }
}

block_delta diff_blocks(std::span<const client_block> before, std::span<const client_block> after,
                        revision_id held, revision_id next) {
    const auto key = [](const client_block& block) { return std::tuple{block.address, block.prefix_length}; };
    const auto less = [&](const client_block& a, const client_block& b) { return key(a) < key(b); };
    std::vector<client_block> old_blocks(before.begin(), before.end());
    std::vector<client_block> new_blocks(after.begin(), after.end());
    std::stable_sort(old_blocks.begin(), old_blocks.end(), less);
    std::stable_sort(new_blocks.begin(), new_blocks.end(), less);
    block_delta delta{held, next, {}, {}};
    std::set_difference(old_blocks.begin(), old_blocks.end(), new_blocks.begin(), new_blocks.end(),
                        std::back_inserter(delta.removed), less);
    auto old_block = old_blocks.begin();
    for (const auto& block : new_blocks) {
        while (old_block != old_blocks.end() && less(*old_block, block))
            ++old_block;
        const bool held_equal =
            old_block != old_blocks.end() && key(*old_block) == key(block) && old_block->site == block.site;
        if (!held_equal) delta.set.push_back(block);
    }
    return delta;
}

} // namespace lacewing
