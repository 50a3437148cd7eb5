#include "gateway/duty_runner.h"

#include "platform/object_codec.h"
#include "platform/object_filters.h"
#include "protocol/usage_codec.h"
#include "state/error_kind.h"
#include "transport/detached.h"
#include "transport/log.h"
#include "transport/monotonic_clock.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace lacewing {

namespace asio = boost::asio;

namespace {

// Looking at all VMs takes time, so it is done seldom.
constexpr time_ms view_interval{500};
// The first choice for the duty changes at this interval, so that a VM that is unable to take it delays
// nobody for long.
constexpr time_ms choice_interval{4000};
// Longest datagram that IPv4 carries, with some room for headers.
constexpr std::size_t max_datagram_bytes = 65'000;

time_ms time_of_day() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count()};
}

usage_duty::options duty_options(const gateway_settings& settings, const service_bounds& bounds,
                                 std::uint64_t incarnation) {
    usage_duty::options made;
    made.vm = settings.vm.value;
    made.zone = settings.zone.value;
    made.address = settings.peer_listen;
    made.incarnation = incarnation;
    made.window = bounds.usage_window;
    made.late = bounds.usage_late;
    made.term = bounds.duty_term;
    return made;
}

} // namespace

duty_runner::duty_runner(asio::io_context& context, platform::object_store& store, const fleet_view& fleet,
                         const gateway_settings& settings, const service_bounds& bounds,
                         std::uint64_t incarnation, std::function<bool(time_ms)> store_reached,
                         datagram_sender send)
    : context_(context), store_(store), fleet_(fleet), vm_(settings.vm.value), zone_(settings.zone.value),
      address_(settings.peer_listen), store_timeout_(bounds.duty_term / 2),
      record_filter_(platform::duty_filter()), store_reached_(std::move(store_reached)),
      send_(std::move(send)),
      duty_(duty_options(settings, bounds, incarnation), monotonic_now(), time_of_day(),
            [this](std::string_view event, std::int64_t window, std::int64_t value) {
                if (event == "usage_reported" || event == "usage_late") ++reports_accepted_;
                if (event == "usage_late") ++reports_late_;
                log(log_level::info, std::string(event),
                    {{"window", window},
                     {"value", value},
                     {"token", static_cast<std::int64_t>(duty_.lease().token())}});
            }),
      api_(context.get_executor(), settings.duty_api, [this] { return duty_.may_send(monotonic_now()); }) {}

bool duty_runner::wanted(const gateway_settings& settings) {
    const auto& duties = settings.duties;
    return !settings.duty_api.empty() &&
           std::find(duties.begin(), duties.end(), platform::usage_duty) != duties.end();
}

// What the usage duty needs to know of the fleet.
usage_fleet duty_runner::view(time_ms now) const {
    usage_fleet made;
    const bool holding = duty_.lease().holds();
    bool any_lives = false;
    for (const auto& [name, member] : fleet_.members()) {
        const bool lives =
            member.has_reported && !member.refused && now - member.heard < fleet_view::silence_limit;
        if (!lives) continue;
        any_lives = true;
        const auto& report = member.report;
        if (!holding && report.zone.value != zone_) continue;
        made.peers.push_back({name, report.zone.value, report.peer_address,
                              usage_source(name, report.incarnation.value), report.leaving});
    }
    made.isolated = !any_lives && !fleet_.members().empty();
    const auto turn = now.count / choice_interval.count;
    made.first_choice = fleet_.owns_writes(fmt::format("usage-duty/{}", turn), now, store_reached_(now));
    return made;
}

void duty_runner::on_tick(time_ms now) {
    if (now >= next_view_) {
        next_view_ = now + view_interval;
        duty_.set_fleet(now, view(now));
    }
    deliver(duty_.step(now, time_of_day()));
    auto action = duty_.next_store_call(now);
    if (action.kind != duty_lease::action::call::none)
        asio::co_spawn(context_, call_store(std::move(action)), log_exception{"duty_store_call"});
    if (auto report = duty_.next_report(now))
        asio::co_spawn(context_, send_report(std::move(*report)), log_exception{"duty_report"});
}

