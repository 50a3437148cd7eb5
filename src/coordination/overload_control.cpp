#include "coordination/overload_control.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

// A rate above this multiple of the usual rate counts as this multiple, so that a burst does not soon become
// usual.
constexpr double max_usual_growth = 1.1;
// Rates of accounts that are hardly known.
constexpr double min_usual_per_s = 0.05;
// Requests of an account that count in full whatever its rate.
constexpr double min_known_requests = 10;
// Time over which the rate of sends is measured.
constexpr time_ms drain_time{2000};
// Slots count as short for this long after a request has found none.
constexpr time_ms short_time{2000};
// Use beyond the fair share that makes an account yield, as time of its usual rate and in requests. Both must
// be exceeded: the first covers random arrivals of large accounts, the second those of small ones.
constexpr double max_lead_s = 2;
constexpr double max_lead_requests = 2;
// The fair share grows by this factor faster than accounts are served, so that random arrivals do not add up.
constexpr double share_slack = 1.05;
constexpr time_ms share_interval{500};
// An account or priority whose requests are sent this much less often than all does not yield, so that none
// starves.
constexpr double min_account_share = 0.25;
constexpr double min_priority_share = 0.4;
// Requests yield while those that go before them are sent less often than this.
constexpr double first_sent_share = 0.99;
// Decayed requests from which on the share of a lane means something.
constexpr double min_share_requests = 2;
// Part of the time left until the goal, or of that left until the deadline once the goal is missed, that a
// request may spend waiting.
constexpr double goal_wait_fraction = 0.8;
constexpr double late_wait_fraction = 0.25;
constexpr time_ms min_wait{10};
// Requests wait only while at least this share of the requests of their priority is sent, without those of
// accounts beyond their share. With less, new requests want every slot, and one that has waited would only
// take the place of one with more time left.
constexpr double min_waiting_share = 2;
// Part of the slots that is planned for callers that return.
constexpr double returning_fraction = 0.5;
constexpr double min_return_rate_per_s = 0.5;
constexpr time_ms min_return_time{50};
// Callers follow a return time up to this part of the time that they have left.
constexpr double max_return_fraction = 1.0 / 3;
// Inaccuracy of the time of a repeat.
constexpr time_ms repeat_tolerance{30};
constexpr std::size_t max_offers = 1024;
// Early repeats that mark an account, and their share of its repeats.
constexpr double min_early_repeats = 3;
constexpr double abusive_early_share = 0.5;
// Elapsed time from which on a request counts as a repeat without a matching offer.
constexpr time_ms min_repeat_age{100};
constexpr double service_time_weight = 0.1;
// Classes of admission_queue: callers that return when told, and new requests.
constexpr std::uint8_t returning_class = 0;
constexpr std::uint8_t new_class = 1;
constexpr std::int64_t returning_weight = 3;
// Turns a rate into the integer weight of admission_queue.
constexpr double weight_per_rate = 100;

} // namespace

namespace detail {

void decaying_count::add(time_ms now, double amount) {
    count_ = value(now) + amount;
    updated_ = std::max(updated_, now);
}

double decaying_count::value(time_ms now) const {
    if (now <= updated_) return count_;
    return count_ *
           std::exp(-static_cast<double>((now - updated_).count) / static_cast<double>(time_constant_.count));
}

double decaying_count::per_s(time_ms now, time_ms began) const {
    const auto constant_s = static_cast<double>(time_constant_.count) / 1000;
    const auto age_s = std::max(0.25, static_cast<double>((now - began).count) / 1000);
    return value(now) / (constant_s * (1 - std::exp(-age_s / constant_s)));
}

double service_share::sent_share(time_ms now) const {
    const double requests = offered.value(now);
    return requests > 0 ? std::min(1.0, sent.value(now) / requests) : 1;
}

} // namespace detail

std::string_view overload_reason_name(overload_reason reason) {
    switch (reason) {
    case overload_reason::no_slot_in_time:
        return "no_slot_in_time";
    case overload_reason::waited_in_vain:
        return "waited_in_vain";
    case overload_reason::displaced:
        return "displaced";
    case overload_reason::over_share:
        return "over_share";
    case overload_reason::less_urgent:
        return "less_urgent";
    case overload_reason::past_goal:
        return "past_goal";
    case overload_reason::returned_early:
        return "returned_early";
    }
    return "unknown";
}

