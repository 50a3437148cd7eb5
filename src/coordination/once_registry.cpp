#include "coordination/once_registry.h"

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
// An id begun at wall time W was issued at W + 60 s or before, so from W + 660 s on its age refuses it and it
// can be forgotten; the minute above that covers rounding.
constexpr std::int64_t retention_s = 720;
// An id this far ahead is forgotten just when its age refuses it. Ids further ahead become valid only after
// the longest deadline of the refused request has passed.
constexpr std::int64_t max_remembered_lead_s = 2 * max_issue_lead_s;
// The longest deadline of a request.
constexpr std::int64_t max_start_delay_s = 60;
constexpr std::size_t incarnation_digits = 16;

[[noreturn]] void reject(std::string_view reason) {
    throw error(error_kind::bad_request, fmt::format("request id: {}", reason));
}

bool is_random_character(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || c == '-';
}

} // namespace

request_id_parts parse_request_id(std::string_view text) {
    if (text.size() > max_id_length) reject("longer than 128 characters");
    if (text.size() <= incarnation_digits || text[incarnation_digits] != '-') reject("no incarnation");
    request_id_parts parts;
    parts.incarnation = incarnation_from_hex(text.substr(0, incarnation_digits));
    const auto rest = text.substr(incarnation_digits + 1);
    const auto dash = rest.find('-');
    if (dash == std::string_view::npos || dash == 0 || dash + 1 == rest.size()) reject("no random part");
    const auto* end = rest.data() + dash;
    const auto [stop, status] = std::from_chars(rest.data(), end, parts.issued_s, 16);
    if (status != std::errc{} || stop != end || parts.issued_s < 0) reject("no issue time");
    const auto random = rest.substr(dash + 1);
    if (!std::all_of(random.begin(), random.end(), is_random_character)) reject("unexpected character");
    return parts;
}

std::string make_id_prefix(incarnation_id incarnation, std::int64_t issued_s) {
    return fmt::format("{}-{:x}", to_hex(incarnation), issued_s);
}

