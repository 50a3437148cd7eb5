#include "coordination/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

constexpr double interval_smoothing = 1.0 / 16;

} // namespace

admission_queue::admission_queue(std::size_t capacity) : capacity_(capacity) {}

bool admission_queue::later(const entry& a, const entry& b) {
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
        result.evicted = make_room(request);
        if (!result.evicted) return {};
    }
    auto& account = account_at(request.account);
    account.weight = std::max<std::int64_t>(request.account_weight, 1);
    if (account.classes.size() <= request.caller_class)
        account.classes.resize(request.caller_class + std::size_t{1});
    auto& queue = account.classes[request.caller_class];
    queue.weight = std::max<std::int64_t>(request.class_weight, 1);
    if (size_ == 0) busy_since_ = now;
    if (account.size == 0) {
        account.deficit = 0;
        active_.push_back(request.account);
    }
    queue.heap.push_back({request, sequence_++});
    std::push_heap(queue.heap.begin(), queue.heap.end(), later);
    ++account.size;
    ++size_;
    result.accepted = true;
    return result;
}

// Evicts the latest deadline of the account that holds most places for its weight, if that is more than the
// new request's account would hold.
std::optional<std::uint64_t> admission_queue::make_room(const queued_request& request) {
    const auto own_size = account_at(request.account).size + 1;
    const auto own_weight = static_cast<double>(std::max<std::int64_t>(request.account_weight, 1));
    account_queue* largest = nullptr;
    double largest_use = static_cast<double>(own_size) / own_weight;
    for (const auto index : active_) {
        auto& candidate = accounts_[index];
        const double use = static_cast<double>(candidate.size) / static_cast<double>(candidate.weight);
        if (index == request.account || use <= largest_use) continue;
        largest = &candidate;
        largest_use = use;
    }
    if (largest == nullptr) return std::nullopt;
    // Within the account, the class that holds most places for its weight gives one up.
    auto& queue = *std::max_element(
        largest->classes.begin(), largest->classes.end(), [](const class_queue& a, const class_queue& b) {
            return static_cast<double>(a.heap.size()) / static_cast<double>(a.weight) <
                   static_cast<double>(b.heap.size()) / static_cast<double>(b.weight);
        });
    const auto last = std::min_element(queue.heap.begin(), queue.heap.end(), later);
    const auto id = last->request.id;
    remove(*largest, queue, static_cast<std::size_t>(last - queue.heap.begin()));
    return id;
}

void admission_queue::remove(account_queue& from, class_queue& queue, std::size_t position) {
    if (position == 0) {
        std::pop_heap(queue.heap.begin(), queue.heap.end(), later);
        queue.heap.pop_back();
    } else {
        queue.heap[position] = queue.heap.back();
        queue.heap.pop_back();
        std::make_heap(queue.heap.begin(), queue.heap.end(), later);
    }
    --from.size;
    --size_;
    if (from.size > 0) return;
    const auto index = static_cast<std::uint32_t>(&from - accounts_.data());
    const auto place = std::find(active_.begin(), active_.end(), index);
    if (place - active_.begin() < static_cast<std::ptrdiff_t>(turn_)) --turn_;
    active_.erase(place);
}

void admission_queue::expire_account(time_ms now, account_queue& from, std::vector<std::uint64_t>& expired) {
    for (auto& queue : from.classes) {
        while (!queue.heap.empty() && queue.heap.front().request.deadline <= now) {
            expired.push_back(queue.heap.front().request.id);
            remove(from, queue, 0);
        }
    }
}

void admission_queue::expire(time_ms now, std::vector<std::uint64_t>& expired) {
    // Backwards, because an account that becomes empty leaves the list.
    for (auto i = active_.size(); i-- > 0;)
        expire_account(now, accounts_[active_[i]], expired);
}

