#include "coordination/at_most_once_registry.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <random>
#include <set>
#include <variant>

using namespace lacewing;
using namespace lacewing::literals;

namespace {

constexpr std::int64_t start_wall_s = 1'700'000'000;
constexpr incarnation_id self{0xabc};

clock_reading time_at(std::int64_t now_s) {
    return {{(now_s + 100) * 1000}, start_wall_s + now_s};
}

std::string make_id(std::int64_t issued_s, int number, incarnation_id bound = self) {
    return fmt::format("{}-r{}", make_id_prefix(bound, start_wall_s + issued_s), number);
}

} // namespace

TEST_CASE("a repeated id never executes, neither while its first request runs nor after its end") {
    at_most_once_registry registry(self, 10);
    const auto id = make_id(0, 1);
    const auto first = registry.begin(time_at(0), id);
    REQUIRE(first.decision == at_most_once_registry::verdict::execute);
    CHECK(registry.begin(time_at(0), id).kind == error_kind::outcome_unknown);
    CHECK(registry.answer_query(time_at(0), id) == once_outcome::running);
    CHECK(registry.try_mark_sent(time_at(0), first.ticket));
    CHECK(registry.finish(first.ticket, once_outcome::ran) == once_outcome::ran);
    for (std::int64_t second = 1; second <= 2000; ++second) {
        const auto repeat = registry.begin(time_at(second), id);
        CHECK(repeat.decision == at_most_once_registry::verdict::answer);
        CHECK(error_answer_for(repeat.kind).effect != request_effect::not_run);
        CHECK(registry.answer_query(time_at(second), id) != once_outcome::never_seen_now_refused);
    }
    CHECK(registry.size() == 0);
}

TEST_CASE("an id that another VM asked about before its request arrived never executes") {
    at_most_once_registry registry(self, 10);
    const auto id = make_id(0, 1);
    CHECK(registry.answer_query(time_at(0), id) == once_outcome::never_seen_now_refused);
    for (std::int64_t second = 0; second <= 700; ++second)
        CHECK(registry.begin(time_at(second), id).decision == at_most_once_registry::verdict::answer);
}

TEST_CASE("a request is not sent again unless the endpoint declared that it did not run") {
    at_most_once_registry registry(self, 10);
    const auto ticket = registry.begin(time_at(0), make_id(0, 1)).ticket;
    CHECK(registry.try_mark_sent(time_at(0), ticket));
    CHECK(!registry.try_mark_sent(time_at(0), ticket));
    registry.attempt_not_run(ticket);
    CHECK(registry.try_mark_sent(time_at(0), ticket));
    CHECK(!registry.try_mark_sent(time_at(0), ticket));
    // The attempt was sent, so the outcome not_run is recorded as unknown; a late `ran` is still recorded.
    CHECK(registry.finish(ticket, once_outcome::not_run) == once_outcome::unknown);
    CHECK(registry.finish(ticket, once_outcome::ran) == once_outcome::ran);
    CHECK(registry.finish(ticket, once_outcome::not_run) == once_outcome::ran);
}

TEST_CASE("a process that was paused between admission and sending does not send the request") {
    at_most_once_registry registry(self, 10);
    const auto ticket = registry.begin(time_at(0), make_id(0, 1)).ticket;
    CHECK(!registry.try_mark_sent(time_at(3600), ticket));
    CHECK(registry.finish(ticket, once_outcome::unknown) == once_outcome::not_run);
}

TEST_CASE("an evicted id does not become valid again when the wall clock is set back") {
    at_most_once_registry registry(self, 10);
    const auto id = make_id(0, 1);
    const auto ticket = registry.begin(time_at(0), id).ticket;
    registry.try_mark_sent(time_at(0), ticket);
    registry.finish(ticket, once_outcome::ran);
    const clock_reading set_back{time_at(1000).monotonic, start_wall_s - 500};
    CHECK(registry.begin(set_back, id).kind == error_kind::outcome_unknown);
    CHECK(registry.answer_query(set_back, id) == once_outcome::unknown);
}

