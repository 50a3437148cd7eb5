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

// Position of one item of a text; items of the base have no position.
struct position {
    std::string file;
    int line = 0;
};

using position_map = std::map<std::string, position, std::less<>>;

// Configuration under construction with the positions of its items for the checks across sections.
struct draft {
    configuration config;
    position_map positions;
    std::map<std::string, std::string, std::less<>> section_files;
};

template <class Items>
auto* find_by_name(Items& items, std::string_view name) {
    const auto found = std::ranges::find_if(items, [&](const auto& item) { return item.name.value == name; });
    return found == items.end() ? nullptr : &*found;
}

[[noreturn]] void fail_at(const draft& made, const std::string& key, std::string_view field,
                          const std::string& reason) {
    const auto found = made.positions.find(key);
    const auto at = found == made.positions.end() ? position{} : found->second;
    throw config_error(at.file, at.line, fmt::format("{}.{}", key, field), reason);
}

void note_position(draft& made, const std::string& key, const yaml_reader& item) {
    made.positions[key] = {item.file(), item.line()};
}

region read_region(const yaml_reader& item) {
    item.allow({"name", "capacity"});
    return {.name = {item.name("name")}, .capacity = item.integer("capacity", 1)};
}

zone read_zone(const yaml_reader& item) {
    item.allow({"name", "region"});
    return {.name = {item.name("name")}, .region = {item.name("region")}};
}

region_link read_link(const yaml_reader& item) {
    item.allow({"from", "to", "mbit_per_s"});
    return {
        .from = {item.name("from")}, .to = {item.name("to")}, .mbit_per_s = item.integer("mbit_per_s", 1)};
}

endpoint read_endpoint(const yaml_reader& item) {
    item.allow({"name", "zone", "address", "slots", "connections", "version"});
    return {.name = {item.name("name")},
            .zone = {item.name("zone")},
            .address = item.address("address"),
            .slots = item.integer("slots", 1),
            .connections = item.integer("connections", 1),
            .version = item.has("version") ? item.name("version") : "1"};
}

route read_route(const yaml_reader& item, draft& made) {
    item.allow({"name", "open", "once", "idempotent", "endpoints"});
    route made_route{.name = {item.name("name")},
                     .open = item.flag_or("open", false),
                     .once = item.flag_or("once", false),
                     .idempotent = item.flag_or("idempotent", false),
                     .endpoints = {}};
    if (made_route.once && made_route.idempotent) {
        item.fail("idempotent", "a route is either once or idempotent, not both");
    }
    for (const auto& entry : item.list("endpoints")) {
        made_route.endpoints.push_back(read_endpoint(entry));
        note_position(made, "endpoints." + made_route.endpoints.back().name.value, entry);
    }
    if (made_route.endpoints.empty()) item.fail("endpoints", "route without endpoint");
    return made_route;
}

plan read_plan(const yaml_reader& item) {
    item.allow({"name", "rate", "burst", "routes", "weight"});
    plan made{.name = {item.name("name")},
              .rate_per_s = item.rate("rate"),
              .burst = item.integer("burst", 0),
              .routes = {},
              .weight = item.integer_or("weight", 1, 1)};
    if (made.rate_per_s > 0 && made.burst == 0) item.fail("burst", "a burst of 0 admits no request");
    for (auto& name : item.texts("routes")) {
        if (std::ranges::find(made.routes, route_name{name}) != made.routes.end()) {
            item.fail("routes", fmt::format("duplicate route '{}'", name));
        }
        made.routes.push_back({std::move(name)});
    }
    return made;
}

account read_account(const yaml_reader& item) {
    item.allow({"name", "plan"});
    if (!item.has("plan")) item.fail("plan", "account without plan");
    return {.name = {item.name("name")}, .plan = {item.name("plan")}};
}

caller_class read_class(const yaml_reader& item) {
    item.allow({"name", "weight"});
    return {.name = {item.name("name")}, .weight = item.integer("weight", 1)};
}

// Replaces one section when the text holds it; names within the section must be unique.
template <class Item, class Read>
void read_section(const yaml_reader& root, std::string_view section, draft& made, std::vector<Item>& items,
                  Read read) {
    if (!root.has(section)) return;
    const auto [at, first] = made.section_files.emplace(section, root.file());
    if (!first) root.fail(section, fmt::format("section is also in {}", at->second));
    items.clear();
    std::set<std::string> names;
    for (const auto& entry : root.list(section)) {
        auto item = read(entry);
        if constexpr (requires { item.name; }) {
            if (!names.insert(item.name.value).second) {
                entry.fail("name", fmt::format("duplicate name '{}'", item.name.value));
            }
            note_position(made, fmt::format("{}.{}", section, item.name.value), entry);
        } else {
            auto key = fmt::format("{}.{}-{}", section, item.from.value, item.to.value);
            if (!names.insert(key).second) entry.fail("to", "duplicate link");
            note_position(made, key, entry);
        }
        items.push_back(std::move(item));
    }
}

