#include "coordination/home_control.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <utility>

using namespace lacewing;
using namespace lacewing::literals;

namespace {

constexpr std::int64_t slots = 3;

configuration zones_config(const std::vector<std::string>& zones, bool with_account = true,
                           bool with_endpoint = true) {
    configuration config;
    config.regions.push_back({{"r"}, 100});
    for (const auto& zone : zones)
        config.zones.push_back({{zone}, {"r"}});
    config.plans.push_back({{"p"}, 100, 50, {}, 1});
    if (with_account) config.accounts.push_back({{"a"}, {"p"}});
    config.routes.push_back({{"route"}, false, false, false, {}});
    // One endpoint in every zone that any test uses.
    for (const char* zone : {"z0", "z1", "z2"}) {
        if (with_endpoint) {
            config.routes[0].endpoints.push_back(
                {{"e" + std::string(zone)}, {zone}, "127.0.0.1:1", slots, 10, "v1"});
        }
    }
    return config;
}

// Store with one log of all changes; a VM reads a prefix of it.
struct fake_store {
    struct change {
        object_event event;
        std::optional<configuration> config;
    };
    std::vector<change> log;
    std::map<std::string, revision_id> revisions;

    void put(const std::string& key, const std::string& value, std::optional<configuration> config = {}) {
        const revision_id next{log.size() + 1};
        revisions[key] = next;
        log.push_back({{key, next, std::make_shared<const std::string>(value)}, std::move(config)});
    }
};

// A VM: home_control and what the owner of the buckets and the slots would hold.
struct fake_vm {
    peer_id id;
    std::string boot_id;
    std::optional<home_control> control;
    std::size_t read = 0;
    std::optional<home_batch> batch;
    time_ms confirm_from;
    bool alive = true;
    bool paused = false;
    home_share_update share;
    // Earlier amounts, whose loans run until a time.
    std::vector<std::pair<budget_amount, time_ms>> loans;
    slot_share_update slot_share;
    std::int64_t in_flight = 0;
};

struct fleet {
    fake_store store;
    std::vector<fake_vm> vms;
    time_ms now{1'000'000};
    std::uint64_t next_incarnation = 1;
    std::string account = account_budget_name({"a"});

    void configure(const configuration& config) { store.put("config/current", "{}", config); }

    std::size_t add(const std::string& zone) {
        const auto name = "vm" + std::to_string(vms.size());
        vms.emplace_back();
        vms.back().id = {{name}, {zone}, name + ":1", {}};
        vms.back().boot_id = "boot" + name;
        start(vms.size() - 1);
        return vms.size() - 1;
    }

    // Starts a new incarnation; a process that goes on keeps its requests in flight.
    void start(std::size_t index, bool same_process = false) {
        auto& vm = vms[index];
        vm.id.incarnation = {next_incarnation++ * 0x9e3779b97f4a7c15U};
        vm.control.emplace(vm.id, vm.boot_id);
        vm.read = 0;
        vm.batch.reset();
        keep_loans(vm);
        vm.share = {};
        vm.slot_share = {};
        if (!same_process) vm.in_flight = 0;
        vm.alive = true;
        vm.paused = false;
    }

    [[nodiscard]] bool usable(const home_share_update& share) const {
        return share.held && now >= share.usable_from && now < share.lease_expiry;
    }
    [[nodiscard]] std::int64_t usable_slots(const fake_vm& vm) const {
        const auto& share = vm.slot_share;
        return vm.alive && now >= share.usable_from && now < share.lease_expiry ? share.slots : 0;
    }
    void keep_loans(fake_vm& vm) const {
        if (usable(vm.share))
            vm.loans.emplace_back(vm.share.amount, std::min(now + max_loan_lifetime, vm.share.lease_expiry));
    }
    void kill(std::size_t index) {
        keep_loans(vms[index]);
        vms[index].share = {};
        vms[index].in_flight = 0;
        vms[index].alive = false;
    }

