#pragma once

#include "coordination/usage_duty.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lacewing::tests {

/// @brief Plays the usage duty of a small fleet against a store and a platform, with disturbances drawn from
/// a seed. Nothing of it runs in real time.
class usage_duty_simulation {
public:
    struct outcome {
        /// Broken rules, in words.
        std::vector<std::string> broken;
        int windows_due = 0;
        int windows_on_time = 0;
        std::uint64_t store_calls = 0;
        /// Calls that the platform got, by their tokens.
        std::uint64_t highest_token = 0;
    };

    /// @param disturbances Number of disturbances; 0 for a calm run.
    usage_duty_simulation(std::uint64_t seed, int disturbances);
    outcome run();

private:
    struct vm_state {
        std::string name;
        std::string zone;
        std::string address;
        std::uint64_t incarnation = 0;
        std::int64_t steady_base = 0;
        std::int64_t clock_error = 0;
        std::int64_t frozen_until = 0;
        std::int64_t dead_until = 0;
        std::int64_t store_cut_until = 0;
        std::int64_t peer_cut_until = 0;
        std::int64_t platform_cut_until = 0;
        std::int64_t last_audible = 0;
        std::int64_t store_cut_since = -1;
        std::unique_ptr<usage_duty> duty;
    };
    struct event {
        std::int64_t at = 0;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator>(const event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct platform_call {
        std::int64_t at = 0;
        std::size_t vm = 0;
    };
    struct trouble {
        std::int64_t begin = 0;
        std::int64_t end = 0;
        /// The store or the platform is away for all.
        bool platform_side = false;
    };

    void at(std::int64_t time, std::function<void()> run);
    void for_process(std::size_t vm, std::uint64_t incarnation, std::int64_t time,
                     std::function<void(vm_state&)> run);
    void start(std::size_t index);
    void tick(std::size_t index, std::uint64_t incarnation);
    void deliver(std::size_t from, const usage_duty::outgoing& messages);
    void call_store(std::size_t index, const duty_lease::action& action);
    void answer_store_call(std::size_t index, std::uint64_t incarnation, const duty_lease::action& action,
                           bool answered);
    void leave_unanswered(std::size_t index, std::uint64_t incarnation);
    void call_platform(std::size_t index, const usage_duty::report& report);
    void accept(std::size_t index, const usage_duty::report& report);
    void stop(std::size_t index);
    void check_single_holder(std::size_t index);
    void serve_requests(std::size_t index);
    void disturb(int number);
    [[nodiscard]] usage_fleet view(std::size_t index) const;
    [[nodiscard]] time_ms steady(const vm_state& vm, std::int64_t time) const;
    [[nodiscard]] time_ms time_of_day(const vm_state& vm, std::int64_t time) const;
    [[nodiscard]] bool store_away(const vm_state& vm) const;
    std::int64_t draw(std::int64_t low, std::int64_t high);
    bool chance(double share);
    [[nodiscard]] std::size_t holder() const;
    void fail(const std::string& what);
    void check_end();

    std::mt19937_64 random_;
    int disturbances_;
    std::int64_t now_ = 0;
    std::uint64_t events_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> queue_;
    std::vector<vm_state> vms_;
    // Stored lease.
    std::optional<duty_record> stored_;
    std::uint64_t revision_ = 0;
    std::int64_t store_down_until_ = 0;
    std::int64_t store_loses_until_ = 0;
    std::int64_t platform_down_until_ = 0;
    std::int64_t platform_loses_until_ = 0;
    std::int64_t platform_refuses_until_ = 0;
    std::int64_t network_loses_until_ = 0;
    std::map<std::int64_t, usage_counts> accepted_;
    std::map<std::int64_t, std::int64_t> accepted_at_;
    std::map<std::int64_t, usage_counts> truth_;
    std::map<std::uint64_t, std::size_t> token_owner_;
    std::vector<platform_call> calls_;
    // When each holder could last act, in order.
    std::vector<platform_call> tenures_;
    std::vector<trouble> troubles_;
    // Windows in which a process ended or was cut off with its counts.
    std::set<std::int64_t> inexact_;
    outcome outcome_;
};

} // namespace lacewing::tests
