#include "platform.h"

#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace review {

namespace {

constexpr std::int64_t heartbeat_ms = 1500;
constexpr std::int64_t max_watch_ms = 30'000;

std::string query_value(const std::string& target, const std::string& name) {
    const auto query = target.find('?');
    const auto at = target.find(name + "=", query == std::string::npos ? target.size() : query);
    if (at == std::string::npos) return {};
    const auto begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

std::string unquoted(const std::string& text) {
    return text.size() < 2 ? std::string() : text.substr(1, text.size() - 2);
}

// Digest that a client recomputes from the answer that it got.
std::string seal(const std::string& attempt, const std::string& body) {
    return "seal-" + attempt + "-" + std::to_string(std::hash<std::string>{}(body));
}

} // namespace

void recorder::line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    out_ << now_ms() << " ms " << text << std::endl;
}

store::store(const std::string& ip) {
    listener_ = std::make_unique<listener>(ip + ":0", [this](connection& peer) { serve(peer); });
}

std::string store::text_of(const std::string& name, const object& item) {
    auto text = "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(item.revision) +
                ",\"createdRev\":" + std::to_string(item.created) +
                ",\"finalizers\":[],\"deleting\":false},\"spec\":" + item.spec;
    if (!item.status.empty()) text += ",\"status\":" + item.status;
    return text + "}";
}

void store::record_change(const std::string& kind, const std::string& name, bool deleted) {
    events_[kind].push_back({revision_, "{\"object\":" + text_of(name, objects_[kind][name]) +
                                            ",\"deleted\":" + (deleted ? "true" : "false") + "}"});
    changed_.notify_all();
}

void store::put(const std::string& kind, const std::string& name, const std::string& spec) {
    const std::lock_guard lock(mutex_);
    auto& item = objects_[kind][name];
    item.revision = ++revision_;
    if (item.created == 0) item.created = revision_;
    item.spec = spec;
    record_change(kind, name, false);
}

void store::remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    objects_[kind][name].revision = ++revision_;
    record_change(kind, name, true);
    objects_[kind].erase(name);
}

std::string store::status(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto found = objects_[kind].find(name);
    return found == objects_[kind].end() ? std::string() : found->second.status;
}

std::string store::list(const std::string& kind) {
    const std::lock_guard lock(mutex_);
    std::string items;
    for (const auto& [name, item] : objects_[kind])
        items += (items.empty() ? "" : ",") + text_of(name, item);
    return "{\"items\":[" + items + "],\"hasMore\":false,\"asOf\":" + std::to_string(revision_) + "}";
}

std::string store::watch(const std::string& kind, std::uint64_t after, std::int64_t wait_ms) {
    std::unique_lock lock(mutex_);
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
    const auto any_news = [&] {
        return down || (!events_[kind].empty() && events_[kind].back().revision > after);
    };
    changed_.wait_until(lock, until, any_news);
    std::string text;
    for (const auto& item : events_[kind]) {
        if (item.revision > after) text += (text.empty() ? "" : ",") + item.text;
    }
    return "{\"events\":[" + text + "],\"asOf\":" + std::to_string(revision_) + "}";
}

std::string store::write(const std::string& method, const std::string& path, const std::string& body) {
    const auto slash = path.find('/');
    const auto kind = path.substr(0, slash);
    const auto metadata = json_member(body, "metadata");
    auto name = method == "POST" ? unquoted(json_member(metadata, "name")) : path.substr(slash + 1);
    const bool of_status = name.ends_with("/status");
    if (of_status) name.erase(name.size() - 7);
    const auto condition = json_member(metadata, "revision");
    const std::lock_guard lock(mutex_);
    auto& items = objects_[kind];
    const auto found = items.find(name);
    if (method != "POST" && found == items.end()) return response_text(404, "", "{}");
    if (method == "POST" && found != items.end())
        return response_text(409, "Content-Type: application/json\r\n", text_of(name, found->second));
    if (!condition.empty() && method != "POST" && condition != std::to_string(found->second.revision))
        return response_text(409, "Content-Type: application/json\r\n", text_of(name, found->second));
    auto& item = items[name];
    auto& target = of_status ? item.status : item.spec;
    const auto value = json_member(body, of_status ? "status" : "spec");
    if (target != value || item.created == 0) {
        target = value;
        item.revision = ++revision_;
        if (item.created == 0) item.created = revision_;
        record_change(kind, name, false);
    }
    return response_text(200, "Content-Type: application/json\r\n", text_of(name, item));
}

