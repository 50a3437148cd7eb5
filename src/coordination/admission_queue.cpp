#include "coordination/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

constexpr double departure_interval_smoothing = 1.0 / 16;

} // namespace

admission_queue::admission_queue(std::size_t capacity) : capacity_(capacity) {}

bool admission_queue::has_later_deadline(const entry& a, const entry& b) {
    if (a.request.deadline != b.request.deadline) return a.request.deadline > b.request.deadline;
    return a.sequence > b.sequence;
}

admission_queue::account_queue& admission_queue::account_at(std::uint32_t account) {
    if (account >= accounts_.size()) accounts_.resize(account + std::size_t{1});
    return accounts_[account];
}

admission_queue::push_result admission_queue::push(time_ms now, const queued_request& request) {
    if (request.deadline <= now || capacity_ == 0) return {};
    if (now + expected_wait(now, request) > request.deadline) return {};
    push_result result;
    if (size_ >= capacity_) {
        result.evicted = evict_for(request);
        if (!result.evicted) return {};
    }
    auto& account = account_at(request.account);
    account.weight = std::max<std::int64_t>(request.account_weight, 1);
    if (account.classes.size() <= request.caller_class)
        account.classes.resize(request.caller_class + std::size_t{1});
    auto& queue = account.classes[request.caller_class];
    queue.weight = std::max<std::int64_t>(request.class_weight, 1);
    if (size_ == 0) last_departure_ = now;
    if (account.size == 0) {
        account.deficit = 0;
        active_accounts_.push_back(request.account);
    }
    queue.heap.push_back({request, next_sequence_++});
    std::push_heap(queue.heap.begin(), queue.heap.end(), has_later_deadline);
    ++account.size;
    ++size_;
    result.accepted = true;
    return result;
}

// Evicts the request with the latest deadline from the account with the highest occupancy (places divided by
// weight), if that is higher than the occupancy of the new request's account would be.
std::optional<std::uint64_t> admission_queue::evict_for(const queued_request& request) {
    const auto own_size = account_at(request.account).size + 1;
    const auto own_weight = static_cast<double>(std::max<std::int64_t>(request.account_weight, 1));
    account_queue* fullest = nullptr;
    double highest_occupancy = static_cast<double>(own_size) / own_weight;
    for (const auto index : active_accounts_) {
        auto& candidate = accounts_[index];
        const double occupancy = static_cast<double>(candidate.size) / static_cast<double>(candidate.weight);
        if (index == request.account || occupancy <= highest_occupancy) continue;
        fullest = &candidate;
        highest_occupancy = occupancy;
    }
    if (fullest == nullptr) return std::nullopt;
    // Within the account, from the class with the highest occupancy.
    auto& queue = *std::max_element(
        fullest->classes.begin(), fullest->classes.end(), [](const class_queue& a, const class_queue& b) {
            return static_cast<double>(a.heap.size()) / static_cast<double>(a.weight) <
                   static_cast<double>(b.heap.size()) / static_cast<double>(b.weight);
        });
    const auto latest = std::min_element(queue.heap.begin(), queue.heap.end(), has_later_deadline);
    const auto id = latest->request.id;
    remove(*fullest, queue, static_cast<std::size_t>(latest - queue.heap.begin()));
    return id;
}

void admission_queue::remove(account_queue& account, class_queue& queue, std::size_t position) {
    if (position == 0) {
        std::pop_heap(queue.heap.begin(), queue.heap.end(), has_later_deadline);
        queue.heap.pop_back();
    } else {
        queue.heap[position] = queue.heap.back();
        queue.heap.pop_back();
        std::make_heap(queue.heap.begin(), queue.heap.end(), has_later_deadline);
    }
    --account.size;
    --size_;
    if (account.size > 0) return;
    const auto index = static_cast<std::uint32_t>(&account - accounts_.data());
    const auto active_position = std::find(active_accounts_.begin(), active_accounts_.end(), index);
    if (active_position - active_accounts_.begin() < static_cast<std::ptrdiff_t>(next_turn_)) --next_turn_;
    active_accounts_.erase(active_position);
}

void admission_queue::expire_account(time_ms now, account_queue& account,
                                     std::vector<std::uint64_t>& expired) {
    for (auto& queue : account.classes) {
        while (!queue.heap.empty() && queue.heap.front().request.deadline <= now) {
            expired.push_back(queue.heap.front().request.id);
            remove(account, queue, 0);
        }
    }
}

void admission_queue::expire(time_ms now, std::vector<std::uint64_t>& expired) {
    // Backwards, because an account without requests is erased from the list.
    for (auto i = active_accounts_.size(); i-- > 0;)
        expire_account(now, accounts_[active_accounts_[i]], expired);
}

