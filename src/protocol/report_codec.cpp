#include "protocol/report_codec.h"

#include "protocol/jsonrpc_builder.h"
#include "state/error_kind.h"
#include "state/json_text.h"
#include "state/yaml_reader.h"

#include <json/value.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <limits>
#include <string_view>

namespace lacewing {

namespace {

constexpr std::string_view report_method = "report";

// Reports go to many other VMs several times a second, and receiving them is most of what an idle VM does. A
// report is therefore one text, "key=value;key=value;...", whose values are lists of base-36 numbers and
// names, separated by spaces. Fields that hold nothing are left out, and unknown ones are ignored.
constexpr char field_end = ';';
constexpr char key_end = '=';
constexpr char item_end = ' ';
constexpr char group_end = ',';
constexpr int number_base = 36;
// An answer, or a move, that is older counts as one of this age.
constexpr std::uint64_t max_age_ms = 3'600'000;

[[noreturn]] void reject(std::string_view reason) {
    throw error(error_kind::bad_request, std::string(reason));
}

/// Writes the items of one field.
class item_writer {
public:
    explicit item_writer(std::string& out) : out_(out) {}

    item_writer& number(std::uint64_t value) {
        separate();
        // 64 bits have at most 13 digits in base 36.
        std::array<char, 13> digits{};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, number_base);
        out_.append(digits.data(), end.ptr);
        return *this;
    }

    // A total that a process may have counted down below zero.
    item_writer& signed_number(std::int64_t value) {
        separate();
        std::array<char, 14> digits{};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, number_base);
        out_.append(digits.data(), end.ptr);
        return *this;
    }

    item_writer& fraction(double value) {
        separate();
        std::array<char, 32> digits{};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value);
        out_.append(digits.data(), end.ptr);
        return *this;
    }

    // Percent-encodes all characters that separate items or that JSON escapes.
    item_writer& name(std::string_view text) {
        separate();
        constexpr std::string_view hex_digits = "0123456789abcdef";
        for (const char c : text) {
            const auto byte = static_cast<unsigned char>(c);
            if (byte < 0x80 &&
                (std::isalnum(byte) != 0 || std::string_view("._-/:@").find(c) != std::string_view::npos)) {
                out_ += c;
            } else {
                out_ += '%';
                out_ += hex_digits[byte >> 4U];
                out_ += hex_digits[byte & 15U];
            }
        }
        return *this;
    }

    void end_group() {
        out_ += group_end;
        first_ = true;
    }

private:
    void separate() {
        if (!first_) out_ += item_end;
        first_ = false;
    }

    std::string& out_;
    bool first_ = true;
};

/// Reads the items of one field.
class item_reader {
public:
    explicit item_reader(std::string_view text) : text_(text), at_end_(text.empty()) {}

    [[nodiscard]] bool empty() const { return at_end_; }

    std::uint64_t number() { return parse<std::uint64_t>(next(), "malformed number in a peer message"); }

    std::int64_t signed_number() {
        return parse<std::int64_t>(next(), "a total in a peer message is out of range");
    }

    std::int64_t total() {
        const auto value = signed_number();
        if (value < 0) reject("a total in a peer message is out of range");
        return value;
    }

    std::uint32_t tag() { return parse<std::uint32_t>(next(), "malformed tag in a peer message"); }

    double fraction() {
        const auto item = next();
        double value = 0;
        const auto end = std::from_chars(item.data(), item.data() + item.size(), value);
        if (end.ec != std::errc{} || end.ptr != item.data() + item.size() || !std::isfinite(value))
            reject("malformed fraction in a peer message");
        return value;
    }

    std::string name() {
        const auto item = next();
        std::string decoded;
        decoded.reserve(item.size());
        for (std::size_t i = 0; i < item.size(); ++i) {
            if (item[i] != '%') {
                decoded += item[i];
                continue;
            }
            unsigned byte = 0;
            const auto digits = item.substr(i + 1, 2);
            const auto end = std::from_chars(digits.data(), digits.data() + digits.size(), byte, 16);
            if (digits.size() != 2 || end.ec != std::errc{} || end.ptr != digits.data() + 2)
                reject("malformed name in a peer message");
            decoded += static_cast<char>(byte);
            i += 2;
        }
        return decoded;
    }

private:
    template <class Number>
    static Number parse(std::string_view item, std::string_view reason) {
        Number value = 0;
        const auto end = std::from_chars(item.data(), item.data() + item.size(), value, number_base);
        if (end.ec != std::errc{} || end.ptr != item.data() + item.size()) reject(reason);
        return value;
    }