overload_control::slot_group::slot_group(time_ms now)
    : began(now), queues(lanes, admission_queue(max_waiting)), drained(drain_time) {}

std::size_t overload_control::slot_group::waiting_up_to(std::size_t lane) const {
    std::size_t count = next && next->lane <= lane ? 1 : 0;
    for (std::size_t i = 0; i <= lane; ++i)
        count += queues[i].size();
    return count;
}

overload_control::slot_group& overload_control::group_of(time_ms now, std::string_view name) {
    const auto found = groups_.find(name);
    if (found != groups_.end()) return found->second;
    return groups_.try_emplace(std::string(name), now).first->second;
}

// Index of an account and priority within a group.
std::uint32_t overload_control::account_of(slot_group& group, std::string_view name, std::size_t priority) {
    auto& known = group.priorities.at(priority).accounts;
    const auto found = known.find(name);
    if (found != known.end()) return found->second;
    const auto index = static_cast<std::uint32_t>(group.accounts.size());
    group.accounts.emplace_back();
    known.emplace(name, index);
    return index;
}

double overload_control::usual_per_s(time_ms now, const slot_group& group, const account_use& account) {
    return std::max(min_usual_per_s, account.usual.per_s(now, group.began));
}

overload_control::ticket overload_control::arrive(time_ms now, const overload_request& request) {
    ticket asked;
    asked.request = request;
    asked.id = ++last_id_;
    asked.arrived = now;
    if (!enabled_) return asked;
    auto& group = group_of(now, request.group);
    asked.priority =
        static_cast<std::size_t>(std::clamp(request.priority, 0, static_cast<int>(max_priority)));
    asked.account = account_of(group, request.account, asked.priority);
    auto& account = group.accounts[asked.account];
    asked.lane = lane_of(group, asked);
    advance_shares(now, group, asked.priority);
    match_offer(now, asked, account);
    asked.over_share = over_share(now, group, asked);
    // Repeats are no further requests.
    if (request.elapsed < min_repeat_age && !asked.returned && !asked.returned_early)
        count_request(now, group, asked);
    return asked;
}

// Demand of the accounts of a priority as a multiple of their usual rates: the median, which a few accounts
// beyond their usual rates do not move.
double overload_control::usual_demand_ratio(time_ms now, const slot_group& group, const priority_use& use) {
    std::vector<std::pair<double, double>> ratios;
    ratios.reserve(use.accounts.size());
    double total = 0;
    for (const auto& [name, index] : use.accounts) {
        const auto& account = group.accounts[index];
        const double usual = usual_per_s(now, group, account);
        ratios.emplace_back(account.served.offered.per_s(now, group.began) / usual, usual);
        total += usual;
    }
    std::sort(ratios.begin(), ratios.end());
    double passed = 0;
    for (const auto& [ratio, usual] : ratios) {
        passed += usual;
        if (passed * 2 >= total) return ratio;
    }
    return 1;
}

// Adds to the fair shares of a priority what each account could have had since the last call.
void overload_control::advance_shares(time_ms now, slot_group& group, std::size_t priority) {
    auto& use = group.priorities.at(priority);
    if (use.advanced == time_ms{0}) use.advanced = now;
    use.fair_s += use.fair_per_s * static_cast<double>((now - use.advanced).count) / 1000;
    use.advanced = now;
    if (now - use.measured < share_interval) return;
    use.measured = now;
    use.fair_per_s = share_slack * usual_demand_ratio(now, group, use) *
                     std::max(min_account_share, use.within_share.sent_share(now));
}

// Counts a first request of its caller for the shares and for the usual rate of its account.
void overload_control::count_request(time_ms now, slot_group& group, const ticket& asked) {
    auto& account = group.accounts[asked.account];
    auto& priority = group.priorities.at(asked.priority);
    account.served.offered.add(now);
    priority.served.offered.add(now);
    if (!asked.over_share) priority.within_share.offered.add(now);
    group.by_lane.at(asked.lane).offered.add(now);
    group.all.offered.add(now);
    double amount = 1;
    if (account.usual.value(now) > min_known_requests) {
        const double rate = account.served.offered.per_s(now, group.began);
        amount = std::min(1.0, max_usual_growth * usual_per_s(now, group, account) / std::max(1e-9, rate));
    }
    account.usual.add(now, amount);
}

