#pragma once

#include "coordination/peer_message.h"
#include "coordination/zeroed_allocator.h"
#include "state/error_kind.h"
#include "state/ids.h"
#include "state/time_ms.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// @brief Parts of the id of an at-most-once request, which has the form
/// <incarnation in hex>-<issue time in hex>-<random>. An id is bound to the incarnation that it names: only
/// that process may execute the request.
struct request_id_parts {
    incarnation_id incarnation;
    /// Unix seconds.
    std::int64_t issued_s = 0;
};

/// @brief Parses a request id.
/// @throws error with error_kind::bad_request when the text does not have the form of a request id.
request_id_parts parse_request_id(std::string_view text);

/// @brief First part of the request ids that are bound to a VM: the incarnation and the issue time. Callers
/// get it in the answer to a lookup and append a random part.
/// @param incarnation Incarnation of that VM.
/// @param issued_s Time of the answer, in Unix seconds.
std::string make_id_prefix(incarnation_id incarnation, std::int64_t issued_s);

/// @brief Error for a caller whose request must not execute, because of what became of its id.
/// @param outcome Outcome of the id; empty when the VM to which it is bound did not answer.
error_kind error_kind_for(std::optional<once_outcome> outcome);

/// @brief Reading of the monotonic clock and the wall clock; request ids carry wall clock time.
struct clock_reading {
    time_ms monotonic;
    /// Unix seconds.
    std::int64_t wall_s = 0;
};

/// @brief Remembers the ids of at-most-once requests, so that each executes at most once (INV-8).
///
/// A repeated id never executes, whatever the outcome of its first request was. An answer of not_run for an
/// id therefore stays true (INV-7).
class at_most_once_registry {
public:
    /// @param self Incarnation of this process; only ids that are bound to it execute here.
    /// @param capacity Largest number of ids held; each takes up to 32 bytes, allocated by the constructor.
    at_most_once_registry(incarnation_id self, std::size_t capacity = default_capacity);

    enum class verdict : std::uint8_t {
        /// Execute the request; begin_result::ticket identifies it in later calls.
        execute,
        /// The id is bound to another incarnation: ask the VM begin_result::bound with a once_query.
        ask_bound_vm,
        /// Do not execute; answer the caller with the error begin_result::kind.
        answer,
    };

    struct begin_result {
        verdict decision = verdict::answer;
        error_kind kind = error_kind::internal;
        std::uint64_t ticket = 0;
        /// Incarnation to which the id is bound, for ask_bound_vm.
        incarnation_id bound;
    };

    /// @brief Admits a request with a new id, or decides how to answer a request that must not execute.
    begin_result begin(clock_reading time, std::string_view request_id);

    /// @brief Marks an attempt as sent. Must be called immediately before its first byte is sent.
    /// @return Whether the attempt may be sent. False when an earlier attempt may have run, the request has
    /// ended, or it was admitted longer ago than the longest deadline.
    bool try_mark_sent(clock_reading time, std::uint64_t ticket);

    /// @brief Permits another attempt, after the endpoint declared that it did not run the last one or the
    /// connect failed before any byte was sent.
    void attempt_not_run(std::uint64_t ticket);

    /// @brief Records the outcome of a request. `ran` is recorded as given; any other outcome becomes not_run
    /// when no attempt can have run, and unknown otherwise. A recorded ran or not_run no longer changes.
    /// @return The recorded outcome; the answer to the caller must not claim more than it.
    once_outcome finish(std::uint64_t ticket, once_outcome outcome);

    /// @brief Answers the query of another VM for an id. An id that is not known yet is refused from now on,
    /// so that never_seen_now_refused stays true.
    once_outcome answer_query(clock_reading time, std::string_view request_id);

    /// @brief Changes the incarnation of this process, after a long pause has ended the former one. Ids that
    /// are bound to the former incarnation no longer execute.
    void change_incarnation(incarnation_id self);

    [[nodiscard]] std::size_t size() const { return tail_ - head_; }
    [[nodiscard]] std::size_t memory_bytes() const;

    /// 2^18 ids: 364 a second over the 12 minutes for which an id is held.
    static constexpr std::size_t default_capacity = std::size_t{1} << 18;

private:
    enum class entry_state : std::uint8_t {
        /// No attempt is under way, and none that was sent can have run.
        admitted,
        /// An attempt was sent and has not been declared as not run.
        sent,
        ran,
        not_run,
        unknown
    };

    struct entry {
        std::uint64_t hash_high = 0;
        std::uint64_t hash_low = 0;
        /// Seconds of the monotonic clock.
        std::uint32_t inserted_s = 0;
        entry_state state = entry_state::admitted;
    };

    struct id_hash {
        std::uint64_t high;
        std::uint64_t low;
    };

    std::int64_t advance_clocks(clock_reading time);
    [[nodiscard]] id_hash hash_of(std::string_view request_id) const;
    [[nodiscard]] std::size_t find_bucket(const id_hash& key) const;
    std::optional<std::uint64_t> insert(const id_hash& key, std::int64_t issued_s, entry_state state);
    void evict_expired();
    void erase_bucket(std::size_t bucket);
    entry& entry_at(std::uint64_t ticket) { return ring_[ticket % ring_.size()]; }
    [[nodiscard]] const entry& entry_at(std::uint64_t ticket) const { return ring_[ticket % ring_.size()]; }
    static once_outcome outcome_of(entry_state state);

    incarnation_id self_;
    // Ring buffer of the entries in the order of insertion. A ticket is the number of an insertion; the
    // tickets from head_ up to, but not including, tail_ are held.
    std::vector<entry, zeroed_allocator<entry>> ring_;
    // Hash table with linear probing: ring index plus one, 0 for an empty bucket.
    std::vector<std::uint32_t, zeroed_allocator<std::uint32_t>> buckets_;
    std::uint64_t head_ = 0;
    std::uint64_t tail_ = 0;
    // Latest time seen on each clock. The wall time held here never goes back and advances at least as fast
    // as the monotonic clock.
    time_ms latest_monotonic_;
    std::int64_t latest_wall_ms_ = 0;
    // Unknown ids issued up to this Unix time are refused, because one of them was refused while the registry
    // was full and could not hold it.
    std::int64_t refused_up_to_s_ = -1;
};

/// @brief Queries for request ids, sent to the VMs to which the ids are bound and not answered yet.
class outcome_queries {
public:
    /// Time after which a VM that has not replied counts as unreachable.
    static constexpr time_ms reply_timeout{500};

    struct answered {
        /// The number that was given to ask().
        std::uint64_t request = 0;
        error_kind kind = error_kind::outcome_unknown;
    };

    /// @brief Starts a query.
    /// @param bound Incarnation to which the id is bound; only its reply counts.
    /// @param request Number of the waiting request, returned in `answered`.
    /// @return Message to send to that VM.
    once_query ask(time_ms now, incarnation_id bound, std::string_view request_id, std::uint64_t request);

    /// @brief Matches a reply with its query. Replies that are late, repeated or from another incarnation
    /// than the one asked are ignored.
    std::optional<answered> on_reply(incarnation_id from, const once_reply& reply);

    /// @brief Ends the queries without a reply after reply_timeout and appends them to `out` as
    /// outcome_unknown.
    void expire(time_ms now, std::vector<answered>& out);

private:
    struct pending {
        std::uint64_t sequence = 0;
        std::uint64_t request = 0;
        incarnation_id bound;
        time_ms expires_at;
    };

    std::uint64_t sequence_ = 0;
    std::vector<pending> pending_;
};

} // namespace lacewing
