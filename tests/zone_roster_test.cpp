#include "coordination/zone_roster.h"
#include "state/error_kind.h"

#include <doctest/doctest.h>

#include <deque>
#include <memory>

using namespace lacewing;
using namespace lacewing::literals;

namespace {

// The stored roster and the VMs of one zone; the test delivers rosters and messages.
struct simulated_zone {
    revision_id revision;
    std::shared_ptr<const std::string> value;
    std::deque<zone_roster> vms;
    std::vector<peer_id> ids;

    std::size_t add(std::uint64_t incarnation, const std::string& address, const std::string& boot_id) {
        ids.push_back({{"vm"}, {"z"}, address, {incarnation}});
        vms.emplace_back(ids.back(), boot_id);
        return vms.size() - 1;
    }

    // Performs the due write of a VM if the revision matches; returns whether the roster was written.
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

    void deliver_roster(std::size_t vm, time_ms now) { vms[vm].observe(now, {"budget/z", revision, value}); }

    void join(std::size_t vm, time_ms now) {
        deliver_roster(vm, now);
        CHECK(write(vm, now));
        deliver_roster(vm, now);
    }

    // Delivers all messages of one VM to the others.
    void deliver_messages(std::size_t from, time_ms now) {
        for (const auto& action : vms[from].take_actions(now)) {
            for (std::size_t to = 0; to < vms.size(); ++to) {
                if (ids[to] == action.to) {
                    vms[to].on_message(now, ids[from], std::get<home_handover>(action.payload));
                }
            }
        }
    }

    int count_homes(time_ms now, const std::string& budget) {
        int count = 0;
        for (auto& vm : vms) {
            count += vm.term(now, budget).home ? 1 : 0;
        }
        return count;
    }
};

// A budget whose home is `home` when the entries of both incarnations are listed.
std::string budget_with_home(std::uint64_t home, std::uint64_t other) {
    for (int i = 0;; ++i) {
        std::string name = "budget" + std::to_string(i);
        if (rendezvous_weight(name, {home}) > rendezvous_weight(name, {other})) {
            return name;
        }
    }
}

} // namespace

TEST_CASE("roster: JSON round trip; text that is no roster is rejected") {
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
    simulated_zone zone;
    const auto a = zone.add(1, "h1:1", "b1");
    const auto b = zone.add(2, "h2:1", "b2");
    const auto budget = budget_with_home(2, 1);
    zone.join(a, 0_ms);
    CHECK(zone.vms[a].term(0_ms, budget).home);
    zone.join(b, 1_s);
    CHECK_FALSE(zone.vms[b].term(1_s, budget).home);
    zone.deliver_messages(b, 1_s);
    zone.deliver_messages(a, 1_s);
    // The old home has not seen the new entry and must not hand over.
    CHECK_FALSE(zone.vms[b].term(1_s, budget).home);
    zone.deliver_roster(a, 2_s);
    CHECK_FALSE(zone.vms[a].term(2_s, budget).home);
    zone.vms[a].shares_dropped(5_s);
    zone.deliver_messages(b, 3_s);
    zone.deliver_messages(a, 3_s);
    // Loans of the old home run until 5 s.
    CHECK_FALSE(zone.vms[b].term(3_s, budget).home);
    zone.deliver_messages(b, 5_s);
    zone.deliver_messages(a, 5_s);
    CHECK(zone.vms[b].term(5_s, budget).home);
    CHECK(zone.count_homes(5_s, budget) == 1);
    CHECK(zone.count_homes(5_s, budget_with_home(1, 2)) == 1);
}

TEST_CASE("roster: an entry expires only after it was observed unchanged for the lease plus clock drift") {
    simulated_zone zone;
    const auto a = zone.add(1, "h1:1", "b1");
    const auto b = zone.add(2, "h2:1", "b2");
    const auto budget = budget_with_home(2, 1);
    zone.join(a, 0_ms);
    zone.join(b, 10_s);
    zone.deliver_roster(a, 10_s);
    // VM a renews on time and observes that b does not.
    time_ms now = 10_s;
    for (; now < 10_s + with_clock_drift(roster_lease) - 1_ms; now += 1_s) {
        if (zone.write(a, now)) {
            zone.deliver_roster(a, now);
        }
        REQUIRE(zone.vms[a].entries().size() == 2);
    }
    now = 10_s + with_clock_drift(roster_lease);
    CHECK(now > zone.vms[a].term(now, "x").lease_expiry - roster_lease);
    zone.write(a, now);
    zone.deliver_roster(a, now);
    CHECK(zone.vms[a].entries().size() == 1);
    // The lease of b ended earlier on its own clock, even if that clock runs 1 % slow.
    CHECK_FALSE(zone.vms[b].term(10_s + roster_lease, budget).home);
    const auto term = zone.vms[a].term(now, budget);
    CHECK(term.home);
    CHECK(term.usable_from == now + max_loan_lifetime);
    // VM b resumes, observes that it was removed and does not write again.
    zone.deliver_roster(b, now);
    CHECK(zone.vms[b].removed());
    CHECK_FALSE(zone.vms[b].next_write(now).has_value());
}

