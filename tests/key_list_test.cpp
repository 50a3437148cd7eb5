#include "state/error_kind.h"
#include "state/key_list.h"
#include "transport/monotonic_clock.h"

#include <doctest/doctest.h>

using namespace lacewing;

namespace {

object_event make_key_object(const std::string& account, std::uint64_t revision,
                             const std::vector<std::string>& keys) {
    std::string digests;
    for (const auto& key : keys) {
        digests += (digests.empty() ? "\"" : ",\"") + to_hex(digest_of(key)) + "\"";
    }
    return {"keys/" + account,
            {revision},
            std::make_shared<const std::string>(R"({"account":")" + account + R"(","digests":[)" + digests +
                                                "]}")};
}

std::string owner_of(const key_list& list, const std::string& key) {
    const auto index = list.find(digest_of(key));
    return index ? list.account(*index).value : "nobody";
}

} // namespace

TEST_CASE("a digest differs from SHA-256 or does not survive its text form") {
    // Test vector of FIPS 180-4 for the message "abc".
    const std::string abc = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    CHECK(to_hex(digest_of("abc")) == abc);
    CHECK(equal_constant_time(digest_from_hex(abc), digest_of("abc")));
    CHECK_FALSE(equal_constant_time(digest_of("abd"), digest_of("abc")));
    CHECK_THROWS_AS(digest_from_hex(abc.substr(1)), error);
    CHECK_THROWS_AS(digest_from_hex("g" + abc.substr(1)), error);
}

TEST_CASE("a withdrawn key is found, a kept key is lost, or an older object takes effect") {
    key_list_builder builder;
    CHECK(key_list().find(digest_of("x")) == std::nullopt);
    builder.apply(make_key_object("a", 1, {"a1", "a2", "a2"}));
    builder.apply(make_key_object("b", 2, {"b1"}));
    const auto before = builder.build();
    const auto change = builder.apply(make_key_object("a", 3, {"a2", "a3"}));
    CHECK(change.added == 1);
    CHECK(change.removed == 1);
    builder.apply(make_key_object("a", 2, {"a1"}));
    const auto after = builder.build();
    CHECK(owner_of(*before, "a1") == "a");
    CHECK(owner_of(*after, "a1") == "nobody");
    CHECK(owner_of(*after, "a2") == "a");
    CHECK(owner_of(*after, "a3") == "a");
    CHECK(owner_of(*after, "b1") == "b");
    CHECK(after->size() == 3);
    builder.apply({"keys/a", {4}, nullptr});
    builder.apply(make_key_object("c", 5, {"a2"}));
    const auto last = builder.build();
    CHECK(owner_of(*last, "a3") == "nobody");
    CHECK(owner_of(*last, "a2") == "c");
    CHECK(last->find(digest_of("b1")) == after->find(digest_of("b1")));
}

TEST_CASE("a malformed key object changes the key list") {
    key_list_builder builder;
    builder.apply(make_key_object("a", 1, {"a1"}));
    const auto expect_rejected = [&](const std::string& key, const std::string& value) {
        CHECK_THROWS_AS(builder.apply({key, {9}, std::make_shared<const std::string>(value)}), error);
    };
    expect_rejected("keys/a", "{");
    expect_rejected("keys/a", "[]");
    expect_rejected("keys/a", R"({"account":"b","digests":[]})");
    expect_rejected("keys/a", R"({"account":"a"})");
    expect_rejected("keys/a", R"({"account":"a","digests":["00"]})");
    expect_rejected("keys/a", R"({"account":"a","digests":[1]})");
    expect_rejected("keys/a", R"({"account":"a","digests":[],"extra":1})");
    expect_rejected("keys/b", *make_key_object("b", 9, {"a1"}).value);
    expect_rejected("config/current", "{}");
    CHECK(owner_of(*builder.build(), "a1") == "a");
    CHECK(builder.build()->size() == 1);
}

TEST_CASE("a key change rebuilds the whole list") {
    key_list_builder builder;
    for (int account = 0; account < 1000; ++account) {
        std::vector<std::string> keys;
        keys.reserve(100);
        for (int key = 0; key < 100; ++key) {
            keys.push_back(std::to_string(account) + "/" + std::to_string(key));
        }
        builder.apply(make_key_object("account" + std::to_string(account), 1, keys));
    }
    auto list = builder.build();
    CHECK(list->size() == 100'000);
    const auto begin = monotonic_now();
    for (int change = 0; change < 200; ++change) {
        builder.apply(make_key_object("account" + std::to_string(change % 10),
                                      static_cast<std::uint64_t>(change) + 2, {std::to_string(change)}));
        list = builder.build();
    }
    const auto elapsed = monotonic_now() - begin;
    MESSAGE("200 changes among 100,000 keys took ms: " << elapsed.count);
    // At 50 changes/s the changes may use only a small part of one core; rebuilding the whole list would take
    // tens of milliseconds per change.
    CHECK(elapsed < time_ms{800});
}
