#include "ctl/commands.h"
#include "protocol/log_story.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <iostream>

namespace lacewing::ctl {

namespace {

std::string text_of(const story_line& of) {
    auto text = fmt::format("{} {} {}", of.line.time, of.source, of.line.event);
    for (const auto& [name, value] : of.line.fields) {
        if (name == "id") continue;
        const auto* const pattern = value.find(' ') == std::string::npos ? " {}={}" : " {}=\"{}\"";
        text += fmt::format(fmt::runtime(pattern), name, value);
    }
    return text;
}

Json::Value json_of(const story_line& of) {
    Json::Value made;
    made["time"] = of.line.time;
    made["log"] = of.source;
    made["level"] = of.line.level;
    made["event"] = of.line.event;
    made["own"] = of.own;
    for (const auto& [name, value] : of.line.fields)
        made["fields"][name] = value;
    return made;
}

exit_status explain(const global_options& options, const std::string& id,
                    const std::vector<std::string>& files) {
    story_collector collector(id);
    for (const auto& file : files) {
        if (file == "-") {
            collector.read("stdin", std::cin);
            continue;
        }
        std::ifstream in(file);
        if (!in) throw command_error(exit_status::bad_input, file + ": cannot be read");
        collector.read(std::filesystem::path(file).filename().string(), in);
    }
    const auto story = collector.story();
    Json::Value answer;
    answer["id"] = id;
    answer["lines"] = Json::Value(Json::arrayValue);
    std::string text;
    for (const auto& line : story) {
        answer["lines"].append(json_of(line));
        text += (text.empty() ? "" : "\n") + text_of(line);
    }
    if (story.empty()) {
        text = fmt::format(
            "no line about {} in {} logs; lines may be left out under load, see log_lines_left_out", id,
            files.size());
    }
    print_answer(options, answer, text);
    return story.empty() ? exit_status::failed : exit_status::done;
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
