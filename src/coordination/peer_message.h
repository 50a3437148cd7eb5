#pragma once

#include "state/ids.h"
#include "state/object_event.h"
#include "state/time_ms.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lacewing {

/// @brief Identity of a process: who sends, where it listens for peers, and which start of it this is.
struct peer_id {
    vm_name vm;
    zone_name zone;
    /// ip:port of the peer port.
    std::string address;
    incarnation_id incarnation;

    // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const peer_id&) const = default;
};

enum class member_state : std::uint8_t { alive, suspect, leaving, dead };

/// @brief What one VM knows of another.
struct member_record {
    peer_id id;
    /// ip:port of the caller port, as it is given to callers.
    std::string caller_address;
    member_state state = member_state::alive;
    /// Version of the record; only the VM itself raises it to refute a suspicion.
    std::uint64_t counter = 0;
    /// Highest replica revision that the VM has reported.
    revision_id revision;
};

/// @brief What a watcher of a zone says about the zone's access to the store.
struct zone_report {
    zone_name zone;
    /// Time since the watcher made the report.
    time_ms age;
    /// Age of the newest confirmation known to the watcher when it made the report; negative when there is
    /// none.
    time_ms confirmation_age{-1};
    bool store_reachable = false;
};

/// @brief Evidence about the freshness of the sender's key list. All ages are valid at `clock`.
struct freshness_report {
    /// Reading of the maker's own clock. A receiver maps it to its own clock by an earlier ping and ack, so
    /// the delay of this message cannot make the evidence look younger.
    time_ms clock;
    /// Store revision that the confirmation covers.
    revision_id confirmed_revision;
    /// Time since the store request on which the newest confirmation rests; negative when there is none.
    time_ms age{-1};
    std::vector<zone_report> zones;
};

/// @brief Fields common to probes and their answers.
struct probe_payload {
    std::uint64_t sequence = 0;
    revision_id revision;
    freshness_report freshness;
    std::vector<member_record> updates;
};

struct ping {
    probe_payload probe;
};

struct ack {
    probe_payload probe;
};

/// @brief Asks the receiver to probe a third VM on behalf of the sender.
struct ping_request {
    std::uint64_t sequence = 0;
    peer_id target;
    std::vector<member_record> updates;
};

/// @brief Asks for the complete membership table, sent by a process that joins.
struct member_pull {
    member_record self;
};

/// @brief Membership table, or a part of it.
struct member_table {
    std::vector<member_record> members;
    /// Whether the records are only some members, which the receiver may ask for the table.
    bool sample = false;
};

/// @brief New object events, passed on through the tree of a zone.
struct object_events {
    /// All events up to this revision are contained or were sent earlier.
    revision_id after;
    revision_id revision;
    std::vector<object_event> events;
    /// Watcher at the root of the tree; its clock is that of the freshness report.
    peer_id origin;
    /// Positions in the origin's tree order that the receiver passes the message on to, both included.
    /// Begin greater than end: to nobody.
    std::uint64_t range_begin = 1;
    std::uint64_t range_end = 0;
    freshness_report freshness;
    /// Membership changes known to the origin.
    std::vector<member_record> updates;
};

/// @brief Asks for the events after the revision that the sender holds.
struct object_pull {
    revision_id after;
};

/// @brief Replica of a peer, sent in parts when the event log does not reach back far enough.
struct object_snapshot {
    revision_id revision;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    /// Live objects and tombstones.
    std::vector<object_event> objects;
};

/// @brief Amount of a rate budget: refill rate, bucket capacity and tokens, in millionths of a request.
struct budget_amount {
    /// Micro-tokens per millisecond, that is thousandths of a request per second.
    std::int64_t rate = 0;
    std::int64_t capacity = 0;
    std::int64_t tokens = 0;
};

/// @brief Asks a home for a loan from its share, or to extend a loan.
struct loan_request {
    std::string budget;
    /// Grows with every request of an incarnation; the first one is drawn from the incarnation, so that a
    /// grant to a predecessor on the same address matches no request of its successor.
    std::uint64_t sequence = 0;
    /// Ignored when a loan is extended.
    budget_amount wanted;
    /// Loan to extend together with all other loans of the budget to the same borrower, 0 for a new loan.
    std::uint64_t renews = 0;
};

