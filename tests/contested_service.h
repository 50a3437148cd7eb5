#pragma once

#include "coordination/endpoint_registry.h"
#include "coordination/endpoint_selector.h"
#include "coordination/overload_control.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing::testing {

/// Callers of several accounts and routes that compete for the slots of one service, with and without
/// overload_control: 4 VMs that report to each other every 100 ms, 12 endpoints of 3 slots, 190 ms an answer,
/// which is 189 answers a second. A caller that is refused comes back once, when it was told; abusive callers
/// come back at once, up to five times.
struct contested_service {
    static constexpr std::size_t vm_count = 4;
    static constexpr std::size_t server_count = 12;
    static constexpr std::size_t slots = 3;
    static constexpr time_ms service_time{190};
    static constexpr double capacity_per_s = 1000.0 / 190 * server_count * slots;

    struct caller {
        std::size_t account = 0;
        std::size_t route = 0;
        time_ms first{0};
        int repeats = 0;
        bool abusive = false;
        bool leaves = false;
        std::uint32_t object = 0;
    };
    struct counts {
        double asked = 0;
        double served = 0;
        double in_goal = 0;
        [[nodiscard]] double served_share() const { return asked > 0 ? served / asked : 1; }
    };
    struct pending {
        caller from;
        overload_control::ticket ticket;
        time_ms polled{0};
    };
    struct job {
        caller from;
        std::size_t vm = 0;
        time_ms sent{0};
        time_ms finish{0};
    };
    struct server {
        std::vector<job> running;
        std::deque<job> waiting;
    };
    struct vm {
        vm(const std::unordered_map<std::string, std::string>& zones, std::uint64_t seed)
            : registry(zones), selector(registry, "a1", "a", seed), control(seed) {}
        endpoint_registry registry;
        endpoint_selector selector;
        overload_control control;
        std::map<std::uint64_t, pending> waiting;
        std::set<std::uint64_t> woken;
    };
    struct flow {
        std::size_t account = 0;
        std::size_t route = 0;
        double per_s = 0;
        bool abusive = false;
        bool leaves = false;
    };

    contested_service(bool is_controlled, std::size_t account_count, const std::vector<int>& priorities,
                      std::uint64_t seed)
        : controlled(is_controlled), random(seed), servers(server_count), by_account(account_count),
          by_route(priorities.size()) {
        for (std::size_t i = 0; i < account_count; ++i)
            accounts.push_back("account-" + std::to_string(i));
        for (std::size_t i = 0; i < priorities.size(); ++i) {
            host_route made;
            made.name = {"route-" + std::to_string(i)};
            made.goal = time_ms{400};
            made.priority = priorities[i];
            made.parts = {{"s", 1}};
            routes.push_back(made);
        }
        for (std::size_t i = 0; i < vm_count; ++i) {
            vms.push_back(std::make_unique<vm>(zones, seed * 100 + i));
            auto& made = *vms.back();
            made.selector.fleet = vm_count;
            made.control.on_wake = [&made](std::uint64_t id) { made.woken.insert(id); };
            for (std::size_t e = 0; e < server_count; ++e) {
                endpoint_registration entry;
                entry.id = {"e" + std::to_string(e)};
                entry.service = "s";
                entry.address = "10.0.0.1:" + std::to_string(1000 + e);
                entry.zone = {"a1"};
                entry.version = "v1";
                entry.slots = slots;
                entry.revision = e + 1;
                made.registry.put(now, entry);
            }
        }
    }

    void run(time_ms span, const std::vector<flow>& flows) {
        for (const auto end = now + span; now < end; now += time_ms{1}) {
            for (const auto& each : flows) {
                if (!std::bernoulli_distribution(each.per_s / 1000)(random)) continue;
                caller from{each.account, each.route, now, 0, each.abusive, each.leaves, 0};
                from.object = std::uniform_int_distribution<std::uint32_t>(1, 1'000'000)(random);
                by_account[from.account].asked += 1;
                by_route[from.route].asked += 1;
                if (each.abusive) abusive_counts.asked += 1;
                ask(from);
            }
            while (!returning.empty() && returning.begin()->first <= now) {
                const auto from = returning.begin()->second;
                returning.erase(returning.begin());
                ask(from);
            }
            for (std::size_t e = 0; e < servers.size(); ++e)
                advance(e);
            for (auto& each : vms)
                serve_waiting(*each);
            if (now.count % 100 == 0) report();
        }
    }

    /// Forgets what was counted so far.
    void clear() {
        by_account.assign(by_account.size(), {});
        by_route.assign(by_route.size(), {});
        abusive_counts = {};
        in_goal = late = refused = 0;
        return_times.clear();
        sent_after_leaving = 0;
    }

    [[nodiscard]] std::size_t waiting() const {
        std::size_t count = 0;
        for (const auto& each : vms)
            count += each->control.waiting();
        return count;
    }

    endpoint_request query_of(const caller& from) const {
        endpoint_request made;
        made.route = &routes[from.route];
        made.service = "s";
        made.object = 0;
        made.priority = made.route->priority;
        made.elapsed = now - from.first;
        made.left = time_ms{2000} - made.elapsed;
        return made;
    }

