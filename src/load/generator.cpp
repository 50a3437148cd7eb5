#include <utility>

#include "load/generator.h"

#include "state/error_kind.h"
#include "transport/monotonic_clock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <json/reader.h>
#include <stdexcept>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lacewing::load {

namespace asio = boost::asio;
using std::chrono::steady_clock;
using namespace literals;

namespace {

constexpr time_ms lookup_timeout = 2_s;
constexpr std::chrono::milliseconds lookup_retry_delay{200};
constexpr int first_lookup_attempts = 50;
constexpr std::chrono::milliseconds drain_poll_interval{10};
// Bounds the memory use when no VM answers; arrivals beyond it are counted as not_sent.
constexpr std::uint64_t max_in_flight = 10'000;
// Time after the deadline for the answer to arrive: a VM may answer as late as the deadline.
constexpr time_ms answer_margin = 1_s;

Json::Value parse_object(const std::string& text) {
    Json::CharReaderBuilder builder;
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr) || !value.isObject()) {
        return Json::Value(Json::objectValue);
    }
    return value;
}

std::string string_field(const Json::Value& object, const char* field) {
    return object[field].isString() ? object[field].asString() : "";
}

std::string error_outcome(const http_response& answer) {
    const auto body = parse_object(answer.body());
    const auto kind = string_field(body, "error");
    const auto effect = string_field(body, "effect");
    if (kind.empty() || answer["X-Lacewing-Effect"] != effect) {
        return fmt::format("status_{}/unmarked", answer.result_int());
    }
    return kind + "/" + effect;
}

std::string failure_outcome(http_failure failure) {
    switch (failure) {
    case http_failure::connect_failed:
        return "connect_failed/not_run";
    case http_failure::timed_out:
        return "timed_out/outcome_unknown";
    case http_failure::closed:
        return "closed/outcome_unknown";
    case http_failure::malformed_answer:
        return "malformed_answer/outcome_unknown";
    }
    return "closed/outcome_unknown";
}

// Whether the request may be sent to another VM: it did not run, and the cause lies with this VM.
bool may_fail_over(const std::string& outcome) {
    return outcome == "connect_failed/not_run" || outcome == "vm_leaving/not_run";
}

// Token bucket with the plan's rate and burst; decides which requests conform to the plan.
class reference_bucket {
public:
    reference_bucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

    // Takes one token for a request that arrives now; false when none is left.
    bool try_consume(steady_clock::time_point now) {
        if (last_ != steady_clock::time_point{}) {
            tokens_ = std::min(burst_, tokens_ + std::chrono::duration<double>(now - last_).count() * rate_);
        }
        last_ = now;
        if (tokens_ < 1) return false;
        tokens_ -= 1;
        return true;
    }

private:
    double rate_;
    double burst_;
    double tokens_;
    steady_clock::time_point last_;
};

} // namespace

// Load source of one account.
struct generator::caller {
    std::string account;
    std::string key;
    /// Client address sent in lookups. It differs between accounts (up to 250), so that they may be given
    /// different VMs.
    std::string client_address;
    std::vector<const route*> routes;
    /// Offered rate in requests per second.
    double rate = 0;
    /// The offered rate is at most the plan's rate.
    bool within_plan = false;
    reference_bucket bucket{0, 0};
    std::mt19937_64 random;
    std::vector<entry_vm> vms;
    /// Time after which the list of VMs is looked up again.
    time_ms vms_lifetime{1000};
    account_result* result = nullptr;
};

struct generator::planned_request {
    const lacewing::route* target = nullptr;
    std::string caller_class;
    std::string body;
    /// Unique part of the request id.
    std::uint64_t nonce = 0;
    /// The plan's token bucket has a token for this request.
    bool conforms = false;
    steady_clock::time_point arrival;
    /// Arrival on the boot clock, in milliseconds.
    std::int64_t arrival_ms = 0;
};

generator::generator(asio::io_context& loop, load_options options)
    : loop_(loop), options_(std::move(options)) {
    std::uint64_t account_number = 0;
    for (const auto& account : options_.config.accounts) {
        ++account_number;
        const auto key = options_.keys.find(account.name.value);
        const auto* plan = options_.config.find_plan(account.plan.value);
        if (key == options_.keys.end() || plan == nullptr) continue;
        auto new_caller = std::make_shared<caller>();
        new_caller->account = account.name.value;
        new_caller->key = key->second;
        new_caller->client_address = fmt::format("127.0.1.{}", account_number % 250 + 1);
        for (const auto& name : plan->routes) {
            new_caller->routes.push_back(options_.config.find_route(name.value));
        }
        const auto allowed = static_cast<double>(plan->rate_per_s);
        const auto offered_override = options_.offered.find(new_caller->account);
        new_caller->rate = offered_override != options_.offered.end() ? offered_override->second
                                                                      : allowed * options_.rate_factor;
        new_caller->within_plan = new_caller->rate <= allowed;
        new_caller->bucket = {allowed, static_cast<double>(plan->burst)};
        new_caller->random.seed(options_.seed * 1'000'003 + account_number);
        new_caller->result = &result_.accounts[new_caller->account];
        new_caller->result->allowed_rate = plan->rate_per_s;
        new_caller->result->offered_rate = new_caller->rate;
        if (new_caller->rate > 0 && !new_caller->routes.empty()) callers_.push_back(std::move(new_caller));
    }
}

