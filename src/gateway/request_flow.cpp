// Request processing, in order: route, account, rate, service, endpoint, attempt, answer.

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

// Deadline of a request without a deadline header.
constexpr time_ms default_deadline{10'000};
constexpr time_ms max_deadline{600'000};
// Longer deadlines are not typical of a route and say nothing about other callers, so they count as
// this value.
constexpr time_ms max_learned_deadline{30'000};
// A retry is made only with more than this time left until the deadline.
constexpr time_ms min_retry_time{30};
// Retry-After of a process without a configuration, which expects one soon.
constexpr time_ms configuration_retry_after{300};
// Retry-After of a stopping process.
constexpr time_ms stop_retry_after{50};

std::string_view view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

// Value of a cookie by name; empty when absent.
std::string_view cookie(const http::fields& fields, std::string_view name) {
    auto remaining = view(fields[http::field::cookie]);
    while (!remaining.empty()) {
        const auto end = remaining.find(';');
        auto item = remaining.substr(0, end);
        while (!item.empty() && item.front() == ' ')
            item.remove_prefix(1);
        if (item.size() > name.size() && item.starts_with(name) && item[name.size()] == '=') {
            return item.substr(name.size() + 1);
        }
        if (end == std::string_view::npos) break;
        remaining.remove_prefix(end + 1);
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
    return std::min(max_deadline, time_ms{static_cast<std::int64_t>(value)});
}

/// Keeps an attempt in a set for the scope.
class attempt_registration {
public:
    attempt_registration(std::set<endpoint_attempt*>& attempts, endpoint_attempt& attempt)
        : attempts_(attempts), attempt_(&attempt) {
        attempts_.insert(attempt_);
    }
    ~attempt_registration() { attempts_.erase(attempt_); }
    attempt_registration(const attempt_registration&) = delete;
    attempt_registration& operator=(const attempt_registration&) = delete;
    attempt_registration(attempt_registration&&) = delete;
    attempt_registration& operator=(attempt_registration&&) = delete;

private:
    std::set<endpoint_attempt*>& attempts_;
    endpoint_attempt* attempt_;
};

/// Aborts an attempt when its caller disconnects, for the scope.
class disconnect_abort {
public:
    disconnect_abort(caller_request& request, endpoint_attempt& attempt) : request_(request) {
        request_.on_disconnect = [&attempt] { attempt.abort(); };
    }
    ~disconnect_abort() { request_.on_disconnect = nullptr; }
    disconnect_abort(const disconnect_abort&) = delete;
    disconnect_abort& operator=(const disconnect_abort&) = delete;
    disconnect_abort(disconnect_abort&&) = delete;
    disconnect_abort& operator=(disconnect_abort&&) = delete;

private:
    caller_request& request_;
};

/// A request that counts as sent to an endpoint until end(), or until an exception leaves the scope.
class counted_send {
public:
    counted_send(endpoint_selector& selector, endpoint_state& endpoint, const endpoint_request& query,
                 const backend_service* service, time_ms started, bool warm)
        : selector_(selector), endpoint_(endpoint), query_(query), service_(service), started_(started),
          warm_(warm) {
        selector_.on_send(started_, endpoint_, query_, service_);
    }
    ~counted_send() {
        if (!ended_) end(monotonic_now(), attempt_end::broken);
    }
    void end(time_ms now, attempt_end outcome) {
        ended_ = true;
        selector_.on_end(now, endpoint_, query_, started_, warm_, outcome, service_);
    }
    counted_send(const counted_send&) = delete;
    counted_send& operator=(const counted_send&) = delete;
    counted_send(counted_send&&) = delete;
    counted_send& operator=(counted_send&&) = delete;

private:
    endpoint_selector& selector_;
    endpoint_state& endpoint_;
    const endpoint_request& query_;
    const backend_service* service_;
    time_ms started_;
    bool warm_;
    bool ended_ = false;
};

} // namespace

request_flow::request_flow(deadline_queue& deadlines, endpoint_connection_pool& pool,
                           const caller_dialect& dialect, endpoint_registry& registry,
                           endpoint_selector& selector, account_limiter& limiter, repeat_budget& repeats,
                           version_mover& moves, std::uint64_t seed)
    : deadlines_(deadlines), pool_(pool), dialect_(dialect), registry_(registry), selector_(selector),
      limiter_(limiter), repeats_(repeats), moves_(moves), random_(seed) {}

asio::awaitable<caller_answer> request_flow::handle(caller_request& request, answer_sink sink) {
    ++counters_.requests;
    request_context context;
    context.request = &request;
    context.routes = routes_;
    context.attempt_id = std::string(view(request.fields[dialect_.attempt_id]));
    std::optional<refusal> cause;
    try {
        resolve_request(context);
        cause = admit(context);
    } catch (const error& problem) {
        cause = refusal{problem.kind(), problem.what(), {}};
        if (problem.kind() == error_kind::not_configured) cause->retry_after = configuration_retry_after;
    }
    if (cause) co_return refuse(context, *cause);
    co_return co_await forward(context, sink);
}

time_ms request_flow::patience(const http::fields& fields, const caller_dialect& dialect) {
    try {
        return deadline_of(fields, dialect.deadline);
    } catch (const error&) {
        // Refused once it has arrived.
        return default_deadline;
    }
}

// Finds the route, the account and the deadline of a request.
// Throws an error whose kind is the answer to the caller.
void request_flow::resolve_request(request_context& context) {
    const auto& request = *context.request;
    if (context.routes == nullptr) throw error(error_kind::not_configured, "no configuration is known yet");
    const auto target = split_target(request.target, view(request.fields[http::field::host]));
    context.path = target.path;
    context.host = target.host;
    context.route = context.routes->find(target.host, target.path);
    if (context.route == nullptr) throw error(error_kind::no_such_route, "no route for this host and path");
    context.priority = context.route->priority;
    if (!context.route->open && !context.routes->configuration().accounts.empty()) {
        if (request.fields.count(dialect_.key) != 1)
            throw error(error_kind::key_rejected, "one key is required");
        context.account = context.routes->account_of(view(request.fields[dialect_.key]));
        if (context.account == nullptr) throw error(error_kind::key_rejected, "unknown key");
        context.priority = context.account->priority.value_or(context.priority);
    }
    const auto wait = deadline_of(request.fields, dialect_.deadline);
    context.deadline = request.arrived + std::min(wait, context.route->timeout.value_or(wait));
    learn_full_deadline(context, wait);
    const auto object = cookie(request.fields, dialect_.affinity_cookie);
    if (context.route->affinity && !object.empty()) {
        context.object_tag =
            std::max<std::uint32_t>(1, hash_tag(context.route->name.value + '/' + std::string(object)));
    }
    context.expected_bytes = answer_sizes_.expected_bytes(context.route->name.value) +
                             static_cast<std::size_t>(request.length.value_or(request.body->size()));
}

// A caller that retries sends the remaining part of its deadline, so the difference to the full deadline of
// the route is the time that it has already waited.
void request_flow::learn_full_deadline(request_context& context, time_ms wait) {
    auto& full_deadline = full_deadlines_[context.route->name.value];
    full_deadline = std::max(full_deadline, std::min(wait, max_learned_deadline));
    context.first_arrival = context.request->arrived - std::max(time_ms{0}, full_deadline - wait);
}

// Charges the request to the account's rate and chooses the service. A request over its rate is refused by
// return value: an exception costs several times as much CPU time, and most requests of an account
// over its rate end here.
std::optional<request_flow::refusal> request_flow::admit(request_context& context) {
    if (context.account != nullptr) {
        const auto decision = limiter_.ask(monotonic_now(), context.account->name.value);
        if (!decision.admitted) {
            return refusal{error_kind::rate_exceeded,
                           fmt::format("account {} is over its rate of {} per s", context.account->name.value,
                                       context.account->rate_per_s),
                           decision.retry_after};
        }
        context.charged = true;
    }
    context.service_name = split_.choose(*context.route);
    context.service = context.routes->service(context.service_name);
    repeats_.on_request(monotonic_now(), context.service_name);
    return std::nullopt;
}

endpoint_request request_flow::make_endpoint_request(const request_context& context, time_ms now,
                                                     const region_filter& regions,
                                                     const version_choice& version) const {
    endpoint_request query;
    query.route = context.route;
    query.service = context.service_name;
    query.object = context.object_tag;
    query.version = version;
    query.regions = &regions;
    query.priority = context.priority;
    query.bytes = context.expected_bytes;
    query.elapsed = now - context.first_arrival;
    query.left = context.deadline - now;
    query.tried = &context.tried;
    return query;
}

// Chooses an endpoint, sends the request and retries until there is an answer or no further attempt is
// allowed.
asio::awaitable<caller_answer> request_flow::forward(request_context& context, const answer_sink& sink) {
    static const std::vector<region_name> anywhere;
    const region_filter regions(context.route->homes,
                                context.account != nullptr ? context.account->homes : anywhere);
    const auto version = moves_.choose(monotonic_now(), context.service_name);
    std::optional<endpoint_result> last;
    int attempts_sent = 0;
    for (;;) {
        const auto now = monotonic_now();
        if (context.request->caller_left) {
            ++counters_.callers_left;
            record_result(context, 0, "caller_left", "before an endpoint was chosen");
            caller_answer dropped;
            dropped.abort_connection = true;
            co_return dropped;
        }
        const auto query = make_endpoint_request(context, now, regions, version);
        const auto choice = selector_.choose(now, query, context.service);
        context.expected_latency = choice.expected;
        const bool repeat = attempts_sent > 0;
        const bool in_time = may_finish(context, now);
        if (choice.endpoint == nullptr || !in_time || (repeat && !repeats_.take(now, context.service_name))) {
            if (last && last->answer && !last->answer->not_run && !last->answer->unproven_refusal()) {
                record_result(context, last->answer->status, "endpoint_failed", last->reason);
                co_return make_caller_answer(*last->answer);
            }
            if (context.sends.may_have_run()) {
                co_return refuse(context,
                                 {error_kind::endpoint_failed, last ? last->reason : "no answer", {}});
            }
            if (choice.endpoint != nullptr && !in_time)
                co_return refuse(context, {error_kind::vm_leaving, "the VM is stopping", stop_retry_after});
            co_return refuse(context, capacity_refusal(choice, repeat, query.left));
        }
        if (repeat) ++counters_.repeats;
        context.sends.on_send();
        const bool counted = usage_ != nullptr && context.account != nullptr;
        const auto window =
            counted ? usage_->on_begin(context.account->name.value, now + choice.round_trip / 2 + choice.wait)
                    : 0;
        auto result = co_await attempt(context, query, choice, sink);
        if (counted && (result.unsent || (result.answer && result.answer->not_run)))
            usage_->take_back(context.account->name.value, window);
        if (!result.unsent) ++attempts_sent;
        if (result.unsent) {
            context.sends.on_unsent();
        } else if (result.answer && result.answer->not_run) {
            context.sends.on_stated_not_run();
        }
        if (result.streamed) {
            caller_answer streamed;
            streamed.streamed = true;
            streamed.abort_connection = !result.stream_complete;
            record_result(context, 0, result.stream_complete ? "answered" : "answer_cut", result.reason);
            if (result.stream_complete) ++counters_.answered;
            co_return streamed;
        }
        if (result.outcome == attempt_end::answered) {
            ++counters_.answered;
            record_result(context, result.answer->status, "answered", {});
            co_return make_caller_answer(*result.answer);
        }
        if (context.request->caller_left) {
            last = std::move(result);
            continue;
        }
        if (result.answer && (result.answer->not_run || result.answer->unproven_refusal()))
            record_endpoint_refusal(context, result);
        if (result.outcome == attempt_end::abandoned) {
            const bool stopped = stop_ && monotonic_now() < context.deadline;
            co_return refuse(context, {error_kind::deadline_exceeded,
                                       stopped ? "the VM stopped before the endpoint answered"
                                               : "no answer of the endpoint in time",
                                       {}});
        }
        const bool retry = may_retry(context, result) && attempts_sent < context.route->max_attempts &&
                           context.deadline - monotonic_now() > min_retry_time;
        last = std::move(result);
        if (retry) continue;
        if (last->answer && !last->answer->not_run && !last->answer->unproven_refusal()) {
            ++counters_.failed_by_endpoint;
            record_result(context, last->answer->status, "endpoint_failed", "the endpoint's own answer");
            co_return make_caller_answer(*last->answer);
        }
        if (context.sends.may_have_run())
            co_return refuse(context, {error_kind::endpoint_failed, last->reason, {}});
        co_return refuse(context, {error_kind::endpoint_refused, "the endpoint did not run the request",
                                   choice.retry_after});
    }
}

// Whether the request, sent to an endpoint now, can be answered before the process ends.
bool request_flow::may_finish(const request_context& context, time_ms now) const {
    if (!stop_) return true;
    // The caller decides how long the rest of a body takes.
    const auto expected = context.request->remaining_body ? context.deadline : now + context.expected_latency;
    return stop_->admits(now, expected, context.deadline);
}

void request_flow::give_up_requests() {
    for (auto* attempt : attempts_)
        attempt->abort();
}

// Refusal of a request for which no endpoint was chosen.
request_flow::refusal request_flow::capacity_refusal(const endpoint_choice& choice, bool repeat,
                                                     time_ms left) {
    std::string detail =
        fmt::format("an answer would take {} ms of {} ms left", choice.expected.count, left.count);
    if (repeat) detail = "refused by the endpoint and no other is free in time";
    if (choice.no_usable_endpoint) detail = "no usable endpoint";
    if (choice.limited_regions > 0) {
        ++counters_.refused_by_shift_limit;
        detail += fmt::format("; {} other regions closed by the limit on shifts", choice.limited_regions);
    }
    if (choice.paused_endpoints > 0) {
        ++counters_.refused_by_endpoint_pauses;
        detail += fmt::format("; {} endpoints have asked for a pause", choice.paused_endpoints);
    }
    if (choice.limited_endpoints > 0) {
        ++counters_.refused_by_endpoint_limits;
        detail += fmt::format("; {} endpoints at the limits that they have named", choice.limited_endpoints);
    }
    return {error_kind::no_capacity, detail, choice.retry_after};
}

// Records an endpoint's refusal. An error answer may pass on "not run" only if the endpoint has stated it.
void request_flow::record_endpoint_refusal(const request_context& context, const endpoint_result& result) {
    const bool stated = result.answer->not_run;
    ++(stated ? counters_.stated_not_run : counters_.unproven_refusals);
    if (!acquire_log_line(log_level::info)) return;
    write_log(log_level::info, stated ? "stated_not_run" : "refusal_unproven",
              {{"id", context.attempt_id},
               {"endpoint", context.endpoint},
               {"status", result.answer->status},
               {"names_request", result.names_request},
               {"new_connection", result.new_connection}});
}

// Whether the request may be sent to another endpoint after this result. An at-most-once request may only if
// it was not run, a request with a body that is not fully buffered only if nothing was sent.
bool request_flow::may_retry(const request_context& context, const endpoint_result& result) const {
    if (context.request->remaining_body) return result.unsent;
    if (result.unsent || (result.answer && result.answer->not_run)) return true;
    return context.route->execution == execution_rule::idempotent;
}

asio::awaitable<endpoint_result> request_flow::attempt(request_context& context,
                                                       const endpoint_request& query,
                                                       const endpoint_choice& choice,
                                                       const answer_sink& sink) {
    const auto& endpoint = choice.endpoint;
    const auto started = monotonic_now();
    const auto& id = endpoint->registration.id.value;
    context.tried.push_back(id);
    context.endpoint = id;
    context.warm = choice.warm;
    counted_send send(selector_, *endpoint, query, context.service, started, choice.warm);
    if (endpoint->limit.per_s()) ++counters_.sent_to_limited_endpoints;
    // The head of a long answer tells the limit well before the end of its body.
    const answer_sink learning_sink{[this, &context, &endpoint, &sink](const endpoint_answer& answer,
                                                                       std::optional<std::uint64_t> length) {
                                        learn_endpoint_word(context, *endpoint, answer);
                                        return sink.begin(answer, length);
                                    },
                                    sink.write};
    endpoint_attempt current_attempt(pool_, deadlines_, dialect_, buffered_answers_);
    endpoint_result result;
    bool overdue = false;
    {
        const disconnect_abort on_disconnect(*context.request, current_attempt);
        const scoped_deadline limit(deadlines_, context.deadline,
                                    [&current_attempt] { current_attempt.expire(); });
        const auto sent = describe_send(context, *endpoint, choice);
        moves_.on_sent(sent);
        std::optional<scoped_deadline> slow_mark;
        const auto slow_after = moves_.slow_limit(sent);
        if (slow_after && started >= endpoint->cold_until) {
            slow_mark.emplace(deadlines_, started + choice.wait + choice.round_trip + *slow_after, [&] {
                overdue = true;
                moves_.on_overdue(sent);
            });
        }
        const attempt_registration registration(attempts_, current_attempt);
        result = co_await current_attempt.run(endpoint->registration.address,
                                              make_attempt_message(context, id, context.deadline - started),
                                              learning_sink);
    }
    const auto now = monotonic_now();
    if (current_attempt.connect_duration())
        selector_.on_connect(*endpoint, *current_attempt.connect_duration());
    if (result.answer) {
        const auto& fields = result.answer->fields;
        if (fields.count(dialect_.load) > 0)
            endpoint_selector::on_load_report(now, *endpoint, view(fields[dialect_.load]));
        if (result.answer->status == 421) endpoint->replaced = true;
        if (!result.streamed) learn_endpoint_word(context, *endpoint, *result.answer);
    }
    send.end(now, result.outcome);
    record_version_outcome(context, *endpoint, choice, result, now - started, overdue);
    if (result.outcome == attempt_end::answered) {
        answer_sizes_.on_answer(context.route->name.value,
                                result.streamed_bytes + result.answer->body.size());
    }
    co_return result;
}

// Records what an endpoint says of itself in an answer: that it leaves, that it wants a pause, and its limit.
void request_flow::learn_endpoint_word(const request_context& context, endpoint_state& endpoint,
                                       const endpoint_answer& answer) {
    // Another process answers 421 at the address.
    if (answer.status == 421) return;
    const auto& id = endpoint.registration.id.value;
    const auto leaving = view(answer.fields[dialect_.leaving]);
    if (leaving == "1") {
        if (endpoint.notice.on_leaving(monotonic_now()))
            log(log_level::info, "endpoint_leaving", {{"endpoint", id}, {"request", context.attempt_id}});
    } else if (!leaving.empty()) {
        log(log_level::warn, "endpoint_leaving_rejected", {{"endpoint", id}, {"value", leaving}});
    }
    const auto pauses = answer.fields.count(http::field::retry_after);
    if (answer.status == 503 && pauses > 0) {
        const auto text = view(answer.fields[http::field::retry_after]);
        const auto pause = pauses == 1 ? parse_endpoint_pause(text) : std::nullopt;
        if (pause) {
            endpoint.notice.on_pause(monotonic_now(), *pause);
            log(log_level::info, "endpoint_pause",
                {{"endpoint", id}, {"ms", pause->count}, {"request", context.attempt_id}});
        } else {
            log(log_level::warn, "endpoint_pause_rejected",
                {{"endpoint", id}, {"value", text}, {"count", pauses}});
        }
    }
    learn_endpoint_limit(endpoint, answer);
}

// Records the limit that an answer names, or that it names none.
void request_flow::learn_endpoint_limit(endpoint_state& endpoint, const endpoint_answer& answer) {
    const auto count = answer.fields.count(dialect_.limit);
    const auto text = view(answer.fields[dialect_.limit]);
    const auto per_s = count == 1 ? parse_endpoint_limit(text) : std::nullopt;
    if (count > 0 && !per_s) {
        log(log_level::warn, "endpoint_limit_rejected",
            {{"endpoint", endpoint.registration.id.value}, {"value", text}, {"count", count}});
        return;
    }
    registry_.on_limit(monotonic_now(), endpoint, per_s);
}

// What a request to an endpoint is for the move of its service.
sent_request request_flow::describe_send(const request_context& context, const endpoint_state& endpoint,
                                         const endpoint_choice& choice) {
    return {context.service_name,
            endpoint.registration.version,
            context.route->name.value,
            {choice.cold_ms, choice.cold_samples},
            context.object_tag != 0 && !choice.warm};
}

// Records the outcome as evidence for or against the endpoint's version.
void request_flow::record_version_outcome(request_context& context, const endpoint_state& endpoint,
                                          const endpoint_choice& choice, const endpoint_result& result,
                                          time_ms duration, bool overdue) {
    // Neither the wait for a slot nor the latency of a cold endpoint says anything about the version.
    const bool cold = monotonic_now() < endpoint.cold_until;
    const bool timed = !cold && !overdue;
    const auto sent = describe_send(context, endpoint, choice);
    const answer_timing timing{static_cast<double>((duration - choice.wait - choice.round_trip).count),
                               choice.wait > time_ms{0}};
    if (result.outcome == attempt_end::not_run || result.outcome == attempt_end::unreachable) return;
    // A request that has failed once often fails again for a reason of its own, so a repeat is no further
    // evidence about the version.
    if (context.failed_before) return;
    auto outcome = request_outcome::failed;
    if (result.outcome == attempt_end::answered) {
        outcome = request_outcome::answered;
    } else if (result.outcome == attempt_end::abandoned) {
        outcome =
            context.request->caller_left ? request_outcome::caller_left : request_outcome::deadline_passed;
    }
    context.failed_before = outcome == request_outcome::failed;
    moves_.on_outcome(monotonic_now(), sent, outcome, timed ? std::optional(timing) : std::nullopt);
}

attempt_message request_flow::make_attempt_message(const request_context& context,
                                                   const std::string& endpoint, time_ms time_left) const {
    const auto& request = *context.request;
    attempt_message message;
    message.attempt_id = context.attempt_id;
    message.is_head_request = request.method == "HEAD";
    message.body = request.body;
    message.remaining_body = request.remaining_body;
    std::string& head = message.head;
    head = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", request.method, context.path, context.host);
    const auto connection = view(request.fields[http::field::connection]);
    const auto is_internal_header = [this](std::string_view name) {
        for (const auto item :
             {dialect_.key, dialect_.deadline, dialect_.expected_endpoint, dialect_.account}) {
            if (boost::beast::iequals({item.data(), item.size()}, {name.data(), name.size()})) return true;
        }
        return false;
    };
    for (const auto& field : request.fields) {
        const auto name = view(field.name_string());
        if (field.name() == http::field::host || field.name() == http::field::content_length ||
            field.name() == http::field::expect || is_hop_by_hop_header(name, connection) ||
            is_internal_header(name)) {
            continue;
        }
        head += fmt::format("{}: {}\r\n", name, view(field.value()));
    }
    head += fmt::format("{}: {}\r\n{}: {}\r\n", dialect_.deadline, std::max<std::int64_t>(1, time_left.count),
                        dialect_.expected_endpoint, endpoint);
    if (context.account != nullptr)
        head += fmt::format("{}: {}\r\n", dialect_.account, context.account->name.value);
    message.chunk_remaining_body = request.remaining_body && !request.length;
    if (message.chunk_remaining_body) {
        head += "Transfer-Encoding: chunked\r\n\r\n";
        head += fmt::format("{:x}\r\n", request.body->size());
        message.body = std::make_shared<const std::string>(*request.body + "\r\n");
        return message;
    }
    const auto length = request.remaining_body ? *request.length : request.body->size();
    const bool has_body =
        length > 0 || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (has_body) head += fmt::format("Content-Length: {}\r\n", length);
    head += "\r\n";
    return message;
}

caller_answer request_flow::make_caller_answer(const endpoint_answer& answer) {
    caller_answer reply;
    reply.status = answer.status;
    reply.body = answer.body;
    reply.headers = forwarded_header_lines(answer.fields);
    return reply;
}

// Makes the error answer. Every promise of "not run" about a request that has been read is made here, and
// none while a send may have run the request.
caller_answer request_flow::refuse(const request_context& context, refusal cause) {
    if (context.sends.may_have_run() && error_answer_for(cause.kind).effect == request_effect::not_run) {
        log(log_level::error, "promise_withheld",
            {{"id", context.attempt_id},
             {"kind", error_answer_for(cause.kind).name},
             {"detail", cause.detail}});
        cause.kind = error_kind::endpoint_failed;
        cause.retry_after = time_ms{0};
    }
    const auto& row = error_answer_for(cause.kind);
    ++counters_.refused[static_cast<std::size_t>(cause.kind)];
    const bool not_run = row.effect == request_effect::not_run;
    if (not_run && context.charged) limiter_.refund(context.account->name.value);
    caller_answer reply;
    reply.status = static_cast<unsigned>(row.http_status);
    reply.headers = "Content-Type: application/json\r\n";
    if (!context.attempt_id.empty())
        reply.headers += fmt::format("{}: {}\r\n", dialect_.attempt_id, context.attempt_id);
    if (cause.retry_after > time_ms{0}) {
        reply.headers +=
            fmt::format("Retry-After: {:.3f}\r\n", static_cast<double>(cause.retry_after.count) / 1000);
    }
    reply.body = error_body(cause.kind, cause.detail);
    reply.close = stop_.has_value();
    record_result(context, reply.status, row.name, cause.detail);
    return reply;
}

void request_flow::record_result(const request_context& context, unsigned status, std::string_view outcome,
                                 std::string_view detail) {
    const auto duration = monotonic_now() - context.request->arrived;
    std::size_t bucket = 0;
    while (bucket < request_counters::latency_bounds_ms.size() &&
           duration.count > request_counters::latency_bounds_ms[bucket])
        ++bucket;
    ++counters_.latency_counts[bucket];
    counters_.latency_sum_ms += static_cast<double>(duration.count);
    const auto level = outcome == "answered" ? log_level::debug : log_level::info;
    if (!acquire_log_line(level)) return;
    write_log(level, "request",
              {{"id", context.attempt_id},
               {"route", context.route != nullptr ? context.route->name.value : ""},
               {"account", context.account != nullptr ? context.account->name.value : ""},
               {"service", context.service_name},
               {"endpoint", context.endpoint},
               {"tries", context.tried.size()},
               {"stated_not_run", context.sends.stated_not_run()},
               {"outcome", outcome},
               {"status", status},
               {"ms", duration.count},
               {"object", context.object_tag},
               {"warm", context.warm},
               {"expected_ms", context.expected_latency.count},
               {"config", context.routes != nullptr ? context.routes->configuration().version : 0},
               {"detail", detail}});
}

} // namespace lacewing
