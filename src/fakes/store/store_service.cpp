#include "fakes/store/store_service.h"

#include "protocol/url.h"
#include "state/error_kind.h"
#include "transport/monotonic_clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>
#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <algorithm>
#include <chrono>
#include <memory>

namespace lacewing::fakes {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view objects_path = "/v1/objects";
constexpr std::string_view object_prefix = "/v1/objects/";

Json::Value parse_json(const std::string& text) {
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    Json::Value value;
    std::string problem;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &problem)) {
        throw error(error_kind::bad_request, "the body is not JSON: " + problem);
    }
    return value;
}

std::string object_json(const object_event& object) {
    const auto key = Json::valueToQuotedString(object.key.c_str());
    if (object.deleted()) {
        return fmt::format(R"({{"key":{},"revision":{},"deleted":true}})", key, object.revision.value);
    }
    return fmt::format(R"({{"key":{},"revision":{},"value":{}}})", key, object.revision.value, *object.value);
}

std::string list_json(revision_id revision, std::string_view list_field,
                      const std::vector<object_event>& objects) {
    std::string text = fmt::format(R"({{"revision":{},"{}":[)", revision.value, list_field);
    for (const auto& object : objects) {
        if (text.back() != '[') text += ',';
        text += object_json(object);
    }
    return text + "]}";
}

std::string revision_json(revision_id revision) {
    return fmt::format(R"({{"revision":{}}})", revision.value);
}

http_response error_response(unsigned status, std::string_view detail) {
    return make_response(
        status, fmt::format(R"({{"error":{}}})", Json::valueToQuotedString(std::string(detail).c_str())));
}

http_response outcome_response(const write_outcome& outcome) {
    if (const auto* done = std::get_if<write_done>(&outcome)) {
        return make_response(200, revision_json(done->revision));
    }
    if (const auto* conflict = std::get_if<write_conflict>(&outcome)) {
        return make_response(412, revision_json(conflict->current));
    }
    return error_response(413, "the value is larger than 1 MB");
}

// The body limit is above the value limit: a value that is too large must be received to be answered with
// 413.
http_limits store_limits() {
    http_limits limits;
    limits.body_bytes = 4 * object_table::max_value_bytes;
    return limits;
}

} // namespace

void call_rate::add(time_ms now) {
    const auto second = now.count / 1000;
    if (first_second_ < 0) first_second_ = second;
    const auto slot = static_cast<std::size_t>(second % (window_s + 1));
    if (slot_seconds_[slot] != second) counts_[slot] = 0;
    slot_seconds_[slot] = second;
    ++counts_[slot];
}

double call_rate::per_second(time_ms now) const {
    const auto second = now.count / 1000;
    const auto complete = first_second_ < 0 ? 0 : std::min(window_s, second - first_second_);
    if (complete == 0) return 0;
    std::int64_t total = 0;
    for (std::size_t slot = 0; slot < counts_.size(); ++slot) {
        if (slot_seconds_[slot] < second && slot_seconds_[slot] >= second - complete) total += counts_[slot];
    }
    return static_cast<double>(total) / static_cast<double>(complete);
}

store_service::store_service(const asio::any_io_executor& executor, std::string_view listen,
                             std::uint64_t seed)
    : executor_(executor), random_(seed),
      server_(executor, listen, store_limits(),
              [this](http_request request) { return handle_request(std::move(request)); }) {}

void store_service::set_faults(const store_faults& faults) {
    faults_ = faults;
    wake_waiting_calls();
}

asio::awaitable<void> store_service::stop() {
    stopping_ = true;
    wake_waiting_calls();
    co_await server_.stop();
}

// Handles one call; malformed input is answered with 400.
asio::awaitable<http_response> store_service::handle_request(http_request request) {
    std::string problem;
    try {
        const auto target = parse_target(request.target());
        if (target.path.starts_with("/admin/")) co_return handle_admin_request(request, target.path);
        call_rate_.add(monotonic_now());
        co_await apply_faults();
        if (faults_.outage) co_return error_response(503, "the store is out of service");
        if (target.path == "/v1/vms") {
            ++stats_.reads;
            co_return make_response(200, vms_json_);
        }
        if (target.path == "/v1/watch") {
            const revision_id after{parse_number(target.parameter("after", "0"), "after")};
            const auto wait = parse_number(target.parameter("wait_ms", "0"), "wait_ms");
            const time_ms bounded_wait{static_cast<std::int64_t>(std::min<std::uint64_t>(wait, 600000))};
            co_return co_await watch(std::string(target.parameter("prefix")), after, bounded_wait);
        }
        if (request.method() == http::verb::get) {
            co_return read_or_list(target.path, target.parameter("prefix"));
        }
        if (!target.path.starts_with(object_prefix)) co_return error_response(404, "no such resource");
        co_return write(request, std::string_view(target.path).substr(object_prefix.size()));
    } catch (const error& malformed) {
        problem = malformed.what();
    }
    co_return error_response(400, problem);
}

