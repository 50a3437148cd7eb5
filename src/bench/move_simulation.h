#pragma once

#include "coordination/move_driver.h"

#include <json/json.h>

#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace lacewing::bench {

/// @brief Errors and latency of a version at one time.
struct version_behaviour {
    double error_rate = 0.005;
    /// Multiple of the normal latency.
    double latency_factor = 1;
};

/// @brief Sinusoidal load between 0.5 and 1.5 times the mean.
/// @param period Time in which the phase grows by one radian.
/// @param phase Phase at time 0, in radians.
/// @return Load as a multiple of the mean.
inline double sinusoidal_load(time_ms now, time_ms period, double phase = 0) {
    return 1 + 0.5 * std::sin(phase + static_cast<double>(now.count) / static_cast<double>(period.count));
}

/// @brief Requests to a route over the whole fleet: the mean rate, and the load over time as a multiple of
/// it.
struct route_load {
    double mean_requests_per_s = 120;
    std::function<double(time_ms)> load = [](time_ms) { return 1.0; };
};

/// @brief Simulates a fleet of move drivers and their store in virtual time; one step is one second. Used by
/// the tests and the benchmark of version moves.
class move_simulation {
public:
    struct vm {
        explicit vm(const peer_id& self, const move_settings& settings) : id(self), driver(self, settings) {}
        peer_id id;
        move_driver driver;
        bool alive = true;
        /// Suspended: does not run, but the other VMs still count it as alive.
        bool paused = false;
        /// The evidence that it sends is lost.
        bool silent = false;
        /// Its serve thread has not loaded any snapshot yet, so samples carry no revision.
        bool serve_thread_behind = false;
        std::size_t delivered_events = 0;
        revision_id seen_revision;
        std::map<std::pair<std::string, std::string>, version_counts> outcomes;
        std::map<std::string, std::uint64_t> in_flight;
        /// Last observed share of traffic for the new version in parts per million, by move key.
        std::map<std::string, std::int64_t> shares;
    };
    struct route_state {
        std::string name;
        route_load load;
        std::string move;
        std::function<version_behaviour(const std::string&, time_ms, double)> behaviour;
        std::uint64_t requests = 0;
        std::uint64_t requests_to_new = 0;
        std::uint64_t requests_to_failing = 0;
        double due_requests = 0;
        std::size_t next_server = 0;
        /// Whether the new version misbehaves at this time.
        std::function<bool(time_ms, double)> failing = [](time_ms, double) { return false; };
    };

    move_simulation(std::uint64_t seed, std::size_t vms, const move_settings& settings) : random_(seed | 1U) {
        for (std::size_t i = 0; i < vms; ++i) {
            const auto name = "vm" + std::to_string(i);
            vms_.emplace_back(peer_id{{name}, {"z"}, name, {mix_bits(seed * 64 + i + 1)}}, settings);
        }
        config_.zones = {{{"z"}, {"r"}}};
    }

    std::deque<vm>& vms() { return vms_; }
    std::vector<route_state>& routes() { return routes_; }
    [[nodiscard]] time_ms now() const { return now_; }
    bool store_down = false;
    /// Number of coming writes that take effect but whose answer is lost.
    int lost_answers = 0;
    int attempted_writes = 0;
    /// Called after every write that takes effect.
    std::function<void(const std::string&, const Json::Value&)> on_write;

    route_state& add_route(const std::string& name, const std::string& move) {
        route item;
        item.name = {name};
        item.endpoints = {{{name + "-old"}, {"z"}, name + ":1", 4, 4, "v1"},
                          {{name + "-new"}, {"z"}, name + ":2", 4, 4, "v2"}};
        config_.routes.push_back(item);
        for (auto& vm : vms_)
            vm.driver.update(config_);
        routes_.push_back({name, {}, move, [](auto&&...) { return version_behaviour{}; }});
        return routes_.back();
    }

    void request_version(const std::string& route, int deadline_s) {
        auto value = request(deadline_s);
        value["route"] = route;
        value["from"] = "v1";
        value["to"] = "v2";
        for (const auto cap : {1, 5, 25, 50, 100})
            value["cap_percent"].append(cap);
        put("moves/" + route, {}, value);
    }