    std::string_view next() {
        if (at_end_) reject("a list in a peer message ends early");
        const auto end = text_.find(item_end);
        const auto item = text_.substr(0, end);
        at_end_ = end == std::string_view::npos;
        text_.remove_prefix(at_end_ ? text_.size() : end + 1);
        return item;
    }

    std::string_view text_;
    bool at_end_;
};

/// Calls a function with an item_reader for each group of a field.
template <class Function>
void for_each_group(std::string_view value, const Function& read) {
    while (!value.empty()) {
        const auto end = value.find(group_end);
        if (end == std::string_view::npos) reject("a group in a peer message has no end");
        read(item_reader(value.substr(0, end)));
        value.remove_prefix(end + 1);
    }
}

/// Writes the fields of a report.
class field_writer {
public:
    item_writer field(std::string_view key) {
        if (!text.empty()) text += field_end;
        text += key;
        text += key_end;
        return item_writer(text);
    }

    std::string text;
};

std::uint64_t not_negative(std::int64_t value) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, value));
}

void write_tally(item_writer& out, const version_tally& tally) {
    for (const auto count : {tally.sent, tally.answered, tally.failed, tally.timed, tally.slow,
                             tally.timed_cold, tally.slow_cold})
        out.number(count);
}

version_tally read_tally(item_reader& in) {
    version_tally tally;
    for (auto* count : {&tally.sent, &tally.answered, &tally.failed, &tally.timed, &tally.slow,
                        &tally.timed_cold, &tally.slow_cold})
        *count = in.number();
    return tally;
}

// Which report of which process: VM, incarnation, number.
constexpr std::string_view header_key = "v";

report_header read_header(std::string_view value) {
    item_reader in(value);
    report_header header;
    header.vm = {in.name()};
    if (header.vm.empty()) reject("a peer message names no VM");
    header.incarnation = {in.number()};
    header.sequence = in.number();
    return header;
}

void decode_header(std::string_view value, vm_report& report) {
    auto header = read_header(value);
    report.vm = std::move(header.vm);
    report.incarnation = header.incarnation;
    report.sequence = header.sequence;
}

// Zone, region, peer address, caller address.
void decode_identity(std::string_view value, vm_report& report) {
    item_reader in(value);
    report.has_identity = true;
    report.zone = {in.name()};
    report.region = {in.name()};
    report.peer_address = in.name();
    report.caller_address = in.name();
    if (!is_socket_address(report.peer_address)) reject("a peer message has an invalid address");
}

// Thousandths of a core, Mbit/s of the link, thousandths of the time that events wait.
void decode_capacity(std::string_view value, vm_report& report) {
    item_reader in(value);
    report.processor_millicores = in.tag();
    report.link_mbps = in.tag();
    report.busy_permille = in.tag();
}

constexpr std::uint64_t ready_bit = 1;
constexpr std::uint64_t leaving_bit = 2;
constexpr std::uint64_t store_reached_bit = 4;
constexpr std::uint64_t pass_on_bit = 8;

// Bit set, version of the configuration, time at which the report was made.
void encode_state(const vm_report& report, field_writer& out) {
    const auto bits = (report.ready ? ready_bit : 0) | (report.leaving ? leaving_bit : 0) |
                      (report.store_reached ? store_reached_bit : 0) | (report.pass_on ? pass_on_bit : 0);
    out.field("s")
        .number(bits)
        .number(report.configuration_version)
        .number(not_negative(report.made_at.count));
}

void decode_state(std::string_view value, vm_report& report) {
    item_reader in(value);
    const auto bits = in.number();
    report.ready = (bits & ready_bit) != 0;
    report.leaving = (bits & leaving_bit) != 0;
    report.store_reached = (bits & store_reached_bit) != 0;
    report.pass_on = (bits & pass_on_bit) != 0;
    report.configuration_version = in.number();
    report.made_at = {in.total()};
}