std::string store::answer(const http_message& request) {
    const std::string prefix = "/-/objects/";
    const auto target = request.target();
    if (down) return response_text(503, "", "{}");
    if (!target.starts_with(prefix)) return response_text(404, "", "{}");
    const auto path = target.substr(prefix.size(), target.find('?') - prefix.size());
    if (request.method() != "GET") return write(request.method(), path, request.body);
    const auto after = query_value(target, "watch");
    const auto wait = query_value(target, "waitMs");
    const auto body = after.empty()
                          ? list(path)
                          : watch(path, std::stoull(after),
                                  wait.empty() ? 0 : std::min<std::int64_t>(max_watch_ms, std::stoll(wait)));
    if (down) return response_text(503, "", "{}");
    return response_text(200, "Content-Type: application/json\r\n", body);
}

void store::serve(connection& peer) {
    while (const auto request = peer.read_message(60'000)) {
        if (!peer.send(answer(*request))) return;
    }
}

upstream::upstream(store& registry, recorder& record, const std::string& ip, std::string id,
                   std::string service, std::string zone, behaviour decide, std::string version)
    : registry_(registry), record_(record), id_(std::move(id)), service_(std::move(service)),
      zone_(std::move(zone)), version_(std::move(version)),
      born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()),
      decide_(std::move(decide)) {
    listener_ = std::make_unique<listener>(ip + ":0", [this](connection& peer) { serve(peer); });
    register_state();
    std::thread([this] { send_heartbeats(); }).detach();
}

// Writes the entry of this upstream; an empty state means that it has left.
void upstream::register_state() {
    const std::lock_guard lock(mutex_);
    if (state_.empty()) return;
    std::ostringstream spec;
    spec << R"({"service":")" << service_ << R"(","address":")" << listener_->address() << R"(","zone":")"
         << zone_ << R"(","version":")" << version_ << R"(","slots":4,"state":")" << state_
         << R"(","warmupLeft":"0ms","born":)" << born_ << R"(,"sequence":)" << ++sequence_ << "}";
    registry_.put("servers", id_, spec.str());
}

void upstream::send_heartbeats() {
    for (;;) {
        sleep_ms(heartbeat_ms);
        register_state();
    }
}

void upstream::leave(std::int64_t serve_ms) {
    {
        const std::lock_guard lock(mutex_);
        state_ = "draining";
    }
    record_.line(id_ + " drains");
    register_state();
    std::thread([this, serve_ms] {
        sleep_ms(serve_ms);
        const std::lock_guard lock(mutex_);
        state_.clear();
        registry_.remove("servers", id_);
    }).detach();
}

std::vector<execution> upstream::executions() const {
    const std::lock_guard lock(mutex_);
    return executions_;
}

