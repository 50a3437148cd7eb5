#pragma once

#include "coordination/endpoint_registry.h"
#include "coordination/endpoint_selector.h"
#include "coordination/vm_report.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lacewing::testing {

/// VMs and endpoints of one service in three regions, without network. The VMs of a region report to each
/// other every 100 ms, those of other regions every 300 ms. An answer takes 250 ms if its object is warm at
/// the endpoint and 840 ms otherwise.
struct endpoint_fleet {
    static constexpr std::size_t regions = 3;
    static constexpr std::size_t slots = 3;
    static constexpr time_ms cross_region_delay{110};
    static constexpr time_ms warm_time{250};
    static constexpr time_ms cold_time{840};

    struct layout {
        std::array<std::size_t, regions> endpoints{};
        std::size_t vms_per_region = 2;
        /// Limit of region_shift_limiter.
        double max_shift = 1;
        std::uint64_t seed = 1;
        /// All VMs of a region make the same random choices.
        bool common_choices = false;
    };
    struct job {
        time_ms asked{0};
        time_ms started{0};
        time_ms arrives{0};
        time_ms finish{0};
        std::size_t vm = 0;
        /// Process of the VM that sent the request.
        std::uint64_t incarnation = 0;
        bool warm = false;
        std::uint32_t object = 0;
        std::shared_ptr<endpoint_state> endpoint;
    };
    struct server {
        std::vector<job> running;
        std::deque<job> waiting;
        recent_objects warm;
        std::size_t region = 0;
        bool lost = false;
        /// Limit that the endpoint names in its answers.
        std::optional<double> limit;
        /// Requests that have been sent to the endpoint.
        std::vector<time_ms> sent;
        /// Number of the process, and of its registration.
        std::int64_t started = 1;
        std::uint64_t revision = 1;
        /// Its answers say that it leaves.
        bool leaving = false;
        /// Until this time it refuses requests and asks for a pause up to then.
        time_ms pause_end{0};
    };
    struct vm {
        vm(std::size_t home, const std::unordered_map<std::string, std::string>& zones, double max_shift,
           std::uint64_t process, std::uint64_t seed)
            : region(home), registry(zones),
              selector(registry, "z" + std::to_string(home), "r" + std::to_string(home), seed, max_shift),
              incarnation(process) {}
        std::size_t region;
        endpoint_registry registry;
        endpoint_selector selector;
        std::uint64_t incarnation;
        /// The process does not run: it gets no callers, sends no reports and reads none.
        bool paused = false;
        /// No reports reach the VM or leave it.
        bool cut_off = false;
    };
    /// What an answer has told a VM of an endpoint.
    enum class word : std::uint8_t { leaving, pause };

    explicit endpoint_fleet(const layout& sizes)
        : random(sizes.seed), max_shift(sizes.max_shift), common_choices(sizes.common_choices) {
        for (std::size_t region = 0; region < regions; ++region)
            zones["z" + std::to_string(region)] = "r" + std::to_string(region);
        route.name = {"r"};
        route.goal = time_ms{600};
        route.affinity = true;
        route.parts = {{"s", 1}};
        for (std::size_t i = 0; i < sizes.vms_per_region * regions; ++i)
            add_vm(i % regions);
        for (std::size_t region = 0; region < regions; ++region) {
            for (std::size_t i = 0; i < sizes.endpoints.at(region); ++i)
                add_server(region);
        }
    }

    void add_vm(std::size_t region) {
        vms.push_back(start_process(region));
        for (auto& item : vms)
            item->selector.fleet = vms.size();
    }

    /// Ends the process of a VM and starts another, which knows only the registrations.
    void restart_vm(std::size_t index) { vms[index] = start_process(vms[index]->region); }

    std::unique_ptr<vm> start_process(std::size_t region) {
        ++processes;
        auto made = std::make_unique<vm>(region, zones, max_shift, processes,
                                         common_choices ? region + 1 : processes);
        for (std::size_t e = 0; e < servers.size(); ++e)
            register_server(*made, e);
        made->selector.fleet = vms.size();
        return made;
    }

    void add_server(std::size_t region) {
        servers.emplace_back();
        servers.back().region = region;
        for (auto& item : vms)
            register_server(*item, servers.size() - 1);
    }

