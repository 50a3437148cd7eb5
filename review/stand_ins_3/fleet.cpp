#include "fleet.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in loopback_address(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void replace_all(std::string& text, const std::string& from, const std::string& to) {
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

} // namespace

vm_network::vm_network(std::vector<vm_site> vms)
    : vms_(std::move(vms)), ports_(vms_.size() * vms_.size()), cut_(vms_.size() * vms_.size()) {
    for (auto& port : ports_)
        port = free_port();
    for (std::size_t from = 0; from < vms_.size(); ++from) {
        for (std::size_t to = 0; to < vms_.size(); ++to)
            serve_pair(from, to);
    }
}

std::string vm_network::address_of(std::size_t vm, std::size_t seen_by) const {
    return loopback(vm == seen_by ? vms_[vm].peer_port : ports_[index(seen_by, vm)]);
}

std::string vm_network::as_seen_by(std::size_t viewer, std::string text) const {
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        const auto wanted = address_of(vm, viewer);
        replace_all(text, loopback(vms_[vm].peer_port), wanted);
        for (std::size_t other = 0; other < vms_.size(); ++other) {
            if (other != viewer) replace_all(text, loopback(ports_[index(other, vm)]), wanted);
        }
    }
    return text;
}

void vm_network::cut_regions(const std::string& one, const std::string& other, bool cut) {
    for (std::size_t a = 0; a < vms_.size(); ++a) {
        for (std::size_t b = 0; b < vms_.size(); ++b) {
            if (vms_[a].region != one || vms_[b].region != other) continue;
            cut_[index(a, b)] = cut;
            cut_[index(b, a)] = cut;
        }
    }
}

bool vm_network::is_cut(std::size_t one, std::size_t other) const {
    return cut_[index(one, other)];
}

// Copies bytes until the stream ends; while the pair is cut off, they wait.
void vm_network::pump(const tcp_socket& source, const tcp_socket& sink, std::size_t one,
                      std::size_t other) const {
    for (;;) {
        const auto bytes = source.read();
        while (is_cut(one, other))
            sleep_ms(20);
        if (bytes.empty() || !sink.write(bytes)) break;
    }
    shutdown(sink.descriptor(), SHUT_WR);
}

// Serves the address at which one VM reaches another: datagrams, and connections.
void vm_network::serve_pair(std::size_t from, std::size_t to) {
    const int port = ports_[index(from, to)];
    const int target_port = vms_[to].peer_port;
    const int datagrams = socket(AF_INET, SOCK_DGRAM, 0);
    const auto address = loopback_address(port);
    if (bind(datagrams, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        throw std::runtime_error("cannot bind " + loopback(port));
    std::thread([this, datagrams, from, to, target_port] {
        const auto target = loopback_address(target_port);
        std::string bytes(65'536, '\0');
        for (;;) {
            const auto count = recv(datagrams, bytes.data(), bytes.size(), 0);
            if (count <= 0 || is_cut(from, to)) continue;
            const auto text = as_seen_by(to, bytes.substr(0, static_cast<std::size_t>(count)));
            sendto(datagrams, text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&target),
                   sizeof target);
        }
    }).detach();
    serve_tcp(port, [this, from, to, target_port](const tcp_socket& client) {
        while (is_cut(from, to))
            sleep_ms(20);
        const auto server = tcp_socket::connect(target_port);
        if (!server.is_open()) return;
        std::thread back([&] { pump(server, client, from, to); });
        pump(client, server, from, to);
        back.join();
    });
}

vm_process::vm_process(const vm_site& site, const fleet_settings& settings,
                       const std::vector<std::string>& seeds, const std::string& program,
                       const std::string& folder)
    : site_(site), settings_(settings), seeds_(seeds), program_(program), folder_(folder) {}

vm_process::~vm_process() {
    kill();
}

// Writes what the platform makes of deploy/settings.yaml.tmpl.
void vm_process::write_settings(bool first_start) const {
    std::ofstream out(folder_ + "/" + site_.name + ".yaml");
    out << "vm: \"" << site_.name << "\"\nzone: \"" << site_.zone << "\"\nregion: \"" << site_.region
        << "\"\nzones:\n";
    for (const auto& [zone, region] : settings_.zone_regions)
        out << "  - { zone: \"" << zone << "\", region: \"" << region << "\" }\n";
    out << "caller_listen: \"" << loopback(site_.caller_port) << "\"\nready_listen: \""
        << loopback(site_.ready_port) << "\"\nlookup_listen: \"" << loopback(site_.lookup_port)
        << "\"\npeer_listen: \"" << loopback(site_.peer_port) << "\"\nmetrics_listen: \""
        << loopback(site_.metrics_port) << "\"\nplatform_store: \"" << loopback(site_.store_port)
        << "\"\nseeds: [";
    for (std::size_t i = 0; i < seeds_.size(); ++i)
        out << (i == 0 ? "" : ",") << '"' << seeds_[i] << '"';
    out << "]\nfleet_start: " << (first_start ? "true" : "false")
        << "\nprocessor_share: 0.2\nprocessor_cores: 1\nlink_mbps: 1000.0\ndescriptors: "
        << settings_.descriptors << "\nmemory_mb: " << settings_.memory_mb << "\nbounds:\n";
    for (const auto& bound : settings_.bounds)
        out << "  - \"" << bound << "\"\n";
    out << "duties:\n";
}

void vm_process::start(bool first_start) {
    write_settings(first_start);
    const auto settings = folder_ + "/" + site_.name + ".yaml";
    const auto log = folder_ + "/" + site_.name + ".log";
    process_ = fork();
    if (process_ != 0) return;
    // Ends with this process, whatever ends it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    for (int descriptor = 3; descriptor < 1024; ++descriptor)
        close(descriptor);
    execl(program_.c_str(), program_.c_str(), "--settings", settings.c_str(), static_cast<char*>(nullptr));
    _exit(127);
}

void vm_process::signal(int number) const {
    if (process_ > 0) ::kill(process_, number);
}

void vm_process::kill() {
    if (process_ <= 0) return;
    ::kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
    process_ = -1;
}

bool vm_process::has_ended() {
    if (process_ <= 0) return true;
    if (waitpid(process_, nullptr, WNOHANG) != process_) return false;
    process_ = -1;
    return true;
}

bool vm_process::is_ready() const {
    const auto answer = fetch(site_.ready_port, http_request("GET", "/-/ready", {{"Host", "vm"}}, {}), 500);
    return answer && answer->status == 200;
}

std::int64_t vm_process::memory_kb(bool peak) const {
    const std::string wanted = peak ? "VmHWM:" : "VmRSS:";
    std::ifstream in("/proc/" + std::to_string(process_) + "/status");
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(wanted)) return std::atoll(line.c_str() + wanted.size());
    }
    return 0;
}

