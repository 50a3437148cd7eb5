#include "state/yaml_reader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <optional>
#include <set>

namespace lacewing {

namespace {

// Tag that yaml-cpp gives to quoted scalars.
constexpr std::string_view quoted_tag = "!";

// Integer with a unit; the unit may be empty.
struct amount {
    std::int64_t value;
    std::string_view unit;
};

// Splits a text such as "120/s" into its integer and its unit.
std::optional<amount> split_amount(std::string_view text) {
    amount result{};
    const auto* end = text.data() + text.size();
    const auto [parse_end, status] = std::from_chars(text.data(), end, result.value);
    if (status != std::errc{}) return std::nullopt;
    result.unit = text.substr(static_cast<std::size_t>(parse_end - text.data()));
    while (result.unit.starts_with(' '))
        result.unit.remove_prefix(1);
    return result;
}

bool is_name_char(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '_' || c == '-';
}

YAML::Node load(std::string_view text, std::string_view file) {
    if (text.size() > max_config_bytes) {
        throw config_error(std::string(file), 0, "",
                           fmt::format("text of {} bytes exceeds {}", text.size(), max_config_bytes));
    }
    try {
        return YAML::Load(std::string(text));
    } catch (const YAML::Exception& e) {
        throw config_error(std::string(file), e.mark.is_null() ? 0 : e.mark.line + 1, "",
                           "syntax error: " + e.msg);
    }
}

} // namespace

bool is_socket_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) return false;
    auto host = text.substr(0, colon);
    const auto port = text.substr(colon + 1);
    std::uint32_t port_number = 0;
    const auto [parse_end, status] = std::from_chars(port.data(), port.data() + port.size(), port_number);
    if (status != std::errc{} || parse_end != port.data() + port.size()) return false;
    if (port_number == 0 || port_number > 65535) return false;
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
        return inet_pton(AF_INET6, std::string(host).c_str(), parsed.data()) == 1;
    }
    return inet_pton(AF_INET, std::string(host).c_str(), parsed.data()) == 1;
}

yaml_reader::yaml_reader(std::string_view text, std::string_view file)
    : yaml_reader(load(text, file), std::string(file), "") {}

yaml_reader::yaml_reader(const YAML::Node& node, std::string file, std::string path)
    : node_(node), file_(std::move(file)), path_(std::move(path)) {
    // reset() makes this node refer to a new map; an assignment would change the node of the parsed document.
    if (!node_.IsDefined() || node_.IsNull()) node_.reset(YAML::Node(YAML::NodeType::Map));
    if (!node_.IsMap()) throw config_error(file_, line_of(node_), path_, "expected a map of fields");
}

int yaml_reader::line_of(const YAML::Node& node) {
    const auto mark = node.Mark();
    return mark.is_null() ? 0 : mark.line + 1;
}

std::string yaml_reader::path_of(std::string_view field) const {
    if (path_.empty()) return std::string(field);
    if (field.empty()) return path_;
    return fmt::format("{}.{}", path_, field);
}

// Iterates over the fields, because indexing a const node with an absent key allocates an invalid node.
YAML::Node yaml_reader::find(std::string_view field) const {
    for (const auto& entry : node_) {
        if (entry.first.IsScalar() && entry.first.Scalar() == field) return entry.second;
    }
    return YAML::Node(YAML::NodeType::Undefined);
}

YAML::Node yaml_reader::find_required(std::string_view field) const {
    auto node = find(field);
    if (!node.IsDefined() || node.IsNull()) fail(field, "missing field");
    return node;
}

int yaml_reader::line(std::string_view field) const {
    for (const auto& entry : node_) {
        if (entry.first.IsScalar() && entry.first.Scalar() == field) return line_of(entry.first);
    }
    return line();
}

void yaml_reader::fail(std::string_view field, const std::string& reason) const {
    throw config_error(file_, line(field), path_of(field), reason);
}

void yaml_reader::check_fields(std::initializer_list<std::string_view> fields) const {
    std::set<std::string> seen;
    for (const auto& entry : node_) {
        const auto field_line = line_of(entry.first);
        if (!entry.first.IsScalar()) throw config_error(file_, field_line, path_, "field name is not a text");
        const auto& name = entry.first.Scalar();
        if (std::ranges::find(fields, name) == fields.end()) {
            throw config_error(file_, field_line, path_of(name), "unknown field");
        }
        if (!seen.insert(name).second)
            throw config_error(file_, field_line, path_of(name), "field is given twice");
    }
}

bool yaml_reader::has(std::string_view field) const {
    return find(field).IsDefined();
}

std::string yaml_reader::scalar(std::string_view field, std::string_view expected) const {
    const auto node = find_required(field);
    if (!node.IsScalar()) fail(field, fmt::format("expected {}", expected));
    return node.Scalar();
}

std::string yaml_reader::text(std::string_view field) const {
    auto value = scalar(field, "a text");
    if (value.empty()) fail(field, "empty text");
    return value;
}

std::string yaml_reader::text_or(std::string_view field, std::string_view default_value) const {
    return has(field) ? text(field) : std::string(default_value);
}

