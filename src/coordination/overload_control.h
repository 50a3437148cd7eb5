#pragma once

#include "coordination/admission_queue.h"
#include "state/time_ms.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lacewing {

namespace detail {

/// @brief Count that decays over time.
class decaying_count {
public:
    /// @param time_constant Time after which a count has fallen to 1/e.
    explicit decaying_count(time_ms time_constant) : time_constant_(time_constant) {}
    void add(time_ms now, double amount = 1);
    [[nodiscard]] double value(time_ms now) const;
    /// @brief Count per second, corrected for the time since the count began.
    [[nodiscard]] double per_s(time_ms now, time_ms began) const;

private:
    time_ms time_constant_;
    double count_ = 0;
    time_ms updated_{0};
};

/// @brief Requests lately, and those of them that were sent to an endpoint.
struct service_share {
    static constexpr time_ms time_constant{5000};
    decaying_count offered{time_constant};
    decaying_count sent{time_constant};
    /// @brief Share of the requests that were sent; 1 without requests.
    [[nodiscard]] double sent_share(time_ms now) const;
};

} // namespace detail

/// @brief Why admission under overload refuses a request.
enum class overload_reason : std::uint8_t {
    /// No slot is expected in time.
    no_slot_in_time,
    /// A slot was expected in time, and did not come.
    waited_in_vain,
    /// A request that goes first took its place in the queue.
    displaced,
    /// The account uses more than its share.
    over_share,
    /// Requests of a more urgent priority are being refused.
    less_urgent,
    /// It would miss its goal, and requests that can meet theirs are being refused.
    past_goal,
    /// The caller came back before the time that it was told.
    returned_early,
};
inline constexpr std::size_t overload_reasons = 7;

/// @brief Name of a reason in metrics and logs.
std::string_view overload_reason_name(overload_reason reason);

/// @brief A request, by what decides who is served when slots are short.
struct overload_request {
    /// Requests of one group compete for the same slots.
    std::string_view group;
    std::string_view account;
    std::string_view route;
    /// 0 is the most urgent.
    int priority = 0;
    /// Hash of what a caller's repeat has in common with the request that it repeats.
    std::uint64_t repeat_key = 0;
    /// Time since the caller sent the request for the first time.
    time_ms elapsed{0};
    /// Time left until the goal; negative when it has passed.
    time_ms goal_left{0};
    /// Time left until the deadline.
    time_ms left{0};
};

/// @brief What the selector has found for a request.
struct slot_outlook {
    bool found = false;
    /// The endpoint has one of the last places that are left.
    bool scarce = false;
    /// A slot may come free; not so when no endpoint is usable or a limit binds.
    bool may_wait = false;
    /// Time from the sending at a free slot until the answer.
    time_ms service_time{0};
    /// When a caller that finds no slot should come back.
    time_ms retry_after{0};
};

/// @brief Admission under overload on one VM: who is sent to an endpoint, who waits, and who is refused when
/// the slots of a group of endpoints are short.
///
/// More urgent priorities go first, then those that can still meet their goal. Accounts beyond their share,
/// less urgent requests and callers that return early take no part in the last free places, without anyone
/// being left with much less than the others. Among those that wait, admission_queue divides by account and
/// deadline. A request that was refused here was never sent.
class overload_control {
public:
    enum class ruling : std::uint8_t {
        /// Ask the selector for an endpoint, and pass what it has found to on_outlook().
        choose,
        send,
        wait,
        refuse,
    };
    struct verdict {
        ruling what = ruling::choose;
        /// For refusals.
        overload_reason reason = overload_reason::no_slot_in_time;
        time_ms retry_after{0};
    };
    /// State of a request between its arrival and its sending or refusal.
    struct ticket {
        overload_request request;
        std::uint64_t id = 0;
        time_ms arrived{0};
        bool waiting = false;
        /// The caller comes back at the time that it was told.
        bool returned = false;
        bool returned_early = false;
        /// Its account has had more than its share.
        bool over_share = false;
        /// Set while it waits: when it is refused if no slot has come.
        time_ms latest_send{0};
        std::size_t lane = 0;
        /// Index of the account and priority within the group.
        std::uint32_t account = 0;
        /// Priority, no higher than the group distinguishes.
        std::size_t priority = 0;
        /// Why the request may not take one of the last places; nothing if it may.
        std::optional<overload_reason> yields;
    };
    /// Requests that wait at once in one lane of a group.
    static constexpr std::size_t max_waiting = 64;

    explicit overload_control(std::uint64_t seed) : random_(seed) {}

    /// @brief Switches the control on or off; while it is off, each request is sent as the selector decides.
    void set_enabled(bool enabled) { enabled_ = enabled; }
    [[nodiscard]] bool enabled() const { return enabled_; }

    /// @brief Called with the id of a request that waits: its turn has come, or it was displaced.
    std::function<void(std::uint64_t id)> on_wake = [](std::uint64_t) {};

    /// @brief Records the arrival of a request.
    /// @return The ticket; its texts must outlive it.
    ticket arrive(time_ms now, const overload_request& request);
    /// @brief Decides before the selector is asked: whether the request is next.
    verdict before_choice(time_ms now, ticket& asked);
    /// @brief Decides on what the selector has found.
    verdict on_outlook(time_ms now, ticket& asked, const slot_outlook& outlook);
    /// @brief Whether a request that waits is the next one.
    [[nodiscard]] bool has_turn(const ticket& asked) const;
    /// @brief Removes a request that waits, because its caller has left.
    void leave(time_ms now, ticket& asked);
    /// @brief Wakes the request whose turn it is, because a slot may have come free.
    void wake_next(std::string_view group_name);

