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

/// @brief Parts of a request id of the form <incarnation hex>-<issue time hex>-<random>.
struct request_id_parts {
    incarnation_id incarnation;
    /// Unix seconds.
    std::int64_t issued_s = 0;
};

/// @brief Parses a request id.
/// @throws error with error_kind::bad_request when the text has another form.
request_id_parts parse_request_id(std::string_view text);

/// @brief Prefix that the answer to a lookup names for a VM.
/// @param issued_s Unix seconds at the time of the answer.
std::string make_id_prefix(incarnation_id incarnation, std::int64_t issued_s);

/// @brief Error that a caller gets for a request id with this outcome.
/// @param outcome Nothing when the bound VM did not answer.
error_kind kind_for(std::optional<once_outcome> outcome);

/// @brief Point in time on both clocks; request ids carry wall clock time.
struct clock_reading {
    time_ms now;
    /// Unix seconds.
    std::int64_t wall_s = 0;
};

/// @brief Requests of at-most-once routes that this incarnation has seen (design 4.5).
///
/// A repeat of an id never executes, whatever became of the first: an answer of not_run stays true for the
/// id.
class at_most_once_registry {
public:
    /// @param self Incarnation to which ids must be bound to execute here.
    /// @param capacity Ids that are remembered; 32 bytes each, allocated at once.
    at_most_once_registry(incarnation_id self, std::size_t capacity = default_capacity);

    enum class verdict : std::uint8_t {
        /// This request executes; ticket identifies it.
        execute,
        /// The id is bound to another incarnation: ask that VM with a once_query.
        ask_bound_vm,
        /// Answer with kind.
        answer,
    };

    struct begin_result {
        verdict decision = verdict::answer;
        error_kind kind = error_kind::internal;
        std::uint64_t ticket = 0;
        /// Incarnation to ask.
        incarnation_id bound;
    };

    /// @brief Admits a request or finds the answer for its id.
    begin_result begin(clock_reading at, std::string_view request_id);

    /// @brief Asked immediately before the first byte of an attempt is sent.
    /// @return False: the request must not be sent (again).
    bool try_mark_sent(clock_reading at, std::uint64_t ticket);

    /// @brief The endpoint declared that the attempt did not run, or the connect failed before any byte was
    /// sent; another attempt is permitted.
    void attempt_not_run(std::uint64_t ticket);

    /// @brief Records the end of a request. A claim of not_run is recorded as unknown when an attempt was
    /// sent that was not declared as not run.
    /// @return The recorded outcome; the answer to the caller must not claim more.
    once_outcome finish(std::uint64_t ticket, once_outcome outcome);

    /// @brief Answers a query of another VM; an id that was never seen will not execute after this.
    once_outcome answer_query(clock_reading at, std::string_view request_id);

    /// @brief Takes a new incarnation after this one was declared dead. Ids of the old one do not execute.
    void change_incarnation(incarnation_id self);

    [[nodiscard]] std::size_t size() const { return tail_ - head_; }
    [[nodiscard]] std::size_t memory_bytes() const;

    /// 364 ids a second over 12 minutes.
    static constexpr std::size_t default_capacity = std::size_t{1} << 18;

private:
    enum class entry_state : std::uint8_t { admitted, sent, ran, not_run, unknown };

    struct entry {
        std::uint64_t hash_high = 0;
        std::uint64_t hash_low = 0;
        std::uint32_t begun_s = 0;
        entry_state state = entry_state::admitted;
    };

    struct digest {
        std::uint64_t high;
        std::uint64_t low;
    };

    std::int64_t advance(clock_reading at);
    [[nodiscard]] digest digest_of(std::string_view request_id) const;
    [[nodiscard]] std::size_t find_cell(const digest& key) const;
    std::optional<std::uint64_t> insert(const digest& key, std::int64_t issued_s, entry_state state);
    void forget_old();
    void erase_cell(std::size_t cell);
    entry& at(std::uint64_t ticket) { return ring_[ticket % ring_.size()]; }
    [[nodiscard]] const entry& at(std::uint64_t ticket) const { return ring_[ticket % ring_.size()]; }
    static once_outcome outcome_of(entry_state state);

    incarnation_id self_;
    // Entries in the order of their beginning.
    std::vector<entry, zeroed_allocator<entry>> ring_;
    // Hash table of ring positions plus one; 0 is empty.
    std::vector<std::uint32_t, zeroed_allocator<std::uint32_t>> cells_;
    std::uint64_t head_ = 0;
    std::uint64_t tail_ = 0;
    // Latest time seen; wall time never goes back and advances at least as fast as the monotonic clock.
    time_ms now_;
    std::int64_t wall_ms_ = 0;
    // Unknown ids issued up to this time are refused: one of them was refused without being remembered.
    std::int64_t refused_up_to_s_ = -1;
};

/// @brief Queries to bound VMs that wait for a reply.
class outcome_queries {
public:
    /// A bound VM that does not answer in this time counts as unreachable.
    static constexpr time_ms reply_timeout{500};

    struct answered {
        /// Value given to ask.
        std::uint64_t request = 0;
        error_kind kind = error_kind::outcome_unknown;
    };

    /// @brief Starts a query.
    /// @param request Identifies the waiting request in the result.
    once_query ask(time_ms now, incarnation_id bound, std::string_view request_id, std::uint64_t request);

    /// @brief Matches a reply. Late, repeated and foreign replies give nothing.
    std::optional<answered> on_reply(incarnation_id from, const once_reply& reply);

    /// @brief Ends the queries that got no reply in time.
    void expire(time_ms now, std::vector<answered>& out);

private:
    struct pending {
        std::uint64_t sequence = 0;
        std::uint64_t request = 0;
        incarnation_id bound;
        time_ms until;
    };

    std::uint64_t sequence_ = 0;
    std::vector<pending> pending_;
};

} // namespace lacewing
