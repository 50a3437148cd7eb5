#include "coordination/duty_lease.h"
#include "protocol/usage_codec.h"

#include <doctest/doctest.h>

using namespace lacewing;
using namespace lacewing::literals;
using call = duty_lease::action::call;

namespace {

constexpr time_ms term{3000};

/// Store with one lease.
struct lease_store {
    std::optional<duty_record> record;
    std::uint64_t revision = 0;

    /// Executes a call and hands back its answer.
    void serve(duty_lease& lease, const duty_lease::action& action, time_ms now) {
        if (action.kind == call::none) return;
        if (action.kind == call::read) {
            lease.on_read(now, record, record ? revision : 0);
            return;
        }
        if (!execute(action)) {
            lease.on_conflict(now);
        } else {
            lease.on_written(now, revision);
        }
    }
    bool execute(const duty_lease::action& action) {
        if (action.kind == call::create ? record.has_value() : revision != action.revision) return false;
        record = action.record;
        ++revision;
        return true;
    }
};

// Lets a VM make its calls in a span of time.
void run(lease_store& store, duty_lease& lease, time_ms from, time_ms to, bool candidate) {
    for (auto now = from; now < to; now += 100_ms) {
        const auto progress = lease.stored() ? lease.stored()->progress : duty_progress{7, {}};
        store.serve(lease, lease.next(now, candidate, progress, false), now);
    }
}

} // namespace

TEST_CASE("duty lease: the first candidate creates it, holds it and renews it") {
    lease_store store;
    duty_lease lease("a", 1, term);
    run(store, lease, 0_ms, 10_s, true);
    CHECK(lease.holds());
    CHECK(lease.token() == 1);
    CHECK(lease.may_act(10_s));
    CHECK(store.record->progress.next_window == 7);
    // About three renewals in a term.
    CHECK(store.revision >= 9);
    CHECK(store.revision <= 12);
}

// Guards against rule ONE: a call under a lease that another VM may have taken.
TEST_CASE("duty lease: the holder stops acting before another VM may take over") {
    lease_store store;
    duty_lease a("a", 1, term);
    duty_lease b("b", 2, term);
    run(store, a, 0_ms, 5_s, true);
    // The holder makes no more calls; the other VM watches from then on.
    time_ms stopped{0};
    time_ms taken{0};
    for (auto now = 5_s; now < 15_s; now += 50_ms) {
        if (stopped == time_ms{0} && !a.may_act(now)) stopped = now;
        const auto progress = b.stored() ? b.stored()->progress : duty_progress{};
        store.serve(b, b.next(now, true, progress, false), now);
        if (taken == time_ms{0} && b.holds()) taken = now;
    }
    CHECK(stopped > 5_s);
    CHECK(taken - stopped >= duty_lease::act_margin);
    CHECK(taken - 5_s <= term + duty_lease::takeover_margin + 800_ms);
    CHECK(b.token() == 2);
    CHECK(store.record->previous == std::vector<std::string>{"a"});
}

TEST_CASE("duty lease: a lease that is being renewed is not taken") {
    lease_store store;
    duty_lease a("a", 1, term);
    duty_lease b("b", 2, term);
    for (auto now = 0_ms; now < 30_s; now += 100_ms) {
        for (auto* lease : {&a, &b}) {
            const auto progress = lease->stored() ? lease->stored()->progress : duty_progress{};
            store.serve(*lease, lease->next(now, true, progress, false), now);
        }
    }
    CHECK(a.holds());
    CHECK_FALSE(b.holds());
}

// Guards against rule ONE: a holder that returns within the term of the one that followed it.
TEST_CASE("duty lease: a released lease is taken at once, but not by a VM that held it before") {
    lease_store store;
    duty_lease a("a", 1, term);
    duty_lease b("b", 2, term);
    run(store, a, 0_ms, 5_s, true);
    a.release();
    CHECK_FALSE(a.may_act(5_s));
    run(store, a, 5_s, 6_s, false);
    CHECK_FALSE(a.holds());
    run(store, b, 6_s, 6500_ms, true);
    REQUIRE(b.holds());
    b.release();
    run(store, b, 6500_ms, 7_s, false);
    duty_lease restarted("a", 9, term);
    run(store, restarted, 7_s, 10_s, true);
    CHECK_FALSE(restarted.holds());
    run(store, restarted, 10_s, 12_s, true);
    CHECK(restarted.holds());
    CHECK(restarted.token() == 3);
}

// Guards against rule ONE: a write without an answer that takes effect later.
TEST_CASE("duty lease: a takeover without an answer is found and holds only from its next renewal") {
    lease_store store;
    duty_lease a("a", 1, term);
    const auto read = a.next(0_ms, true, {}, false);
    store.serve(a, read, 0_ms);
    const auto create = a.next(100_ms, true, {}, false);
    REQUIRE(create.kind == call::create);
    a.on_no_answer(800_ms);
    CHECK_FALSE(a.may_act(800_ms));
    CHECK(store.execute(create));
    const auto check = a.next(1200_ms, true, {}, false);
    REQUIRE(check.kind == call::read);
    store.serve(a, check, 1200_ms);
    CHECK(a.holds());
    CHECK_FALSE(a.may_act(1200_ms));
    run(store, a, 1300_ms, 1500_ms, true);
    CHECK(a.may_act(1500_ms));
    CHECK(a.token() == 1);
}

TEST_CASE("duty lease: a restarted process of the holder takes a new token at once") {
    lease_store store;
    duty_lease a("a", 1, term);
    run(store, a, 0_ms, 2_s, true);
    duty_lease restarted("a", 2, term);
    run(store, restarted, 2_s, 2300_ms, true);
    CHECK(restarted.holds());
    CHECK(restarted.token() == 2);
    run(store, a, 2300_ms, 4_s, true);
    CHECK_FALSE(a.holds());
}

TEST_CASE("duty lease: tokens are higher than all that were heard of, and than those of earlier eras") {
    lease_store store;
    duty_lease a("a", 1, term);
    a.on_token(41);
    run(store, a, 0_ms, 1_s, true);
    CHECK(a.token() == 42);
    duty_lease b("b", 2, term);
    b.on_era(3);
    run(store, b, 1_s, 8_s, true);
    CHECK(b.token() == (std::uint64_t{3} << duty_lease::era_shift) + 1);
}

TEST_CASE("duty lease: the stored form holds everything") {
    duty_record record{"vm-1", ~std::uint64_t{0}, 12, 5, true, {"vm-2", "vm-3"}, {}};
    record.progress = {100, {{100, {{"one", 4}}}, {101, {}}}};
    const auto read = decode_duty_record(encode_duty_record(record));
    CHECK(read.holder == record.holder);
    CHECK(read.incarnation == record.incarnation);
    CHECK(read.token == 12);
    CHECK(read.renewals == 5);
    CHECK(read.released);
    CHECK(read.previous == record.previous);
    CHECK(read.progress.next_window == 100);
    CHECK(read.progress.fixed == record.progress.fixed);
    CHECK(read.progress.first_unfixed() == 102);
    CHECK_THROWS(decode_duty_record(Json::Value("text")));
}
