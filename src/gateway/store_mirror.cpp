#include "gateway/store_mirror.h"

#include "state/error_kind.h"
#include "transport/log.h"
#include "transport/monotonic_clock.h"

#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>

namespace lacewing {

namespace asio = boost::asio;

namespace {

constexpr time_ms list_timeout{1500};
// The store ends a watch without events after watch_wait, which shows that the connection works; a dead
// connection is detected after watch_wait + watch_grace. Together they must leave time for a second attempt
// before a leaving endpoint must get no more requests (INV-9).
constexpr time_ms watch_wait{2500};
constexpr time_ms watch_grace{800};
// Pause after a failed call: calls to a store that does not answer are billed too.
constexpr time_ms min_retry_pause{200};
constexpr time_ms max_retry_pause{500};
// Endpoint events come in bursts; this pause after a page of events lets the next watch return several at
// once.
constexpr time_ms event_batch_pause{200};
// The store counts as reachable for this long after an answer: one watch with its grace, and some margin.
constexpr time_ms reachable_window{4000};
// No registration lapses in a shorter outage.
constexpr time_ms min_lapsing_outage{1500};
// Objects that are removed this soon after an outage may have lapsed because of it.
constexpr time_ms lapse_window{2500};

std::uint64_t revision_of(const Json::Value& object) {
    return object["metadata"]["revision"].asUInt64();
}

std::string name_of(const Json::Value& object) {
    const auto& name = object["metadata"]["name"];
    return name.isString() ? name.asString() : "";
}

} // namespace

store_mirror::store_mirror(asio::io_context& context, platform::object_store& store,
                           std::vector<std::string> kinds, std::uint64_t seed, listener on_change)
    : context_(context), store_(store), random_(seed), on_change_(std::move(on_change)) {
    for (auto& kind : kinds)
        kinds_[std::move(kind)];
}

void store_mirror::start() {
    for (const auto& [kind, state] : kinds_)
        asio::co_spawn(context_, list_and_watch(kind), asio::detached);
}

asio::awaitable<void> store_mirror::wait_random(time_ms min_wait, time_ms max_wait) {
    std::uniform_int_distribution<std::int64_t> span(min_wait.count, max_wait.count);
    asio::steady_timer timer(context_, std::chrono::milliseconds(span(random_)));
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

// Lists a kind, then watches it; lists it again when the store no longer has the events after the known
// revision.
asio::awaitable<void> store_mirror::list_and_watch(std::string kind) {
    auto& state = kinds_[kind];
    bool must_list = true;
    for (;;) {
        platform::page_result result;
        if (must_list) {
            result = co_await store_.list(kind, list_timeout);
        } else {
            result = co_await store_.watch(kind, state.as_of, watch_wait, watch_grace);
        }
        const auto now = monotonic_now();
        if (const auto* problem = std::get_if<platform::call_failed>(&result)) {
            on_failure(now, kind, problem->reason);
            co_await wait_random(min_retry_pause, max_retry_pause);
            continue;
        }
        on_success(now);
        if (std::holds_alternative<platform::history_lost>(result)) {
            log(log_level::info, "store_history_lost", {{"kind", kind}, {"revision", state.as_of}});
            must_list = true;
            continue;
        }
        auto& page = std::get<platform::object_page>(result);
        if (must_list) {
            std::vector<Json::Value> items;
            for (auto& entry : page.entries)
                items.push_back(std::move(entry.object));
            apply_list(kind, std::move(items), page.as_of);
            must_list = false;
        } else if (!page.entries.empty()) {
            apply_events(kind, page);
            co_await wait_random(event_batch_pause, event_batch_pause);
        } else {
            state.as_of = std::max(state.as_of, page.as_of);
        }
    }
}

void store_mirror::apply_list(const std::string& kind, std::vector<Json::Value> items, std::uint64_t as_of) {
    auto& state = kinds_[kind];
    if (state.known && as_of < state.as_of) return;
    mirror_change change{kind, {}, {}, after_outage(monotonic_now())};
    std::map<std::string, Json::Value> listed;
    for (auto& item : items) {
        const auto name = name_of(item);
        if (name.empty()) continue;
        const auto known = state.objects.find(name);
        state.changed_revision = std::max(state.changed_revision, revision_of(item));
        if (known == state.objects.end() || revision_of(known->second) != revision_of(item)) {
            change.changed.push_back(name);
        }
        listed[name] = std::move(item);
    }
    for (const auto& [name, object] : state.objects) {
        if (!listed.contains(name)) change.removed.push_back(name);
    }
    if (!change.removed.empty()) state.changed_revision = std::max(state.changed_revision, as_of);
    state.objects = std::move(listed);
    state.as_of = as_of;
    state.known = true;
    on_change_(change);
}

void store_mirror::apply_events(const std::string& kind, const platform::object_page& page) {
    auto& state = kinds_[kind];
    mirror_change change{kind, {}, {}, after_outage(monotonic_now())};
    for (const auto& event : page.entries) {
        const auto name = name_of(event.object);
        if (name.empty()) continue;
        const auto known = state.objects.find(name);
        if (event.deleted) {
            // A deletion older than the known object is that of an earlier object with the same name.
            if (known == state.objects.end() || revision_of(event.object) < revision_of(known->second))
                continue;
            state.objects.erase(known);
            change.removed.push_back(name);
            std::erase(change.changed, name);
            continue;
        }
        if (known != state.objects.end() && revision_of(event.object) <= revision_of(known->second)) continue;
        state.objects[name] = event.object;
        std::erase(change.removed, name);
        change.changed.push_back(name);
    }
    state.as_of = std::max(state.as_of, page.as_of);
    state.changed_revision = std::max(state.changed_revision, page.as_of);
    on_change_(change);
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

bool store_mirror::after_outage(time_ms now) const {
    return now - recovered_at_ < lapse_window;
}

const std::map<std::string, Json::Value>& store_mirror::objects(const std::string& kind) const {
    return kinds_.at(kind).objects;
}

bool store_mirror::known(const std::string& kind) const {
    return kinds_.at(kind).known;
}

std::map<std::string, std::uint64_t> store_mirror::change_revisions() const {
    std::map<std::string, std::uint64_t> revisions;
    for (const auto& [kind, state] : kinds_)
        revisions[kind] = state.changed_revision;
    return revisions;
}

std::uint64_t store_mirror::complete_revision(const std::string& kind) const {
    return kinds_.at(kind).as_of;
}

bool store_mirror::is_reachable(time_ms now) const {
    return now - last_success_ < reachable_window;
}

std::string store_mirror::snapshot(const std::string& kind) const {
    const auto& state = kinds_.at(kind);
    Json::Value body;
    body["as_of"] = Json::UInt64(state.as_of);
    body["known"] = state.known;
    body["items"] = Json::arrayValue;
    for (const auto& [name, object] : state.objects)
        body["items"].append(object);
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, body);
}

bool store_mirror::apply_snapshot(const std::string& kind, std::string_view text) {
    static const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value body;
    if (!reader->parse(text.data(), text.data() + text.size(), &body, nullptr) || !body["items"].isArray()) {
        throw error(error_kind::bad_request, "the snapshot from another VM is malformed");
    }
    auto& state = kinds_.at(kind);
    const auto as_of = body["as_of"].asUInt64();
    if (!body["known"].asBool() || (state.known && as_of <= state.as_of)) return false;
    std::vector<Json::Value> items;
    for (const auto& item : body["items"])
        items.push_back(item);
    apply_list(kind, std::move(items), as_of);
    return true;
}

} // namespace lacewing
