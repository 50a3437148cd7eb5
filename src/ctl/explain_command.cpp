#include "ctl/commands.h"
#include "protocol/log_timeline.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <iostream>

namespace lacewing::ctl {

namespace {

std::string format_entry(const timeline_entry& entry) {
    auto text = fmt::format("{} {} {}", entry.line.time, entry.source, entry.line.event);
    for (const auto& [name, value] : entry.line.fields) {
        if (name == "id") continue;
        const auto* const pattern = value.find(' ') == std::string::npos ? " {}={}" : " {}=\"{}\"";
        text += fmt::format(fmt::runtime(pattern), name, value);
    }
    return text;
}

Json::Value encode_entry(const timeline_entry& entry) {
    Json::Value encoded;
    encoded["time"] = entry.line.time;
    encoded["log"] = entry.source;
    encoded["level"] = entry.line.level;
    encoded["event"] = entry.line.event;
    encoded["own"] = entry.own;
    for (const auto& [name, value] : entry.line.fields)
        encoded["fields"][name] = value;
    return encoded;
}

exit_status explain(const global_options& options, const std::string& id,
                    const std::vector<std::string>& files) {
    timeline_collector collector(id);
    for (const auto& file : files) {
        if (file == "-") {
            collector.read("stdin", std::cin);
            continue;
        }
        std::ifstream in(file);
        if (!in) throw command_error(exit_status::bad_input, file + ": cannot be read");
        collector.read(std::filesystem::path(file).filename().string(), in);
    }
    const auto timeline = collector.timeline();
    Json::Value answer;
    answer["id"] = id;
    answer["lines"] = Json::Value(Json::arrayValue);
    std::string text;
    for (const auto& entry : timeline) {
        answer["lines"].append(encode_entry(entry));
        text += (text.empty() ? "" : "\n") + format_entry(entry);
    }
    if (timeline.empty()) {
        text = fmt::format(
            "no line about {} in {} logs; lines may be left out under load, see log_lines_left_out", id,
            files.size());
    }
    print_answer(options, answer, text);
    return timeline.empty() ? exit_status::failed : exit_status::done;
}

} // namespace

void add_explain_command(CLI::App& app, const global_options& options, chosen_command& chosen) {
    auto id = std::make_shared<std::string>();
    auto files = std::make_shared<std::vector<std::string>>();
    auto* command =
        app.add_subcommand("explain", "Print what logs of VMs tell about one request, in order of time");
    command->add_option("ID", *id, "The request's id, as the caller sent it")->required();
    command->add_option("LOG", *files, "Log files, one of each VM; - reads the standard input")->required();
    command->callback([&options, &chosen, id, files] {
        chosen = [&options, id, files] { return explain(options, *id, *files); };
    });
}

} // namespace lacewing::ctl
