#pragma once

#include "coordination/budget_manager.h"
#include "state/admission_ledger.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace lacewing {

/// @brief Faults that the simulated network injects, each in per cent of the messages.
struct message_faults {
    int lost_percent = 0;
    int duplicated_percent = 0;
    /// Messages delayed by a further random time below `max_extra_delay`.
    int delayed_percent = 0;
    time_ms max_extra_delay{0};
};

/// @brief Counters of one simulation.
struct simulation_counters {
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    /// Refused although the account's limit over the whole fleet would have allowed the request.
    std::uint64_t wrongful = 0;
    /// Admitted after waiting for a token.
    std::uint64_t waited = 0;
    std::int64_t total_wait_ms = 0;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// @brief Simulates the budget managers of a fleet in virtual time, over a network that can delay, lose,
/// duplicate and reorder messages and can be partitioned. Times passed to it are true time; every VM has its
/// own clock.
class budget_simulation {
public:
    struct vm {
        peer_id id;
        int region = 0;
        bool alive = true;
        time_ms paused_until{0};
        /// Error of the clock rate in parts per million.
        std::int64_t clock_error_ppm = 0;
        std::int64_t clock_offset_ms = 0;
        std::unique_ptr<budget_manager> manager;
        struct waiting_request {
            time_ms arrived;
            /// True time of the last attempt, 150 ms after arrival.
            time_ms retry_deadline;
            std::function<void(admission)> done;
        };
        std::map<std::string, std::deque<waiting_request>> waiting;
        time_ms wakeup = far_future;
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    explicit budget_simulation(std::uint64_t seed) : random(seed) {}

    std::mt19937_64 random;
    message_faults faults;
    admission_ledger ledger;
    simulation_counters total;
    std::map<std::string, simulation_counters> per_budget;
    /// Network partition: messages are lost for every pair of VMs, in this direction, for which it returns
    /// true.
    std::function<bool(const vm& from, const vm& to)> blocked;

    int add_vm(const std::string& zone, int region, std::int64_t clock_error_ppm = 0) {
        const auto index = static_cast<int>(vms.size());
        auto created = std::make_unique<vm>();
        created->region = region;
        created->clock_error_ppm = clock_error_ppm;
        created->clock_offset_ms = static_cast<std::int64_t>(random() % 1'000'000);
        created->id = {
            {"vm" + std::to_string(index)}, {zone}, "127.0.0.1:" + std::to_string(9000 + index), {random()}};
        vms.push_back(std::move(created));
        start(index);
        return index;
    }

    vm& at(int index) { return *vms[static_cast<std::size_t>(index)]; }
    [[nodiscard]] int size() const { return static_cast<int>(vms.size()); }
    [[nodiscard]] time_ms now() const { return now_; }

    /// @brief Current time on the VM's own clock.
    time_ms local(const vm& machine) const {
        return {machine.clock_offset_ms + now_.count + now_.count * machine.clock_error_ppm / 1'000'000};
    }
    time_ms local(int index) { return local(at(index)); }

    /// @brief Index of the VM that holds the zone's share of a budget; it stays the same when the VM
    /// restarts.
    int home_of(const std::string& zone, const std::string& budget) {
        const auto known = homes_.find({zone, budget});
        if (known != homes_.end()) {
            return known->second;
        }
        int best = -1;
        for (int i = 0; i < size(); ++i) {
            if (at(i).id.zone.value == zone &&
                (best < 0 || rendezvous_weight(budget, at(i).id.incarnation) >
                                 rendezvous_weight(budget, at(best).id.incarnation))) {
                best = i;
            }
        }
        homes_[{zone, budget}] = best;
        return best;
    }

    /// @brief Gives each zone's home an equal share of a budget and every VM the list of homes to borrow
    /// from.
    /// @param fleet_budget Budget of the whole fleet.
    /// @param lease Time for which the shares are valid.
    void divide(const std::string& budget, budget_amount fleet_budget, time_ms lease) {
        ledger.set_limits(now_, budget, fleet_budget.rate, fleet_budget.capacity);
        const auto homes = homes_of(budget);
        const auto zones = static_cast<std::int64_t>(homes.size());
        for (const int home : homes) {
            at(home).manager->set_home_share(local(home), budget,
                                             {fleet_budget.rate / zones, fleet_budget.capacity / zones, 0},
                                             local(home) + lease, local(home));
        }
        set_lenders_on_all_vms(budget);
    }