http_client& generator::client(const std::string& address) {
    auto& cached = clients_[address];
    if (!cached) {
        http_client_options options;
        options.max_idle_connections = 256;
        cached = std::make_unique<http_client>(loop_.get_executor(), address, options);
    }
    return *cached;
}

// Looks up the entry VMs: asks the VMs of the last lookup first, then the configured ones, until one answers.
asio::awaitable<bool> generator::look_up(caller& caller_state) {
    std::vector<std::string> addresses;
    for (const auto& vm : caller_state.vms)
        addresses.push_back(vm.address);
    for (const auto& entry : options_.entries)
        addresses.push_back(entry);
    for (const auto& address : addresses) {
        http_response answer;
        try {
            answer = co_await client(address).request(
                "GET", "/v1/entry?client=" + caller_state.client_address, {}, "", lookup_timeout);
        } catch (const http_error&) {
            continue;
        }
        const auto root = parse_object(answer.body());
        if (answer.result_int() != 200 || !root["vms"].isArray() || root["vms"].empty()) continue;
        caller_state.vms.clear();
        for (const auto& vm : root["vms"]) {
            caller_state.vms.push_back({string_field(vm, "address"), string_field(vm, "id_prefix")});
        }
        caller_state.vms_lifetime = {std::max<std::int64_t>(root["lifetime_ms"].asInt64(), 100)};
        co_return true;
    }
    co_return false;
}