void read_text(std::string_view text, std::string_view file, draft& made) {
    const yaml_reader root(text, file);
    // The last two stand in stored configurations: the mark of the writer and the name of the operator.
    root.allow({"regions", "zones", "links", "routes", "plans", "accounts", "classes", "written_by",
                "requested_by"});
    auto& config = made.config;
    read_section(root, "regions", made, config.regions, read_region);
    read_section(root, "zones", made, config.zones, read_zone);
    read_section(root, "links", made, config.links, read_link);
    read_section(root, "routes", made, config.routes,
                 [&](const yaml_reader& item) { return read_route(item, made); });
    read_section(root, "plans", made, config.plans, read_plan);
    read_section(root, "accounts", made, config.accounts, read_account);
    read_section(root, "classes", made, config.classes, read_class);
}

void check_topology(const draft& made) {
    const auto& config = made.config;
    for (const auto& item : config.zones) {
        if (find_by_name(config.regions, item.region.value) != nullptr) continue;
        fail_at(made, "zones." + item.name.value, "region",
                fmt::format("unknown region '{}'", item.region.value));
    }
    for (const auto& item : config.links) {
        const auto key = fmt::format("links.{}-{}", item.from.value, item.to.value);
        for (const auto& [field, name] : {std::pair{"from", item.from}, std::pair{"to", item.to}}) {
            if (find_by_name(config.regions, name.value) != nullptr) continue;
            fail_at(made, key, field, fmt::format("unknown region '{}'", name.value));
        }
        if (item.from == item.to) fail_at(made, key, "to", "link from a region to itself");
    }
}

void check_endpoints(const draft& made) {
    std::set<std::string> names;
    std::map<std::string, std::string> owners;
    for (const auto& route : made.config.routes) {
        for (const auto& item : route.endpoints) {
            const auto key = "endpoints." + item.name.value;
            if (!names.insert(item.name.value).second) fail_at(made, key, "name", "duplicate name");
            const auto [owner, first] = owners.emplace(item.address, item.name.value);
            if (!first) {
                fail_at(made, key, "address",
                        fmt::format("duplicate address {}, also of '{}'", item.address, owner->second));
            }
            if (made.config.find_zone(item.zone.value) == nullptr) {
                fail_at(made, key, "zone", fmt::format("unknown zone '{}'", item.zone.value));
            }
        }
    }
}

void check_plans(const draft& made) {
    for (const auto& item : made.config.plans) {
        for (const auto& name : item.routes) {
            if (made.config.find_route(name.value) != nullptr) continue;
            fail_at(made, "plans." + item.name.value, "routes",
                    fmt::format("unknown route '{}'", name.value));
        }
    }
    for (const auto& item : made.config.accounts) {
        if (made.config.find_plan(item.plan.value) != nullptr) continue;
        fail_at(made, "accounts." + item.name.value, "plan",
                fmt::format("unknown plan '{}'", item.plan.value));
    }
}

configuration finish(draft made) {
    check_topology(made);
    check_endpoints(made);
    check_plans(made);
    return std::move(made.config);
}

Json::Value json_of(const route& item) {
    Json::Value value;
    value["name"] = item.name.value;
    value["open"] = item.open;
    value["once"] = item.once;
    value["idempotent"] = item.idempotent;
    value["endpoints"] = Json::Value(Json::arrayValue);
    for (const auto& entry : item.endpoints) {
        Json::Value made;
        made["name"] = entry.name.value;
        made["zone"] = entry.zone.value;
        made["address"] = entry.address;
        made["slots"] = Json::Int64(entry.slots);
        made["connections"] = Json::Int64(entry.connections);
        made["version"] = entry.version;
        value["endpoints"].append(made);
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
    draft made{.config = base, .positions = {}, .section_files = {}};
    read_text(text, file, made);
    return finish(std::move(made));
}

configuration merge_configuration(const configuration& base, std::span<const config_text> texts) {
    draft made{.config = base, .positions = {}, .section_files = {}};
    for (const auto& entry : texts)
        read_text(entry.text, entry.file, made);
    return finish(std::move(made));
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
