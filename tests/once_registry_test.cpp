#include "coordination/once_registry.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <random>
#include <set>
#include <variant>

using namespace lacewing;
using namespace lacewing::literals;

namespace {

constexpr std::int64_t start_wall = 1'700'000'000;
constexpr incarnation_id self{0xabc};

clock_reading at(std::int64_t now_s) {
    return {{(now_s + 100) * 1000}, start_wall + now_s};
}

std::string id_at(std::int64_t issued_s, int number, incarnation_id bound = self) {
    return fmt::format("{}-r{}", make_id_prefix(bound, start_wall + issued_s), number);
}

} // namespace

TEST_CASE("a repeat at once, later and after the end of the first never executes") {
    at_most_once_registry registry(self, 10);
    const auto id = id_at(0, 1);
    const auto first = registry.begin(at(0), id);
    REQUIRE(first.decision == at_most_once_registry::verdict::execute);
    CHECK(registry.begin(at(0), id).kind == error_kind::outcome_unknown);
    CHECK(registry.answer_query(at(0), id) == once_outcome::running);
    CHECK(registry.try_mark_sent(at(0), first.ticket));
    CHECK(registry.finish(first.ticket, once_outcome::ran) == once_outcome::ran);
    for (std::int64_t second = 1; second <= 2000; ++second) {
        const auto repeat = registry.begin(at(second), id);
        CHECK(repeat.decision == at_most_once_registry::verdict::answer);
        CHECK(error_answer_for(repeat.kind).effect != request_effect::not_run);
        CHECK(registry.answer_query(at(second), id) != once_outcome::never_seen_now_refused);
    }
    CHECK(registry.size() == 0);
}

TEST_CASE("an id asked about by another VM before it arrived never executes") {
    at_most_once_registry registry(self, 10);
    const auto id = id_at(0, 1);
    CHECK(registry.answer_query(at(0), id) == once_outcome::never_seen_now_refused);
    for (std::int64_t second = 0; second <= 700; ++second)
        CHECK(registry.begin(at(second), id).decision == at_most_once_registry::verdict::answer);
}

TEST_CASE("nothing is sent again after the first byte unless the endpoint declared that it did not run") {
    at_most_once_registry registry(self, 10);
    const auto ticket = registry.begin(at(0), id_at(0, 1)).ticket;
    CHECK(registry.try_mark_sent(at(0), ticket));
    CHECK(!registry.try_mark_sent(at(0), ticket));
    registry.attempt_not_run(ticket);
    CHECK(registry.try_mark_sent(at(0), ticket));
    CHECK(!registry.try_mark_sent(at(0), ticket));
    // A claim of not_run after a byte was sent is not believed; a late answer is.
    CHECK(registry.finish(ticket, once_outcome::not_run) == once_outcome::unknown);
    CHECK(registry.finish(ticket, once_outcome::ran) == once_outcome::ran);
    CHECK(registry.finish(ticket, once_outcome::not_run) == once_outcome::ran);
}

TEST_CASE("a process that was paused between admission and sending does not send") {
    at_most_once_registry registry(self, 10);
    const auto ticket = registry.begin(at(0), id_at(0, 1)).ticket;
    CHECK(!registry.try_mark_sent(at(3600), ticket));
    CHECK(registry.finish(ticket, once_outcome::unknown) == once_outcome::not_run);
}

TEST_CASE("a wall clock that is set back does not make a forgotten id young again") {
    at_most_once_registry registry(self, 10);
    const auto id = id_at(0, 1);
    const auto ticket = registry.begin(at(0), id).ticket;
    registry.try_mark_sent(at(0), ticket);
    registry.finish(ticket, once_outcome::ran);
    const clock_reading set_back{at(1000).now, start_wall - 500};
    CHECK(registry.begin(set_back, id).kind == error_kind::outcome_unknown);
    CHECK(registry.answer_query(set_back, id) == once_outcome::unknown);
}

