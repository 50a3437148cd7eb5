#include "state/configuration.h"
#include "state/settings.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using namespace lacewing;

namespace {

// A small valid configuration; the tests replace parts of it.
std::string valid_text() {
    return R"(regions:
  - {name: Bagmati, capacity: 100}
  - {name: Koshi, capacity: 100}
zones:
  - {name: bagmati-a, region: Bagmati}
links:
  - {from: Bagmati, to: Koshi, mbit_per_s: 300}
routes:
  - name: balance
    idempotent: true
    endpoints:
      - {name: balance-1, zone: bagmati-a, address: "127.0.0.1:9001", slots: 3, connections: 400}
      - {name: balance-2, zone: bagmati-a, address: "127.0.0.1:9002", slots: 3, connections: 400}
plans:
  - {name: large, rate: 7200/min, burst: 40, routes: [balance], weight: 4}
accounts:
  - {name: ward-1, plan: large}
classes:
  - {name: clerk, weight: 4}
)";
}

// The valid configuration with one replacement.
std::string valid_text_with(const std::string& from, const std::string& to) {
    auto text = valid_text();
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

// Message of the error that a configuration text causes, or "accepted".
std::string configuration_error(const std::string& text) {
    try {
        static_cast<void>(parse_configuration(text, "test.yaml"));
    } catch (const config_error& e) {
        return e.what();
    }
    return "accepted";
}

std::string settings_text(const std::string& extra) {
    return "vm: vm-1\nzone: a\ncaller_listen: 127.0.0.1:1\npeer_listen: 127.0.0.1:2\n"
           "operator_listen: 127.0.0.1:3\nstore: 127.0.0.1:4\n" +
           extra;
}

std::string settings_error(const std::string& text) {
    try {
        static_cast<void>(parse_process_settings(text, "vm.yaml"));
    } catch (const config_error& e) {
        return e.what();
    }
    return "accepted";
}

// A file of the folder config/.
config_text read_shipped_file(const std::string& name) {
    std::ifstream in(std::string(LACEWING_SOURCE_DIR) + "/config/" + name);
    REQUIRE(in.good());
    return {name, {std::istreambuf_iterator<char>(in), {}}};
}

configuration read_shipped_configuration(const std::string& folder, const std::string& topology) {
    const std::vector<config_text> texts{read_shipped_file(topology),
                                         read_shipped_file(folder + "/plans.yaml"),
                                         read_shipped_file(folder + "/accounts.yaml")};
    return merge_configuration({}, texts);
}

} // namespace

TEST_CASE("configuration: units and defaults of a valid text") {
    const auto config = parse_configuration(valid_text(), "test.yaml");
    REQUIRE(config.find_plan("large") != nullptr);
    CHECK(config.find_plan("large")->rate_per_s == 120);
    REQUIRE(config.find_route("balance") != nullptr);
    CHECK(config.find_route("balance")->endpoints[1].version == "1");
    CHECK_FALSE(config.find_route("balance")->once);
    CHECK(config.find_account("ward-1")->plan.value == "large");
    CHECK(config.find_zone("bagmati-a")->region.value == "Bagmati");
    CHECK(config.find_zone("elsewhere") == nullptr);
}

// Guards against a field that to_json omits, so that it is lost when a configuration is stored.
TEST_CASE("configuration: round trip through JSON") {
    const auto text = to_json(parse_configuration(valid_text(), "test.yaml"));
    CHECK(to_json(parse_configuration(text, "stored")) == text);
}

TEST_CASE("configuration: unknown field") {
    CHECK(configuration_error(valid_text_with("weight: 4}\naccounts", "wieght: 4}\naccounts")) ==
          "test.yaml:15: plans[0].wieght: unknown field");
    CHECK(configuration_error(valid_text() + "rutes: []\n") == "test.yaml:20: rutes: unknown field");
}

TEST_CASE("configuration: field given twice") {
    CHECK(configuration_error(valid_text_with("burst: 40", "burst: 40, burst: 4")) ==
          "test.yaml:15: plans[0].burst: field is given twice");
}

TEST_CASE("configuration: wrong type") {
    CHECK(configuration_error(valid_text_with("burst: 40", "burst: many")) ==
          "test.yaml:15: plans[0].burst: 'many' is not an integer");
    CHECK(configuration_error(valid_text_with("burst: 40", "burst: \"40\"")) ==
          "test.yaml:15: plans[0].burst: '40' is not an integer");
    CHECK(configuration_error(valid_text_with("idempotent: true", "idempotent: 1")) ==
          "test.yaml:10: routes[0].idempotent: '1' is neither true nor false");
    CHECK(configuration_error(valid_text_with("routes: [balance]", "routes: balance")) ==
          "test.yaml:15: plans[0].routes: expected a list of texts");
    CHECK(configuration_error("[]") == "test.yaml:1: expected a map of fields");
    CHECK(configuration_error("plans: {").starts_with("test.yaml:1: syntax error"));
}

