#include "coordination/at_most_once_registry.h"

#include <algorithm>
#include <bit>
#include <charconv>
#include <fmt/format.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lacewing {

namespace {

constexpr std::size_t max_id_length = 128;
constexpr std::int64_t max_issue_age_s = 600;
constexpr std::int64_t max_issue_lead_s = 60;
// An id admitted at wall time W was issued at W + 60 s at the latest, so from W + 660 s on it is refused as
// too old and its entry is no longer needed. The further 60 s cover rounding.
constexpr std::int64_t retention_s = 720;
// An id issued this far ahead is refused as too old just when its entry is evicted. An id further ahead
// becomes valid only after the longest deadline of the refused request has passed, so it needs no entry.
constexpr std::int64_t max_remembered_lead_s = 2 * max_issue_lead_s;
// Longest deadline of a request: no attempt is sent later than this after admission.
constexpr std::int64_t max_start_delay_s = 60;
constexpr std::size_t incarnation_digits = 16;

[[noreturn]] void reject(std::string_view reason) {
    throw error(error_kind::bad_request, fmt::format("request id: {}", reason));
}

bool is_random_part_character(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || c == '-';
}

} // namespace

request_id_parts parse_request_id(std::string_view text) {
    if (text.size() > max_id_length) reject("longer than 128 characters");
    if (text.size() <= incarnation_digits || text[incarnation_digits] != '-') reject("no incarnation");
    request_id_parts parts;
    parts.incarnation = incarnation_from_hex(text.substr(0, incarnation_digits));
    const auto after_incarnation = text.substr(incarnation_digits + 1);
    const auto dash = after_incarnation.find('-');
    if (dash == std::string_view::npos || dash == 0 || dash + 1 == after_incarnation.size())
        reject("no random part");
    const auto* time_end = after_incarnation.data() + dash;
    const auto [parsed_end, status] = std::from_chars(after_incarnation.data(), time_end, parts.issued_s, 16);
    if (status != std::errc{} || parsed_end != time_end || parts.issued_s < 0) reject("no issue time");
    const auto random = after_incarnation.substr(dash + 1);
    if (!std::all_of(random.begin(), random.end(), is_random_part_character)) reject("unexpected character");
    return parts;
}

std::string make_id_prefix(incarnation_id incarnation, std::int64_t issued_s) {
    return fmt::format("{}-{:x}", to_hex(incarnation), issued_s);
}

error_kind error_kind_for(std::optional<once_outcome> outcome) {
    if (!outcome) return error_kind::outcome_unknown;
    switch (*outcome) {
    case once_outcome::never_seen_now_refused:
    case once_outcome::not_run:
        return error_kind::no_capacity;
    case once_outcome::ran:
        return error_kind::duplicate_request;
    case once_outcome::running:
    case once_outcome::unknown:
        return error_kind::outcome_unknown;
    }
    return error_kind::outcome_unknown;
}

at_most_once_registry::at_most_once_registry(incarnation_id self, std::size_t capacity)
    : self_(self), ring_(std::max<std::size_t>(capacity, 1)), buckets_(std::bit_ceil(ring_.size() * 2)) {}

// Advances the registry's clocks, evicts expired entries and returns the wall time for the age of ids, in
// Unix seconds.
std::int64_t at_most_once_registry::advance_clocks(clock_reading time) {
    // If the wall time followed a clock that is set back, evicted ids would no longer be refused as too old.
    if (latest_monotonic_.count != 0)
        latest_wall_ms_ += std::max<std::int64_t>((time.monotonic - latest_monotonic_).count, 0);
    latest_wall_ms_ = std::max(latest_wall_ms_, time.wall_s * 1000);
    latest_monotonic_ = std::max(latest_monotonic_, time.monotonic);
    evict_expired();
    return latest_wall_ms_ / 1000;
}

at_most_once_registry::id_hash at_most_once_registry::hash_of(std::string_view request_id) const {
    // Seeded with the incarnation, so that callers cannot prepare colliding ids in advance.
    const auto hash = XXH3_128bits_withSeed(request_id.data(), request_id.size(), self_.value);
    return {hash.high64, hash.low64};
}