    /// @brief Homes of a budget in all zones, without duplicates.
    std::vector<int> homes_of(const std::string& budget) {
        std::vector<int> homes;
        for (const auto& machine : vms) {
            const int home = home_of(machine->id.zone.value, budget);
            if (std::find(homes.begin(), homes.end(), home) == homes.end()) {
                homes.push_back(home);
            }
        }
        return homes;
    }

    /// @brief Gives every live VM the current incarnations of the budget's homes, from which it borrows.
    void set_lenders_on_all_vms(const std::string& budget) {
        for (int i = 0; i < size(); ++i) {
            set_lenders_on_vm(i, budget, homes_of(budget));
        }
    }

    /// @brief Gives a VM the list of homes of a budget from which it borrows, nearest first.
    void set_lenders_on_vm(int index, const std::string& budget, std::vector<int> homes) {
        if (!at(index).alive) {
            return;
        }
        // VMs start with different homes among equally distant ones, which spreads the loan requests.
        if (!homes.empty()) {
            std::rotate(homes.begin(), homes.begin() + index % static_cast<int>(homes.size()), homes.end());
        }
        std::stable_sort(homes.begin(), homes.end(), [&](int a, int b) {
            return link_delay(at(index), at(a)) < link_delay(at(index), at(b));
        });
        std::vector<peer_id> lenders;
        lenders.reserve(homes.size());
        for (const int home : homes) {
            lenders.push_back(at(home).id);
        }
        at(index).manager->set_lenders(budget, std::move(lenders));
        process_actions(index);
    }

    /// @brief Ends a VM's process; its waiting requests count as neither admitted nor refused.
    void kill(int index) {
        at(index).alive = false;
        at(index).manager = nullptr;
        at(index).waiting.clear();
    }

    /// @brief Replaces a VM's process by a new incarnation on the same address.
    void restart(int index) {
        kill(index);
        at(index).id.incarnation = {random()};
        at(index).alive = true;
        at(index).paused_until = {0};
        start(index);
    }

    /// @brief Suspends a VM: offered requests get no answer, messages and timers wait until it resumes.
    void pause(int index, time_ms duration) { at(index).paused_until = now_ + duration; }

    void schedule(time_ms when, std::function<void()> action) {
        events_.push({std::max(when, now_), next_event_++, std::move(action)});
    }

    void run_until(time_ms end) {
        while (!events_.empty() && events_.top().when <= end) {
            now_ = events_.top().when;
            auto action = std::move(const_cast<event&>(events_.top()).action);
            events_.pop();
            action();
        }
        now_ = end;
    }

    /// @brief Offers one request to a VM now; a dead or paused VM neither admits nor refuses it.
    void offer(int index, const std::string& budget) {
        ++total.offered;
        ++per_budget[budget].offered;
        if (!at(index).alive || at(index).paused_until > now_) {
            return;
        }
        switch (at(index).manager->try_admit(local(index), budget)) {
        case admission::admitted:
            admit(budget, {0});
            break;
        case admission::refused:
            refuse(budget);
            break;
        case admission::wait:
            at(index).waiting[budget].push_back({now_, now_ + time_ms{150}, {}});
            const auto incarnation = at(index).id.incarnation;
            schedule(now_ + time_ms{150}, [this, index, budget, incarnation] {
                if (at(index).id.incarnation == incarnation) {
                    retry(index, budget);
                }
            });
            break;
        }
        process_actions(index);
    }

    /// @brief Retries a VM's waiting requests where tokens arrived, sends its messages and arms its timer.
    void process_actions(int index) {
        vm& machine = at(index);
        if (!machine.alive) {
            return;
        }
        for (int round = 0; round < 4; ++round) {
            const auto ready = machine.manager->take_ready_budgets();
            if (ready.empty()) {
                break;
            }
            for (const auto& budget : ready) {
                retry_waiting(index, budget);
            }
        }
        for (auto& action : machine.manager->take_actions()) {
            transmit(index, action);
        }
        const time_ms due = machine.manager->next_wakeup();
        if (due == far_future) {
            return;
        }
        const time_ms wait{std::max<std::int64_t>(1, (due - local(machine)).count)};
        const time_ms when = now_ + wait;
        if (machine.wakeup > now_ && machine.wakeup <= when) {
            return;
        }
        machine.wakeup = when;
        schedule(when, [this, index, when] { wake(index, when); });
    }