// Finds out whether the request is a repeat, and whether its caller has kept to the time that it was told.
void overload_control::match_offer(time_ms now, ticket& asked, account_use& account) {
    const auto& request = asked.request;
    if (request.elapsed <= time_ms{0}) return;
    const auto first_arrival = now - request.elapsed;
    const auto found = offers_.find(request.repeat_key);
    const bool matches = found != offers_.end() &&
                         first_arrival <= found->second.first_arrival + repeat_tolerance &&
                         found->second.first_arrival <= first_arrival + repeat_tolerance;
    if (matches) {
        const bool early = now + repeat_tolerance < found->second.due;
        account.repeats.add(now);
        if (early) {
            account.early_repeats.add(now);
            ++totals_.early_repeats;
        }
        asked.returned = !early;
        asked.returned_early = early;
        return;
    }
    if (request.elapsed < min_repeat_age) return;
    const double early = account.early_repeats.value(now);
    asked.returned_early =
        early >= min_early_repeats && early > abusive_early_share * account.repeats.value(now);
}

// Whether less than a share of the requests is sent.
bool overload_control::suffers(time_ms now, const detail::service_share& share, double least) {
    return share.offered.value(now) > min_share_requests && share.sent_share(now) < least;
}

// Whether an account has had so much more than its share that random arrivals do not explain it.
bool overload_control::over_share(time_ms now, const slot_group& group, const ticket& asked) {
    const auto& account = group.accounts[asked.account];
    const double lead_s = account.used_s - group.priorities.at(asked.priority).fair_s;
    return lead_s > max_lead_s && lead_s * usual_per_s(now, group, account) > max_lead_requests;
}

// Why the request may not take one of the last places while slots are short.
std::optional<overload_reason> overload_control::why_yields(time_ms now, const slot_group& group,
                                                            const ticket& asked) {
    if (now >= group.short_until) return std::nullopt;
    if (asked.returned_early) return overload_reason::returned_early;
    const auto& priority = group.priorities.at(asked.priority);
    const double all_share = group.all.sent_share(now);
    if (asked.over_share && suffers(now, priority.within_share, first_sent_share) &&
        group.accounts[asked.account].served.sent_share(now) > min_account_share * all_share) {
        return overload_reason::over_share;
    }
    if (priority.served.sent_share(now) <= min_priority_share * all_share) return std::nullopt;
    for (std::size_t lane = 0; lane < asked.lane; ++lane) {
        if (!suffers(now, group.by_lane.at(lane), first_sent_share)) continue;
        if (lane / 2 == asked.priority) return overload_reason::past_goal;
        if (!asked.returned) return overload_reason::less_urgent;
    }
    return std::nullopt;
}

std::size_t overload_control::lane_of(const slot_group& group, const ticket& asked) {
    const bool late = static_cast<double>(asked.request.goal_left.count) < group.service_time_ms;
    return 2 * asked.priority + (late ? 1 : 0);
}

overload_control::verdict overload_control::before_choice(time_ms now, ticket& asked) {
    if (!enabled_ && !asked.waiting) return {};
    auto& group = group_of(now, asked.request.group);
    if (!asked.waiting) {
        asked.yields = why_yields(now, group, asked);
        if (group.waiting_up_to(asked.lane) == 0) return {};
        // Others wait for the same slots and go first.
        if (asked.yields) return refuse(now, group, asked, *asked.yields);
        return enqueue(now, group, asked);
    }
    const auto removed = removed_.find(asked.id);
    if (removed != removed_.end()) {
        const auto reason = removed->second;
        return refuse(now, group, asked, reason);
    }
    if (now >= asked.latest_send) return refuse(now, group, asked, overload_reason::waited_in_vain);
    if (group.next && group.next->queued.id == asked.id) return {};
    return {ruling::wait, {}, {}};
}

