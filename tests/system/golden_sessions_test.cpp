// Guards against unintended changes of the texts that callers and operators read: compares whole sessions
// with the files tests/golden/*.txt. `scripts/golden --renew` rewrites these files.
#include "deployment.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>
#include <thread>

using namespace lacewing;
using namespace lacewing::testing;

namespace {

void replace_all(std::string& text, std::string_view from, std::string_view to) {
    if (from.empty()) return;
    for (auto position = text.find(from); position != std::string::npos;
         position = text.find(from, position + to.size()))
        text.replace(position, from.size(), to);
}

// Replaces values that differ from run to run: addresses, keys, ids, times and revisions.
std::string normalise(const deployment& system, std::string text) {
    replace_all(text, system.office_key(), "OFFICE-KEY");
    for (std::size_t i = 0; i < system.vm_count(); ++i) {
        replace_all(text, system.caller_address(i), fmt::format("VM-{}-CALLERS", i + 1));
        replace_all(text, system.operator_address(i), fmt::format("VM-{}-OPERATORS", i + 1));
    }
    for (const auto* route : {"balance", "payments", "scans", "notices"}) {
        for (const auto* zone : {"north", "south"}) {
            for (const std::size_t number : {std::size_t{1}, std::size_t{2}}) {
                replace_all(text, system.endpoint_address(route, zone, number),
                            fmt::format("{}-{}-{}", route, zone, number));
            }
        }
    }
    replace_all(text, system.store_address(), "STORE");
    replace_all(text, system.folder().string(), "FOLDER");
    const std::vector<std::pair<std::string, std::string>> patterns{
        {R"(lwk_[0-9a-f]{64})", "KEY"},
        {R"([0-9a-f]{64})", "DIGEST"},
        {R"([0-9a-f]{16}-[0-9a-f]{8}\b)", "ID-PREFIX"},
        {R"(\b[0-9a-f]{16}:[0-9]+)", "WRITER"},
        {R"(\b[0-9a-f]{16}\b)", "HEX"},
        {R"re((\\?"(revision|config_revision|at|requested_at|waited_ms)\\?" ?: ?)[0-9]+)re", "$1N"},
        {R"(revision [0-9]+)", "revision N"},
        {R"(history/[0-9]+)", "history/N"},
        {R"( at [0-9]+ by)", " at TIME by"},
        {R"(after [0-9]+ ms)", "after N ms"},
        {R"(taken up by vm-[0-9])", "taken up by VM"},
        {R"((alive|leaving|suspect|dead)( +)[0-9]+)", "$1$2N"},
        {R"(X-Load: [0-9.]+)", "X-Load: LOAD"},
        {R"((VM-[0-9]-[A-Z]+) +)", "$1 "},
    };
    for (const auto& [pattern, replacement] : patterns)
        text = std::regex_replace(text, std::regex(pattern), replacement);
    return text;
}

// Compares a session with its golden file line by line, or writes the file when LACEWING_RENEW_GOLDEN is set.
void check_golden(const std::string& name, const std::string& text) {
    const auto file = fmt::format("{}/tests/golden/{}", LACEWING_SOURCE_DIR, name);
    if (std::getenv("LACEWING_RENEW_GOLDEN") != nullptr) { // NOLINT(concurrency-mt-unsafe)
        std::ofstream(file) << text;
        return;
    }
    std::ifstream in(file);
    std::ostringstream expected;
    expected << in.rdbuf();
    std::istringstream expected_lines(expected.str());
    std::istringstream actual_lines(text);
    std::string expected_line;
    std::string actual_line;
    for (int line = 1;; ++line) {
        const bool more_expected = static_cast<bool>(std::getline(expected_lines, expected_line));
        const bool more_actual = static_cast<bool>(std::getline(actual_lines, actual_line));
        if (!more_expected && !more_actual) break;
        INFO(name << " line " << line << "; renew with scripts/golden --renew when the change is intended");
        CHECK(more_expected == more_actual);
        CHECK(expected_line == actual_line);
        if (more_expected != more_actual || expected_line != actual_line) break;
    }
}

// Transcript of the requests of a caller and their answers.
class caller_session {
public:
    explicit caller_session(deployment& system) : system_(system) {}