    void register_server(vm& target, std::size_t e) const {
        endpoint_registration made;
        made.id = {std::to_string(e)};
        made.service = "s";
        made.address = "10.0.0.1:" + std::to_string(1000 + e);
        made.zone = {"z" + std::to_string(servers[e].region)};
        made.version = "v1";
        made.slots = slots;
        made.revision = servers[e].revision;
        made.started_unix_ms = servers[e].started;
        target.registry.put(now, made);
    }

    /// Ends the process of an endpoint, and its requests, and starts another under the same id and address.
    void restart_server(std::size_t e) {
        auto& ended = servers[e];
        for (const auto& done : ended.running)
            fail(done);
        for (const auto& done : ended.waiting)
            fail(done);
        const auto started = ended.started + 1;
        const auto revision = ended.revision + 1;
        const auto region = ended.region;
        ended = server();
        ended.started = started;
        ended.revision = revision;
        ended.region = region;
        for (std::size_t vm = 0; vm < vms.size(); ++vm) {
            if (vm == lagging) {
                late_registrations.emplace(now + registration_lag, std::pair(vm, e));
            } else {
                register_server(*vms[vm], e);
            }
        }
    }

    void register_late() {
        while (!late_registrations.empty() && late_registrations.begin()->first <= now) {
            const auto [vm, e] = late_registrations.begin()->second;
            late_registrations.erase(late_registrations.begin());
            register_server(*vms[vm], e);
        }
    }

    void fail(const job& done) {
        auto& sender = *vms[done.vm];
        if (sender.incarnation != done.incarnation) return;
        sender.selector.on_end(now, *done.endpoint, request_for(done.object), done.started, done.warm,
                               attempt_end::unreachable, nullptr);
    }

    void run(time_ms span, double per_s_and_region) {
        const auto end = now + span;
        for (; now < end; now += time_ms{1}) {
            register_late();
            for (std::size_t region = 0; region < regions; ++region) {
                if (std::bernoulli_distribution(per_s_and_region / 1000)(random)) arrive(region);
            }
            for (auto& item : servers)
                advance(item);
            if (now.count % 100 == 0) report();
            deliver_late();
        }
    }

    endpoint_request request_for(std::uint32_t object) const {
        endpoint_request made;
        made.route = &route;
        made.service = "s";
        made.object = object;
        made.left = time_ms{4000};
        return made;
    }

    void arrive(std::size_t region) {
        std::size_t index = 0;
        do {
            index = std::uniform_int_distribution<std::size_t>(0, vms.size() - 1)(random);
        } while (vms[index]->region != region || vms[index]->paused);
        auto& sender = *vms[index];
        const auto object =
            static_cast<std::uint32_t>(1000 * region + std::uniform_int_distribution<int>(1, 120)(random));
        const auto request = request_for(object);
        ++asked;
        const auto choice = sender.selector.choose(now, request, nullptr);
        if (choice.limited_regions > 0) ++limited;
        if (choice.endpoint == nullptr) return;
        const auto e = std::stoul(choice.endpoint->registration.id.value);
        sender.selector.on_send(now, *choice.endpoint, request, nullptr);
        const auto delay = servers[e].region == region ? time_ms{1} : cross_region_delay;
        if (servers[e].lost) {
            sender.selector.on_end(now, *choice.endpoint, request, now, false, attempt_end::unreachable,
                                   nullptr);
            return;
        }
        if (on_sent) on_sent(region, servers[e].region);
        if (on_request) on_request(index, e);
        servers[e].sent.push_back(now);
        servers[e].waiting.push_back(
            {now, now, now + delay, {}, index, sender.incarnation, choice.warm, object, choice.endpoint});
    }

    void advance(server& current) {
        for (auto at = current.running.begin(); at != current.running.end();) {
            if (at->finish > now) {
                ++at;
                continue;
            }
            auto& sender = *vms[at->vm];
            if (sender.incarnation == at->incarnation) answer(sender, current, *at);
            at = current.running.erase(at);
        }
        while (current.running.size() < slots && !current.waiting.empty() &&
               current.waiting.front().arrives <= now) {
            auto next = current.waiting.front();
            current.waiting.pop_front();
            if (now < current.pause_end) {
                refuse(current, next);
                continue;
            }
            next.finish = now + (current.warm.has(next.object) ? warm_time : cold_time);
            current.warm.add(next.object);
            current.running.push_back(next);
        }
    }