overload_control::verdict overload_control::on_outlook(time_ms now, ticket& asked,
                                                       const slot_outlook& outlook) {
    auto& group = group_of(now, asked.request.group);
    const auto service_ms = static_cast<double>(outlook.service_time.count);
    if (service_ms > 0) {
        group.service_time_ms =
            group.service_time_ms == 0
                ? service_ms
                : group.service_time_ms + service_time_weight * (service_ms - group.service_time_ms);
    }
    if (!outlook.found) group.short_until = now + short_time;
    asked.yields = why_yields(now, group, asked);
    const bool yields = outlook.scarce && asked.yields;
    if (outlook.found && !yields) {
        send(now, group, asked);
        return {ruling::send, {}, {}};
    }
    if (!outlook.found) {
        const auto reason = asked.yields.value_or(overload_reason::no_slot_in_time);
        return refuse(now, group, asked, reason, outlook.retry_after);
    }
    return refuse(now, group, asked, *asked.yields);
}

// Lets a request wait if a slot is expected in time, and refuses it at once otherwise.
overload_control::verdict overload_control::enqueue(time_ms now, slot_group& group, ticket& asked) {
    if (suffers(now, group.priorities.at(asked.priority).within_share, min_waiting_share))
        return refuse(now, group, asked, overload_reason::no_slot_in_time);
    const auto left_ms = static_cast<double>(asked.request.left.count);
    const double slack_ms = static_cast<double>(asked.request.goal_left.count) - group.service_time_ms;
    const double patience_ms =
        slack_ms > 0 ? goal_wait_fraction * slack_ms
                     : std::min(late_wait_fraction * left_ms, (left_ms - group.service_time_ms) / 2);
    const double per_s = group.drained.per_s(now, group.began);
    const auto ahead = static_cast<double>(group.waiting_up_to(asked.lane));
    const bool in_time = per_s > 0 && (ahead + 1) * 1000 / per_s <= patience_ms;
    if (!in_time || patience_ms < static_cast<double>(min_wait.count))
        return refuse(now, group, asked, overload_reason::no_slot_in_time);
    asked.latest_send = now + time_ms{static_cast<std::int64_t>(patience_ms)};
    queued_request queued;
    queued.id = asked.id;
    queued.account = asked.account;
    queued.account_weight = std::max<std::int64_t>(
        1, std::llround(weight_per_rate * usual_per_s(now, group, group.accounts[asked.account])));
    queued.caller_class = asked.returned ? returning_class : new_class;
    queued.class_weight = asked.returned ? returning_weight : 1;
    queued.deadline = asked.latest_send;
    const auto pushed = group.queues[asked.lane].push(now, queued);
    if (pushed.evicted) {
        removed_[*pushed.evicted] = overload_reason::displaced;
        on_wake(*pushed.evicted);
    }
    if (!pushed.accepted) return refuse(now, group, asked, overload_reason::no_slot_in_time);
    asked.waiting = true;
    ++totals_.waited;
    if (auto* row = row_of(asked.request)) ++row->waited;
    if (group.next && asked.lane < group.next->lane) {
        const auto back = *group.next;
        if (group.queues[back.lane].push(now, back.queued).accepted) group.next.reset();
    }
    advance(now, group);
    return {ruling::wait, {}, {}};
}

// Takes the next request out of the queues if none has its turn.
void overload_control::advance(time_ms now, slot_group& group) {
    std::vector<std::uint64_t> expired;
    for (std::size_t lane = 0; lane < lanes && !group.next; ++lane) {
        if (group.queues[lane].size() == 0) continue;
        const auto taken = group.queues[lane].pop(now, expired);
        if (taken) group.next = waiting_request{*taken, lane};
    }
    for (const auto id : expired) {
        removed_[id] = overload_reason::waited_in_vain;
        on_wake(id);
    }
    if (group.next) on_wake(group.next->queued.id);
}

void overload_control::remove(time_ms now, slot_group& group, ticket& asked) {
    if (!asked.waiting) return;
    asked.waiting = false;
    if (removed_.erase(asked.id) > 0) return;
    if (group.next && group.next->queued.id == asked.id) {
        group.next.reset();
        advance(now, group);
        return;
    }
    group.queues[asked.lane].cancel(asked.id, asked.account, asked.returned ? returning_class : new_class);
}

