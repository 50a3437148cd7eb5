#include "ctl/commands.h"
#include "ctl/fleet.h"

#include "transport/monotonic_clock.h"

#include <algorithm>
#include <fmt/format.h>

namespace lacewing::ctl {

namespace {

constexpr int default_deadline_s = 600;

struct drain_start_request {
    std::string endpoint;
    std::string zone;
    std::string region;
    int deadline_s = default_deadline_s;
    std::string id;
};

struct version_move_request {
    std::string route;
    std::string from;
    std::string to;
    int deadline_s = default_deadline_s;
    std::vector<int> cap_percent{1, 5, 25, 50, 100};
    std::string id;
};

bool has_ended(const Json::Value& value) {
    return value["state"] == "done" || value["state"] == "taken_back";
}

Json::Value new_move(const global_options& options, const std::string& id, int deadline_s) {
    Json::Value value;
    value["id"] = id;
    value["deadline_s"] = deadline_s;
    value["requested_by"] = options.requested_by;
    value["requested_at"] = Json::Int64(unix_seconds_now());
    value["state"] = "requested";
    value["result"] = "";
    value["evidence"] = Json::Value(Json::arrayValue);
    return value;
}

std::string target_json(const Json::Value& value) {
    return compact_json(value.isMember("target") ? value["target"] : value["route"]);
}

// Creates the object of a drain or version move, or replaces one that has ended. A pending one with the same
// parameters means that the command was repeated; it is left unchanged.
exit_status request_move(const global_options& options, store_access& store, const std::string& key,
                         const Json::Value& value) {
    const auto stored = store.get(key);
    Json::Value answer;
    answer["id"] = value["id"];
    if (stored && !has_ended(stored->value)) {
        if (target_json(stored->value) != target_json(value) || stored->value["from"] != value["from"] ||
            stored->value["to"] != value["to"] || stored->value["deadline_s"] != value["deadline_s"]) {
            throw command_error(exit_status::conflict,
                                fmt::format("{}: conflict, a different request is {} at revision {}", key,
                                            stored->value["state"].asString(), stored->revision.value));
        }
        answer["changed"] = false;
        return report_write(options, stored->revision, answer,
                            fmt::format("{} is already {} at revision {}", key,
                                        stored->value["state"].asString(), stored->revision.value));
    }
    const auto revision = write_or_conflict(store, key, value, stored ? stored->revision : revision_id{});
    Json::Value evidence(Json::arrayValue);
    evidence.append("request " + compact_json(value));
    record_history(store, {key, revision, options.requested_by, "requested", evidence});
    answer["changed"] = true;
    return report_write(options, revision, answer,
                        fmt::format("{} requested at revision {}", key, revision.value));
}

exit_status cancel_move(const global_options& options, const std::string& key) {
    auto store = open_store(options);
    const auto stored = store.get(key);
    if (!stored) throw command_error(exit_status::bad_input, key + " does not exist");
    auto value = stored->value;
    Json::Value answer;
    answer["id"] = value["id"];
    if (value["state"] == "taken_back") {
        answer["changed"] = false;
        return report_write(options, stored->revision, answer, key + " is already taken back");
    }
    if (has_ended(value)) {
        throw command_error(exit_status::conflict,
                            fmt::format("{}: already {} at revision {}", key, value["state"].asString(),
                                        stored->revision.value));
    }
    value["state"] = "taken_back";
    value["result"] = "cancelled by " + options.requested_by;
    // Stored as a step, like those of the move driver, so that a VM writes the audit record if this command
    // is interrupted after its write.
    value["step"] = value["step"].asInt64() + 1;
    value["last_step"] = "taken_back";
    value["evidence"].append("taken_back: cancelled by " + options.requested_by);
    const auto revision = write_or_conflict(store, key, value, stored->revision);
    Json::Value evidence(Json::arrayValue);
    evidence.append(
        fmt::format("was {} at revision {}", stored->value["state"].asString(), stored->revision.value));
    record_history(store, {key, revision, options.requested_by, "taken_back", evidence});
    answer["changed"] = true;
    return report_write(options, revision, answer,
                        fmt::format("{} taken back at revision {}", key, revision.value));
}

// Returns a drained target to service by deleting the drain's object.
exit_status end_drain(const global_options& options, const std::string& key) {
    auto store = open_store(options);
    const auto stored = store.get(key);
    if (!stored) throw command_error(exit_status::bad_input, key + " does not exist");
    if (!has_ended(stored->value)) {
        throw command_error(exit_status::conflict,
                            fmt::format("{}: still {} at revision {}, use cancel", key,
                                        stored->value["state"].asString(), stored->revision.value));
    }
    const auto result = store.erase(key, stored->revision);
    if (!result.written) {
        throw command_error(exit_status::conflict,
                            fmt::format("{}: conflict, revision {} won over {}", key, result.revision.value,
                                        stored->revision.value));
    }
    Json::Value evidence(Json::arrayValue);
    evidence.append(
        fmt::format("was {} at revision {}", stored->value["state"].asString(), stored->revision.value));
    record_history(store, {key, result.revision, options.requested_by, "returned_to_service", evidence});
    Json::Value answer;
    answer["id"] = stored->value["id"];
    answer["changed"] = true;
    return report_write(options, result.revision, answer,
                        fmt::format("{} returned to service at revision {}", key, result.revision.value));
}

exit_status show_moves(const global_options& options, const std::string& prefix, const std::string& id) {
    auto store = open_store(options);
    Json::Value answer;
    answer["moves"] = Json::Value(Json::arrayValue);
    std::string text;
    for (const auto& object : store.list(prefix)) {
        if (!id.empty() && object.key != prefix + id) continue;
        auto item = object.value;
        item["revision"] = Json::UInt64(object.revision.value);
        answer["moves"].append(item);
        text += fmt::format("{}{} {} by {} at revision {} {}", text.empty() ? "" : "\n", object.key,
                            item["state"].asString(), item["requested_by"].asString(), object.revision.value,
                            item["result"].asString());
    }
    if (!id.empty() && answer["moves"].empty()) {
        throw command_error(exit_status::bad_input, prefix + id + " does not exist");
    }
    print_answer(options, answer, text.empty() ? "none" : text);
    return exit_status::done;
}

bool has_endpoint(const configuration& config, const std::string& name) {
    return std::ranges::any_of(config.routes, [&](const auto& item) {
        return std::ranges::any_of(item.endpoints, [&](const auto& e) { return e.name.value == name; });
    });
}

bool has_version(const route& item, const std::string& version) {
    return std::ranges::any_of(item.endpoints, [&](const auto& e) { return e.version == version; });
}

exit_status start_drain(const global_options& options, const drain_start_request& request) {
    auto store = open_store(options);
    const auto config = read_configuration(store).config;
    std::string kind;
    std::string name;
    bool known = false;
    if (!request.endpoint.empty()) {
        kind = "endpoint";
        name = request.endpoint;
        known = has_endpoint(config, name);
    } else if (!request.zone.empty()) {
        kind = "zone";
        name = request.zone;
        known = config.find_zone(name) != nullptr;
    } else {
        kind = "region";
        name = request.region;
        known =
            std::ranges::any_of(config.regions, [&](const auto& item) { return item.name.value == name; });
    }
    if (!known) {
        throw command_error(exit_status::bad_input,
                            fmt::format("{} '{}' is not in the stored configuration", kind, name));
    }
    const auto id = request.id.empty() ? fmt::format("{}-{}", kind, name) : request.id;
    auto value = new_move(options, id, request.deadline_s);
    value["target"]["kind"] = kind;
    value["target"]["name"] = name;
    return request_move(options, store, "drains/" + id, value);
}

exit_status start_version(const global_options& options, const version_move_request& request) {
    auto store = open_store(options);
    const auto config = read_configuration(store).config;
    const auto* route = config.find_route(request.route);
    if (route == nullptr) {
        throw command_error(exit_status::bad_input, fmt::format("route '{}' is not known", request.route));
    }
    for (const auto& version : {request.from, request.to}) {
        if (has_version(*route, version)) continue;
        throw command_error(exit_status::bad_input, fmt::format("route '{}' has no endpoint of version '{}'",
                                                                request.route, version));
    }
    const auto& caps = request.cap_percent;
    if (request.from == request.to || !std::ranges::is_sorted(caps) || caps.back() != 100) {
        throw command_error(exit_status::bad_input, "versions must differ and caps must rise to 100");
    }
    const auto id =
        request.id.empty() ? fmt::format("{}-{}-{}", request.route, request.from, request.to) : request.id;
    auto value = new_move(options, id, request.deadline_s);
    value["route"] = request.route;
    value["from"] = request.from;
    value["to"] = request.to;
    for (const auto percent : caps)
        value["cap_percent"].append(percent);
    return request_move(options, store, "moves/" + id, value);
}

// Adds the status and cancel commands, which are the same for drains and version moves.
void add_status_and_cancel(CLI::App& group, const global_options& options, chosen_command& chosen,
                           const std::string& prefix) {
    auto id = std::make_shared<std::string>();
    auto* status = group.add_subcommand("status", "Show one or all");
    status->add_option("ID", *id);
    status->callback([&options, &chosen, id, prefix] {
        chosen = [&options, id, prefix] { return show_moves(options, prefix, *id); };
    });
    auto* cancel_command = group.add_subcommand("cancel", "Take back");
    cancel_command->add_option("ID", *id)->required();
    cancel_command->callback([&options, &chosen, id, prefix] {
        chosen = [&options, id, prefix] { return cancel_move(options, prefix + *id); };
    });
}

} // namespace

void add_move_commands(CLI::App& app, const global_options& options, chosen_command& chosen) {
    const auto deadline_range_s = CLI::Range(1, 7 * 24 * 3600);
    auto* drain = app.add_subcommand("drain", "Take an endpoint, a zone or a region out of service");
    drain->require_subcommand(1);
    drain->fallthrough();
    auto drain_options = std::make_shared<drain_start_request>();
    auto* start_command = drain->add_subcommand("start", "Request a drain");
    auto* target = start_command->add_option_group("target");
    target->add_option("--endpoint", drain_options->endpoint);
    target->add_option("--zone", drain_options->zone);
    target->add_option("--region", drain_options->region);
    target->require_option(1);
    start_command->add_option("--deadline", drain_options->deadline_s, "Seconds")->check(deadline_range_s);
    start_command->add_option("--id", drain_options->id, "Default: kind and name of the target");
    start_command->callback([&options, &chosen, drain_options] {
        chosen = [&options, drain_options] { return start_drain(options, *drain_options); };
    });
    add_status_and_cancel(*drain, options, chosen, "drains/");
    auto drain_id = std::make_shared<std::string>();
    auto* end_command = drain->add_subcommand("end", "Return a drained target to service");
    end_command->add_option("ID", *drain_id)->required();
    end_command->callback([&options, &chosen, drain_id] {
        chosen = [&options, drain_id] { return end_drain(options, "drains/" + *drain_id); };
    });

    auto* version = app.add_subcommand("version", "Move a route's traffic from one version to another");
    version->require_subcommand(1);
    version->fallthrough();
    auto move_options = std::make_shared<version_move_request>();
    auto* move_command = version->add_subcommand("start", "Request a version move");
    move_command->add_option("ROUTE", move_options->route)->required();
    move_command->add_option("--from", move_options->from, "Version that serves now")->required();
    move_command->add_option("--to", move_options->to, "New version")->required();
    move_command->add_option("--deadline", move_options->deadline_s, "Seconds")->check(deadline_range_s);
    move_command->add_option("--caps", move_options->cap_percent, "Percent of the route per stage")
        ->delimiter(',')
        ->check(CLI::Range(1, 100));
    move_command->add_option("--id", move_options->id, "Default: route and versions");
    move_command->callback([&options, &chosen, move_options] {
        chosen = [&options, move_options] { return start_version(options, *move_options); };
    });
    add_status_and_cancel(*version, options, chosen, "moves/");
}

} // namespace lacewing::ctl
