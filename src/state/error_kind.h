#pragma once

#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace lacewing {

/// @brief Closed list of the errors that a caller can see.
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

/// @brief What an error answer states about the execution of the request.
enum class request_effect : std::uint8_t { not_run, ran, outcome_unknown };

/// @brief When the system itself may send the request again.
enum class retry_rule : std::uint8_t {
    never,
    /// The endpoint did not execute the request, so any route may retry.
    always,
    idempotent_only,
};

/// @brief One row of the table from error kind to answer.
struct error_answer {
    error_kind kind;
    std::string_view name;
    int http_status;
    request_effect effect;
    retry_rule retry;
};

/// @brief The row of a kind.
const error_answer& error_answer_for(error_kind kind);

/// @brief All rows in the order of the enumeration.
std::span<const error_answer> all_error_answers();

/// @brief Text form of an effect as it stands in answers.
std::string_view to_string(request_effect effect);

/// @brief Exception that carries the kind of the answer and a detail for people.
class error : public std::runtime_error {
public:
    error(error_kind kind, const std::string& detail) : std::runtime_error(detail), kind_(kind) {}
    [[nodiscard]] error_kind kind() const { return kind_; }

private:
    error_kind kind_;
};

} // namespace lacewing
