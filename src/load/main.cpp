#include <utility>

#include "load/generator.h"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <json/reader.h>
#include <json/writer.h>
#include <optional>
#include <sstream>

using namespace lacewing;
using namespace lacewing::load;

namespace {

// Arguments of the options that name files, and of --offered, which needs the configuration.
struct file_options {
    std::vector<std::string> configs;
    std::string keys;
    std::vector<std::string> offered;
    std::string out;
    std::string plot;
    std::string compare;
    std::string marks;
};

std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw std::runtime_error(path + ": cannot be read");
    return {std::istreambuf_iterator<char>(in), {}};
}

void write_file(const std::string& path, const std::string& text) {
    std::ofstream out(path, std::ios::binary);
    out << text;
    out.flush();
    if (!out) throw std::runtime_error(path + ": cannot be written");
}

// Reads keys by account from a file with lines ACCOUNT KEY.
std::map<std::string, std::string> read_keys(const std::string& path) {
    std::map<std::string, std::string> keys;
    std::istringstream lines(read_file(path));
    std::string account;
    std::string key;
    while (lines >> account >> key)
        keys[account] = key;
    return keys;
}

// Fills in what comes from files: configuration, keys, and offered rates, whose accounts must be configured.
void load_input_files(load_options& options, const file_options& files) {
    std::vector<config_text> texts;
    for (const auto& path : files.configs)
        texts.push_back({path, read_file(path)});
    options.config = merge_configuration({}, texts);
    options.keys = read_keys(files.keys);
    for (const auto& text : files.offered) {
        const auto equals = text.find('=');
        const auto account = text.substr(0, equals);
        if (equals == std::string::npos || options.config.find_account(account) == nullptr) {
            throw std::runtime_error(fmt::format("--offered '{}' is not ACCOUNT=RATE", text));
        }
        options.offered[account] = std::stod(text.substr(equals + 1));
    }
}

load_result run(load_options options) {
    boost::asio::io_context loop(1);
    generator load_generator(loop, std::move(options));
    std::optional<load_result> result;
    std::exception_ptr problem;
    boost::asio::co_spawn(loop, load_generator.run(),
                          [&](const std::exception_ptr& thrown, load_result finished) {
                              problem = thrown;
                              result = std::move(finished);
                              loop.stop();
                          });
    loop.run();
    if (problem) std::rethrow_exception(problem);
    return std::move(*result);
}

Json::Value read_result(const std::string& path) {
    std::istringstream in(read_file(path));
    Json::Value value;
    in >> value;
    return value;
}

// Prints and writes the result.
// @return Exit status.
int report(const load_result& result, const file_options& files) {
    fmt::print("{}", summary(result));
    const auto json = to_json(result);
    if (!files.marks.empty()) fmt::print("{}", effect_table(result, read_file(files.marks)));
    if (!files.compare.empty()) fmt::print("{}", compare(read_result(files.compare), json));
    if (!files.out.empty()) write_file(files.out, json.toStyledString());
    if (!files.plot.empty()) write_file(files.plot, plot_svg(result));
    return result.mismatched_answers() == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app("Open-loop load generator of lacewingplank", "lacewing-load");
    app.set_version_flag("--version", "lacewing-load " LACEWING_VERSION);
    app.footer("Exit statuses: 0 done, 1 failed or an answer belonged to another request, 2 bad input.");
    load_options options;
    file_options files;
    bool quiet = false;
    app.add_option("--entry", options.entries, "Caller address ip:port of any VM; may be repeated")
        ->required();
    app.add_option("--config", files.configs, "Configuration files that name accounts, plans and routes")
        ->required();
    app.add_option("--keys", files.keys, "File with lines ACCOUNT KEY")->required();
    app.add_option("--rate-factor", options.rate_factor, "Offered rate as a fraction of the plan's rate")
        ->capture_default_str()
        ->check(CLI::Range(0.0, 100.0));
    app.add_option("--offered", files.offered, "ACCOUNT=RATE per second, instead of the fraction");
    app.add_option("--duration", options.duration_s, "Seconds")
        ->capture_default_str()
        ->check(CLI::Range(0.1, 86400.0));
    app.add_option("--body-bytes", options.body_sizes, "Body sizes, drawn with equal probability")
        ->delimiter(',')
        ->check(CLI::Range(0, 268435456));
    app.add_option("--deadline-ms", options.deadline.count)
        ->capture_default_str()
        ->check(CLI::Range(1, 60000));
    app.add_option("--seed", options.seed)->capture_default_str();
    app.add_flag("--quiet", quiet, "No progress lines");
    app.add_option("--out", files.out, "Write the result as JSON");
    app.add_option("--plot", files.plot, "Write an SVG of rates and latencies per account");
    app.add_option("--compare", files.compare, "Result of an earlier --out to compare with");
    app.add_option(
        "--marks", files.marks,
        "File read at the end, lines LABEL BOOT_MS account|route|endpoint NAME: prints the time from "
        "each mark to the last answered request");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : 2;
    }
    options.progress = !quiet;
    try {
        load_input_files(options, files);
    } catch (const std::exception& e) {
        fmt::print(stderr, "{}\n", e.what());
        return 2;
    }
    try {
        return report(run(std::move(options)), files);
    } catch (const std::exception& e) {
        fmt::print(stderr, "failed: {}\n", e.what());
        return 1;
    }
}
