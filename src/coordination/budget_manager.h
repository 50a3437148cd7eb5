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

/// @brief Term that the owner of an amount waits before it uses the amount again, when the holder counts
/// `term` on another clock. Two clocks that are each off by 1 % in opposite directions differ by 2.02 %; the
/// constant part covers clocks that count whole milliseconds.
constexpr time_ms with_clock_drift(time_ms term) {
    return {(term.count * 1021 + 999) / 1000 + 10};
}

/// @brief Time after which every loan of a dead process has expired at its borrower.
inline constexpr time_ms max_loan_lifetime = with_clock_drift(time_ms{3000});

/// @brief The accounting of a budget contradicts itself; the process must not admit further requests.
class budget_invariant_error : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

enum class admission : std::uint8_t {
    admitted,
    /// A loan or a token is on its way; the caller retries when notified and when its wait ends.
    wait,
    refused,
};

/// @brief Which try of one request this is; only the first one counts as demand.
enum class admission_attempt : std::uint8_t {
    first,
    /// The request waits and stays in the queue of waiting requests.
    again,
    /// The wait of the request ends with this try.
    last,
};

/// @brief Counters since the start of the process.
struct budget_counters {
    std::uint64_t requests_sent = 0;
    std::uint64_t renewals_sent = 0;
    std::uint64_t grants_sent = 0;
    std::uint64_t returns_sent = 0;
    /// Messages that the message limit suppressed.
    std::uint64_t suppressed = 0;
    /// Grants that arrived after their expiry, twice, or for another incarnation.
    std::uint64_t grants_dropped = 0;
};

/// @brief Estimate of the request rate of one budget at this VM.
class demand_estimate {
public:
    void record(time_ms now);
    void decay(time_ms now);

    /// @brief Micro-tokens per ms; 0 when the arrivals have stopped.
    [[nodiscard]] std::int64_t rate(time_ms now) const;

    /// @brief Time at which the budget counts as idle without further arrivals.
    [[nodiscard]] time_ms idle_at() const;

private:
    std::int64_t fast_ = 0;
    std::int64_t slow_ = 0;
    time_ms decayed_;
    time_ms last_arrival_;
};

/// @brief All rate budgets of one VM: home shares, loans given and taken, admission.
///
/// Not thread safe; one thread drives it. Times are those of the local monotonic clock and must not decrease.
/// Messages and notifications collect inside and are fetched with take_actions() and take_ready_budgets().
class budget_manager {
public:
    /// @param self This process; the incarnation is the seed of all identifiers.
    explicit budget_manager(peer_id self);
    ~budget_manager();
    budget_manager(const budget_manager&) = delete;
    budget_manager& operator=(const budget_manager&) = delete;
    budget_manager(budget_manager&&) = delete;
    budget_manager& operator=(budget_manager&&) = delete;

    /// @brief Makes this VM the home of its zone's share, extends the lease, or changes the amount.
    /// A new share starts without tokens. A smaller amount takes effect at once for own admissions and new
    /// loans; loans already given beyond it run out within max_loan_lifetime.
    /// @param amount Rate and capacity; its tokens are ignored.
    /// @param lease_expiry No admission from the share and no loan lasts beyond this time.
    /// @param usable_from Earliest use, for a share whose predecessor may have given loans.
    void set_home_share(time_ms now, std::string_view budget, budget_amount amount, time_ms lease_expiry,
                        time_ms usable_from);

    /// @brief Gives up the home share.
    /// @return Time from which the successor may use it: the loans given have expired by then.
    time_ms release_home_share(time_ms now, std::string_view budget);

    /// @brief Replaces the list of homes to ask, nearest first; an entry for this VM itself is ignored.
    void set_lenders(std::string_view budget, std::vector<peer_id> lenders);

    /// @brief Decides on one request.
    admission try_admit(time_ms now, std::string_view budget,
                        admission_attempt which = admission_attempt::first);

    void on_message(time_ms now, const peer_id& from, const peer_payload& payload);
    void on_tick(time_ms now);

    /// @brief Returns all loans, gives no new ones and refuses all requests; for a graceful stop.
    void stop(time_ms now);

    /// @brief Time at which on_tick() is due; `far_future` when all budgets are idle.
    [[nodiscard]] time_ms next_wakeup() const;

    /// @brief Fetches the messages to send.
    std::vector<send_action> take_actions();

    /// @brief Fetches the budgets whose waiting requests should try again.
    std::vector<std::string> take_ready_budgets();

    /// @brief Whether all loans given fit into the home shares, that is the last reduction is complete.
    [[nodiscard]] bool settled() const;

    /// @brief Rate, capacity and level of the own bucket after expiry up to `now`.
    budget_amount held(time_ms now, std::string_view budget);

    [[nodiscard]] const budget_counters& counters() const { return counters_; }

    /// @brief Checks the accounting of all budgets.
    /// @throws budget_invariant_error when it is inconsistent.
    void check() const;

private:
    struct given_loan;
    struct taken_loan;
    struct pending_request;
    struct lender;
    struct budget_state;

    budget_state& state_of(std::string_view budget);
    budget_state* find(std::string_view budget);
    void settle(budget_state& state, time_ms now);
    void apply_limits(budget_state& state) const;
    void release_reserved(budget_state& state, time_ms now) const;
    static void check(const budget_state& state);
    void drive(budget_state& state, time_ms now);
    void return_unneeded(budget_state& state, time_ms now);
    void return_loan(budget_state& state, taken_loan& loan);
    void renew(budget_state& state, time_ms now);
    void borrow(budget_state& state, time_ms now);
    void serve_queued(budget_state& state, time_ms now);
    bool grant(budget_state& state, time_ms now, const peer_id& borrower, const loan_request& request);
    bool transfer(budget_state& state, time_ms now, const peer_id& borrower, const loan_request& request);
    void on_request(time_ms now, const peer_id& from, const loan_request& request);
    void on_grant(time_ms now, const peer_id& from, const loan_grant& grant);
    void on_return(time_ms now, const peer_id& from, const loan_return& message);
    void notify(budget_state& state);
    void schedule(budget_state& state, time_ms wake);
    bool send(time_ms now, const peer_id& to, peer_payload payload, std::int64_t reserve);

    peer_id self_;
    std::uint64_t next_id_;
    bool stopping_ = false;
    std::map<std::string, std::unique_ptr<budget_state>, std::less<>> budgets_;
    std::set<std::pair<time_ms, budget_state*>> timers_;
    token_bucket message_limit_;
    std::vector<send_action> actions_;
    std::vector<std::string> ready_;
    budget_counters counters_;
};

} // namespace lacewing
