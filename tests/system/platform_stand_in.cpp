#include "platform_stand_in.h"

#include "../store_target.h"
#include "platform/dialect.h"
#include "transport/monotonic_clock.h"

#include <fmt/format.h>
#include <json/reader.h>
#include <json/writer.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <future>

namespace lacewing::testing {

namespace asio = boost::asio;

namespace {

constexpr int first_port = 23000;
constexpr int ports_per_vm = 10;
constexpr int store_port = first_port - 1;
constexpr int store_server_port = first_port - 2;

Json::Value parse_json(const std::string& text) {
    Json::Value value;
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
        throw std::runtime_error("malformed JSON in a test: " + text);
    }
    return value;
}

std::string json_text(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

asio::awaitable<void> pause(const asio::any_io_executor& executor, int ms) {
    asio::steady_timer timer(executor, std::chrono::milliseconds(ms));
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

platform_stand_in::platform_stand_in(std::size_t vm_count, time_ms grace, vm_limits limits)
    : work_(asio::make_work_guard(context_)), vm_count_(vm_count), grace_(grace), limits_(limits) {
    // Each test process and instance uses a different loopback address, because the ports are fixed.
    static std::atomic<int> instances{0};
    host_ =
        fmt::format("127.{}.{}.{}", 100 + ++instances % 100, ::getpid() / 250 % 250, ::getpid() % 250 + 1);
    auto pattern = (std::filesystem::temp_directory_path() / "lacewing-platform-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary folder from " + pattern);
    folder_ = pattern;
    store_server_ = std::make_unique<http_server>(
        context_.get_executor(), fmt::format("{}:{}", host_, store_server_port), http_limits{},
        [this](http_request request) { return handle_store_request(std::move(request)); });
    store_proxy_ = std::make_unique<silencing_proxy>(context_, fmt::format("{}:{}", host_, store_port),
                                                     fmt::format("{}:{}", host_, store_server_port));
    thread_ = std::thread([this] { context_.run(); });
    vms_.resize(vm_count);
    for (std::size_t i = 0; i < vm_count; ++i)
        start_vm(i);
}

platform_stand_in::~platform_stand_in() {
    vms_.clear();
    context_.stop();
    thread_.join();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::string platform_stand_in::address(std::size_t vm, int port_offset) const {
    return fmt::format("{}:{}", host_, first_port + static_cast<int>(vm) * ports_per_vm + port_offset);
}

std::filesystem::path platform_stand_in::write_settings(std::size_t vm) const {
    auto file = folder_ / fmt::format("vm-{}.yaml", vm);
    std::ofstream out(file);
    out << fmt::format("vm: vm-{}\nzone: {}\nregion: east\n", vm, vm % 2 == 0 ? "north" : "south")
        << "zones:\n  - { zone: north, region: east }\n  - { zone: south, region: east }\n"
        << fmt::format(
               "caller_listen: \"{}\"\nready_listen: \"{}\"\nlookup_listen: \"{}\"\npeer_listen: \"{}\"\n",
               address(vm, caller_port_offset), address(vm, ready_port_offset),
               address(vm, lookup_port_offset), address(vm, peer_port_offset))
        << fmt::format("platform_store: \"{}:{}\"\ndescriptors: {}\n", host_, store_port, limits_.descriptors)
        << fmt::format("seeds: [\"{}\"]\nfleet_start: true\nbounds: [\"grace={}ms\", \"drain=2s\"]\n",
                       address(0, peer_port_offset), grace_.count);
    if (limits_.memory_mb != 0) out << fmt::format("memory_mb: {}\n", limits_.memory_mb);
    return file;
}

void platform_stand_in::change_grace(std::size_t index, time_ms grace) {
    grace_ = grace;
    write_settings(index);
}

void platform_stand_in::start_vm(std::size_t index) {
    const auto file = write_settings(index);
    vms_[index] = std::make_unique<child_process>(std::string(LACEWING_BINARY_DIR) + "/lacewingd",
                                                  std::vector<std::string>{"--settings", file.string()},
                                                  folder_ / fmt::format("vm-{}.log", index));
}

bool platform_stand_in::wait_all_ready() {
    return wait_until([this] {
        for (std::size_t i = 0; i < vm_count_; ++i) {
            try {
                if (send_request(ready_address(i), "GET", platform::dialect.ready_path).status != 200)
                    return false;
            } catch (const std::runtime_error&) {
                return false;
            }
        }
        return true;
    });
}

std::string platform_stand_in::configuration(int version, const std::string& key, double rate,
                                             time_ms timeout) {
    return fmt::format(
        R"({{"version":"r{0}","routes":[)"
        R"({{"name":"read","hostname":"lacewingplank","pathPrefix":"/read/","routeType":"idempotent","timeout":"{1}ms",)"
        R"("targetLatency":"400ms","priority":1,"service":"s","maxAttempts":2,"sessionAffinity":true}},)"
        R"({{"name":"pay","hostname":"lacewingplank","pathPrefix":"/pay/","routeType":"non_idempotent","timeout":"{1}ms",)"
        R"("targetLatency":"400ms","priority":1,"service":"s","maxAttempts":2}}],)"
        R"("services":[{{"name":"s","healthPath":"/health","maxConnections":300,"warmup":"1s","warmupPerS":50}}],)"
        R"("tenants":[{{"name":"ward","apiKeys":["{2}"],"ratePerS":{3},"burst":{3}}}]}})",
        version, timeout.count, key, rate);
}

void platform_stand_in::put_object(const std::string& kind, const std::string& name,
                                   const std::string& spec) {
    const std::lock_guard lock(mutex_);
    auto& object = objects_[kind][name];
    object["metadata"]["name"] = name;
    object["metadata"]["revision"] = Json::UInt64(++revision_);
    if (!object["metadata"].isMember("createdRev"))
        object["metadata"]["createdRev"] = Json::UInt64(revision_);
    object["spec"] = parse_json(spec);
    history_[kind].push_back({revision_, object, false});
}

void platform_stand_in::put_raw_object(const std::string& kind, const std::string& name,
                                       const std::string& raw_spec) {
    {
        const std::lock_guard lock(mutex_);
        raw_specs_[fmt::format("\"raw {} {}\"", kind, name)] = raw_spec;
    }
    put_object(kind, name, fmt::format("{{\"raw\":\"raw {} {}\"}}", kind, name));
}

std::string platform_stand_in::with_raw_specs(std::string text) const {
    if (text.find("{\"raw\":\"raw ") == std::string::npos) return text;
    for (const auto& [placeholder, spec] : raw_specs_) {
        const auto member = "{\"raw\":" + placeholder + "}";
        for (auto at = text.find(member); at != std::string::npos; at = text.find(member, at + spec.size()))
            text.replace(at, member.size(), spec);
    }
    return text;
}

void platform_stand_in::delete_object(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    auto object = objects_[kind][name];
    objects_[kind].erase(name);
    object["metadata"]["revision"] = Json::UInt64(++revision_);
    history_[kind].push_back({revision_, object, true});
}

void platform_stand_in::keep_store_copy() {
    const std::lock_guard lock(mutex_);
    copy_ = {revision_, objects_, history_};
}

void platform_stand_in::restore_store_copy() {
    const std::lock_guard lock(mutex_);
    revision_ = copy_.revision;
    objects_ = copy_.objects;
    history_ = copy_.history;
    ++era_;
}

std::string platform_stand_in::version_move_state(const std::string& service) {
    const std::lock_guard lock(mutex_);
    const auto& status = objects_["rollouts"][service]["status"];
    return status.isObject() ? status["state"].asString() : "";
}

http_response platform_stand_in::list_objects(const std::string& kind, const std::string& after) {
    const std::lock_guard lock(mutex_);
    ++listed_pages;
    const auto& objects = objects_[kind];
    auto object = objects.upper_bound(after);
    std::string items;
    for (std::size_t count = 0; object != objects.end() && count < page_objects; ++object, ++count) {
        const auto text = with_raw_specs(json_text(object->second));
        if (count > 0 && items.size() + text.size() > page_bytes) break;
        if (count > 0) items += ',';
        items += text;
    }
    return make_response(200, fmt::format(R"({{"items":[{}],"hasMore":{},"asOf":{}}})", items,
                                          object != objects.end(), revision_));
}

http_response platform_stand_in::read_object(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto& objects = objects_[kind];
    const auto found = objects.find(name);
    if (found == objects.end()) return make_response(404, "{}");
    return make_response(200, with_raw_specs(json_text(found->second)));
}

http_response platform_stand_in::list_events(const std::string& kind, std::uint64_t after_revision) {
    const std::lock_guard lock(mutex_);
    if (after_revision > revision_) return make_response(410, "{}");
    Json::Value body;
    body["events"] = Json::arrayValue;
    for (const auto& entry : history_[kind]) {
        if (entry.revision <= after_revision) continue;
        Json::Value event;
        event["object"] = entry.object;
        event["deleted"] = entry.deleted;
        body["events"].append(event);
    }
    body["asOf"] = Json::UInt64(revision_);
    return make_response(200, with_raw_specs(json_text(body)));
}

asio::awaitable<http_response> platform_stand_in::handle_store_request(http_request request) {
    auto response = co_await answer_store_request(std::move(request));
    const std::lock_guard lock(mutex_);
    response.set("Store-Era", std::to_string(era_));
    co_return response;
}

asio::awaitable<http_response> platform_stand_in::answer_store_request(http_request request) {
    if (store_down) throw close_without_response();
    const auto target = parse_store_target(std::string(request.target()));
    if (!target || target->segments.size() > 3) co_return make_response(400, "{}");
    const auto& kind = target->segments.front();
    const auto name = target->segments.size() > 1 ? target->segments[1] : std::string();
    const auto parameter = [&](std::string_view key) {
        const auto found = target->query.find(key);
        return found == target->query.end() ? std::string() : found->second;
    };
    if (request.method() == boost::beast::http::verb::get) {
        if (!name.empty()) co_return read_object(kind, name);
        if (parameter("watch").empty()) {
            if (kind == "servers" && page_ms > 0) {
                co_await pause(context_.get_executor(), page_ms);
            }
            co_return list_objects(kind, parameter("after"));
        }
        const auto after_revision = std::stoull(parameter("watch"));
        const auto wait_ms = std::stoi(parameter("waitMs"));
        for (int waited_ms = 0; waited_ms < wait_ms && !store_down; waited_ms += 10) {
            auto answer = list_events(kind, after_revision);
            if (answer.result_int() == 410 || answer.body().find("\"object\"") != std::string::npos)
                co_return answer;
            co_await pause(context_.get_executor(), 10);
        }
        if (store_down) throw close_without_response();
        co_return list_events(kind, after_revision);
    }
    const auto body = parse_json(request.body());
    if (request.method() == boost::beast::http::verb::post) {
        const auto new_name = body["metadata"]["name"].asString();
        {
            const std::lock_guard lock(mutex_);
            if (objects_[kind].contains(new_name)) co_return make_response(409, "{}");
        }
        put_object(kind, new_name, json_text(body["spec"]));
        co_return make_response(200, "{}");
    }
    if (target->segments.size() < 3) {
        put_object(kind, name, json_text(body["spec"]));
        co_return make_response(200, "{}");
    }
    const std::lock_guard lock(mutex_);
    auto& object = objects_[kind][name];
    if (object["metadata"]["revision"].asUInt64() != body["metadata"]["revision"].asUInt64()) {
        co_return make_response(409, json_text(object));
    }
    object["status"] = body["status"];
    object["metadata"]["revision"] = Json::UInt64(++revision_);
    history_[kind].push_back({revision_, object, false});
    co_return make_response(200, json_text(object));
}

void platform_stand_in::add_endpoint(const std::string& id, const std::string& service,
                                     const std::string& version) {
    std::promise<std::string> endpoint_address;
    asio::post(context_, [&] {
        endpoints_.push_back(std::make_unique<http_server>(
            context_.get_executor(), host_ + ":0", http_limits{}, [this, id, version](http_request request) {
                return handle_endpoint_request(id, version, std::move(request));
            }));
        endpoint_address.set_value(endpoints_.back()->address());
    });
    register_endpoint(id, service, endpoint_address.get_future().get(), version);
}

void platform_stand_in::register_endpoint(const std::string& id, const std::string& service,
                                          const std::string& address, const std::string& version) {
    put_object(
        "servers", id,
        fmt::format(
            R"({{"service":"{}","address":"{}","zone":"north","version":"{}","slots":8,"state":"ready",)"
            R"("warmupLeft":"0ms","sequence":1,"born":1}})",
            service, address, version));
}

std::string platform_stand_in::endpoint_address(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return objects_["servers"][id]["spec"]["address"].asString();
}

int platform_stand_in::execution_count(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return execution_counts_[id];
}

std::set<std::string> platform_stand_in::executed_ids(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return executed_ids_[id];
}

int platform_stand_in::arrival_count(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return arrival_counts_[id];
}

std::map<std::string, platform_stand_in::execution> platform_stand_in::executions() {
    const std::lock_guard lock(mutex_);
    return executions_;
}

void platform_stand_in::set_word(const std::string& id, const endpoint_word& word) {
    const std::lock_guard lock(mutex_);
    words_[id] = word;
}

asio::awaitable<http_response> platform_stand_in::handle_endpoint_request(std::string id, std::string version,
                                                                          http_request request) {
    const auto& names = platform::dialect;
    if (request[names.expected_endpoint] != id) {
        auto refusal = make_response(421, "{}");
        refusal.set(names.attempt_id, request[names.attempt_id]);
        co_return refusal;
    }
    endpoint_word word;
    bool slow = false;
    {
        const std::lock_guard lock(mutex_);
        word = words_[id];
        ++arrival_counts_[id];
        slow = version == slow_version && arrival_counts_[id] % 2 == 0;
        if (word.pause.empty()) {
            ++execution_counts_[id];
            executed_ids_[id].emplace(request[names.attempt_id]);
            executions_[std::string(request[names.attempt_id])] = {monotonic_now(), std::nullopt};
        }
    }
    if (!word.pause.empty()) {
        auto refusal = make_response(503, "{}");
        refusal.set(names.attempt_id, request[names.attempt_id]);
        refusal.set(names.not_run, "1");
        refusal.set(boost::beast::http::field::retry_after, word.pause);
        co_return refusal;
    }
    co_await pause(context_.get_executor(), service_ms * (slow ? slow_factor.load() : 1));
    {
        const std::lock_guard lock(mutex_);
        executions_[std::string(request[names.attempt_id])].ended = monotonic_now();
    }
    const bool fails =
        version == failing_version ||
        (!failing_target.empty() && request.target().find(failing_target) != std::string::npos);
    auto answer = make_response(fails ? failing_status.load() : 200, "");
    answer.body() = fmt::format(R"({{"endpoint":"{}","account":"{}","key":"{}","path":"{}","bytes":{}}})", id,
                                std::string(request[names.account]), std::string(request[names.key]),
                                std::string(request.target()), request.body().size());
    if (fails) answer.body() += std::string(failing_extra_bytes, ' ');
    answer.set(names.attempt_id, request[names.attempt_id]);
    answer.set(names.load, "1,0,8");
    if (!word.leaving.empty()) answer.set(names.leaving, word.leaving);
    if (named_limit > 0) answer.set(names.limit, fmt::format("{:.1f}", named_limit.load()));
    co_return answer;
}

} // namespace lacewing::testing