// Deficit round robin over accounts. A request costs as much as the largest weight, so that the account with
// that weight sends one request per round and no account sends a long run.
admission_queue::account_queue* admission_queue::next_account() {
    if (active_accounts_.empty()) return nullptr;
    std::int64_t cost = 1;
    for (const auto index : active_accounts_)
        cost = std::max(cost, accounts_[index].weight);
    for (;;) {
        std::int64_t skipped_rounds = cost;
        for (std::size_t i = 0; i < active_accounts_.size(); ++i) {
            if (next_turn_ >= active_accounts_.size()) next_turn_ = 0;
            auto& candidate = accounts_[active_accounts_[next_turn_++]];
            candidate.deficit += candidate.weight;
            if (candidate.deficit >= cost) {
                candidate.deficit -= cost;
                return &candidate;
            }
            skipped_rounds = std::min(skipped_rounds, (cost - candidate.deficit - 1) / candidate.weight);
        }
        // Skips the rounds in which no account could pay for a request.
        for (const auto index : active_accounts_)
            accounts_[index].deficit += skipped_rounds * accounts_[index].weight;
    }
}

// Smooth weighted round robin over the classes with waiting requests.
admission_queue::class_queue& admission_queue::next_class(account_queue& account) {
    class_queue* best = nullptr;
    std::int64_t total = 0;
    for (auto& queue : account.classes) {
        if (queue.heap.empty()) {
            queue.wrr_credit = 0;
            continue;
        }
        queue.wrr_credit += queue.weight;
        total += queue.weight;
        if (best == nullptr || queue.wrr_credit > best->wrr_credit) best = &queue;
    }
    best->wrr_credit -= total;
    return *best;
}

std::optional<queued_request> admission_queue::pop(time_ms now, std::vector<std::uint64_t>& expired) {
    expire(now, expired);
    auto* account = next_account();
    if (account == nullptr) return std::nullopt;
    auto& queue = next_class(*account);
    const auto request = queue.heap.front().request;
    record_departure(now);
    remove(*account, queue, 0);
    return request;
}

void admission_queue::record_departure(time_ms now) {
    const auto interval = static_cast<double>((now - last_departure_).count);
    mean_departure_interval_ms_ =
        mean_departure_interval_ms_ < 0
            ? interval
            : mean_departure_interval_ms_ +
                  departure_interval_smoothing * (interval - mean_departure_interval_ms_);
    last_departure_ = now;
}

bool admission_queue::cancel(std::uint64_t id, std::uint32_t account, std::uint8_t caller_class) {
    if (account >= accounts_.size() || caller_class >= accounts_[account].classes.size()) return false;
    auto& queue = accounts_[account].classes[caller_class];
    const auto found = std::find_if(queue.heap.begin(), queue.heap.end(),
                                    [&](const entry& waiting) { return waiting.request.id == id; });
    if (found == queue.heap.end()) return false;
    remove(accounts_[account], queue, static_cast<std::size_t>(found - queue.heap.begin()));
    return true;
}

time_ms admission_queue::expected_wait(time_ms now, const queued_request& request) const {
    if (mean_departure_interval_ms_ < 0 || size_ == 0) return {};
    // While the queue is stalled, the time since the last departure exceeds the average.
    const double interval =
        std::max(mean_departure_interval_ms_, static_cast<double>((now - last_departure_).count));
    std::int64_t total_weight = std::max<std::int64_t>(request.account_weight, 1);
    const auto own_weight = total_weight;
    for (const auto index : active_accounts_) {
        if (index != request.account) total_weight += accounts_[index].weight;
    }
    double requests_ahead = 0;
    std::int64_t total_class_weight = std::max<std::int64_t>(request.class_weight, 1);
    const auto own_class_weight = total_class_weight;
    if (request.account < accounts_.size()) {
        const auto& classes = accounts_[request.account].classes;
        for (std::size_t i = 0; i < classes.size(); ++i) {
            if (i != request.caller_class) {
                if (!classes[i].heap.empty()) total_class_weight += classes[i].weight;
                continue;
            }
            requests_ahead = static_cast<double>(
                std::count_if(classes[i].heap.begin(), classes[i].heap.end(), [&](const entry& waiting) {
                    return waiting.request.deadline <= request.deadline;
                }));
        }
    }
    const double share = static_cast<double>(own_weight) / static_cast<double>(total_weight) *
                         static_cast<double>(own_class_weight) / static_cast<double>(total_class_weight);
    // The length of the queue bounds the estimate: when other accounts and classes run out of requests, their
    // shares fall to this one.
    const double departures = std::min((requests_ahead + 1) / share, static_cast<double>(size_ + 1));
    return {static_cast<std::int64_t>(std::ceil(departures * interval))};
}

} // namespace lacewing
