#include "coordination/zone_roster.h"
#include "state/error_kind.h"

#include <doctest/doctest.h>

#include <deque>
#include <memory>

using namespace lacewing;
using namespace lacewing::literals;

namespace {

// The store's object and the VMs of one zone, driven by hand.
struct zone_of_vms {
    revision_id revision;
    std::shared_ptr<const std::string> value;
    std::deque<zone_roster> vms;
    std::vector<peer_id> ids;

    std::size_t add(std::uint64_t incarnation, const std::string& address, const std::string& boot_id) {
        ids.push_back({{"vm"}, {"z"}, address, {incarnation}});
        vms.emplace_back(ids.back(), boot_id);
        return vms.size() - 1;
    }

    // Writes what the VM has due, if the revision matches; returns whether something was written.
    bool write(std::size_t vm, time_ms now) {
        const auto due = vms[vm].next_write(now);
        if (!due) {
            return false;
        }
        if (due->expected != revision) {
            vms[vm].write_failed(now);
            return false;
        }
        ++revision.value;
        value = std::make_shared<const std::string>(due->value);
        return true;
    }

    void show(std::size_t vm, time_ms now) { vms[vm].observe(now, {"budget/z", revision, value}); }

    void join(std::size_t vm, time_ms now) {
        show(vm, now);
        CHECK(write(vm, now));
        show(vm, now);
    }

    // Delivers all messages of one VM to the others.
    void deliver(std::size_t from, time_ms now) {
        for (const auto& action : vms[from].take_actions(now)) {
            for (std::size_t to = 0; to < vms.size(); ++to) {
                if (ids[to] == action.to) {
                    vms[to].on_message(now, ids[from], std::get<home_handover>(action.payload));
                }
            }
        }
    }

    int homes(time_ms now, const std::string& budget) {
        int count = 0;
        for (auto& vm : vms) {
            count += vm.term(now, budget).home ? 1 : 0;
        }
        return count;
    }
};

// A budget in which the second incarnation outranks the first.
std::string won_by(std::uint64_t winner, std::uint64_t loser) {
    for (int i = 0;; ++i) {
        std::string name = "budget" + std::to_string(i);
        if (rendezvous_weight(name, {winner}) > rendezvous_weight(name, {loser})) {
            return name;
        }
    }
}

} // namespace

