#include "fakes/endpoint/endpoint_behaviour.h"

#include "state/error_kind.h"

#include <fmt/format.h>
#include <json/value.h>

#include <array>
#include <map>
#include <utility>

namespace lacewing::fakes {

namespace {

constexpr std::array<std::pair<std::string_view, answer_fault>, 14> answer_fault_names{{
    {"none", answer_fault::none},
    {"reset_before_answer", answer_fault::reset_before_answer},
    {"reset_in_answer", answer_fault::reset_in_answer},
    {"truncated", answer_fault::truncated},
    {"truncated_head", answer_fault::truncated_head},
    {"endless", answer_fault::endless},
    {"endless_interim_answers", answer_fault::endless_interim_answers},
    {"endless_header", answer_fault::endless_header},
    {"endless_chunk_extension", answer_fault::endless_chunk_extension},
    {"endless_trailers", answer_fault::endless_trailers},
    {"wrong_length", answer_fault::wrong_length},
    {"invalid_status", answer_fault::invalid_status},
    {"late", answer_fault::late},
    {"repeat_previous", answer_fault::repeat_previous},
}};

answer_fault parse_answer_fault(const std::string& name) {
    for (const auto& [text, fault] : answer_fault_names) {
        if (text == name) return fault;
    }
    throw error(error_kind::bad_request, fmt::format("answer_fault: unknown value '{}'", name));
}

using field_setter = void (*)(endpoint_behaviour&, const Json::Value&);

const std::map<std::string_view, field_setter> field_setters{
    {"slots", [](endpoint_behaviour& b, const Json::Value& value) { b.slots = value.asInt64(); }},
    {"connections",
     [](endpoint_behaviour& b, const Json::Value& value) { b.max_connections = value.asInt64(); }},
    {"service_ms",
     [](endpoint_behaviour& b, const Json::Value& value) { b.base_service_time = time_ms{value.asInt64()}; }},
    {"cold_ms",
     [](endpoint_behaviour& b, const Json::Value& value) { b.cold_duration = time_ms{value.asInt64()}; }},
    {"cold_factor",
     [](endpoint_behaviour& b, const Json::Value& value) { b.cold_factor = value.asDouble(); }},
    {"refuse_on_accept",
     [](endpoint_behaviour& b, const Json::Value& value) { b.refuse_on_accept = value.asBool(); }},
    {"report_load", [](endpoint_behaviour& b, const Json::Value& value) { b.report_load = value.asBool(); }},
    {"load_lag_ms", [](endpoint_behaviour& b,
                       const Json::Value& value) { b.load_report_interval = time_ms{value.asInt64()}; }},
    {"false_load",
     [](endpoint_behaviour& b, const Json::Value& value) { b.load_override = value.asDouble(); }},
    {"draining", [](endpoint_behaviour& b, const Json::Value& value) { b.draining = value.asBool(); }},
    {"version", [](endpoint_behaviour& b, const Json::Value& value) { b.version = value.asString(); }},
    {"fail_fraction",
     [](endpoint_behaviour& b, const Json::Value& value) { b.fault.fail_fraction = value.asDouble(); }},
    {"slow_factor",
     [](endpoint_behaviour& b, const Json::Value& value) { b.fault.slow_factor = value.asDouble(); }},
    {"after_ms",
     [](endpoint_behaviour& b, const Json::Value& value) { b.fault.start_delay = time_ms{value.asInt64()}; }},
    {"min_in_flight",
     [](endpoint_behaviour& b, const Json::Value& value) { b.fault.min_in_flight = value.asInt64(); }},
    {"route_prefix",
     [](endpoint_behaviour& b, const Json::Value& value) { b.fault.route_prefix = value.asString(); }},
    {"answer_fault",
     [](endpoint_behaviour& b, const Json::Value& value) {
         b.injected_answer_fault = parse_answer_fault(value.asString());
     }},
    {"answer_fraction",
     [](endpoint_behaviour& b, const Json::Value& value) { b.answer_fault_fraction = value.asDouble(); }},
    {"late_ms",
     [](endpoint_behaviour& b, const Json::Value& value) { b.late_delay = time_ms{value.asInt64()}; }},
    {"padding", [](endpoint_behaviour& b, const Json::Value& value) { b.padding_bytes = value.asUInt64(); }},
};

} // namespace

void apply_behaviour(const Json::Value& change, endpoint_behaviour& behaviour) {
    auto updated = behaviour;
    try {
        for (const auto& name : change.getMemberNames()) {
            if (name == "endpoint" || name == "restart") continue;
            const auto setter = field_setters.find(name);
            if (setter == field_setters.end()) {
                throw error(error_kind::bad_request, fmt::format("unknown field '{}'", name));
            }
            setter->second(updated, change[name]);
        }
    } catch (const Json::Exception& problem) {
        throw error(error_kind::bad_request, problem.what());
    }
    behaviour = std::move(updated);
}

} // namespace lacewing::fakes