std::string upstream_group::start(const std::string& id) {
    const int port = free_port();
    serve_http(port, [this, id](const http_message& request) { return answer(id, request); });
    return loopback(port);
}

std::string upstream_group::answer(const std::string& id, const http_message& request) {
    const auto attempt = request.field("x-lacewingplank-attempt-id");
    if (attempt.empty()) return http_answer(400, {{"X-Lacewingplank-Not-Executed", "1"}}, "{}");
    const auto expected = request.field("x-lacewingplank-expect-instance");
    if (!expected.empty() && expected != id)
        return http_answer(421, {{"X-Lacewingplank-Attempt-Id", attempt}}, "{}");
    {
        const std::lock_guard lock(mutex_);
        runs_.push_back({now_ms(), std::atoll(request.field("x-sent-ms").c_str()), id, attempt,
                         request.field("x-lacewingplank-tenant"), request.target, request.field("x-vm")});
    }
    upstream_reply reply;
    if (on_run) {
        reply = on_run(id, request);
    } else {
        sleep_ms(service_ms);
        reply.body = "{}";
    }
    auto fields = reply.fields;
    fields.emplace_back("X-Lacewingplank-Attempt-Id", attempt);
    fields.emplace_back("X-Lacewingplank-Response-Seal", id + "." + attempt);
    return http_answer(reply.status, fields, reply.body);
}

std::vector<upstream_run> upstream_group::runs() const {
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::string server_spec(const std::string& service, const std::string& address, const std::string& zone,
                        const std::string& version, int slots, const std::string& state, std::int64_t born) {
    Json::Value spec;
    spec["service"] = service;
    spec["address"] = address;
    spec["zone"] = zone;
    spec["version"] = version;
    spec["slots"] = slots;
    spec["state"] = state;
    spec["warmupLeft"] = "0ms";
    spec["sequence"] = 1;
    spec["born"] = Json::Int64(born);
    return to_text(spec);
}

busiest_span busiest(const std::vector<upstream_run>& runs, const std::string& account, std::int64_t span_ms,
                     std::int64_t from) {
    std::vector<const upstream_run*> counted;
    for (const auto& run : runs) {
        if (run.account == account && run.sent >= from) counted.push_back(&run);
    }
    std::sort(counted.begin(), counted.end(), [](const auto* a, const auto* b) { return a->sent < b->sent; });
    busiest_span best;
    for (std::size_t first = 0; first < counted.size(); ++first) {
        const auto begin = counted[first]->sent;
        std::size_t inside = 0;
        for (std::size_t i = first; i < counted.size() && counted[i]->sent < begin + span_ms; ++i)
            inside += counted[i]->at < begin + span_ms ? 1 : 0;
        if (inside > best.runs) best = {begin, inside};
    }
    return best;
}

} // namespace review
