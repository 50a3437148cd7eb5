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
    std::int64_t class_weight = 1;
    /// Point in time up to which the request is worth sending.
    time_ms deadline;
};

inline constexpr std::size_t max_caller_classes = 16;

/// @brief Waiting requests of one route (design 4.7). Whatever it refuses, evicts or expires was never sent
/// to an endpoint, so the answer not_run is true.
class admission_queue {
public:
    /// @param capacity Requests that may wait at once.
    explicit admission_queue(std::size_t capacity);

    struct push_result {
        /// False: answer the new request with error_kind::no_capacity.
        bool accepted = false;
        /// Request that lost its place to the new one; to be answered with error_kind::no_capacity.
        std::optional<std::uint64_t> evicted;
    };

    /// @brief Adds a request unless its expected wait exceeds its deadline or the queue is full of accounts
    /// that use no more than their share.
    push_result push(time_ms now, const queued_request& request);

    /// @brief Takes the request that is next in turn.
    /// @param expired Receives the ids of requests whose deadline has passed; answer with no_capacity.
    std::optional<queued_request> pop(time_ms now, std::vector<std::uint64_t>& expired);

    /// @brief Removes requests whose deadline has passed.
    void expire(time_ms now, std::vector<std::uint64_t>& expired);

    /// @brief Removes a request whose caller went away.
    bool cancel(std::uint64_t id, std::uint32_t account, std::uint8_t caller_class);

    /// @brief Expected wait of a request if it were added now; zero while nothing has been measured.
    [[nodiscard]] time_ms expected_wait(time_ms now, const queued_request& request) const;

    [[nodiscard]] std::size_t size() const { return size_; }

private:
    struct entry {
        queued_request request;
        std::uint64_t sequence = 0;
    };

    struct class_queue {
        // Heap: earliest deadline on top, equal deadlines in order of arrival.
        std::vector<entry> heap;
        std::int64_t weight = 1;
        std::int64_t turn = 0;
    };

    struct account_queue {
        std::vector<class_queue> classes;
        std::size_t size = 0;
        std::int64_t weight = 1;
        std::int64_t deficit = 0;
    };

    static bool later(const entry& a, const entry& b);
    account_queue& account_at(std::uint32_t account);
    std::optional<std::uint64_t> make_room(const queued_request& request);
    void remove(account_queue& from, class_queue& queue, std::size_t position);
    void expire_account(time_ms now, account_queue& from, std::vector<std::uint64_t>& expired);
    account_queue* next_account();
    static class_queue& next_class(account_queue& from);
    void measure(time_ms now);

    std::size_t capacity_;
    std::size_t size_ = 0;
    std::uint64_t sequence_ = 0;
    std::vector<account_queue> accounts_;
    // Accounts with waiting requests in the order of their turns.
    std::vector<std::uint32_t> active_;
    std::size_t turn_ = 0;
    // Mean time between two departures while requests wait, in milliseconds; negative before the first.
    double interval_ = -1;
    time_ms busy_since_;
};

} // namespace lacewing
