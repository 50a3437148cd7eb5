#pragma once

#include "state/time_ms.h"

#include <json/value.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace lacewing::fakes {

/// @brief How an answer is damaged after its request has been executed.
enum class answer_fault : std::uint8_t {
    none,
    reset_before_answer,
    reset_in_answer,
    truncated,
    endless,
    /// More body bytes than the declared length.
    wrong_length,
    late,
};

/// @brief A fault of the version that the endpoint runs; active when all conditions hold.
struct version_fault {
    /// Fraction of requests answered with 500.
    double fail_fraction = 0;
    double slow_factor = 1;
    /// Time from setting the behaviour to the first effect.
    time_ms after;
    /// Requests in flight from which the fault shows.
    std::int64_t min_in_flight = 0;
    /// Only targets that begin with this path; empty for all.
    std::string route_prefix;
};

/// @brief Run-time behaviour of one fake endpoint.
struct endpoint_behaviour {
    std::int64_t slots = 4;
    std::int64_t connections = 400;
    time_ms service{2};
    /// After a start the service time is multiplied by cold_factor for this long.
    time_ms cold;
    double cold_factor = 4;
    bool report_load = true;
    /// The reported load is renewed no more often than this.
    time_ms load_lag{1000};
    /// Reported instead of the true load when not negative.
    double false_load = -1;
    bool draining = false;
    std::string version = "v1";
    version_fault fault;
    answer_fault answer = answer_fault::none;
    /// Fraction of executed requests to which the answer fault applies.
    double answer_fraction = 1;
    /// Delay of a late answer.
    time_ms late{1000};
    /// Bytes that follow the JSON line in the answer's body.
    std::size_t padding = 0;
};

/// @brief Changes the fields that the JSON object names; the others stay.
/// @throws error with error_kind::bad_request for an unknown field or a wrong type; nothing is changed then.
void apply_behaviour(const Json::Value& change, endpoint_behaviour& behaviour);

} // namespace lacewing::fakes
