#include "coordination/usage_windows.h"

#include <algorithm>

namespace lacewing {

namespace {

// A window counts as closed this long after its end: the clocks of the VMs differ a little, and some sends
// are still being refused.
constexpr time_ms closing_delay{200};

// Total over all accounts.
std::int64_t total(const usage_counts& counts) {
    std::int64_t sum = 0;
    for (const auto& [account, count] : counts)
        sum += count;
    return sum;
}

// Version of a record as sent: its closing is a change as well.
std::uint64_t sent_version(std::uint64_t changes, bool closed) {
    return changes * 2 + (closed ? 2 : 1);
}

std::int64_t floor_div(std::int64_t value, std::int64_t divisor) {
    return value / divisor - (value % divisor < 0 ? 1 : 0);
}

} // namespace

std::int64_t usage_counter::window_at(time_ms steady) const {
    return floor_div(clock_.at(steady).count, length_.count);
}

std::int64_t usage_counter::on_begin(std::string_view account, time_ms begins) {
    const auto window = window_at(begins);
    if (window < settled_below_) {
        ++too_late_;
        return window;
    }
    auto& entry = windows_[window];
    ++entry.version;
    const auto found = entry.counts.find(account);
    if (found != entry.counts.end()) {
        ++found->second;
    } else {
        entry.counts.emplace(account, 1);
    }
    if (windows_.size() > max_windows) {
        windows_.erase(windows_.begin());
        ++dropped_;
    }
    return window;
}

void usage_counter::take_back(std::string_view account, std::int64_t window) {
    const auto entry = windows_.find(window);
    if (entry == windows_.end()) return;
    const auto found = entry->second.counts.find(account);
    if (found == entry->second.counts.end() || found->second == 0) return;
    --found->second;
    ++entry->second.version;
}

void usage_counter::forget_below(std::int64_t window) {
    settled_below_ = std::max(settled_below_, window);
    windows_.erase(windows_.begin(), windows_.lower_bound(settled_below_));
}

std::vector<usage_record> usage_counter::unsent(time_ms now, const usage_outbox& outbox) const {
    std::vector<usage_record> made;
    const auto open = window_at(now - closing_delay);
    // A window without requests is reported too, so that the collector knows that it is complete.
    const auto last = std::max(open, windows_.empty() ? open : windows_.rbegin()->first);
    const auto oldest = std::min(open - 1, windows_.empty() ? open : windows_.begin()->first);
    const auto first = std::max({settled_below_, oldest, last - static_cast<std::int64_t>(max_windows)});
    for (auto window = first; window <= last; ++window) {
        if (window != last && made.size() + 1 >= usage_outbox::max_records) continue;
        const bool closed = window < open;
        const auto found = windows_.find(window);
        const auto version = sent_version(found != windows_.end() ? found->second.version : 0, closed);
        if (outbox.acknowledged(window, version)) continue;
        made.push_back({window, version, closed, {source_}, {}});
        if (found != windows_.end()) made.back().counts = found->second.counts;
    }
    return made;
}

void usage_outbox::set_receiver(std::uint64_t receiver) {
    if (receiver_ == receiver) return;
    receiver_ = receiver;
    acknowledged_.clear();
}

bool usage_outbox::acknowledged(std::int64_t window, std::uint64_t version) const {
    const auto found = acknowledged_.find(window);
    return found != acknowledged_.end() && found->second >= version;
}

void usage_outbox::on_acknowledged(std::uint64_t receiver, std::int64_t window, std::uint64_t version) {
    if (receiver != receiver_) return;
    auto& known = acknowledged_[window];
    known = std::max(known, version);
}

void usage_outbox::forget_below(std::int64_t window) {
    acknowledged_.erase(acknowledged_.begin(), acknowledged_.lower_bound(window));
}

void usage_collection::put(std::uint64_t sender, const usage_record& record) {
    if (record.window < settled_below_) return;
    auto& state = windows_[record.window];
    auto& known = state.by_sender[sender];
    if (known.version >= record.version) return;
    known = record;
    ++state.version;
    if (windows_.size() > max_windows) windows_.erase(windows_.begin());
}

usage_record usage_collection::sum(std::int64_t window, const sender_filter& lives) const {
    usage_record made;
    made.window = window;
    const auto found = windows_.find(window);
    if (found == windows_.end()) return made;
    std::vector<const usage_record*> order;
    std::set<const usage_record*> ended;
    for (const auto& [sender, record] : found->second.by_sender) {
        order.push_back(&record);
        if (!lives(sender)) ended.insert(&record);
    }
    std::stable_sort(order.begin(), order.end(), [](const usage_record* a, const usage_record* b) {
        if (a->closed != b->closed) return a->closed;
        return total(a->counts) > total(b->counts);
    });
    std::set<std::uint64_t> counted;
    made.closed = !order.empty();
    for (const auto* record : order) {
        const bool overlaps = std::any_of(record->sources.begin(), record->sources.end(),
                                          [&](std::uint64_t source) { return counted.contains(source); });
        if (overlaps) continue;
        counted.insert(record->sources.begin(), record->sources.end());
        made.closed = made.closed && (record->closed || ended.contains(record));
        for (const auto& [account, count] : record->counts)
            made.counts[account] += count;
    }
    made.sources.assign(counted.begin(), counted.end());
    made.version = sent_version(found->second.version, made.closed);
    return made;
}

std::vector<usage_record> usage_collection::unsent(const sender_filter& lives,
                                                   const usage_outbox& outbox) const {
    std::vector<usage_record> made;
    for (const auto& [window, state] : windows_) {
        const bool last = window == windows_.rbegin()->first;
        if (!last && made.size() + 1 >= usage_outbox::max_records) continue;
        if (outbox.acknowledged(window, sent_version(state.version, true))) continue;
        auto record = sum(window, lives);
        if (!outbox.acknowledged(window, record.version)) made.push_back(std::move(record));
    }
    return made;
}

void usage_collection::forget_below(std::int64_t window) {
    settled_below_ = std::max(settled_below_, window);
    windows_.erase(windows_.begin(), windows_.lower_bound(settled_below_));
}

} // namespace lacewing