    void read_to(std::size_t index, std::size_t end) {
        auto& vm = vms[index];
        if (vm.read == 0) vm.control->observe(now, {"budget/" + vm.id.zone.value, {}, nullptr});
        for (; vm.read < std::min(end, store.log.size()); ++vm.read) {
            const auto& change = store.log[vm.read];
            if (change.config) {
                vm.control->update(*change.config);
            } else {
                vm.control->observe(now, change.event);
            }
        }
        vm.control->replicated({vm.read});
    }
    void read_all(std::size_t index) { read_to(index, store.log.size()); }

    // Writes the roster when it is due; the answer may be lost after the write took effect.
    void write(std::size_t index, bool lose_answer = false) {
        auto& vm = vms[index];
        const auto due = vm.control->next_write(now);
        if (!due) return;
        if (store.revisions[due->key] != due->expected) {
            vm.control->roster().write_failed(now);
            return;
        }
        store.put(due->key, due->value);
        if (lose_answer) {
            vm.control->roster().write_failed(now);
        } else {
            vm.control->observe(now, store.log.back().event);
        }
    }

    // Applies a batch as the serve thread does: shares at once, the confirmation when it is due.
    void refresh(std::size_t index, time_ms confirm_after = {}) {
        auto& vm = vms[index];
        auto batch = vm.control->refresh(now);
        if (!batch) return;
        for (const auto& update : batch->homes) {
            if (update.budget != account) continue;
            keep_loans(vm);
            vm.share = update;
        }
        for (const auto& update : batch->slots)
            vm.slot_share = update;
        vm.batch = std::move(batch);
        vm.confirm_from = now + confirm_after;
    }
    void confirm(std::size_t index) {
        auto& vm = vms[index];
        if (!vm.batch || now < vm.confirm_from || vm.in_flight > vm.slot_share.slots) return;
        vm.control->applied({vm.batch->sequence, now + max_loan_lifetime});
        vm.batch.reset();
    }
    void deliver(std::size_t index) {
        for (const auto& action : vms[index].control->roster().take_actions(now)) {
            for (auto& to : vms) {
                if (to.alive && !to.paused && to.id == action.to) {
                    to.control->roster().on_message(now, vms[index].id,
                                                    std::get<home_handover>(action.payload));
                }
            }
        }
    }
    void step(std::size_t index) {
        if (!vms[index].alive || vms[index].paused) return;
        write(index);
        deliver(index);
        refresh(index);
        confirm(index);
    }
    // Lets all VMs read and act for a time.
    void run(time_ms duration, std::optional<std::size_t> except = {}) {
        for (const time_ms end = now + duration; now < end; now += 100_ms) {
            for (std::size_t i = 0; i < vms.size(); ++i) {
                if (!vms[i].alive || vms[i].paused || i == except) continue;
                read_all(i);
                step(i);
            }
            check();
        }
    }

