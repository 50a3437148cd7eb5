#include "state/configuration.h"
#include "state/gateway_settings.h"

#include <doctest/doctest.h>

using namespace lacewing;

namespace {

const std::string good = R"(vm: vm-1
zone: north
region: east
zones:
  - { zone: north, region: east }
caller_listen: "10.0.0.1:1"
ready_listen: "10.0.0.1:2"
lookup_listen: "10.0.0.1:3"
peer_listen: "10.0.0.1:4"
metrics_listen: "10.0.0.1:5"
platform_store: "10.0.0.9:1"
seeds: ["10.0.0.2:4"]
fleet_start: true
descriptors: 4100
bounds: ["drain=2s"]
)";

} // namespace

TEST_CASE("gateway settings: settings are read otherwise than written") {
    CHECK(is_gateway_settings(good));
    const auto made = parse_gateway_settings(good, "f");
    CHECK(made.vm.value == "vm-1");
    CHECK(made.zone_regions.at("north") == "east");
    CHECK(made.seeds.size() == 1);
    CHECK(made.fleet_start);
    CHECK(made.descriptors < 4100);
}

TEST_CASE("gateway settings: a bad file starts a process, or its error does not name the field") {
    const auto rejected = [](const std::string& from, const std::string& to) {
        auto text = good;
        text.replace(text.find(from), from.size(), to);
        try {
            parse_gateway_settings(text, "f");
        } catch (const config_error& problem) {
            return problem.field() + "|" + problem.file();
        }
        return std::string("accepted");
    };
    CHECK(rejected("zone: north\nregion", "zone: south\nregion") == "zones|f");
    CHECK(rejected("10.0.0.1:1", "10.0.0.1") == "caller_listen|f");
    CHECK(rejected("10.0.0.2:4", "elsewhere") == "seeds|f");
    CHECK(rejected("4100", "10") == "descriptors|f");
    CHECK(rejected("fleet_start", "fleet_begin") == "fleet_begin|f");
}