TEST_CASE("a full registry refuses new ids for good and forgets no old one") {
    at_most_once_registry registry(self, 3);
    for (int i = 0; i < 3; ++i) {
        const auto ticket = registry.begin(at(0), id_at(0, i)).ticket;
        registry.try_mark_sent(at(0), ticket);
        registry.finish(ticket, once_outcome::ran);
    }
    const auto refused = id_at(500, 7);
    CHECK(registry.begin(at(500), refused).kind == error_kind::no_capacity);
    CHECK(registry.answer_query(at(500), id_at(501, 8)) == once_outcome::never_seen_now_refused);
    for (int i = 0; i < 3; ++i)
        CHECK(registry.begin(at(500), id_at(0, i)).kind == error_kind::duplicate_request);
    // Room again: the refused ids were answered not_run and stay refused, newer ids execute.
    CHECK(registry.begin(at(900), refused).kind == error_kind::no_capacity);
    CHECK(registry.begin(at(900), id_at(501, 8)).kind == error_kind::no_capacity);
    CHECK(registry.begin(at(900), id_at(900, 9)).decision == at_most_once_registry::verdict::execute);
}

TEST_CASE("ids of other incarnations, from the future, too old or malformed do not execute") {
    at_most_once_registry registry(self, 10);
    const auto other = registry.begin(at(0), id_at(0, 1, {0xdef}));
    CHECK(other.decision == at_most_once_registry::verdict::ask_bound_vm);
    CHECK(other.bound == incarnation_id{0xdef});
    CHECK(registry.answer_query(at(0), id_at(0, 1, {0xdef})) == once_outcome::unknown);
    CHECK(registry.begin(at(0), id_at(61, 1)).kind == error_kind::bad_request);
    CHECK(registry.begin(at(100), id_at(61, 1)).decision == at_most_once_registry::verdict::answer);
    CHECK(registry.begin(at(0), id_at(60, 2)).decision == at_most_once_registry::verdict::execute);
    CHECK(registry.begin(at(1000), id_at(399, 3)).kind == error_kind::outcome_unknown);
    for (const std::string bad :
         {"", "0000000000000abc", "0000000000000abc-", "0000000000000abc-65-", "0000000000000abc-zz-r",
          "0000000000000abc-65-a b", "abc-65-r", "0000000000000abc-ffffffffffffffffff-r"}) {
        INFO(bad);
        CHECK(registry.begin(at(1000), bad).kind == error_kind::bad_request);
    }
}

TEST_CASE("a late, repeated or foreign reply to a query is ignored") {
    outcome_queries queries;
    std::vector<outcome_queries::answered> out;
    const auto first = queries.ask(0_ms, self, "id", 1);
    const auto second = queries.ask(0_ms, self, "id", 2);
    CHECK(!queries.on_reply({0xdef}, {first.sequence, once_outcome::not_run}));
    CHECK(queries.on_reply(self, {first.sequence, once_outcome::not_run})->kind == error_kind::no_capacity);
    CHECK(!queries.on_reply(self, {first.sequence, once_outcome::not_run}));
    queries.expire(outcome_queries::reply_timeout, out);
    REQUIRE(out.size() == 1);
    CHECK(out[0].request == 2);
    CHECK(out[0].kind == error_kind::outcome_unknown);
    CHECK(!queries.on_reply(self, {second.sequence, once_outcome::not_run}));
}

TEST_CASE("the default registry stays within 32 bytes an id") {
    const at_most_once_registry registry(self);
    CHECK(registry.memory_bytes() <= at_most_once_registry::default_capacity * 32);
}

namespace {

// A few VMs, callers that repeat their ids, and an endpoint that keeps a ledger, driven by seeded events.
class episode {
public:
    explicit episode(std::uint64_t seed) : random_(seed) {
        for (int i = 0; i < 4; ++i)
            start_vm(vms_.emplace_back());
    }

