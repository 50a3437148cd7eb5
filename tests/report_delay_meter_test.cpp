#include "coordination/report_delay_meter.h"

#include <doctest/doctest.h>

using namespace lacewing;

namespace {

vm_report report_made_at(std::int64_t sender_ms, std::uint64_t incarnation = 1) {
    vm_report made;
    made.vm = {"other"};
    made.incarnation = incarnation_id{incarnation};
    made.made_at = time_ms{sender_ms};
    return made;
}

} // namespace

TEST_CASE("report delay: reports that wait in a queue look as new as others") {
    report_delay_meter meter;
    // The sender's clock is an hour ahead, and an idle VM reads its reports within 5 ms.
    constexpr std::int64_t ahead = 3'600'000;
    for (std::int64_t ms = 0; ms <= 1000; ms += 100)
        meter.on_report(time_ms{ms + 5}, report_made_at(ms + ahead));
    CHECK(meter.mean_ms() == doctest::Approx(100).epsilon(0.05));
    CHECK(meter.take_longest() == time_ms{100});
    // From now on each report waits for 400 ms.
    report_delay_meter::measurement last;
    for (std::int64_t ms = 1100; ms <= 3000; ms += 100)
        last = meter.on_report(time_ms{ms + 405}, report_made_at(ms + ahead));
    // The least difference is raised by less than a millisecond in these seconds.
    CHECK(last.wait.count >= 399);
    CHECK(last.wait.count <= 400);
    CHECK(last.age == last.wait + time_ms{100});
    CHECK(meter.mean_ms() == doctest::Approx(500).epsilon(0.05));
}

TEST_CASE("report delay: a lost report or a new process distorts the ages for good") {
    report_delay_meter meter;
    meter.on_report(time_ms{0}, report_made_at(0));
    CHECK(meter.on_report(time_ms{300}, report_made_at(300)).age == time_ms{300});
    CHECK(meter.on_report(time_ms{400}, report_made_at(400)).age == time_ms{100});
    // The clock of a new process on another host has nothing to do with that of its predecessor.
    CHECK(meter.on_report(time_ms{500}, report_made_at(9'000'000, 2)).age == time_ms{0});
    CHECK(meter.on_report(time_ms{600}, report_made_at(9'000'100, 2)).age == time_ms{100});
}