// Returns the bucket of the key, or the empty bucket where it would be inserted.
std::size_t at_most_once_registry::find_bucket(const id_hash& key) const {
    const auto mask = buckets_.size() - 1;
    auto bucket = key.low & mask;
    while (buckets_[bucket] != 0) {
        const auto& record = ring_[buckets_[bucket] - 1];
        if (record.hash_high == key.high && record.hash_low == key.low) break;
        bucket = (bucket + 1) & mask;
    }
    return bucket;
}

// Empties a bucket and moves later entries of the same probe sequence back, so that no search stops early.
void at_most_once_registry::erase_bucket(std::size_t bucket) {
    const auto mask = buckets_.size() - 1;
    auto next = (bucket + 1) & mask;
    for (; buckets_[next] != 0; next = (next + 1) & mask) {
        const auto first_probe = ring_[buckets_[next] - 1].hash_low & mask;
        if (((next - first_probe) & mask) < ((next - bucket) & mask)) continue;
        buckets_[bucket] = buckets_[next];
        bucket = next;
    }
    buckets_[bucket] = 0;
}

// Evicts entries in the order of insertion, up to the first that is still running or not old enough.
void at_most_once_registry::evict_expired() {
    const auto now_s = latest_monotonic_.count / 1000;
    while (head_ != tail_) {
        const auto& oldest = entry_at(head_);
        const bool running = oldest.state == entry_state::admitted || oldest.state == entry_state::sent;
        if (running || now_s - oldest.inserted_s <= retention_s) return;
        erase_bucket(find_bucket({oldest.hash_high, oldest.hash_low}));
        ++head_;
    }
}

// Inserts an id. When the registry is full, unknown ids issued up to the same time are refused from now on
// instead.
std::optional<std::uint64_t> at_most_once_registry::insert(const id_hash& key, std::int64_t issued_s,
                                                           entry_state state) {
    if (size() >= ring_.size()) {
        refused_up_to_s_ = std::max(refused_up_to_s_, issued_s);
        return std::nullopt;
    }
    const auto ticket = tail_++;
    entry_at(ticket) = {key.high, key.low, static_cast<std::uint32_t>(latest_monotonic_.count / 1000), state};
    buckets_[find_bucket(key)] = static_cast<std::uint32_t>(ticket % ring_.size()) + 1;
    return ticket;
}

at_most_once_registry::begin_result at_most_once_registry::begin(clock_reading time,
                                                                 std::string_view request_id) {
    const auto wall_s = advance_clocks(time);
    request_id_parts parts;
    try {
        parts = parse_request_id(request_id);
    } catch (const error& failure) {
        return {verdict::answer, failure.kind(), 0, {}};
    }
    if (parts.incarnation != self_)
        return {verdict::ask_bound_vm, error_kind::internal, 0, parts.incarnation};
    const auto key = hash_of(request_id);
    if (const auto index_plus_one = buckets_[find_bucket(key)]; index_plus_one != 0)
        return {verdict::answer, error_kind_for(outcome_of(ring_[index_plus_one - 1].state)), 0, {}};
    const auto age_s = wall_s - parts.issued_s;
    if (age_s > max_issue_age_s) return {verdict::answer, error_kind::outcome_unknown, 0, {}};
    if (age_s < -max_issue_lead_s) {
        // The caller is told that the request did not run, so a repeat must not run either after the id has
        // become valid.
        if (age_s >= -max_remembered_lead_s && size() < ring_.size())
            insert(key, parts.issued_s, entry_state::not_run);
        return {verdict::answer, error_kind::bad_request, 0, {}};
    }
    if (parts.issued_s <= refused_up_to_s_) return {verdict::answer, error_kind::no_capacity, 0, {}};
    const auto ticket = insert(key, parts.issued_s, entry_state::admitted);
    if (!ticket) return {verdict::answer, error_kind::no_capacity, 0, {}};
    return {verdict::execute, error_kind::internal, *ticket, {}};
}

