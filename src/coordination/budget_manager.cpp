#include "coordination/budget_manager.h"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <utility>

#include <fmt/format.h>

namespace lacewing {

namespace {

// Term of a loan on the borrower's clock.
constexpr time_ms loan_duration{3000};

// A loan is renewed when a third of its term remains; with a retry every 300 ms, two lost messages do not
// lose the loan.
constexpr time_ms renewal_lead_time{1000};
constexpr time_ms renewal_retry_interval{300};

// A round trip between regions takes 110 ms; a lender that has not answered by then is taken to have nothing
// to lend at the moment.
constexpr time_ms answer_timeout{130};
// Smaller transfers of tokens cost more in messages than they are worth.
constexpr std::int64_t min_transfer_tokens = token / 4;

// The time between requests to a lender that does not answer doubles up to this limit.
constexpr time_ms max_lender_backoff{1040};

// How long a loan request that cannot be granted waits at the lender, for example for a loan to be returned.
constexpr time_ms lender_queue_timeout{200};
constexpr std::size_t max_lender_queue_length = 64;

// How long a borrower keeps capacity free for requested tokens; tokens that arrive later are discarded.
constexpr time_ms reservation_timeout{250};

// A loan without rate is returned this long before it expires, early enough for its tokens to reach a lender
// in another region.
constexpr time_ms return_lead_time{300};

// Time between two wake-ups of a budget that is not idle.
constexpr time_ms tick_interval{50};

// Messages have about 250 bytes, so 64 per second use 16 KB/s of the 26 KB/s that a VM may spend on control
// traffic.
constexpr std::int64_t max_messages_per_s = 64;
constexpr std::int64_t max_message_burst = 1024;

// Messages of the burst that requests for new loans leave to returns, grants and renewals.
constexpr std::int64_t new_loan_message_reserve = max_message_burst / 16;

// A bucket aims at capacity for this many milliseconds of demand, so that at 90 % of the rate the variance of
// independent arrivals seldom empties it. With 200 ms, loans of tokens alone exceeded the message limit.
constexpr std::int64_t target_buffer_ms = 400;
constexpr std::int64_t min_buffer_tokens = 2 * token;

// A bucket with tokens for less than this many milliseconds of demand requests more, early enough for a round
// trip between regions.
constexpr std::int64_t low_watermark_ms = 120;

// Tokens that a VM without any capacity requests at least, because demand that has just begun soon needs more
// than one token.
constexpr std::int64_t initial_request_tokens = 4 * token;

// A request is refused at once when this many requests of its budget are waiting.
constexpr std::int64_t max_waiting_requests = 1024;

constexpr std::size_t max_loans_per_budget = 64;

// How long a lender remembers the last sequence number of a borrower to detect duplicates. A grant for an
// older request has expired before it arrives.
constexpr time_ms duplicate_retention{10'000};

// Time constants of the two moving averages of the demand.
constexpr std::int64_t fast_window_ms = 200;
constexpr std::int64_t slow_window_ms = 3000;

// Approximates exponential decay to first order; the result is never negative.
std::int64_t decay_exponentially(std::int64_t value, std::int64_t elapsed, std::int64_t period) {
    while (elapsed > 0 && value > 0) {
        const std::int64_t step = std::min(elapsed, period / 4);
        const std::int64_t loss = (value * step + period - 1) / period;
        value -= std::min(value, loss);
        elapsed -= step;
    }
    return value;
}

std::int64_t clamp_non_negative(std::int64_t value) {
    return std::max<std::int64_t>(0, value);
}

// Returns value × part / whole without overflow of the full product, or 0 if whole is 0.
std::int64_t mul_div(std::int64_t value, std::int64_t part, std::int64_t whole) {
    return whole == 0 ? 0 : value / whole * part + value % whole * part / whole;
}

// First identifier of an incarnation: a hash of 48 bits, so that incarnations use different identifiers.
std::uint64_t initial_id(incarnation_id incarnation) {
    return rendezvous_weight("loan", incarnation) >> 16U;
}

} // namespace

void demand_estimate::record(time_ms now) {
    decay(now);
    fast_average_ += token / fast_window_ms;
    slow_average_ += token / slow_window_ms;
    last_arrival_ = now;
}

void demand_estimate::decay(time_ms now) {
    // Steps of at least 5 ms keep the rounding loss small.
    const std::int64_t elapsed = (now - last_decay_).count;
    if (elapsed < 5) {
        return;
    }
    fast_average_ = decay_exponentially(fast_average_, elapsed, fast_window_ms);
    slow_average_ = decay_exponentially(slow_average_, elapsed, slow_window_ms);
    last_decay_ = now;
}

std::int64_t demand_estimate::rate(time_ms now) const {
    if (now >= idle_at()) {
        return 0;
    }
    // The slow average is less noisy. The fast one is used when the two differ by at least three arrivals and
    // by more than 2 standard deviations of a count of independent arrivals (1.4 of the difference of two
    // counts).
    const std::int64_t expected = slow_average_ * fast_window_ms / token;
    const std::int64_t difference = (fast_average_ - slow_average_) * fast_window_ms / token;
    const bool differs = std::abs(difference) >= 3 && difference * difference > 4 * expected;
    return differs ? fast_average_ : slow_average_;
}

time_ms demand_estimate::idle_at() const {
    if (slow_average_ == 0) {
        return last_arrival_;
    }
    // While requests keep arriving, a gap of six mean intervals has a probability of 1 in 400.
    return last_arrival_ +
           time_ms{50 + std::min<std::int64_t>(6 * token / slow_average_, 2 * slow_window_ms)};
}

struct budget_manager::lent_loan {
    peer_id borrower;
    budget_amount amount;
    time_ms expiry;
};

struct budget_manager::borrowed_loan {
    std::uint64_t id = 0;
    peer_id lender;
    budget_amount amount;
    time_ms expiry;
    time_ms borrowed_at;
    time_ms renewal_sent{-1'000'000};
};

struct budget_manager::pending_request {
    std::uint64_t sequence = 0;
    incarnation_id lender;
    /// Loan to renew, 0 in a request for a new loan or for tokens.
    std::uint64_t renews = 0;
    /// Whole shortfall of the budget when the request was sent, of which one lender may be asked for a part.
    budget_amount total_wanted;
    time_ms sent_at;
    /// Capacity kept free for the requested tokens; 0 once it is released.
    std::int64_t reserved = 0;
};

struct budget_manager::lender {
    peer_id id;
    time_ms next_request_at;
    time_ms backoff = answer_timeout;
    int failures = 0;
    /// Sequence of the unanswered request, 0 for none.
    std::uint64_t open_sequence = 0;
};

// Loan request that a lender could not grant yet.
struct queued_request {
    peer_id borrower;
    loan_request request;
    time_ms expires_at;
};

// Newest loan request of a borrower, to reject duplicated and reordered ones.
struct last_request {
    std::uint64_t sequence = 0;
    time_ms seen_at;
};

struct budget_manager::budget_state {
    std::string name;
    token_bucket bucket;
    demand_estimate demand;