    // Sends a request over a new connection and appends it with its answer.
    http_answer record(std::string_view title, std::size_t vm, const std::string& request,
                       time_ms limit = {10'000}) {
        raw_connection connection(system_.caller_address(vm));
        connection.send(request);
        auto answer = connection.receive(limit);
        append(title, request, answer);
        return answer;
    }

    void append(std::string_view title, const std::string& request, const http_answer& answer) {
        text_ += fmt::format("# {}\n", title);
        std::istringstream lines(request);
        std::string line;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') line.pop_back();
            if (line.size() > 200) line = line.substr(0, 40) + fmt::format("... {} bytes", line.size());
            text_ += fmt::format("> {}\n", line);
        }
        text_ += fmt::format("< {}\n", answer.status);
        for (const auto& field : answer.headers)
            text_ += fmt::format("< {}: {}\n", std::string(field.name_string()), std::string(field.value()));
        text_ += fmt::format("< {}{}\n", answer.body, answer.complete ? "" : "(broken off)");
    }

    // Returns the transcript in a form that is the same in every run. Content lengths vary with the replaced
    // values.
    [[nodiscard]] std::string text() const {
        return std::regex_replace(normalise(system_, text_), std::regex("< Content-Length: [0-9]+"),
                                  "< Content-Length: N");
    }

private:
    deployment& system_;
    std::string text_;
};

} // namespace