    /// @brief Sends a message over the simulated network, with its faults.
    void transmit(int from, const send_action& action) {
        vm& sender = at(from);
        ++sender.messages;
        const std::uint64_t bytes =
            250 + std::visit([](const auto&) { return std::uint64_t{0}; }, action.payload);
        sender.bytes += bytes;
        ++total.messages;
        total.bytes += message_bytes;
        const int copies = 1 + (chance(faults.duplicated_percent) ? 1 : 0);
        for (int copy = 0; copy < copies; ++copy) {
            if (chance(faults.lost_percent)) {
                continue;
            }
            const int receiver = index_at_address(action.to.address);
            if (receiver < 0 || (blocked && blocked(sender, at(receiver)))) {
                continue;
            }
            time_ms delay = link_delay(sender, at(receiver));
            if (chance(faults.delayed_percent) && faults.max_extra_delay.count > 0) {
                delay += time_ms{static_cast<std::int64_t>(random() >> 1U) % faults.max_extra_delay.count};
                delay = std::max(delay, time_ms{1});
            }
            deliver(now_ + delay, receiver, sender.id, action.payload);
        }
    }

    /// @brief Delivers a message at the given time, regardless of partitions. A dead VM drops it; a paused
    /// one receives it when it resumes.
    void deliver(time_ms when, int to, peer_id from, peer_payload payload) {
        schedule(when, [this, to, from = std::move(from), payload = std::move(payload)] {
            vm& receiver = at(to);
            if (!receiver.alive) {
                return;
            }
            if (receiver.paused_until > now_) {
                deliver(receiver.paused_until, to, from, payload);
                return;
            }
            receiver.manager->on_message(local(receiver), from, payload);
            process_actions(to);
        });
    }

    std::vector<std::unique_ptr<vm>> vms;

private:
    /// Estimated size of a budget message as JSON with the sender's identity.
    static constexpr std::uint64_t message_bytes = 320;

    struct event {
        time_ms when;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };

    void start(int index) { at(index).manager = std::make_unique<budget_manager>(at(index).id); }

    bool chance(int percent) { return percent > 0 && static_cast<int>(random() % 100) < percent; }

    int index_at_address(const std::string& address) const {
        for (std::size_t i = 0; i < vms.size(); ++i) {
            if (vms[i]->id.address == address) {
                return static_cast<int>(i);
            }
        }
        return -1;
    }

    // 0.5 ms within a zone and 1.5 ms between zones, both rounded up to whole milliseconds; 55 ms between
    // regions.
    static time_ms link_delay(const vm& from, const vm& to) {
        if (from.region != to.region) {
            return {55};
        }
        return {from.id.zone == to.id.zone ? 1 : 2};
    }

    void wake(int index, time_ms when) {
        vm& machine = at(index);
        if (!machine.alive || machine.wakeup != when) {
            return;
        }
        if (machine.paused_until > now_) {
            machine.wakeup = machine.paused_until;
            schedule(machine.wakeup, [this, index, at_time = machine.wakeup] { wake(index, at_time); });
            return;
        }
        machine.wakeup = far_future;
        machine.manager->on_tick(local(machine));
        process_actions(index);
    }

    void retry(int index, const std::string& budget) {
        if (at(index).alive) {
            if (at(index).paused_until > now_) {
                schedule(at(index).paused_until, [this, index, budget] { retry(index, budget); });
                return;
            }
            retry_waiting(index, budget);
            process_actions(index);
        }
    }

    // Retries the waiting requests in order of arrival until one has to go on waiting.
    void retry_waiting(int index, const std::string& budget) {
        vm& machine = at(index);
        auto& queue = machine.waiting[budget];
        while (!queue.empty()) {
            const auto request = queue.front();
            const bool timed_out = request.retry_deadline <= now_;
            const auto result = machine.manager->try_admit(
                local(machine), budget, timed_out ? admission_attempt::last : admission_attempt::again);
            if (result == admission::wait) {
                return;
            }
            queue.pop_front();
            if (result == admission::admitted) {
                admit(budget, now_ - request.arrived);
            } else {
                refuse(budget);
            }
        }
    }

    void admit(const std::string& budget, time_ms waited) {
        ledger.record(now_, budget);
        for (auto* counters : {&total, &per_budget[budget]}) {
            ++counters->admitted;
            counters->waited += waited.count > 0 ? 1 : 0;
            counters->total_wait_ms += waited.count;
        }
    }

    void refuse(const std::string& budget) {
        const bool wrongful = ledger.would_admit(now_, budget);
        for (auto* counters : {&total, &per_budget[budget]}) {
            ++counters->refused;
            counters->wrongful += wrongful ? 1 : 0;
        }
    }

    std::map<std::pair<std::string, std::string>, int> homes_;
    time_ms now_{0};
    std::uint64_t next_event_ = 0;
    std::priority_queue<event> events_;
};

} // namespace lacewing
