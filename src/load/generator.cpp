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
constexpr std::chrono::milliseconds lookup_retry{200};
constexpr int first_lookup_attempts = 50;
constexpr std::chrono::milliseconds drain_poll{10};
// Bounds the memory when no VM answers; later arrivals are counted as not_sent.
constexpr std::uint64_t max_in_flight = 10'000;
// A VM answers at the deadline; the difference covers the way back.
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

std::string text_of(const Json::Value& object, const char* field) {
    return object[field].isString() ? object[field].asString() : "";
}

std::string error_outcome(const http_response& answer) {
    const auto body = parse_object(answer.body());
    const auto kind = text_of(body, "error");
    const auto effect = text_of(body, "effect");
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

// Whether another VM may be asked: the request did not run and the cause lies with this VM.
bool may_fail_over(const std::string& outcome) {
    return outcome == "connect_failed/not_run" || outcome == "vm_leaving/not_run";
}

// Token bucket of the plan: tells which requests conform to rate and burst.
class reference_bucket {
public:
    reference_bucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

    bool take(steady_clock::time_point now) {
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

struct generator::caller {
    std::string account;
    std::string key;
    /// Address that is sent in the lookup; distinct per account, so that accounts may get distinct VMs.
    std::string client_address;
    std::vector<const route*> routes;
    double rate = 0;
    bool within_plan = false;
    reference_bucket bucket{0, 0};
    std::mt19937_64 random;
    std::vector<entry_vm> vms;
    time_ms lifetime{1000};
    account_result* result = nullptr;
};

struct generator::request_plan {
    const lacewing::route* target = nullptr;
    std::string caller_class;
    std::string body;
    std::uint64_t nonce = 0;
    bool conforms = false;
    steady_clock::time_point arrival;
    std::int64_t begin_ms = 0;
};

generator::generator(asio::io_context& loop, load_options options)
    : loop_(loop), options_(std::move(options)) {
    std::uint64_t number = 0;
    for (const auto& account : options_.config.accounts) {
        ++number;
        const auto key = options_.keys.find(account.name.value);
        const auto* plan = options_.config.find_plan(account.plan.value);
        if (key == options_.keys.end() || plan == nullptr) continue;
        auto made = std::make_shared<caller>();
        made->account = account.name.value;
        made->key = key->second;
        made->client_address = fmt::format("127.0.1.{}", number % 250 + 1);
        for (const auto& name : plan->routes) {
            made->routes.push_back(options_.config.find_route(name.value));
        }
        const auto allowed = static_cast<double>(plan->rate_per_s);
        const auto given = options_.offered.find(made->account);
        made->rate = given != options_.offered.end() ? given->second : allowed * options_.rate_factor;
        made->within_plan = made->rate <= allowed;
        made->bucket = {allowed, static_cast<double>(plan->burst)};
        made->random.seed(options_.seed * 1'000'003 + number);
        made->result = &result_.accounts[made->account];
        made->result->allowed_rate = plan->rate_per_s;
        made->result->offered_rate = made->rate;
        if (made->rate > 0 && !made->routes.empty()) callers_.push_back(std::move(made));
    }
}

http_client& generator::client(const std::string& address) {
    auto& held = clients_[address];
    if (!held) {
        http_client_options options;
        options.max_idle_connections = 256;
        held = std::make_unique<http_client>(loop_.get_executor(), address, options);
    }
    return *held;
}

// Asks the VMs of the last answer first, then the given ones, until one answers.
asio::awaitable<bool> generator::look_up(caller& from) {
    std::vector<std::string> addresses;
    for (const auto& vm : from.vms)
        addresses.push_back(vm.address);
    for (const auto& entry : options_.entries)
        addresses.push_back(entry);
    for (const auto& address : addresses) {
        http_response answer;
        try {
            answer = co_await client(address).request("GET", "/v1/entry?client=" + from.client_address, {},
                                                      "", lookup_timeout);
        } catch (const http_error&) {
            continue;
        }
        const auto root = parse_object(answer.body());
        if (answer.result_int() != 200 || !root["vms"].isArray() || root["vms"].empty()) continue;
        from.vms.clear();
        for (const auto& vm : root["vms"]) {
            from.vms.push_back({text_of(vm, "address"), text_of(vm, "id_prefix")});
        }
        from.lifetime = {std::max<std::int64_t>(root["lifetime_ms"].asInt64(), 100)};
        co_return true;
    }
    co_return false;
}

asio::awaitable<void> generator::wait_until(steady_clock::time_point at) {
    asio::steady_timer timer(loop_, at);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> generator::keep_entries(caller& from) {
    while (!stopped_) {
        co_await wait_until(steady_clock::now() + std::chrono::milliseconds(from.lifetime.count));
        while (!stopped_) {
            const bool found = co_await look_up(from);
            if (found) break;
            co_await wait_until(steady_clock::now() + lookup_retry);
        }
    }
}

generator::request_plan generator::draw_request(caller& from) {
    const auto pick = [&](const auto& items) -> const auto& {
        return items[std::uniform_int_distribution<std::size_t>(0, items.size() - 1)(from.random)];
    };
    request_plan made;
    made.target = pick(from.routes);
    if (!options_.config.classes.empty()) made.caller_class = pick(options_.config.classes).name.value;
    if (!options_.body_sizes.empty()) made.body.resize(pick(options_.body_sizes));
    for (auto& byte : made.body)
        byte = static_cast<char>('a' + from.random() % 26);
    made.nonce = from.random();
    return made;
}

// Poisson arrivals on an absolute schedule: a slow answer does not delay later arrivals.
asio::awaitable<void> generator::offer(caller& from) {
    std::exponential_distribution<double> gap(from.rate);
    const auto end = start_ + std::chrono::duration<double>(options_.duration_s);
    auto next = start_;
    while (true) {
        next += std::chrono::duration_cast<steady_clock::duration>(
            std::chrono::duration<double>(gap(from.random)));
        if (next >= end) break;
        co_await wait_until(next);
        auto request = draw_request(from);
        request.arrival = steady_clock::now();
        request.begin_ms = monotonic_now().count;
        request.conforms = from.bucket.take(request.arrival);
        from.result->last_offered_ms = request.begin_ms;
        ++from.result->offered;
        if (in_flight_ >= max_in_flight) {
            record(from, request, "not_sent/not_run");
            continue;
        }
        ++in_flight_;
        asio::co_spawn(loop_, send(from, std::move(request)), asio::detached);
    }
    --offering_;
}

asio::awaitable<void> generator::send(caller& from, request_plan request) {
    // The list may be renewed while the request is under way.
    const auto vms = from.vms;
    std::string outcome = "connect_failed/not_run";
    for (const auto& vm : vms) {
        const auto id = fmt::format("{}-{:016x}", vm.id_prefix, request.nonce);
        http_headers headers{{"Authorization", "Bearer " + from.key},
                             {"X-Request-Id", id},
                             {"X-Deadline-Ms", fmt::format("{}", options_.deadline.count)}};
        if (!request.caller_class.empty()) headers.emplace_back("X-Caller-Class", request.caller_class);
        // Only GET may be sent again by the client, so at-most-once routes are never called by GET.
        const bool plain = request.body.empty() && request.target->idempotent;
        try {
            const auto answer =
                co_await client(vm.address)
                    .request(plain ? "GET" : "POST", "/r/" + request.target->name.value + "/x",
                             std::move(headers), request.body, options_.deadline + answer_margin);
            outcome = answer.result_int() == 200 ? "ok" : error_outcome(answer);
            if (outcome == "ok") {
                const auto echo = parse_object(answer.body());
                const auto hash = fmt::format("{:016x}", XXH64(request.body.data(), request.body.size(), 0));
                const bool own =
                    text_of(echo, "request_id") == id && text_of(echo, "account") == from.account &&
                    echo["bytes"].asUInt64() == request.body.size() && text_of(echo, "hash") == hash;
                if (!own) outcome = "foreign_answer/ran";
                if (!own) ++from.result->foreign;
                auto& last = result_.endpoint_last_ms[text_of(echo, "endpoint")];
                last = std::max(last, request.begin_ms);
            }
        } catch (const http_error& e) {
            outcome = failure_outcome(e.failure());
        } catch (const Json::Exception&) {
            outcome = "foreign_answer/ran";
            ++from.result->foreign;
        }
        if (!may_fail_over(outcome)) break;
    }
    record(from, request, outcome);
    --in_flight_;
}

void generator::record(caller& from, const request_plan& request, const std::string& outcome) {
    auto& result = *from.result;
    ++result.outcomes[outcome];
    const auto second =
        static_cast<std::size_t>(std::chrono::duration<double>(request.arrival - start_).count());
    if (result.seconds.size() <= second) result.seconds.resize(second + 1);
    ++result.seconds[second].offered;
    if (outcome.starts_with("rate_exceeded") && request.conforms && from.within_plan) ++result.wrongful;
    if (outcome != "ok") return;
    const auto spent =
        std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - request.arrival);
    result.latency.add(spent.count());
    result_.latency.add(spent.count());
    result.seconds[second].latency.add(spent.count());
    ++result.seconds[second].answered;
    auto& last = result.last_ok_ms[request.target->name.value];
    last = std::max(last, request.begin_ms);
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
    for (const auto& from : callers_) {
        bool found = false;
        for (int attempt = 0; attempt < first_lookup_attempts && !found; ++attempt) {
            found = co_await look_up(*from);
            if (!found) {
                co_await wait_until(steady_clock::now() + lookup_retry);
            }
        }
        if (!found) throw std::runtime_error("no VM answers GET /v1/entry");
    }
    start_ = steady_clock::now();
    result_.start_ms = monotonic_now().count;
    result_.duration_s = options_.duration_s;
    offering_ = callers_.size();
    for (const auto& from : callers_) {
        asio::co_spawn(loop_, offer(*from), asio::detached);
        asio::co_spawn(loop_, keep_entries(*from), asio::detached);
    }
    if (options_.progress) asio::co_spawn(loop_, show_progress(), asio::detached);
    while (offering_ > 0 || in_flight_ > 0) {
        co_await wait_until(steady_clock::now() + drain_poll);
    }
    stopped_ = true;
    co_return result_;
}

} // namespace lacewing::load