void decode_revisions(std::string_view value, vm_report& report) {
    for (item_reader in(value); !in.empty();) {
        const auto kind = in.name();
        report.revisions[kind] = in.number();
    }
}

// Requests in flight by endpoint tag: "tag count tag count".
void decode_loads(std::string_view value, vm_report& report) {
    for (item_reader in(value); !in.empty();) {
        const auto tag = in.tag();
        report.in_flight.emplace_back(
            tag, static_cast<int>(std::min<std::uint64_t>(in.number(), std::numeric_limits<int>::max())));
    }
}

// Objects by endpoint tag: "tag object object,tag object,".
void decode_objects(std::string_view value, vm_report& report) {
    for_each_group(value, [&](item_reader in) {
        auto& [tag, objects] = report.objects.emplace_back();
        tag = in.tag();
        while (!in.empty())
            objects.push_back(in.tag());
    });
}

// Totals by region: "region sent returned region sent returned".
void decode_region_sends(std::string_view value, vm_report& report) {
    for (item_reader in(value); !in.empty();) {
        region_send_total total;
        total.region = in.tag();
        total.sent = in.number();
        total.returned = in.number();
        report.region_sends.push_back(total);
    }
}

// "account asked admitted account asked admitted".
void decode_usage(std::string_view value, vm_report& report) {
    for (item_reader in(value); !in.empty();) {
        auto& [account, usage] = report.usage.emplace_back();
        account = in.name();
        usage.asked = in.signed_number();
        usage.admitted = in.signed_number();
    }
}

// Limits of endpoints: "endpoint answer age asked admitted endpoint answer ...". The answer is 0 if the
// report has none, 1 if the answer named no limit, and otherwise 2 + the limit in thousandths per second.
void encode_limits(const vm_report& report, field_writer& out) {
    auto items = out.field("lim");
    for (const auto& limit : report.limits) {
        std::uint64_t answer = 0;
        if (limit.answer) {
            answer = 1;
            if (limit.answer->per_s)
                answer = 2 + static_cast<std::uint64_t>(std::llround(*limit.answer->per_s * 1000));
        }
        items.number(limit.endpoint)
            .number(answer)
            .number(limit.answer ? not_negative(limit.answer->age.count) : 0)
            .number(not_negative(limit.usage.asked))
            .number(not_negative(limit.usage.admitted));
    }
}

void decode_limits(std::string_view value, vm_report& report) {
    for (item_reader in(value); !in.empty();) {
        endpoint_limit_report limit;
        limit.endpoint = in.tag();
        const auto answer = in.number();
        const auto age = std::min(in.number(), max_age_ms);
        if (answer > 0) limit.answer = {std::nullopt, time_ms{static_cast<std::int64_t>(age)}};
        if (answer > 1) limit.answer->per_s = static_cast<double>(answer - 2) / 1000;
        limit.usage.asked = in.total();
        limit.usage.admitted = in.total();
        report.limits.push_back(limit);
    }
}

// Hashes of endpoint processes: "hash hash".
void decode_leaving_endpoints(std::string_view value, vm_report& report) {
    for (item_reader in(value); !in.empty();)
        report.leaving_endpoints.push_back(in.number());
}

// "key and its tally, ...".
void decode_outcomes(std::string_view value, vm_report& report) {
    for (item_reader in(value); !in.empty();) {
        auto& [key, tally] = report.outcomes.emplace_back();
        key = in.name();
        tally = read_tally(in);
    }
}

// "service share service share".
void decode_move_shares(std::string_view value, vm_report& report) {
    for (item_reader in(value); !in.empty();) {
        auto& [service, share] = report.move_shares.emplace_back();
        service = in.name();
        share = in.fraction();
    }
}

// A group for each move: service, created, age, share, sent to the target, sent, and for each route its name
// and two tallies.
void encode_moves(const vm_report& report, field_writer& out) {
    auto items = out.field("mov");
    for (const auto& move : report.moves) {
        items.name(move.service)
            .number(move.created)
            .number(not_negative(move.age.count))
            .fraction(move.share)
            .number(move.sent_to_target)
            .number(move.sent);
        for (const auto& tallies : move.routes) {
            items.name(tallies.route);
            write_tally(items, tallies.target);
            write_tally(items, tallies.others);
        }
        items.end_group();
    }
}

