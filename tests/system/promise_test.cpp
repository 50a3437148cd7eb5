// Guards against answers that promise "not run" (408, 421, 429 and 503) for a request that an endpoint runs.
// Endpoints record what they run, callers what they are told; both are joined by the id of the request.
#include "platform_stand_in.h"
#include "unreliable_endpoints.h"

#include "platform/dialect.h"
#include "transport/monotonic_clock.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace lacewing;
using namespace lacewing::testing;

namespace {

// Headers of a payment with the key that the configuration of these tests has.
header_list payment_headers(const std::string& id, time_ms deadline = {2'000}) {
    const auto& names = platform::dialect;
    return {{std::string(names.attempt_id), id},
            {std::string(names.deadline), std::to_string(deadline.count)},
            {std::string(names.key), "secret"}};
}

// Whether callers take a status for the promise that the request has not run and never will.
bool promises_not_run(unsigned status) {
    constexpr std::array<unsigned, 4> promises{408, 421, 429, 503};
    return std::find(promises.begin(), promises.end(), status) != promises.end();
}

/// What the callers of a run were told.
struct promise_summary {
    int answered = 0;
    int promised = 0;
    int false_promises = 0;
    int run_twice = 0;
};

// Joins what callers were told with what endpoints ran.
promise_summary summarize(const std::map<std::string, unsigned>& statuses,
                          const std::map<std::string, int>& runs) {
    promise_summary summary;
    for (const auto& [id, status] : statuses) {
        const auto found = runs.find(id);
        const int count = found == runs.end() ? 0 : found->second;
        if (status == 200) ++summary.answered;
        if (promises_not_run(status)) ++summary.promised;
        if (count > 1) ++summary.run_twice;
        if (promises_not_run(status) && count > 0) {
            ++summary.false_promises;
            MESSAGE("request ", id, " was answered ", status, " and has run");
        }
    }
    return summary;
}

// Number from the environment, for longer runs by hand.
std::uint64_t number_from_environment(const char* name, std::uint64_t otherwise) {
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::stoull(text);
}

/// Callers that keep their connections, pay at random VMs and record what they are told.
class paying_callers {
public:
    paying_callers(const platform_stand_in& platform, std::size_t vm_count, std::uint64_t seed)
        : platform_(platform), vm_count_(vm_count) {
        constexpr std::size_t caller_count = 8;
        for (std::size_t i = 0; i < caller_count; ++i)
            threads_.emplace_back([this, seed, i] { pay(seed, i); });
    }
    ~paying_callers() { stop(); }
    paying_callers(const paying_callers&) = delete;
    paying_callers& operator=(const paying_callers&) = delete;
    paying_callers(paying_callers&&) = delete;
    paying_callers& operator=(paying_callers&&) = delete;

    void stop() {
        stopping_ = true;
        for (auto& thread : threads_)
            thread.join();
        threads_.clear();
    }
    /// @brief Status of each request, 0 for none; to be called after stop().
    [[nodiscard]] const std::map<std::string, unsigned>& statuses() const { return statuses_; }
    /// @brief Successes whose body is that of another request, or not whole.
    [[nodiscard]] int foreign_answers() const { return foreign_answers_; }

private:
    // Sends one payment after the other until stop().
    void pay(std::uint64_t seed, std::size_t caller) {
        std::mt19937_64 random(seed * 1000 + caller);
        std::vector<std::optional<raw_connection>> kept(vm_count_);
        for (int number = 0; !stopping_; ++number) {
            const auto id = fmt::format("s{}-c{}-{}", seed, caller, number);
            auto& connection = kept[random() % vm_count_];
            // Whole in one packet, buffered by the VM, and streamed by it.
            constexpr std::array<std::size_t, 8> body_sizes{1, 1, 1, 100, 100, 3'000, 200'000, 700'000};
            const std::string body(body_sizes[random() % body_sizes.size()], 'b');
            const bool leaves = random() % 20 == 0;
            const time_ms deadline{20 + static_cast<std::int64_t>(random() % 1'200)};
            const auto text = request_text("POST", "/pay/x", payment_headers(id, deadline), body);
            const auto vm = static_cast<std::size_t>(&connection - kept.data());
            const auto status = send(connection, vm, text, id, leaves ? time_ms{5} : time_ms{3'000});
            if (promises_not_run(status)) std::this_thread::sleep_for(pause_after_refusal);
            const std::lock_guard lock(mutex_);
            statuses_[id] = status;
        }
    }

    // Sends one payment; the connection is dropped unless it got a whole answer.
    unsigned send(std::optional<raw_connection>& connection, std::size_t vm, const std::string& text,
                  const std::string& id, time_ms patience) {
        try {
            if (!connection) connection.emplace(platform_.caller_address(vm));
        } catch (const std::runtime_error&) {
            std::this_thread::sleep_for(pause_after_refusal);
            return 0;
        }
        http_answer answer;
        if (connection->send(text)) answer = connection->receive(patience);
        if (!answer.complete || answer.headers[boost::beast::http::field::connection] == "close")
            connection.reset();
        if (answer.status == 200 && answer.complete && answer.json()["request"].asString() != id)
            ++foreign_answers_;
        return answer.status;
    }

    static constexpr std::chrono::milliseconds pause_after_refusal{10};

    const platform_stand_in& platform_;
    std::size_t vm_count_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> foreign_answers_{0};
    std::mutex mutex_;
    std::map<std::string, unsigned> statuses_;
    std::vector<std::thread> threads_;
};

/// Endpoints that end and start again, and VMs that are stopped, paused and killed, at random moments.
class random_trouble {
public:
    random_trouble(platform_stand_in& platform, unreliable_endpoints& endpoints, std::size_t vm_count,
                   std::uint64_t seed)
        : platform_(platform), endpoints_(endpoints), random_(seed), vms_(vm_count) {}

    void add_endpoint() {
        const auto id = next_id();
        const auto address = endpoints_.open(id);
        platform_.register_endpoint(id, "s", address);
        addresses_.push_back({address, id});
    }

    /// @brief Causes trouble until a time, and ends what it has begun.
    void run(time_ms until) {
        while (monotonic_now() < until) {
            step();
            const auto next = monotonic_now() + time_ms{static_cast<std::int64_t>(random_() % 120)};
            wait_until([&] { return monotonic_now() >= next; });
        }
        platform_.store_down = false;
        for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
            platform_.vm_process(vm).signal(SIGCONT);
            if (!platform_.vm_process(vm).running()) platform_.start_vm(vm);
        }
    }

private:
    struct endpoint_address {
        std::string address;
        std::string process;
    };
    struct lapsing_entry {
        std::string id;
        time_ms at;
    };
    struct vm_state {
        std::optional<time_ms> paused_until;
    };

    std::string next_id() { return fmt::format("e-{}", ++processes_); }

    // Ends what is due and begins one piece of trouble.
    void step() {
        const auto now = monotonic_now();
        std::erase_if(lapsing_, [&](const lapsing_entry& entry) {
            if (now < entry.at) return false;
            platform_.delete_object("servers", entry.id);
            return true;
        });
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            auto& vm = platform_.vm_process(i);
            if (!vm.running()) platform_.start_vm(i);
            if (vms_[i].paused_until && now >= *vms_[i].paused_until) {
                vm.signal(SIGCONT);
                vms_[i].paused_until.reset();
            }
        }
        const auto index = random_() % vms_.size();
        auto& vm = platform_.vm_process(index);
        switch (random_() % 16) {
        case 0:
            vm.signal(SIGTERM);
            break;
        case 1:
            vm.signal(SIGHUP);
            break;
        case 2:
            vm.signal(SIGKILL);
            break;
        case 3:
        case 4:
            if (vms_[index].paused_until || !vm.running()) break;
            vm.signal(SIGSTOP);
            vms_[index].paused_until = now + time_ms{static_cast<std::int64_t>(random_() % 700)};
            break;
        case 5:
            platform_.store_down = !platform_.store_down;
            break;
        case 6:
            platform_.silence_store_connections();
            break;
        default:
            restart_endpoint(now);
        }
    }

    // The entry of the process that has ended stays for a while.
    void restart_endpoint(time_ms now) {
        auto& at = addresses_[random_() % addresses_.size()];
        lapsing_.push_back({at.process, now + time_ms{static_cast<std::int64_t>(random_() % 1500)}});
        at.process = next_id();
        endpoints_.restart(at.address, at.process);
        platform_.register_endpoint(at.process, "s", at.address);
    }

    platform_stand_in& platform_;
    unreliable_endpoints& endpoints_;
    std::mt19937_64 random_;
    std::vector<vm_state> vms_;
    std::vector<endpoint_address> addresses_;
    std::vector<lapsing_entry> lapsing_;
    int processes_ = 0;
};

// Endpoints that mostly answer, and have every other conduct now and then.
endpoint_faults mixed_faults() {
    using enum endpoint_conduct;
    constexpr std::size_t answering = 14;
    constexpr std::size_t refusing = 5;
    endpoint_faults faults;
    faults.conducts.assign(answering, answers);
    faults.conducts.insert(faults.conducts.end(), refusing, refuses);
    for (const auto conduct :
         {answers_twice, fails, answers_like_a_refusal, refuses_early, loses_answer, cuts_answer, is_slow})
        faults.conducts.push_back(conduct);
    faults.repeated_refusals = 0.5;
    faults.refusals_on_accept = 0.05;
    faults.max_service_ms = 30;
    return faults;
}

// Prints what the VMs logged of each request that got a false promise.
void print_log_lines(platform_stand_in& platform, std::size_t vm_count,
                     const std::map<std::string, unsigned>& statuses,
                     const std::map<std::string, int>& runs) {
    for (std::size_t vm = 0; vm < vm_count; ++vm) {
        std::istringstream log(platform.vm_process(vm).output());
        for (std::string line; std::getline(log, line);) {
            for (const auto& [id, status] : statuses) {
                const auto run = runs.find(id);
                const bool wrong = run != runs.end() && (run->second > 1 || promises_not_run(status));
                if (wrong && line.find(fmt::format("id={} ", id)) != std::string::npos)
                    MESSAGE("vm-", vm, ": ", line);
            }
        }
    }
}

} // namespace

// Guards against REFUSED (issue 39): an endpoint has started again at its address under a new id, and its
// refusal of a request for the old id, written once more, counts for the repeat to the new id.
TEST_CASE("promise: a copy of the refusal of one send counts for the next send of the same request") {
    platform_stand_in platform(1);
    platform.put_object("config", "main", platform_stand_in::configuration(1, "secret"));
    unreliable_endpoints endpoints(platform.host(), 1, {.repeated_refusals = 1});
    const auto address = endpoints.open("e-new");
    platform.register_endpoint("e-new", "s", address);
    REQUIRE(platform.wait_all_ready());
    std::map<std::string, unsigned> statuses;
    for (int round = 0; round < 30; ++round) {
        const auto process = fmt::format("e-new-{}", round);
        endpoints.restart(address, process);
        // The entry of the ended process stays for some time.
        platform.register_endpoint(fmt::format("e-old-{}", round), "s", address);
        platform.register_endpoint(process, "s", address);
        const auto misdirected = endpoints.misdirected();
        const auto until = monotonic_now() + time_ms{1'000};
        for (int i = 0; endpoints.misdirected() == misdirected && monotonic_now() < until; ++i) {
            const auto id = fmt::format("p-{}-{}", round, i);
            statuses[id] =
                send_request(platform.caller_address(0), "POST", "/pay/x", payment_headers(id), "b").status;
        }
    }
    REQUIRE(wait_until([&] { return endpoints.in_progress() == 0; }));
    CHECK(endpoints.misdirected() > 0);
    const auto summary = summarize(statuses, endpoints.runs());
    CHECK(summary.answered > 0);
    CHECK(summary.false_promises == 0);
    CHECK(summary.run_twice == 0);
}

// Guards against REFUSED (issue 39): a refusal that an endpoint writes before it has read a request, and that
// names none, counts for the request that it then runs.
TEST_CASE("promise: a refusal that names no request counts for one that is run") {
    platform_stand_in platform(1);
    platform.put_object("config", "main", platform_stand_in::configuration(1, "secret"));
    unreliable_endpoints endpoints(platform.host(), 1, {.refusals_on_accept = 0.5});
    for (const auto* id : {"e-1", "e-2", "e-3"})
        platform.register_endpoint(id, "s", endpoints.open(id));
    REQUIRE(platform.wait_all_ready());
    std::map<std::string, unsigned> statuses;
    for (int i = 0; i < 100; ++i) {
        const auto id = fmt::format("p-{}", i);
        statuses[id] =
            send_request(platform.caller_address(0), "POST", "/pay/x", payment_headers(id), "b").status;
    }
    REQUIRE(wait_until([&] { return endpoints.in_progress() == 0; }));
    const auto summary = summarize(statuses, endpoints.runs());
    CHECK(summary.answered > 0);
    CHECK(summary.false_promises == 0);
    CHECK(summary.run_twice == 0);
}

// Guards against REFUSED and TWICE (issue 39) in any mix of faulty answers with restarts of endpoints, and
// with stops, pauses and kills of VMs. More seeds: LACEWING_PROMISE_RUNS, from LACEWING_PROMISE_FIRST_SEED.
TEST_CASE("promise: a request that was refused runs, or runs twice, in random trouble") {
    constexpr std::size_t vm_count = 2;
    constexpr std::size_t endpoint_count = 10;
    constexpr time_ms duration{4'000};
    const auto first = number_from_environment("LACEWING_PROMISE_FIRST_SEED", 1);
    const auto runs = number_from_environment("LACEWING_PROMISE_RUNS", 3);
    for (auto seed = first; seed < first + runs; ++seed) {
        CAPTURE(seed);
        platform_stand_in platform(vm_count, time_ms{1'500});
        platform.put_object("config", "main", platform_stand_in::configuration(1, "secret", 0, {1'000}));
        unreliable_endpoints endpoints(platform.host(), seed, mixed_faults());
        random_trouble trouble(platform, endpoints, vm_count, seed);
        for (std::size_t i = 0; i < endpoint_count; ++i)
            trouble.add_endpoint();
        REQUIRE(platform.wait_all_ready());
        paying_callers callers(platform, vm_count, seed);
        trouble.run(monotonic_now() + duration);
        callers.stop();
        REQUIRE(wait_until([&] { return endpoints.in_progress() == 0; }));
        const auto summary = summarize(callers.statuses(), endpoints.runs());
        MESSAGE("seed ", seed, ": ", callers.statuses().size(), " requests, ", summary.answered,
                " answered, ", summary.promised, " refused");
        CHECK(summary.answered > 0);
        CHECK(summary.promised > 0);
        CHECK(summary.false_promises == 0);
        CHECK(summary.run_twice == 0);
        CHECK(callers.foreign_answers() == 0);
        if (summary.false_promises > 0 || summary.run_twice > 0)
            print_log_lines(platform, vm_count, callers.statuses(), endpoints.runs());
    }
}