TEST_CASE("a full registry refuses new ids permanently and evicts no id early") {
    at_most_once_registry registry(self, 3);
    for (int i = 0; i < 3; ++i) {
        const auto ticket = registry.begin(time_at(0), make_id(0, i)).ticket;
        registry.try_mark_sent(time_at(0), ticket);
        registry.finish(ticket, once_outcome::ran);
    }
    const auto refused = make_id(500, 7);
    CHECK(registry.begin(time_at(500), refused).kind == error_kind::no_capacity);
    CHECK(registry.answer_query(time_at(500), make_id(501, 8)) == once_outcome::never_seen_now_refused);
    for (int i = 0; i < 3; ++i)
        CHECK(registry.begin(time_at(500), make_id(0, i)).kind == error_kind::duplicate_request);
    // The registry has room again. The refused ids were answered as not run, so they stay refused; newer ids
    // execute.
    CHECK(registry.begin(time_at(900), refused).kind == error_kind::no_capacity);
    CHECK(registry.begin(time_at(900), make_id(501, 8)).kind == error_kind::no_capacity);
    CHECK(registry.begin(time_at(900), make_id(900, 9)).decision == at_most_once_registry::verdict::execute);
}

TEST_CASE("ids that are bound to another incarnation, too far ahead, too old or malformed do not execute") {
    at_most_once_registry registry(self, 10);
    const auto other = registry.begin(time_at(0), make_id(0, 1, {0xdef}));
    CHECK(other.decision == at_most_once_registry::verdict::ask_bound_vm);
    CHECK(other.bound == incarnation_id{0xdef});
    CHECK(registry.answer_query(time_at(0), make_id(0, 1, {0xdef})) == once_outcome::unknown);
    CHECK(registry.begin(time_at(0), make_id(61, 1)).kind == error_kind::bad_request);
    CHECK(registry.begin(time_at(100), make_id(61, 1)).decision == at_most_once_registry::verdict::answer);
    CHECK(registry.begin(time_at(0), make_id(60, 2)).decision == at_most_once_registry::verdict::execute);
    CHECK(registry.begin(time_at(1000), make_id(399, 3)).kind == error_kind::outcome_unknown);
    for (const std::string bad :
         {"", "0000000000000abc", "0000000000000abc-", "0000000000000abc-65-", "0000000000000abc-zz-r",
          "0000000000000abc-65-a b", "abc-65-r", "0000000000000abc-ffffffffffffffffff-r"}) {
        INFO(bad);
        CHECK(registry.begin(time_at(1000), bad).kind == error_kind::bad_request);
    }
}

