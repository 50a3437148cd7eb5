#include "gateway/duty_runner.h"
#include "state/configuration.h"
#include "state/gateway_settings.h"

#include <doctest/doctest.h>

using namespace lacewing;

namespace {

const std::string valid_text = R"(vm: vm-1
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
processor_share: 0.2
processor_cores: 2
link_mbps: 12.5
memory_mb: 160
bounds: ["drain=2s"]
)";

} // namespace

TEST_CASE("gateway settings: settings are read otherwise than written") {
    CHECK(is_gateway_settings(valid_text));
    const auto settings = parse_gateway_settings(valid_text, "f");
    CHECK(settings.vm.value == "vm-1");
    CHECK(settings.zone_regions.at("north") == "east");
    CHECK(settings.seeds.size() == 1);
    CHECK(settings.fleet_start);
    CHECK(settings.descriptors < 4100);
    CHECK(settings.memory_mb == 160);
    CHECK(settings.processor_millicores == 400);
    CHECK(settings.link_mbps == 13);
}

TEST_CASE("gateway settings: a duty is on although the settings name none") {
    const auto off = parse_gateway_settings(valid_text + "duties:\n", "f");
    CHECK_FALSE(duty_runner::wanted(off));
    CHECK_FALSE(duty_runner::wanted(parse_gateway_settings(valid_text, "f")));
    const auto other =
        parse_gateway_settings(valid_text + "duty_api: \"10.0.0.8:1\"\nduties: [other]\n", "f");
    CHECK_FALSE(duty_runner::wanted(other));
    const auto on = parse_gateway_settings(valid_text + "duty_api: \"10.0.0.8:1\"\nduties: [usage]\n", "f");
    CHECK(on.duty_api == "10.0.0.8:1");
    CHECK(duty_runner::wanted(on));
}

TEST_CASE("gateway settings: a bad file starts a process, or its error does not name the field") {
    const auto rejected_field = [](const std::string& from, const std::string& to) {
        auto text = valid_text;
        text.replace(text.find(from), from.size(), to);
        try {
            parse_gateway_settings(text, "f");
        } catch (const config_error& failure) {
            return failure.field() + "|" + failure.file();
        }
        return std::string("accepted");
    };
    CHECK(rejected_field("zone: north\nregion", "zone: south\nregion") == "zones|f");
    CHECK(rejected_field("10.0.0.1:1", "10.0.0.1") == "caller_listen|f");
    CHECK(rejected_field("10.0.0.2:4", "elsewhere") == "seeds|f");
    CHECK(rejected_field("4100", "10") == "descriptors|f");
    CHECK(rejected_field("link_mbps: 12.5", "link_mbps: -1") == "link_mbps|f");
    CHECK(rejected_field("processor_share: 0.2", "processor_share: half") == "processor_share|f");
    CHECK(rejected_field("memory_mb: 160", "memory_mb: 8") == "memory_mb|f");
    CHECK(rejected_field("fleet_start", "fleet_begin") == "fleet_begin|f");
}
