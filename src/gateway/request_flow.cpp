// The path of a request, in order: route, account, rate, service, endpoint, attempt, answer.

#include "gateway/request_flow.h"

#include "protocol/caller_http.h"
#include "protocol/framing.h"
#include "transport/log.h"
#include "transport/monotonic_clock.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>

namespace lacewing {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Time that a caller waits if it does not say.
constexpr time_ms default_deadline{10'000};
constexpr time_ms longest_deadline{600'000};
// A longer deadline than this is not typical for a route and says nothing about other callers.
constexpr time_ms longest_learnt_deadline{30'000};
// Bytes of an answer before any has been seen; used only to price the way.
constexpr std::size_t expected_answer_bytes = 3000;
// A repeat needs at least this much time to be of use.
constexpr time_ms least_repeat_time{30};
// A process that has no configuration yet expects one soon.
constexpr time_ms configuration_wait{300};
constexpr time_ms stop_retry{50};

std::string_view view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

// Value of a cookie by name.
std::string_view cookie(const http::fields& fields, std::string_view name) {
    auto rest = view(fields[http::field::cookie]);
    while (!rest.empty()) {
        const auto end = rest.find(';');
        auto item = rest.substr(0, end);
        while (!item.empty() && item.front() == ' ')
            item.remove_prefix(1);
        if (item.size() > name.size() && item.starts_with(name) && item[name.size()] == '=') {
            return item.substr(name.size() + 1);
        }
        if (end == std::string_view::npos) break;
        rest.remove_prefix(end + 1);
    }
    return {};
}

time_ms deadline_of(const http::fields& fields, std::string_view name) {
    const auto text = view(fields[name]);
    if (text.empty()) return default_deadline;
    double value = 0;
    try {
        value = std::stod(std::string(text));
    } catch (const std::exception&) {
        throw error(error_kind::bad_request, "the deadline is not a number");
    }
    if (!std::isfinite(value) || value < 0)
        throw error(error_kind::bad_request, "the deadline is out of range");
    return std::min(longest_deadline, time_ms{static_cast<std::int64_t>(value)});
}

} // namespace

request_flow::request_flow(deadlines& times, endpoint_connection_pool& pool, const caller_dialect& names,
                           endpoint_registry& registry, endpoint_selector& selector, account_limiter& limiter,
                           repeat_budget& repeats, version_mover& moves, std::uint64_t seed)
    : times_(times), pool_(pool), names_(names), registry_(registry), selector_(selector), limiter_(limiter),
      repeats_(repeats), moves_(moves), random_(seed) {}

asio::awaitable<caller_answer> request_flow::handle(caller_request& request, answer_sink sink) {
    ++counters_.requests;
    journey of;
    of.request = &request;
    of.routes = routes_;
    of.attempt_id = std::string(view(request.fields[names_.attempt_id]));
    std::optional<refusal> why;
    try {
        if (refusing_) throw error(error_kind::vm_leaving, "the VM is stopping");
        identify(of);
        why = admit(of);
    } catch (const error& problem) {
        why = refusal{problem.kind(), problem.what(), {}};
        if (problem.kind() == error_kind::not_configured) why->retry_after = configuration_wait;
        if (problem.kind() == error_kind::vm_leaving) why->retry_after = stop_retry;
    }
    if (why) co_return refuse(of, *why);
    co_return co_await forward(of, sink);
}

// Finds route and account, and how long the caller will wait.
void request_flow::identify(journey& of) {
    const auto& request = *of.request;
    if (of.routes == nullptr) throw error(error_kind::not_configured, "no configuration is known yet");
    const auto target = split_target(request.target, view(request.fields[http::field::host]));
    of.path = target.path;
    of.host = target.host;
    of.route = of.routes->find(target.host, target.path);
    if (of.route == nullptr) throw error(error_kind::no_such_route, "no route for this host and path");
    of.priority = of.route->priority;
    if (!of.route->open && !of.routes->configuration().accounts.empty()) {
        if (request.fields.count(names_.key) != 1)
            throw error(error_kind::key_rejected, "one key is required");
        of.account = of.routes->account_of(view(request.fields[names_.key]));
        if (of.account == nullptr) throw error(error_kind::key_rejected, "unknown key");
        of.priority = of.account->priority.value_or(of.priority);
    }
    const auto wait = deadline_of(request.fields, names_.deadline);
    of.deadline = request.arrived + std::min(wait, of.route->timeout.value_or(wait));
    note_deadline(of, wait);
    const auto object = cookie(request.fields, names_.affinity_cookie);
    if (of.route->affinity && !object.empty()) {
        of.object = std::max<std::uint32_t>(1, hash_tag(of.route->name.value + '/' + std::string(object)));
    }
    of.bytes =
        expected_answer_bytes + static_cast<std::size_t>(request.length.value_or(request.body->size()));
}

// A caller that tries again sends what is left of its deadline; the difference to the deadline of a first try
// tells how long it has waited already.
void request_flow::note_deadline(journey& of, time_ms wait) {
    auto& full = full_deadlines_[of.route->name.value];
    full = std::max(full, std::min(wait, longest_learnt_deadline));
    of.first_asked = of.request->arrived - std::max(time_ms{0}, full - wait);
}

// Takes one request out of the account's allowance and chooses the service. Returns the refusal of a request
// over its rate: an exception costs several times as much processor time, and most requests of a busy account
// end here.
std::optional<request_flow::refusal> request_flow::admit(journey& of) {
    if (of.account != nullptr) {
        const auto decision = limiter_.ask(monotonic_now(), of.account->name.value);
        if (!decision.admitted) {
            return refusal{error_kind::rate_exceeded,
                           fmt::format("account {} is over its rate of {} per s", of.account->name.value,
                                       of.account->rate_per_s),
                           decision.retry_after};
        }
    }
    of.service_name = split_.choose(*of.route);
    of.service = of.routes->service(of.service_name);
    repeats_.on_request(monotonic_now(), of.service_name);
    return std::nullopt;
}

endpoint_request request_flow::request_of(const journey& of, time_ms now, const region_filter& regions,
                                          const version_choice& version) const {
    endpoint_request made;
    made.route = of.route;
    made.service = of.service_name;
    made.object = of.object;
    made.version = version;
    made.regions = &regions;
    made.priority = of.priority;
    made.bytes = of.bytes;
    made.elapsed = now - of.first_asked;
    made.left = of.deadline - now;
    made.tried = &of.tried;
    return made;
}

// Chooses endpoints and sends the request until there is an answer or nothing more to try.
asio::awaitable<caller_answer> request_flow::forward(journey& of, const answer_sink& sink) {
    static const std::vector<region_name> anywhere;
    const region_filter regions(of.route->homes, of.account != nullptr ? of.account->homes : anywhere);
    const auto version = moves_.choose(monotonic_now(), of.service_name);
    std::optional<endpoint_result> last;
    int sent = 0;
    for (;;) {
        const auto now = monotonic_now();
        if (of.request->caller_left) {
            ++counters_.callers_left;
            record(of, 0, "caller_left", "before an endpoint was chosen");
            caller_answer dropped;
            dropped.drop = true;
            co_return dropped;
        }
        const auto asked = request_of(of, now, regions, version);
        const auto choice = selector_.choose(now, asked, of.service);
        of.expected = choice.expected;
        const bool repeat = sent > 0;
        if (choice.endpoint == nullptr || (repeat && !repeats_.take(now, of.service_name))) {
            if (last && last->answer && !last->answer->not_run) {
                record(of, last->answer->status, "endpoint_failed", last->reason);
                co_return answer_from(*last->answer);
            }
            if (of.may_have_run) {
                co_return refuse(of, {error_kind::endpoint_failed, last ? last->reason : "no answer", {}});
            }
            const auto detail = choice.no_usable_endpoint ? "no usable endpoint"
                                : repeat ? "refused by the endpoint and no other is free in time"
                                         : fmt::format("an answer would take {} ms of {} ms left",
                                                       choice.expected.count, asked.left.count);
            co_return refuse(of, {error_kind::no_capacity, detail, choice.retry_after});
        }
        if (repeat) ++counters_.repeats;
        auto result = co_await attempt(of, asked, choice, sink);
        if (!result.unsent) ++sent;
        if (result.streamed) {
            caller_answer streamed;
            streamed.streamed = true;
            streamed.drop = !result.stream_complete;
            record(of, 0, result.stream_complete ? "answered" : "answer_cut", result.reason);
            if (result.stream_complete) ++counters_.answered;
            co_return streamed;
        }
        if (result.how == attempt_end::answered) {
            ++counters_.answered;
            record(of, result.answer->status, "answered", {});
            co_return answer_from(*result.answer);
        }
        if (of.request->caller_left) {
            last = std::move(result);
            continue;
        }
        const bool ran = !result.unsent && !(result.answer && result.answer->not_run);
        of.may_have_run = of.may_have_run || ran;
        if (result.how == attempt_end::abandoned) {
            co_return refuse(of, {error_kind::deadline_exceeded, "no answer of the endpoint in time", {}});
        }
        const bool again = may_repeat(of, result) && sent < of.route->max_attempts &&
                           of.deadline - monotonic_now() > least_repeat_time;
        last = std::move(result);
        if (again) continue;
        if (last->answer && !last->answer->not_run && last->answer->status != 503 &&
            last->answer->status != 429 && last->answer->status != 408) {
            ++counters_.failed_by_endpoint;
            record(of, last->answer->status, "endpoint_failed", "the endpoint's own answer");
            co_return answer_from(*last->answer);
        }
        if (of.may_have_run) co_return refuse(of, {error_kind::endpoint_failed, last->reason, {}});
        co_return refuse(
            of, {error_kind::endpoint_refused, "the endpoint did not run the request", choice.retry_after});
    }
}

// Whether the request may be sent to another endpoint after this result.
bool request_flow::may_repeat(const journey& of, const endpoint_result& result) const {
    if (of.request->rest) return result.unsent;
    if (result.unsent || (result.answer && result.answer->not_run)) return true;
    return of.route->execution == execution_rule::idempotent;
}

asio::awaitable<endpoint_result> request_flow::attempt(journey& of, const endpoint_request& asked,
                                                       const endpoint_choice& choice,
                                                       const answer_sink& sink) {
    const auto& endpoint = choice.endpoint;
    const auto started = monotonic_now();
    const auto& id = endpoint->registration.id.value;
    of.tried.push_back(id);
    of.endpoint = id;
    of.warm = choice.warm;
    selector_.on_send(started, *endpoint, of.object, of.service);
    endpoint_attempt running(pool_, times_, names_);
    of.request->on_leave = [&running] { running.abort(); };
    endpoint_result result;
    {
        const scoped_deadline limit(times_, of.deadline, [&running] { running.abort(); });
        result = co_await running.run(endpoint->registration.address,
                                      message_for(of, id, of.deadline - started), sink);
    }
    of.request->on_leave = nullptr;
    const auto now = monotonic_now();
    if (running.connect_duration()) selector_.on_connect(*endpoint, *running.connect_duration());
    if (result.answer) {
        const auto& fields = result.answer->fields;
        if (fields.count(names_.load) > 0)
            endpoint_selector::on_load_report(now, *endpoint, view(fields[names_.load]));
        if (result.answer->status == 421) endpoint->replaced = true;
    }
    selector_.on_end(now, *endpoint, asked, started, choice.warm, result.how, of.service);
    judge_version(of, *endpoint, choice, result, now - started);
    co_return result;
}

// Counts the outcome for or against the endpoint's version.
void request_flow::judge_version(const journey& of, const endpoint_state& endpoint,
                                 const endpoint_choice& choice, const endpoint_result& result,
                                 time_ms taken) {
    const auto& version = endpoint.registration.version;
    const auto& route = of.route->name.value;
    // The wait for a slot and a cold endpoint say nothing about the version.
    const bool cold = monotonic_now() < endpoint.cold_until;
    const auto work_ms = static_cast<double>((taken - choice.wait).count);
    if (result.how == attempt_end::abandoned && of.request->caller_left) {
        if (!cold) moves_.on_abandoned(of.service_name, version, route, work_ms);
        return;
    }
    if (result.how == attempt_end::not_run || result.how == attempt_end::unreachable) return;
    moves_.on_outcome(of.service_name, version, route, result.how != attempt_end::answered,
                      cold ? std::optional<double>() : work_ms);
}

attempt_message request_flow::message_for(const journey& of, const std::string& endpoint,
                                          time_ms left) const {
    const auto& request = *of.request;
    attempt_message made;
    made.attempt_id = of.attempt_id;
    made.head_method = request.method == "HEAD";
    made.body = request.body;
    made.rest = request.rest;
    std::string& head = made.head;
    head = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", request.method, of.path, of.host);
    const auto connection = view(request.fields[http::field::connection]);
    const auto own = [this](std::string_view name) {
        for (const auto item : {names_.key, names_.deadline, names_.expected_endpoint, names_.account}) {
            if (boost::beast::iequals({item.data(), item.size()}, {name.data(), name.size()})) return true;
        }
        return false;
    };
    for (const auto& field : request.fields) {
        const auto name = view(field.name_string());
        if (field.name() == http::field::host || field.name() == http::field::content_length ||
            field.name() == http::field::expect || is_hop_header(name, connection) || own(name)) {
            continue;
        }
        head += fmt::format("{}: {}\r\n", name, view(field.value()));
    }
    head += fmt::format("{}: {}\r\n{}: {}\r\n", names_.deadline, std::max<std::int64_t>(1, left.count),
                        names_.expected_endpoint, endpoint);
    if (of.account != nullptr) head += fmt::format("{}: {}\r\n", names_.account, of.account->name.value);
    made.chunked_rest = request.rest && !request.length;
    if (made.chunked_rest) {
        head += "Transfer-Encoding: chunked\r\n\r\n";
        head += fmt::format("{:x}\r\n", request.body->size());
        made.body = std::make_shared<const std::string>(*request.body + "\r\n");
        return made;
    }
    const auto length = request.rest ? *request.length : request.body->size();
    const bool has_body =
        length > 0 || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (has_body) head += fmt::format("Content-Length: {}\r\n", length);
    head += "\r\n";
    return made;
}

caller_answer request_flow::answer_from(const endpoint_answer& answer) {
    caller_answer made;
    made.status = answer.status;
    made.body = answer.body;
    made.headers = passed_on_lines(answer.fields);
    return made;
}

caller_answer request_flow::refuse(const journey& of, const refusal& why) {
    const auto& row = answer_for(why.kind);
    ++counters_.refused[static_cast<std::size_t>(why.kind)];
    const bool not_run = row.effect == request_effect::not_run;
    if (not_run && of.account != nullptr && why.kind != error_kind::rate_exceeded) {
        limiter_.refund(of.account->name.value);
    }
    caller_answer made;
    made.status = static_cast<unsigned>(row.http_status);
    made.headers = "Content-Type: application/json\r\n";
    if (!of.attempt_id.empty()) made.headers += fmt::format("{}: {}\r\n", names_.attempt_id, of.attempt_id);
    if (why.retry_after > time_ms{0}) {
        made.headers +=
            fmt::format("Retry-After: {:.3f}\r\n", static_cast<double>(why.retry_after.count) / 1000);
    }
    made.body = error_body(why.kind, why.detail);
    made.close = refusing_;
    record(of, made.status, row.name, why.detail);
    return made;
}

void request_flow::record(const journey& of, unsigned status, std::string_view outcome,
                          std::string_view detail) {
    const auto taken = monotonic_now() - of.request->arrived;
    std::size_t bucket = 0;
    while (bucket < flow_counters::bounds.size() && taken.count > flow_counters::bounds[bucket])
        ++bucket;
    ++counters_.latency[bucket];
    counters_.latency_sum_ms += static_cast<double>(taken.count);
    const auto level = outcome == "answered" ? log_level::debug : log_level::info;
    if (!acquire_log_line(level)) return;
    write_log(level, "request",
              {{"id", of.attempt_id},
               {"route", of.route != nullptr ? of.route->name.value : ""},
               {"account", of.account != nullptr ? of.account->name.value : ""},
               {"service", of.service_name},
               {"endpoint", of.endpoint},
               {"tries", of.tried.size()},
               {"outcome", outcome},
               {"status", status},
               {"ms", taken.count},
               {"object", of.object},
               {"warm", of.warm},
               {"expected_ms", of.expected.count},
               {"config", of.routes != nullptr ? of.routes->configuration().version : 0},
               {"detail", detail}});
}

} // namespace lacewing
