#include "coordination/fleet_view.h"

#include <doctest/doctest.h>

using namespace lacewing;

namespace {

vm_report report(const std::string& vm, std::uint64_t incarnation = 1) {
    vm_report made;
    made.vm = {vm};
    made.incarnation = incarnation_id{incarnation};
    made.peer_address = "10.0.0.1:1";
    made.caller_address = "10.0.0.1:2";
    made.region = {"east"};
    made.ready = true;
    made.store_reached = true;
    return made;
}

} // namespace

TEST_CASE("fleet view: a VM that is silent, is leaving or has ended still counts as alive") {
    fleet_view fleet(report("self"));
    CHECK(fleet.on_report(time_ms{0}, report("b")));
    CHECK_FALSE(fleet.on_report(time_ms{100}, report("b")));
    CHECK(fleet.alive_vm_count(time_ms{200}) == 2);
    CHECK(fleet.alive_vm_count(time_ms{100} + fleet_view::silence_limit) == 1);
    auto leaving = report("b");
    leaving.leaving = true;
    fleet.on_report(time_ms{5000}, leaving);
    CHECK(fleet.alive_vm_count(time_ms{5001}) == 1);
    CHECK(fleet.on_report(time_ms{6000}, report("b", 2)));
    fleet.on_connection_refused("10.0.0.1:1");
    CHECK(fleet.alive_vm_count(time_ms{6001}) == 1);
}

TEST_CASE("fleet view: a report without addresses erases those of an earlier report") {
    fleet_view fleet(report("self"));
    fleet.on_report(time_ms{0}, report("b"));
    vm_report without_identity;
    without_identity.vm = {"b"};
    without_identity.incarnation = incarnation_id{1};
    without_identity.has_identity = false;
    fleet.on_report(time_ms{1}, without_identity);
    CHECK(fleet.members().at("b").report.caller_address == "10.0.0.1:2");
    CHECK(fleet.members().at("b").report.region.value == "east");
}

TEST_CASE("fleet view: a duty has no owner or two owners while all VMs hear each other") {
    const std::vector<std::string> names{"a", "b", "c", "d", "e"};
    std::vector<fleet_view> views;
    for (const auto& name : names) {
        views.emplace_back(report(name));
        for (const auto& other : names)
            views.back().on_report(time_ms{0}, report(other));
    }
    for (int key = 0; key < 100; ++key) {
        int owners = 0;
        for (const auto& view : views)
            owners += view.owns("k" + std::to_string(key), time_ms{1}) ? 1 : 0;
        CHECK(owners == 1);
    }
}

TEST_CASE("fleet view: a VM that cannot reach the store owns a duty that writes to it") {
    fleet_view fleet(report("self"));
    auto store_unreachable = report("b");
    store_unreachable.store_reached = false;
    fleet.on_report(time_ms{0}, store_unreachable);
    for (int key = 0; key < 20; ++key) {
        CHECK(fleet.owns_writes("k" + std::to_string(key), time_ms{1}, true));
        CHECK_FALSE(fleet.owns_writes("k" + std::to_string(key), time_ms{1}, false));
    }
}

TEST_CASE("fleet view: a minority regards itself as the majority") {
    fleet_view fleet(report("self"));
    for (const auto* name : {"b", "c", "d"})
        fleet.on_report(time_ms{0}, report(name));
    fleet.on_report(time_ms{5000}, report("b"));
    // Two of four VMs are alive: the half that holds the first name, here b, is the majority.
    CHECK(fleet.in_majority(time_ms{5001}));
    CHECK_FALSE(fleet.in_majority(time_ms{8000}));
    fleet_view other(report("c"));
    for (const auto* name : {"b", "d", "self"})
        other.on_report(time_ms{0}, report(name));
    other.on_report(time_ms{5000}, report("d"));
    CHECK_FALSE(other.in_majority(time_ms{5001}));
}

TEST_CASE("fleet view: a report that was overtaken, or a copy, brings back an earlier state") {
    fleet_view fleet(report("self"));
    auto first = report("b");
    first.sequence = 1;
    auto leaving = report("b");
    leaving.sequence = 2;
    leaving.leaving = true;
    CHECK_FALSE(fleet.outdated(leaving.header()));
    fleet.on_report(time_ms{0}, leaving);
    CHECK(fleet.outdated(first.header()));
    CHECK(fleet.outdated(leaving.header()));
    leaving.sequence = 3;
    CHECK_FALSE(fleet.outdated(leaving.header()));
    // A restarted process counts from one again.
    auto restarted = report("b", 2);
    restarted.sequence = 1;
    CHECK_FALSE(fleet.outdated(restarted.header()));
    // A process without numbers, of an earlier release.
    CHECK_FALSE(fleet.outdated(report("b").header()));
}

TEST_CASE("fleet view: the watchers of a large region are too many, or none is left when they fail") {
    std::vector<std::string> names;
    names.reserve(20);
    for (int i = 0; i < 20; ++i)
        names.push_back("vm-" + std::to_string(i));
    const auto watchers = [&names](time_ms now, std::size_t silent_from, bool store_reached) {
        std::vector<std::string> found;
        for (std::size_t self = 0; self < silent_from; ++self) {
            fleet_view view(report(names[self]));
            for (std::size_t other = 0; other < silent_from; ++other) {
                auto made = report(names[other]);
                made.store_reached = store_reached;
                view.on_report(now, made);
            }
            if (view.watches_for_region(now)) found.push_back(names[self]);
        }
        return found;
    };
    CHECK(watchers(time_ms{100}, 20, true).size() == 2);
    CHECK(watchers(time_ms{100}, 7, true).size() == 2);
    // Small regions, and VMs that know of no other with access to the store, watch by themselves.
    CHECK(watchers(time_ms{100}, 4, true).size() == 4);
    CHECK(watchers(time_ms{100}, 20, false).size() == 20);
}

TEST_CASE("fleet view: a watcher of another region counts for this one") {
    fleet_view view(report("vm-0"));
    for (int i = 1; i < 20; ++i) {
        auto made = report("vm-" + std::to_string(i));
        made.region = {"west"};
        view.on_report(time_ms{0}, made);
    }
    CHECK(view.watches_for_region(time_ms{1}));
}

TEST_CASE("fleet view: a watcher that has fallen silent is not replaced") {
    const auto view_at = [](time_ms now, const std::string& self) {
        fleet_view view(report(self));
        for (int i = 0; i < 20; ++i)
            view.on_report(now, report("vm-" + std::to_string(i)));
        return view;
    };
    std::vector<std::string> first;
    for (int i = 0; i < 20; ++i) {
        const auto name = "vm-" + std::to_string(i);
        if (view_at(time_ms{0}, name).watches_for_region(time_ms{1})) first.push_back(name);
    }
    REQUIRE(first.size() == 2);
    std::size_t later = 0;
    for (int i = 0; i < 20; ++i) {
        const auto name = "vm-" + std::to_string(i);
        if (name == first[0]) continue;
        auto view = view_at(time_ms{0}, name);
        for (int other = 0; other < 20; ++other) {
            const auto reporting = "vm-" + std::to_string(other);
            if (reporting != first[0]) view.on_report(time_ms{2500}, report(reporting));
        }
        if (view.watches_for_region(time_ms{2501})) ++later;
    }
    CHECK(later == 2);
}