asio::awaitable<void> duty_runner::call_store(duty_lease::action action) {
    const std::string kind(platform::duty_kind);
    const std::string name(platform::usage_duty);
    if (action.kind == duty_lease::action::call::read) {
        const auto result = co_await store_.read(kind, name, record_filter_, store_timeout_);
        const auto now = monotonic_now();
        const auto* found = std::get_if<std::optional<platform::object_page::entry>>(&result);
        if (found == nullptr) {
            duty_.lease().on_no_answer(now);
            co_return;
        }
        try {
            std::optional<duty_record> record;
            if (*found) record = decode_duty_record(platform::to_json(name, (*found)->object)["spec"]);
            duty_.lease().on_read(now, std::move(record), *found ? (*found)->object.revision : 0);
        } catch (const error& problem) {
            log(log_level::error, "duty_unreadable", {{"duty", name}, {"reason", problem.what()}});
            duty_.lease().on_no_answer(now);
        }
    } else {
        const auto result = co_await store_.replace_at(kind, name, encode_duty_record(action.record),
                                                       action.revision, store_timeout_);
        const auto now = monotonic_now();
        if (const auto* written = std::get_if<platform::written_at>(&result)) {
            duty_.lease().on_written(now, written->revision);
        } else if (std::holds_alternative<platform::write_conflict>(result)) {
            duty_.lease().on_conflict(now);
        } else {
            log(log_level::warn, "duty_write_failed",
                {{"duty", name}, {"reason", std::get<platform::call_failed>(result).reason}});
            duty_.lease().on_no_answer(now);
        }
    }
    duty_.on_store_answer(monotonic_now());
}

asio::awaitable<void> duty_runner::send_report(usage_duty::report report) {
    const auto window = report.window;
    const auto result =
        co_await api_.report_usage(vm_, report.token, window, std::move(report.counts), report.timeout);
    auto end = usage_duty::report_end::no_answer;
    switch (result.outcome) {
    case platform::duty_outcome::accepted:
        end = usage_duty::report_end::accepted;
        break;
    case platform::duty_outcome::rejected:
        // Another try cannot succeed, and would hold up all later windows.
        log(log_level::error, "usage_rejected", {{"window", window}, {"reason", result.reason}});
        end = usage_duty::report_end::accepted;
        break;
    case platform::duty_outcome::refused:
        end = usage_duty::report_end::refused;
        break;
    case platform::duty_outcome::no_answer:
        break;
    }
    if (end != usage_duty::report_end::accepted)
        log(log_level::warn, "usage_report_failed", {{"window", window}, {"reason", result.reason}});
    duty_.on_report_end(monotonic_now(), end);
}

void duty_runner::on_datagram(std::string_view datagram) {
    try {
        deliver(duty_.on_message(monotonic_now(), decode_usage_message(datagram)));
    } catch (const error& problem) {
        log(log_level::warn, "peer_message_rejected", {{"reason", problem.what()}});
    }
}

// Sends messages; those to this VM itself are handled at once.
void duty_runner::deliver(usage_duty::outgoing messages) {
    while (!messages.empty()) {
        const auto [address, message] = std::move(messages.back());
        messages.pop_back();
        if (address == address_) {
            for (auto& answer : duty_.on_message(monotonic_now(), message))
                messages.push_back(std::move(answer));
            continue;
        }
        const auto datagram = encode_usage_message(message);
        if (datagram.size() > max_datagram_bytes) {
            log(log_level::error, "usage_message_too_long", {{"to", address}, {"bytes", datagram.size()}});
            continue;
        }
        send_(address, datagram);
    }
}

std::string duty_runner::metrics() const {
    const auto now = monotonic_now();
    const auto& lease = duty_.lease();
    const auto& holder = duty_.holder();
    std::string out;
    const auto add = [&out](std::string_view name, auto value) {
        out += fmt::format("{} {}\n", name, value);
    };
    out += fmt::format("lacewing_usage_duty_holder{{vm=\"{}\"}} {}\n", holder.vm, holder.token);
    add("lacewing_usage_duty_held", lease.may_act(now) ? 1 : 0);
    add("lacewing_usage_duty_token", lease.token());
    add("lacewing_usage_last_window", duty_.last_reported());
    add("lacewing_usage_windows_pending", duty_.backlog(now));
    add("lacewing_usage_settled_below", holder.settled_below);
    add("lacewing_usage_reports_accepted_total", reports_accepted_);
    add("lacewing_usage_reports_late_total", reports_late_);
    add("lacewing_usage_windows_dropped_total", duty_.counter().dropped());
    add("lacewing_usage_counted_too_late_total", duty_.counter().too_late());
    return out;
}

} // namespace lacewing