    void ask(const caller& from) {
        const auto index = std::uniform_int_distribution<std::size_t>(0, vms.size() - 1)(random);
        auto& asked_vm = *vms[index];
        const auto query = query_of(from);
        if (!controlled) {
            const auto choice = asked_vm.selector.choose(now, query, nullptr);
            choice.endpoint != nullptr ? send(index, from, choice) : refuse(from, choice.retry_after);
            return;
        }
        overload_request request;
        request.group = "s";
        request.account = accounts[from.account];
        request.route = routes[from.route].name.value;
        request.priority = query.priority;
        request.repeat_key = from.object;
        request.elapsed = query.elapsed;
        request.goal_left = query.route->goal - query.elapsed;
        request.left = query.left;
        pending made{from, asked_vm.control.arrive(now, request), now};
        const auto id = made.ticket.id;
        if (step(index, made)) return;
        asked_vm.waiting.emplace(id, made);
    }

    /// Decides on a request; false when it waits.
    bool step(std::size_t index, pending& asked) {
        auto& own = *vms[index];
        auto decision = own.control.before_choice(now, asked.ticket);
        endpoint_choice choice;
        if (decision.what == overload_control::ruling::choose) {
            choice = own.selector.choose(now, query_of(asked.from), nullptr);
            decision = own.control.on_outlook(now, asked.ticket,
                                              {choice.endpoint != nullptr, choice.scarce,
                                               !choice.no_usable_endpoint, choice.expected - choice.wait, choice.retry_after});
        }
        if (decision.what == overload_control::ruling::wait) return false;
        if (decision.what == overload_control::ruling::refuse) {
            refuse(asked.from, decision.retry_after);
            return true;
        }
        send(index, asked.from, choice);
        return true;
    }

    void serve_waiting(vm& own) {
        const auto index = static_cast<std::size_t>(
            std::find_if(vms.begin(), vms.end(), [&](const auto& each) { return each.get() == &own; }) -
            vms.begin());
        for (auto& [id, asked] : own.waiting) {
            if (now >= asked.ticket.latest_send || now - asked.polled >= time_ms{25}) own.woken.insert(id);
        }
        while (!own.woken.empty()) {
            const auto id = *own.woken.begin();
            own.woken.erase(own.woken.begin());
            const auto found = own.waiting.find(id);
            if (found == own.waiting.end()) continue;
            found->second.polled = now;
            if (found->second.from.leaves && now - found->second.ticket.arrived >= time_ms{20}) {
                own.control.leave(now, found->second.ticket);
                own.waiting.erase(found);
                continue;
            }
            if (step(index, found->second)) own.waiting.erase(found);
        }
    }

    void send(std::size_t index, const caller& from, const endpoint_choice& choice) {
        const auto& id = choice.endpoint->registration.id.value;
        vms[index]->selector.on_send(now, *choice.endpoint, query_of(from), nullptr);
        servers[std::stoul(id.substr(1))].waiting.push_back({from, index, now, {}});
    }

    void refuse(const caller& from, time_ms retry_after) {
        ++refused;
        auto again = from;
        ++again.repeats;
        return_times.push_back(now + retry_after);
        if (now - from.first > time_ms{1500}) return;
        if (from.abusive && again.repeats <= 5) returning.emplace(now + time_ms{5}, again);
        if (!from.abusive && again.repeats <= 1) {
            const time_ms followed = std::min(retry_after, (time_ms{2000} - (now - from.first)) / 3);
            returning.emplace(now + followed, again);
        }
    }

    void advance(std::size_t e) {
        auto& current = servers[e];
        for (auto at = current.running.begin(); at != current.running.end();) {
            if (at->finish > now) {
                ++at;
                continue;
            }
            auto& sender = *vms[at->vm];
            const auto query = query_of(at->from);
            sender.selector.on_end(now, *sender.registry.find("e" + std::to_string(e)), query, at->sent,
                                   false, attempt_end::answered, nullptr);
            if (controlled) sender.control.wake_next("s");
            const bool timely = now - at->from.first <= routes[at->from.route].goal;
            for (auto* counted : {&by_account[at->from.account], &by_route[at->from.route]}) {
                counted->served += 1;
                counted->in_goal += timely ? 1 : 0;
            }
            if (at->from.abusive) abusive_counts.served += 1;
            ++(timely ? in_goal : late);
            at = current.running.erase(at);
        }
        while (current.running.size() < slots && !current.waiting.empty()) {
            auto next = current.waiting.front();
            current.waiting.pop_front();
            next.finish = now + service_time;
            current.running.push_back(next);
        }
    }

    void report() {
        for (std::size_t from = 0; from < vms.size(); ++from) {
            vm_report message;
            vms[from]->registry.fill(now, message, report_audience::same_region, false);
            vms[from]->registry.clear_unreported(report_audience::same_region);
            for (std::size_t to = 0; to < vms.size(); ++to) {
                if (to != from && reports_arrive)
                    vms[to]->registry.on_report(now, "vm-" + std::to_string(from), message);
            }
        }
    }

    bool controlled;
    bool reports_arrive = true;
    time_ms now{1'000'000};
    std::mt19937_64 random;
    std::unordered_map<std::string, std::string> zones{{"a1", "a"}};
    std::vector<std::string> accounts;
    std::vector<host_route> routes;
    std::vector<std::unique_ptr<vm>> vms;
    std::vector<server> servers;
    std::multimap<time_ms, caller> returning;
    std::vector<counts> by_account;
    std::vector<counts> by_route;
    counts abusive_counts;
    std::vector<time_ms> return_times;
    std::size_t in_goal = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t sent_after_leaving = 0;
};

} // namespace lacewing::testing
