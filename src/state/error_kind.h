#pragma once

#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace lacewing {

/// @brief All errors that a caller can see; error_answer_for() maps each to its answer.
enum class error_kind : std::uint8_t {
    bad_request,
    key_rejected,
    route_not_in_plan,
    no_such_route,
    request_timeout,
    body_too_large,
    /// The caller's body stopped or outgrew its limit after part of it had been forwarded.
    upload_aborted,
    header_too_large,
    rate_exceeded,
    keys_stale,
    no_capacity,
    vm_leaving,
    not_configured,
    endpoint_refused,
    endpoint_failed,
    answer_truncated,
    deadline_exceeded,
    duplicate_request,
    outcome_unknown,
    internal,
};

/// @brief What an error answer states about whether the request was executed by an endpoint.
enum class request_effect : std::uint8_t { not_run, ran, outcome_unknown };

/// @brief Whether the entry VM itself may send the request to an endpoint again.
enum class retry_rule : std::uint8_t {
    never,
    /// On any route if it is proven that the endpoint did not execute the request, otherwise on idempotent
    /// routes.
    always,
    idempotent_only,
};

/// @brief Row of the table that maps error kinds to answers.
struct error_answer {
    error_kind kind;
    /// Name in answers and metrics.
    std::string_view name;
    int http_status;
    request_effect effect;
    retry_rule retry;
};

/// @brief Returns the row of a kind.
const error_answer& error_answer_for(error_kind kind);

/// @brief Returns all rows in the order of error_kind.
std::span<const error_answer> all_error_answers();

/// @brief Returns the name of an effect that answers carry.
std::string_view to_string(request_effect effect);

/// @brief Exception that is reported to the caller as an answer of its kind; the detail is for human readers.
class error : public std::runtime_error {
public:
    error(error_kind kind, const std::string& detail) : std::runtime_error(detail), kind_(kind) {}
    [[nodiscard]] error_kind kind() const { return kind_; }

private:
    error_kind kind_;
};

} // namespace lacewing
