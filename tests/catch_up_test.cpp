#include "coordination/catch_up.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

using namespace lacewing;

namespace {

/// VMs of which one knows a change; the others fetch it from those that report it. The answers of a VM share
/// its link.
struct fleet_behind {
    static constexpr time_ms fetch_timeout{800};
    static constexpr std::int64_t link_bytes_per_ms = 1'250; // 10 Mbit/s
    static constexpr std::int64_t snapshot_bytes = 20'000;

    struct fetch {
        std::size_t to = 0;
        std::int64_t bytes_left = snapshot_bytes;
        time_ms begun{0};
    };
    struct vm {
        explicit vm(std::uint64_t seed) : decision(seed) {}
        catch_up decision;
        snapshot_budget budget;
        bool knows = false;
        std::vector<fetch> answers;
    };

    fleet_behind(std::size_t count, std::uint64_t seed) {
        for (std::size_t i = 0; i < count; ++i) {
            vms.emplace_back(seed * 1'000 + i);
            vms.back().decision.set_live_vms(count);
        }
        vms.front().knows = true;
    }

    // Each VM reports every 100 ms, at a moment of its own.
    void report() {
        for (std::size_t from = 0; from < vms.size(); ++from) {
            if (static_cast<std::size_t>(now.count % 100) != from % 100 || !vms[from].knows) continue;
            for (std::size_t to = 0; to < vms.size(); ++to) {
                if (vms[to].knows || !vms[to].decision.on_report(now, "config", 11, 10)) continue;
                if (vms[from].budget.may_send(now)) {
                    vms[from].budget.on_sent(snapshot_bytes);
                    vms[from].answers.push_back({to, snapshot_bytes, now});
                } else {
                    vms[to].decision.finished(now, "config");
                }
            }
        }
    }

    void send(vm& sender) {
        const auto count = static_cast<std::int64_t>(sender.answers.size());
        for (auto& answer : sender.answers)
            answer.bytes_left -= link_bytes_per_ms / count;
        std::erase_if(sender.answers, [&](const fetch& answer) {
            const bool done = answer.bytes_left <= 0;
            if (!done && now - answer.begun < fetch_timeout) return false;
            vms[answer.to].knows = vms[answer.to].knows || done;
            vms[answer.to].decision.finished(now, "config");
            return true;
        });
    }

    [[nodiscard]] std::size_t behind() const {
        return static_cast<std::size_t>(
            std::count_if(vms.begin(), vms.end(), [](const vm& item) { return !item.knows; }));
    }

    void run(time_ms end) {
        for (; now < end; now += time_ms{1}) {
            report();
            for (auto& item : vms)
                send(item);
        }
    }

    time_ms now{0};
    std::vector<vm> vms;
};

} // namespace

// Guards against issue 28: at scale, all VMs fetch a change from the one that has it at the same moment, and
// no answer arrives in time. On such sites a configuration must be in force 3 s after its confirmation.
TEST_CASE("catch-up: VMs of a large fleet fetch a change at the same moment and none gets it in time") {
    for (const std::size_t count : {2, 8, 30, 76, 300}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            CAPTURE(count);
            CAPTURE(seed);
            fleet_behind fleet(count, seed);
            fleet.run(time_ms{2'500});
            CHECK(fleet.behind() == 0);
        }
    }
}

// Guards against issue 28: the watches of several VMs are silent, and each report of a VM that is behind,
// too, restarts the wait of the others for the snapshot of the one that is not.
TEST_CASE("catch-up: reports of VMs that are behind delay the fetch of a missing change") {
    catch_up decision(1);
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
    catch_up decision(1);
    for (std::uint64_t revision = 11; revision < 40; ++revision) {
        const time_ms now{static_cast<std::int64_t>(revision) * 300};
        CHECK_FALSE(decision.on_report(now, "servers", revision, revision - 1));
        CHECK_FALSE(decision.on_report(now + time_ms{200}, "servers", revision, revision));
    }
}

TEST_CASE("catch-up: a kind is fetched twice at the same time, or never again after a failed fetch") {
    catch_up decision(1);
    CHECK_FALSE(decision.on_report(time_ms{0}, "config", 11, 10));
    CHECK(decision.on_report(time_ms{600}, "config", 11, 10));
    CHECK_FALSE(decision.on_report(time_ms{700}, "config", 12, 10));
    decision.finished(time_ms{800}, "config");
    CHECK(decision.on_report(time_ms{800}, "config", 12, 10));
    decision.finished(time_ms{900}, "config");
    CHECK_FALSE(decision.on_report(time_ms{900}, "config", 12, 12));
}
