#pragma once

#include "state/time_ms.h"

#include <json/value.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace lacewing::fakes {

/// @brief Fault injected into the answer to a request that has been executed.
enum class answer_fault : std::uint8_t {
    none,
    /// The connection is reset before the first byte of the answer.
    reset_before_answer,
    /// The connection is reset after half of the body.
    reset_in_answer,
    /// The connection is closed in order after half of the body.
    truncated,
    /// The connection is closed in order within the head.
    truncated_head,
    /// A body without a declared length that ends only when the connection does.
    endless,
    /// Bytes that are no answer, until the connection ends: interim answers before the head, a header line, a
    /// chunk extension, or trailers.
    endless_interim_answers,
    endless_header,
    endless_chunk_extension,
    endless_trailers,
    /// More bytes than the declared length: a second answer follows that nobody asked for.
    wrong_length,
    /// The status is 000, 099, 600 or 999, one after the other.
    invalid_status,
    /// The answer is delayed.
    late,
    /// The endpoint writes its previous answer or refusal on the connection once more when it has read the
    /// next request, and then handles that request.
    repeat_previous,
};

/// @brief Simulated defect of the version that the endpoint runs. It is active while all of its conditions
/// hold: the delay has passed, enough requests are in flight and the target has the prefix.
struct version_fault {
    /// Fraction of requests answered with 500.
    double fail_fraction = 0;
    /// Factor on the service time.
    double slow_factor = 1;
    /// Time from the change of the behaviour to the start of the fault.
    time_ms start_delay;
    /// Least number of requests in flight, the affected one included.
    std::int64_t min_in_flight = 0;
    /// Prefix of the affected targets; empty for all targets.
    std::string route_prefix;
};

/// @brief Behaviour of one fake endpoint; it can change at run time.
struct endpoint_behaviour {
    /// Requests that may execute at the same time; requests beyond them are shed with 503.
    std::int64_t slots = 4;
    /// Open connections; connections beyond them are reset.
    std::int64_t max_connections = 400;
    /// Service time of a request without cold start and version fault.
    time_ms base_service_time{2};
    /// Time after a start during which the service time is multiplied by cold_factor.
    time_ms cold_duration;
    double cold_factor = 4;
    /// Whether answers carry the load in the header X-Load.
    bool report_load = true;
    /// Writes a refusal that names no attempt on each new connection, before it has read a request.
    bool refuse_on_accept = false;
    /// Shortest time between two updates of the reported load.
    time_ms load_report_interval{1000};
    /// Reported in place of the true load unless negative.
    double load_override = -1;
    /// A draining endpoint sheds new requests and closes the connection after the answer to an executing one.
    bool draining = false;
    std::string version = "v1";
    version_fault fault;
    answer_fault injected_answer_fault = answer_fault::none;
    /// Fraction of executed requests to which the answer fault applies.
    double answer_fault_fraction = 1;
    /// Delay of the answer with answer_fault::late.
    time_ms late_delay{1000};
    /// Bytes that follow the JSON line in the answer's body.
    std::size_t padding_bytes = 0;
};

/// @brief Sets the fields that the JSON object names and leaves the others unchanged. The members "endpoint"
/// and "restart" are for the caller of this function and are skipped.
/// @throws error with error_kind::bad_request for an unknown field or a wrong type; behaviour is unchanged
/// then.
void apply_behaviour(const Json::Value& change, endpoint_behaviour& behaviour);

} // namespace lacewing::fakes