asio::awaitable<void> generator::wait_until(steady_clock::time_point at) {
    asio::steady_timer timer(loop_, at);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> generator::refresh_entries(caller& caller_state) {
    while (!stopped_) {
        co_await wait_until(steady_clock::now() + std::chrono::milliseconds(caller_state.vms_lifetime.count));
        while (!stopped_) {
            const bool found = co_await look_up(caller_state);
            if (found) break;
            co_await wait_until(steady_clock::now() + lookup_retry_delay);
        }
    }
}

generator::planned_request generator::draw_request(caller& caller_state) {
    const auto pick_uniformly = [&](const auto& items) -> const auto& {
        return items[std::uniform_int_distribution<std::size_t>(0, items.size() - 1)(caller_state.random)];
    };
    planned_request request;
    request.target = pick_uniformly(caller_state.routes);
    if (!options_.config.classes.empty())
        request.caller_class = pick_uniformly(options_.config.classes).name.value;
    if (!options_.body_sizes.empty()) request.body.resize(pick_uniformly(options_.body_sizes));
    for (auto& byte : request.body)
        byte = static_cast<char>('a' + caller_state.random() % 26);
    request.nonce = caller_state.random();
    return request;
}

// Poisson arrivals on an absolute schedule: a slow answer does not delay later arrivals.
asio::awaitable<void> generator::offer_load(caller& caller_state) {
    std::exponential_distribution<double> interarrival_s(caller_state.rate);
    const auto end = start_ + std::chrono::duration<double>(options_.duration_s);
    auto next = start_;
    while (true) {
        next += std::chrono::duration_cast<steady_clock::duration>(
            std::chrono::duration<double>(interarrival_s(caller_state.random)));
        if (next >= end) break;
        co_await wait_until(next);
        auto request = draw_request(caller_state);
        request.arrival = steady_clock::now();
        request.arrival_ms = monotonic_now().count;
        request.conforms = caller_state.bucket.try_consume(request.arrival);
        caller_state.result->last_offered_ms = request.arrival_ms;
        ++caller_state.result->offered;
        if (in_flight_ >= max_in_flight) {
            record(caller_state, request, "not_sent/not_run");
            continue;
        }
        ++in_flight_;
        asio::co_spawn(loop_, send_request(caller_state, std::move(request)), asio::detached);
    }
    --offering_callers_;
}

asio::awaitable<void> generator::send_request(caller& caller_state, planned_request request) {
    // A lookup may replace the list while the request is in flight.
    const auto vms = caller_state.vms;
    std::string outcome = "connect_failed/not_run";
    for (const auto& vm : vms) {
        const auto id = fmt::format("{}-{:016x}", vm.id_prefix, request.nonce);
        http_headers headers{{"Authorization", "Bearer " + caller_state.key},
                             {"X-Request-Id", id},
                             {"X-Deadline-Ms", fmt::format("{}", options_.deadline.count)}};
        if (!request.caller_class.empty()) headers.emplace_back("X-Caller-Class", request.caller_class);
        // The client may send a GET again, so at-most-once routes are never called with GET.
        const bool use_get = request.body.empty() && request.target->idempotent;
        try {
            const auto answer =
                co_await client(vm.address)
                    .request(use_get ? "GET" : "POST", "/r/" + request.target->name.value + "/x",
                             std::move(headers), request.body, options_.deadline + answer_margin);
            outcome = answer.result_int() == 200 ? "ok" : error_outcome(answer);
            if (outcome == "ok") {
                const auto echo = parse_object(answer.body());
                const auto hash = fmt::format("{:016x}", XXH64(request.body.data(), request.body.size(), 0));
                const bool matches_request = string_field(echo, "request_id") == id &&
                                             string_field(echo, "account") == caller_state.account &&
                                             echo["bytes"].asUInt64() == request.body.size() &&
                                             string_field(echo, "hash") == hash;
                if (!matches_request) outcome = "foreign_answer/ran";
                if (!matches_request) ++caller_state.result->mismatched_answers;
                auto& last_arrival_ms = result_.endpoint_last_ms[string_field(echo, "endpoint")];
                last_arrival_ms = std::max(last_arrival_ms, request.arrival_ms);
            }
        } catch (const http_error& e) {
            outcome = failure_outcome(e.failure());
        } catch (const Json::Exception&) {
            outcome = "foreign_answer/ran";
            ++caller_state.result->mismatched_answers;
        }
        if (!may_fail_over(outcome)) break;
    }
    record(caller_state, request, outcome);
    --in_flight_;
}

void generator::record(caller& caller_state, const planned_request& request, const std::string& outcome) {
    auto& result = *caller_state.result;
    ++result.outcomes[outcome];
    const auto second =
        static_cast<std::size_t>(std::chrono::duration<double>(request.arrival - start_).count());
    if (result.seconds.size() <= second) result.seconds.resize(second + 1);
    ++result.seconds[second].offered;
    if (outcome.starts_with("rate_exceeded") && request.conforms && caller_state.within_plan)
        ++result.wrongful_refusals;
    if (outcome != "ok") return;
    const auto elapsed =
        std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - request.arrival);
    result.latency.add(elapsed.count());
    result_.latency.add(elapsed.count());
    result.seconds[second].latency.add(elapsed.count());
    ++result.seconds[second].answered;
    auto& last_arrival_ms = result.last_ok_arrival_ms[request.target->name.value];
    last_arrival_ms = std::max(last_arrival_ms, request.arrival_ms);
}

asio::awaitable<void> generator::show_progress() {
    for (int second = 1; !stopped_; ++second) {
        co_await wait_until(start_ + std::chrono::seconds(second));
        if (stopped_) break;
        const auto ok = result_.count("ok");
        fmt::print(
            "{:>4} s  offered {:>8}  ok {:>8}  rate_exceeded {:>6}  in flight {:>5}  p99 {:>8.2f} ms\n",
            second, result_.offered(), ok, result_.count("rate_exceeded/not_run"), in_flight_,
            static_cast<double>(result_.latency.quantile(0.99)) / 1000);
        std::fflush(stdout);
    }
}

asio::awaitable<load_result> generator::run() {
    for (const auto& caller_state : callers_) {
        bool found = false;
        for (int attempt = 0; attempt < first_lookup_attempts && !found; ++attempt) {
            found = co_await look_up(*caller_state);
            if (!found) {
                co_await wait_until(steady_clock::now() + lookup_retry_delay);
            }
        }
        if (!found) throw std::runtime_error("no VM answers GET /v1/entry");
    }
    start_ = steady_clock::now();
    result_.start_ms = monotonic_now().count;
    result_.duration_s = options_.duration_s;
    offering_callers_ = callers_.size();
    for (const auto& caller_state : callers_) {
        asio::co_spawn(loop_, offer_load(*caller_state), asio::detached);
        asio::co_spawn(loop_, refresh_entries(*caller_state), asio::detached);
    }
    if (options_.progress) asio::co_spawn(loop_, show_progress(), asio::detached);
    while (offering_callers_ > 0 || in_flight_ > 0) {
        co_await wait_until(steady_clock::now() + drain_poll_interval);
    }
    stopped_ = true;
    co_return result_;
}

} // namespace lacewing::load
