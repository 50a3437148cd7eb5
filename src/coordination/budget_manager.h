#pragma once

#include "coordination/peer_message.h"
#include "coordination/token_bucket.h"
#include "state/time_ms.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// @brief How long a lender must wait before it reuses an amount whose holder measures `term` on another
/// clock. Two clocks that are off by 1 % in opposite directions differ by 2.02 %; the constant 10 ms covers
/// clocks that count whole milliseconds.
constexpr time_ms with_clock_drift(time_ms term) {
    return {(term.count * 1021 + 999) / 1000 + 10};
}

/// @brief Time within which every loan expires at its borrower, measured on the clock of any other VM: 3 s
/// plus clock drift. It also covers loans of a process that has died.
inline constexpr time_ms max_loan_lifetime = with_clock_drift(time_ms{3000});

/// @brief The accounting of a budget is inconsistent; the process must not admit further requests.
class budget_invariant_error : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

enum class admission : std::uint8_t {
    admitted,
    /// A loan or a token is expected soon. Try again when take_ready_budgets() names the budget, and once
    /// more as admission_attempt::last when the wait times out.
    wait,
    refused,
};

/// @brief Which attempt to admit one request this is; only the first counts as demand.
enum class admission_attempt : std::uint8_t {
    first,
    /// Retry of a waiting request, which may go on waiting.
    again,
    /// Final attempt of a waiting request; it is refused if no token is available.
    last,
};

/// @brief Counters since the start of the process.
struct budget_counters {
    std::uint64_t requests_sent = 0;
    std::uint64_t renewals_sent = 0;
    std::uint64_t grants_sent = 0;
    std::uint64_t returns_sent = 0;
    /// Messages not sent because of the message rate limit.
    std::uint64_t messages_suppressed = 0;
    /// Grants that were expired, duplicated, malformed, or not requested by this incarnation.
    std::uint64_t grants_dropped = 0;
};

/// @brief Estimates the request rate of one budget at this VM from a fast and a slow moving average.
class demand_estimate {
public:
    /// @brief Counts one request.
    void record(time_ms now);
    /// @brief Decays both averages up to now.
    void decay(time_ms now);

    /// @brief Estimated rate in micro-tokens per ms; 0 once arrivals have stopped.
    [[nodiscard]] std::int64_t rate(time_ms now) const;

    /// @brief Time at which the budget counts as idle if no more requests arrive.
    [[nodiscard]] time_ms idle_at() const;

private:
    // Micro-tokens per ms.
    std::int64_t fast_average_ = 0;
    std::int64_t slow_average_ = 0;
    time_ms last_decay_;
    time_ms last_arrival_;
};

/// @brief Admits requests against the rate budgets of one VM and exchanges loans with other VMs.
///
/// Each zone owns a share of every budget, and one VM of the zone, the home, holds it. A VM admits requests
/// from its home shares and from loans that it has borrowed from homes, in any zone. An amount is usable at
/// one VM at a time, so the VMs together admit at most rate × window + burst in every window (INV-4).
///
/// Not thread-safe: one thread makes all calls. Times are those of the local monotonic clock and must not
/// decrease. Outgoing messages and notifications are collected and fetched with take_actions() and
/// take_ready_budgets().
class budget_manager {
public:
    /// @param self Identity of this process; sequence numbers and loan ids start from a hash of its
    /// incarnation.
    explicit budget_manager(peer_id self);
    ~budget_manager();
    budget_manager(const budget_manager&) = delete;
    budget_manager& operator=(const budget_manager&) = delete;
    budget_manager(budget_manager&&) = delete;
    budget_manager& operator=(budget_manager&&) = delete;

    /// @brief Makes this VM the home of its zone's share, extends the lease, or changes the amount.
    /// A new share starts without tokens. A smaller amount applies at once to admissions at this VM and to
    /// new loans; loans that already exceed it expire within max_loan_lifetime.
    /// @param amount Rate and capacity; its tokens are ignored.
    /// @param lease_expiry Time after which the share admits no request; new loans end before it.
    /// @param usable_from Earliest use; later than now if loans of the previous home may still run.
    /// @throws std::invalid_argument if the rate or the capacity is negative.
    void set_home_share(time_ms now, std::string_view budget, budget_amount amount, time_ms lease_expiry,
                        time_ms usable_from);

