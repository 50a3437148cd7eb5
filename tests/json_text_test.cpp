#include "state/json_text.h"

#include <doctest/doctest.h>

#include <random>
#include <string>

using namespace lacewing;

namespace {

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

// Guards against issue 28: a text of another process ends the process that reads it.
TEST_CASE("json text: a text that cannot be read throws instead of being rejected") {
    CHECK(read_json(R"({"a":[1,2.5,"x",null,true]})"));
    CHECK(read_json(nested(10)));
    for (const auto& text :
         {nested(1'000), nested(100'000), std::string(500'000, '['), std::string(R"({"a":1e999})"),
          std::string(R"({"a":"\ud800"})"), std::string("{\"a\":\xff\xfe}"), std::string("{"), std::string(),
          std::string("\0", 1)}) {
        std::string problem;
        CHECK_FALSE(read_json(text, &problem));
        CHECK_FALSE(problem.empty());
    }
}

TEST_CASE("json text: an unreadable element hides the others of its array") {
    const std::string deep = nested(5'000);
    const std::string text =
        R"({"x":"]},\"","items" : [ {"a":"[{,"} , )" + deep + R"( ,1e999, "\ud800" ], "n":7})";
    const auto array = find_json_member(text, "items");
    REQUIRE(array);
    const auto elements = split_json_array(*array);
    REQUIRE(elements);
    REQUIRE(elements->size() == 4);
    CHECK(elements->at(0) == R"({"a":"[{,"})");
    CHECK(elements->at(1) == deep);
    CHECK(elements->at(2) == "1e999");
    CHECK(elements->at(3) == R"("\ud800")");
    CHECK(find_json_member(text, "n") == "7");
    CHECK_FALSE(find_json_member(text, "m"));
    CHECK(split_json_array("[]")->empty());
    for (const auto* damaged : {"", "[", "[1", "[1,", "[1,]", "[{]", "{}", "[\"a]", "[1 2"})
        CHECK_FALSE(split_json_array(damaged));
}

TEST_CASE("json text: damaged bytes are read beyond their end or never finished") {
    std::mt19937_64 random(28);
    const std::string whole =
        R"({"asOf":5,"items":[{"metadata":{"name":"a"},"spec":{"v":[1,{"b":"\"]"}]}},{"c":2}]})";
    for (int run = 0; run < 20'000; ++run) {
        auto text = whole;
        for (int change = 0; change < 3; ++change)
            text[random() % text.size()] = "{}[],:\"\\ x"[random() % 10];
        text.resize(random() % (text.size() + 1));
        CAPTURE(text);
        const auto items = find_json_member(text, "items");
        if (items) CHECK(items->size() <= text.size());
        if (items) static_cast<void>(split_json_array(*items));
        static_cast<void>(read_json(text));
    }
}