TEST_CASE("roster: JSON survives a round trip and other text is rejected") {
    const roster_object roster{{{{{"a"}, {"z"}, "127.0.0.1:1", {0xffff'ffff'ffff'fff1}}, "boot", 3, 9}},
                               "x:1"};
    const auto copy = parse_roster(to_json(roster));
    CHECK(copy.entries == roster.entries);
    CHECK(copy.written_by == roster.written_by);
    CHECK_THROWS_AS(parse_roster("[1]"), error);
    CHECK_THROWS_AS(parse_roster("{\"vms\":[{\"incarnation\":\"x\"}]}"), error);
    CHECK_THROWS_AS(parse_roster("{\"vms\":[3]}"), error);
}

TEST_CASE("roster: the first VM holds every budget; a joining VM waits for the hand-over") {
    zone_of_vms zone;
    const auto a = zone.add(1, "h1:1", "b1");
    const auto b = zone.add(2, "h2:1", "b2");
    const auto budget = won_by(2, 1);
    zone.join(a, 0_ms);
    CHECK(zone.vms[a].term(0_ms, budget).home);
    zone.join(b, 1_s);
    CHECK_FALSE(zone.vms[b].term(1_s, budget).home);
    zone.deliver(b, 1_s);
    zone.deliver(a, 1_s);
    // The old home has not seen the new entry and must not confirm.
    CHECK_FALSE(zone.vms[b].term(1_s, budget).home);
    zone.show(a, 2_s);
    CHECK_FALSE(zone.vms[a].term(2_s, budget).home);
    zone.vms[a].dropped(5_s);
    zone.deliver(b, 3_s);
    zone.deliver(a, 3_s);
    // Loans of the old home run until 5 s.
    CHECK_FALSE(zone.vms[b].term(3_s, budget).home);
    zone.deliver(b, 5_s);
    zone.deliver(a, 5_s);
    CHECK(zone.vms[b].term(5_s, budget).home);
    CHECK(zone.homes(5_s, budget) == 1);
    CHECK(zone.homes(5_s, won_by(1, 2)) == 1);
}

TEST_CASE("roster: an entry expires only when it was observed unchanged for the lease and the drift") {
    zone_of_vms zone;
    const auto a = zone.add(1, "h1:1", "b1");
    const auto b = zone.add(2, "h2:1", "b2");
    const auto budget = won_by(2, 1);
    zone.join(a, 0_ms);
    zone.join(b, 10_s);
    zone.show(a, 10_s);
    // a renews on time and sees that b does not.
    time_ms now = 10_s;
    for (; now < 10_s + with_clock_drift(roster_lease) - 1_ms; now += 1_s) {
        if (zone.write(a, now)) {
            zone.show(a, now);
        }
        REQUIRE(zone.vms[a].entries().size() == 2);
    }
    now = 10_s + with_clock_drift(roster_lease);
    CHECK(now > zone.vms[a].term(now, "x").lease_expiry - roster_lease);
    zone.write(a, now);
    zone.show(a, now);
    CHECK(zone.vms[a].entries().size() == 1);
    // The lease of b has ended on its own clock before, even when that clock runs 1 % slow.
    CHECK_FALSE(zone.vms[b].term(10_s + roster_lease, budget).home);
    const auto term = zone.vms[a].term(now, budget);
    CHECK(term.home);
    CHECK(term.usable_from == now + max_loan_lifetime);
    // b wakes, sees that it was removed and does not write again.
    zone.show(b, now);
    CHECK(zone.vms[b].removed());
    CHECK_FALSE(zone.vms[b].next_write(now).has_value());
}

TEST_CASE("roster: an observer with an old view cannot remove an entry that was renewed") {
    zone_of_vms zone;
    const auto a = zone.add(1, "h1:1", "b1");
    const auto b = zone.add(2, "h2:1", "b2");
    zone.join(a, 0_ms);
    zone.join(b, 1_s);
    zone.show(a, 1_s);
    CHECK(zone.write(b, 302_s));
    const time_ms late = 2000_s;
    CHECK_FALSE(zone.write(a, late));
    zone.show(a, late);
    CHECK(zone.vms[a].entries().size() == 2);
}

TEST_CASE("roster: a restarted process replaces its predecessor and waits for its loans") {
    zone_of_vms zone;
    const auto a = zone.add(1, "h1:1", "b1");
    const auto b = zone.add(2, "h2:1", "b2");
    zone.join(a, 0_ms);
    zone.join(b, 1_s);
    zone.show(a, 1_s);
    const auto successor = zone.add(3, "h2:1", "b2");
    zone.join(successor, 5_s);
    CHECK(zone.vms[successor].entries().size() == 2);
    zone.show(a, 6_s);
    const auto gained = won_by(1, 3);
    if (const auto term = zone.vms[a].term(6_s, gained); term.home) {
        CHECK(term.usable_from == 6_s + max_loan_lifetime);
    }
    zone.vms[a].dropped(6_s);
    zone.deliver(successor, 6_s);
    zone.deliver(a, 6_s);
    const auto term = zone.vms[successor].term(6_s, won_by(3, 1));
    CHECK(term.home);
    CHECK(term.usable_from >= 5_s + max_loan_lifetime);
    // Another boot of the host proves nothing about the old process.
    const auto stranger = zone.add(4, "h1:1", "b9");
    zone.join(stranger, 7_s);
    CHECK(zone.vms[stranger].entries().size() == 3);
}

TEST_CASE("roster: a write whose answer was lost is recognised, and the lease runs from its sending time") {
    zone_of_vms zone;
    const auto a = zone.add(1, "h1:1", "b1");
    zone.show(a, 0_ms);
    CHECK(zone.write(a, 1_s));
    zone.vms[a].write_failed(3_s);
    zone.show(a, 4_s);
    CHECK(zone.vms[a].term(4_s, "x").lease_expiry == 1_s + roster_lease);
    CHECK_FALSE(zone.vms[a].next_write(10_s).has_value());
}

TEST_CASE("roster: while the store is down a home keeps its budgets until the lease ends") {
    zone_of_vms zone;
    const auto a = zone.add(1, "h1:1", "b1");
    zone.join(a, 0_ms);
    for (time_ms now = 300_s; now < roster_lease; now += 10_s) {
        CHECK(zone.vms[a].next_write(now).has_value());
        zone.vms[a].write_failed(now);
        CHECK(zone.vms[a].term(now, "x").home);
    }
    CHECK_FALSE(zone.vms[a].term(roster_lease, "x").home);
}

TEST_CASE("roster: a leaving VM removes its entry, and its budgets pass on") {
    zone_of_vms zone;
    const auto a = zone.add(1, "h1:1", "b1");
    const auto b = zone.add(2, "h2:1", "b2");
    zone.join(a, 0_ms);
    zone.join(b, 1_s);
    zone.vms[b].leave();
    CHECK(zone.write(b, 2_s));
    zone.show(a, 3_s);
    CHECK(zone.vms[a].entries().size() == 1);
    CHECK(zone.vms[a].term(3_s, won_by(2, 1)).home);
}