std::string yaml_reader::name(std::string_view field) const {
    auto value = text(field);
    if (!std::ranges::all_of(value, is_name_char)) {
        fail(field, fmt::format("'{}' is not a name of letters, digits, '.', '_' and '-'", value));
    }
    return value;
}

std::string yaml_reader::address(std::string_view field) const {
    auto value = text(field);
    if (!is_socket_address(value)) fail(field, fmt::format("'{}' is not an address ip:port", value));
    return value;
}

std::int64_t yaml_reader::integer(std::string_view field, std::int64_t minimum) const {
    const auto value = scalar(field, "an integer");
    const auto parsed = split_amount(value);
    if (!parsed || !parsed->unit.empty() || find_required(field).Tag() == quoted_tag) {
        fail(field, fmt::format("'{}' is not an integer", value));
    }
    if (parsed->value < minimum || parsed->value > max_integer) {
        fail(field, fmt::format("{} is outside {} to {}", parsed->value, minimum, max_integer));
    }
    return parsed->value;
}

std::int64_t yaml_reader::integer_or(std::string_view field, std::int64_t minimum,
                                     std::int64_t default_value) const {
    return has(field) ? integer(field, minimum) : default_value;
}

double yaml_reader::number_or(std::string_view field, double default_value) const {
    if (!has(field)) return default_value;
    const auto value = scalar(field, "a number");
    double parsed = 0;
    const auto [end, failure] = std::from_chars(value.data(), value.data() + value.size(), parsed);
    if (failure != std::errc{} || end != value.data() + value.size() || !(parsed >= 0) ||
        parsed > max_integer)
        fail(field, fmt::format("'{}' is not a number from 0 to {}", value, max_integer));
    return parsed;
}

bool yaml_reader::boolean_or(std::string_view field, bool default_value) const {
    if (!has(field)) return default_value;
    const auto value = scalar(field, "true or false");
    if (find_required(field).Tag() == quoted_tag || (value != "true" && value != "false")) {
        fail(field, fmt::format("'{}' is neither true nor false", value));
    }
    return value == "true";
}

std::int64_t yaml_reader::rate(std::string_view field) const {
    const auto value = scalar(field, "a rate");
    const auto parsed = split_amount(value);
    if (!parsed) fail(field, fmt::format("'{}' is not a rate such as 120 or 120/s", value));
    if (parsed->value < 0) fail(field, fmt::format("negative rate {}", value));
    std::int64_t unit_seconds = 0;
    if (parsed->unit.empty() || parsed->unit == "/s") unit_seconds = 1;
    if (parsed->unit == "/min") unit_seconds = 60;
    if (parsed->unit == "/h") unit_seconds = 3600;
    if (unit_seconds == 0)
        fail(field, fmt::format("unit '{}' is not a unit of a rate (/s, /min, /h)", parsed->unit));
    if (parsed->value % unit_seconds != 0) {
        fail(field, fmt::format("{} is not a whole number of requests per second", value));
    }
    const auto per_second = parsed->value / unit_seconds;
    if (per_second > max_integer) fail(field, fmt::format("{} exceeds {}/s", value, max_integer));
    return per_second;
}

time_ms yaml_reader::duration_or(std::string_view field, duration_unit unit, time_ms default_value) const {
    if (!has(field)) return default_value;
    const auto value = scalar(field, "a duration");
    const auto parsed = split_amount(value);
    if (!parsed) fail(field, fmt::format("'{}' is not a duration such as 900s", value));
    std::int64_t unit_ms = 0;
    if (parsed->unit.empty()) unit_ms = unit == duration_unit::seconds ? 1000 : 1;
    if (parsed->unit == "ms") unit_ms = 1;
    if (parsed->unit == "s") unit_ms = 1000;
    if (parsed->unit == "min") unit_ms = 60'000;
    if (parsed->unit == "h") unit_ms = 3'600'000;
    if (unit_ms == 0) {
        fail(field, fmt::format("unit '{}' is not a unit of a duration (ms, s, min, h)", parsed->unit));
    }
    if (parsed->value < 0 || parsed->value > max_integer) {
        fail(field, fmt::format("{} is outside 0 to {}", value, max_integer));
    }
    return {parsed->value * unit_ms};
}

yaml_reader yaml_reader::map(std::string_view field) const {
    return {find(field), file_, path_of(field)};
}

std::vector<yaml_reader> yaml_reader::list(std::string_view field) const {
    const auto node = find(field);
    std::vector<yaml_reader> items;
    if (!node.IsDefined() || node.IsNull()) return items;
    if (!node.IsSequence()) fail(field, "expected a list");
    for (const auto& item : node) {
        items.push_back(yaml_reader(item, file_, fmt::format("{}[{}]", path_of(field), items.size())));
    }
    return items;
}

std::vector<std::string> yaml_reader::text_list(std::string_view field) const {
    const auto node = find(field);
    std::vector<std::string> items;
    if (!node.IsDefined() || node.IsNull()) return items;
    if (!node.IsSequence()) fail(field, "expected a list of texts");
    for (const auto& item : node) {
        if (!item.IsScalar() || item.Scalar().empty()) {
            throw config_error(file_, line_of(item), fmt::format("{}[{}]", path_of(field), items.size()),
                               "expected a non-empty text");
        }
        items.push_back(item.Scalar());
    }
    return items;
}

} // namespace lacewing
