// Guards the readers of texts from other processes, which must not take memory for what nobody needs.
#include "state/json_projection.h"
#include "state/json_splitter.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace lacewing;

namespace {

json_shape example_shape() {
    auto made = object_of_scalars({"name", "count"});
    made.parts.push_back(named("keys", list_shape({})));
    made.parts.push_back(named("parts", list_shape(object_of_scalars({"weight"}))));
    made.parts.push_back(named("totals", map_shape({})));
    return made;
}

std::optional<std::string> project(std::string_view text, const projection_limits& limits = {}) {
    return project_json(text, example_shape(), limits);
}

struct split_result {
    bool complete = false;
    std::string as_of;
    std::vector<std::string> elements;

    bool operator==(const split_result&) const = default;
};

// Splits a text that arrives in pieces of random lengths; in one piece for seed 0.
split_result split(std::string_view text, std::uint64_t seed, std::size_t max_element_bytes = 1'000) {
    split_result result;
    json_splitter splitter("items", max_element_bytes, [&](const std::string* element) {
        result.elements.push_back(element == nullptr ? "too long" : *element);
    });
    std::mt19937_64 random(seed);
    while (!text.empty()) {
        const auto piece = text.substr(0, seed == 0 ? text.size() : 1 + random() % 5);
        splitter.feed(piece);
        text.remove_prefix(piece.size());
    }
    result.complete = splitter.complete();
    result.as_of = std::string(splitter.member("asOf"));
    return result;
}

} // namespace

TEST_CASE("json projection: a member that is needed is lost, or one that is not is kept") {
    CHECK(project(R"({"name":"a","x":[1,{"name":"b"}],"count":7,"keys":["k",2]})") ==
          R"({"name":"a","count":7,"keys":["k",2]})");
    CHECK(project(R"({"parts":[{"weight":0.25,"name":"x"},{}],"name":null})") ==
          R"({"parts":[{"weight":0.25},{}],"name":null})");
    CHECK(project(R"({"totals":{"a":1,"b":[2]},"other":true})") == R"({"totals":{"a":1,"b":[]}})");
    CHECK(project(R"({"na\u006de":"a\"\\\n\u00e9"})") == "{\"name\":\"a\\\"\\\\\\n\xC3\xA9\"}");
    CHECK(project(R"({"count":18446744073709551615})") == R"({"count":18446744073709551615})");
    CHECK(project(R"({"count":-9223372036854775808})") == R"({"count":-9223372036854775808})");
}

// A reader that expects a string must find that there is none.
TEST_CASE("json projection: a member of another type takes memory, or passes for the expected one") {
    CHECK(project(R"({"name":[1,[2]],"count":{"a":1},"keys":{"a":2},"parts":7})") ==
          R"({"name":[],"count":{},"keys":{},"parts":7})");
    CHECK(project("[[],[]]") == "[]");
    CHECK(project("\"text\"") == "\"text\"");
    const std::string long_text(projection_limits{}.max_string_bytes + 1, 'x');
    CHECK(project(fmt::format(R"({{"name":"{}","count":1}})", long_text)) == R"({"name":[],"count":1})");
    CHECK(project(fmt::format(R"({{"other":"{}","count":1}})", long_text)) == R"({"count":1})");
}

TEST_CASE("json projection: a text that cannot be read is accepted, or ends the process") {
    const auto nested = [](std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); };
    CHECK(project(fmt::format(R"({{"x":{}}})", nested(max_json_depth - 1))));
    for (const auto& text :
         {fmt::format(R"({{"x":{}}})", nested(max_json_depth)), nested(1'000'000), std::string(500'000, '['),
          std::string(R"({"x":1e999})"), std::string(R"({"x":"\ud800"})"), std::string(R"({"x":})"),
          std::string(R"({"x":1)"), std::string("{\"x\":\"a\nb\"}"), std::string("{}x"), std::string(),
          std::string("\0", 1)}) {
        CAPTURE(text.substr(0, 40));
        std::string problem;
        CHECK_FALSE(project_json(text, example_shape(), {}, &problem));
        CHECK_FALSE(problem.empty());
    }
}

TEST_CASE("json projection: a text with more values than the limit is kept") {
    std::string keys = "1";
    for (int i = 2; i <= 10; ++i)
        keys += ",1";
    const auto text = fmt::format(R"({{"keys":[{}],"x":[1,2,3,4,5,6,7,8,9,10]}})", keys);
    // The object, the list and its elements.
    CHECK(project(text, {.max_values = 12}));
    CHECK_FALSE(project(text, {.max_values = 11}));
}

TEST_CASE("json splitter: an element is cut, lost or joined where the pieces of an answer meet") {
    const std::string text = R"( {"asOf" : 12 , "hasMore":false,"items" : [ {"a":"]}\"{"} , [1,[2]],7,"x,y",)"
                             R"(nonsense,{"b":{"c":[]}} ],"z":{"items":[1]}} )";
    const split_result expected{
        true, "12", {R"({"a":"]}\"{"})", "[1,[2]]", "7", R"("x,y")", "nonsense", R"({"b":{"c":[]}})"}};
    for (std::uint64_t seed = 0; seed <= 200; ++seed) {
        CAPTURE(seed);
        CHECK(split(text, seed) == expected);
    }
    CHECK(split(R"({"items":[],"asOf":1})", 1) == split_result{true, "1", {}});
}

TEST_CASE("json splitter: an answer that is no such object, or is cut, counts as complete") {
    const std::string text = R"({"items":[{"a":1},2],"asOf":3})";
    for (std::size_t length = 0; length < text.size(); ++length) {
        CAPTURE(length);
        CHECK_FALSE(split(std::string_view(text).substr(0, length), 0).complete);
    }
    for (const auto* other : {"[]", "7", R"({"asOf":3})", R"({"items":7,"asOf":3})", R"({"items":[1]}x)",
                              R"({"items":[1 2]})", R"({"items"[1]})", "xxxx"}) {
        CAPTURE(other);
        CHECK_FALSE(split(other, 0).complete);
    }
}

TEST_CASE("json splitter: an element over the limit is kept, or hides those behind it") {
    for (std::uint64_t seed = 0; seed <= 20; ++seed) {
        const auto text = fmt::format(R"({{"items":["{}",1,{{"b":"{}"}},2],"asOf":3}})", std::string(98, 'x'),
                                      std::string(93, 'y'));
        CHECK(split(text, seed, 100).elements ==
              std::vector<std::string>{fmt::format("\"{}\"", std::string(98, 'x')), "1", "too long", "2"});
    }
}