// Deficit round robin with a cost of one request; the quantum of the heaviest account is one request, so that
// turns interleave and no account sends a long run.
admission_queue::account_queue* admission_queue::next_account() {
    if (active_.empty()) return nullptr;
    std::int64_t cost = 1;
    for (const auto index : active_)
        cost = std::max(cost, accounts_[index].weight);
    for (;;) {
        std::int64_t rounds = cost;
        for (std::size_t i = 0; i < active_.size(); ++i) {
            if (turn_ >= active_.size()) turn_ = 0;
            auto& candidate = accounts_[active_[turn_++]];
            candidate.deficit += candidate.weight;
            if (candidate.deficit >= cost) {
                candidate.deficit -= cost;
                return &candidate;
            }
            rounds = std::min(rounds, (cost - candidate.deficit - 1) / candidate.weight);
        }
        // Skips the rounds in which no account would reach the cost.
        for (const auto index : active_)
            accounts_[index].deficit += rounds * accounts_[index].weight;
    }
}

// Smooth weighted round robin over the classes that wait.
admission_queue::class_queue& admission_queue::next_class(account_queue& from) {
    class_queue* best = nullptr;
    std::int64_t total = 0;
    for (auto& queue : from.classes) {
        if (queue.heap.empty()) {
            queue.turn = 0;
            continue;
        }
        queue.turn += queue.weight;
        total += queue.weight;
        if (best == nullptr || queue.turn > best->turn) best = &queue;
    }
    best->turn -= total;
    return *best;
}

std::optional<queued_request> admission_queue::pop(time_ms now, std::vector<std::uint64_t>& expired) {
    expire(now, expired);
    auto* account = next_account();
    if (account == nullptr) return std::nullopt;
    auto& queue = next_class(*account);
    const auto request = queue.heap.front().request;
    measure(now);
    remove(*account, queue, 0);
    return request;
}

void admission_queue::measure(time_ms now) {
    const auto interval = static_cast<double>((now - busy_since_).count);
    interval_ = interval_ < 0 ? interval : interval_ + interval_smoothing * (interval - interval_);
    busy_since_ = now;
}

bool admission_queue::cancel(std::uint64_t id, std::uint32_t account, std::uint8_t caller_class) {
    if (account >= accounts_.size() || caller_class >= accounts_[account].classes.size()) return false;
    auto& queue = accounts_[account].classes[caller_class];
    const auto found = std::find_if(queue.heap.begin(), queue.heap.end(),
                                    [&](const entry& item) { return item.request.id == id; });
    if (found == queue.heap.end()) return false;
    remove(accounts_[account], queue, static_cast<std::size_t>(found - queue.heap.begin()));
    return true;
}

time_ms admission_queue::expected_wait(time_ms now, const queued_request& request) const {
    if (interval_ < 0 || size_ == 0) return {};
    // A stalled queue has a longer interval than the one measured before the stall.
    const double interval = std::max(interval_, static_cast<double>((now - busy_since_).count));
    std::int64_t weights = std::max<std::int64_t>(request.account_weight, 1);
    const auto own_weight = weights;
    for (const auto index : active_) {
        if (index != request.account) weights += accounts_[index].weight;
    }
    double ahead = 0;
    std::int64_t class_weights = std::max<std::int64_t>(request.class_weight, 1);
    const auto own_class_weight = class_weights;
    if (request.account < accounts_.size()) {
        const auto& classes = accounts_[request.account].classes;
        for (std::size_t i = 0; i < classes.size(); ++i) {
            if (i != request.caller_class) {
                if (!classes[i].heap.empty()) class_weights += classes[i].weight;
                continue;
            }
            ahead = static_cast<double>(
                std::count_if(classes[i].heap.begin(), classes[i].heap.end(),
                              [&](const entry& item) { return item.request.deadline <= request.deadline; }));
        }
    }
    const double share = static_cast<double>(own_weight) / static_cast<double>(weights) *
                         static_cast<double>(own_class_weight) / static_cast<double>(class_weights);
    // The whole queue ahead bounds the estimate: the shares of others fall to this one when they run dry.
    const double departures = std::min((ahead + 1) / share, static_cast<double>(size_ + 1));
    return {static_cast<std::int64_t>(std::ceil(departures * interval))};
}

} // namespace lacewing
