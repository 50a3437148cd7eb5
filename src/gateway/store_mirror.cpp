#include "gateway/store_mirror.h"

#include "state/error_kind.h"
#include "transport/detached.h"
#include "transport/log.h"
#include "transport/monotonic_clock.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace asio = boost::asio;

namespace {

constexpr time_ms list_timeout{1500};
// The store ends a watch without events after its wait, which shows that the connection works; one that went
// silent is detected watch_grace later. Each wait is random, so that of many VMs whose connections go silent
// at the same moment the first ones notice soon; the others catch up with those. A VM alone waits
// min_watch_wait.
constexpr time_ms min_watch_wait{900};
constexpr time_ms watch_wait_per_vm{400};
constexpr time_ms max_watch_wait{4100};
constexpr time_ms watch_grace{400};
// A watch that may lag ends soon, so that a VM that takes the duty over watches closely soon.
constexpr time_ms lagging_watch_wait{1500};
// For kinds whose changes the reports of the VMs carry as well.
constexpr time_ms relaxed_watch_wait{5000};
// Pause after a failed call: calls to a store that does not answer are billed too.
constexpr time_ms min_retry_pause{200};
constexpr time_ms max_retry_pause{500};
// Pause before a list is tried again that the store did not give to its end.
constexpr time_ms min_incomplete_list_pause{800};
constexpr time_ms max_incomplete_list_pause{1200};
// A VM that knows nothing of a kind uses what it has read of a long list at this interval. Another VM that
// knows the whole kind is asked before the first time.
constexpr time_ms part_interval{3000};
// Endpoint events come in bursts; this pause after a page of events lets the next watch return several at
// once.
constexpr time_ms event_batch_pause{200};
// The store counts as reachable for this long after an answer: one watch with its grace, and some margin.
constexpr time_ms reachable_window{4000};
// No registration lapses in a shorter outage.
constexpr time_ms min_lapsing_outage{1500};
// A live endpoint whose registration has lapsed in an outage registers again within about two seconds of the
// store's return, which is noticed here a little later. One that has left must not get requests for two
// seconds.
constexpr time_ms reregistration_time{1900};

} // namespace

store_mirror::store_mirror(asio::io_context& context, platform::object_store& store,
                           const std::vector<mirrored_kind>& kinds, std::uint64_t seed, listener on_change)
    : context_(context), store_(store), random_(seed), on_change_(std::move(on_change)) {
    for (const auto& kind : kinds) {
        auto& made = kinds_[kind.name];
        made.copy = object_copy(kind.filter.max_bytes);
        made.filter = kind.filter;
        made.filter.holds = [&copy = made.copy](const std::string& name) {
            return copy.objects().contains(name);
        };
        if (kind.reported_by_vms) relaxed_kinds_.insert(kind.name);
        if (kind.may_lag) lagging_kinds_.insert(kind.name);
    }
}

void store_mirror::start() {
    for (const auto& [kind, copied] : kinds_)
        spawn_lasting(context_, "store_mirror", [this, kind = kind] { return list_and_watch(kind); });
}

