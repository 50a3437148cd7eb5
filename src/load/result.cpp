#include "load/result.h"

#include <algorithm>
#include <fmt/format.h>
#include <sstream>
#include <stdexcept>

namespace lacewing::load {

namespace {

double to_ms(std::int64_t microseconds) {
    return static_cast<double>(microseconds) / 1000;
}

Json::Value latency_json(const histogram& latency) {
    Json::Value value;
    value["p50_ms"] = to_ms(latency.quantile(0.5));
    value["p90_ms"] = to_ms(latency.quantile(0.9));
    value["p99_ms"] = to_ms(latency.quantile(0.99));
    value["p999_ms"] = to_ms(latency.quantile(0.999));
    return value;
}

std::string format_change(double before, double after) {
    if (before == 0) return fmt::format("{:.2f} -> {:.2f}", before, after);
    return fmt::format("{:.2f} -> {:.2f} ({:+.1f} %)", before, after, (after - before) / before * 100);
}

// Arrival of the last answered request of the account, route or endpoint, in milliseconds since boot; 0 when
// none was.
std::int64_t last_answered_request_ms(const load_result& result, const std::string& kind,
                                      const std::string& name) {
    if (kind == "endpoint") {
        const auto found = result.endpoint_last_ms.find(name);
        return found == result.endpoint_last_ms.end() ? 0 : found->second;
    }
    const auto slash = name.find('/');
    const auto account = result.accounts.find(name.substr(0, slash));
    if (account == result.accounts.end()) return 0;
    std::int64_t last = 0;
    for (const auto& [route, arrival_ms] : account->second.last_ok_arrival_ms) {
        if (slash == std::string::npos || route == name.substr(slash + 1)) last = std::max(last, arrival_ms);
    }
    return last;
}

} // namespace

std::uint64_t load_result::count(const std::string& outcome) const {
    std::uint64_t total = 0;
    for (const auto& [name, account] : accounts) {
        const auto found = account.outcomes.find(outcome);
        if (found != account.outcomes.end()) total += found->second;
    }
    return total;
}

std::uint64_t load_result::offered() const {
    std::uint64_t total = 0;
    for (const auto& [name, account] : accounts)
        total += account.offered;
    return total;
}

std::uint64_t load_result::mismatched_answers() const {
    std::uint64_t total = 0;
    for (const auto& [name, account] : accounts)
        total += account.mismatched_answers;
    return total;
}

std::string summary(const load_result& result) {
    auto text = fmt::format("{:<20} {:>8} {:>8} {:>9} {:>8} {:>8} {:>8}  {}\n", "ACCOUNT", "OFFERED", "OK",
                            "WRONGFUL", "P50 MS", "P99 MS", "P999 MS", "OTHER OUTCOMES");
    const auto line = [&](const std::string& name, std::uint64_t offered, std::uint64_t ok,
                          std::uint64_t wrongful_refusals, const histogram& latency,
                          const std::string& others) {
        text += fmt::format("{:<20} {:>8} {:>8} {:>9} {:>8.2f} {:>8.2f} {:>8.2f}  {}\n", name, offered, ok,
                            wrongful_refusals, to_ms(latency.quantile(0.5)), to_ms(latency.quantile(0.99)),
                            to_ms(latency.quantile(0.999)), others);
    };
    std::uint64_t wrongful_refusals = 0;
    for (const auto& [name, account] : result.accounts) {
        std::string others;
        std::uint64_t ok = 0;
        for (const auto& [outcome, count] : account.outcomes) {
            if (outcome == "ok") {
                ok = count;
            } else {
                others += fmt::format("{}={} ", outcome, count);
            }
        }
        wrongful_refusals += account.wrongful_refusals;
        line(name, account.offered, ok, account.wrongful_refusals, account.latency, others);
    }
    line("total", result.offered(), result.count("ok"), wrongful_refusals, result.latency, "");
    return text + fmt::format("answers of another request: {}\n", result.mismatched_answers());
}

Json::Value to_json(const load_result& result) {
    Json::Value root;
    root["duration_s"] = result.duration_s;
    root["start_ms"] = Json::Int64(result.start_ms);
    root["latency"] = latency_json(result.latency);
    for (const auto& [name, account] : result.accounts) {
        Json::Value item;
        item["offered_rate"] = account.offered_rate;
        item["allowed_rate"] = Json::Int64(account.allowed_rate);
        item["offered"] = Json::UInt64(account.offered);
        item["wrongful"] = Json::UInt64(account.wrongful_refusals);
        item["foreign"] = Json::UInt64(account.mismatched_answers);
        item["latency"] = latency_json(account.latency);
        item["outcomes"] = Json::Value(Json::objectValue);
        for (const auto& [outcome, count] : account.outcomes)
            item["outcomes"][outcome] = Json::UInt64(count);
        item["answered_per_s"] = Json::Value(Json::arrayValue);
        for (const auto& second : account.seconds) {
            item["answered_per_s"].append(Json::UInt64(second.answered));
        }
        root["accounts"][name] = item;
    }
    for (const auto& [address, arrival_ms] : result.endpoint_last_ms) {
        root["endpoint_last_ms"][address] = Json::Int64(arrival_ms);
    }
    return root;
}

std::string compare(const Json::Value& earlier, const Json::Value& current) {
    std::string text;
    const auto& accounts = current["accounts"];
    for (const auto& name : accounts.getMemberNames()) {
        if (!earlier["accounts"].isMember(name)) continue;
        const auto& before = earlier["accounts"][name];
        const auto& after = accounts[name];
        const auto rate = [](const Json::Value& root, const Json::Value& item) {
            return item["outcomes"]["ok"].asDouble() / std::max(root["duration_s"].asDouble(), 0.001);
        };
        text += fmt::format(
            "{:<20} ok/s {}; wrongful {} -> {}; p50 ms {}; p99 ms {}\n", name,
            format_change(rate(earlier, before), rate(current, after)), before["wrongful"].asUInt64(),
            after["wrongful"].asUInt64(),
            format_change(before["latency"]["p50_ms"].asDouble(), after["latency"]["p50_ms"].asDouble()),
            format_change(before["latency"]["p99_ms"].asDouble(), after["latency"]["p99_ms"].asDouble()));
    }
    return text;
}

std::string effect_table(const load_result& result, const std::string& marks) {
    std::istringstream lines(marks);
    std::string line;
    std::string text;
    while (std::getline(lines, line)) {
        if (line.empty()) continue;
        std::istringstream fields(line);
        std::string label;
        std::string kind;
        std::string name;
        std::int64_t mark_ms = 0;
        if (!(fields >> label >> mark_ms >> kind >> name) ||
            (kind != "account" && kind != "route" && kind != "endpoint")) {
            throw std::runtime_error(fmt::format("mark '{}' is not LABEL BOOT_MS KIND NAME", line));
        }
        const auto last_ms = last_answered_request_ms(result, kind, name);
        const auto delay_ms = std::max<std::int64_t>(last_ms - mark_ms, 0);
        text += last_ms == 0 ? fmt::format("{:<16} {:<32} no request was answered\n", label, name)
                             : fmt::format("{:<16} {:<32} in effect after {:.2f} s\n", label, name,
                                           static_cast<double>(delay_ms) / 1000);
    }
    return text;
}

} // namespace lacewing::load
