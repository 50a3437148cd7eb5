// Guards the client of the platform's store against names that other writers choose and against lists that
// cannot be read to their end.
#include "platform/object_store.h"

#include "http_test_support.h"
#include "state/json_text.h"
#include "store_target.h"
#include "transport/http_server.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace lacewing;
using namespace lacewing::testing;
namespace asio = boost::asio;

namespace {

constexpr time_ms call_timeout{2000};

/// Store of one kind that decodes targets and refuses malformed ones, with small pages.
struct paged_store {
    paged_store()
        : server(context.get_executor(), "127.0.0.1:0", http_limits{},
                 [this](http_request request) { return answer(std::move(request)); }),
          client(context.get_executor(), server.address()) {}

    void put(const std::string& name) {
        Json::Value object;
        object["metadata"]["name"] = name;
        object["metadata"]["revision"] = 5;
        objects[name] = compact_json(object);
    }

    asio::awaitable<http_response> answer(http_request request) {
        ++calls;
        const auto target = parse_store_target(std::string(request.target()));
        if (!target) co_return make_response(400, "{}");
        if (target->segments.size() > 1) {
            paths.push_back(target->segments);
            const auto found = objects.find(target->segments[1]);
            if (found == objects.end()) co_return make_response(404, "{}");
            co_return make_response(200, found->second);
        }
        if (target->query.contains("watch")) co_return make_response(200, watch_answer);
        const auto after = target->query.find("after");
        if (after != target->query.end() && after->second == refused_name) co_return make_response(400, "{}");
        auto object = after == target->query.end() ? objects.begin() : objects.upper_bound(after->second);
        std::string items;
        for (std::size_t i = 0; object != objects.end() && i < page_size; ++i, ++object)
            items += (items.empty() ? "" : ",") + object->second;
        co_return make_response(
            200, fmt::format(R"({{"items":[{}],"hasMore":{},"asOf":9}})", items, object != objects.end()));
    }

    platform::page_result list() {
        platform::page_result result;
        run_until_done(context, [&]() -> asio::awaitable<void> {
            result = co_await client.list("servers", filter, call_timeout);
        }());
        return result;
    }

    /// Names in a list, or nothing when it has failed.
    std::vector<std::string> listed_names() {
        const auto result = list();
        std::vector<std::string> names;
        if (const auto* page = std::get_if<platform::object_page>(&result)) {
            for (const auto& entry : page->entries)
                names.push_back(entry.name);
        }
        std::sort(names.begin(), names.end());
        return names;
    }

    std::vector<std::string> names() const {
        std::vector<std::string> all;
        for (const auto& [name, text] : objects)
            all.push_back(name);
        return all;
    }

    asio::io_context context;
    std::map<std::string, std::string> objects;
    platform::object_filter filter;
    std::size_t page_size = 3;
    /// Name after which no list is continued.
    std::string refused_name = "none";
    std::string watch_answer;
    std::vector<std::vector<std::string>> paths;
    int calls = 0;
    http_server server;
    platform::object_store client;
};

/// Names that mean something else in a target unless they are encoded.
const std::vector<std::string> odd_names{
    "a&b",       "a&watch=1", "a#b", "a%b", "a%xb", "a%41", "a b",
    "a+b",       "a=b",       "a?b", "a/b", "a\"b", "a\\b", "\xC3\xA9t\xC3\xA9",
    "a\r\nX: 1", "a;b",       "..",  "a:b", "a@b",  "a\tb"};

} // namespace

// Such a name at the end of a page made the next page unobtainable, or another one.
TEST_CASE("object store: a name with reserved characters at the end of a page hides the other entries") {
    for (const auto& name : odd_names) {
        CAPTURE(name);
        paged_store store;
        store.page_size = 1;
        for (const auto& other : {std::string("A"), name, name + "+", std::string("a"), std::string("zz")})
            store.put(other);
        CHECK(store.listed_names() == store.names());
        CHECK(store.calls == static_cast<int>(store.objects.size()));
    }
}