bool at_most_once_registry::try_mark_sent(clock_reading time, std::uint64_t ticket) {
    advance_clocks(time);
    auto& record = entry_at(ticket);
    if (ticket < head_ || record.state != entry_state::admitted) return false;
    // After a long pause of this process the caller has given up, and other VMs may have answered
    // outcome_unknown for the id.
    if (latest_monotonic_.count / 1000 - record.inserted_s > max_start_delay_s) return false;
    record.state = entry_state::sent;
    return true;
}

void at_most_once_registry::attempt_not_run(std::uint64_t ticket) {
    if (ticket < head_) return;
    auto& record = entry_at(ticket);
    if (record.state == entry_state::sent) record.state = entry_state::admitted;
}

once_outcome at_most_once_registry::finish(std::uint64_t ticket, once_outcome outcome) {
    if (ticket < head_) return once_outcome::unknown;
    auto& record = entry_at(ticket);
    const bool may_change = record.state == entry_state::admitted || record.state == entry_state::sent ||
                            record.state == entry_state::unknown;
    if (!may_change) return outcome_of(record.state);
    if (outcome == once_outcome::ran) {
        record.state = entry_state::ran;
    } else if (record.state == entry_state::admitted) {
        // No attempt was sent, or the endpoints declared that they ran none.
        record.state = entry_state::not_run;
    } else {
        record.state = entry_state::unknown;
    }
    return outcome_of(record.state);
}

once_outcome at_most_once_registry::answer_query(clock_reading time, std::string_view request_id) {
    const auto wall_s = advance_clocks(time);
    request_id_parts parts;
    try {
        parts = parse_request_id(request_id);
    } catch (const error&) {
        return once_outcome::unknown;
    }
    if (parts.incarnation != self_) return once_outcome::unknown;
    const auto key = hash_of(request_id);
    if (const auto index_plus_one = buckets_[find_bucket(key)]; index_plus_one != 0)
        return outcome_of(ring_[index_plus_one - 1].state);
    // An id that is too old may have run before its entry was evicted. An id issued too far ahead may become
    // valid and run later.
    const auto age_s = wall_s - parts.issued_s;
    if (age_s > max_issue_age_s || age_s < -max_issue_lead_s) return once_outcome::unknown;
    if (parts.issued_s > refused_up_to_s_) insert(key, parts.issued_s, entry_state::not_run);
    return once_outcome::never_seen_now_refused;
}

void at_most_once_registry::change_incarnation(incarnation_id self) {
    self_ = self;
}

once_outcome at_most_once_registry::outcome_of(entry_state state) {
    switch (state) {
    case entry_state::admitted:
    case entry_state::sent:
        return once_outcome::running;
    case entry_state::ran:
        return once_outcome::ran;
    case entry_state::not_run:
        return once_outcome::not_run;
    case entry_state::unknown:
        return once_outcome::unknown;
    }
    return once_outcome::unknown;
}

std::size_t at_most_once_registry::memory_bytes() const {
    return ring_.capacity() * sizeof(entry) + buckets_.capacity() * sizeof(std::uint32_t);
}

once_query outcome_queries::ask(time_ms now, incarnation_id bound, std::string_view request_id,
                                std::uint64_t request) {
    pending_.push_back({++sequence_, request, bound, now + reply_timeout});
    return {sequence_, std::string(request_id)};
}

std::optional<outcome_queries::answered> outcome_queries::on_reply(incarnation_id from,
                                                                   const once_reply& reply) {
    const auto found = std::find_if(pending_.begin(), pending_.end(), [&](const pending& item) {
        return item.sequence == reply.sequence && item.bound == from;
    });
    if (found == pending_.end()) return std::nullopt;
    const answered result{found->request, error_kind_for(reply.outcome)};
    pending_.erase(found);
    return result;
}

void outcome_queries::expire(time_ms now, std::vector<answered>& out) {
    const auto first_expired = std::stable_partition(
        pending_.begin(), pending_.end(), [&](const pending& item) { return now < item.expires_at; });
    for (auto item = first_expired; item != pending_.end(); ++item)
        out.push_back({item->request, error_kind::outcome_unknown});
    pending_.erase(first_expired, pending_.end());
}

} // namespace lacewing