/// @brief A loan; the lender has subtracted it from its own share before sending.
struct loan_grant {
    std::string budget;
    /// Sequence of the request that this answers; the loan runs from the time that request was sent.
    std::uint64_t sequence = 0;
    /// Identifies the loan at the lender; equal to loan_request::renews when loans are extended, 0 when
    /// tokens are given without a loan.
    std::uint64_t loan = 0;
    /// Amount of the whole loan; an extension carries no tokens.
    budget_amount amount;
    time_ms duration;
};

/// @brief Gives a loan back before its expiry.
struct loan_return {
    std::string budget;
    std::uint64_t loan = 0;
    std::int64_t tokens = 0;
};

/// @brief Hand-over of home roles between the VMs of a zone after a VM has joined.
struct home_handover {
    /// The sender has joined and asks whether the receiver still holds budgets of which it is the home now;
    /// otherwise the sender states that it holds none.
    bool request = false;
};

/// @brief Asks the VM to which a request id is bound what became of the id.
struct once_query {
    std::uint64_t sequence = 0;
    std::string request_id;
};

enum class once_outcome : std::uint8_t { never_seen_now_refused, running, ran, not_run, unknown };

struct once_reply {
    std::uint64_t sequence = 0;
    once_outcome outcome = once_outcome::unknown;
};

/// @brief Asks a VM of the zone for one free slot of a route's endpoints, for one request.
struct slot_request {
    std::string route;
    std::uint64_t sequence = 0;
    /// Longest use, counted from the sending of this request.
    time_ms term;
};

/// @brief Answer to a slot_request.
struct slot_grant {
    std::uint64_t sequence = 0;
    /// Number of the loan at the lender; 0 when no slot is free.
    std::uint64_t loan = 0;
    std::string endpoint;
};

/// @brief How an attempt ended, as far as the endpoint is concerned.
enum class attempt_outcome : std::uint8_t {
    success,
    /// The endpoint declared that it did not run the request: it sheds load.
    shed,
    /// Connect failure, broken connection, time-out or a server error.
    failure,
    /// The caller went away or its deadline was too short; no evidence about the endpoint.
    neutral,
};

/// @brief Gives a slot back and tells how the attempt ended.
struct slot_return {
    std::uint64_t loan = 0;
    attempt_outcome outcome = attempt_outcome::neutral;
    time_ms latency;
};

/// @brief Finished attempts of one version of a route.
struct version_counts {
    std::uint64_t requests = 0;
    std::uint64_t errors = 0;
    /// Successful attempts by latency, in the fixed buckets of add_outcome; empty buckets at the end are left
    /// out.
    std::vector<std::uint64_t> latency;
};

/// @brief What one VM knows about one move.
struct move_report {
    /// Key of the object, drains/<id> or moves/<id>.
    std::string key;
    /// Requests in flight to the target of a drain.
    std::uint64_t in_flight = 0;
    /// Cumulative since the start of the process, so a lost message loses no evidence.
    version_counts old_version;
    version_counts new_version;
    /// Why the sender has judged the new version bad and stopped it; empty otherwise.
    std::string stopped;
};

/// @brief Evidence about the moves that run, sent to their driver; the driver sends it to all VMs when it has
/// judged a version bad.
struct move_evidence {
    /// Revision in force at the sender's serve thread when the counts were taken.
    revision_id revision;
    std::vector<move_report> reports;
};

using peer_payload =
    std::variant<ping, ack, ping_request, member_pull, member_table, object_events, object_pull,
                 object_snapshot, loan_request, loan_grant, loan_return, home_handover, once_query,
                 once_reply, move_evidence, slot_request, slot_grant, slot_return>;

/// @brief A message between two processes.
struct peer_message {
    peer_id from;
    /// Incarnation that the sender means; a receiver of another incarnation drops the message. 0 means any.
    incarnation_id to;
    peer_payload payload;
};

/// @brief Output of a decision: send this payload to that peer.
struct send_action {
    peer_id to;
    peer_payload payload;
};

} // namespace lacewing