void decode_moves(std::string_view value, vm_report& report) {
    for_each_group(value, [&](item_reader in) {
        auto& move = report.moves.emplace_back();
        move.service = in.name();
        move.created = in.number();
        move.age = {static_cast<std::int64_t>(std::min(in.number(), max_age_ms))};
        move.share = in.fraction();
        move.sent_to_target = in.number();
        move.sent = in.number();
        while (!in.empty()) {
            auto& tallies = move.routes.emplace_back();
            tallies.route = in.name();
            tallies.target = read_tally(in);
            tallies.others = read_tally(in);
        }
    });
}

// Pairs of bucket and count for the buckets that are not empty, with the number of pairs before them. A
// bucket is written as its distance from the one before, which mostly has a single digit.
void write_latencies(item_writer& out, const latency_counts& counts) {
    const auto& buckets = counts.buckets();
    out.number(buckets.size() - static_cast<std::size_t>(std::count(buckets.begin(), buckets.end(), 0U)));
    std::size_t previous = 0;
    for (std::size_t bucket = 0; bucket < buckets.size(); ++bucket) {
        if (buckets[bucket] == 0) continue;
        out.number(bucket - previous).number(buckets[bucket]);
        previous = bucket;
    }
}

latency_counts read_latencies(item_reader& in) {
    latency_counts counts;
    std::uint64_t bucket = 0;
    for (auto left = in.number(); left > 0; --left) {
        bucket += in.tag();
        const auto count = in.tag();
        if (bucket >= latency_counts::bucket_count) reject("a latency in a peer message is out of range");
        counts.add(bucket, count);
    }
    return counts;
}

// A group for each route: its name, latencies of queued and of unqueued requests, cold service time.
void encode_route_latencies(const vm_report& report, field_writer& out) {
    auto items = out.field("lat");
    for (const auto& route : report.latencies) {
        items.name(route.route);
        write_latencies(items, route.queued);
        write_latencies(items, route.unqueued);
        write_latencies(items, route.cold_service_time);
        items.end_group();
    }
}

void decode_route_latencies(std::string_view value, vm_report& report) {
    for_each_group(value, [&](item_reader in) {
        auto& route = report.latencies.emplace_back();
        route.route = in.name();
        route.queued = read_latencies(in);
        route.unqueued = read_latencies(in);
        route.cold_service_time = read_latencies(in);
    });
}

struct field_decoder {
    std::string_view key;
    void (*decode)(std::string_view value, vm_report& report);
};

constexpr std::array field_decoders{
    field_decoder{header_key, decode_header},     field_decoder{"s", decode_state},
    field_decoder{"id", decode_identity},         field_decoder{"rev", decode_revisions},
    field_decoder{"load", decode_loads},          field_decoder{"obj", decode_objects},
    field_decoder{"sent", decode_region_sends},   field_decoder{"use", decode_usage},
    field_decoder{"lim", decode_limits},          field_decoder{"bye", decode_leaving_endpoints},
    field_decoder{"out", decode_outcomes},        field_decoder{"share", decode_move_shares},
    field_decoder{"mov", decode_moves},           field_decoder{"cap", decode_capacity},
    field_decoder{"lat", decode_route_latencies},
};

struct report_field {
    std::string_view key;
    std::string_view value;
};

// Removes the first field from a text.
report_field take_field(std::string_view& text) {
    const auto end = text.find(field_end);
    const auto field = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    const auto middle = field.find(key_end);
    if (middle == std::string_view::npos) reject("a field of a peer message has no value");
    return {field.substr(0, middle), field.substr(middle + 1)};
}

} // namespace