    /// @brief Gives up the home share.
    /// @return Time by which all loans from the share have expired, so that the next home may use it.
    time_ms release_home_share(time_ms now, std::string_view budget);

    /// @brief Replaces the list of homes to borrow from, nearest first; an entry for this VM is ignored.
    void set_lenders(std::string_view budget, std::vector<peer_id> lenders);

    /// @brief Admits one request, lets it wait for tokens, or refuses it.
    admission try_admit(time_ms now, std::string_view budget,
                        admission_attempt attempt = admission_attempt::first);

    /// @brief Handles a loan request, grant or return; ignores other payloads.
    void on_message(time_ms now, const peer_id& from, const peer_payload& payload);
    /// @brief Runs the budgets whose wake-up time has come.
    void on_tick(time_ms now);

    /// @brief Returns all borrowed loans, grants no new ones and refuses all requests; for a planned stop.
    void stop(time_ms now);

    /// @brief Time at which on_tick() is due; far_future when all budgets are idle.
    [[nodiscard]] time_ms next_wakeup() const;

    /// @brief Removes and returns the messages to send.
    std::vector<send_action> take_actions();

    /// @brief Removes and returns the names of budgets whose waiting requests should retry.
    std::vector<std::string> take_ready_budgets();

    /// @brief Whether the lent amounts fit into the home shares, that is, every reduction of a share is
    /// complete.
    [[nodiscard]] bool loans_fit_home_shares() const;

    /// @brief Rate, capacity and level (as tokens) of this VM's bucket, advanced to `now`.
    budget_amount held(time_ms now, std::string_view budget);

    [[nodiscard]] const budget_counters& counters() const { return counters_; }

    /// @brief Checks the accounting of all budgets.
    /// @throws budget_invariant_error if it is inconsistent.
    void check() const;

private:
    struct lent_loan;
    struct borrowed_loan;
    struct pending_request;
    struct lender;
    struct budget_state;

    budget_state& find_or_create(std::string_view budget);
    budget_state* find(std::string_view budget);
    void advance_state(budget_state& state, time_ms now);
    void update_bucket_limits(budget_state& state) const;
    void release_reserved(budget_state& state, time_ms now) const;
    static void check(const budget_state& state);
    void rebalance_loans(budget_state& state, time_ms now);
    void return_unneeded_loans(budget_state& state, time_ms now);
    void return_loan(budget_state& state, borrowed_loan& loan);
    void renew_loans(budget_state& state, time_ms now);
    void request_loans(budget_state& state, time_ms now);
    void serve_queued_requests(budget_state& state, time_ms now);
    bool grant_loan(budget_state& state, time_ms now, const peer_id& borrower, const loan_request& request);
    bool transfer_tokens(budget_state& state, time_ms now, const peer_id& borrower,
                         const loan_request& request);
    void on_request(time_ms now, const peer_id& from, const loan_request& request);
    void on_grant(time_ms now, const peer_id& from, const loan_grant& grant_loan);
    void on_return(time_ms now, const peer_id& from, const loan_return& message);
    void notify_waiting(budget_state& state);
    void schedule_wakeup(budget_state& state, time_ms wakeup);
    bool send(time_ms now, const peer_id& to, peer_payload payload, std::int64_t reserve);

    peer_id self_;
    std::uint64_t next_id_;
    bool stopping_ = false;
    std::map<std::string, std::unique_ptr<budget_state>, std::less<>> budgets_;
    std::set<std::pair<time_ms, budget_state*>> wakeups_;
    token_bucket message_limit_;
    std::vector<send_action> outgoing_;
    std::vector<std::string> ready_budgets_;
    budget_counters counters_;
};

} // namespace lacewing