error_kind kind_for(std::optional<once_outcome> outcome) {
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
    : self_(self), ring_(std::max<std::size_t>(capacity, 1)), cells_(std::bit_ceil(ring_.size() * 2)) {}

// Moves the registry's clocks forward and returns the wall time to judge ids by, in seconds.
std::int64_t at_most_once_registry::advance(clock_reading at) {
    // A wall clock that is set back would make forgotten ids young again, so it is not followed.
    if (now_.count != 0) wall_ms_ += std::max<std::int64_t>((at.now - now_).count, 0);
    wall_ms_ = std::max(wall_ms_, at.wall_s * 1000);
    now_ = std::max(now_, at.now);
    forget_old();
    return wall_ms_ / 1000;
}

at_most_once_registry::digest at_most_once_registry::digest_of(std::string_view request_id) const {
    // Seeded per incarnation, so that colliding ids cannot be prepared in advance.
    const auto hash = XXH3_128bits_withSeed(request_id.data(), request_id.size(), self_.value);
    return {hash.high64, hash.low64};
}

// Cell of the key, or the empty cell where it belongs.
std::size_t at_most_once_registry::find_cell(const digest& key) const {
    const auto mask = cells_.size() - 1;
    auto cell = key.low & mask;
    while (cells_[cell] != 0) {
        const auto& held = ring_[cells_[cell] - 1];
        if (held.hash_high == key.high && held.hash_low == key.low) break;
        cell = (cell + 1) & mask;
    }
    return cell;
}

// Empties a cell and moves later cells of the same run up, so that no search ends early.
void at_most_once_registry::erase_cell(std::size_t cell) {
    const auto mask = cells_.size() - 1;
    auto next = (cell + 1) & mask;
    for (; cells_[next] != 0; next = (next + 1) & mask) {
        const auto home = ring_[cells_[next] - 1].hash_low & mask;
        if (((next - home) & mask) < ((next - cell) & mask)) continue;
        cells_[cell] = cells_[next];
        cell = next;
    }
    cells_[cell] = 0;
}

void at_most_once_registry::forget_old() {
    const auto now_s = now_.count / 1000;
    while (head_ != tail_) {
        const auto& oldest = at(head_);
        const bool running = oldest.state == entry_state::admitted || oldest.state == entry_state::sent;
        if (running || now_s - oldest.begun_s <= retention_s) return;
        erase_cell(find_cell({oldest.hash_high, oldest.hash_low}));
        ++head_;
    }
}

// Remembers an id. When the registry is full, the id is refused for good by its issue time instead.
std::optional<std::uint64_t> at_most_once_registry::insert(const digest& key, std::int64_t issued_s,
                                                           entry_state state) {
    if (size() >= ring_.size()) {
        refused_up_to_s_ = std::max(refused_up_to_s_, issued_s);
        return std::nullopt;
    }
    const auto ticket = tail_++;
    at(ticket) = {key.high, key.low, static_cast<std::uint32_t>(now_.count / 1000), state};
    cells_[find_cell(key)] = static_cast<std::uint32_t>(ticket % ring_.size()) + 1;
    return ticket;
}

at_most_once_registry::begin_result at_most_once_registry::begin(clock_reading at_time,
                                                                 std::string_view request_id) {
    const auto wall_s = advance(at_time);
    request_id_parts parts;
    try {
        parts = parse_request_id(request_id);
    } catch (const error& failure) {
        return {verdict::answer, failure.kind(), 0, {}};
    }
    if (parts.incarnation != self_)
        return {verdict::ask_bound_vm, error_kind::internal, 0, parts.incarnation};
    const auto key = digest_of(request_id);
    if (const auto cell = cells_[find_cell(key)]; cell != 0)
        return {verdict::answer, kind_for(outcome_of(ring_[cell - 1].state)), 0, {}};
    const auto age_s = wall_s - parts.issued_s;
    if (age_s > max_issue_age_s) return {verdict::answer, error_kind::outcome_unknown, 0, {}};
    if (age_s < -max_issue_lead_s) {
        // The refusal claims not_run, so a repeat must not run either once the id has become valid.
        if (age_s >= -max_remembered_lead_s && size() < ring_.size())
            insert(key, parts.issued_s, entry_state::not_run);
        return {verdict::answer, error_kind::bad_request, 0, {}};
    }
    if (parts.issued_s <= refused_up_to_s_) return {verdict::answer, error_kind::no_capacity, 0, {}};
    const auto ticket = insert(key, parts.issued_s, entry_state::admitted);
    if (!ticket) return {verdict::answer, error_kind::no_capacity, 0, {}};
    return {verdict::execute, error_kind::internal, *ticket, {}};
}

bool at_most_once_registry::try_mark_sent(clock_reading at_time, std::uint64_t ticket) {
    advance(at_time);
    auto& held = at(ticket);
    if (ticket < head_ || held.state != entry_state::admitted) return false;
    // After a pause the caller has long given up, and other VMs have answered outcome_unknown for the id.
    if (now_.count / 1000 - held.begun_s > max_start_delay_s) return false;
    held.state = entry_state::sent;
    return true;
}

void at_most_once_registry::attempt_not_run(std::uint64_t ticket) {
    if (ticket < head_) return;
    auto& held = at(ticket);
    if (held.state == entry_state::sent) held.state = entry_state::admitted;
}

once_outcome at_most_once_registry::finish(std::uint64_t ticket, once_outcome outcome) {
    if (ticket < head_) return once_outcome::unknown;
    auto& held = at(ticket);
    const bool open = held.state == entry_state::admitted || held.state == entry_state::sent ||
                      held.state == entry_state::unknown;
    if (!open) return outcome_of(held.state);
    if (outcome == once_outcome::ran) {
        held.state = entry_state::ran;
    } else if (held.state == entry_state::admitted) {
        // Nothing was sent, or every attempt was declared as not run.
        held.state = entry_state::not_run;
    } else {
        held.state = entry_state::unknown;
    }
    return outcome_of(held.state);
}

once_outcome at_most_once_registry::answer_query(clock_reading at_time, std::string_view request_id) {
    const auto wall_s = advance(at_time);
    request_id_parts parts;
    try {
        parts = parse_request_id(request_id);
    } catch (const error&) {
        return once_outcome::unknown;
    }
    if (parts.incarnation != self_) return once_outcome::unknown;
    const auto key = digest_of(request_id);
    if (const auto cell = cells_[find_cell(key)]; cell != 0) return outcome_of(ring_[cell - 1].state);
    // An old id may have run and been forgotten. One from the future is bad here; it becomes valid later.
    const auto age = wall_s - parts.issued_s;
    if (age > max_issue_age_s || age < -max_issue_lead_s) return once_outcome::unknown;
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
    return ring_.capacity() * sizeof(entry) + cells_.capacity() * sizeof(std::uint32_t);
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
    const answered result{found->request, kind_for(reply.outcome)};
    pending_.erase(found);
    return result;
}

void outcome_queries::expire(time_ms now, std::vector<answered>& out) {
    const auto timely = std::stable_partition(pending_.begin(), pending_.end(),
                                              [&](const pending& item) { return now < item.until; });
    for (auto item = timely; item != pending_.end(); ++item)
        out.push_back({item->request, error_kind::outcome_unknown});
    pending_.erase(timely, pending_.end());
}

} // namespace lacewing