std::string encode_report(const vm_report& report) {
    field_writer out;
    out.field(header_key).name(report.vm.value).number(report.incarnation.value).number(report.sequence);
    encode_state(report, out);
    if (report.has_identity) {
        out.field("id")
            .name(report.zone.value)
            .name(report.region.value)
            .name(report.peer_address)
            .name(report.caller_address);
        if (report.processor_millicores != 0 || report.link_mbps != 0) {
            out.field("cap")
                .number(report.processor_millicores)
                .number(report.link_mbps)
                .number(report.busy_permille);
        }
    }
    if (!report.revisions.empty()) {
        auto items = out.field("rev");
        for (const auto& [kind, revision] : report.revisions)
            items.name(kind).number(revision);
    }
    if (!report.in_flight.empty()) {
        auto items = out.field("load");
        for (const auto& [tag, count] : report.in_flight)
            items.number(tag).number(not_negative(count));
    }
    if (!report.objects.empty()) {
        auto items = out.field("obj");
        for (const auto& [tag, objects] : report.objects) {
            items.number(tag);
            for (const auto object : objects)
                items.number(object);
            items.end_group();
        }
    }
    if (!report.region_sends.empty()) {
        auto items = out.field("sent");
        for (const auto& total : report.region_sends)
            items.number(total.region).number(total.sent).number(total.returned);
    }
    if (!report.usage.empty()) {
        auto items = out.field("use");
        for (const auto& [account, usage] : report.usage)
            items.name(account).signed_number(usage.asked).signed_number(usage.admitted);
    }
    if (!report.limits.empty()) encode_limits(report, out);
    if (!report.leaving_endpoints.empty()) {
        auto items = out.field("bye");
        for (const auto hash : report.leaving_endpoints)
            items.number(hash);
    }
    if (!report.outcomes.empty()) {
        auto items = out.field("out");
        for (const auto& [key, tally] : report.outcomes) {
            items.name(key);
            write_tally(items, tally);
        }
    }
    if (!report.move_shares.empty()) {
        auto items = out.field("share");
        for (const auto& [service, share] : report.move_shares)
            items.name(service).fraction(share);
    }
    if (!report.moves.empty()) encode_moves(report, out);
    if (!report.latencies.empty()) encode_route_latencies(report, out);
    return std::move(out.text);
}

vm_report decode_report(std::string_view text) {
    vm_report report;
    report.has_identity = false;
    while (!text.empty()) {
        const auto field = take_field(text);
        const auto decoder = std::find_if(field_decoders.begin(), field_decoders.end(),
                                          [&](const field_decoder& known) { return known.key == field.key; });
        if (decoder != field_decoders.end()) decoder->decode(field.value, report);
    }
    if (report.vm.empty()) reject("a peer message names no VM");
    return report;
}

report_header decode_report_header(std::string_view text) {
    const auto field = take_field(text);
    if (field.key != header_key) reject("a peer message does not begin with its header");
    return read_header(field.value);
}

std::vector<std::string> encode_report_datagrams(std::string_view own, std::span<const std::string> relayed) {
    std::vector<std::string> datagrams;
    auto next = relayed.begin();
    do {
        Json::Value reports(Json::arrayValue);
        reports.append(Json::Value(own.data(), own.data() + own.size()));
        auto bytes = own.size();
        while (next != relayed.end() &&
               (reports.size() == 1 || bytes + next->size() <= max_datagram_reports_bytes)) {
            bytes += next->size();
            reports.append(*next++);
        }
        datagrams.push_back(build_notification(std::string(report_method), reports));
    } while (next != relayed.end());
    return datagrams;
}

std::vector<std::string_view> split_report_datagram(std::string_view datagram) {
    const auto method = find_json_member(datagram, "method");
    if (!method) reject("a peer message is not a JSON object with a method");
    if (method->size() != report_method.size() + 2 ||
        method->substr(1, report_method.size()) != report_method)
        reject("unknown method in a peer message");
    const auto params = find_json_member(datagram, "params");
    auto reports = params ? split_json_array(*params) : std::nullopt;
    if (!reports || reports->empty()) reject("a peer message holds no list of reports");
    for (auto& report : *reports) {
        if (report.size() < 2 || report.front() != '"' || report.back() != '"' ||
            report.find('\\') != std::string_view::npos)
            reject("a report in a peer message is not a plain string");
        report = report.substr(1, report.size() - 2);
    }
    return *reports;
}

} // namespace lacewing