    void refuse(const server& from, const job& refused) {
        auto& sender = *vms[refused.vm];
        if (sender.incarnation != refused.incarnation) return;
        refused.endpoint->notice.on_pause(now, from.pause_end - now);
        sender.selector.on_end(now, *refused.endpoint, request_for(refused.object), refused.started,
                               refused.warm, attempt_end::not_run, nullptr);
        if (on_word) on_word(refused.vm, static_cast<std::size_t>(&from - servers.data()), word::pause);
    }

    void answer(vm& sender, const server& from, const job& done) {
        auto& endpoint = *done.endpoint;
        if (from.leaving) {
            endpoint.notice.on_leaving(now);
            if (on_word) on_word(done.vm, static_cast<std::size_t>(&from - servers.data()), word::leaving);
        }
        sender.registry.on_limit(now, endpoint, from.limit);
        sender.selector.on_end(now, endpoint, request_for(done.object), done.started, done.warm,
                               attempt_end::answered, nullptr);
        if (now - done.asked <= route.goal) ++in_goal;
        ++answered;
    }

    void report() {
        for (std::size_t from = 0; from < vms.size(); ++from) {
            if (vms[from]->paused || vms[from]->cut_off) continue;
            const auto near_report = make_report(from, report_audience::same_region);
            std::optional<vm_report> far_report;
            if (now.count % 300 == 0) far_report = make_report(from, report_audience::other_regions);
            for (std::size_t to = 0; to < vms.size(); ++to) {
                const bool same_region = vms[to]->region == vms[from]->region;
                if (to == from || vms[to]->paused || vms[to]->cut_off) continue;
                if (!same_region && !far_report) continue;
                if (report_loss > 0 && std::bernoulli_distribution(report_loss)(random)) continue;
                const auto& message = same_region ? near_report : *far_report;
                if (report_delay > time_ms{0}) {
                    late_reports.emplace(now + report_delay, late_report{to, same_region, message});
                } else {
                    deliver(*vms[to], message, same_region);
                }
            }
        }
    }

    void deliver_late() {
        while (!late_reports.empty() && late_reports.begin()->first <= now) {
            const auto& due = late_reports.begin()->second;
            deliver(*vms[due.to], due.message, due.same_region);
            late_reports.erase(late_reports.begin());
        }
    }

    [[nodiscard]] vm_report make_report(std::size_t from, report_audience audience) {
        vm_report made;
        made.vm = {"vm-" + std::to_string(from)};
        made.incarnation = incarnation_id{vms[from]->incarnation};
        made.made_at = now;
        vms[from]->registry.fill(now, made, audience,
                                 now.count % (audience == report_audience::same_region ? 1000 : 900) == 0);
        vms[from]->registry.clear_unreported(audience);
        if (audience == report_audience::same_region) vms[from]->selector.shift_limiter().fill(made);
        return made;
    }

    void deliver(vm& to, const vm_report& message, bool same_region) const {
        to.registry.on_report(now, message.vm.value, message);
        if (same_region) to.selector.shift_limiter().on_report(now, message);
    }

    time_ms now{0};
    std::mt19937_64 random;
    double max_shift;
    bool common_choices;
    /// VM that learns late of endpoints that have started again.
    std::optional<std::size_t> lagging;
    static constexpr time_ms registration_lag{1'500};
    std::multimap<time_ms, std::pair<std::size_t, std::size_t>> late_registrations;
    /// Share of the reports that are lost.
    double report_loss = 0;
    /// Time between the sending of a report and its reading.
    time_ms report_delay{0};
    struct late_report {
        std::size_t to = 0;
        bool same_region = false;
        vm_report message;
    };
    std::multimap<time_ms, late_report> late_reports;
    host_route route;
    std::unordered_map<std::string, std::string> zones;
    std::uint64_t processes = 0;
    std::vector<std::unique_ptr<vm>> vms;
    std::vector<server> servers;
    /// Called for each request with the region of its VM and that of its endpoint.
    std::function<void(std::size_t from, std::size_t to)> on_sent;
    /// Called for each request with the numbers of its VM and its endpoint.
    std::function<void(std::size_t vm, std::size_t server)> on_request;
    /// Called when an answer has told a VM that its endpoint leaves or wants a pause.
    std::function<void(std::size_t vm, std::size_t server, word said)> on_word;
    std::size_t asked = 0;
    std::size_t answered = 0;
    std::size_t in_goal = 0;
    /// Requests for which a region was left out.
    std::size_t limited = 0;
};

} // namespace lacewing::testing
