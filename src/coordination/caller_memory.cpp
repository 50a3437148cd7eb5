#include "coordination/caller_memory.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lacewing {

namespace {

std::size_t large_part(std::size_t bytes) {
    return bytes > caller_memory::small_bytes ? bytes - caller_memory::small_bytes : 0;
}

std::size_t share_of(std::size_t bytes, double share) {
    return static_cast<std::size_t>(static_cast<double>(bytes) * share);
}

} // namespace

std::string_view to_string(memory_cause cause) {
    switch (cause) {
    case memory_cause::unfinished_request:
        return "unfinished_request";
    case memory_cause::unread_answer:
        return "unread_answer";
    case memory_cause::budget_used_up:
        return "budget_used_up";
    case memory_cause::no_connection_left:
        return "no_connection_left";
    }
    return "unknown";
}

caller_memory::holding::holding(caller_memory& account, std::function<void()> close)
    : account_(account), close_(std::move(close)),
      position_(account.holdings_.insert(account.holdings_.end(), this)) {}

caller_memory::holding::~holding() {
    if (!closed_) account_.add(bytes_, 0);
    account_.holdings_.erase(position_);
}

bool caller_memory::holding::set(std::size_t bytes, memory_use use, time_ms now) {
    // A closed connection counts as freed; it frees its memory as soon as its coroutine runs.
    if (closed_) return false;
    account_.add(bytes_, bytes);
    const auto before = bytes_;
    last_progress_ = now;
    bytes_ = bytes;
    use_ = use;
    if (bytes <= before || account_.has_room(bytes)) return true;
    account_.make_room(memory_use::unfinished_request, memory_cause::unfinished_request, now, this);
    account_.make_room(memory_use::unread_answer, memory_cause::unread_answer, now, this);
    if (closed_) return false;
    if (account_.has_room(bytes)) return true;
    memory_shedding refused{memory_cause::budget_used_up, 1, bytes_, {}, account_.held_, account_.budget_};
    account_.record(refused);
    // What is refused is not kept, so it must not count against others.
    account_.add(bytes, before);
    bytes_ = before;
    return false;
}

// Order in which connections are closed. One that has just made progress counts with one millisecond.
std::uint64_t caller_memory::holding::weight(time_ms now) const {
    const auto stalled = std::max<std::int64_t>(0, (now - last_progress_).count) + 1;
    return static_cast<std::uint64_t>(bytes_) * static_cast<std::uint64_t>(stalled);
}

std::size_t caller_memory::budget_of(std::int64_t memory_mb) {
    return share_of(static_cast<std::size_t>(memory_mb) * 1024 * 1024, memory_share);
}

void caller_memory::add(std::size_t before, std::size_t after) {
    held_ = held_ - before + after;
    held_large_ = held_large_ - large_part(before) + large_part(after);
}

// Whether a share of the budget, and of the part of it that large requests may use, suffices.
// Whether a connection may hold that many bytes, which are recorded already. A small one does not depend on
// the part of the budget that large requests share.
bool caller_memory::has_room(std::size_t bytes) const {
    return bytes <= small_bytes ? held_ <= budget_ : within(1);
}

bool caller_memory::within(double share) const {
    return held_ <= share_of(budget_, share) &&
           held_large_ <= share_of(budget_, share * (1 - reserved_share));
}

// Closes connections of one use, worst first, until enough is free.
void caller_memory::make_room(memory_use use, memory_cause cause, time_ms now, holding* asking) {
    if (within(1)) return;
    // Closing a small connection does not help the bound on large parts.
    const bool only_large = held_ <= budget_;
    std::vector<std::pair<std::uint64_t, holding*>> candidates;
    for (auto* item : holdings_) {
        if (item->closed_ || item->use_ != use || item->bytes_ == 0) continue;
        if (only_large && item->bytes_ <= small_bytes) continue;
        candidates.emplace_back(item->weight(now), item);
    }
    std::sort(candidates.begin(), candidates.end(), std::greater<>());
    memory_shedding shedding{cause, 0, 0, {}, held_, budget_};
    for (const auto& [weight, victim] : candidates) {
        if (within(shed_target)) break;
        close(*victim, shedding, now, asking);
    }
    if (shedding.connections > 0) record(shedding);
}

void caller_memory::close(holding& victim, memory_shedding& shedding, time_ms now, const holding* asking) {
    ++shedding.connections;
    shedding.bytes += victim.bytes_;
    shedding.longest_stall = std::max(shedding.longest_stall, now - victim.last_progress_);
    add(victim.bytes_, 0);
    victim.closed_ = true;
    // The asking connection learns it from the result of set().
    if (&victim != asking) victim.close_();
}

caller_memory::holding* caller_memory::worst_stalled(time_ms now, time_ms min_stall) const {
    holding* worst = nullptr;
    for (auto* item : holdings_) {
        if (item->closed_ || item->use_ != memory_use::unfinished_request) continue;
        if (now - item->last_progress_ < min_stall) continue;
        if (worst == nullptr || item->weight(now) > worst->weight(now)) worst = item;
    }
    return worst;
}

bool caller_memory::close_stalled(time_ms now, time_ms min_stall) {
    auto* worst = worst_stalled(now, min_stall);
    if (worst == nullptr) return false;
    memory_shedding shedding{memory_cause::no_connection_left, 0, 0, {}, held_, budget_};
    close(*worst, shedding, now, nullptr);
    record(shedding);
    return true;
}

void caller_memory::record(const memory_shedding& shedding) {
    counts_[static_cast<std::size_t>(shedding.cause)] += shedding.connections;
    if (on_shed) on_shed(shedding);
}

} // namespace lacewing