    [[nodiscard]] budget_amount total() const {
        budget_amount sum;
        for (const auto& vm : vms) {
            // A reduced share counts in full until the loans given from it have run out.
            auto most = vm.alive && usable(vm.share) ? vm.share.amount : budget_amount{};
            for (const auto& [amount, until] : vm.loans) {
                if (now >= until) continue;
                most.rate = std::max(most.rate, amount.rate);
                most.capacity = std::max(most.capacity, amount.capacity);
            }
            sum.rate += most.rate;
            sum.capacity += most.capacity;
        }
        return sum;
    }
    [[nodiscard]] std::int64_t slots_of(const std::string& zone) const {
        std::int64_t sum = 0;
        for (const auto& vm : vms) {
            if (vm.id.zone.value == zone) sum += std::max(usable_slots(vm), vm.in_flight);
        }
        return sum;
    }
    void check() const {
        const auto sum = total();
        REQUIRE(sum.rate <= 100'000);
        REQUIRE(sum.capacity <= 50'000'000);
        for (const char* zone : {"z0", "z1", "z2"})
            REQUIRE(slots_of(zone) <= slots);
    }
    void check_complete(const std::vector<std::string>& zones) const {
        CHECK(total().rate == 100'000);
        for (const auto& zone : zones)
            CHECK(slots_of(zone) == slots);
    }
};

} // namespace

TEST_CASE("home control: VMs that apply a longer list of zones late never hold more than the whole") {
    fleet f;
    f.configure(zones_config({"z0", "z1"}));
    for (const char* zone : {"z0", "z1", "z2"})
        f.add(zone);
    f.run(20_s);
    f.check_complete({"z0", "z1"});
    f.configure(zones_config({"z0", "z1", "z2"}));
    f.run(20_s, 0);
    CHECK(f.vms[2].share.amount.rate == 0);
    f.run(20_s);
    f.check_complete({"z0", "z1", "z2"});
    // And a shorter one: z1 may not grow while z0 divides by the old list.
    f.configure(zones_config({"z1"}));
    f.run(20_s, 0);
    CHECK(f.vms[1].share.amount.rate == 33'333);
    f.run(20_s);
    f.check_complete({"z1"});
}

TEST_CASE("home control: a confirmation of a batch made before the list changed does not announce the list") {
    fleet f;
    f.configure(zones_config({"z0"}));
    f.add("z0");
    f.add("z1");
    f.run(20_s);
    f.store.put("budget/z0", *f.store.log[f.store.revisions["budget/z0"].value - 1].event.value);
    f.read_all(0);
    f.refresh(0);
    REQUIRE(f.vms[0].batch.has_value());
    f.configure(zones_config({"z0", "z1"}));
    f.run(20_s, 0);
    f.read_all(0);
    f.confirm(0);
    // The next batch follows only after the loans of the confirmed one have ended.
    f.now += 4_s;
    f.refresh(0);
    f.write(0);
    f.run(2_s);
    CHECK(f.vms[1].share.amount.rate == 0);
    f.run(20_s);
    f.check_complete({"z0", "z1"});
}

TEST_CASE("home control: two changes of the list before a confirmation keep the smallest part") {
    fleet f;
    f.configure(zones_config({"z0", "z1"}));
    f.add("z0");
    f.add("z1");
    f.run(20_s);
    f.configure(zones_config({"z0", "z1", "z2"}));
    f.configure(zones_config({"z0"}));
    f.run(20_s, 1);
    CHECK(f.vms[0].share.amount.rate == 33'334);
    f.run(20_s);
    f.check_complete({"z0"});
}

TEST_CASE("home control: announcements older than the own one are no proof") {
    fleet f;
    f.configure(zones_config({"z0", "z1"}));
    f.add("z1");
    f.run(20_s);
    const auto old_view = f.store.log.size();
    f.configure(zones_config({"z1"}));
    f.run(20_s);
    f.check_complete({"z1"});
    // A new VM knows only the old list and the old announcement of z1.
    f.add("z0");
    for (int i = 0; i < 200; ++i, f.now += 100_ms) {
        f.read_to(1, old_view);
        f.step(1);
        f.check();
    }
    f.run(20_s);
    f.check_complete({"z1"});
}

TEST_CASE("home control: a slot passes on only after the requests in flight of its old holder") {
    fleet f;
    f.configure(zones_config({"z0"}));
    f.add("z0");
    f.run(10_s);
    REQUIRE(f.usable_slots(f.vms[0]) == slots);
    f.vms[0].in_flight = slots;
    for (int i = 0; i < 4; ++i)
        f.add("z0");
    f.run(60_s);
    CHECK(f.slots_of("z0") == slots);
    // The entries are listed, but nobody else starts before the old holder has confirmed.
    CHECK(std::all_of(f.vms.begin() + 1, f.vms.end(), [&](auto& vm) { return f.usable_slots(vm) == 0; }));
    f.vms[0].in_flight = 0;
    f.run(20_s);
    f.check_complete({"z0"});
    CHECK(f.usable_slots(f.vms[0]) < slots);
}

TEST_CASE("home control: a new home starts only after the loans of the old one have ended") {
    fleet f;
    f.configure(zones_config({"z0"}));
    int moves = 0;
    std::size_t holder = 0;
    for (int i = 0; i < 6; ++i) {
        f.add("z0");
        f.run(20_s);
        f.check_complete({"z0"});
        moves += f.usable(f.vms[holder].share) ? 0 : 1;
        while (!f.usable(f.vms[holder].share))
            holder = (holder + 1) % f.vms.size();
    }
    CHECK(moves > 0);
}

TEST_CASE("home control: whoever gains the shares of a killed process waits for its loans") {
    fleet f;
    f.configure(zones_config({"z0"}));
    for (int i = 0; i < 3; ++i)
        f.add("z0");
    f.run(20_s);
    for (std::size_t i = 0; i < 12; ++i) {
        f.kill(i % 3);
        f.start(i % 3);
        f.run(20_s);
        f.check_complete({"z0"});
    }
}

TEST_CASE("home control: a part grows only after the loans of a killed process with the old list") {
    fleet f;
    f.configure(zones_config({"z0", "z1"}));
    f.add("z0");
    f.add("z1");
    f.run(20_s);
    f.configure(zones_config({"z1"}));
    f.run(10_s, 0);
    f.kill(0);
    f.start(0);
    f.run(20_s);
    f.check_complete({"z1"});
}

TEST_CASE("home control: a batch that is lost hands nothing over") {
    fleet f;
    f.configure(zones_config({"z0"}));
    f.add("z0");
    f.run(10_s);
    f.add("z0");
    f.read_all(1);
    f.refresh(1);
    f.confirm(1);
    f.write(1);
    f.read_all(0);
    auto lost = f.vms[0].control->refresh(f.now);
    REQUIRE(lost.has_value());
    f.run(30_s);
    CHECK_FALSE(f.usable(f.vms[1].share));
    CHECK(f.usable_slots(f.vms[1]) == 0);
    CHECK_FALSE(f.vms[0].control->refresh(f.now).has_value());
    // A confirmation of another batch does not count.
    f.vms[0].control->applied({lost->sequence + 1, f.now});
    CHECK_FALSE(f.vms[0].control->refresh(f.now).has_value());
}

TEST_CASE("home control: a roster observed again before the confirmation needs a further batch") {
    fleet f;
    f.configure(zones_config({"z0"}));
    f.add("z0");
    f.run(10_s);
    f.add("z0");
    f.read_all(1);
    f.refresh(1);
    f.confirm(1);
    f.write(1);
    f.store.put("budget/z0", *f.store.log.back().event.value);
    f.read_to(0, f.store.log.size() - 1);
    f.refresh(0);
    f.read_all(0);
    f.confirm(0);
    f.now += 20_s;
    f.deliver(1);
    f.vms[1].paused = true;
    for (const auto& action : f.vms[0].control->roster().take_actions(f.now))
        CHECK(std::get<home_handover>(action.payload).request);
    f.vms[1].paused = false;
    f.run(20_s);
    f.check_complete({"z0"});
}

TEST_CASE(
    "home control: a leaving VM keeps its entry until its slots are given up and its loans have ended") {
    fleet f;
    f.configure(zones_config({"z0"}, false));
    f.add("z0");
    f.add("z0");
    f.run(20_s);
    const std::size_t leaver = f.usable_slots(f.vms[0]) > 0 ? 0 : 1;
    const auto entries = [&] { return f.vms[1 - leaver].control->roster().entries().size(); };
    f.vms[leaver].in_flight = f.usable_slots(f.vms[leaver]);
    f.vms[leaver].control->leave();
    f.run(30_s);
    CHECK(entries() == 2);
    f.vms[leaver].in_flight = 0;
    f.run(2_s);
    CHECK(entries() == 2);
    f.run(20_s);
    CHECK(entries() == 1);
    CHECK(f.vms[leaver].control->left());
    CHECK(f.usable_slots(f.vms[1 - leaver]) == slots);
}

TEST_CASE("home control: an account and an endpoint that the configuration removes are given up") {
    fleet f;
    f.configure(zones_config({"z0"}));
    f.add("z0");
    f.run(10_s);
    f.check_complete({"z0"});
    f.configure(zones_config({"z0"}, false, false));
    f.run(5_s);
    CHECK_FALSE(f.vms[0].share.held);
    CHECK(f.usable_slots(f.vms[0]) == 0);
    f.configure(zones_config({"z0"}));
    f.run(5_s);
    f.check_complete({"z0"});
}

TEST_CASE("home control: a process that goes on after a pause joins again only without requests in flight") {
    fleet f;
    f.configure(zones_config({"z0"}));
    f.add("z0");
    f.run(10_s);
    f.vms[0].in_flight = slots;
    f.start(0, true);
    f.add("z0");
    f.run(60_s);
    CHECK(f.usable_slots(f.vms[1]) == 0);
    f.vms[0].in_flight = 0;
    f.run(20_s);
    f.check_complete({"z0"});
}

TEST_CASE("home control: a confirmation for the earlier incarnation of the process is ignored") {
    fleet f;
    f.configure(zones_config({"z0"}));
    f.add("z0");
    f.read_all(0);
    f.refresh(0);
    const auto old = f.vms[0].batch->sequence;
    f.start(0, true);
    f.read_all(0);
    f.refresh(0);
    f.vms[0].control->applied({old, f.now});
    CHECK_FALSE(f.vms[0].control->next_write(f.now).has_value());
}

TEST_CASE("home control: shares and slots stay within the whole in random runs") {
    const std::vector<std::vector<std::string>> lists{
        {"z0"}, {"z0", "z1"}, {"z0", "z1", "z2"}, {"z1", "z2"}, {"z2", "z0"}};
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const auto pick = [&](std::uint64_t below) { return random() % below; };
        // Frequent changes test the order of announcements, rare ones let the parts grow in between.
        const std::uint64_t change_every = seed % 2 == 0 ? 100 : 600;
        fleet f;
        f.configure(zones_config(lists[2]));
        for (const char* zone : {"z0", "z0", "z1", "z1", "z2"})
            f.add(zone);
        for (int i = 0; i < 3000; ++i) {
            f.now += pick(50) == 0    ? 20_s
                     : pick(400) == 0 ? 400_s
                                      : time_ms{static_cast<std::int64_t>(pick(400))};
            f.check();
            const auto index = pick(f.vms.size());
            auto& vm = f.vms[index];
            if (pick(change_every) == 0) f.configure(zones_config(lists[pick(lists.size())]));
            if (pick(200) == 0 && f.vms.size() < 10) f.add("z" + std::to_string(pick(3)));
            if (!vm.alive) {
                if (pick(10) == 0) f.start(index);
            } else if (vm.paused) {
                // Requests in flight end while the process does not run.
                vm.in_flight = pick(10) == 0 ? 0 : vm.in_flight;
                if (pick(30) == 0) f.start(index, true);
            } else if (pick(150) == 0) {
                f.kill(index);
                if (pick(2) == 0) f.start(index);
            } else if (pick(150) == 0) {
                vm.paused = true;
            } else if (pick(150) == 0) {
                vm.control->leave();
            } else {
                if (vm.control->left() && vm.read > 0 && pick(40) == 0) f.start(index, true);
                f.read_to(index, std::max<std::size_t>(1, vm.read + pick(seed % 2 == 0 ? 4 : 12)));
                f.write(index, pick(10) == 0);
                f.deliver(index);
                if (vm.in_flight < f.usable_slots(vm)) ++vm.in_flight;
                if (vm.in_flight > 0 && pick(4) == 0) --vm.in_flight;
                f.refresh(index, time_ms{static_cast<std::int64_t>(pick(3000))});
                f.confirm(index);
            }
            f.check();
        }
    }
}