asio::awaitable<void> store_mirror::wait_random(time_ms min_wait, time_ms max_wait) {
    std::uniform_int_distribution<std::int64_t> span(min_wait.count, max_wait.count);
    asio::steady_timer timer(context_, std::chrono::milliseconds(span(random_)));
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

time_ms store_mirror::watch_wait(const std::string& kind) {
    if (relaxed_kinds_.contains(kind)) return relaxed_watch_wait;
    if (may_lag(kind)) return lagging_watch_wait;
    // The reports of the watching VMs show a change that a silent connection hides.
    if (!watches_for_region_) return relaxed_watch_wait;
    const auto longest = std::min(max_watch_wait, min_watch_wait + watch_wait_per_vm * (live_vms_ - 1));
    std::uniform_int_distribution<std::int64_t> wait(min_watch_wait.count, longest.count);
    return {wait(random_)};
}

asio::awaitable<platform::page_result> store_mirror::fetch(std::string kind, bool must_list) {
    if (must_list) {
        time_ms next_use = monotonic_now() + part_interval;
        const auto on_part = [&](const platform::object_page& part) { use_part(kind, part, next_use); };
        co_return co_await store_.list(kind, filter(kind), list_timeout, on_part);
    }
    co_return co_await store_.watch(
        kind, filter(kind), kinds_.at(kind).copy.as_of(), watch_wait(kind), watch_grace,
        may_lag(kind) ? platform::watch_freshness::may_lag : platform::watch_freshness::current);
}

// Lists a kind, then watches it; lists it again when the store no longer has the events after the known
// revision.
asio::awaitable<void> store_mirror::list_and_watch(std::string kind) {
    auto& copy = kinds_.at(kind).copy;
    bool must_list = true;
    bool failed_before = false;
    bool incomplete_before = false;
    for (;;) {
        const auto asked = monotonic_now();
        const auto asked_after = copy.as_of();
        auto result = co_await fetch(kind, must_list);
        const auto now = monotonic_now();
        if (const auto* problem = std::get_if<platform::call_failed>(&result)) {
            on_failure(now, kind, problem->reason);
            // The first retry tells a silent connection from a store that is away.
            if (std::exchange(failed_before, true)) {
                co_await wait_random(min_retry_pause, max_retry_pause);
            }
            continue;
        }
        failed_before = false;
        on_success(now);
        if (const auto* lost = std::get_if<platform::history_lost>(&result)) {
            log(log_level::info, "store_history_lost",
                {{"kind", kind}, {"revision", copy.as_of()}, {"unreadable", lost->unreadable}});
            // A copy that lags may not have the listed revision yet and answer the same again.
            if (may_lag(kind) || lost->unreadable) {
                co_await wait_random(min_retry_pause, max_retry_pause);
            }
            must_list = true;
            continue;
        }
        auto& page = std::get<platform::object_page>(result);
        note_left_out(kind, page.left_out);
        // A list that the store did not give to its end is used only when a second try ends in the same way.
        if (!page.complete && !std::exchange(incomplete_before, true)) {
            co_await wait_random(min_retry_pause, max_retry_pause);
            continue;
        }
        incomplete_before = !page.complete;
        if (must_list) {
            const auto listed_revision = page.as_of;
            auto changes = copy.apply_list(std::move(page));
            // After an incomplete list, the changes since the last complete one are still to be had.
            must_list = !copy.known();
            if (changes.applied) {
                publish(kind, std::move(changes), change_source::store);
                if (incomplete_before) {
                    co_await wait_random(min_incomplete_list_pause, max_incomplete_list_pause);
                }
                continue;
            }
            log(log_level::warn, "store_list_outdated",
                {{"kind", kind}, {"revision", listed_revision}, {"known", copy.as_of()}});
            co_await wait_random(min_retry_pause, max_retry_pause);
        } else {
            // A snapshot that has come meanwhile may hold objects whose changes the page leaves out.
            if (page.omits_changes && copy.as_of() != asked_after) continue;
            const bool any_events = !page.entries.empty() || page.omits_changes;
            auto changes = copy.apply_events(std::move(page));
            must_list = copy.wants_list();
            if (!any_events) {
                // A copy that is behind the watched revision may answer at once.
                if (now - asked < min_watch_wait) {
                    co_await wait_random(min_retry_pause, max_retry_pause);
                }
                continue;
            }
            if (changes.any()) publish(kind, std::move(changes), change_source::store);
            co_await wait_random(event_batch_pause, event_batch_pause);
        }
    }
}

// Uses what has been read of a list while the kind is not known as a whole.
void store_mirror::use_part(const std::string& kind, const platform::object_page& part, time_ms& next_use) {
    auto& copy = kinds_.at(kind).copy;
    const auto now = monotonic_now();
    if (copy.known() || part.entries.empty() || now < next_use) return;
    next_use = now + part_interval;
    log(log_level::info, "store_list_part_used", {{"kind", kind}, {"objects", part.entries.size()}});
    auto changes = copy.apply_list(part);
    if (changes.any()) publish(kind, std::move(changes), change_source::store);
}

void store_mirror::publish(const std::string& kind, object_changes changes, change_source source) {
    on_change_({kind, std::move(changes.changed), std::move(changes.removed), std::move(changes.unusable),
                lapsed_return_by(monotonic_now()), source});
}

// Counts and logs the objects of one answer that were not kept, in one line.
void store_mirror::note_left_out(const std::string& kind, const platform::left_out_objects& left_out) {
    if (left_out.count() == 0) return;
    left_out_.add(left_out);
    log(log_level::warn, "objects_left_out",
        {{"kind", kind},
         {"unusable", left_out.unusable},
         {"beyond_memory", left_out.beyond_memory},
         {"example", left_out.example},
         {"reason", left_out.reason}});
}

void store_mirror::on_success(time_ms now) {
    if (store_lost_) {
        log(log_level::info, "store_regained", {{"after_ms", (now - store_lost_since_).count}});
        if (now - last_success_ >= min_lapsing_outage) recovered_at_ = now;
        store_lost_ = false;
    }
    last_success_ = now;
}

void store_mirror::on_failure(time_ms now, const std::string& kind, const std::string& reason) {
    if (store_lost_) return;
    store_lost_ = true;
    store_lost_since_ = now;
    log(log_level::warn, "store_lost", {{"kind", kind}, {"reason", reason}});
}

std::optional<time_ms> store_mirror::lapsed_return_by(time_ms now) const {
    const auto end = recovered_at_ + reregistration_time;
    return now < end ? std::optional(end) : std::nullopt;
}

const object_copy::object_map& store_mirror::objects(const std::string& kind) const {
    return kinds_.at(kind).copy.objects();
}

bool store_mirror::partly_known(const std::string& kind) const {
    return kinds_.at(kind).copy.partly_known();
}

std::map<std::string, std::uint64_t> store_mirror::change_revisions() const {
    std::map<std::string, std::uint64_t> revisions;
    for (const auto& [name, kind] : kinds_)
        revisions[name] = kind.copy.changed_revision();
    return revisions;
}

std::optional<std::uint64_t> store_mirror::complete_revision(const std::string& kind) const {
    const auto found = kinds_.find(kind);
    if (found == kinds_.end()) return std::nullopt;
    return found->second.copy.as_of();
}

bool store_mirror::is_reachable(time_ms now) const {
    return now - last_success_ < reachable_window;
}

std::string store_mirror::snapshot(const std::string& kind) const {
    return kinds_.at(kind).copy.snapshot();
}

std::size_t store_mirror::bytes() const {
    std::size_t sum = 0;
    for (const auto& [name, kind] : kinds_)
        sum += kind.copy.bytes();
    return sum;
}

bool store_mirror::apply_snapshot(const std::string& kind, platform::page_reader& reader) {
    const auto left_out = reader.left_out();
    auto changes = kinds_.at(kind).copy.apply_snapshot(reader);
    if (!changes.applied) return false;
    note_left_out(kind, left_out);
    publish(kind, std::move(changes), change_source::other_vm);
    return true;
}

} // namespace lacewing
