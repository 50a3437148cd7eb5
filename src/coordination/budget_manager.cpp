#include "coordination/budget_manager.h"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <utility>

#include <fmt/format.h>

namespace lacewing {

namespace {

constexpr time_ms loan_duration{3000};

// A third of the term is left when a loan is renewed, which allows for two lost messages.
constexpr time_ms renew_before{1000};
constexpr time_ms renew_retry{300};

// A round trip between regions takes 110 ms; a lender that has not answered by then has nothing at the
// moment.
constexpr time_ms answer_timeout{130};
// Smaller parts of a request cost more messages than they are worth.
constexpr std::int64_t smallest_transfer = token / 4;

constexpr time_ms longest_backoff{1040};

// A request that finds nothing to lend waits this long at the lender for a return.
constexpr time_ms lender_queue_time{200};
constexpr std::size_t lender_queue_length = 64;

// A borrower keeps capacity free for requested tokens this long; later tokens are dropped.
constexpr time_ms reservation{250};

// Tokens that go back this long before the expiry reach a lender in another region in time.
constexpr time_ms return_before{300};

constexpr time_ms tick{50};

// Messages of about 250 bytes: 64 per second are 16 KB/s of the 26 KB/s that a node may use for control.
constexpr std::int64_t messages_per_s = 64;
constexpr std::int64_t message_burst = 1024;

// New loans leave this part of the burst to returns, grants and renewals.
constexpr std::int64_t request_reserve = message_burst / 16;

// A bucket keeps capacity for the requests of this time, so that at 90 % of the rate the variation of
// independent arrivals seldom empties it; with 200 ms the token loans alone exceeded the message limit.
constexpr std::int64_t buffer_ms = 400;
constexpr std::int64_t smallest_buffer = 2 * token;

// A bucket below the requests of this time asks for tokens, early enough for a round trip between regions.
constexpr std::int64_t low_level_ms = 120;

// First request of a VM without known demand; a hot spot that begins needs more than the tokens of one
// request.
constexpr std::int64_t first_tokens = 4 * token;

// Beyond this many waiting requests a further one is refused at once.
constexpr std::int64_t longest_queue = 1024;

constexpr std::size_t most_loans_per_budget = 64;

// A request older than this at a lender is not compared for duplicates any more; a loan for it would only
// expire.
constexpr time_ms duplicate_memory{10'000};

constexpr std::int64_t fast_ms = 200;
constexpr std::int64_t slow_ms = 3000;

// Exponential decay over an interval, to first order and never below zero.
std::int64_t decayed(std::int64_t value, std::int64_t elapsed, std::int64_t period) {
    while (elapsed > 0 && value > 0) {
        const std::int64_t step = std::min(elapsed, period / 4);
        const std::int64_t loss = (value * step + period - 1) / period;
        value -= std::min(value, loss);
        elapsed -= step;
    }
    return value;
}

std::int64_t above_zero(std::int64_t value) {
    return std::max<std::int64_t>(0, value);
}

// Returns value × part / whole without overflow, 0 for an empty whole.
std::int64_t proportion(std::int64_t value, std::int64_t part, std::int64_t whole) {
    return whole == 0 ? 0 : value / whole * part + value % whole * part / whole;
}

// Spreads identifiers of different incarnations over 48 bits.
std::uint64_t first_id(incarnation_id incarnation) {
    return rendezvous_weight("loan", incarnation) >> 16U;
}

} // namespace

void demand_estimate::record(time_ms now) {
    decay(now);
    fast_ += token / fast_ms;
    slow_ += token / slow_ms;
    last_arrival_ = now;
}

void demand_estimate::decay(time_ms now) {
    // Steps of some milliseconds keep the loss by rounding small.
    const std::int64_t elapsed = (now - decayed_).count;
    if (elapsed < 5) {
        return;
    }
    fast_ = decayed(fast_, elapsed, fast_ms);
    slow_ = decayed(slow_, elapsed, slow_ms);
    decayed_ = now;
}

std::int64_t demand_estimate::rate(time_ms now) const {
    if (now >= idle_at()) {
        return 0;
    }
    // The slow average is the less noisy one. The fast one decides when the two differ by more than 1.4
    // standard deviations of a count of independent arrivals; below three arrivals the difference says
    // nothing.
    const std::int64_t expected = slow_ * fast_ms / token;
    const std::int64_t difference = (fast_ - slow_) * fast_ms / token;
    const bool differs = std::abs(difference) >= 3 && difference * difference > 4 * expected;
    return differs ? fast_ : slow_;
}

time_ms demand_estimate::idle_at() const {
    if (slow_ == 0) {
        return last_arrival_;
    }
    // A gap of six mean intervals is improbable (1 in 400) while the arrivals go on.
    return last_arrival_ + time_ms{50 + std::min<std::int64_t>(6 * token / slow_, 2 * slow_ms)};
}

struct budget_manager::given_loan {
    peer_id borrower;
    budget_amount amount;
    time_ms expiry;
};

struct budget_manager::taken_loan {
    std::uint64_t id = 0;
    peer_id lender;
    budget_amount amount;
    time_ms expiry;
    time_ms taken_at;
    time_ms renewal_sent{-1'000'000};
};

struct budget_manager::pending_request {
    std::uint64_t sequence = 0;
    incarnation_id lender;
    std::uint64_t renews = 0;
    /// What the budget lacked when the request was sent, over all lenders.
    budget_amount total;
    time_ms sent;
    /// Capacity that is kept free for the tokens asked for; 0 once it is released.
    std::int64_t reserved = 0;
};

struct budget_manager::lender {
    peer_id id;
    time_ms ask_again;
    time_ms backoff = answer_timeout;
    int failures = 0;
    /// Sequence of the request that is not answered yet, 0 for none.
    std::uint64_t open = 0;
};

struct queued_request {
    peer_id borrower;
    loan_request request;
    time_ms until;
};

struct last_request {
    std::uint64_t sequence = 0;
    time_ms seen;
};

struct budget_manager::budget_state {
    std::string name;
    token_bucket bucket;
    demand_estimate demand;

