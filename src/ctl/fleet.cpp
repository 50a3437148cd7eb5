#include "ctl/fleet.h"

#include "transport/monotonic_clock.h"

#include <chrono>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <thread>

namespace lacewing::ctl {

namespace {

using namespace literals;

constexpr time_ms vm_timeout = 1_s;
constexpr std::chrono::milliseconds poll_interval{50};

fleet_member parse_member(const Json::Value& item) {
    return {item["vm"].asString(),    item["zone"].asString(),        item["address"].asString(),
            item["state"].asString(), item["incarnation"].asString(), item["revision"].asUInt64()};
}

} // namespace

std::string get_from_vm(const std::string& address, const std::string& target) {
    boost::asio::io_context loop;
    http_client client(loop.get_executor(), address);
    const auto answer = request_and_wait(loop, client, "GET", target, {}, "", vm_timeout);
    if (answer.result_int() != 200) {
        throw http_error(http_failure::malformed_answer,
                         fmt::format("{}: answered {}", address, answer.result_int()));
    }
    return answer.body();
}

void merge_fleet(fleet_view& view, const Json::Value& answer) {
    for (const auto& item : answer["members"]) {
        auto reported = parse_member(item);
        auto& known = view.members[reported.vm];
        reported.revision = std::max(reported.revision, known.revision);
        known = std::move(reported);
    }
    auto& responder = view.members[answer["vm"].asString()];
    responder.vm = answer["vm"].asString();
    responder.revision = std::max<std::uint64_t>(responder.revision, answer["revision"].asUInt64());
    // A VM that answers is alive, whatever its peers report, unless it is leaving.
    if (responder.state != "leaving") responder.state = "alive";
}

propagation_report evaluate_propagation(const fleet_view& view, std::uint64_t revision) {
    propagation_report report;
    for (const auto& [name, member] : view.members) {
        if (member.state == "leaving" || member.state == "dead") continue;
        (member.revision >= revision ? report.in_force : report.cut_off).push_back(name);
    }
    for (const auto& [address, cause] : view.unreachable)
        report.cut_off.push_back(address);
    return report;
}

fleet_view read_fleet(const global_options& options) {
    fleet_view view;
    for (const auto& address : options.vms) {
        try {
            merge_fleet(view, parse_json(get_from_vm(address, "/fleet"), address));
        } catch (const std::exception& e) {
            view.unreachable[address] = e.what();
        }
    }
    return view;
}

propagation_report await_propagation(const global_options& options, std::uint64_t revision) {
    const auto deadline = monotonic_now() + time_ms{options.wait_s * 1000LL};
    while (true) {
        auto report = evaluate_propagation(read_fleet(options), revision);
        if (report.cut_off.empty() || monotonic_now().count >= deadline.count) return report;
        std::this_thread::sleep_for(poll_interval);
    }
}

exit_status report_write(const global_options& options, revision_id revision, Json::Value answer,
                         const std::string& text) {
    answer["revision"] = Json::UInt64(revision.value);
    if (options.vms.empty()) {
        print_answer(options, answer, text);
        return exit_status::done;
    }
    const auto start = monotonic_now();
    const auto report = await_propagation(options, revision.value);
    const auto waited = monotonic_now() - start;
    answer["in_force"] = Json::Value(Json::arrayValue);
    answer["cut_off"] = Json::Value(Json::arrayValue);
    for (const auto& name : report.in_force)
        answer["in_force"].append(name);
    for (const auto& name : report.cut_off)
        answer["cut_off"].append(name);
    answer["waited_ms"] = Json::Int64(waited.count);
    auto line = fmt::format("{}\nin force on {} of {} VMs after {} ms", text, report.in_force.size(),
                            report.in_force.size() + report.cut_off.size(), waited.count);
    if (!report.cut_off.empty()) line += fmt::format("; cut off: {}", fmt::join(report.cut_off, ", "));
    print_answer(options, answer, line);
    return report.cut_off.empty() ? exit_status::done : exit_status::not_in_force;
}

} // namespace lacewing::ctl
