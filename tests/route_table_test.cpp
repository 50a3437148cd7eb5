#include "coordination/route_table.h"
#include "state/key_digest.h"

#include <doctest/doctest.h>

#include <map>

using namespace lacewing;

namespace {

host_route route(std::string name, std::string host, std::string prefix) {
    host_route made;
    made.name = {std::move(name)};
    made.host = std::move(host);
    made.path_prefix = std::move(prefix);
    made.parts = {{"a", 1}};
    return made;
}

std::string digest_text(std::string_view key) {
    const auto digest = digest_of(key);
    return {digest.bytes.begin(), digest.bytes.end()};
}

} // namespace

TEST_CASE("route table: a shorter prefix wins over a longer one, or another host's route is taken") {
    auto configuration = std::make_shared<service_configuration>();
    configuration->routes = {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
                             route("other", "b.example", "/x/y/z/")};
    const route_table table(configuration);
    CHECK(table.find("a.example", "/x/1")->name.value == "short");
    CHECK(table.find("a.example", "/x/y/1")->name.value == "long");
    CHECK(table.find("A.Example:8080", "/x/y/?q=/x/")->name.value == "long");
    CHECK(table.find("a.example", "/x/y")->name.value == "short");
    CHECK(table.find("a.example", "/x") == nullptr);
    CHECK(table.find("a.example", "/other?p=/x/") == nullptr);
    CHECK(table.find("c.example", "/x/1") == nullptr);
}

TEST_CASE("route table: a key of nobody, or a part of a key, is accepted") {
    auto configuration = std::make_shared<service_configuration>();
    service_account account;
    account.name = {"ward"};
    account.keys = {digest_text("secret")};
    configuration->accounts = {account};
    const route_table table(configuration);
    CHECK(table.account_of("secret")->name.value == "ward");
    CHECK(table.account_of("secre") == nullptr);
    CHECK(table.account_of("") == nullptr);
}

TEST_CASE("region filter: only one of route and account binds when both have homes") {
    const std::vector<region_name> route_homes{{"east"}, {"west"}};
    const std::vector<region_name> account_homes{{"west"}, {"north"}};
    const std::vector<region_name> none;
    const region_filter both(route_homes, account_homes);
    CHECK(both.allows("west"));
    CHECK_FALSE(both.allows("east"));
    CHECK_FALSE(both.allows("north"));
    CHECK(region_filter(none, none).allows("south"));
    CHECK_FALSE(region_filter(none, none).restricted());
}

TEST_CASE("split chooser: shares drift from the weights over short windows") {
    auto split = route("split", "a.example", "/");
    split.parts = {{"a", 90}, {"b", 10}};
    weighted_service_selector chooser;
    std::map<std::string, int> counts;
    for (int i = 1; i <= 500; ++i) {
        ++counts[chooser.choose(split)];
        CHECK(std::abs(counts["b"] - 0.1 * i) <= 1);
    }
    split.parts = {{"a", 50}, {"b", 50}};
    counts.clear();
    for (int i = 0; i < 100; ++i)
        ++counts[chooser.choose(split)];
    CHECK(counts["a"] == 50);
}