TEST_CASE("golden: the texts of a caller session change") {
    deployment_options options;
    options.vm_zones = {"north", "south"};
    options.first_vm_max_body_bytes = 1'000;
    options.plans = "plans:\n"
                    "  - {name: wide, rate: 20000/s, burst: 20000, routes: [balance, payments, scans]}\n"
                    "  - {name: tiny, rate: 1/s, burst: 4, routes: [balance]}\n"
                    "accounts:\n  - {name: office, plan: wide}\n  - {name: kiosk, plan: tiny}\n"
                    "classes: []\n";
    deployment system(options);
    const auto kiosk = system.give_key("kiosk");
    const std::pair<std::string, std::string> key{"Authorization", "Bearer " + system.office_key()};
    const std::pair<std::string, std::string> deadline{"X-Deadline-Ms", "400"};
    caller_session session(system);

    auto lookup = send_request(system.caller_address(0), "GET", "/v1/entry?client=127.0.0.1");
    // The order of the VMs depends on a hash of the client address and of their incarnations, which differ in
    // every run.
    lookup.body = std::regex_replace(lookup.body, std::regex(R"(\[.*\])"), "[...]");
    session.append("lookup", request_text("GET", "/v1/entry?client=127.0.0.1"), lookup);
    CHECK(system.bound_request_id(0, 0, "x").size() == 16 + 1 + 8 + 2);
    system.set_endpoint_behaviour(R"({"report_load":false})");
    const auto good =
        system.send_to_vm(0, "/r/balance/plots/7?year=2081", system.office_key(), {{"X-Request-Id", "good"}});
    auto normalised_answer = good;
    // Any endpoint of the zone can answer.
    normalised_answer.body = std::regex_replace(normalised_answer.body, std::regex("\"endpoint\":\"[^\"]*\""),
                                                "\"endpoint\":\"ENDPOINT\"");
    session.append("good request",
                   request_text("GET", "/r/balance/plots/7?year=2081", {key, {"X-Request-Id", "good"}}),
                   normalised_answer);

    session.record("bad_request: malformed deadline", 0,
                   request_text("GET", "/r/balance/x", {key, {"X-Deadline-Ms", "soon"}}));
    session.record("bad_request: malformed request line", 0, "GET\r\n\r\n");
    session.record("bad_request: no request id", 0, request_text("POST", "/r/payments/x", {key}, "dues"));
    session.record("key_rejected: unknown key", 0,
                   request_text("GET", "/r/balance/x", {{"Authorization", "Bearer lwk_unknown"}}));
    session.record("key_rejected: no key", 0, request_text("GET", "/r/balance/x"));
    session.record("route_not_in_plan", 0, request_text("GET", "/r/scans/x", {{"X-Api-Key", kiosk}}));
    session.record("no_such_route", 0, request_text("GET", "/r/unknown/x", {key}));
    session.record("request_timeout", 0, "GET /r/balance/x HTTP/1.1\r\nHost: lace");
    session.record("body_too_large", 0, request_text("POST", "/r/scans/x", {key}, std::string(1'001, 'b')));
    session.record("header_too_large", 0,
                   request_text("GET", "/r/balance/x", {key, {"X-Filler", std::string(17'000, 'f')}}));
    http_answer limited;
    const auto limited_request = request_text("GET", "/r/balance/x", {{"X-Api-Key", kiosk}});
    CHECK(wait_until([&] {
        limited = send_request(system.caller_address(0), "GET", "/r/balance/x", {{"X-Api-Key", kiosk}});
        return limited.status == 429;
    }));
    session.append("rate_exceeded", limited_request, limited);

    const auto id = system.bound_request_id(0, 0, "paid");
    const auto payment = request_text("POST", "/r/payments/x", {key, {"X-Request-Id", id}}, "dues");
    CHECK(send_request(system.caller_address(0), "POST", "/r/payments/x", {key, {"X-Request-Id", id}}, "dues")
              .status == 200);
    session.record("duplicate_request: same VM", 0, payment);
    session.record("duplicate_request: another VM", 1, payment);
    const auto unknown_vm_id = fmt::format("0123456789abcdef{}", id.substr(16));
    session.record("outcome_unknown: id of a VM that is gone", 0,
                   request_text("POST", "/r/payments/x", {key, {"X-Request-Id", unknown_vm_id}}, "dues"));

    system.set_endpoint_behaviour(R"({"answer_fault":"late","late_ms":1000})");
    session.record("deadline_exceeded", 0, request_text("GET", "/r/scans/x", {key, deadline}));
    REQUIRE(system.reset_endpoint_behaviour());
    system.set_endpoint_behaviour(R"({"answer_fault":"reset_before_answer"})");
    session.record("endpoint_failed", 0, request_text("GET", "/r/scans/x", {key, deadline}));
    REQUIRE(system.reset_endpoint_behaviour());
    system.set_endpoint_behaviour(R"({"answer_fault":"truncated","padding":200})");
    session.record("answer_truncated", 0, request_text("GET", "/r/scans/x", {key, deadline}));
    REQUIRE(system.reset_endpoint_behaviour());
    system.set_endpoint_behaviour(R"({"service_ms":400})");
    std::vector<std::thread> busy;
    busy.reserve(48);
    for (int i = 0; i < 48; ++i)
        busy.emplace_back([&] { system.send_to_vm(1, "/r/scans/x", system.office_key()); });
    CHECK(wait_until([&] { return system.dump(1)["serve"]["routes"]["scans"]["queued"].asUInt64() > 0; }));
    session.record("no_capacity", 1, request_text("GET", "/r/scans/x", {key, {"X-Deadline-Ms", "100"}}));
    for (auto& caller : busy)
        caller.join();
    system.vm_process(1).signal(SIGTERM);
    http_answer leaving;
    CHECK(wait_until([&] {
        leaving = send_request(system.caller_address(1), "GET", "/r/balance/x", {key});
        return leaving.error() == "vm_leaving";
    }));
    session.append("vm_leaving", request_text("GET", "/r/balance/x", {key}), leaving);
    check_golden("caller_session.txt", session.text());
}

TEST_CASE("golden: the texts of an operator session change") {
    deployment_options options;
    options.vm_zones = {"north", "south"};
    deployment system(options);
    std::string text;
    const auto record = [&](const std::vector<std::string>& arguments, std::string_view input = {}) {
        auto result = system.run_lacewingctl(arguments, input);
        text += "$ lacewingctl";
        for (const auto& argument : arguments)
            text += " " + argument;
        text += fmt::format("\n{}{}", result.out, result.err);
        if (!text.ends_with('\n')) text += '\n';
        text += fmt::format("exit status {}\n\n", result.status);
        return result;
    };
    const auto topology = system.write_file("topology.yaml", system.topology());
    const auto plans =
        system.write_file("plans.yaml", "plans:\n"
                                        "  - {name: wide, rate: 100/s, burst: 50, routes: [balance]}\n"
                                        "  - {name: narrow, rate: 600/min, burst: 20, "
                                        "routes: [balance]}\n");
    const auto accounts = system.write_file("accounts.yaml", "accounts:\n  - {name: office, plan: wide}\n"
                                                             "  - {name: guest, plan: narrow}\n");
    const auto wrong = system.write_file("wrong.yaml", "plans:\n  - {name: wide, rate: -1/s, burst: 50, "
                                                       "routes: [balance]}\n");
    record({"check", topology, plans, accounts});
    record({"check", wrong});
    record({"check", system.folder().string() + "/missing.yaml"});
    record({"diff", plans});
    record({"apply", plans, accounts});
    record({"apply", plans, accounts});
    record({"get"});
    const auto given = record({"keys", "give", "guest"});
    record({"keys", "give", "stranger"});
    record({"keys", "withdraw", "guest", "-"}, given.out.substr(0, given.out.find('\n') + 1));
    record({"keys", "withdraw", "guest", "lwk_unknown"});
    // Requests in flight at the endpoint keep the drain running until it is cancelled, so that the output
    // does not depend on how soon a VM starts to process the drain.
    system.set_endpoint_behaviour(R"({"service_ms":30000})", system.endpoint_address("balance", "north", 1));
    std::vector<raw_connection> pending;
    const header_list long_deadline{{"Authorization", "Bearer " + system.office_key()},
                                    {"X-Deadline-Ms", "60000"}};
    for (int i = 0; i < 8; ++i) {
        pending.emplace_back(system.caller_address(0));
        REQUIRE(pending.back().send(request_text("GET", "/r/balance/x", long_deadline)));
    }
    const auto in_flight = [&] {
        const auto routes = system.dump(0)["serve"]["routes"];
        return routes["balance"]["endpoints"]["balance-north-1"]["in_flight"].asInt() > 0;
    };
    REQUIRE(wait_until(in_flight));
    record({"drain", "start", "--endpoint", "balance-north-1", "--deadline", "60"});
    REQUIRE(wait_until([&] {
        return system.read_object("drains/endpoint-balance-north-1")["value"]["state"] == "running";
    }));
    record({"drain", "start", "--endpoint", "balance-north-1", "--deadline", "60"});
    record({"drain", "start", "--endpoint", "unknown"});
    record({"drain", "status"});
    record({"drain", "cancel", "endpoint-balance-north-1"});
    record({"drain", "cancel", "endpoint-balance-north-1"});
    record({"status"});
    record({"history"});
    const auto log = system.write_file(
        "vm-1.log", "time=2026-05-18T21:59:27.000Z level=warn event=thread_late ms=150 busy=3\n"
                    "time=2026-05-18T21:59:28.000Z level=info event=request id=r1 endpoint=e-1 status=504 "
                    "detail=\"the endpoint's own answer\"\n");
    record({"explain", "r1", log});
    record({"--json", "explain", "r1", log});
    record({"explain", "r2", log});
    record({"explain", "r1", system.folder().string() + "/missing.log"});
    record({"frobnicate"});
    check_golden("operator_session.txt", normalise(system, text));
}
