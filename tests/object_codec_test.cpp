#include "platform/object_codec.h"
#include "state/configuration.h"

#include <doctest/doctest.h>
#include <json/reader.h>

#include <memory>

using namespace lacewing;

namespace {

Json::Value parse_json(const std::string& text) {
    Json::Value value;
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    REQUIRE(reader->parse(text.data(), text.data() + text.size(), &value, nullptr));
    return value;
}

const std::string endpoint_json =
    R"({"metadata":{"name":"i-1","revision":9},"spec":{"service":"s","address":"10.0.0.1:80","zone":"z",)"
    R"("version":"v1","slots":3,"state":"ready","warmupLeft":"1.5s","sequence":4,"born":1700000000000}})";

} // namespace

TEST_CASE("object codec: decodes the fields of a configuration") {
    const auto configuration = platform::decode_configuration(parse_json(
        R"({"version":"r12","routes":[{"name":"r1","hostname":"Hulo.example","pathPrefix":"/a/",
        "routeType":"idempotent","timeout":"1000ms","targetLatency":"0.4s","priority":2,
        "trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10}],"maxAttempts":2,
        "allowAnonymous":true,"sessionAffinity":true,"allowedRegions":["east"]},
        {"name":"r2","hostname":"h","pathPrefix":"/","routeType":"upload","service":"s"}],
        "services":[{"name":"s","healthPath":"/health","maxConnections":330,"warmup":"3s","warmupPerS":3.8}],
        "limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeout":"3000ms","idleTimeout":"15000ms"},
        "tenants":[{"name":"ward","apiKeys":["k1","k2"],"priority":1,"ratePerS":68,"burst":60,"allowedRegions":[]}]})"));
    CHECK(configuration.version == 12);
    REQUIRE(configuration.routes.size() == 2);
    CHECK(configuration.routes[0].host == "hulo.example");
    CHECK(configuration.routes[0].execution == execution_rule::idempotent);
    CHECK(configuration.routes[0].timeout == time_ms{1000});
    CHECK(configuration.routes[0].goal == time_ms{400});
    CHECK(configuration.routes[0].parts.size() == 2);
    CHECK(configuration.routes[0].open);
    CHECK(configuration.routes[0].homes.at(0).value == "east");
    CHECK(configuration.routes[1].execution == execution_rule::at_most_once);
    CHECK_FALSE(configuration.routes[1].timeout.has_value());
    CHECK(configuration.services.at("s").max_cold_requests_per_s == doctest::Approx(3.8));
    CHECK(configuration.accounts.at(0).keys.size() == 2);
    CHECK(configuration.accounts.at(0).keys.at(0).find("k1") == std::string::npos);
    CHECK(configuration.accounts.at(0).rate_per_s == 68);
    CHECK(configuration.bounds.idle_timeout == time_ms{15000});
}

TEST_CASE("object codec: rejects an endpoint registration with a missing or invalid field") {
    const auto endpoint = platform::decode_endpoint(parse_json(endpoint_json));
    CHECK(endpoint.id.value == "i-1");
    CHECK(endpoint.warmup_left == time_ms{1500});
    CHECK(endpoint.started_unix_ms == 1700000000000);
    for (const auto* field : {"service", "address", "zone", "version", "slots", "state"}) {
        CAPTURE(field);
        auto missing = parse_json(endpoint_json);
        missing["spec"].removeMember(field);
        CHECK_THROWS_AS(platform::decode_endpoint(missing), config_error);
        auto wrong_type = parse_json(endpoint_json);
        wrong_type["spec"][field] = Json::Value(Json::arrayValue);
        CHECK_THROWS_AS(platform::decode_endpoint(wrong_type), config_error);
    }
    auto invalid = parse_json(endpoint_json);
    invalid["spec"]["state"] = "resting";
    CHECK_THROWS_AS(platform::decode_endpoint(invalid), config_error);
    invalid = parse_json(endpoint_json);
    invalid["spec"]["address"] = "somewhere";
    CHECK_THROWS_AS(platform::decode_endpoint(invalid), config_error);
    invalid = parse_json(endpoint_json);
    invalid["spec"] = "bytes";
    CHECK_THROWS_AS(platform::decode_endpoint(invalid), config_error);
}

// The id is sent in a header line, which a line end would split.
TEST_CASE("object codec: an endpoint whose name holds a control character is used") {
    for (const std::string name : {"a\r\nX-Key: 1", "a\n", "\x01", "a\x7f"}) {
        CAPTURE(name);
        auto object = parse_json(endpoint_json);
        object["metadata"]["name"] = name;
        CHECK_THROWS_AS(platform::decode_endpoint(object), config_error);
    }
    auto object = parse_json(endpoint_json);
    object["metadata"]["name"] = "a & b";
    CHECK(platform::decode_endpoint(object).id.value == "a & b");
}

TEST_CASE("object codec: rejects a malformed version or duration") {
    for (const auto* version : {"12", "r", "r1x", "v1", ""}) {
        Json::Value spec;
        spec["version"] = version;
        CHECK_THROWS_AS(platform::decode_configuration(spec), config_error);
    }
    CHECK(platform::decode_duration("2.5s", "f") == time_ms{2500});
    for (const auto* text : {"5", "s", "1m", "-1s", "nan s"}) {
        CHECK_THROWS_AS(platform::decode_duration(text, "f"), config_error);
    }
}

TEST_CASE("object codec: decodes the deployment's bounds and rejects malformed ones") {
    const auto bounds =
        platform::decode_bounds({"drain=2500ms", "grace=6s", "retryBudgetSlack=62", "unknown=x"});
    CHECK(bounds.drain == time_ms{2500});
    CHECK(bounds.retry_budget_slack == 62);
    CHECK_THROWS_AS(platform::decode_bounds({"drain"}), config_error);
    CHECK_THROWS_AS(platform::decode_bounds({"retryBudgetRatio=many"}), config_error);
}