    /// @brief Counts since the start of the process.
    struct totals {
        std::uint64_t waited = 0;
        std::uint64_t sent_after_wait = 0;
        std::uint64_t left_while_waiting = 0;
        std::uint64_t early_repeats = 0;
        std::array<std::uint64_t, overload_reasons> refused{};
    };
    [[nodiscard]] const totals& counted() const { return totals_; }
    [[nodiscard]] std::size_t waiting() const;
    /// @brief Refusals by route and account.
    struct refusal_row {
        std::string route;
        std::string account;
        std::array<std::uint64_t, overload_reasons> refused{};
        std::uint64_t waited = 0;
    };
    /// @brief Routes and accounts with requests that waited or were refused; at most max_rows.
    [[nodiscard]] const std::vector<refusal_row>& rows() const { return rows_; }
    static constexpr std::size_t max_rows = 512;

private:
    static constexpr std::size_t max_priority = 3;
    // Lanes of a group, served in this order: for each priority, requests that can meet their goal and then
    // those that are late.
    static constexpr std::size_t lanes = 2 * (max_priority + 1);

    // Time over which the usual rate of an account is measured.
    static constexpr time_ms usual_time{60'000};

    /// Use of a group's slots by the requests of one priority.
    struct priority_use {
        detail::service_share served;
        // Requests of accounts within their share.
        detail::service_share within_share;
        // Accounts with requests of the priority: their indexes by name.
        std::map<std::string, std::uint32_t, std::less<>> accounts;
        // Service that each account could have had as its fair share, in seconds of its usual rate, and how
        // much is added to it per second.
        double fair_s = 0;
        double fair_per_s = 1;
        time_ms advanced{0};
        time_ms measured{0};
    };
    /// Use of a group's slots by the requests of one account and priority.
    struct account_use {
        detail::service_share served;
        detail::decaying_count usual{usual_time};
        // Service that the account has had, on the scale of priority_use::fair_s.
        double used_s = 0;
        detail::decaying_count repeats{detail::service_share::time_constant};
        detail::decaying_count early_repeats{detail::service_share::time_constant};
    };
    struct waiting_request {
        queued_request queued;
        std::size_t lane = 0;
    };
    struct slot_group {
        explicit slot_group(time_ms now);
        time_ms began;
        std::vector<admission_queue> queues;
        // The request whose turn it is; it waits for a slot outside the queues.
        std::optional<waiting_request> next;
        std::vector<account_use> accounts;
        std::array<priority_use, max_priority + 1> priorities;
        // By the lane that a request would wait in.
        std::array<detail::service_share, lanes> by_lane;
        detail::service_share all;
        detail::decaying_count drained;
        // Until this time, slots count as short.
        time_ms short_until{0};
        // Turn of the refused caller that comes back last.
        time_ms last_turn{0};
        double service_time_ms = 0;
        [[nodiscard]] std::size_t waiting_up_to(std::size_t lane) const;
    };

    /// When a refused caller was told to come back.
    struct offer {
        time_ms first_arrival;
        time_ms due;
    };

    slot_group& group_of(time_ms now, std::string_view name);
    static std::uint32_t account_of(slot_group& group, std::string_view name, std::size_t priority);
    static void advance_shares(time_ms now, slot_group& group, std::size_t priority);
    [[nodiscard]] static double usual_demand_ratio(time_ms now, const slot_group& group,
                                                   const priority_use& use);
    static void count_request(time_ms now, slot_group& group, const ticket& asked);
    void match_offer(time_ms now, ticket& asked, account_use& account);
    [[nodiscard]] static double usual_per_s(time_ms now, const slot_group& group, const account_use& account);
    [[nodiscard]] static bool suffers(time_ms now, const detail::service_share& share, double least);
    [[nodiscard]] static bool over_share(time_ms now, const slot_group& group, const ticket& asked);
    [[nodiscard]] static std::optional<overload_reason> why_yields(time_ms now, const slot_group& group,
                                                                   const ticket& asked);
    [[nodiscard]] static std::size_t lane_of(const slot_group& group, const ticket& asked);
    verdict enqueue(time_ms now, slot_group& group, ticket& asked);
    verdict refuse(time_ms now, slot_group& group, ticket& asked, overload_reason reason,
                   std::optional<time_ms> return_after = {});
    void send(time_ms now, slot_group& group, ticket& asked);
    void remove(time_ms now, slot_group& group, ticket& asked);
    void advance(time_ms now, slot_group& group);
    time_ms return_time(time_ms now, slot_group& group, const ticket& asked);
    void record_offer(const ticket& asked, time_ms due);
    refusal_row* row_of(const overload_request& request);

    bool enabled_ = true;
    std::mt19937_64 random_;
    std::uint64_t last_id_ = 0;
    std::map<std::string, slot_group, std::less<>> groups_;
    // Ids of requests that were removed from a queue for others and have not learned of it.
    std::unordered_map<std::uint64_t, overload_reason> removed_;
    // By overload_request::repeat_key; the keys in order of refusal.
    std::unordered_map<std::uint64_t, offer> offers_;
    std::deque<std::uint64_t> offer_order_;
    totals totals_;
    std::vector<refusal_row> rows_;
    std::map<std::pair<std::string, std::string>, std::size_t> row_index_;
};

} // namespace lacewing
