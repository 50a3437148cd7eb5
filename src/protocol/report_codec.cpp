#include "protocol/report_codec.h"

#include "protocol/jsonrpc_builder.h"
#include "state/error_kind.h"
#include "state/json_text.h"
#include "state/yaml_reader.h"

#include <json/value.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <string_view>

namespace lacewing {

namespace {

constexpr const char* report_method = "report";

// Reports go to every other VM several times a second. To keep them small, fields have short names, and the
// lists of loads and of objects are one string of base-36 numbers each. A JSON value for each number would
// take twice the bytes and most of the processor time of receiving a report.
constexpr int number_base = 36;
// An answer, or a move, that is older counts as one of this age.
constexpr std::uint64_t max_age_ms = 3'600'000;

void append_number(std::string& out, std::uint64_t value) {
    // 64 bits have at most 13 digits in base 36.
    std::array<char, 13> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, number_base);
    out.append(digits.data(), end.ptr);
}

// Reads the number at the start of a text and removes it and the separator after it.
std::uint64_t consume_number(std::string_view& text, char separator) {
    std::uint64_t value = 0;
    const auto end = std::from_chars(text.data(), text.data() + text.size(), value, number_base);
    if (end.ec != std::errc{}) throw error(error_kind::bad_request, "malformed number in a peer message");
    text.remove_prefix(static_cast<std::size_t>(end.ptr - text.data()));
    if (!text.empty() && text.front() == separator) text.remove_prefix(1);
    return value;
}

// As consume_number(), for a total that fits a signed number.
std::int64_t consume_total(std::string_view& text, char separator) {
    const auto value = consume_number(text, separator);
    if (value > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
        throw error(error_kind::bad_request, "a total in a peer message is out of range");
    return static_cast<std::int64_t>(value);
}

std::string_view string_view_of(const Json::Value& value) {
    const char* begin = nullptr;
    const char* end = nullptr;
    if (value.isNull()) return {};
    if (!value.getString(&begin, &end))
        throw error(error_kind::bad_request, "a peer message has another type in place of a string");
    return {begin, static_cast<std::size_t>(end - begin)};
}

// Flat list: account, asked, admitted, account, asked, admitted, ...
Json::Value encode_usage(const vm_report& report) {
    Json::Value list(Json::arrayValue);
    for (const auto& [account, usage] : report.usage) {
        list.append(account);
        list.append(Json::Int64(usage.asked));
        list.append(Json::Int64(usage.admitted));
    }
    return list;
}

// Numbers of a tally in a list.
constexpr Json::ArrayIndex tally_size = 5;

void append_tally(Json::Value& list, const version_tally& tally) {
    for (const auto count : {tally.answered, tally.failed, tally.slow, tally.timed, tally.sent})
        list.append(Json::UInt64(count));
}

version_tally tally_at(const Json::Value& list, Json::ArrayIndex begin) {
    return {.sent = list[begin + 4].asUInt64(),
            .answered = list[begin].asUInt64(),
            .failed = list[begin + 1].asUInt64(),
            .timed = list[begin + 3].asUInt64(),
            .slow = list[begin + 2].asUInt64()};
}

Json::Value encode_outcomes(const vm_report& report) {
    Json::Value list(Json::arrayValue);
    for (const auto& [key, tally] : report.outcomes) {
        Json::Value item(Json::arrayValue);
        item.append(key);
        append_tally(item, tally);
        list.append(std::move(item));
    }
    return list;
}

// Lists: service, created, age, share, sent to the target, sent, and for each route its name and two tallies.
Json::Value encode_moves(const vm_report& report) {
    Json::Value list(Json::arrayValue);
    for (const auto& move : report.moves) {
        Json::Value item(Json::arrayValue);
        item.append(move.service);
        item.append(Json::UInt64(move.created));
        item.append(Json::UInt64(static_cast<std::uint64_t>(std::max<std::int64_t>(0, move.age.count))));
        item.append(move.share);
        item.append(Json::UInt64(move.sent_to_target));
        item.append(Json::UInt64(move.sent));
        for (const auto& tallies : move.routes) {
            item.append(tallies.route);
            append_tally(item, tallies.target);
            append_tally(item, tallies.others);
        }
        list.append(std::move(item));
    }
    return list;
}

void decode_moves(const Json::Value& params, vm_report& report) {
    constexpr Json::ArrayIndex first_route = 6;
    constexpr Json::ArrayIndex route_size = 1 + 2 * tally_size;
    for (const auto& item : params["moves"]) {
        move_knowledge move;
        move.service = item[0].asString();
        move.created = item[1].asUInt64();
        move.age = {static_cast<std::int64_t>(std::min<std::uint64_t>(item[2].asUInt64(), max_age_ms))};
        move.share = item[3].asDouble();
        move.sent_to_target = item[4].asUInt64();
        move.sent = item[5].asUInt64();
        for (auto at = first_route; at + route_size <= item.size(); at += route_size) {
            move.routes.push_back(
                {item[at].asString(), tally_at(item, at + 1), tally_at(item, at + 1 + tally_size)});
        }
        report.moves.push_back(std::move(move));
    }
}

// Requests in flight by endpoint tag: "tag count tag count".
std::string encode_loads(const vm_report& report) {
    std::string out;
    for (const auto& [tag, count] : report.in_flight) {
        if (!out.empty()) out += ' ';
        append_number(out, tag);
        out += ' ';
        append_number(out, static_cast<std::uint64_t>(std::max(0, count)));
    }
    return out;
}

// Objects by endpoint tag: "tag object object,tag object".
std::string encode_objects(const vm_report& report) {
    std::string out;
    for (const auto& [tag, objects] : report.objects) {
        if (!out.empty()) out += ',';
        append_number(out, tag);
        for (const auto object : objects) {
            out += ' ';
            append_number(out, object);
        }
    }
    return out;
}

// Totals by region: "region sent returned region sent returned".
std::string encode_region_sends(const vm_report& report) {
    std::string out;
    for (const auto& sent : report.region_sends) {
        if (!out.empty()) out += ' ';
        append_number(out, sent.region);
        out += ' ';
        append_number(out, sent.sent);
        out += ' ';
        append_number(out, sent.returned);
    }
    return out;
}

// Limits of endpoints: "endpoint answer age asked admitted endpoint answer ...". The answer is 0 if the
// report has none, 1 if the answer named no limit, and otherwise 2 + the limit in thousandths per second.
std::string encode_limits(const vm_report& report) {
    std::string out;
    for (const auto& limit : report.limits) {
        std::uint64_t answer = 0;
        if (limit.answer) {
            answer = 1;
            if (limit.answer->per_s)
                answer = 2 + static_cast<std::uint64_t>(std::llround(*limit.answer->per_s * 1000));
        }
        const auto age = limit.answer ? std::max<std::int64_t>(0, limit.answer->age.count) : 0;
        for (const auto value :
             {std::uint64_t{limit.endpoint}, answer, static_cast<std::uint64_t>(age),
              static_cast<std::uint64_t>(std::max<std::int64_t>(0, limit.usage.asked)),
              static_cast<std::uint64_t>(std::max<std::int64_t>(0, limit.usage.admitted))}) {
            if (!out.empty()) out += ' ';
            append_number(out, value);
        }
    }
    return out;
}

// Hashes of endpoint processes: "hash hash".
std::string encode_leaving_endpoints(const vm_report& report) {
    std::string out;
    for (const auto hash : report.leaving_endpoints) {
        if (!out.empty()) out += ' ';
        append_number(out, hash);
    }
    return out;
}

void decode_leaving_endpoints(const Json::Value& params, vm_report& report) {
    auto text = string_view_of(params["bye"]);
    while (!text.empty())
        report.leaving_endpoints.push_back(consume_number(text, ' '));
}

void decode_limits(const Json::Value& params, vm_report& report) {
    auto text = string_view_of(params["lim"]);
    while (!text.empty()) {
        endpoint_limit_report limit;
        limit.endpoint = static_cast<std::uint32_t>(consume_number(text, ' '));
        const auto answer = consume_number(text, ' ');
        const auto age = std::min(consume_number(text, ' '), max_age_ms);
        if (answer > 0) limit.answer = {std::nullopt, time_ms{static_cast<std::int64_t>(age)}};
        if (answer > 1) limit.answer->per_s = static_cast<double>(answer - 2) / 1000;
        limit.usage.asked = consume_total(text, ' ');
        limit.usage.admitted = consume_total(text, ' ');
        report.limits.push_back(limit);
    }
}

void decode_region_sends(const Json::Value& params, vm_report& report) {
    auto text = string_view_of(params["sent"]);
    while (!text.empty()) {
        region_send_total sent;
        sent.region = static_cast<std::uint32_t>(consume_number(text, ' '));
        sent.sent = consume_number(text, ' ');
        sent.returned = consume_number(text, ' ');
        report.region_sends.push_back(sent);
    }
}

void decode_loads(const Json::Value& params, vm_report& report) {
    auto loads = string_view_of(params["load"]);
    while (!loads.empty()) {
        const auto tag = static_cast<std::uint32_t>(consume_number(loads, ' '));
        report.in_flight.emplace_back(tag, static_cast<int>(consume_number(loads, ' ')));
    }
}

void decode_objects(const Json::Value& params, vm_report& report) {
    auto groups = string_view_of(params["obj"]);
    while (!groups.empty()) {
        auto group = groups.substr(0, groups.find(','));
        groups.remove_prefix(std::min(groups.size(), group.size() + 1));
        auto& [tag, objects] = report.objects.emplace_back();
        tag = static_cast<std::uint32_t>(consume_number(group, ' '));
        while (!group.empty())
            objects.push_back(static_cast<std::uint32_t>(consume_number(group, ' ')));
    }
}

void decode_usage(const Json::Value& params, vm_report& report) {
    const auto& usage = params["use"];
    for (Json::ArrayIndex i = 0; i + 2 < usage.size(); i += 3) {
        report.usage.emplace_back(usage[i].asString(),
                                  rate_usage{usage[i + 1].asInt64(), usage[i + 2].asInt64()});
    }
}

} // namespace

std::string encode_report(const vm_report& report) {
    Json::Value params;
    params["vm"] = report.vm.value;
    params["inc"] = to_hex(report.incarnation);
    params["seq"] = Json::UInt64(report.sequence);
    params["at"] = Json::Int64(report.made_at.count);
    if (report.has_identity) {
        params["zone"] = report.zone.value;
        params["region"] = report.region.value;
        params["peer"] = report.peer_address;
        params["caller"] = report.caller_address;
    }
    // Bit set: 1 ready, 2 leaving, 4 store reached.
    params["state"] = (report.ready ? 1 : 0) + (report.leaving ? 2 : 0) + (report.store_reached ? 4 : 0);
    params["conf"] = Json::UInt64(report.configuration_version);
    for (const auto& [kind, revision] : report.revisions)
        params["rev"][kind] = Json::UInt64(revision);
    if (!report.in_flight.empty()) params["load"] = encode_loads(report);
    if (!report.objects.empty()) params["obj"] = encode_objects(report);
    if (!report.region_sends.empty()) params["sent"] = encode_region_sends(report);
    if (!report.usage.empty()) params["use"] = encode_usage(report);
    if (!report.limits.empty()) params["lim"] = encode_limits(report);
    if (!report.leaving_endpoints.empty()) params["bye"] = encode_leaving_endpoints(report);
    if (!report.outcomes.empty()) params["out"] = encode_outcomes(report);
    if (!report.moves.empty()) params["moves"] = encode_moves(report);
    for (const auto& [service, share] : report.move_shares)
        params["move"][service] = share;
    return build_notification(report_method, params);
}

vm_report decode_report(std::string_view text) {
    const auto parsed = read_json(text);
    if (!parsed || !parsed->isObject())
        throw error(error_kind::bad_request, "a peer message is not a JSON object");
    const auto& message = *parsed;
    if (message["method"] != report_method)
        throw error(error_kind::bad_request, "unknown method in a peer message");
    try {
        const auto& params = message["params"];
        vm_report report;
        report.vm = {params["vm"].asString()};
        report.has_identity = params.isMember("peer");
        report.zone = {params["zone"].asString()};
        report.region = {params["region"].asString()};
        report.incarnation = incarnation_from_hex(params["inc"].asString());
        report.sequence = params["seq"].asUInt64();
        report.made_at = {params["at"].asInt64()};
        report.peer_address = params["peer"].asString();
        report.caller_address = params["caller"].asString();
        if (report.has_identity && !is_socket_address(report.peer_address))
            throw error(error_kind::bad_request, "a peer message has an invalid address");
        const auto state = params["state"].asUInt();
        report.ready = (state & 1U) != 0;
        report.leaving = (state & 2U) != 0;
        report.store_reached = (state & 4U) != 0;
        report.configuration_version = params["conf"].asUInt64();
        const auto& revisions = params["rev"];
        for (const auto& kind : revisions.getMemberNames())
            report.revisions[kind] = revisions[kind].asUInt64();
        decode_loads(params, report);
        decode_objects(params, report);
        decode_region_sends(params, report);
        decode_usage(params, report);
        decode_limits(params, report);
        decode_leaving_endpoints(params, report);
        for (const auto& item : params["out"])
            report.outcomes.emplace_back(item[0].asString(), tally_at(item, 1));
        decode_moves(params, report);
        const auto& shares = params["move"];
        for (const auto& service : shares.getMemberNames()) {
            report.move_shares.emplace_back(service, shares[service].asDouble());
        }
        return report;
    } catch (const Json::Exception& problem) {
        throw error(error_kind::bad_request,
                    std::string("a peer message has a wrong type: ") + problem.what());
    }
}

} // namespace lacewing