TEST_CASE("configuration: wrong unit") {
    CHECK(configuration_error(valid_text_with("7200/min", "7200/week")) ==
          "test.yaml:15: plans[0].rate: unit '/week' is not a unit of a rate (/s, /min, /h)");
    CHECK(configuration_error(valid_text_with("7200/min", "7201/min")) ==
          "test.yaml:15: plans[0].rate: 7201/min is not a whole number of requests per second");
}

TEST_CASE("configuration: negative rate") {
    CHECK(configuration_error(valid_text_with("7200/min", "-5")) ==
          "test.yaml:15: plans[0].rate: negative rate -5");
}

TEST_CASE("configuration: negative or oversized amounts") {
    CHECK(configuration_error(valid_text_with("slots: 3", "slots: -1")) ==
          "test.yaml:12: routes[0].endpoints[0].slots: -1 is outside 1 to 1000000000");
    CHECK(configuration_error(valid_text_with("burst: 40", "burst: 9000000000")) ==
          "test.yaml:15: plans[0].burst: 9000000000 is outside 0 to 1000000000");
}

TEST_CASE("configuration: account without plan") {
    CHECK(configuration_error(valid_text_with("{name: ward-1, plan: large}", "{name: ward-1}")) ==
          "test.yaml:17: accounts[0].plan: account without plan");
    CHECK(configuration_error(valid_text_with("plan: large", "plan: small")) ==
          "test.yaml:17: accounts.ward-1.plan: unknown plan 'small'");
}

TEST_CASE("configuration: plan with unknown route") {
    CHECK(configuration_error(valid_text_with("[balance]", "[balance, payment]")) ==
          "test.yaml:15: plans.large.routes: unknown route 'payment'");
}

TEST_CASE("configuration: route without endpoint") {
    CHECK(configuration_error("routes:\n  - {name: balance}\n") ==
          "test.yaml:2: routes[0].endpoints: route without endpoint");
}

// Guards against a route that is declared at-most-once although its requests may be sent again.
TEST_CASE("configuration: route both once and idempotent") {
    CHECK(configuration_error(valid_text_with("idempotent: true", "idempotent: true\n    once: true")) ==
          "test.yaml:10: routes[0].idempotent: a route is either once or idempotent, not both");
}

TEST_CASE("configuration: endpoint in an unknown zone, zone or link in an unknown region") {
    CHECK(configuration_error(valid_text_with("zone: bagmati-a", "zone: koshi-a")) ==
          "test.yaml:12: endpoints.balance-1.zone: unknown zone 'koshi-a'");
    CHECK(configuration_error(valid_text_with("region: Bagmati", "region: Gandaki")) ==
          "test.yaml:5: zones.bagmati-a.region: unknown region 'Gandaki'");
    CHECK(configuration_error(valid_text_with("to: Koshi", "to: Gandaki")) ==
          "test.yaml:7: links.Bagmati-Gandaki.to: unknown region 'Gandaki'");
}

TEST_CASE("configuration: duplicate name") {
    CHECK(configuration_error(valid_text_with("name: balance-2", "name: balance-1")) ==
          "test.yaml:13: endpoints.balance-1.name: duplicate name");
    CHECK(configuration_error(valid_text_with("name: Koshi", "name: Bagmati")) ==
          "test.yaml:3: regions[1].name: duplicate name 'Bagmati'");
}

TEST_CASE("configuration: duplicate or malformed address") {
    CHECK(configuration_error(valid_text_with("127.0.0.1:9002", "127.0.0.1:9001")) ==
          "test.yaml:13: endpoints.balance-2.address: duplicate address 127.0.0.1:9001, also of 'balance-1'");
    CHECK(configuration_error(valid_text_with("127.0.0.1:9002", "localhost:9001")) ==
          "test.yaml:13: routes[0].endpoints[1].address: 'localhost:9001' is not an address ip:port");
}

TEST_CASE("configuration: text over 1 MB") {
    const auto text = valid_text() + "#" + std::string(max_config_bytes, 'x');
    CHECK(configuration_error(text) ==
          fmt::format("test.yaml:0: text of {} bytes exceeds 1048576", text.size()));
}

