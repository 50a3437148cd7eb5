#pragma once

#include "coordination/coordination_node.h"
#include "fake_network.h"
#include "protocol/peer_codec.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::test {

/// @brief Simulated store: a history of all revisions, and the faults of its answers.
struct fake_object_store {
    std::vector<object_event> history;
    bool outage = false;
    time_ms delay{5};
    /// Share of answers that are lost, per mille.
    unsigned loss_per_mille = 0;
    /// Limit of an additional random delay, which reorders answers.
    std::uint64_t max_extra_delay = 0;

    [[nodiscard]] revision_id revision() const { return {history.size()}; }

    revision_id write(const std::string& key, const std::optional<std::string>& value) {
        const revision_id next{history.size() + 1};
        history.push_back({key, next, value ? std::make_shared<const std::string>(*value) : nullptr});
        return next;
    }

    [[nodiscard]] store_result list(std::uint64_t call) const {
        std::map<std::string, object_event> latest_events;
        for (const auto& event : history) {
            latest_events[event.key] = event;
        }
        store_result result{call, store_outcome::success, revision(), {}};
        for (const auto& [key, event] : latest_events) {
            if (!event.deleted()) {
                result.events.push_back(event);
            }
        }
        return result;
    }

    [[nodiscard]] store_result events_after(std::uint64_t call, revision_id after) const {
        const auto first = static_cast<std::ptrdiff_t>(std::min<std::uint64_t>(after.value, history.size()));
        return {call, store_outcome::success, revision(), {history.begin() + first, history.end()}};
    }
};

/// @brief Simulated VMs in zones a, b, … in virtual time. Each VM's clock has another offset.
class fake_fleet {
public:
    struct vm {
        std::size_t number = 0;
        peer_id id;
        std::unique_ptr<coordination_node> node;
        bool running = true;
        bool paused = false;
        bool store_cut = false;
        time_ms next_tick;
    };

    fake_fleet(std::size_t zone_count, std::size_t vms_per_zone, std::uint64_t seed)
        : network(seed + 1), random_(seed) {
        for (std::size_t z = 0; z < zone_count; ++z) {
            zones.push_back({std::string(1, static_cast<char>('a' + z))});
        }
        for (std::size_t i = 0; i < zone_count * vms_per_zone; ++i) {
            auto& added = vms.emplace_back();
            added.number = i;
            added.id = {{"vm" + std::to_string(100 + i)}, zones[i % zone_count], address(i), {}};
            start(i);
        }
    }

    static std::string address(std::size_t number) { return "10.0.0." + std::to_string(number) + ":7000"; }
    /// @brief Number of the VM with this address, or the number of VMs when there is none.
    [[nodiscard]] std::size_t vm_at_address(const std::string& peer_address) const {
        for (const auto& each : vms) {
            if (each.id.address == peer_address) {
                return each.number;
            }
        }
        return vms.size();
    }

    /// @brief Starts the process of a VM with a new incarnation and without any state.
    void start(std::size_t number) {
        auto& each = vms[number];
        each.id.incarnation = {random_() | 1U};
        coordination_settings settings;
        settings.membership.seeds = {address(0), address(1), address(2)};
        each.node =
            std::make_unique<coordination_node>(each.id, each.id.address, settings, random_(), clock(number));
        each.running = true;
        each.paused = false;
        each.next_tick = now;
    }

    /// @brief Reading of the clock of a VM.
    [[nodiscard]] time_ms clock(std::size_t number) const {
        return now + time_ms{static_cast<std::int64_t>(number) * 1'000'003};
    }
    [[nodiscard]] coordination_node& node(std::size_t number) const { return *vms[number].node; }
    [[nodiscard]] key_verdict verdict(std::size_t number) const {
        return node(number).verdict(clock(number), zones);
    }
    [[nodiscard]] bool active(std::size_t number) const { return vms[number].running && !vms[number].paused; }
    /// @brief Whether the membership of a VM has exactly the given number of members.
    [[nodiscard]] bool lists_member_count(std::size_t number, std::size_t members) const {
        return node(number).members().members().size() == members;
    }

    /// @brief Cuts messages in both directions between the VMs for which `side` is true and the others.
    void split(const std::function<bool(std::size_t)>& side) {
        network.cut = [this, side](const std::string& from, const std::string& to) {
            return side(vm_at_address(from)) != side(vm_at_address(to));
        };
    }

    /// @brief Advances the virtual time and calls `check` after each step.
    void run(time_ms duration, const std::function<void()>& check = {}) {
        const auto end = now + duration;
        while (now < end) {
            step();
            if (check) {
                check();
            }
        }
    }