    bool home = false;
    bool home_usable = false;
    budget_amount home_amount;
    time_ms lease_expiry;
    time_ms usable_from;
    /// Until this time loans may exceed the home share, because the share was reduced or given up.
    time_ms excess_until;
    std::map<std::uint64_t, given_loan> given;
    budget_amount given_sum;
    std::deque<queued_request> queue;
    std::map<incarnation_id, last_request> last_requests;

    std::vector<taken_loan> taken;
    budget_amount taken_sum;
    std::vector<pending_request> pending;
    std::int64_t reserved_sum = 0;
    std::vector<lender> lenders;
    /// Start of the next question for tokens, so that the lenders share the load.
    std::size_t next_lender = 0;

    std::int64_t waiting = 0;
    time_ms next_event = far_future;
    time_ms wake = far_future;
    bool ready = false;

    [[nodiscard]] budget_amount own_home() const {
        if (!home || !home_usable) {
            return {};
        }
        return {above_zero(home_amount.rate - given_sum.rate),
                above_zero(home_amount.capacity - given_sum.capacity), 0};
    }
};

budget_manager::budget_manager(peer_id self) : self_(std::move(self)), next_id_(first_id(self_.incarnation)) {
    message_limit_.set_limits(messages_per_s * token / 1000, message_burst * token);
    message_limit_.add(message_burst * token);
}

budget_manager::~budget_manager() = default;

budget_manager::budget_state* budget_manager::find(std::string_view budget) {
    const auto found = budgets_.find(budget);
    return found == budgets_.end() ? nullptr : found->second.get();
}

budget_manager::budget_state& budget_manager::state_of(std::string_view budget) {
    if (auto* found = find(budget)) {
        return *found;
    }
    auto created = std::make_unique<budget_state>();
    created->name = budget;
    return *budgets_.emplace(created->name, std::move(created)).first->second;
}

// Sets the limits of the own bucket to the home share less the loans given, plus the loans taken.
void budget_manager::apply_limits(budget_state& state) const {
    const budget_amount own = state.own_home();
    const std::int64_t capacity = own.capacity + state.taken_sum.capacity;
    state.bucket.set_limits(own.rate + state.taken_sum.rate, above_zero(capacity - state.reserved_sum));
    state.next_event = far_future;
    for (const auto& request : state.pending) {
        if (request.reserved > 0) {
            state.next_event = std::min(state.next_event, request.sent + reservation);
        }
    }
    if (state.home) {
        state.next_event =
            std::min(state.next_event, state.home_usable ? state.lease_expiry : state.usable_from);
    }
    for (const auto& [id, loan] : state.given) {
        state.next_event = std::min(state.next_event, loan.expiry);
    }
    for (const auto& loan : state.taken) {
        state.next_event = std::min(state.next_event, loan.expiry);
    }
    check(state);
}

// Releases reserved capacity that the own refill needs. Most requests for tokens bring less than they ask
// for, and a refill that finds no room is lost for certain.
void budget_manager::release_reserved(budget_state& state, time_ms now) const {
    if (state.reserved_sum == 0) return;
    const std::int64_t elapsed = above_zero((now - state.bucket.updated()).count);
    std::int64_t excess =
        state.bucket.level() + state.bucket.rate() * (elapsed + 1) - state.bucket.capacity();
    if (excess <= 0) return;
    for (auto& request : state.pending) {
        const std::int64_t released = std::clamp<std::int64_t>(excess, 0, request.reserved);
        request.reserved -= released;
        state.reserved_sum -= released;
        excess -= released;
    }
    apply_limits(state);
}

// Applies all expiries up to now in the order of time, so that after a pause nothing is refilled at the rate
// of an expired loan or lease.
void budget_manager::settle(budget_state& state, time_ms now) {
    while (state.next_event <= now) {
        const time_ms at = state.next_event;
        release_reserved(state, at);
        state.bucket.advance(at);
        if (state.home && at >= state.lease_expiry) {
            state.home = false;
            state.home_usable = false;
        } else if (state.home && at >= state.usable_from) {
            state.home_usable = true;
        }
        std::erase_if(state.given, [&](const auto& entry) {
            if (entry.second.expiry > at) {
                return false;
            }
            state.given_sum.rate -= entry.second.amount.rate;
            state.given_sum.capacity -= entry.second.amount.capacity;
            return true;
        });
        std::erase_if(state.taken, [&](const taken_loan& loan) {
            if (loan.expiry > at) {
                return false;
            }
            state.taken_sum.rate -= loan.amount.rate;
            state.taken_sum.capacity -= loan.amount.capacity;
            return true;
        });
        for (auto& request : state.pending) {
            if (request.sent + reservation <= at) {
                state.reserved_sum -= std::exchange(request.reserved, 0);
            }
        }
        apply_limits(state);
    }
    release_reserved(state, now);
    state.bucket.advance(now);
}

void budget_manager::check(const budget_state& state) {
    const auto fail = [&](const char* reason) {
        throw budget_invariant_error(fmt::format("budget '{}': {}", state.name, reason));
    };
    budget_amount given;
    for (const auto& [id, loan] : state.given) {
        given.rate += loan.amount.rate;
        given.capacity += loan.amount.capacity;
    }
    budget_amount taken;
    for (const auto& loan : state.taken) {
        taken.rate += loan.amount.rate;
        taken.capacity += loan.amount.capacity;
    }
    if (given.rate != state.given_sum.rate || given.capacity != state.given_sum.capacity ||
        taken.rate != state.taken_sum.rate || taken.capacity != state.taken_sum.capacity) {
        fail("the sums of loans differ from the loans");
    }
    const budget_amount home = state.home && state.home_usable ? state.home_amount : budget_amount{};
    const bool excess = given.rate > home.rate || given.capacity > home.capacity;
    if (excess && state.bucket.updated() >= state.excess_until) {
        fail("loans given exceed the home share");
    }
    if (state.bucket.rate() + std::min(given.rate, home.rate) > home.rate + taken.rate) {
        fail("rate exceeds the home share and the loans taken");
    }
    if (state.bucket.capacity() + std::min(given.capacity, home.capacity) > home.capacity + taken.capacity) {
        fail("capacity exceeds the home share and the loans taken");
    }
    if (state.bucket.level() < 0 || state.bucket.level() > state.bucket.capacity()) {
        fail("level outside the capacity");
    }
}

void budget_manager::check() const {
    for (const auto& [name, state] : budgets_) {
        check(*state);
    }
}

bool budget_manager::settled() const {
    return std::all_of(budgets_.begin(), budgets_.end(), [](const auto& entry) {
        const budget_state& state = *entry.second;
        const budget_amount home = state.home ? state.home_amount : budget_amount{};
        return state.given_sum.rate <= home.rate && state.given_sum.capacity <= home.capacity;
    });
}

void budget_manager::set_home_share(time_ms now, std::string_view budget, budget_amount amount,
                                    time_ms lease_expiry, time_ms usable_from) {
    if (amount.rate < 0 || amount.capacity < 0) {
        throw std::invalid_argument("home share: negative rate or capacity");
    }
    auto& state = state_of(budget);
    settle(state, now);
    if (lease_expiry <= now || stopping_) {
        release_home_share(now, budget);
        return;
    }
    const bool continues = state.home && state.home_usable;
    // Loans given beyond a reduced share or beyond a shortened lease run out as excess.
    const bool reduced = amount.rate < state.given_sum.rate || amount.capacity < state.given_sum.capacity;
    for (const auto& [id, loan] : state.given) {
        if (reduced || loan.expiry > lease_expiry) {
            state.excess_until = std::max(state.excess_until, loan.expiry);
        }
    }
    state.home = true;
    state.home_usable = continues || usable_from <= now;
    state.home_amount = {amount.rate, amount.capacity, 0};
    state.lease_expiry = lease_expiry;
    state.usable_from = usable_from;
    apply_limits(state);
    schedule(state, state.next_event);
}

time_ms budget_manager::release_home_share(time_ms now, std::string_view budget) {
    auto* state = find(budget);
    if (state == nullptr) {
        return now;
    }
    settle(*state, now);
    time_ms clear = now;
    for (const auto& [id, loan] : state->given) {
        clear = std::max(clear, loan.expiry);
    }
    state->excess_until = std::max(state->excess_until, clear);
    state->home = false;
    state->home_usable = false;
    state->queue.clear();
    apply_limits(*state);
    schedule(*state, state->next_event);
    return clear;
}

void budget_manager::set_lenders(std::string_view budget, std::vector<peer_id> lenders) {
    auto& state = state_of(budget);
    std::vector<lender> updated;
    for (auto& id : lenders) {
        if (id.incarnation == self_.incarnation) {
            continue;
        }
        const auto same = std::find_if(state.lenders.begin(), state.lenders.end(),
                                       [&](const lender& known) { return known.id == id; });
        if (same != state.lenders.end()) {
            updated.push_back(*same);
        } else {
            updated.push_back({std::move(id), time_ms{}, answer_timeout, 0, 0});
        }
    }
    state.lenders = std::move(updated);
}

bool budget_manager::send(time_ms now, const peer_id& to, peer_payload payload, std::int64_t reserve) {
    message_limit_.advance(now);
    if (message_limit_.level() < (reserve + 1) * token || !message_limit_.take(token)) {
        ++counters_.suppressed;
        return false;
    }
    actions_.push_back({to, std::move(payload)});
    return true;
}

admission budget_manager::try_admit(time_ms now, std::string_view budget, admission_attempt which) {
    auto* state = find(budget);
    if (state == nullptr || stopping_) {
        return admission::refused;
    }
    settle(*state, now);
    if (which == admission_attempt::first) {
        state->demand.record(now);
    }
    if (state->bucket.take(token)) {
        if (which != admission_attempt::first) {
            --state->waiting;
        }
        // The tick asks for more before the bucket is empty.
        if (state->wake > now + tick) {
            schedule(*state, now + tick);
        }
        return admission::admitted;
    }
    if (which == admission_attempt::last) {
        --state->waiting;
        return admission::refused;
    }
    if (which == admission_attempt::first) {
        if (state->waiting >= longest_queue) {
            return admission::refused;
        }
        ++state->waiting;
    }
    drive(*state, now);
    const bool loan_under_way =
        std::any_of(state->pending.begin(), state->pending.end(), [&](const auto& request) {
            return request.renews == 0 && request.sent + answer_timeout > now;
        });
    if (loan_under_way || state->bucket.time_of(token) < now + time_ms{150}) {
        return admission::wait;
    }
    --state->waiting;
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
    settle(*state, now);
    if (!state->home || !state->home_usable) {
        return;
    }
    // A duplicated or overtaken request would reserve an amount that its sender no longer expects.
    std::erase_if(state->last_requests,
                  [&](const auto& entry) { return entry.second.seen + duplicate_memory < now; });
    auto& last = state->last_requests[from.incarnation];
    if (request.sequence <= last.sequence) {
        return;
    }
    last = {request.sequence, now};
    if (grant(*state, now, from, request) || request.renews != 0) {
        return;
    }
    std::erase_if(state->queue, [&](const queued_request& queued) {
        return queued.until <= now || queued.borrower.incarnation == from.incarnation;
    });
    if (state->queue.size() < lender_queue_length) {
        state->queue.push_back({from, request, now + lender_queue_time});
        schedule(*state, std::min(state->wake, now + tick));
    }
}

// Gives a new loan or extends one. The amount leaves the own bucket before the grant is sent.
bool budget_manager::grant(budget_state& state, time_ms now, const peer_id& borrower,
                           const loan_request& request) {
    if (state.given_sum.rate > state.home_amount.rate ||
        state.given_sum.capacity > state.home_amount.capacity) {
        return false;
    }
    time_ms duration = loan_duration;
    if (now + with_clock_drift(duration) > state.lease_expiry) {
        duration = time_ms{((state.lease_expiry - now).count - 11) * 1000 / 1021};
    }
    if (duration < tick) {
        return false;
    }
    if (request.renews != 0) {
        const auto found = state.given.find(request.renews);
        if (found == state.given.end() || found->second.borrower.incarnation != borrower.incarnation) {
            return false;
        }
        const budget_amount amount{found->second.amount.rate, found->second.amount.capacity, 0};
        if (send(now, borrower, loan_grant{state.name, request.sequence, request.renews, amount, duration},
                 0)) {
            for (auto& [id, loan] : state.given) {
                if (loan.borrower.incarnation == borrower.incarnation) {
                    loan.expiry = std::max(loan.expiry, now + with_clock_drift(duration));
                }
            }
            ++counters_.grants_sent;
            apply_limits(state);
            schedule(state, state.next_event);
        }
        return true;
    }
    if (request.wanted.rate == 0 && request.wanted.capacity == 0) {
        return transfer(state, now, borrower, request);
    }
    const std::int64_t demand = state.demand.rate(now);
    const budget_amount own = state.own_home();
    const std::int64_t kept_rate = above_zero(demand + demand / 10 - state.taken_sum.rate);
    budget_amount amount;
    amount.rate = std::clamp<std::int64_t>(request.wanted.rate, 0, above_zero(own.rate - kept_rate));
    // A rate without capacity for a few tokens is of no use to anyone, so the remaining rate keeps some.
    std::int64_t kept_capacity =
        demand == 0 ? 0 : above_zero(smallest_buffer + demand * buffer_ms - state.taken_sum.capacity);
    if (own.rate > amount.rate) {
        kept_capacity = std::max(kept_capacity, smallest_buffer);
    }
    const std::int64_t kept_tokens = std::min(kept_capacity, state.waiting * token + demand * low_level_ms);
    const std::int64_t spare_tokens = above_zero(state.bucket.level() - kept_tokens);
    // Capacity goes along in proportion to the rate, and for the tokens themselves.
    amount.tokens = std::clamp<std::int64_t>(request.wanted.tokens, 0, spare_tokens);
    amount.capacity = std::min({request.wanted.capacity, above_zero(own.capacity - kept_capacity),
                                proportion(own.capacity, amount.rate, own.rate) + amount.tokens});
    amount.rate = std::min(amount.rate, amount.capacity / 2);
    // Tokens that would no longer fit into the own bucket go along even when they are not asked for.
    const std::int64_t own_limit =
        state.bucket.capacity() - amount.capacity - state.bucket.rate() + amount.rate;
    amount.tokens = std::min(spare_tokens, std::max(amount.tokens, state.bucket.level() - own_limit));
    amount.tokens = std::clamp<std::int64_t>(amount.tokens, 0, above_zero(amount.capacity - amount.rate));
    const bool useful_rate = amount.rate > 0 && amount.rate * 20 >= request.wanted.rate;
    if (amount.capacity == 0 || (!useful_rate && amount.tokens == 0)) {
        return false;
    }
    const std::uint64_t id = ++next_id_;
    if (!send(now, borrower, loan_grant{state.name, request.sequence, id, amount, duration}, 0)) {
        return false;
    }
    ++counters_.grants_sent;
    state.bucket.take(amount.tokens);
    state.given_sum.rate += amount.rate;
    state.given_sum.capacity += amount.capacity;
    state.given.emplace(id, given_loan{borrower, amount, now + with_clock_drift(duration)});
    apply_limits(state);
    schedule(state, state.next_event);
    return true;
}

// Gives tokens for which the borrower keeps capacity free. Nothing is owed afterwards.
bool budget_manager::transfer(budget_state& state, time_ms now, const peer_id& borrower,
                              const loan_request& request) {
    const std::int64_t kept = state.waiting * token + state.demand.rate(now) * low_level_ms;
    const std::int64_t tokens = std::min(request.wanted.tokens, above_zero(state.bucket.level() - kept));
    if (tokens < std::min(request.wanted.tokens, smallest_transfer)) {
        return false;
    }
    const loan_grant answer{state.name, request.sequence, 0, {0, 0, tokens}, loan_duration};
    if (!send(now, borrower, answer, 0)) {
        return false;
    }
    ++counters_.grants_sent;
    state.bucket.take(tokens);
    return true;
}

void budget_manager::on_grant(time_ms now, const peer_id& from, const loan_grant& answer) {
    auto* state = find(answer.budget);
    if (state == nullptr) {
        ++counters_.grants_dropped;
        return;
    }
    settle(*state, now);
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
    apply_limits(*state);
    for (auto& known : state->lenders) {
        if (known.open == answered.sequence) {
            known.open = 0;
            known.backoff = answer_timeout;
            known.failures = 0;
            known.ask_again = now;
        }
    }
    const time_ms expiry = answered.sent + answer.duration;
    const bool malformed = answer.amount.rate < 0 || answer.amount.capacity < 0 || answer.amount.tokens < 0;
    if (expiry <= now || answer.duration > loan_duration || malformed) {
        ++counters_.grants_dropped;
        return;
    }
    const auto held = std::find_if(state->taken.begin(), state->taken.end(), [&](const taken_loan& loan) {
        return loan.id == answer.loan && loan.lender.incarnation == from.incarnation;
    });
    if (answer.loan == 0) {
        state->bucket.add(std::min(answer.amount.tokens, answered.reserved));
    } else if (answered.renews != 0) {
        // A loan taken before the request was sent either existed when the lender extended its loans, or has
        // already expired here, because the lender counts a longer term.
        for (auto& loan : state->taken) {
            if (answered.renews == answer.loan && loan.lender.incarnation == from.incarnation &&
                loan.taken_at <= answered.sent) {
                loan.expiry = std::max(loan.expiry, expiry);
            }
        }
    } else if (held == state->taken.end()) {
        state->taken.push_back({answer.loan, from, answer.amount, expiry, now});
        state->taken_sum.rate += answer.amount.rate;
        state->taken_sum.capacity += answer.amount.capacity;
    }
    apply_limits(*state);
    if (answered.renews == 0 && answer.loan != 0) {
        state->bucket.add(answer.amount.tokens);
    }
    if (stopping_) {
        return_unneeded(*state, now);
    }
    notify(*state);
    schedule(*state, std::min(state->next_event, now + tick));
}

void budget_manager::on_return(time_ms now, const peer_id& from, const loan_return& message) {
    auto* state = find(message.budget);
    if (state == nullptr) {
        return;
    }
    settle(*state, now);
    const auto found = state->given.find(message.loan);
    if (found == state->given.end() || found->second.borrower.incarnation != from.incarnation) {
        return;
    }
    const budget_amount amount = found->second.amount;
    state->given_sum.rate -= amount.rate;
    state->given_sum.capacity -= amount.capacity;
    state->given.erase(found);
    apply_limits(*state);
    state->bucket.add(std::clamp<std::int64_t>(message.tokens, 0, amount.capacity));
    serve_queued(*state, now);
    notify(*state);
    schedule(*state, std::min(state->next_event, state->demand.rate(now) > 0 ? now + tick : far_future));
}

void budget_manager::serve_queued(budget_state& state, time_ms now) {
    std::erase_if(state.queue, [&](const queued_request& queued) { return queued.until <= now; });
    while (!state.queue.empty()) {
        const queued_request next = state.queue.front();
        if (!grant(state, now, next.borrower, next.request)) {
            return;
        }
        state.queue.pop_front();
    }
}

void budget_manager::notify(budget_state& state) {
    if (state.waiting > 0 && !state.ready && state.bucket.level() >= token) {
        state.ready = true;
        ready_.push_back(state.name);
    }
}

void budget_manager::return_loan(budget_state& state, taken_loan& loan) {
    const std::int64_t level = state.bucket.level();
    state.taken_sum.rate -= loan.amount.rate;
    state.taken_sum.capacity -= loan.amount.capacity;
    const taken_loan returned = loan;
    std::erase_if(state.taken, [&](const taken_loan& other) {
        return other.id == returned.id && other.lender.incarnation == returned.lender.incarnation;
    });
    apply_limits(state);
    // Tokens that no longer fit into the bucket go back with the loan.
    const std::int64_t tokens = std::min(level - state.bucket.level(), returned.amount.capacity);
    const time_ms now = state.bucket.updated();
    if (send(now, returned.lender, loan_return{state.name, returned.id, tokens}, 0)) {
        ++counters_.returns_sent;
    }
}

// Returns the loans that the demand does not need, the most distant lender first.
void budget_manager::return_unneeded(budget_state& state, time_ms now) {
    const std::int64_t demand = stopping_ ? 0 : state.demand.rate(now);
    // A full bucket shows that the rate exceeds the demand, whatever the estimate says.
    const bool full = state.bucket.time_of(state.bucket.capacity() - state.bucket.rate()) <= now;
    const std::int64_t need_rate = full ? demand : demand + demand * 3 / 10;
    const std::int64_t need_capacity = demand == 0 ? 0 : smallest_buffer + demand * buffer_ms;
    const auto distance = [&](const taken_loan& loan) {
        return std::find_if(state.lenders.begin(), state.lenders.end(),
                            [&](const lender& known) { return known.id == loan.lender; }) -
               state.lenders.begin();
    };
    bool returned = true;
    while (returned && state.waiting == 0) {
        returned = false;
        taken_loan* worst = nullptr;
        for (auto& loan : state.taken) {
            const bool rate_spare =
                loan.amount.rate == 0 || state.bucket.rate() - loan.amount.rate >= need_rate;
            const std::int64_t capacity_left = state.bucket.capacity() - loan.amount.capacity;
            const bool capacity_spare = capacity_left >= need_capacity ||
                                        (loan.amount.rate == 0 && capacity_left >= state.bucket.level());
            // A loan without rate is not renewed; its tokens would be lost at the expiry.
            const bool ends = loan.amount.rate == 0 && loan.expiry <= now + return_before;
            if ((ends || (rate_spare && capacity_spare)) &&
                (worst == nullptr || distance(loan) > distance(*worst))) {
                worst = &loan;
            }
        }
        if (worst != nullptr) {
            return_loan(state, *worst);
            returned = true;
        }
    }
}

// Extends all loans of one lender by one message. One of them is named; the lender extends every loan of the
// budget that it has given to this process.
void budget_manager::renew(budget_state& state, time_ms now) {
    for (const auto& due : state.taken) {
        if (due.amount.rate == 0 || due.expiry > now + renew_before || due.renewal_sent + renew_retry > now) {
            continue;
        }
        const std::uint64_t sequence = ++next_id_;
        if (!send(now, due.lender, loan_request{state.name, sequence, {}, due.id}, 0)) {
            continue;
        }
        ++counters_.renewals_sent;
        state.pending.push_back({sequence, due.lender.incarnation, due.id, {}, now, 0});
        const auto extended_by = due.lender.incarnation;
        for (auto& loan : state.taken) {
            loan.renewal_sent = loan.lender.incarnation == extended_by ? now : loan.renewal_sent;
        }
    }
}

// Asks the lenders for what the demand needs beyond the own bucket and the requests under way.
void budget_manager::borrow(budget_state& state, time_ms now) {
    const std::int64_t demand = state.demand.rate(now);
    // A home without own demand borrows for the requests in its queue.
    if ((demand == 0 && state.waiting == 0 && state.queue.empty()) ||
        state.taken.size() >= most_loans_per_budget) {
        return;
    }
    const std::int64_t low = demand * low_level_ms;
    // Waiting requests justify a question to all lenders, a low level one to a single lender.
    const bool urgent = state.waiting > 0 || state.bucket.level() < token + low;
    if (!urgent && state.bucket.rate() >= demand) {
        return;
    }
    budget_amount want;
    want.rate = above_zero(demand + demand / 10 - state.bucket.rate());
    want.tokens = above_zero(state.waiting * token + 2 * low + token - state.bucket.level());
    if (state.bucket.capacity() == 0) {
        want.tokens = std::max(want.tokens, first_tokens);
    }
    want.capacity = std::max(above_zero(smallest_buffer + demand * buffer_ms - state.bucket.capacity()),
                             want.tokens + 2 * want.rate);
    // While requests are under way, further ones follow only when the need has doubled.
    budget_amount asked;
    for (const auto& pending : state.pending) {
        if (pending.renews == 0 && pending.sent + answer_timeout > now) {
            asked.rate = std::max(asked.rate, pending.total.rate);
            asked.tokens = std::max(asked.tokens, pending.total.tokens);
        }
    }
    const bool rate_missing = want.rate > demand / 5 && want.rate > 2 * asked.rate;
    const bool tokens_missing = urgent && want.tokens >= token && want.tokens > 2 * asked.tokens;
    if (!rate_missing && !tokens_missing) {
        return;
    }
    const bool grown = asked.rate > 0 || asked.tokens > 0;
    const auto others = static_cast<std::int64_t>(state.lenders.size()) - 1;
    const std::size_t count = state.lenders.size();
    const std::size_t start = rate_missing || count == 0 ? 0 : state.next_lender++ % count;
    bool first = true;
    for (std::size_t i = 0; i < count; ++i) {
        auto& known = state.lenders[(start + i) % count];
        if (known.open != 0 && known.ask_again <= now) {
            // No answer: the lender has nothing, is unreachable, or a message was lost.
            known.open = 0;
            ++known.failures;
            known.backoff =
                known.failures < 4 ? answer_timeout : std::min(known.backoff * 2, longest_backoff);
        }
        if (known.backoff > answer_timeout ? known.ask_again > now : known.open != 0 && !grown) {
            first = false;
            continue;
        }
        // The nearest lender is asked for everything; in an emergency the others for twice an equal part
        // each.
        budget_amount part = want;
        if (!first && others > 2) {
            part.rate = want.rate * 2 / others;
            part.tokens = std::max(std::min(token, want.tokens), want.tokens * 2 / others);
            part.capacity = std::max(part.tokens + 2 * part.rate, want.capacity * 2 / others);
        }
        // A bucket with free capacity needs the tokens only.
        // Half a token stays free for the own refill.
        const std::int64_t room =
            state.bucket.capacity() - state.bucket.rate() - state.bucket.level() - token / 2;
        std::int64_t reserved = 0;
        if (tokens_missing && state.bucket.capacity() >= 2 * token && state.bucket.rate() * 2 >= demand) {
            reserved = std::min(part.tokens, room);
            if (reserved < smallest_transfer) {
                return;
            }
            part = {0, 0, reserved};
        }
        const std::uint64_t sequence = ++next_id_;
        if (!send(now, known.id, loan_request{state.name, sequence, part, 0}, request_reserve)) {
            return;
        }
        ++counters_.requests_sent;
        known.open = sequence;
        known.ask_again = now + known.backoff;
        state.pending.push_back({sequence, known.id.incarnation, 0, want, now, reserved});
        state.reserved_sum += reserved;
        apply_limits(state);
        if (state.waiting == 0) {
            return;
        }
        first = false;
    }
}

// Brings loans in line with the demand.
void budget_manager::drive(budget_state& state, time_ms now) {
    state.demand.decay(now);
    std::erase_if(state.pending, [&](const auto& pending) { return pending.sent + loan_duration <= now; });
    return_unneeded(state, now);
    serve_queued(state, now);
    renew(state, now);
    if (!stopping_) {
        borrow(state, now);
    }
    notify(state);
    time_ms wake = state.next_event;
    if (state.waiting > 0) {
        wake = std::min({wake, now + tick, std::max(now + time_ms{1}, state.bucket.time_of(token))});
    } else if (!state.taken.empty() || state.demand.rate(now) > 0 || !state.pending.empty() ||
               !state.queue.empty()) {
        wake = std::min(wake, now + tick);
    }
    schedule(state, wake);
}

void budget_manager::on_tick(time_ms now) {
    while (!timers_.empty() && timers_.begin()->first <= now) {
        auto& state = *timers_.begin()->second;
        schedule(state, far_future);
        settle(state, now);
        drive(state, now);
    }
}

void budget_manager::stop(time_ms now) {
    stopping_ = true;
    for (auto& [name, state] : budgets_) {
        settle(*state, now);
        state->queue.clear();
        state->waiting = 0;
        return_unneeded(*state, now);
        release_home_share(now, name);
    }
}

void budget_manager::schedule(budget_state& state, time_ms wake) {
    if (state.wake != far_future) {
        timers_.erase({state.wake, &state});
    }
    state.wake = wake;
    if (wake != far_future) {
        timers_.emplace(wake, &state);
    }
}

time_ms budget_manager::next_wakeup() const {
    return timers_.empty() ? far_future : timers_.begin()->first;
}

std::vector<send_action> budget_manager::take_actions() {
    return std::exchange(actions_, {});
}

std::vector<std::string> budget_manager::take_ready_budgets() {
    for (const auto& name : ready_) {
        find(name)->ready = false;
    }
    return std::exchange(ready_, {});
}

budget_amount budget_manager::held(time_ms now, std::string_view budget) {
    auto* state = find(budget);
    if (state == nullptr) {
        return {};
    }
    settle(*state, now);
    return {state->bucket.rate(), state->bucket.capacity(), state->bucket.level()};
}

} // namespace lacewing
