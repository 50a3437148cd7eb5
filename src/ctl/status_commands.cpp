#include "ctl/commands.h"
#include "ctl/fleet.h"

#include <algorithm>
#include <fmt/format.h>

namespace lacewing::ctl {

namespace {

exit_status status(const global_options& options) {
    if (options.vms.empty()) throw command_error(exit_status::bad_input, "--vm ip:port is required");
    const auto view = read_fleet(options);
    Json::Value answer;
    answer["members"] = Json::Value(Json::arrayValue);
    answer["unreachable"] = Json::Value(Json::objectValue);
    auto text = fmt::format("{:<16} {:<16} {:<22} {:<8} {}", "VM", "ZONE", "ADDRESS", "STATE", "REVISION");
    for (const auto& [name, member] : view.members) {
        Json::Value item;
        item["vm"] = name;
        item["zone"] = member.zone;
        item["address"] = member.address;
        item["state"] = member.state;
        item["incarnation"] = member.incarnation;
        item["revision"] = Json::UInt64(member.revision);
        answer["members"].append(item);
        text += fmt::format("\n{:<16} {:<16} {:<22} {:<8} {}", name, member.zone, member.address,
                            member.state, member.revision);
    }
    for (const auto& [address, cause] : view.unreachable) {
        answer["unreachable"][address] = cause;
        text += fmt::format("\n{} does not answer: {}", address, cause);
    }
    print_answer(options, answer, text);
    return view.members.empty() ? exit_status::failed : exit_status::done;
}

exit_status dump(const std::string& address) {
    fmt::print("{}\n", get_from_vm(address, "/dump"));
    return exit_status::done;
}

exit_status history(const global_options& options) {
    auto store = open_store(options);
    auto objects = store.list("history/");
    std::ranges::sort(objects, {}, [](const auto& object) { return object.value["revision"].asUInt64(); });
    Json::Value answer;
    answer["history"] = Json::Value(Json::arrayValue);
    std::string text;
    for (const auto& object : objects) {
        const auto& item = object.value;
        answer["history"].append(item);
        text += fmt::format("{}{} at {} by {}: {} {} {}", text.empty() ? "" : "\n", object.key,
                            item["at"].asInt64(), item["requested_by"].asString(), item["key"].asString(),
                            item["decided"].asString(), compact_json(item["evidence"]));
    }
    print_answer(options, answer, text.empty() ? "none" : text);
    return exit_status::done;
}

} // namespace

void add_status_commands(CLI::App& app, const global_options& options, chosen_command& chosen) {
    app.add_subcommand("status", "Show the fleet with the revision of each VM")->callback([&] {
        chosen = [&options] { return status(options); };
    });
    auto address = std::make_shared<std::string>();
    auto* dump_command = app.add_subcommand("dump", "Print the internal state of one VM");
    dump_command->add_option("VM", *address, "Operators' address ip:port")->required();
    dump_command->callback([&chosen, address] { chosen = [address] { return dump(*address); }; });
    app.add_subcommand("history", "List who decided what, when and on what evidence")->callback([&] {
        chosen = [&options] { return history(options); };
    });
}

} // namespace lacewing::ctl
