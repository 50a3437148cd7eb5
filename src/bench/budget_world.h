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

/// @brief Faults of the message layer, in per cent of the messages.
struct message_faults {
    int lost = 0;
    int doubled = 0;
    /// Delayed by a further time up to `longest_delay`.
    int late = 0;
    time_ms longest_delay{0};
};

/// @brief Counters of one run.
struct world_counters {
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    /// Refused although the reference bucket of the whole fleet would have admitted the request.
    std::uint64_t wrongful = 0;
    std::uint64_t waited = 0;
    std::int64_t wait_ms = 0;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// @brief Budget managers in virtual time with a message layer that delays, loses, doubles, reorders and
/// partitions. Times given to the world are true time; every VM has its own clock.
class budget_world {
public:
    struct vm {
        peer_id id;
        int region = 0;
        bool alive = true;
        time_ms paused_until{0};
        /// Deviation of the clock rate in parts per million.
        std::int64_t clock_ppm = 0;
        std::int64_t clock_offset = 0;
        std::unique_ptr<budget_manager> manager;
        struct waiting_request {
            time_ms since;
            time_ms until;
            std::function<void(admission)> done;
        };
        std::map<std::string, std::deque<waiting_request>> waiting;
        time_ms wakeup = far_future;
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    explicit budget_world(std::uint64_t seed) : random(seed) {}

    std::mt19937_64 random;
    message_faults faults;
    admission_ledger ledger;
    world_counters total;
    std::map<std::string, world_counters> per_budget;
    /// Directed pairs of zones between which messages are lost.
    std::function<bool(const vm& from, const vm& to)> blocked;

    int add_vm(const std::string& zone, int region, std::int64_t ppm = 0) {
        const auto index = static_cast<int>(vms.size());
        auto created = std::make_unique<vm>();
        created->region = region;
        created->clock_ppm = ppm;
        created->clock_offset = static_cast<std::int64_t>(random() % 1'000'000);
        created->id = {
            {"vm" + std::to_string(index)}, {zone}, "127.0.0.1:" + std::to_string(9000 + index), {random()}};
        vms.push_back(std::move(created));
        start(index);
        return index;
    }

    vm& at(int index) { return *vms[static_cast<std::size_t>(index)]; }
    [[nodiscard]] int size() const { return static_cast<int>(vms.size()); }
    [[nodiscard]] time_ms now() const { return now_; }

    time_ms local(const vm& machine) const {
        return {machine.clock_offset + now_.count + now_.count * machine.clock_ppm / 1'000'000};
    }
    time_ms local(int index) { return local(at(index)); }

    /// @brief VM that divide() made the home of a budget in a zone, or its successor on the same address.
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

    /// @brief Divides a budget equally over the zones and tells every VM the homes, nearest first.
    void divide(const std::string& budget, budget_amount whole, time_ms lease) {
        ledger.set_limits(now_, budget, whole.rate, whole.capacity);
        const auto homes = homes_of(budget);
        const auto zones = static_cast<std::int64_t>(homes.size());
        for (const int home : homes) {
            at(home).manager->set_home_share(local(home), budget,
                                             {whole.rate / zones, whole.capacity / zones, 0},
                                             local(home) + lease, local(home));
        }
        tell_all_lenders(budget);
    }

    /// @brief Homes of a budget in all zones.
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

    /// @brief Gives every VM the current incarnations of the homes.
    void tell_all_lenders(const std::string& budget) {
        for (int i = 0; i < size(); ++i) {
            tell_lenders(i, budget, homes_of(budget));
        }
    }

    /// @brief Gives a VM the list of homes of a budget, nearest first.
    void tell_lenders(int index, const std::string& budget, std::vector<int> homes) {
        if (!at(index).alive) {
            return;
        }
        // Each VM starts at another home among equally distant ones, so that the requests spread.
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
        collect(index);
    }

    /// @brief Ends the process; requests in its queue count as unanswered, not as refused.
    void kill(int index) {
        at(index).alive = false;
        at(index).manager = nullptr;
        at(index).waiting.clear();
    }

    /// @brief Starts a new incarnation on the same address.
    void restart(int index) {
        kill(index);
        at(index).id.incarnation = {random()};
        at(index).alive = true;
        at(index).paused_until = {0};
        start(index);
    }

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

    /// @brief Offers one request; an admission is recorded in the ledger.
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
        collect(index);
    }

    /// @brief Sends the messages of a VM, retries its waiting requests and arms its timer.
    void collect(int index) {
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

    /// @brief Delivers a message as if it had been sent, with the faults of the network.
    void transmit(int from, const send_action& action) {
        vm& sender = at(from);
        ++sender.messages;
        const std::uint64_t bytes =
            250 + std::visit([](const auto&) { return std::uint64_t{0}; }, action.payload);
        sender.bytes += bytes;
        ++total.messages;
        total.bytes += message_bytes;
        const int copies = 1 + (chance(faults.doubled) ? 1 : 0);
        for (int copy = 0; copy < copies; ++copy) {
            if (chance(faults.lost)) {
                continue;
            }
            const int to = find(action.to.address);
            if (to < 0 || (blocked && blocked(sender, at(to)))) {
                continue;
            }
            time_ms delay = link_delay(sender, at(to));
            if (chance(faults.late) && faults.longest_delay.count > 0) {
                delay += time_ms{static_cast<std::int64_t>(random() >> 1U) % faults.longest_delay.count};
                delay = std::max(delay, time_ms{1});
            }
            deliver(now_ + delay, to, sender.id, action.payload);
        }
    }

    /// @brief Delivers a message at a time, regardless of partitions; a dead VM drops it, a paused one
    /// receives it when it wakes.
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
            collect(to);
        });
    }

    std::vector<std::unique_ptr<vm>> vms;

private:
    /// Size of a budget message as JSON with the sender's identity, estimated.
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

    int find(const std::string& address) const {
        for (std::size_t i = 0; i < vms.size(); ++i) {
            if (vms[i]->id.address == address) {
                return static_cast<int>(i);
            }
        }
        return -1;
    }

    // Half a millisecond within a zone and 1.5 ms between zones, both rounded up; 55 ms between regions.
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
        collect(index);
    }

    void retry(int index, const std::string& budget) {
        if (at(index).alive) {
            if (at(index).paused_until > now_) {
                schedule(at(index).paused_until, [this, index, budget] { retry(index, budget); });
                return;
            }
            retry_waiting(index, budget);
            collect(index);
        }
    }

    // Retries the waiting requests in the order of arrival until one has to wait on.
    void retry_waiting(int index, const std::string& budget) {
        vm& machine = at(index);
        auto& queue = machine.waiting[budget];
        while (!queue.empty()) {
            const auto request = queue.front();
            const bool last = request.until <= now_;
            const auto result = machine.manager->try_admit(
                local(machine), budget, last ? admission_attempt::last : admission_attempt::again);
            if (result == admission::wait) {
                return;
            }
            queue.pop_front();
            if (result == admission::admitted) {
                admit(budget, now_ - request.since);
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
            counters->wait_ms += waited.count;
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