TEST_CASE("configuration: a section of a text replaces that of the base, other sections stay") {
    const auto base = parse_configuration(valid_text(), "test.yaml");
    const auto merged = merge_configuration(base, "accounts: [{name: ward-2, plan: large}]", "accounts.yaml");
    CHECK(merged.find_account("ward-1") == nullptr);
    CHECK(merged.find_account("ward-2") != nullptr);
    CHECK(merged.routes.size() == 1);
    CHECK_THROWS_AS(merge_configuration(base, "routes: []", "routes.yaml"), config_error);
}

// Guards against validating the first text before a later text with a section that it refers to has been
// read.
TEST_CASE("configuration: texts are merged in any order, and a section may be in only one of them") {
    const std::vector<config_text> texts{{"accounts.yaml", "accounts: [{name: a, plan: p}]"},
                                         {"plans.yaml", "plans: [{name: p, rate: 1, burst: 1}]"}};
    CHECK(merge_configuration({}, texts).find_account("a") != nullptr);
    const std::vector<config_text> twice{texts[1], texts[1]};
    CHECK_THROWS_WITH_AS(merge_configuration({}, twice), "plans.yaml:1: plans: section is also in plans.yaml",
                         config_error);
}

TEST_CASE("settings: defaults and values") {
    const auto defaults = parse_process_settings(settings_text(""), "vm.yaml");
    CHECK(defaults.vm.value == "vm-1");
    CHECK(defaults.key_policy.outage_bound.count == 900'000);
    CHECK_FALSE(defaults.key_policy.serve_on_partition);
    const auto settings = parse_process_settings(
        settings_text("seeds: [127.0.0.1:5]\nkey_policy: {on_store_outage: refuse, on_partition: serve, "
                      "partition_bound_s: 60s}\nlimits: {header_timeout_ms: 2500, queue_length: 7, "
                      "stop_grace_ms: 10s}\n"),
        "vm.yaml");
    CHECK_FALSE(settings.key_policy.serve_on_store_outage);
    CHECK(settings.key_policy.partition_bound.count == 60'000);
    CHECK(settings.limits.header_timeout.count == 2'500);
    CHECK(settings.limits.queue_length == 7);
    CHECK(defaults.limits.stop_grace.count == 30'000);
    CHECK(settings.limits.stop_grace.count == 10'000);
    CHECK(settings.seeds.size() == 1);
}

TEST_CASE("settings: violated rules") {
    CHECK(settings_error("vm: a\n") == "vm.yaml:1: zone: missing field");
    CHECK(settings_error(settings_text("limits: {stop_grace_ms: 0}\n")) ==
          "vm.yaml:7: limits.stop_grace_ms: must be above 0");
    CHECK(settings_error(settings_text("limit: {}\n")) == "vm.yaml:7: limit: unknown field");
    CHECK(settings_error(settings_text("key_policy: {outage_bound_s: 900/s}\n")) ==
          "vm.yaml:7: key_policy.outage_bound_s: unit '/s' is not a unit of a duration (ms, s, min, h)");
    CHECK(settings_error(settings_text("key_policy: {on_partition: serve}\n")) ==
          "vm.yaml:7: key_policy.partition_bound_s: serving during a partition needs a bound above 0");
    CHECK(settings_error(settings_text("seeds: [here]\n")) ==
          "vm.yaml:7: seeds: 'here' is not an address ip:port");
}

// Guards against shipped examples that the parser rejects or whose size differs from the design page.
TEST_CASE("shipped examples are valid and have the designed size") {
    const auto utility = read_shipped_configuration("utility", "utility/topology.yaml");
    CHECK(utility.zones.size() == 6);
    CHECK(utility.links.size() == 6);
    CHECK(utility.accounts.size() == 8);
    REQUIRE(utility.routes.size() == 4);
    CHECK(utility.find_route("balance")->endpoints.size() == 20);
    CHECK(utility.find_route("payments")->once);
    const auto gruber = read_shipped_configuration("gruber", "gruber/topology.yaml");
    for (const auto& item : gruber.routes)
        CHECK(item.endpoints.size() == 12);
    CHECK(gruber.find_route("bookings")->once);
    CHECK(gruber.accounts.size() == 8);
    CHECK(read_shipped_configuration("utility", "utility/demo/topology.yaml").zones.size() == 2);
    for (const auto* name : {"vm-1", "vm-2", "vm-3"}) {
        const auto text = read_shipped_file(std::string("utility/demo/") + name + ".yaml");
        CHECK(parse_process_settings(text.text, text.file).vm.value == name);
    }
}