void upstream::serve(connection& peer) {
    while (const auto request = peer.read_message(10'000)) {
        const auto attempt = request->header("x-lacewingplank-attempt-id");
        const auto id_line = "X-Lacewingplank-Attempt-Id: " + attempt + "\r\n";
        const auto expected = request->header("x-lacewingplank-expect-instance");
        if (attempt.empty() || (!expected.empty() && expected != id_)) {
            peer.send(response_text(attempt.empty() ? 400 : 421, "X-Lacewingplank-Not-Executed: 1\r\n", ""));
            continue;
        }
        {
            const std::lock_guard lock(mutex_);
            executions_.push_back(
                {id_, attempt, request->method(), request->target(), request->body, now_ms()});
        }
        record_.line(id_ + " runs " + request->method() + " " + request->target() + " attempt " + attempt +
                     " body '" + request->body.substr(0, 60) + "'");
        const auto decision = decide_(*request);
        const auto until = now_ms() + decision.work_ms;
        while (now_ms() < until) {
            sleep_ms(std::min<std::int64_t>(10, until - now_ms()));
            if (!peer.peer_closed()) continue;
            record_.line(id_ + " drops attempt " + attempt + ": its channel has closed");
            return;
        }
        const auto body = "answer to " + request->method() + " " + request->target() + " of " + attempt;
        record_.line(id_ + " answers attempt " + attempt + " with " + std::to_string(decision.status));
        if (!peer.send(response_text(decision.status,
                                     id_line + "X-Lacewingplank-Response-Seal: " + seal(attempt, body) +
                                         "\r\n" + decision.headers,
                                     body)))
            return;
    }
}

machine::machine(const deployment& site, const std::string& store_address, const std::string& ip,
                 std::string name, std::string zone, const std::vector<std::string>& seeds,
                 std::string folder)
    : site_(site), store_address_(store_address), ip_(ip), name_(std::move(name)), zone_(std::move(zone)),
      seeds_(seeds), folder_(std::move(folder)) {
    for (int i = 0; i < 5; ++i)
        ports_.push_back(free_port(ip));
}

// Writes the settings as deploy/settings.yaml.tmpl renders them, and starts the command of the deploy file.
void machine::start(bool first_start) {
    const auto file = folder_ + "/" + name_ + ".yaml";
    std::string region;
    std::ostringstream zones;
    for (const auto& [zone, its_region] : site_.zone_regions) {
        if (zone == zone_) region = its_region;
        zones << "  - { zone: \"" << zone << "\", region: \"" << its_region << "\" }\n";
    }
    std::ofstream out(file);
    out << "vm: \"" << name_ << "\"\nzone: \"" << zone_ << "\"\nregion: \"" << region << "\"\nzones:\n"
        << zones.str() << "caller_listen: \"" << frontend() << "\"\nready_listen: \"" << readiness()
        << "\"\nlookup_listen: \"" << directory() << "\"\npeer_listen: \"" << control()
        << "\"\nmetrics_listen: \"" << ip_ << ":" << ports_[4] << "\"\nplatform_store: \"" << store_address_
        << "\"\nseeds: [";
    for (std::size_t i = 0; i < seeds_.size(); ++i)
        out << (i == 0 ? "" : ",") << "\"" << seeds_[i] << "\"";
    out << "]\nfleet_start: " << (first_start ? "true" : "false") << "\ndescriptors: 4100\nbounds:\n";
    for (const auto& bound : site_.bounds)
        out << "  - \"" << bound << "\"\n";
    out.close();
    const auto log = folder_ + "/" + name_ + ".log";
    const auto own_id = ::getpid();
    process_ = ::fork();
    if (process_ != 0) return;
    // The process ends with this program, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != own_id) ::_exit(127);
    const int out_file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out_file, STDOUT_FILENO);
    ::dup2(out_file, STDERR_FILENO);
    std::array<const char*, 4> arguments{"target/lacewingd", "--settings", file.c_str(), nullptr};
    ::execv(arguments[0], const_cast<char* const*>(arguments.data()));
    ::_exit(127);
}

void machine::signal(int number) const {
    if (process_ > 0) ::kill(process_, number);
}

bool machine::ended() {
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_) process_ = -1;
    return process_ < 0;
}

std::int64_t machine::memory_kb() const {
    std::ifstream status("/proc/" + std::to_string(process_) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:")) return std::stoll(line.substr(6));
    }
    return 0;
}

bool machine::ready() const {
    const auto peer = connection::open(readiness());
    peer->send("GET /-/ready HTTP/1.1\r\nHost: platform\r\n\r\n");
    const auto answer = peer->read_message(1000);
    return answer && answer->status() == 200;
}

bool wait_until(std::int64_t timeout_ms, const std::function<bool()>& condition) {
    const auto until = now_ms() + timeout_ms;
    while (now_ms() < until) {
        if (condition()) return true;
        sleep_ms(20);
    }
    return false;
}

std::string loopback_ip(int index) {
    const auto id = ::getpid();
    return "127." + std::to_string(20 + index) + "." + std::to_string(id / 250 % 250) + "." +
           std::to_string(id % 250 + 1);
}

std::string client_request(const std::string& method, const std::string& target, const std::string& host,
                           const std::string& attempt, std::int64_t deadline_ms, const std::string& key,
                           const std::string& body) {
    auto text =
        method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Lacewingplank-Attempt-Id: " + attempt +
        "\r\nX-Lacewingplank-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nX-Api-Key: " + key + "\r\n";
    if (method == "POST") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

} // namespace review