TEST_CASE("a reply to a query that is late, repeated or from another incarnation is ignored") {
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

TEST_CASE("the default registry takes at most 32 bytes for each id") {
    const at_most_once_registry registry(self);
    CHECK(registry.memory_bytes() <= at_most_once_registry::default_capacity * 32);
}

namespace {

// Simulates four VMs, callers that repeat request ids, and an endpoint that counts the executions of each id.
// The seed determines all events.
class random_episode {
public:
    explicit random_episode(std::uint64_t seed) : random_(seed) {
        for (int i = 0; i < 4; ++i)
            start_vm(vms_.emplace_back());
    }

    void run() {
        for (int step = 0; step < 60; ++step) {
            now_ms_ += static_cast<std::int64_t>(chance(5) ? random_below(400'000) : random_below(700));
            inject_fault();
            if (chance(50)) issue_id();
            if (!ids_.empty()) submit(ids_[random_below(ids_.size())]);
            advance_requests(false);
        }
        now_ms_ += 100'000;
        advance_requests(true);
    }

    // Repeated executions of an id, and executions of an id that was answered as not run.
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
        std::int64_t paused_until_ms = 0;
        bool alive = false;
        // Number of starts. A process keeps its requests when it changes its incarnation.
        int process_number = 0;
        int partition = 0;
    };

    struct attempt {
        std::size_t vm;
        int process_number;
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
        std::int64_t arrives_at_ms;
    };

    std::uint64_t random_below(std::uint64_t bound) { return random_() % bound; }
    bool chance(std::uint64_t percent) { return random_below(100) < percent; }
    clock_reading clock_of(const vm& host) const {
        return {{now_ms_}, start_wall_s + now_ms_ / 1000 + host.wall_offset_s};
    }
    bool is_running(const vm& host) const { return host.alive && host.paused_until_ms <= now_ms_; }

    void start_vm(vm& host) {
        host.self = {random_()};
        // The registries are small, so that some become full.
        host.registry.emplace(host.self, 4 + random_below(30));
        host.queries = {};
        host.wall_offset_s = static_cast<std::int64_t>(random_below(61)) - 30;
        host.alive = true;
        ++host.process_number;
    }

    void inject_fault() {
        auto& victim = vms_[random_below(vms_.size())];
        switch (random_below(30)) {
        case 0:
            victim.alive = false;
            break;
        case 1:
        case 2:
            start_vm(victim);
            break;
        case 3:
            victim.paused_until_ms =
                now_ms_ + static_cast<std::int64_t>(random_below(chance(30) ? 900'000 : 3000));
            break;
        case 4:
            victim.partition = static_cast<int>(random_below(2));
            break;
        case 5:
            victim.wall_offset_s = static_cast<std::int64_t>(random_below(61)) - 30;
            break;
        case 6:
            if (victim.alive) victim.registry->change_incarnation(victim.self = {random_()});
            break;
        default:
            break;
        }
    }

    void issue_id() {
        const auto& issuer = vms_[random_below(vms_.size())];
        const auto& bound = vms_[random_below(vms_.size())];
        ids_.push_back(
            fmt::format("{}-{}", make_id_prefix(bound.self, clock_of(issuer).wall_s), ids_.size()));
    }

    void submit(const std::string& id) {
        const auto index = random_below(vms_.size());
        auto& receiver = vms_[index];
        if (!is_running(receiver)) return;
        repeats += submitted_.insert(id).second ? 0 : 1;
        const auto result = receiver.registry->begin(clock_of(receiver), id);
        if (result.decision == at_most_once_registry::verdict::answer) return answer(id, result.kind);
        if (result.decision == at_most_once_registry::verdict::execute) {
            attempts_.push_back({index, receiver.process_number, result.ticket, id});
            return;
        }
        const auto query = receiver.queries.ask({now_ms_}, result.bound, id, queried_ids_.size());
        queried_ids_.push_back(id);
        for (std::size_t to = 0; to < vms_.size(); ++to) {
            if (vms_[to].self == result.bound) send(index, to, query, result.bound);
        }
    }

    void send(std::size_t from, std::size_t to, const std::variant<once_query, once_reply>& payload,
              incarnation_id receiver) {
        if (vms_[from].partition != vms_[to].partition || chance(10)) return;
        messages_.push_back({to, from, payload, vms_[from].self, receiver,
                             now_ms_ + static_cast<std::int64_t>(random_below(800))});
    }

    void answer(const std::string& id, error_kind kind) {
        if (error_answer_for(kind).effect != request_effect::not_run) return;
        ++not_run_answers;
        answered_not_run_.insert(id);
        if (execution_counts_.count(id) > 0) ++violations;
    }

    void execute(const std::string& id) {
        ++executions;
        if (++execution_counts_[id] > 1) ++violations;
        if (answered_not_run_.count(id) > 0) ++violations;
    }

    void advance_requests(bool without_delays) {
        auto attempts = std::move(attempts_);
        attempts_.clear();
        for (auto& item : attempts)
            advance_attempt(item, without_delays);
        auto messages = std::move(messages_);
        messages_.clear();
        for (auto& item : messages)
            deliver(item);
        for (auto& host : vms_) {
            std::vector<outcome_queries::answered> expired;
            if (is_running(host)) host.queries.expire({now_ms_}, expired);
            for (const auto& item : expired)
                answer(queried_ids_[item.request], item.kind);
        }
    }

    // Advances an attempt by one step: it is sent, lost, executed, retried or answered.
    void advance_attempt(attempt& item, bool without_delays) {
        auto& host = vms_[item.vm];
        // A process that died has lost its attempts, but what it had sent may still execute.
        const bool still_running = host.alive && host.process_number == item.process_number;
        if (!still_running) {
            if (item.sent && chance(50)) execute(item.id);
            return;
        }
        if (!is_running(host) || (!without_delays && chance(40))) return attempts_.push_back(item);
        auto& registry = *host.registry;
        if (!item.sent) {
            item.sent = registry.try_mark_sent(clock_of(host), item.ticket);
            if (item.sent) return attempts_.push_back(item);
            return finish_request(registry, item, once_outcome::not_run);
        }
        switch (random_below(4)) {
        case 0: // The endpoint declares that it shed the attempt; the VM tries again or gives up.
            registry.attempt_not_run(item.ticket);
            item.sent = false;
            if (++item.tries < 3) return attempts_.push_back(item);
            return finish_request(registry, item, once_outcome::not_run);
        case 1: // The connection breaks with unknown outcome; the VM tries to send again.
            if (chance(50)) execute(item.id);
            if (registry.try_mark_sent(clock_of(host), item.ticket)) execute(item.id);
            return finish_request(registry, item, chance(50) ? once_outcome::unknown : once_outcome::not_run);
        default:
            execute(item.id);
            return finish_request(registry, item, once_outcome::ran);
        }
    }

    void finish_request(at_most_once_registry& registry, const attempt& item, once_outcome claimed_outcome) {
        const auto outcome = registry.finish(item.ticket, claimed_outcome);
        if (outcome != once_outcome::ran) answer(item.id, error_kind_for(outcome));
    }

    void deliver(message& item) {
        if (item.arrives_at_ms > now_ms_ && chance(50)) return messages_.push_back(item);
        auto& receiver = vms_[item.to];
        if (!receiver.alive || receiver.self != item.receiver) return;
        if (!is_running(receiver)) return messages_.push_back(item);
        if (const auto* query = std::get_if<once_query>(&item.payload)) {
            const auto outcome = receiver.registry->answer_query(clock_of(receiver), query->request_id);
            send(item.to, item.from, once_reply{query->sequence, outcome}, item.sender);
            return;
        }
        const auto answered = receiver.queries.on_reply(item.sender, std::get<once_reply>(item.payload));
        if (answered) answer(queried_ids_[answered->request], answered->kind);
    }

    std::mt19937_64 random_;
    std::int64_t now_ms_ = 1000;
    std::vector<vm> vms_;
    std::vector<std::string> ids_;
    std::vector<std::string> queried_ids_;
    std::vector<attempt> attempts_;
    std::vector<message> messages_;
    std::map<std::string, int> execution_counts_;
    std::set<std::string> submitted_;
    std::set<std::string> answered_not_run_;
};

} // namespace

TEST_CASE("10,000 random runs with broken connections, crashes, pauses and partitions execute no id twice") {
    constexpr std::uint64_t first_seed = 20'261'204;
    std::int64_t executions = 0;
    std::int64_t not_run = 0;
    std::int64_t repeats = 0;
    for (std::uint64_t seed = first_seed; seed < first_seed + 10'000; ++seed) {
        random_episode fleet(seed);
        fleet.run();
        INFO("seed ", seed);
        REQUIRE(fleet.violations == 0);
        executions += fleet.executions;
        not_run += fleet.not_run_answers;
        repeats += fleet.repeats;
    }
    MESSAGE("seeds from ", first_seed, ": ", executions, " executions, ", repeats, " repeats, ", not_run,
            " answers of not_run");
    CHECK(executions > 10'000);
    CHECK(not_run > 10'000);
}