TEST_CASE("roster: an observer with an old view cannot remove an entry that was renewed") {
    simulated_zone zone;
    const auto a = zone.add(1, "h1:1", "b1");
    const auto b = zone.add(2, "h2:1", "b2");
    zone.join(a, 0_ms);
    zone.join(b, 1_s);
    zone.deliver_roster(a, 1_s);
    CHECK(zone.write(b, 302_s));
    const time_ms expiry_check = 2000_s;
    CHECK_FALSE(zone.write(a, expiry_check));
    zone.deliver_roster(a, expiry_check);
    CHECK(zone.vms[a].entries().size() == 2);
}

TEST_CASE("roster: a restarted process replaces its earlier entry and waits until the earlier loans expire") {
    simulated_zone zone;
    const auto a = zone.add(1, "h1:1", "b1");
    const auto b = zone.add(2, "h2:1", "b2");
    zone.join(a, 0_ms);
    zone.join(b, 1_s);
    zone.deliver_roster(a, 1_s);
    const auto successor = zone.add(3, "h2:1", "b2");
    zone.join(successor, 5_s);
    CHECK(zone.vms[successor].entries().size() == 2);
    zone.deliver_roster(a, 6_s);
    const auto gained_budget = budget_with_home(1, 3);
    if (const auto term = zone.vms[a].term(6_s, gained_budget); term.home) {
        CHECK(term.usable_from == 6_s + max_loan_lifetime);
    }
    zone.vms[a].shares_dropped(6_s);
    zone.deliver_messages(successor, 6_s);
    zone.deliver_messages(a, 6_s);
    const auto term = zone.vms[successor].term(6_s, budget_with_home(3, 1));
    CHECK(term.home);
    CHECK(term.usable_from >= 5_s + max_loan_lifetime);
    // A different boot id at the same address does not prove that the old process is gone.
    const auto rebooted = zone.add(4, "h1:1", "b9");
    zone.join(rebooted, 7_s);
    CHECK(zone.vms[rebooted].entries().size() == 3);
}

TEST_CASE("roster: a write whose answer was lost is recognised, and the lease runs from its sending time") {
    simulated_zone zone;
    const auto a = zone.add(1, "h1:1", "b1");
    zone.deliver_roster(a, 0_ms);
    CHECK(zone.write(a, 1_s));
    zone.vms[a].write_failed(3_s);
    zone.deliver_roster(a, 4_s);
    CHECK(zone.vms[a].term(4_s, "x").lease_expiry == 1_s + roster_lease);
    CHECK_FALSE(zone.vms[a].next_write(10_s).has_value());
}

TEST_CASE("roster: while the store is down, a home keeps its budgets until its lease ends") {
    simulated_zone zone;
    const auto a = zone.add(1, "h1:1", "b1");
    zone.join(a, 0_ms);
    for (time_ms now = 300_s; now < roster_lease; now += 10_s) {
        CHECK(zone.vms[a].next_write(now).has_value());
        zone.vms[a].write_failed(now);
        CHECK(zone.vms[a].term(now, "x").home);
    }
    CHECK_FALSE(zone.vms[a].term(roster_lease, "x").home);
}

TEST_CASE("roster: a leaving VM removes its entry, and its budgets get new homes") {
    simulated_zone zone;
    const auto a = zone.add(1, "h1:1", "b1");
    const auto b = zone.add(2, "h2:1", "b2");
    zone.join(a, 0_ms);
    zone.join(b, 1_s);
    zone.vms[b].leave();
    CHECK(zone.write(b, 2_s));
    zone.deliver_roster(a, 3_s);
    CHECK(zone.vms[a].entries().size() == 1);
    CHECK(zone.vms[a].term(3_s, budget_with_home(2, 1)).home);
}