    void request_drain(const std::string& endpoint, int deadline_s) {
        auto value = request(deadline_s);
        value["target"]["kind"] = "endpoint";
        value["target"]["name"] = endpoint;
        put("drains/" + endpoint, {}, value);
    }

    /// @brief Conditional write by a client other than the VMs.
    /// @return False when the stored revision is not the expected one.
    bool put(const std::string& key, revision_id expected, const Json::Value& value) {
        if (object(key).revision != expected) return false;
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        commit_write(key, Json::writeString(writer, value), value);
        return true;
    }

    struct stored {
        revision_id revision;
        Json::Value value;
    };
    [[nodiscard]] const stored& object(const std::string& key) const {
        static const stored missing_object;
        const auto found = objects_.find(key);
        return found == objects_.end() ? missing_object : found->second;
    }
    [[nodiscard]] std::string state(const std::string& key) const {
        return object(key).value["state"].asString();
    }
    [[nodiscard]] std::size_t history_records(const std::string& key) const {
        std::size_t count = 0;
        for (const auto& [name, held] : objects_)
            count += name.starts_with("history/") && held.value["key"] == key ? 1 : 0;
        return count;
    }
    /// @brief VM that holds the lease of a move or drain, or null.
    vm* driver_of(const std::string& key) {
        for (auto& vm : vms_) {
            if (object(key).value["driver"]["incarnation"] == to_hex(vm.id.incarnation)) return &vm;
        }
        return nullptr;
    }

    void step() {
        now_ += time_ms{1000};
        std::vector<fleet_vm> fleet;
        for (const auto& vm : vms_) {
            if (vm.alive) fleet.push_back({vm.id, vm.seen_revision});
        }
        for (auto& vm : vms_) {
            if (is_running(vm)) deliver(vm);
            vm.driver.set_fleet(fleet);
        }
        for (auto& route : routes_)
            serve(route);
        for (auto& vm : vms_) {
            if (is_running(vm)) sample(vm);
        }
        for (auto& vm : vms_) {
            if (is_running(vm)) act(vm);
        }
    }

    /// @brief Runs one VM's driver, also outside step(): for example, of a VM that resumes with an outdated
    /// view.
    void act(vm& acting) {
        auto actions = acting.driver.tick(now_);
        for (const auto& send : actions.sends) {
            if (acting.silent) continue;
            for (auto& vm : vms_) {
                if (vm.id.incarnation == send.to.incarnation && is_running(vm))
                    vm.driver.receive(now_, acting.id, std::get<move_evidence>(send.payload));
            }
        }
        for (const auto& write : actions.writes)
            execute_write(acting, write);
    }

    /// @brief Steps until the condition holds or the time is over.
    /// @return Whether the condition holds.
    template <class Condition>
    bool run_until(Condition condition, int max_seconds) {
        for (int i = 0; i < max_seconds && !condition(); ++i)
            step();
        return condition();
    }

private:
    static std::uint64_t mix_bits(std::uint64_t x) {
        x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
        x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
        return x ^ (x >> 31U);
    }
    // Uniform in [0, 1). xorshift64* is fast; three numbers per request dominate the run time.
    double random_unit() {
        random_ ^= random_ >> 12U;
        random_ ^= random_ << 25U;
        random_ ^= random_ >> 27U;
        return static_cast<double>((random_ * 0x2545f4914f6cdd1dU) >> 11U) * 0x1p-53;
    }
    static bool is_running(const vm& machine) { return machine.alive && !machine.paused; }

    static Json::Value request(int deadline_s) {
        Json::Value value;
        value["state"] = "requested";
        value["requested_by"] = "test";
        value["requested_at"] = 1;
        value["deadline_s"] = deadline_s;
        value["evidence"] = Json::Value(Json::arrayValue);
        return value;
    }

    void commit_write(const std::string& key, const std::string& text, const Json::Value& value) {
        const revision_id revision{++revision_};
        objects_[key] = {revision, value};
        if (on_write) on_write(key, value);
        if (key.starts_with("history/")) return;
        log_.push_back({key, revision, std::make_shared<const std::string>(text)});
        log_shares_.push_back(value["share_ppm"].isInt64() ? value["share_ppm"].asInt64() : 0);
    }

