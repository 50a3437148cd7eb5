#pragma once

#include "coordination/latency_counts.h"
#include "state/ids.h"
#include "state/object_event.h"
#include "state/time_ms.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lacewing {

/// @brief Identity of a process: its VM, zone, peer address and incarnation. A process takes a new
/// incarnation when it starts and after a long pause.
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

/// @brief What one VM knows about another VM, or tells about itself.
struct member_record {
    peer_id id;
    /// ip:port of the caller port, as callers get it.
    std::string caller_address;
    member_state state = member_state::alive;
    /// Version of the record. Only the VM itself raises it, for example to refute a suspicion.
    std::uint64_t counter = 0;
    /// Highest revision of its replica that the VM has reported.
    revision_id revision;
};

/// @brief Report of a watcher, a VM that reads the store for its zone, about the zone's access to the store.
struct zone_report {
    zone_name zone;
    /// Time since the watcher made the report.
    time_ms age;
    /// Age that the newest confirmation known to the watcher had when it made the report; negative when it
    /// knew none.
    time_ms confirmation_age{-1};
    bool store_reachable = false;
};

/// @brief Tells how fresh the sender's key list is. All ages are those at the time `clock`.
struct freshness_report {
    /// Reading of the clock of the VM that made the report. The receiver maps it to its own clock by an
    /// earlier ping and ack, so a delay of this message cannot make the key list look fresher.
    time_ms clock;
    /// Store revision up to which the newest confirmation covers the key list.
    revision_id confirmed_revision;
    /// Time since the store request that gave the newest confirmation; negative when there is none.
    time_ms age{-1};
    std::vector<zone_report> zones;
};

/// @brief Fields that ping and ack have in common.
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

/// @brief Request of a joining process for the complete membership table.
struct member_pull {
    member_record self;
};

/// @brief Membership table, or a part of it.
struct member_table {
    std::vector<member_record> members;
    /// Whether the records are only some of the members; the receiver may ask these for the complete table.
    bool sample = false;
};

/// @brief New object events, forwarded along the distribution tree of a zone.
struct object_events {
    /// All events up to this revision are contained or were sent earlier.
    revision_id after;
    revision_id revision;
    std::vector<object_event> events;
    /// Watcher at the root of the tree; `freshness` is by its clock.
    peer_id origin;
    /// First and last position, in the tree order of the origin, to which the receiver forwards the message.
    /// It forwards the message to nobody when the first is greater than the last.
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

/// @brief Complete replica of the sender, in parts; sent when its event log does not reach back to the
/// requested revision.
struct object_snapshot {
    revision_id revision;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    /// Existing objects, and tombstones of deleted ones.
    std::vector<object_event> objects;
};

/// @brief Amount of a rate budget as a token bucket: refill rate, capacity and tokens. A token is one
/// request; amounts are in millionths of it.
struct budget_amount {
    /// Millionths of a token per millisecond, which are thousandths of a request per second.
    std::int64_t rate = 0;
    std::int64_t capacity = 0;
    std::int64_t tokens = 0;
};

/// @brief Asks the home of a budget, the VM that holds the share of its zone, to lend a part of the share or
/// to extend a loan.
struct loan_request {
    std::string budget;
    /// Grows with every request of an incarnation. The first number depends on the incarnation, so that a
    /// grant to a former process at the same address matches no request of its successor.
    std::uint64_t sequence = 0;
    /// Requested amount; ignored when a loan is extended.
    budget_amount wanted;
    /// Number of a loan to extend, together with all other loans of the budget to the same borrower; 0 for a
    /// new loan.
    std::uint64_t renews = 0;
};

/// @brief Answer to a loan_request. The lender has subtracted the loan from its own share before it sends the
/// grant, so both never use the same amount.
struct loan_grant {
    std::string budget;
    /// Sequence number of the loan_request; the duration counts from the time at which that was sent.
    std::uint64_t sequence = 0;
    /// Number of the loan at the lender; equal to loan_request::renews when loans are extended, 0 when only
    /// tokens are given.
    std::uint64_t loan = 0;
    /// Amount of the whole loan; an extension carries no tokens.
    budget_amount amount;
    time_ms duration;
};

/// @brief Returns a loan to the lender before its expiry.
struct loan_return {
    std::string budget;
    std::uint64_t loan = 0;
    std::int64_t tokens = 0;
};

/// @brief Transfers the home role of budgets between the VMs of a zone after a VM has joined.
struct home_handover {
    /// True: the sender has joined and asks whether the receiver still holds shares of budgets of which the
    /// sender is the home now. False: the answer that the sender holds none of them any more.
    bool request = false;
};

/// @brief Asks the VM to which the id of an at-most-once request is bound for the outcome of the id.
struct once_query {
    std::uint64_t sequence = 0;
    std::string request_id;
};

/// @brief Outcome of the id of an at-most-once request at the VM to which it is bound.
enum class once_outcome : std::uint8_t {
    /// No request with the id has come, and none will execute from now on.
    never_seen_now_refused,
    running,
    ran,
    not_run,
    /// The request may or may not have run.
    unknown
};

/// @brief Answer to a once_query.
struct once_reply {
    std::uint64_t sequence = 0;
    once_outcome outcome = once_outcome::unknown;
};

/// @brief Asks a VM of the zone to lend a free slot at an endpoint of the route, for one request.
struct slot_request {
    std::string route;
    std::uint64_t sequence = 0;
    /// Longest duration of the loan, from the time at which this message is sent.
    time_ms term;
};

/// @brief Answer to a slot_request.
struct slot_grant {
    std::uint64_t sequence = 0;
    /// Number of the loan at the lender; 0 when no slot is free.
    std::uint64_t loan = 0;
    std::string endpoint;
};

/// @brief What the end of an attempt says about the endpoint.
enum class attempt_outcome : std::uint8_t {
    success,
    /// The endpoint declared that it did not run the request, because it sheds load.
    shed,
    /// Connect failure, broken connection, time-out or a server error.
    failure,
    /// The caller aborted or its deadline was too short; this says nothing about the endpoint.
    neutral,
};

/// @brief Returns a lent slot, with the result of the attempt that used it.
struct slot_return {
    std::uint64_t loan = 0;
    attempt_outcome outcome = attempt_outcome::neutral;
    time_ms latency;
};

/// @brief Counts of the finished attempts at one version of a route.
struct version_counts {
    std::uint64_t requests = 0;
    std::uint64_t errors = 0;
    /// Latencies of the successful attempts.
    latency_counts latency;
};

/// @brief What one VM has measured about one drain or version move.
struct move_report {
    /// Key of the object, drains/<id> or moves/<id>.
    std::string key;
    /// Requests in flight from the sender to the target of a drain.
    std::uint64_t in_flight = 0;
    /// Cumulative since the start of the process, so that a lost message loses no evidence.
    version_counts old_version;
    version_counts new_version;
    /// Why the sender found the new version bad and stopped it; empty when it did not.
    std::string stopped;
};

/// @brief Evidence about running drains and version moves, which a VM sends to the driver of each. The driver
/// sends the message to all VMs to make them stop a version that was found bad.
struct move_evidence {
    /// Revision that the sender's serve thread used when it took the counts.
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
    /// Incarnation to which the message is addressed; a process with another incarnation drops it. 0
    /// addresses any.
    incarnation_id to;
    peer_payload payload;
};

/// @brief Request to the caller of a function to send a payload to a peer.
struct send_action {
    peer_id to;
    peer_payload payload;
};

} // namespace lacewing