    bool home = false;
    bool home_usable = false;
    budget_amount home_share;
    time_ms lease_expiry;
    time_ms usable_from;
    /// Until this time lent amounts may exceed the home share, because the share was reduced or given up.
    time_ms overcommitted_until;
    std::map<std::uint64_t, lent_loan> lent;
    budget_amount lent_total;
    std::deque<queued_request> queue;
    std::map<incarnation_id, last_request> last_requests;

    std::vector<borrowed_loan> borrowed;
    budget_amount borrowed_total;
    std::vector<pending_request> pending;
    std::int64_t reserved_sum = 0;
    std::vector<lender> lenders;
    /// Lender to start the next request for tokens with; round robin spreads the load over the lenders.
    std::size_t next_lender = 0;

    /// Requests of callers that wait for a token.
    std::int64_t waiting_requests = 0;
    /// Earliest time at which a lease, a loan or a reservation expires or the home share becomes usable.
    time_ms next_limit_change = far_future;
    time_ms wakeup = far_future;
    /// Listed in ready_budgets_.
    bool ready = false;

    [[nodiscard]] budget_amount unlent_home_share() const {
        if (!home || !home_usable) {
            return {};
        }
        return {clamp_non_negative(home_share.rate - lent_total.rate),
                clamp_non_negative(home_share.capacity - lent_total.capacity), 0};
    }
};

budget_manager::budget_manager(peer_id self)
    : self_(std::move(self)), next_id_(initial_id(self_.incarnation)) {
    message_limit_.set_limits(max_messages_per_s * token / 1000, max_message_burst * token);
    message_limit_.add(max_message_burst * token);
}

budget_manager::~budget_manager() = default;

budget_manager::budget_state* budget_manager::find(std::string_view budget) {
    const auto found = budgets_.find(budget);
    return found == budgets_.end() ? nullptr : found->second.get();
}

budget_manager::budget_state& budget_manager::find_or_create(std::string_view budget) {
    if (auto* found = find(budget)) {
        return *found;
    }
    auto created = std::make_unique<budget_state>();
    created->name = budget;
    return *budgets_.emplace(created->name, std::move(created)).first->second;
}

// Sets rate and capacity of this VM's bucket to the home share minus lent plus borrowed amounts; capacity
// reserved for requested tokens is subtracted as well.
void budget_manager::update_bucket_limits(budget_state& state) const {
    const budget_amount own = state.unlent_home_share();
    const std::int64_t capacity = own.capacity + state.borrowed_total.capacity;
    state.bucket.set_limits(own.rate + state.borrowed_total.rate,
                            clamp_non_negative(capacity - state.reserved_sum));
    state.next_limit_change = far_future;
    for (const auto& request : state.pending) {
        if (request.reserved > 0) {
            state.next_limit_change =
                std::min(state.next_limit_change, request.sent_at + reservation_timeout);
        }
    }
    if (state.home) {
        state.next_limit_change =
            std::min(state.next_limit_change, state.home_usable ? state.lease_expiry : state.usable_from);
    }
    for (const auto& [id, loan] : state.lent) {
        state.next_limit_change = std::min(state.next_limit_change, loan.expiry);
    }
    for (const auto& loan : state.borrowed) {
        state.next_limit_change = std::min(state.next_limit_change, loan.expiry);
    }
    check(state);
}

// Releases reserved capacity that the refill of this VM's bucket needs. Most requests for tokens yield less
// than they ask for, whereas refill above the capacity is lost for certain.
void budget_manager::release_reserved(budget_state& state, time_ms now) const {
    if (state.reserved_sum == 0) return;
    const std::int64_t elapsed = clamp_non_negative((now - state.bucket.last_refill()).count);
    std::int64_t shortage =
        state.bucket.level() + state.bucket.rate() * (elapsed + 1) - state.bucket.capacity();
    if (shortage <= 0) return;
    for (auto& request : state.pending) {
        const std::int64_t released = std::clamp<std::int64_t>(shortage, 0, request.reserved);
        request.reserved -= released;
        state.reserved_sum -= released;
        shortage -= released;
    }
    update_bucket_limits(state);
}

// Refills the bucket up to now and applies all limit changes in time order, so that after a pause no time is
// refilled at the rate of an expired loan or lease.
void budget_manager::advance_state(budget_state& state, time_ms now) {
    while (state.next_limit_change <= now) {
        const time_ms at = state.next_limit_change;
        release_reserved(state, at);
        state.bucket.advance(at);
        if (state.home && at >= state.lease_expiry) {
            state.home = false;
            state.home_usable = false;
        } else if (state.home && at >= state.usable_from) {
            state.home_usable = true;
        }
        std::erase_if(state.lent, [&](const auto& entry) {
            if (entry.second.expiry > at) {
                return false;
            }
            state.lent_total.rate -= entry.second.amount.rate;
            state.lent_total.capacity -= entry.second.amount.capacity;
            return true;
        });
        std::erase_if(state.borrowed, [&](const borrowed_loan& loan) {
            if (loan.expiry > at) {
                return false;
            }
            state.borrowed_total.rate -= loan.amount.rate;
            state.borrowed_total.capacity -= loan.amount.capacity;
            return true;
        });
        for (auto& request : state.pending) {
            if (request.sent_at + reservation_timeout <= at) {
                state.reserved_sum -= std::exchange(request.reserved, 0);
            }
        }
        update_bucket_limits(state);
    }
    release_reserved(state, now);
    state.bucket.advance(now);
}

void budget_manager::check(const budget_state& state) {
    const auto fail = [&](const char* reason) {
        throw budget_invariant_error(fmt::format("budget '{}': {}", state.name, reason));
    };
    budget_amount lent;
    for (const auto& [id, loan] : state.lent) {
        lent.rate += loan.amount.rate;
        lent.capacity += loan.amount.capacity;
    }
    budget_amount borrowed;
    for (const auto& loan : state.borrowed) {
        borrowed.rate += loan.amount.rate;
        borrowed.capacity += loan.amount.capacity;
    }
    if (lent.rate != state.lent_total.rate || lent.capacity != state.lent_total.capacity ||
        borrowed.rate != state.borrowed_total.rate || borrowed.capacity != state.borrowed_total.capacity) {
        fail("the running totals of lent or borrowed amounts differ from the sums over the loans");
    }
    const budget_amount home = state.home && state.home_usable ? state.home_share : budget_amount{};
    const bool overcommitted = lent.rate > home.rate || lent.capacity > home.capacity;
    if (overcommitted && state.bucket.last_refill() >= state.overcommitted_until) {
        fail("the lent amounts exceed the home share");
    }
    if (state.bucket.rate() + std::min(lent.rate, home.rate) > home.rate + borrowed.rate) {
        fail("the bucket rate exceeds the home share minus lent plus borrowed rate");
    }
    if (state.bucket.capacity() + std::min(lent.capacity, home.capacity) >
        home.capacity + borrowed.capacity) {
        fail("the bucket capacity exceeds the home share minus lent plus borrowed capacity");
    }
    if (state.bucket.level() < 0 || state.bucket.level() > state.bucket.capacity()) {
        fail("the bucket level is negative or exceeds the capacity");
    }
}

void budget_manager::check() const {
    for (const auto& [name, state] : budgets_) {
        check(*state);
    }
}

bool budget_manager::loans_fit_home_shares() const {
    return std::all_of(budgets_.begin(), budgets_.end(), [](const auto& entry) {
        const budget_state& state = *entry.second;
        const budget_amount home = state.home ? state.home_share : budget_amount{};
        return state.lent_total.rate <= home.rate && state.lent_total.capacity <= home.capacity;
    });
}

void budget_manager::set_home_share(time_ms now, std::string_view budget, budget_amount amount,
                                    time_ms lease_expiry, time_ms usable_from) {
    if (amount.rate < 0 || amount.capacity < 0) {
        throw std::invalid_argument("home share: negative rate or capacity");
    }
    auto& state = find_or_create(budget);
    advance_state(state, now);
    if (lease_expiry <= now || stopping_) {
        release_home_share(now, budget);
        return;
    }
    const bool continues = state.home && state.home_usable;
    // Loans that exceed a reduced share or outlast a shortened lease are tolerated until they expire.
    const bool reduced = amount.rate < state.lent_total.rate || amount.capacity < state.lent_total.capacity;
    for (const auto& [id, loan] : state.lent) {
        if (reduced || loan.expiry > lease_expiry) {
            state.overcommitted_until = std::max(state.overcommitted_until, loan.expiry);
        }
    }
    state.home = true;
    state.home_usable = continues || usable_from <= now;
    state.home_share = {amount.rate, amount.capacity, 0};
    state.lease_expiry = lease_expiry;
    state.usable_from = usable_from;
    update_bucket_limits(state);
    schedule_wakeup(state, state.next_limit_change);
}

time_ms budget_manager::release_home_share(time_ms now, std::string_view budget) {
    auto* state = find(budget);
    if (state == nullptr) {
        return now;
    }
    advance_state(*state, now);
    time_ms loans_expire_at = now;
    for (const auto& [id, loan] : state->lent) {
        loans_expire_at = std::max(loans_expire_at, loan.expiry);
    }
    state->overcommitted_until = std::max(state->overcommitted_until, loans_expire_at);
    state->home = false;
    state->home_usable = false;
    state->queue.clear();
    update_bucket_limits(*state);
    schedule_wakeup(*state, state->next_limit_change);
    return loans_expire_at;
}

void budget_manager::set_lenders(std::string_view budget, std::vector<peer_id> lenders) {
    auto& state = find_or_create(budget);
    std::vector<lender> new_lenders;
    for (auto& id : lenders) {
        if (id.incarnation == self_.incarnation) {
            continue;
        }
        const auto same = std::find_if(state.lenders.begin(), state.lenders.end(),
                                       [&](const lender& candidate) { return candidate.id == id; });
        if (same != state.lenders.end()) {
            new_lenders.push_back(*same);
        } else {
            new_lenders.push_back({std::move(id), time_ms{}, answer_timeout, 0, 0});
        }
    }
    state.lenders = std::move(new_lenders);
}

bool budget_manager::send(time_ms now, const peer_id& to, peer_payload payload, std::int64_t reserve) {
    message_limit_.advance(now);
    if (message_limit_.level() < (reserve + 1) * token || !message_limit_.try_take(token)) {
        ++counters_.messages_suppressed;
        return false;
    }
    outgoing_.push_back({to, std::move(payload)});
    return true;
}

admission budget_manager::try_admit(time_ms now, std::string_view budget, admission_attempt attempt) {
    auto* state = find(budget);
    if (state == nullptr || stopping_) {
        return admission::refused;
    }
    advance_state(*state, now);
    if (attempt == admission_attempt::first) {
        state->demand.record(now);
    }
    if (state->bucket.try_take(token)) {
        if (attempt != admission_attempt::first) {
            --state->waiting_requests;
        }
        // The next tick requests more tokens before the bucket is empty.
        if (state->wakeup > now + tick_interval) {
            schedule_wakeup(*state, now + tick_interval);
        }
        return admission::admitted;
    }
    if (attempt == admission_attempt::last) {
        --state->waiting_requests;
        return admission::refused;
    }
    if (attempt == admission_attempt::first) {
        if (state->waiting_requests >= max_waiting_requests) {
            return admission::refused;
        }
        ++state->waiting_requests;
    }
    rebalance_loans(*state, now);
    // A request waits only if a loan is pending or refill yields a token within 150 ms.
    const bool loan_pending =
        std::any_of(state->pending.begin(), state->pending.end(), [&](const auto& request) {
            return request.renews == 0 && request.sent_at + answer_timeout > now;
        });
    if (loan_pending || state->bucket.time_of_level(token) < now + time_ms{150}) {
        return admission::wait;
    }
    --state->waiting_requests;
    return admission::refused;
}

void budget_manager::on_message(time_ms now, const peer_id& from, const peer_payload& payload) {
    if (const auto* request = std::get_if<loan_request>(&payload)) {
        on_request(now, from, *request);
    } else if (const auto* answer = std::get_if<loan_grant>(&payload)) {
        on_grant(now, from, *answer);
    } else if (const auto* message = std::get_if<loan_return>(&payload)) {
        on_return(now, from, *message);
    }
}

void budget_manager::on_request(time_ms now, const peer_id& from, const loan_request& request) {
    auto* state = find(request.budget);
    if (state == nullptr || stopping_ || from.incarnation == self_.incarnation) {
        return;
    }
    advance_state(*state, now);
    if (!state->home || !state->home_usable) {
        return;
    }
    // Granting a duplicated or reordered request would lend an amount that the sender no longer expects.
    std::erase_if(state->last_requests,
                  [&](const auto& entry) { return entry.second.seen_at + duplicate_retention < now; });
    auto& last = state->last_requests[from.incarnation];
    if (request.sequence <= last.sequence) {
        return;
    }
    last = {request.sequence, now};
    if (grant_loan(*state, now, from, request) || request.renews != 0) {
        return;
    }
    std::erase_if(state->queue, [&](const queued_request& queued) {
        return queued.expires_at <= now || queued.borrower.incarnation == from.incarnation;
    });
    if (state->queue.size() < max_lender_queue_length) {
        state->queue.push_back({from, request, now + lender_queue_timeout});
        schedule_wakeup(*state, std::min(state->wakeup, now + tick_interval));
    }
}

// Grants a new loan or extends one. Returns false if there is nothing to lend now. No grant leaves the
// process before its amount has left this VM's bucket.
bool budget_manager::grant_loan(budget_state& state, time_ms now, const peer_id& borrower,
                                const loan_request& request) {
    if (state.lent_total.rate > state.home_share.rate ||
        state.lent_total.capacity > state.home_share.capacity) {
        return false;
    }
    time_ms duration = loan_duration;
    if (now + with_clock_drift(duration) > state.lease_expiry) {
        duration = time_ms{((state.lease_expiry - now).count - 11) * 1000 / 1021};
    }
    if (duration < tick_interval) {
        return false;
    }
    if (request.renews != 0) {
        const auto found = state.lent.find(request.renews);
        if (found == state.lent.end() || found->second.borrower.incarnation != borrower.incarnation) {
            return false;
        }
        const budget_amount amount{found->second.amount.rate, found->second.amount.capacity, 0};
        if (send(now, borrower, loan_grant{state.name, request.sequence, request.renews, amount, duration},
                 0)) {
            for (auto& [id, loan] : state.lent) {
                if (loan.borrower.incarnation == borrower.incarnation) {
                    loan.expiry = std::max(loan.expiry, now + with_clock_drift(duration));
                }
            }
            ++counters_.grants_sent;
            update_bucket_limits(state);
            schedule_wakeup(state, state.next_limit_change);
        }
        return true;
    }
    if (request.wanted.rate == 0 && request.wanted.capacity == 0) {
        return transfer_tokens(state, now, borrower, request);
    }
    const std::int64_t demand = state.demand.rate(now);
    const budget_amount own = state.unlent_home_share();
    const std::int64_t own_rate_need = clamp_non_negative(demand + demand / 10 - state.borrowed_total.rate);
    budget_amount amount;
    amount.rate =
        std::clamp<std::int64_t>(request.wanted.rate, 0, clamp_non_negative(own.rate - own_rate_need));
    // A rate without capacity for a few tokens is useless, so the remaining rate keeps some capacity.
    std::int64_t own_capacity_need = demand == 0
                                         ? 0
                                         : clamp_non_negative(min_buffer_tokens + demand * target_buffer_ms -
                                                              state.borrowed_total.capacity);
    if (own.rate > amount.rate) {
        own_capacity_need = std::max(own_capacity_need, min_buffer_tokens);
    }
    const std::int64_t own_token_need =
        std::min(own_capacity_need, state.waiting_requests * token + demand * low_watermark_ms);
    const std::int64_t spare_tokens = clamp_non_negative(state.bucket.level() - own_token_need);
    // The loan gets capacity in proportion to its rate, plus room for its tokens.
    amount.tokens = std::clamp<std::int64_t>(request.wanted.tokens, 0, spare_tokens);
    amount.capacity = std::min({request.wanted.capacity, clamp_non_negative(own.capacity - own_capacity_need),
                                mul_div(own.capacity, amount.rate, own.rate) + amount.tokens});
    amount.rate = std::min(amount.rate, amount.capacity / 2);
    // Tokens that would no longer fit into this VM's bucket are lent too, even if they were not requested.
    const std::int64_t own_limit =
        state.bucket.capacity() - amount.capacity - state.bucket.rate() + amount.rate;
    amount.tokens = std::min(spare_tokens, std::max(amount.tokens, state.bucket.level() - own_limit));
    amount.tokens =
        std::clamp<std::int64_t>(amount.tokens, 0, clamp_non_negative(amount.capacity - amount.rate));
    const bool useful_rate = amount.rate > 0 && amount.rate * 20 >= request.wanted.rate;
    if (amount.capacity == 0 || (!useful_rate && amount.tokens == 0)) {
        return false;
    }
    const std::uint64_t id = ++next_id_;
    if (!send(now, borrower, loan_grant{state.name, request.sequence, id, amount, duration}, 0)) {
        return false;
    }
    ++counters_.grants_sent;
    state.bucket.try_take(amount.tokens);
    state.lent_total.rate += amount.rate;
    state.lent_total.capacity += amount.capacity;
    state.lent.emplace(id, lent_loan{borrower, amount, now + with_clock_drift(duration)});
    update_bucket_limits(state);
    schedule_wakeup(state, state.next_limit_change);
    return true;
}

// Gives away tokens for which the borrower has reserved capacity. They are not a loan and are not returned.
bool budget_manager::transfer_tokens(budget_state& state, time_ms now, const peer_id& borrower,
                                     const loan_request& request) {
    const std::int64_t own_need = state.waiting_requests * token + state.demand.rate(now) * low_watermark_ms;
    const std::int64_t tokens =
        std::min(request.wanted.tokens, clamp_non_negative(state.bucket.level() - own_need));
    if (tokens < std::min(request.wanted.tokens, min_transfer_tokens)) {
        return false;
    }
    const loan_grant answer{state.name, request.sequence, 0, {0, 0, tokens}, loan_duration};
    if (!send(now, borrower, answer, 0)) {
        return false;
    }
    ++counters_.grants_sent;
    state.bucket.try_take(tokens);
    return true;
}

void budget_manager::on_grant(time_ms now, const peer_id& from, const loan_grant& answer) {
    auto* state = find(answer.budget);
    if (state == nullptr) {
        ++counters_.grants_dropped;
        return;
    }
    advance_state(*state, now);
    const auto request = std::find_if(state->pending.begin(), state->pending.end(), [&](const auto& pending) {
        return pending.sequence == answer.sequence && pending.lender == from.incarnation;
    });
    if (request == state->pending.end()) {
        ++counters_.grants_dropped;
        return;
    }
    const pending_request answered = *request;
    state->reserved_sum -= answered.reserved;
    state->pending.erase(request);
    update_bucket_limits(*state);
    for (auto& candidate : state->lenders) {
        if (candidate.open_sequence == answered.sequence) {
            candidate.open_sequence = 0;
            candidate.backoff = answer_timeout;
            candidate.failures = 0;
            candidate.next_request_at = now;
        }
    }
    const time_ms expiry = answered.sent_at + answer.duration;
    const bool malformed = answer.amount.rate < 0 || answer.amount.capacity < 0 || answer.amount.tokens < 0;
    if (expiry <= now || answer.duration > loan_duration || malformed) {
        ++counters_.grants_dropped;
        return;
    }
    const auto existing =
        std::find_if(state->borrowed.begin(), state->borrowed.end(), [&](const borrowed_loan& loan) {
            return loan.id == answer.loan && loan.lender.incarnation == from.incarnation;
        });
    if (answer.loan == 0) {
        state->bucket.add(std::min(answer.amount.tokens, answered.reserved));
    } else if (answered.renews != 0) {
        // The lender extended all loans of this borrower. A loan borrowed before the renewal was sent was
        // either among them or has already expired here, because the lender counts a longer term.
        for (auto& loan : state->borrowed) {
            if (answered.renews == answer.loan && loan.lender.incarnation == from.incarnation &&
                loan.borrowed_at <= answered.sent_at) {
                loan.expiry = std::max(loan.expiry, expiry);
            }
        }
    } else if (existing == state->borrowed.end()) {
        state->borrowed.push_back({answer.loan, from, answer.amount, expiry, now});
        state->borrowed_total.rate += answer.amount.rate;
        state->borrowed_total.capacity += answer.amount.capacity;
    }
    update_bucket_limits(*state);
    if (answered.renews == 0 && answer.loan != 0) {
        state->bucket.add(answer.amount.tokens);
    }
    if (stopping_) {
        return_unneeded_loans(*state, now);
    }
    notify_waiting(*state);
    schedule_wakeup(*state, std::min(state->next_limit_change, now + tick_interval));
}

void budget_manager::on_return(time_ms now, const peer_id& from, const loan_return& message) {
    auto* state = find(message.budget);
    if (state == nullptr) {
        return;
    }
    advance_state(*state, now);
    const auto found = state->lent.find(message.loan);
    if (found == state->lent.end() || found->second.borrower.incarnation != from.incarnation) {
        return;
    }
    const budget_amount amount = found->second.amount;
    state->lent_total.rate -= amount.rate;
    state->lent_total.capacity -= amount.capacity;
    state->lent.erase(found);
    update_bucket_limits(*state);
    state->bucket.add(std::clamp<std::int64_t>(message.tokens, 0, amount.capacity));
    serve_queued_requests(*state, now);
    notify_waiting(*state);
    schedule_wakeup(*state, std::min(state->next_limit_change,
                                     state->demand.rate(now) > 0 ? now + tick_interval : far_future));
}

void budget_manager::serve_queued_requests(budget_state& state, time_ms now) {
    std::erase_if(state.queue, [&](const queued_request& queued) { return queued.expires_at <= now; });
    while (!state.queue.empty()) {
        const queued_request next = state.queue.front();
        if (!grant_loan(state, now, next.borrower, next.request)) {
            return;
        }
        state.queue.pop_front();
    }
}

void budget_manager::notify_waiting(budget_state& state) {
    if (state.waiting_requests > 0 && !state.ready && state.bucket.level() >= token) {
        state.ready = true;
        ready_budgets_.push_back(state.name);
    }
}

void budget_manager::return_loan(budget_state& state, borrowed_loan& loan) {
    const std::int64_t level_before = state.bucket.level();
    state.borrowed_total.rate -= loan.amount.rate;
    state.borrowed_total.capacity -= loan.amount.capacity;
    const borrowed_loan returned = loan;
    std::erase_if(state.borrowed, [&](const borrowed_loan& other) {
        return other.id == returned.id && other.lender.incarnation == returned.lender.incarnation;
    });
    update_bucket_limits(state);
    // Tokens that no longer fit into the bucket are returned with the loan.
    const std::int64_t tokens = std::min(level_before - state.bucket.level(), returned.amount.capacity);
    const time_ms now = state.bucket.last_refill();
    if (send(now, returned.lender, loan_return{state.name, returned.id, tokens}, 0)) {
        ++counters_.returns_sent;
    }
}

// Returns the loans that the demand does not need, those from the most distant lender first.
void budget_manager::return_unneeded_loans(budget_state& state, time_ms now) {
    const std::int64_t demand = stopping_ ? 0 : state.demand.rate(now);
    // A full bucket shows that the rate exceeds the demand, so no margin above the estimate is needed.
    const bool bucket_full = state.bucket.time_of_level(state.bucket.capacity() - state.bucket.rate()) <= now;
    const std::int64_t need_rate = bucket_full ? demand : demand + demand * 3 / 10;
    const std::int64_t need_capacity = demand == 0 ? 0 : min_buffer_tokens + demand * target_buffer_ms;
    const auto distance = [&](const borrowed_loan& loan) {
        return std::find_if(state.lenders.begin(), state.lenders.end(),
                            [&](const lender& candidate) { return candidate.id == loan.lender; }) -
               state.lenders.begin();
    };
    bool returned = true;
    while (returned && state.waiting_requests == 0) {
        returned = false;
        borrowed_loan* farthest = nullptr;
        for (auto& loan : state.borrowed) {
            const bool rate_spare =
                loan.amount.rate == 0 || state.bucket.rate() - loan.amount.rate >= need_rate;
            const std::int64_t capacity_left = state.bucket.capacity() - loan.amount.capacity;
            const bool capacity_spare = capacity_left >= need_capacity ||
                                        (loan.amount.rate == 0 && capacity_left >= state.bucket.level());
            // A loan without rate is not renewed, and its tokens would be lost when it expires.
            const bool expires_soon = loan.amount.rate == 0 && loan.expiry <= now + return_lead_time;
            if ((expires_soon || (rate_spare && capacity_spare)) &&
                (farthest == nullptr || distance(loan) > distance(*farthest))) {
                farthest = &loan;
            }
        }
        if (farthest != nullptr) {
            return_loan(state, *farthest);
            returned = true;
        }
    }
}

// Renews all loans of a lender with one message: it names one loan, and the lender extends every loan of the
// budget that it has granted to this process.
void budget_manager::renew_loans(budget_state& state, time_ms now) {
    for (const auto& due : state.borrowed) {
        if (due.amount.rate == 0 || due.expiry > now + renewal_lead_time ||
            due.renewal_sent + renewal_retry_interval > now) {
            continue;
        }
        const std::uint64_t sequence = ++next_id_;
        if (!send(now, due.lender, loan_request{state.name, sequence, {}, due.id}, 0)) {
            continue;
        }
        ++counters_.renewals_sent;
        state.pending.push_back({sequence, due.lender.incarnation, due.id, {}, now, 0});
        const auto extended_by = due.lender.incarnation;
        for (auto& loan : state.borrowed) {
            loan.renewal_sent = loan.lender.incarnation == extended_by ? now : loan.renewal_sent;
        }
    }
}

// Requests loans or tokens for the demand that this VM's bucket and the pending requests do not cover.
void budget_manager::request_loans(budget_state& state, time_ms now) {
    const std::int64_t demand = state.demand.rate(now);
    // A home without demand of its own still borrows for the loan requests in its queue.
    if ((demand == 0 && state.waiting_requests == 0 && state.queue.empty()) ||
        state.borrowed.size() >= max_loans_per_budget) {
        return;
    }
    const std::int64_t low_watermark = demand * low_watermark_ms;
    // Waiting requests justify asking all lenders; a low level justifies asking only one.
    const bool urgent = state.waiting_requests > 0 || state.bucket.level() < token + low_watermark;
    if (!urgent && state.bucket.rate() >= demand) {
        return;
    }
    budget_amount shortfall;
    shortfall.rate = clamp_non_negative(demand + demand / 10 - state.bucket.rate());
    shortfall.tokens =
        clamp_non_negative(state.waiting_requests * token + 2 * low_watermark + token - state.bucket.level());
    if (state.bucket.capacity() == 0) {
        shortfall.tokens = std::max(shortfall.tokens, initial_request_tokens);
    }
    shortfall.capacity =
        std::max(clamp_non_negative(min_buffer_tokens + demand * target_buffer_ms - state.bucket.capacity()),
                 shortfall.tokens + 2 * shortfall.rate);
    // While loan requests are pending, further ones are sent only once the shortfall has more than doubled.
    budget_amount asked;
    for (const auto& pending : state.pending) {
        if (pending.renews == 0 && pending.sent_at + answer_timeout > now) {
            asked.rate = std::max(asked.rate, pending.total_wanted.rate);
            asked.tokens = std::max(asked.tokens, pending.total_wanted.tokens);
        }
    }
    const bool rate_missing = shortfall.rate > demand / 5 && shortfall.rate > 2 * asked.rate;
    const bool tokens_missing = urgent && shortfall.tokens >= token && shortfall.tokens > 2 * asked.tokens;
    if (!rate_missing && !tokens_missing) {
        return;
    }
    const bool need_doubled = asked.rate > 0 || asked.tokens > 0;
    const auto other_lenders = static_cast<std::int64_t>(state.lenders.size()) - 1;
    const std::size_t count = state.lenders.size();
    const std::size_t start = rate_missing || count == 0 ? 0 : state.next_lender++ % count;
    bool first_in_line = true;
    for (std::size_t i = 0; i < count; ++i) {
        auto& candidate = state.lenders[(start + i) % count];
        if (candidate.open_sequence != 0 && candidate.next_request_at <= now) {
            // No answer: the lender had nothing to lend, is unreachable, or a message was lost.
            candidate.open_sequence = 0;
            ++candidate.failures;
            candidate.backoff =
                candidate.failures < 4 ? answer_timeout : std::min(candidate.backoff * 2, max_lender_backoff);
        }
        if (candidate.backoff > answer_timeout ? candidate.next_request_at > now
                                               : candidate.open_sequence != 0 && !need_doubled) {
            first_in_line = false;
            continue;
        }
        // The first lender in line is asked for the whole shortfall. When requests are waiting, each further
        // one is asked for twice its equal portion.
        budget_amount portion = shortfall;
        if (!first_in_line && other_lenders > 2) {
            portion.rate = shortfall.rate * 2 / other_lenders;
            portion.tokens =
                std::max(std::min(token, shortfall.tokens), shortfall.tokens * 2 / other_lenders);
            portion.capacity =
                std::max(portion.tokens + 2 * portion.rate, shortfall.capacity * 2 / other_lenders);
        }
        // A bucket with enough capacity and rate needs only tokens. Half a token of capacity stays free for
        // its own refill.
        const std::int64_t free_capacity =
            state.bucket.capacity() - state.bucket.rate() - state.bucket.level() - token / 2;
        std::int64_t reserved = 0;
        if (tokens_missing && state.bucket.capacity() >= 2 * token && state.bucket.rate() * 2 >= demand) {
            reserved = std::min(portion.tokens, free_capacity);
            if (reserved < min_transfer_tokens) {
                return;
            }
            portion = {0, 0, reserved};
        }
        const std::uint64_t sequence = ++next_id_;
        if (!send(now, candidate.id, loan_request{state.name, sequence, portion, 0},
                  new_loan_message_reserve)) {
            return;
        }
        ++counters_.requests_sent;
        candidate.open_sequence = sequence;
        candidate.next_request_at = now + candidate.backoff;
        state.pending.push_back({sequence, candidate.id.incarnation, 0, shortfall, now, reserved});
        state.reserved_sum += reserved;
        update_bucket_limits(state);
        if (state.waiting_requests == 0) {
            return;
        }
        first_in_line = false;
    }
}

// Returns, grants, renews and requests loans as the demand requires, then schedules the next wake-up.
void budget_manager::rebalance_loans(budget_state& state, time_ms now) {
    state.demand.decay(now);
    std::erase_if(state.pending, [&](const auto& pending) { return pending.sent_at + loan_duration <= now; });
    return_unneeded_loans(state, now);
    serve_queued_requests(state, now);
    renew_loans(state, now);
    if (!stopping_) {
        request_loans(state, now);
    }
    notify_waiting(state);
    time_ms wakeup = state.next_limit_change;
    if (state.waiting_requests > 0) {
        wakeup = std::min(
            {wakeup, now + tick_interval, std::max(now + time_ms{1}, state.bucket.time_of_level(token))});
    } else if (!state.borrowed.empty() || state.demand.rate(now) > 0 || !state.pending.empty() ||
               !state.queue.empty()) {
        wakeup = std::min(wakeup, now + tick_interval);
    }
    schedule_wakeup(state, wakeup);
}

void budget_manager::on_tick(time_ms now) {
    while (!wakeups_.empty() && wakeups_.begin()->first <= now) {
        auto& state = *wakeups_.begin()->second;
        schedule_wakeup(state, far_future);
        advance_state(state, now);
        rebalance_loans(state, now);
    }
}

void budget_manager::stop(time_ms now) {
    stopping_ = true;
    for (auto& [name, state] : budgets_) {
        advance_state(*state, now);
        state->queue.clear();
        state->waiting_requests = 0;
        return_unneeded_loans(*state, now);
        release_home_share(now, name);
    }
}

void budget_manager::schedule_wakeup(budget_state& state, time_ms wakeup) {
    if (state.wakeup != far_future) {
        wakeups_.erase({state.wakeup, &state});
    }
    state.wakeup = wakeup;
    if (wakeup != far_future) {
        wakeups_.emplace(wakeup, &state);
    }
}

time_ms budget_manager::next_wakeup() const {
    return wakeups_.empty() ? far_future : wakeups_.begin()->first;
}

std::vector<send_action> budget_manager::take_actions() {
    return std::exchange(outgoing_, {});
}

std::vector<std::string> budget_manager::take_ready_budgets() {
    for (const auto& name : ready_budgets_) {
        find(name)->ready = false;
    }
    return std::exchange(ready_budgets_, {});
}

budget_amount budget_manager::held(time_ms now, std::string_view budget) {
    auto* state = find(budget);
    if (state == nullptr) {
        return {};
    }
    advance_state(*state, now);
    return {state->bucket.rate(), state->bucket.capacity(), state->bucket.level()};
}

} // namespace lacewing
