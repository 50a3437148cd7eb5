#include "coordination/catch_up.h"

#include <doctest/doctest.h>

using namespace lacewing;

// Guards against issue 28: the watches of several VMs are silent, and each report of a VM that is behind,
// too, restarts the wait of the others for the snapshot of the one that is not.
TEST_CASE("catch-up: reports of VMs that are behind delay the fetch of a missing change") {
    catch_up decision;
    constexpr std::uint64_t own = 10;
    time_ms fetched{-1};
    for (time_ms now{0}; now <= time_ms{2'000} && fetched < time_ms{0}; now += time_ms{20}) {
        // One VM has the change, five do not.
        if (now.count % 100 == 0 && decision.on_report(now, "config", 11, own)) fetched = now;
        CHECK_FALSE(decision.on_report(now, "config", own, own));
        CHECK_FALSE(decision.on_report(now, "config", own - 3, own));
    }
    CHECK(fetched >= catch_up::delay);
    CHECK(fetched <= catch_up::delay + time_ms{100});
}

TEST_CASE("catch-up: a change that the own watch brings in time is fetched from another VM") {
    catch_up decision;
    for (std::uint64_t revision = 11; revision < 40; ++revision) {
        const time_ms now{static_cast<std::int64_t>(revision) * 300};
        CHECK_FALSE(decision.on_report(now, "servers", revision, revision - 1));
        CHECK_FALSE(decision.on_report(now + time_ms{200}, "servers", revision, revision));
    }
}

TEST_CASE("catch-up: a kind is fetched twice at the same time, or never again after a failed fetch") {
    catch_up decision;
    CHECK_FALSE(decision.on_report(time_ms{0}, "config", 11, 10));
    CHECK(decision.on_report(time_ms{600}, "config", 11, 10));
    CHECK_FALSE(decision.on_report(time_ms{700}, "config", 12, 10));
    decision.finished("config");
    CHECK(decision.on_report(time_ms{800}, "config", 12, 10));
    decision.finished("config");
    CHECK_FALSE(decision.on_report(time_ms{900}, "config", 12, 12));
}
