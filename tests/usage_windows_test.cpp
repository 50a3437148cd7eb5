#include "coordination/usage_reporter.h"
#include "coordination/usage_windows.h"
#include "protocol/usage_codec.h"
#include "state/error_kind.h"

#include <doctest/doctest.h>

using namespace lacewing;
using namespace lacewing::literals;

namespace {

constexpr time_ms window_length{5000};
// Unix time at 0 of the steady clock: the start of window 1000.
constexpr time_ms unix_start = window_length * 1000;

bool everyone(std::uint64_t /*sender*/) {
    return true;
}

usage_record record(std::int64_t window, std::uint64_t version, bool closed,
                    std::vector<std::uint64_t> sources, usage_counts counts) {
    return {window, version, closed, std::move(sources), std::move(counts)};
}

} // namespace

TEST_CASE("usage windows: requests count in the window in which they begin, refused ones not at all") {
    true_time clock;
    clock.on_reading(0_ms, unix_start);
    usage_counter counter(7, window_length, clock);
    const auto first = counter.on_begin("one", 4999_ms);
    CHECK(first == 1000);
    CHECK(counter.on_begin("one", 5000_ms) == 1001);
    counter.on_begin("two", 4000_ms);
    counter.on_begin("one", 4000_ms);
    counter.take_back("one", first);
    const auto sent = counter.unsent(6_s, {});
    REQUIRE(sent.size() >= 2);
    const auto& closed = sent[sent.size() - 2];
    CHECK(closed.window == 1000);
    CHECK(closed.closed);
    CHECK(closed.counts == usage_counts{{"one", 1}, {"two", 1}});
    CHECK_FALSE(sent.back().closed);
    CHECK(sent.back().counts == usage_counts{{"one", 1}});
}

// Guards against issue 47: counts that are lost or applied twice when messages are lost or repeated.
TEST_CASE("usage windows: records are sent until they are acknowledged and applied once") {
    true_time clock;
    clock.on_reading(0_ms, unix_start);
    usage_counter counter(7, window_length, clock);
    usage_outbox outbox;
    outbox.set_receiver(1);
    counter.on_begin("one", 1_s);
    const auto before = counter.unsent(6_s, outbox);
    usage_collection collection;
    for (int i = 0; i < 2; ++i) {
        for (const auto& sent : before)
            collection.put(7, sent);
    }
    CHECK(collection.sum(1000, everyone).counts == usage_counts{{"one", 1}});
    for (const auto& sent : before)
        outbox.on_acknowledged(1, sent.window, sent.version);
    CHECK(counter.unsent(6_s, outbox).empty());
    counter.take_back("one", 1000);
    REQUIRE(counter.unsent(6_s, outbox).size() == 1);
    collection.put(7, counter.unsent(6_s, outbox).front());
    CHECK(collection.sum(1000, everyone).counts == usage_counts{{"one", 0}});
    // A late copy of an earlier record changes nothing.
    for (const auto& sent : before)
        collection.put(7, sent);
    CHECK(collection.sum(1000, everyone).counts == usage_counts{{"one", 0}});
    // An acknowledgement of another receiver says nothing, and a new receiver knows nothing.
    outbox.on_acknowledged(2, 1000, 1000);
    outbox.set_receiver(2);
    CHECK_FALSE(counter.unsent(6_s, outbox).empty());
}

// Guards against issue 47: requests that count twice when the collector of a zone changes.
TEST_CASE("usage windows: sums that overlap are not added") {
    usage_collection zones;
    zones.put(1, record(5, 3, false, {11, 12, 13}, {{"one", 30}}));
    zones.put(2, record(5, 4, true, {12, 13}, {{"one", 25}}));
    zones.put(3, record(5, 1, true, {21}, {{"one", 4}, {"two", 1}}));
    const auto sum = zones.sum(5, everyone);
    CHECK(sum.counts == usage_counts{{"one", 29}, {"two", 1}});
    CHECK(sum.closed);
    CHECK(sum.sources == std::vector<std::uint64_t>{12, 13, 21});
}

TEST_CASE("usage windows: the window of a sender that has ended does not stay open") {
    usage_collection zone;
    zone.put(1, record(5, 3, false, {1}, {{"one", 3}}));
    zone.put(2, record(5, 4, true, {2}, {{"one", 2}}));
    CHECK_FALSE(zone.sum(5, everyone).closed);
    const auto sum = zone.sum(5, [](std::uint64_t sender) { return sender != 1; });
    CHECK(sum.closed);
    CHECK(sum.counts == usage_counts{{"one", 5}});
}

TEST_CASE("usage windows: settled windows take no more counts and memory stays bounded") {
    true_time clock;
    clock.on_reading(0_ms, unix_start);
    usage_counter counter(7, window_length, clock);
    for (int i = 0; i < 300; ++i)
        counter.on_begin("one", window_length * i);
    CHECK(counter.dropped() == 300 - usage_counter::max_windows);
    counter.forget_below(1290);
    counter.on_begin("one", window_length * 280);
    CHECK(counter.too_late() == 1);
    usage_outbox outbox;
    CHECK(counter.unsent(window_length * 300, outbox).front().window == 1290);
    CHECK(counter.unsent(window_length * 300, outbox).size() == usage_outbox::max_records);
}

