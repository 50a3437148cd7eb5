#include "ctl/commands.h"
#include "ctl/fleet.h"
#include "platform/object_codec.h"
#include "state/gateway_settings.h"
#include "state/settings.h"

#include <fmt/format.h>
#include <map>
#include <set>

namespace lacewing::ctl {

namespace {

using file_list = std::vector<std::string>;

std::vector<config_text> read_files(const file_list& files) {
    std::vector<config_text> texts;
    texts.reserve(files.size());
    for (const auto& file : files)
        texts.push_back(read_file(file));
    return texts;
}

// Checks the settings of a process, for our own interface or for the users' platform.
void check_settings(const config_text& file) {
    if (is_gateway_settings(file.text)) {
        const auto settings = parse_gateway_settings(file.text, file.file);
        platform::decode_bounds(settings.encoded_bounds);
    } else {
        parse_process_settings(file.text, file.file);
    }
}

// Checks each settings file by itself and the other files together as one configuration.
exit_status check(const global_options& options, const file_list& files) {
    auto texts = read_files(files);
    const auto settings = std::stable_partition(texts.begin(), texts.end(), [](const auto& file) {
        return !is_process_settings(file.text) && !is_gateway_settings(file.text);
    });
    for (auto file = settings; file != texts.end(); ++file)
        check_settings(*file);
    const auto settings_files = std::distance(settings, texts.end());
    texts.erase(settings, texts.end());
    Json::Value answer;
    answer["settings_files"] = Json::Int64(settings_files);
    if (texts.empty()) {
        print_answer(options, answer, fmt::format("valid: {} settings files", settings_files));
        return exit_status::done;
    }
    const auto config = merge_configuration({}, texts);
    answer["routes"] = Json::UInt64(config.routes.size());
    answer["plans"] = Json::UInt64(config.plans.size());
    answer["accounts"] = Json::UInt64(config.accounts.size());
    print_answer(options, answer,
                 fmt::format("valid: {} routes, {} plans, {} accounts", config.routes.size(),
                             config.plans.size(), config.accounts.size()));
    return exit_status::done;
}

void record_configuration(store_access& store, revision_id revision, const std::string& requested_by,
                          const std::string& evidence) {
    Json::Value list(Json::arrayValue);
    list.append(evidence);
    record_history(store, {"config/current", revision, requested_by, "configuration accepted", list});
}

exit_status apply(const global_options& options, const file_list& files) {
    const auto texts = read_files(files);
    auto store = open_store(options);
    const auto current = read_configuration(store);
    const auto text = to_json(merge_configuration(current.config, texts));
    Json::Value answer;
    if (current.object.revision.value != 0 && text == to_json(current.config)) {
        // A repetition after a lost answer also completes a missing record.
        record_configuration(store, current.object.revision, current.object.value["requested_by"].asString(),
                             "recorded by a repeated request");
        answer["changed"] = false;
        return report_write(options, current.object.revision, answer,
                            fmt::format("unchanged at revision {}", current.object.revision.value));
    }
    if (text.size() > max_config_bytes) {
        throw command_error(exit_status::bad_input,
                            fmt::format("merged configuration of {} bytes exceeds 1 MB", text.size()));
    }
    auto value = parse_json(text, "configuration");
    value["requested_by"] = options.requested_by;
    const auto revision = write_or_conflict(store, "config/current", value, current.object.revision);
    record_configuration(store, revision, options.requested_by,
                         fmt::format("valid; replaces revision {}", current.object.revision.value));
    answer["changed"] = true;
    return report_write(options, revision, answer, fmt::format("accepted at revision {}", revision.value));
}

exit_status get(const global_options& options) {
    auto store = open_store(options);
    const auto current = read_configuration(store);
    Json::Value answer;
    answer["revision"] = Json::UInt64(current.object.revision.value);
    answer["configuration"] = parse_json(to_json(current.config), "configuration");
    print_answer(options, answer, answer.toStyledString());
    return exit_status::done;
}

// Items of all sections by "section/name", as compact JSON.
std::map<std::string, std::string> flatten(const configuration& config) {
    std::map<std::string, std::string> items;
    const auto root = parse_json(to_json(config), "configuration");
    for (const auto& section : root.getMemberNames()) {
        for (const auto& item : root[section]) {
            const auto name = item.isMember("name")
                                  ? item["name"].asString()
                                  : fmt::format("{}-{}", item["from"].asString(), item["to"].asString());
            items[fmt::format("{}/{}", section, name)] = compact_json(item);
        }
    }
    return items;
}

exit_status diff(const global_options& options, const file_list& files) {
    const auto texts = read_files(files);
    auto store = open_store(options);
    const auto current = read_configuration(store);
    const auto before = flatten(current.config);
    const auto after = flatten(merge_configuration(current.config, texts));
    Json::Value answer;
    answer["revision"] = Json::UInt64(current.object.revision.value);
    answer["changes"] = Json::Value(Json::arrayValue);
    std::string text = fmt::format("against revision {}", current.object.revision.value);
    const auto add = [&](char sign, const std::string& name, const std::string& item) {
        Json::Value change;
        change["change"] = sign == '+' ? "add" : "remove";
        change["item"] = name;
        answer["changes"].append(change);
        text += fmt::format("\n{} {} {}", sign, name, item);
    };
    for (const auto& [name, item] : before) {
        const auto found = after.find(name);
        if (found == after.end() || found->second != item) add('-', name, item);
    }
    for (const auto& [name, item] : after) {
        const auto found = before.find(name);
        if (found == before.end() || found->second != item) add('+', name, item);
    }
    print_answer(options, answer, text);
    return exit_status::done;
}

} // namespace

void add_config_commands(CLI::App& app, const global_options& options, chosen_command& chosen) {
    const auto add = [&](const char* name, const char* help, auto command) {
        auto files = std::make_shared<file_list>();
        auto* sub = app.add_subcommand(name, help);
        sub->add_option("FILE", *files, "YAML or JSON with sections of a configuration")->required();
        sub->callback([&options, &chosen, files, command] {
            chosen = [=, &options] { return command(options, *files); };
        });
    };
    add("check", "Check settings files, and the other files as one complete configuration", check);
    add("apply", "Merge the sections of the files over the stored configuration", apply);
    add("diff", "Show what apply would change", diff);
    app.add_subcommand("get", "Print the stored configuration")->callback([&] {
        chosen = [&options] { return get(options); };
    });
}

} // namespace lacewing::ctl