void overload_control::send(time_ms now, slot_group& group, ticket& asked) {
    auto& account = group.accounts[asked.account];
    account.served.sent.add(now);
    auto& priority = group.priorities.at(asked.priority);
    priority.served.sent.add(now);
    if (!asked.over_share) priority.within_share.sent.add(now);
    group.by_lane.at(asked.lane).sent.add(now);
    group.all.sent.add(now);
    group.drained.add(now);
    advance_shares(now, group, asked.priority);
    account.used_s = std::max(priority.fair_s, account.used_s) + 1 / usual_per_s(now, group, account);
    if (asked.waiting) ++totals_.sent_after_wait;
    remove(now, group, asked);
}

overload_control::verdict overload_control::refuse(time_ms now, slot_group& group, ticket& asked,
                                                   overload_reason reason,
                                                   std::optional<time_ms> return_after) {
    remove(now, group, asked);
    ++totals_.refused.at(static_cast<std::size_t>(reason));
    if (auto* row = row_of(asked.request)) ++row->refused.at(static_cast<std::size_t>(reason));
    const auto wait = return_after ? *return_after : return_time(now, group, asked);
    record_offer(asked, now + wait);
    return {ruling::refuse, reason, wait};
}

// Gives refused callers turns at the rate at which slots come free, in time for their goal if it can still be
// met. Callers whose turn would come too late for that are spread at random.
time_ms overload_control::return_time(time_ms now, slot_group& group, const ticket& asked) {
    const auto waited = now - asked.arrived;
    const auto left_ms = static_cast<double>((asked.request.left - waited).count);
    const double goal_ms =
        static_cast<double>((asked.request.goal_left - waited).count) - group.service_time_ms;
    const auto min_ms = static_cast<double>(min_return_time.count);
    const bool timely = goal_ms > 2 * min_ms;
    const double limit_ms =
        std::max(1.0, std::min(max_return_fraction * left_ms, timely ? goal_ms : left_ms));
    const double per_s =
        std::max(min_return_rate_per_s, returning_fraction * group.drained.per_s(now, group.began));
    const auto turn =
        std::max(group.last_turn, now + min_return_time) + time_ms{std::llround(std::ceil(1000 / per_s))};
    if (static_cast<double>((turn - now).count) <= limit_ms) {
        group.last_turn = turn;
        return turn - now;
    }
    std::uniform_real_distribution<double> spread(timely ? min_ms : limit_ms / 2, limit_ms);
    return time_ms{std::max<std::int64_t>(1, std::llround(spread(random_)))};
}

void overload_control::record_offer(const ticket& asked, time_ms due) {
    const auto key = asked.request.repeat_key;
    const auto first_arrival = asked.arrived - asked.request.elapsed;
    if (offers_.insert_or_assign(key, offer{first_arrival, due}).second) offer_order_.push_back(key);
    if (offer_order_.size() <= max_offers) return;
    offers_.erase(offer_order_.front());
    offer_order_.pop_front();
}

bool overload_control::has_turn(const ticket& asked) const {
    const auto found = groups_.find(asked.request.group);
    return found != groups_.end() && found->second.next && found->second.next->queued.id == asked.id;
}

void overload_control::leave(time_ms now, ticket& asked) {
    if (!asked.waiting) return;
    ++totals_.left_while_waiting;
    remove(now, group_of(now, asked.request.group), asked);
}

void overload_control::wake_next(std::string_view group_name) {
    const auto found = groups_.find(group_name);
    if (found != groups_.end() && found->second.next) on_wake(found->second.next->queued.id);
}

std::size_t overload_control::waiting() const {
    std::size_t count = 0;
    for (const auto& [name, group] : groups_)
        count += group.waiting_up_to(lanes - 1);
    return count;
}

overload_control::refusal_row* overload_control::row_of(const overload_request& request) {
    const std::pair<std::string, std::string> key(request.route, request.account);
    const auto found = row_index_.find(key);
    if (found != row_index_.end()) return &rows_[found->second];
    if (rows_.size() >= max_rows) return nullptr;
    row_index_.emplace(key, rows_.size());
    rows_.push_back({key.first, key.second, {}, 0});
    return &rows_.back();
}

} // namespace lacewing