// Guards against issue 47: windows that shift when the time of day of a host steps.
TEST_CASE("usage windows: a step of the time of day does not move the windows") {
    true_time clock;
    clock.on_reading(0_ms, unix_start);
    for (auto now = 100_ms; now < 20_s; now += 100_ms)
        clock.on_reading(now, unix_start + now + 3000_ms);
    CHECK(clock.at(20_s) == unix_start + 20_s);
    clock.on_agreement(20_s, unix_start + 20_s + 40_ms);
    CHECK(clock.at(21_s) == unix_start + 21_s + 40_ms);
    CHECK(majority_median({1_ms, 3000_ms, 2_ms}) == 2_ms);
    CHECK_FALSE(majority_median({1_ms, 3000_ms}).has_value());
}

TEST_CASE("usage reporter: windows are fixed in order, when their counts are complete or time runs out") {
    usage_reporter reporter(window_length, 10_s);
    const duty_progress stored{1000, {}};
    const auto sum = [](std::int64_t window) { return usage_counts{{"one", window}}; };
    const auto plan = [&](time_ms after_end, time_ms held, bool complete) {
        return reporter.plan(
            unix_start + window_length + after_end, held, stored, [&](std::int64_t) { return complete; },
            sum);
    };
    CHECK(plan(1_s, 10_s, true).fixed.empty());
    CHECK(plan(2_s, 10_s, true).fixed.size() == 1);
    CHECK(plan(2_s, 10_s, false).fixed.empty());
    CHECK(plan(5900_ms, 10_s, false).fixed.empty());
    CHECK(plan(6_s, 10_s, false).fixed.size() == 1);
    // A new holder learns the counts first.
    CHECK(plan(6_s, 1_s, true).fixed.empty());
    CHECK(plan(2_s, 10_s, true).fixed.at(1000) == usage_counts{{"one", 1000}});
    CHECK(usage_reporter::urgent(stored, plan(2_s, 10_s, true)));
}

// Guards against rule ONE: a window that is reported with counts that the store does not hold.
TEST_CASE("usage reporter: stored counts stay as they are until the platform has accepted them, in order") {
    usage_reporter reporter(window_length, 10_s);
    duty_progress stored{1000, {{1000, {{"one", 1}}}, {1001, {{"one", 2}}}}};
    const auto plan = [&] {
        return reporter.plan(
            unix_start + 60_s, 60_s, stored, [](std::int64_t) { return true; },
            [](std::int64_t) {
                return usage_counts{{"one", 99}};
            });
    };
    CHECK(plan().fixed.at(1000) == usage_counts{{"one", 1}});
    CHECK(reporter.next_report(0_ms, stored) == 1000);
    reporter.on_failed(0_ms);
    CHECK_FALSE(reporter.next_report(100_ms, stored).has_value());
    CHECK(reporter.next_report(300_ms, stored) == 1000);
    reporter.on_accepted(1000);
    CHECK(reporter.next_report(300_ms, stored) == 1001);
    CHECK(plan().next_window == 1001);
    CHECK_FALSE(plan().fixed.contains(1000));
}

TEST_CASE("usage messages: what is encoded is decoded, and malformed text is refused") {
    usage_push push{
        ~std::uint64_t{0}, "10.0.0.1:2", true, 1234_ms, {record(5, 9, true, {1, 2}, {{"a\"b", 3}})}};
    const auto text = encode_usage_message(push);
    CHECK(is_usage_message(text));
    const auto read = std::get<usage_push>(decode_usage_message(text));
    CHECK(read.from == push.from);
    CHECK(read.zone_sums);
    CHECK(read.time_of_day == 1234_ms);
    REQUIRE(read.records.size() == 1);
    CHECK(read.records[0].counts == push.records[0].counts);
    CHECK(read.records[0].sources == push.records[0].sources);
    usage_acknowledgement answer{4, false, {{5, 9}}, 77_ms, {"vm", "10.0.0.1:2", 3, 12, 50_ms, 6}};
    const auto back = std::get<usage_acknowledgement>(decode_usage_message(encode_usage_message(answer)));
    CHECK(back.received == answer.received);
    CHECK(back.holder.token == 12);
    CHECK(back.holder.source == 3);
    CHECK(std::get<holder_notice>(decode_usage_message(encode_usage_message(answer.holder))).settled_below ==
          6);
    for (const char* bad : {"U", "U{}", "U[]", "U{\"push\":{}}", "U{\"holder\":{\"vm\":1}}", "{}"})
        CHECK_THROWS(decode_usage_message(bad));
}

// Guards against a datagram that ends the receipt of all others: its address cannot be sent to.
TEST_CASE("usage codec: a message with an unusable address or number is accepted") {
    const auto decodes = [](const usage_message& message) {
        try {
            decode_usage_message(encode_usage_message(message));
            return true;
        } catch (const error& problem) {
            CHECK(problem.kind() == error_kind::bad_request);
            return false;
        }
    };
    usage_push push;
    push.address = "10.0.0.1:7";
    CHECK(decodes(push));
    push.address = "x";
    CHECK_FALSE(decodes(push));
    holder_notice notice;
    notice.address = "10.0.0.1:7";
    notice.token = 12;
    CHECK(decodes(notice));
    notice.token = ~std::uint64_t{0};
    CHECK_FALSE(decodes(notice));
    notice.token = 12;
    notice.address = "x";
    CHECK_FALSE(decodes(notice));
}
