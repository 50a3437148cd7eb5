#pragma once

#include "state/time_ms.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string_view>

namespace lacewing {

/// @brief What a caller's connection does with the memory that it holds.
enum class memory_use : std::uint8_t {
    /// Waits for the next request.
    idle,
    /// Waits for the rest of a request of which nothing has been sent to an endpoint.
    unfinished_request,
    /// A request is handled.
    in_service,
    /// Waits until the caller reads more of an answer.
    unread_answer,
};

/// @brief Why a connection of a caller was closed or its request refused.
enum class memory_cause : std::uint8_t {
    /// Its unfinished request held the most bytes for the longest time while the budget was used up.
    unfinished_request,
    /// Its unread answer did.
    unread_answer,
    /// Its request needed memory while nothing could be freed.
    budget_used_up,
    /// Its unfinished request stood still while no connection was left for others.
    no_connection_left,
};
inline constexpr std::size_t memory_cause_count = 4;

/// @brief Name of a cause in logs and metrics.
std::string_view to_string(memory_cause cause);

/// @brief Connections that were closed at once for one cause, with the state before.
struct memory_shedding {
    memory_cause cause = memory_cause::budget_used_up;
    std::size_t connections = 0;
    /// Bytes that they held.
    std::size_t bytes = 0;
    /// Longest time without progress of one of them.
    time_ms longest_stall{0};
    std::size_t held_before = 0;
    std::size_t budget = 0;
};

/// @brief Account of the memory that the callers of one process hold.
///
/// Each connection registers what it holds. When the budget is exceeded, connections are closed, worst first:
/// those with unfinished requests, then those with unread answers, each by bytes held times time without
/// progress. The first bytes of each connection come out of a reserve that large requests cannot take.
class caller_memory {
public:
    /// Part of a VM's memory that callers may hold.
    static constexpr double memory_share = 0.3;
    /// Bytes of each connection that count as small.
    static constexpr std::size_t small_bytes = std::size_t{16} * 1024;
    /// Part of the budget that only the small parts may use.
    static constexpr double reserved_share = 0.25;
    /// Part of a bound down to which connections are closed, so that not every further byte closes one.
    static constexpr double shed_target = 0.9;
    /// Part of a bound from which on the account counts as short.
    static constexpr double short_share = 0.5;

    /// @brief What one connection holds; registered for its lifetime.
    class holding {
    public:
        /// @param close Closes the connection or ends its wait. Must not destroy the holding.
        holding(caller_memory& account, std::function<void()> close);
        ~holding();
        holding(const holding&) = delete;
        holding& operator=(const holding&) = delete;
        holding(holding&&) = delete;
        holding& operator=(holding&&) = delete;

        /// @brief Records progress and what the connection holds now. May close other connections.
        /// @return False when the connection must not hold that much: it refuses its request or closes.
        bool set(std::size_t bytes, memory_use use, time_ms now);
        /// @brief Whether the account has closed this connection.
        [[nodiscard]] bool closed() const { return closed_; }
        [[nodiscard]] std::size_t bytes() const { return bytes_; }

    private:
        friend class caller_memory;

        [[nodiscard]] std::uint64_t weight(time_ms now) const;

        caller_memory& account_;
        std::function<void()> close_;
        std::size_t bytes_ = 0;
        memory_use use_ = memory_use::idle;
        time_ms last_progress_{0};
        bool closed_ = false;
        std::list<holding*>::iterator position_;
    };

    /// @param budget_bytes Most that all connections may hold together.
    explicit caller_memory(std::size_t budget_bytes) : budget_(budget_bytes) {}

    /// @brief Returns the budget for a VM with this much memory.
    static std::size_t budget_of(std::int64_t memory_mb);
    void set_budget(std::size_t bytes) { budget_ = bytes; }

    /// @brief Closes the connection with the worst unfinished request, so that another caller can connect.
    /// @param min_stall Shortest time without progress of a request that may be closed.
    /// @return False when there is none.
    bool close_stalled(time_ms now, time_ms min_stall);
    /// @brief Whether close_stalled() would close a connection.
    [[nodiscard]] bool has_stalled(time_ms now, time_ms min_stall) const {
        return worst_stalled(now, min_stall) != nullptr;
    }

    /// @brief Whether callers hold so much that bodies which hardly grow are not waited for.
    [[nodiscard]] bool is_short() const { return !within(short_share); }

    [[nodiscard]] std::size_t budget() const { return budget_; }
    [[nodiscard]] std::size_t held() const { return held_; }
    [[nodiscard]] std::uint64_t count(memory_cause cause) const {
        return counts_[static_cast<std::size_t>(cause)];
    }

    /// Called after connections were closed or a request was refused, once for each cause.
    std::function<void(const memory_shedding&)> on_shed;

private:
    void add(std::size_t before, std::size_t after);
    [[nodiscard]] bool has_room(std::size_t bytes) const;
    [[nodiscard]] bool within(double share) const;
    void make_room(memory_use use, memory_cause cause, time_ms now, holding* asking);
    void close(holding& victim, memory_shedding& shedding, time_ms now, const holding* asking);
    [[nodiscard]] holding* worst_stalled(time_ms now, time_ms min_stall) const;
    void record(const memory_shedding& shedding);

    std::size_t budget_;
    std::size_t held_ = 0;
    // Part of held_ beyond the small bytes of each connection.
    std::size_t held_large_ = 0;
    std::list<holding*> holdings_;
    std::array<std::uint64_t, memory_cause_count> counts_{};
};

} // namespace lacewing