TEST_CASE("object store: names of any bytes hide, repeat or skip entries of a list") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const auto pick = [&](std::size_t limit) { return static_cast<std::size_t>(random() % limit); };
        paged_store store;
        store.page_size = 1 + pick(4);
        for (int i = 0; i < 30; ++i) {
            std::string name;
            for (std::size_t length = 1 + pick(6); name.size() < length;)
                name += static_cast<char>(1 + pick(127));
            store.put(name);
        }
        CHECK(store.listed_names() == store.names());
    }
}

TEST_CASE("object store: a name with reserved characters in a path addresses another object") {
    for (const auto& name : odd_names) {
        CAPTURE(name);
        paged_store store;
        store.put(name);
        run_until_done(store.context, [&]() -> asio::awaitable<void> {
            const auto found = co_await store.client.read("servers", name, store.filter, call_timeout);
            const auto* object = std::get_if<std::optional<platform::object_page::entry>>(&found);
            CHECK((object != nullptr && object->has_value() && (*object)->name == name));
            co_await store.client.replace("servers", name, {}, call_timeout);
            co_await store.client.update_status("servers", name, {}, 0, call_timeout);
            co_await store.client.replace_at("servers", name, {}, 5, call_timeout);
        }());
        using path = std::vector<std::string>;
        CHECK(store.paths ==
              std::vector<path>{
                  {"servers", name}, {"servers", name}, {"servers", name, "status"}, {"servers", name}});
    }
}

// The list goes on after another name of the same page.
TEST_CASE("object store: a name that the store refuses to continue after hides the pages behind it") {
    for (const std::size_t page_size : {2, 3, 4}) {
        CAPTURE(page_size);
        for (int refused = 0; refused < 9; ++refused) {
            CAPTURE(refused);
            paged_store store;
            store.page_size = page_size;
            for (int i = 0; i < 9; ++i)
                store.put(fmt::format("e-{}", i));
            store.refused_name = fmt::format("e-{}", refused);
            CHECK(store.listed_names() == store.names());
        }
    }
}

TEST_CASE("object store: a list that cannot be finished hides the entries that were read") {
    for (const std::string broken :
         {"{}", "7", "null", R"({"metadata":{"name":8}})", R"({"metadata":[1e999]})"}) {
        CAPTURE(broken);
        paged_store store;
        store.page_size = 2;
        for (const auto* name : {"a", "b", "c", "d"})
            store.put(name);
        // A whole page of entries without a name to continue after.
        store.objects["bx"] = broken;
        store.objects["by"] = broken;
        const auto result = store.list();
        const auto* page = std::get_if<platform::object_page>(&result);
        REQUIRE(page != nullptr);
        CHECK_FALSE(page->complete);
        REQUIRE(page->entries.size() == 2);
        CHECK(page->entries[1].name == "b");
        // Fewer of them than a page hide nothing.
        store.objects.erase("by");
        CHECK(store.listed_names() == std::vector<std::string>{"a", "b", "c", "d"});
    }
    paged_store store;
    store.page_size = 1;
    store.put("a");
    store.put("b");
    store.refused_name = "a";
    const auto result = store.list();
    const auto* page = std::get_if<platform::object_page>(&result);
    REQUIRE(page != nullptr);
    CHECK_FALSE(page->complete);
    CHECK(page->entries.size() == 1);
}

TEST_CASE("object store: the answer of a watch that cannot be read is asked for for ever") {
    for (const auto* answer : {"", "[]", R"({"events":7})", R"({"events":[{"object":)"}) {
        CAPTURE(answer);
        paged_store store;
        store.watch_answer = answer;
        platform::page_result result;
        run_until_done(store.context, [&]() -> asio::awaitable<void> {
            result = co_await store.client.watch("servers", store.filter, 1, time_ms{100}, call_timeout,
                                                 platform::watch_freshness::current);
        }());
        const auto* lost = std::get_if<platform::history_lost>(&result);
        REQUIRE(lost != nullptr);
        CHECK(lost->unreadable);
    }
}
