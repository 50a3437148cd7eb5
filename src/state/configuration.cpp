#include "state/configuration.h"

#include "state/yaml_reader.h"

#include <algorithm>
#include <fmt/format.h>
#include <json/json.h>
#include <map>
#include <set>
#include <utility>

namespace lacewing {

namespace {

// Position of an item in a text; items of the base have none.
struct position {
    std::string file;
    int line = 0;
};

using position_map = std::map<std::string, position, std::less<>>;

// Configuration under construction. The positions of its items are for errors of the checks across sections.
struct configuration_draft {
    configuration config;
    position_map positions;
    // File that each section was read from.
    std::map<std::string, std::string, std::less<>> section_files;
};

template <class Items>
auto* find_by_name(Items& items, std::string_view name) {
    const auto found = std::ranges::find_if(items, [&](const auto& item) { return item.name.value == name; });
    return found == items.end() ? nullptr : &*found;
}

// Throws config_error at the position of the item `key`.
[[noreturn]] void fail_at(const configuration_draft& draft, const std::string& key, std::string_view field,
                          const std::string& reason) {
    const auto found = draft.positions.find(key);
    const auto place = found == draft.positions.end() ? position{} : found->second;
    throw config_error(place.file, place.line, fmt::format("{}.{}", key, field), reason);
}

void record_position(configuration_draft& draft, const std::string& key, const yaml_reader& item) {
    draft.positions[key] = {item.file(), item.line()};
}

region read_region(const yaml_reader& item) {
    item.check_fields({"name", "capacity"});
    return {.name = {item.name("name")}, .capacity = item.integer("capacity", 1)};
}

zone read_zone(const yaml_reader& item) {
    item.check_fields({"name", "region"});
    return {.name = {item.name("name")}, .region = {item.name("region")}};
}

region_link read_link(const yaml_reader& item) {
    item.check_fields({"from", "to", "mbit_per_s"});
    return {
        .from = {item.name("from")}, .to = {item.name("to")}, .mbit_per_s = item.integer("mbit_per_s", 1)};
}

endpoint read_endpoint(const yaml_reader& item) {
    item.check_fields({"name", "zone", "address", "slots", "connections", "version"});
    return {.name = {item.name("name")},
            .zone = {item.name("zone")},
            .address = item.address("address"),
            .slots = item.integer("slots", 1),
            .connections = item.integer("connections", 1),
            .version = item.has("version") ? item.name("version") : "1"};
}

route read_route(const yaml_reader& item, configuration_draft& draft) {
    item.check_fields({"name", "open", "once", "idempotent", "endpoints"});
    route result{.name = {item.name("name")},
                 .open = item.boolean_or("open", false),
                 .once = item.boolean_or("once", false),
                 .idempotent = item.boolean_or("idempotent", false),
                 .endpoints = {}};
    if (result.once && result.idempotent) {
        item.fail("idempotent", "a route is either once or idempotent, not both");
    }
    for (const auto& entry : item.list("endpoints")) {
        result.endpoints.push_back(read_endpoint(entry));
        record_position(draft, "endpoints." + result.endpoints.back().name.value, entry);
    }
    if (result.endpoints.empty()) item.fail("endpoints", "route without endpoint");
    return result;
}

plan read_plan(const yaml_reader& item) {
    item.check_fields({"name", "rate", "burst", "routes", "weight"});
    plan result{.name = {item.name("name")},
                .rate_per_s = item.rate("rate"),
                .burst = item.integer("burst", 0),
                .routes = {},
                .weight = item.integer_or("weight", 1, 1)};
    if (result.rate_per_s > 0 && result.burst == 0) item.fail("burst", "a burst of 0 admits no request");
    for (auto& name : item.text_list("routes")) {
        if (std::ranges::find(result.routes, route_name{name}) != result.routes.end()) {
            item.fail("routes", fmt::format("duplicate route '{}'", name));
        }
        result.routes.push_back({std::move(name)});
    }
    return result;
}

account read_account(const yaml_reader& item) {
    item.check_fields({"name", "plan"});
    if (!item.has("plan")) item.fail("plan", "account without plan");
    return {.name = {item.name("name")}, .plan = {item.name("plan")}};
}

caller_class read_class(const yaml_reader& item) {
    item.check_fields({"name", "weight"});
    return {.name = {item.name("name")}, .weight = item.integer("weight", 1)};
}

// Replaces the items of a section if the text contains it. Names must be unique within the section.
template <class Item, class Read>
void read_section(const yaml_reader& root, std::string_view section, configuration_draft& draft,
                  std::vector<Item>& items, Read read) {
    if (!root.has(section)) return;
    const auto [read_before, first] = draft.section_files.emplace(section, root.file());
    if (!first) root.fail(section, fmt::format("section is also in {}", read_before->second));
    items.clear();
    std::set<std::string> names;
    for (const auto& entry : root.list(section)) {
        auto item = read(entry);
        if constexpr (requires { item.name; }) {
            if (!names.insert(item.name.value).second) {
                entry.fail("name", fmt::format("duplicate name '{}'", item.name.value));
            }
            record_position(draft, fmt::format("{}.{}", section, item.name.value), entry);
        } else {
            auto key = fmt::format("{}.{}-{}", section, item.from.value, item.to.value);
            if (!names.insert(key).second) entry.fail("to", "duplicate link");
            record_position(draft, key, entry);
        }
        items.push_back(std::move(item));
    }
}

void read_text(std::string_view text, std::string_view file, configuration_draft& draft) {
    const yaml_reader root(text, file);
    // Stored configurations also have the fields written_by, which identifies the write, and requested_by,
    // the operator.
    root.check_fields({"regions", "zones", "links", "routes", "plans", "accounts", "classes", "written_by",
                       "requested_by"});
    auto& config = draft.config;
    read_section(root, "regions", draft, config.regions, read_region);
    read_section(root, "zones", draft, config.zones, read_zone);
    read_section(root, "links", draft, config.links, read_link);
    read_section(root, "routes", draft, config.routes,
                 [&](const yaml_reader& item) { return read_route(item, draft); });
    read_section(root, "plans", draft, config.plans, read_plan);
    read_section(root, "accounts", draft, config.accounts, read_account);
    read_section(root, "classes", draft, config.classes, read_class);
}

// Checks that zones and links name existing regions.
void check_topology(const configuration_draft& draft) {
    const auto& config = draft.config;
    for (const auto& item : config.zones) {
        if (find_by_name(config.regions, item.region.value) != nullptr) continue;
        fail_at(draft, "zones." + item.name.value, "region",
                fmt::format("unknown region '{}'", item.region.value));
    }
    for (const auto& item : config.links) {
        const auto key = fmt::format("links.{}-{}", item.from.value, item.to.value);
        for (const auto& [field, name] : {std::pair{"from", item.from}, std::pair{"to", item.to}}) {
            if (find_by_name(config.regions, name.value) != nullptr) continue;
            fail_at(draft, key, field, fmt::format("unknown region '{}'", name.value));
        }
        if (item.from == item.to) fail_at(draft, key, "to", "link from a region to itself");
    }
}

// Checks that endpoint names and addresses are unique and that their zones exist.
void check_endpoints(const configuration_draft& draft) {
    std::set<std::string> names;
    std::map<std::string, std::string> address_owners;
    for (const auto& route : draft.config.routes) {
        for (const auto& item : route.endpoints) {
            const auto key = "endpoints." + item.name.value;
            if (!names.insert(item.name.value).second) fail_at(draft, key, "name", "duplicate name");
            const auto [owner, first] = address_owners.emplace(item.address, item.name.value);
            if (!first) {
                fail_at(draft, key, "address",
                        fmt::format("duplicate address {}, also of '{}'", item.address, owner->second));
            }
            if (draft.config.find_zone(item.zone.value) == nullptr) {
                fail_at(draft, key, "zone", fmt::format("unknown zone '{}'", item.zone.value));
            }
        }
    }
}

// Checks that plans name existing routes and accounts existing plans.
void check_plans(const configuration_draft& draft) {
    for (const auto& item : draft.config.plans) {
        for (const auto& name : item.routes) {
            if (draft.config.find_route(name.value) != nullptr) continue;
            fail_at(draft, "plans." + item.name.value, "routes",
                    fmt::format("unknown route '{}'", name.value));
        }
    }
    for (const auto& item : draft.config.accounts) {
        if (draft.config.find_plan(item.plan.value) != nullptr) continue;
        fail_at(draft, "accounts." + item.name.value, "plan",
                fmt::format("unknown plan '{}'", item.plan.value));
    }
}

// Runs the checks across sections.
configuration validate(configuration_draft draft) {
    check_topology(draft);
    check_endpoints(draft);
    check_plans(draft);
    return std::move(draft.config);
}

Json::Value json_of(const route& item) {
    Json::Value value;
    value["name"] = item.name.value;
    value["open"] = item.open;
    value["once"] = item.once;
    value["idempotent"] = item.idempotent;
    value["endpoints"] = Json::Value(Json::arrayValue);
    for (const auto& entry : item.endpoints) {
        Json::Value endpoint_value;
        endpoint_value["name"] = entry.name.value;
        endpoint_value["zone"] = entry.zone.value;
        endpoint_value["address"] = entry.address;
        endpoint_value["slots"] = Json::Int64(entry.slots);
        endpoint_value["connections"] = Json::Int64(entry.connections);
        endpoint_value["version"] = entry.version;
        value["endpoints"].append(endpoint_value);
    }
    return value;
}

Json::Value json_of(const region& item) {
    Json::Value value;
    value["name"] = item.name.value;
    value["capacity"] = Json::Int64(item.capacity);
    return value;
}

Json::Value json_of(const zone& item) {
    Json::Value value;
    value["name"] = item.name.value;
    value["region"] = item.region.value;
    return value;
}

Json::Value json_of(const region_link& item) {
    Json::Value value;
    value["from"] = item.from.value;
    value["to"] = item.to.value;
    value["mbit_per_s"] = Json::Int64(item.mbit_per_s);
    return value;
}

Json::Value json_of(const plan& item) {
    Json::Value value;
    value["name"] = item.name.value;
    value["rate"] = Json::Int64(item.rate_per_s);
    value["burst"] = Json::Int64(item.burst);
    value["weight"] = Json::Int64(item.weight);
    value["routes"] = Json::Value(Json::arrayValue);
    for (const auto& name : item.routes)
        value["routes"].append(name.value);
    return value;
}

Json::Value json_of(const account& item) {
    Json::Value value;
    value["name"] = item.name.value;
    value["plan"] = item.plan.value;
    return value;
}

Json::Value json_of(const caller_class& item) {
    Json::Value value;
    value["name"] = item.name.value;
    value["weight"] = Json::Int64(item.weight);
    return value;
}

template <class Item>
Json::Value json_list(const std::vector<Item>& items) {
    Json::Value list(Json::arrayValue);
    for (const auto& item : items)
        list.append(json_of(item));
    return list;
}

std::string error_text(const std::string& file, int line, const std::string& field,
                       const std::string& reason) {
    auto text = fmt::format("{}:{}: ", file, line);
    if (!field.empty()) text += field + ": ";
    return text + reason;
}

} // namespace

config_error::config_error(std::string file, int line, std::string field, std::string reason)
    : std::runtime_error(error_text(file, line, field, reason)), file_(std::move(file)), line_(line),
      field_(std::move(field)), reason_(std::move(reason)) {}

const route* configuration::find_route(std::string_view name) const {
    return find_by_name(routes, name);
}

const plan* configuration::find_plan(std::string_view name) const {
    return find_by_name(plans, name);
}

const account* configuration::find_account(std::string_view name) const {
    return find_by_name(accounts, name);
}

const zone* configuration::find_zone(std::string_view name) const {
    return find_by_name(zones, name);
}

configuration parse_configuration(std::string_view text, std::string_view file) {
    return merge_configuration(configuration{}, text, file);
}

configuration merge_configuration(const configuration& base, std::string_view text, std::string_view file) {
    configuration_draft draft{.config = base, .positions = {}, .section_files = {}};
    read_text(text, file, draft);
    return validate(std::move(draft));
}

configuration merge_configuration(const configuration& base, std::span<const config_text> texts) {
    configuration_draft draft{.config = base, .positions = {}, .section_files = {}};
    for (const auto& entry : texts)
        read_text(entry.text, entry.file, draft);
    return validate(std::move(draft));
}

std::string to_json(const configuration& config) {
    Json::Value root(Json::objectValue);
    root["regions"] = json_list(config.regions);
    root["zones"] = json_list(config.zones);
    root["links"] = json_list(config.links);
    root["routes"] = json_list(config.routes);
    root["plans"] = json_list(config.plans);
    root["accounts"] = json_list(config.accounts);
    root["classes"] = json_list(config.classes);
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, root);
}

} // namespace lacewing