    /// @brief Runs until the condition holds.
    /// @return The time until then, or nothing when the limit has passed.
    template <class Condition>
    std::optional<time_ms> run_until(time_ms limit, Condition condition) {
        const auto begin = now;
        while (now - begin <= limit) {
            if (condition()) {
                return now - begin;
            }
            step();
        }
        return std::nullopt;
    }

    /// @brief Runs until every running VM has the store's revision, lists all running VMs and has a fresh key
    /// list.
    std::optional<time_ms> run_until_converged(time_ms limit = time_ms{30'000}) {
        return run_until(limit, [&] {
            const auto count = static_cast<std::size_t>(
                std::count_if(vms.begin(), vms.end(), [](const auto& each) { return each.running; }));
            return std::all_of(vms.begin(), vms.end(), [&](const auto& each) {
                return !each.running ||
                       (each.node->replica().revision() == store.revision() &&
                        lists_member_count(each.number, count) && verdict(each.number) == key_verdict::fresh);
            });
        });
    }

    time_ms now{1'000};
    fake_network network;
    fake_object_store store;
    std::vector<zone_name> zones;
    std::vector<vm> vms;
    /// Encodes and decodes each message.
    bool encode = false;
    /// Makes fenced processes rejoin, as the daemon does.
    bool rejoin_fenced = true;
    std::uint64_t sent_messages = 0;

private:
    struct pending_call {
        std::size_t vm;
        incarnation_id incarnation;
        std::uint64_t call;
        bool list;
        revision_id after;
        time_ms due;
        time_ms watch_end;
    };

    void step() {
        now += time_ms{5};
        network.deliver(now, [&](const std::string& to, const peer_message& message) {
            const auto number = vm_at_address(to);
            if (number < vms.size() && active(number)) {
                apply_actions(number, node(number).receive(message, clock(number)));
            }
        });
        answer_store_calls();
        for (auto& each : vms) {
            if (!active(each.number) || now < each.next_tick) {
                continue;
            }
            each.next_tick = now + time_ms{50};
            apply_actions(each.number, each.node->tick(clock(each.number)));
            const bool fenced = each.node->members().status(clock(each.number)) == membership_status::fenced;
            if (fenced && rejoin_fenced) {
                each.id.incarnation = {random_() | 1U};
                each.node->rejoin(each.id.incarnation, clock(each.number));
            }
        }
    }

    void apply_actions(std::size_t number, replica_actions actions) {
        for (auto& action : actions.sends) {
            peer_message message{node(number).self(), action.to.incarnation, std::move(action.payload)};
            ++sent_messages;
            if (encode) {
                message = decoder_.decode(encode_peer_message(message));
            }
            network.send(action.to.address, message, now);
        }
        for (const auto& action : actions.store_calls) {
            pending_call call{number, node(number).self().incarnation, 0, false, {}, now + store.delay, now};
            if (store.max_extra_delay > 0) {
                call.due += time_ms{static_cast<std::int64_t>(random_() % store.max_extra_delay)};
            }
            if (const auto* list = std::get_if<store_list>(&action)) {
                call.call = list->call;
                call.list = true;
            } else {
                const auto& watch = std::get<store_watch>(action);
                call.call = watch.call;
                call.after = watch.after;
                call.watch_end = now + time_ms{500};
            }
            calls_.push_back(call);
        }
    }

    // Answers store calls that are due. A watch waits for events; a call fails in an outage or if the VM is
    // cut off from the store.
    void answer_store_calls() {
        for (std::size_t i = 0; i < calls_.size();) {
            const auto call = calls_[i];
            const bool unreachable = store.outage || vms[call.vm].store_cut;
            const bool waiting = !unreachable && call.after == store.revision() && now < call.watch_end;
            if (now < call.due || waiting) {
                ++i;
                continue;
            }
            calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(i));
            if (!active(call.vm) || node(call.vm).self().incarnation != call.incarnation) {
                continue;
            }
            if (store.loss_per_mille != 0 && random_() % 1000 < store.loss_per_mille) {
                continue;
            }
            auto result = call.list ? store.list(call.call) : store.events_after(call.call, call.after);
            if (unreachable) {
                result = {call.call, store_outcome::unreachable, {}, {}};
            }
            apply_actions(call.vm, node(call.vm).receive(result, clock(call.vm)));
        }
    }

    std::mt19937_64 random_;
    std::vector<pending_call> calls_;
    peer_decoder decoder_;
};

} // namespace lacewing::test
