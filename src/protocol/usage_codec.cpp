#include "protocol/usage_codec.h"

#include "state/error_kind.h"
#include "state/json_text.h"
#include "state/yaml_reader.h"

#include <algorithm>

namespace lacewing {

namespace {

// First byte of a usage message; reports begin with a brace.
constexpr char usage_mark = 'U';
// Largest token that other programs can read as a number without loss.
constexpr std::uint64_t max_token = std::uint64_t{1} << 53U;
// A notice that is older counts as one of this age.
constexpr time_ms max_notice_age{60'000};

[[noreturn]] void reject() {
    throw error(error_kind::bad_request, "malformed usage message");
}

const Json::Value& member(const Json::Value& object, const char* name) {
    if (!object.isObject() || !object.isMember(name)) reject();
    return object[name];
}

std::int64_t integer(const Json::Value& value) {
    if (!value.isInt64()) reject();
    return value.asInt64();
}

std::uint64_t number(const Json::Value& value) {
    if (!value.isUInt64()) reject();
    return value.asUInt64();
}

std::string text(const Json::Value& value) {
    if (!value.isString()) reject();
    return value.asString();
}

bool truth(const Json::Value& value) {
    if (!value.isBool()) reject();
    return value.asBool();
}

const Json::Value& array(const Json::Value& value) {
    if (!value.isArray()) reject();
    return value;
}

Json::Value encode_counts(const usage_counts& counts) {
    Json::Value made(Json::objectValue);
    for (const auto& [account, count] : counts)
        made[account] = Json::Int64(count);
    return made;
}

usage_counts decode_counts(const Json::Value& value) {
    if (!value.isObject()) reject();
    usage_counts counts;
    for (auto item = value.begin(); item != value.end(); ++item)
        counts[item.name()] = integer(*item);
    return counts;
}

Json::Value encode(const usage_record& record) {
    Json::Value made;
    made["w"] = Json::Int64(record.window);
    made["v"] = Json::UInt64(record.version);
    made["closed"] = record.closed;
    made["sources"] = Json::Value(Json::arrayValue);
    for (const auto source : record.sources)
        made["sources"].append(Json::UInt64(source));
    made["counts"] = encode_counts(record.counts);
    return made;
}

usage_record decode_record(const Json::Value& value) {
    usage_record made;
    made.window = integer(member(value, "w"));
    made.version = number(member(value, "v"));
    made.closed = truth(member(value, "closed"));
    for (const auto& source : array(member(value, "sources")))
        made.sources.push_back(number(source));
    made.counts = decode_counts(member(value, "counts"));
    return made;
}

Json::Value encode(const holder_notice& notice) {
    Json::Value made;
    made["vm"] = notice.vm;
    made["address"] = notice.address;
    made["source"] = Json::UInt64(notice.source);
    made["token"] = Json::UInt64(notice.token);
    made["age_ms"] = Json::Int64(notice.age.count);
    made["settled_below"] = Json::Int64(notice.settled_below);
    return made;
}

// Address of a peer, to which messages will be sent.
std::string peer_address(const Json::Value& value) {
    auto address = text(value);
    if (!is_socket_address(address)) reject();
    return address;
}

holder_notice decode_notice(const Json::Value& value) {
    holder_notice made{text(member(value, "vm")),          text(member(value, "address")),
                       number(member(value, "source")),    number(member(value, "token")),
                       {integer(member(value, "age_ms"))}, integer(member(value, "settled_below"))};
    if (!made.address.empty() && !is_socket_address(made.address)) reject();
    if (made.token > max_token) reject();
    if (made.age < time_ms{0}) reject();
    made.age = std::min(made.age, max_notice_age);
    return made;
}

Json::Value encode(const usage_push& push) {
    Json::Value made;
    made["from"] = Json::UInt64(push.from);
    made["address"] = push.address;
    made["zone_sums"] = push.zone_sums;
    made["time"] = Json::Int64(push.time_of_day.count);
    made["records"] = Json::Value(Json::arrayValue);
    for (const auto& record : push.records)
        made["records"].append(encode(record));
    return made;
}

usage_push decode_push(const Json::Value& value) {
    usage_push made;
    made.from = number(member(value, "from"));
    made.address = peer_address(member(value, "address"));
    made.zone_sums = truth(member(value, "zone_sums"));
    made.time_of_day = {integer(member(value, "time"))};
    for (const auto& record : array(member(value, "records")))
        made.records.push_back(decode_record(record));
    return made;
}

Json::Value encode(const usage_acknowledgement& answer) {
    Json::Value made;
    made["from"] = Json::UInt64(answer.from);
    made["zone_sums"] = answer.zone_sums;
    made["agreed"] = Json::Int64(answer.agreed_time.count);
    made["holder"] = encode(answer.holder);
    made["received"] = Json::Value(Json::arrayValue);
    for (const auto& [window, version] : answer.received) {
        Json::Value entry;
        entry.append(Json::Int64(window));
        entry.append(Json::UInt64(version));
        made["received"].append(std::move(entry));
    }
    return made;
}

usage_acknowledgement decode_acknowledgement(const Json::Value& value) {
    usage_acknowledgement made;
    made.from = number(member(value, "from"));
    made.zone_sums = truth(member(value, "zone_sums"));
    made.agreed_time = {integer(member(value, "agreed"))};
    made.holder = decode_notice(member(value, "holder"));
    for (const auto& entry : array(member(value, "received"))) {
        if (!entry.isArray() || entry.size() != 2) reject();
        made.received.emplace_back(integer(entry[0]), number(entry[1]));
    }
    return made;
}

} // namespace

bool is_usage_message(std::string_view datagram) {
    return !datagram.empty() && datagram.front() == usage_mark;
}

std::string encode_usage_message(const usage_message& message) {
    static constexpr const char* names[] = {"push", "received", "holder"};
    Json::Value envelope;
    std::visit([&](const auto& content) { envelope[names[message.index()]] = encode(content); }, message);
    return usage_mark + compact_json(envelope);
}

usage_message decode_usage_message(std::string_view datagram) {
    if (!is_usage_message(datagram)) reject();
    const auto envelope = read_json(datagram.substr(1));
    if (!envelope || !envelope->isObject()) reject();
    if (envelope->isMember("push")) return decode_push((*envelope)["push"]);
    if (envelope->isMember("received")) return decode_acknowledgement((*envelope)["received"]);
    return decode_notice(member(*envelope, "holder"));
}

Json::Value encode_duty_record(const duty_record& record) {
    Json::Value made;
    made["holder"] = record.holder;
    made["incarnation"] = Json::UInt64(record.incarnation);
    made["token"] = Json::UInt64(record.token);
    made["renewals"] = Json::UInt64(record.renewals);
    made["released"] = record.released;
    made["previous"] = Json::Value(Json::arrayValue);
    for (const auto& vm : record.previous)
        made["previous"].append(vm);
    made["next_window"] = Json::Int64(record.progress.next_window);
    made["fixed"] = Json::Value(Json::arrayValue);
    for (const auto& [window, counts] : record.progress.fixed)
        made["fixed"].append(encode_counts(counts));
    return made;
}

duty_record decode_duty_record(const Json::Value& spec) {
    duty_record made;
    made.holder = text(member(spec, "holder"));
    made.incarnation = number(member(spec, "incarnation"));
    made.token = number(member(spec, "token"));
    made.renewals = number(member(spec, "renewals"));
    made.released = truth(member(spec, "released"));
    for (const auto& vm : array(member(spec, "previous")))
        made.previous.push_back(text(vm));
    made.progress.next_window = integer(member(spec, "next_window"));
    auto window = made.progress.next_window;
    for (const auto& counts : array(member(spec, "fixed")))
        made.progress.fixed[window++] = decode_counts(counts);
    return made;
}

} // namespace lacewing
