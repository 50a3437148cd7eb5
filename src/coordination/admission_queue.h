#pragma once

#include "state/time_ms.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lacewing {

/// @brief A request that waits for an endpoint.
struct queued_request {
    /// Chosen by the caller; identifies the request in results.
    std::uint64_t id = 0;
    /// Dense index of the account.
    std::uint32_t account = 0;
    /// Weight of the account's plan.
    std::int64_t account_weight = 1;
    /// Dense index of the caller class, below max_caller_classes.
    std::uint8_t caller_class = 0;
    /// Weight of the caller class within its account.
    std::int64_t class_weight = 1;
    /// Time after which the request is no longer sent.
    time_ms deadline;
};

inline constexpr std::size_t max_caller_classes = 16;

/// @brief Admission queue of one route: requests that wait for an endpoint, served by weighted round robin
/// over accounts, within an account over caller classes, and within a class by earliest deadline.
///
/// A request that it refuses, evicts or expires was never sent to an endpoint, so it may be answered with
/// not_run.
class admission_queue {
public:
    /// @param capacity Requests that may wait at once.
    explicit admission_queue(std::size_t capacity);

    struct push_result {
        /// False when the new request was refused; answer it with error_kind::no_capacity.
        bool accepted = false;
        /// Request removed in favour of the new one; answer it with error_kind::no_capacity.
        std::optional<std::uint64_t> evicted;
    };

    /// @brief Adds a request. Refuses it when it would probably wait beyond its deadline, or when the queue
    /// is full and no other account holds more places for its weight than the request's account would.
    push_result push(time_ms now, const queued_request& request);

    /// @brief Removes and returns the request to send next; nothing when none waits.
    /// @param expired Receives the ids of requests removed because their deadline has passed; answer them
    /// with no_capacity.
    std::optional<queued_request> pop(time_ms now, std::vector<std::uint64_t>& expired);

    /// @brief Removes all requests whose deadline has passed and appends their ids to `expired`.
    void expire(time_ms now, std::vector<std::uint64_t>& expired);

    /// @brief Removes a request whose caller disconnected.
    /// @return False when the request does not wait here.
    bool cancel(std::uint64_t id, std::uint32_t account, std::uint8_t caller_class);

    /// @brief Expected wait of a request if it were added now; zero until the first request has left the
    /// queue.
    [[nodiscard]] time_ms expected_wait(time_ms now, const queued_request& request) const;

    [[nodiscard]] std::size_t size() const { return size_; }

private:
    struct entry {
        queued_request request;
        /// Order of arrival.
        std::uint64_t sequence = 0;
    };

    struct class_queue {
        // Heap with the earliest deadline on top; equal deadlines in order of arrival.
        std::vector<entry> heap;
        std::int64_t weight = 1;
        // Current weight in the smooth weighted round robin over the account's classes.
        std::int64_t wrr_credit = 0;
    };

    struct account_queue {
        std::vector<class_queue> classes;
        std::size_t size = 0;
        std::int64_t weight = 1;
        // Deficit counter of the deficit round robin over accounts.
        std::int64_t deficit = 0;
    };

    static bool has_later_deadline(const entry& a, const entry& b);
    account_queue& account_at(std::uint32_t account);
    std::optional<std::uint64_t> evict_for(const queued_request& request);
    void remove(account_queue& account, class_queue& queue, std::size_t position);
    void expire_account(time_ms now, account_queue& account, std::vector<std::uint64_t>& expired);
    account_queue* next_account();
    static class_queue& next_class(account_queue& account);
    void record_departure(time_ms now);

    std::size_t capacity_;
    std::size_t size_ = 0;
    std::uint64_t next_sequence_ = 0;
    std::vector<account_queue> accounts_;
    // Accounts with waiting requests, in the order of the round robin.
    std::vector<std::uint32_t> active_accounts_;
    // Position in active_accounts_ of the account whose turn is next.
    std::size_t next_turn_ = 0;
    // Moving average of the time between two departures while requests wait; negative before the first
    // departure.
    double mean_departure_interval_ms_ = -1;
    // Time of the last departure, or of the first arrival since the queue was empty.
    time_ms last_departure_;
};

} // namespace lacewing
