#include "transport/store_client.h"

#include "fakes/store/store_service.h"
#include "http_test_support.h"
#include "state/error_kind.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>

namespace lacewing {
namespace {

namespace asio = boost::asio;
using testing::run_until_done;
using testing::wait_until;

/// The fake store in process with two clients, as of two operators.
struct store_fixture {
    store_fixture()
        : store(loop.get_executor(), "127.0.0.1:0", 11),
          first(loop.get_executor(), store.address(), incarnation_id{1}, options()),
          second(loop.get_executor(), store.address(), incarnation_id{2}, options()) {}

    static store_client_options options() { return {time_ms{2000}, time_ms{60}, time_ms{2}}; }

    asio::io_context loop;
    fakes::store_service store;
    store_client first;
    store_client second;
};

} // namespace

// Guards against a write with a lost answer that is reported as failed or takes effect twice.
TEST_CASE("store client reports a write with a lost answer as done exactly once") {
    store_fixture fixture;
    fixture.store.set_faults({false, false, time_ms{0}, 0.5});
    run_until_done(fixture.loop, [&]() -> asio::awaitable<void> {
        revision_id expected;
        for (std::uint64_t i = 1; i <= 60; ++i) {
            const auto result =
                co_await fixture.first.put("moves/1", R"({"written_by":"x","a":1})", expected);
            REQUIRE(std::holds_alternative<store_write_applied>(result));
            expected = std::get<store_write_applied>(result).revision;
            CHECK(expected == revision_id{i});
        }
        const auto gone = co_await fixture.first.erase("moves/1", expected);
        CHECK(std::get<store_write_applied>(gone).revision == revision_id{61});
    });
    CHECK(fixture.store.stats().lost_answers > 10);
    CHECK(fixture.store.stats().writes == 61);
    CHECK(fixture.store.table().revision() == revision_id{61});
}

// Guards against two operators who both believe that their change won, also when the winner's answer is lost.
TEST_CASE("store client names the winning revision in a conflict") {
    store_fixture fixture;
    for (const double lost : {0.0, 1.0}) {
        const auto key = "config/" + std::to_string(lost);
        fixture.store.set_faults({false, false, time_ms{0}, lost});
        run_until_done(fixture.loop, [&]() -> asio::awaitable<void> {
            const auto won = co_await fixture.first.put(key, R"({"by":1})", revision_id{0});
            const auto failed = co_await fixture.second.put(key, R"({"by":2})", revision_id{0});
            REQUIRE(std::holds_alternative<store_write_applied>(won));
            REQUIRE(std::holds_alternative<store_conflict>(failed));
            CHECK(std::get<store_conflict>(failed).current == std::get<store_write_applied>(won).revision);
            CHECK_FALSE(std::get<store_conflict>(failed).may_have_taken_effect);
        });
        CHECK(fixture.store.table().get(key)->value->find(R"("by":1)") != std::string::npos);
    }
}

// Guards against a concurrent winner that is hidden by the loser's own lost answer.
TEST_CASE("store client admits that a replaced write may have taken effect") {
    store_fixture fixture;
    fixture.store.set_faults({true, true, time_ms{0}, 0});
    std::optional<store_write_result> result;
    run_until_done(fixture.loop, [&]() -> asio::awaitable<void> {
        asio::co_spawn(
            fixture.loop,
            [&]() -> asio::awaitable<void> {
                result = co_await fixture.first.put("a", "{}", revision_id{0});
            },
            [](const std::exception_ptr&) {});
        co_await wait_until(fixture.loop, [&] { return fixture.store.waiting_calls() == 1; });
        fixture.store.table().put("a", R"({"written_by":"other"})", revision_id{0});
        fixture.store.set_faults({});
        co_await wait_until(fixture.loop, [&] { return result.has_value(); });
    });
    REQUIRE(std::holds_alternative<store_conflict>(*result));
    CHECK(std::get<store_conflict>(*result).current == revision_id{1});
    CHECK(std::get<store_conflict>(*result).may_have_taken_effect);
}

// Guards against an unknown outcome that is reported as known, and the reverse.
TEST_CASE("store client tells whether an unreachable store may have acted") {
    asio::io_context loop;
    auto store = std::make_unique<fakes::store_service>(loop.get_executor(), "127.0.0.1:0", 1);
    store_client client(loop.get_executor(), store->address(), incarnation_id{1}, store_fixture::options());
    const auto put = [&] {
        std::optional<store_write_result> result;
        run_until_done(loop, [&]() -> asio::awaitable<void> {
            result = co_await client.put("a", "{}", revision_id{0});
        });
        REQUIRE(std::holds_alternative<store_unreachable>(*result));
        return std::get<store_unreachable>(*result);
    };
    store->set_faults({true, false, time_ms{0}, 0});
    CHECK(put().may_have_taken_effect);
    store.reset();
    CHECK_FALSE(put().may_have_taken_effect);
    CHECK_FALSE(put().detail.empty());
}

// Guards against a watch that misses a change or a deletion, or that blocks although events exist.
TEST_CASE("store client watches and lists objects") {
    store_fixture fixture;
    run_until_done(fixture.loop, [&]() -> asio::awaitable<void> {
        std::optional<store_list_result> watched;
        asio::co_spawn(
            fixture.loop,
            [&]() -> asio::awaitable<void> {
                watched = co_await fixture.second.watch("keys/", revision_id{0}, time_ms{15000});
            },
            [](const std::exception_ptr&) {});
        co_await wait_until(fixture.loop, [&] { return fixture.store.stats().pending_watches == 1; });
        co_await fixture.first.put("drains/1", "{}", revision_id{0});
        co_await fixture.first.put("keys/a b", R"({"digest":"d"})", revision_id{0});
        co_await wait_until(fixture.loop, [&] { return watched.has_value(); });
        const auto& events = std::get<store_objects>(*watched);
        REQUIRE(events.objects.size() == 1);
        CHECK(events.objects[0].key == "keys/a b");
        CHECK(*events.objects[0].value == R"({"digest":"d","written_by":"0000000000000001:2"})");
        co_await fixture.first.erase("keys/a b", events.objects[0].revision);
        watched = co_await fixture.second.watch("keys/", revision_id{2}, time_ms{15000});
        CHECK(std::get<store_objects>(*watched).objects.at(0).deleted());
        const auto rest = co_await fixture.second.list("");
        CHECK(std::get<store_objects>(rest).objects.size() == 1);
        CHECK(std::get<store_objects>(rest).revision == revision_id{3});
        const auto absent = co_await fixture.second.get("keys/a b");
        CHECK_FALSE(std::get<std::optional<object_event>>(absent).has_value());
    });
}

// Guards against a value that the store could not hold or that could not be recognised later.
TEST_CASE("store client refuses values without a place for the writer or above 1 MB") {
    store_fixture fixture;
    for (const auto& value :
         {std::string("[]"), R"({"a":")" + std::string(std::size_t{1024} * 1024, 'x') + R"("})"}) {
        CHECK_THROWS_AS(run_until_done(fixture.loop,
                                       [&]() -> asio::awaitable<void> {
                                           co_await fixture.first.put("a", value, revision_id{0});
                                       }),
                        error);
    }
}

} // namespace lacewing