    void execute_write(vm& writer, const conditional_write& write) {
        ++attempted_writes;
        if (store_down) {
            writer.driver.written(now_, write, write_outcome::unknown, {});
            return;
        }
        if (object(write.key).revision != write.expected) {
            writer.driver.written(now_, write, write_outcome::conflict, {});
            return;
        }
        Json::Value value;
        Json::CharReaderBuilder builder;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        reader->parse(write.value.data(), write.value.data() + write.value.size(), &value, nullptr);
        commit_write(write.key, write.value, value);
        if (!is_running(writer)) return;
        if (lost_answers > 0) {
            --lost_answers;
            writer.driver.written(now_, write, write_outcome::unknown, {});
            return;
        }
        writer.driver.written(now_, write, write_outcome::done, {revision_});
    }

    void deliver(vm& to) {
        for (; to.delivered_events < log_.size(); ++to.delivered_events) {
            const auto& event = log_[to.delivered_events];
            to.driver.observe(now_, event);
            to.shares[event.key] = log_shares_[to.delivered_events];
            to.seen_revision = event.revision;
        }
    }

    // Spreads one second of requests over the running VMs; each uses the share that it knows.
    void serve(route_state& route) {
        const auto load = route.load.load(now_);
        const auto old_now = route.behaviour("v1", now_, load);
        const auto new_now = route.behaviour("v2", now_, load);
        const bool failing = route.failing(now_, load);
        route.due_requests += route.load.mean_requests_per_s * load;
        struct server {
            double share = 0;
            version_counts* old_counts = nullptr;
            version_counts* new_counts = nullptr;
        };
        std::vector<server> serving;
        for (auto& vm : vms_) {
            if (!is_running(vm)) continue;
            auto share = vm.shares[route.move];
            for (const auto& stopped : vm.driver.stopped()) {
                if (stopped.route.value == route.name) share = 0;
            }
            serving.push_back({static_cast<double>(share) / 1e6, &vm.outcomes[{route.name, "v1"}],
                               &vm.outcomes[{route.name, "v2"}]});
        }
        while (route.due_requests >= 1 && !serving.empty()) {
            route.due_requests -= 1;
            const auto& server = serving[route.next_server++ % serving.size()];
            ++route.requests;
            const bool to_new_version = random_unit() < server.share;
            route.requests_to_new += to_new_version ? 1 : 0;
            route.requests_to_failing += to_new_version && failing ? 1 : 0;
            const auto& behaviour = to_new_version ? new_now : old_now;
            const bool failed = random_unit() < behaviour.error_rate;
            const auto latency = random_latency_ms() * behaviour.latency_factor * (0.5 + load / 2);
            add_outcome(to_new_version ? *server.new_counts : *server.old_counts, failed,
                        {static_cast<std::int64_t>(latency) + 1});
        }
    }

    // Exponentially distributed with a mean of 20 ms; from a table, because logarithms would dominate the run
    // time.
    double random_latency_ms() {
        static const auto table = [] {
            std::array<double, 4096> values{};
            for (std::size_t i = 0; i < values.size(); ++i)
                values.at(i) = -20 * std::log(1 - (static_cast<double>(i) + 0.5) / 4096);
            return values;
        }();
        return table[static_cast<std::size_t>(random_unit() * 4096)];
    }

    void sample(vm& sampled) {
        move_sample sample;
        sample.revision = sampled.serve_thread_behind ? revision_id{} : sampled.seen_revision;
        for (const auto& [name, counts] : sampled.outcomes)
            sample.versions.push_back({{name.first}, name.second, counts});
        for (const auto& [name, count] : sampled.in_flight)
            sample.drained.push_back({{name}, count});
        sampled.driver.sample(now_, sample);
    }

    std::uint64_t random_;
    configuration config_;
    std::deque<vm> vms_;
    std::vector<route_state> routes_;
    std::map<std::string, stored> objects_;
    std::vector<object_event> log_;
    std::vector<std::int64_t> log_shares_;
    std::uint64_t revision_ = 0;
    time_ms now_;
};

} // namespace lacewing::bench