    void run() {
        for (int step = 0; step < 60; ++step) {
            now_ms_ += static_cast<std::int64_t>(chance(5) ? pick(400'000) : pick(700));
            fault();
            if (chance(50)) issue();
            if (!ids_.empty()) submit(ids_[pick(ids_.size())]);
            progress(false);
        }
        now_ms_ += 100'000;
        progress(true);
    }

    // Double executions and untrue answers of not_run.
    int violations = 0;
    int executions = 0;
    int not_run_answers = 0;
    int repeats = 0;

private:
    struct vm {
        incarnation_id self;
        std::optional<at_most_once_registry> registry;
        outcome_queries queries;
        std::int64_t wall_offset_s = 0;
        std::int64_t paused_until = 0;
        bool alive = false;
        // Counts starts; a process keeps its requests when it changes its incarnation.
        int process = 0;
        int partition = 0;
    };

    struct attempt {
        std::size_t vm;
        int process;
        std::uint64_t ticket;
        std::string id;
        int tries = 0;
        bool sent = false;
    };

    struct message {
        std::size_t to;
        std::size_t from;
        std::variant<once_query, once_reply> payload;
        incarnation_id sender;
        incarnation_id receiver;
        std::int64_t arrives;
    };

    std::uint64_t pick(std::uint64_t bound) { return random_() % bound; }
    bool chance(std::uint64_t percent) { return pick(100) < percent; }
    clock_reading time_of(const vm& at_vm) const {
        return {{now_ms_}, start_wall + now_ms_ / 1000 + at_vm.wall_offset_s};
    }
    bool running(const vm& at_vm) const { return at_vm.alive && at_vm.paused_until <= now_ms_; }

    void start_vm(vm& at_vm) {
        at_vm.self = {random_()};
        // Small registries, so that some of them become full.
        at_vm.registry.emplace(at_vm.self, 4 + pick(30));
        at_vm.queries = {};
        at_vm.wall_offset_s = static_cast<std::int64_t>(pick(61)) - 30;
        at_vm.alive = true;
        ++at_vm.process;
    }

    void fault() {
        auto& victim = vms_[pick(vms_.size())];
        switch (pick(30)) {
        case 0:
            victim.alive = false;
            break;
        case 1:
        case 2:
            start_vm(victim);
            break;
        case 3:
            victim.paused_until = now_ms_ + static_cast<std::int64_t>(pick(chance(30) ? 900'000 : 3000));
            break;
        case 4:
            victim.partition = static_cast<int>(pick(2));
            break;
        case 5:
            victim.wall_offset_s = static_cast<std::int64_t>(pick(61)) - 30;
            break;
        case 6:
            if (victim.alive) victim.registry->change_incarnation(victim.self = {random_()});
            break;
        default:
            break;
        }
    }

    void issue() {
        const auto& by = vms_[pick(vms_.size())];
        const auto& bound = vms_[pick(vms_.size())];
        ids_.push_back(fmt::format("{}-{}", make_id_prefix(bound.self, time_of(by).wall_s), ids_.size()));
    }

    void submit(const std::string& id) {
        const auto index = pick(vms_.size());
        auto& receiver = vms_[index];
        if (!running(receiver)) return;
        repeats += submitted_.insert(id).second ? 0 : 1;
        const auto result = receiver.registry->begin(time_of(receiver), id);
        if (result.decision == at_most_once_registry::verdict::answer) return answer(id, result.kind);
        if (result.decision == at_most_once_registry::verdict::execute) {
            attempts_.push_back({index, receiver.process, result.ticket, id});
            return;
        }
        const auto query = receiver.queries.ask({now_ms_}, result.bound, id, asked_.size());
        asked_.push_back(id);
        for (std::size_t to = 0; to < vms_.size(); ++to) {
            if (vms_[to].self == result.bound) send(index, to, query, result.bound);
        }
    }

    void send(std::size_t from, std::size_t to, const std::variant<once_query, once_reply>& payload,
              incarnation_id receiver) {
        if (vms_[from].partition != vms_[to].partition || chance(10)) return;
        messages_.push_back(
            {to, from, payload, vms_[from].self, receiver, now_ms_ + static_cast<std::int64_t>(pick(800))});
    }

    void answer(const std::string& id, error_kind kind) {
        if (error_answer_for(kind).effect != request_effect::not_run) return;
        ++not_run_answers;
        told_not_run_.insert(id);
        if (ledger_.count(id) > 0) ++violations;
    }

    void execute(const std::string& id) {
        ++executions;
        if (++ledger_[id] > 1) ++violations;
        if (told_not_run_.count(id) > 0) ++violations;
    }

    void progress(bool all) {
        auto attempts = std::move(attempts_);
        attempts_.clear();
        for (auto& item : attempts)
            advance(item, all);
        auto messages = std::move(messages_);
        messages_.clear();
        for (auto& item : messages)
            deliver(item);
        for (auto& at_vm : vms_) {
            std::vector<outcome_queries::answered> ended;
            if (running(at_vm)) at_vm.queries.expire({now_ms_}, ended);
            for (const auto& item : ended)
                answer(asked_[item.request], item.kind);
        }
    }

    // One step of a request in execution: send, lose, execute, retry, answer.
    void advance(attempt& item, bool all) {
        auto& at_vm = vms_[item.vm];
        // The attempt of a process that died is gone; bytes that it had sent may still execute.
        const bool same_process = at_vm.alive && at_vm.process == item.process;
        if (!same_process) {
            if (item.sent && chance(50)) execute(item.id);
            return;
        }
        if (!running(at_vm) || (!all && chance(40))) return attempts_.push_back(item);
        auto& registry = *at_vm.registry;
        if (!item.sent) {
            item.sent = registry.try_mark_sent(time_of(at_vm), item.ticket);
            if (item.sent) return attempts_.push_back(item);
            return conclude(registry, item, once_outcome::not_run);
        }
        switch (pick(4)) {
        case 0: // The endpoint sheds load and says so; the system tries again or gives up.
            registry.attempt_not_run(item.ticket);
            item.sent = false;
            if (++item.tries < 3) return attempts_.push_back(item);
            return conclude(registry, item, once_outcome::not_run);
        case 1: // The connection breaks with unknown effect; the retry logic tries to send again.
            if (chance(50)) execute(item.id);
            if (registry.try_mark_sent(time_of(at_vm), item.ticket)) execute(item.id);
            return conclude(registry, item, chance(50) ? once_outcome::unknown : once_outcome::not_run);
        default:
            execute(item.id);
            return conclude(registry, item, once_outcome::ran);
        }
    }

    void conclude(at_most_once_registry& registry, const attempt& item, once_outcome claim) {
        const auto outcome = registry.finish(item.ticket, claim);
        if (outcome != once_outcome::ran) answer(item.id, kind_for(outcome));
    }

    void deliver(message& item) {
        if (item.arrives > now_ms_ && chance(50)) return messages_.push_back(item);
        auto& receiver = vms_[item.to];
        if (!receiver.alive || receiver.self != item.receiver) return;
        if (!running(receiver)) return messages_.push_back(item);
        if (const auto* query = std::get_if<once_query>(&item.payload)) {
            const auto outcome = receiver.registry->answer_query(time_of(receiver), query->request_id);
            send(item.to, item.from, once_reply{query->sequence, outcome}, item.sender);
            return;
        }
        const auto done = receiver.queries.on_reply(item.sender, std::get<once_reply>(item.payload));
        if (done) answer(asked_[done->request], done->kind);
    }

    std::mt19937_64 random_;
    std::int64_t now_ms_ = 1000;
    std::vector<vm> vms_;
    std::vector<std::string> ids_;
    std::vector<std::string> asked_;
    std::vector<attempt> attempts_;
    std::vector<message> messages_;
    std::map<std::string, int> ledger_;
    std::set<std::string> submitted_;
    std::set<std::string> told_not_run_;
};

} // namespace

TEST_CASE("10,000 random episodes with resets, deaths, pauses and partitions execute no id twice") {
    constexpr std::uint64_t first_seed = 20'261'204;
    std::int64_t executions = 0;
    std::int64_t not_run = 0;
    std::int64_t repeats = 0;
    for (std::uint64_t seed = first_seed; seed < first_seed + 10'000; ++seed) {
        episode run(seed);
        run.run();
        INFO("seed ", seed);
        REQUIRE(run.violations == 0);
        executions += run.executions;
        not_run += run.not_run_answers;
        repeats += run.repeats;
    }
    MESSAGE("seeds from ", first_seed, ": ", executions, " executions, ", repeats, " repeats, ", not_run,
            " answers of not_run");
    CHECK(executions > 10'000);
    CHECK(not_run > 10'000);
}