// Waits for the injected delay and for the end of a silent outage. A call that met a silent outage gets no
// answer, also when the outage has ended.
asio::awaitable<void> store_service::apply_faults() {
    if (faults_.delay.count > 0) {
        const auto until = monotonic_now() + faults_.delay;
        while (!stopping_ && faults_.delay.count > 0 && monotonic_now() < until) {
            co_await wait_for_wakeup(until);
        }
    }
    if (!faults_.outage || !faults_.silent) co_return;
    while (!stopping_ && faults_.outage && faults_.silent) {
        co_await wait_for_wakeup(monotonic_now() + time_ms{60000});
    }
    throw close_without_response();
}

// Suspends until the time, or earlier until wake_waiting_calls: a write, a change of the faults or the stop.
asio::awaitable<void> store_service::wait_for_wakeup(time_ms until) {
    asio::steady_timer timer(executor_);
    timer.expires_after(std::chrono::milliseconds((until - monotonic_now()).count));
    waiting_timers_.insert(&timer);
    boost::system::error_code woken;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    waiting_timers_.erase(&timer);
}

void store_service::wake_waiting_calls() {
    for (auto* timer : waiting_timers_) {
        timer->cancel();
    }
}

asio::awaitable<http_response> store_service::watch(std::string prefix, revision_id after, time_ms wait) {
    ++stats_.watches;
    ++stats_.pending_watches;
    const auto until = monotonic_now() + wait;
    auto events = table_.events_after(prefix, after);
    while (events.empty() && !stopping_ && !faults_.outage && monotonic_now() < until) {
        co_await wait_for_wakeup(until);
        events = table_.events_after(prefix, after);
    }
    --stats_.pending_watches;
    if (faults_.outage) throw close_without_response();
    co_return make_response(200, list_json(table_.revision(), "events", events));
}

http_response store_service::read_or_list(std::string_view path, std::string_view prefix) {
    ++stats_.reads;
    if (path == objects_path) {
        return make_response(200, list_json(table_.revision(), "objects", table_.list(prefix)));
    }
    if (!path.starts_with(object_prefix)) return error_response(404, "no such resource");
    const auto object = table_.get(path.substr(object_prefix.size()));
    if (!object) return error_response(404, "no such object");
    return make_response(200, object_json(*object));
}

http_response store_service::write(const http_request& request, std::string_view key) {
    ++stats_.writes;
    write_rate_.add(monotonic_now());
    const revision_id expected{parse_number(request[http::field::if_match], "If-Match")};
    write_outcome outcome;
    if (request.method() == http::verb::put) {
        if (request.body().size() <= object_table::max_value_bytes) parse_json(request.body());
        outcome = table_.put(key, request.body(), expected);
    } else if (request.method() == http::verb::delete_) {
        outcome = table_.erase(key, expected);
    } else {
        return error_response(405, "only GET, PUT and DELETE");
    }
    if (std::holds_alternative<write_conflict>(outcome)) ++stats_.conflicts;
    if (std::holds_alternative<write_done>(outcome)) {
        wake_waiting_calls();
        if (std::uniform_real_distribution<>(0, 1)(random_) < faults_.lose_answers) {
            ++stats_.lost_answers;
            throw close_without_response();
        }
    }
    return outcome_response(outcome);
}

http_response store_service::handle_admin_request(const http_request& request, std::string_view path) {
    if (path == "/admin/stats") return make_response(200, stats_json());
    const auto body = parse_json(request.body());
    if (path == "/admin/vms") {
        vms_json_ = request.body();
        return make_response(200, "{}");
    }
    if (path != "/admin/faults") return error_response(404, "no such resource");
    store_faults faults;
    try {
        faults.outage = body.get("outage", false).asBool();
        faults.silent = body.get("silent", false).asBool();
        faults.delay = time_ms{body.get("delay_ms", 0).asInt64()};
        faults.lose_answers = body.get("lose_answers", 0.0).asDouble();
    } catch (const Json::Exception& problem) {
        throw error(error_kind::bad_request, problem.what());
    }
    set_faults(faults);
    return make_response(200, "{}");
}

std::string store_service::stats_json() const {
    const auto now = monotonic_now();
    return fmt::format(
        R"({{"reads":{},"writes":{},"watches":{},"pending_watches":{},"conflicts":{},"lost_answers":{},)"
        R"("calls_per_second":{:.1f},"writes_per_second":{:.1f},"revision":{}}})",
        stats_.reads, stats_.writes, stats_.watches, stats_.pending_watches, stats_.conflicts,
        stats_.lost_answers, call_rate_.per_second(now), write_rate_.per_second(now),
        table_.revision().value);
}

} // namespace lacewing::fakes
