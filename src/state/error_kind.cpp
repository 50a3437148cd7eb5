#include "state/error_kind.h"

#include <array>

namespace lacewing {

namespace {

using enum error_kind;

constexpr std::array<error_answer, 20> answers{{
    {bad_request, "bad_request", 400, request_effect::not_run, retry_rule::never},
    {key_rejected, "key_rejected", 401, request_effect::not_run, retry_rule::never},
    {route_not_in_plan, "route_not_in_plan", 403, request_effect::not_run, retry_rule::never},
    {no_such_route, "no_such_route", 404, request_effect::not_run, retry_rule::never},
    {request_timeout, "request_timeout", 408, request_effect::not_run, retry_rule::never},
    {body_too_large, "body_too_large", 413, request_effect::not_run, retry_rule::never},
    {upload_aborted, "upload_aborted", 400, request_effect::outcome_unknown, retry_rule::never},
    {header_too_large, "header_too_large", 431, request_effect::not_run, retry_rule::never},
    {rate_exceeded, "rate_exceeded", 429, request_effect::not_run, retry_rule::never},
    {keys_stale, "keys_stale", 503, request_effect::not_run, retry_rule::never},
    {no_capacity, "no_capacity", 503, request_effect::not_run, retry_rule::never},
    {vm_leaving, "vm_leaving", 503, request_effect::not_run, retry_rule::never},
    {not_configured, "not_configured", 503, request_effect::not_run, retry_rule::never},
    {endpoint_refused, "endpoint_refused", 503, request_effect::not_run, retry_rule::always},
    {endpoint_failed, "endpoint_failed", 502, request_effect::outcome_unknown, retry_rule::idempotent_only},
    {answer_truncated, "answer_truncated", 502, request_effect::ran, retry_rule::idempotent_only},
    {deadline_exceeded, "deadline_exceeded", 504, request_effect::outcome_unknown, retry_rule::never},
    {duplicate_request, "duplicate_request", 409, request_effect::ran, retry_rule::never},
    {outcome_unknown, "outcome_unknown", 409, request_effect::outcome_unknown, retry_rule::never},
    {internal, "internal", 500, request_effect::outcome_unknown, retry_rule::never},
}};

// The table is indexed by the enumeration.
constexpr bool rows_in_order() {
    for (std::size_t i = 0; i < answers.size(); ++i) {
        if (static_cast<std::size_t>(answers[i].kind) != i) return false;
    }
    return true;
}
static_assert(rows_in_order());

} // namespace

const error_answer& error_answer_for(error_kind kind) {
    return answers[static_cast<std::size_t>(kind)];
}

std::span<const error_answer> all_error_answers() {
    return answers;
}

std::string_view to_string(request_effect effect) {
    switch (effect) {
    case request_effect::not_run:
        return "not_run";
    case request_effect::ran:
        return "ran";
    case request_effect::outcome_unknown:
        return "outcome_unknown";
    }
    return "outcome_unknown";
}

} // namespace lacewing
