#include "tests/usage_duty_simulation.h"

#include "state/ids.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace lacewing::tests {

namespace {

constexpr std::int64_t window_ms = 5000;
constexpr std::int64_t late_ms = 10'000;
constexpr std::int64_t term_ms = 3000;
constexpr std::int64_t silence_ms = 2000;
constexpr std::int64_t choice_ms = 4000;
constexpr std::int64_t end_ms = 110'000;
constexpr std::int64_t traffic_begin_ms = 8000;
// Windows that end before it are checked.
constexpr std::int64_t check_end_ms = 95'000;
// Unix time of the start, in the middle of a window.
constexpr std::int64_t true_start = 1'767'225'602'500;
constexpr std::size_t zones = 3;
constexpr std::size_t vms_per_zone = 3;
constexpr double max_off = 0.05;

std::int64_t window_of(std::int64_t time) {
    return (true_start + time) / window_ms;
}

std::int64_t end_of(std::int64_t window) {
    return (window + 1) * window_ms - true_start;
}

} // namespace

usage_duty_simulation::usage_duty_simulation(std::uint64_t seed, int disturbances)
    : random_(seed), disturbances_(disturbances) {
    for (std::size_t i = 0; i < zones * vms_per_zone; ++i) {
        vm_state vm;
        vm.name = fmt::format("vm-{}", i);
        vm.zone = fmt::format("zone-{}", i / vms_per_zone);
        vm.address = fmt::format("10.0.0.{}:1", i);
        vm.steady_base = draw(1000, 1'000'000'000);
        vm.clock_error = draw(-20, 20);
        vms_.push_back(std::move(vm));
    }
}

std::int64_t usage_duty_simulation::draw(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
}

bool usage_duty_simulation::chance(double share) {
    return std::bernoulli_distribution(share)(random_);
}

void usage_duty_simulation::fail(const std::string& what) {
    outcome_.broken.push_back(fmt::format("{} ms: {}", now_, what));
}

void usage_duty_simulation::at(std::int64_t time, std::function<void()> run) {
    queue_.push({std::max(time, now_), ++events_, std::move(run)});
}

// Runs something in a process, later if it is frozen then, not at all if it has ended.
void usage_duty_simulation::for_process(std::size_t vm, std::uint64_t incarnation, std::int64_t time,
                                        std::function<void(vm_state&)> run) {
    at(time, [this, vm, incarnation, run = std::move(run)]() mutable {
        auto& state = vms_[vm];
        if (state.incarnation != incarnation || state.duty == nullptr) return;
        if (now_ < state.frozen_until) {
            for_process(vm, incarnation, state.frozen_until, std::move(run));
            return;
        }
        run(state);
    });
}

time_ms usage_duty_simulation::steady(const vm_state& vm, std::int64_t time) const {
    return {vm.steady_base + time};
}

time_ms usage_duty_simulation::time_of_day(const vm_state& vm, std::int64_t time) const {
    return {true_start + time + vm.clock_error};
}

bool usage_duty_simulation::store_away(const vm_state& vm) const {
    return now_ < store_down_until_ || now_ < vm.store_cut_until;
}

void usage_duty_simulation::start(std::size_t index) {
    auto& vm = vms_[index];
    vm.incarnation = random_();
    vm.dead_until = 0;
    usage_duty::options chosen;
    chosen.vm = vm.name;
    chosen.zone = vm.zone;
    chosen.address = vm.address;
    chosen.incarnation = vm.incarnation;
    chosen.window = {window_ms};
    chosen.late = {late_ms};
    chosen.term = {term_ms};
    vm.duty = std::make_unique<usage_duty>(chosen, steady(vm, now_), time_of_day(vm, now_),
                                           [](std::string_view, std::int64_t, std::int64_t) {});
    for_process(index, vm.incarnation, now_ + draw(1, 100),
                [this, index](vm_state& state) { tick(index, state.incarnation); });
}

usage_fleet usage_duty_simulation::view(std::size_t index) const {
    usage_fleet made;
    const auto& own = vms_[index];
    const bool cut = now_ < own.peer_cut_until;
    const auto turn = static_cast<std::uint64_t>((true_start + now_) / choice_ms);
    const auto rank = [&](std::size_t vm) {
        return rendezvous_weight(std::to_string(turn), incarnation_id{vm + 1});
    };
    made.first_choice = own.store_cut_since < 0 || now_ - own.store_cut_since < term_ms;
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        if (i == index) continue;
        const auto& other = vms_[i];
        const auto heard =
            cut ? std::min(other.last_audible, own.peer_cut_until - 60'000) : other.last_audible;
        if (now_ - heard >= silence_ms) continue;
        made.peers.push_back(
            {other.name, other.zone, other.address, usage_source(other.name, other.incarnation), false});
        const bool able = other.store_cut_since < 0 || now_ - other.store_cut_since < term_ms;
        if (able && rank(i) > rank(index)) made.first_choice = false;
    }
    made.isolated = made.peers.empty();
    return made;
}

void usage_duty_simulation::tick(std::size_t index, std::uint64_t incarnation) {
    auto& vm = vms_[index];
    if (now_ >= vm.peer_cut_until) vm.last_audible = now_;
    vm.store_cut_since = !store_away(vm) ? -1 : vm.store_cut_since < 0 ? now_ : vm.store_cut_since;
    check_single_holder(index);
    vm.duty->set_fleet(steady(vm, now_), view(index));
    serve_requests(index);
    deliver(index, vm.duty->step(steady(vm, now_), time_of_day(vm, now_)));
    const auto action = vm.duty->next_store_call(steady(vm, now_));
    if (action.kind != duty_lease::action::call::none) call_store(index, action);
    if (const auto report = vm.duty->next_report(steady(vm, now_))) {
        // The connect takes a moment, in which the process may freeze.
        for_process(index, incarnation, now_ + draw(1, 60),
                    [this, index, report = *report](vm_state&) { call_platform(index, report); });
    }
    for_process(index, incarnation, now_ + 100 + draw(0, 5),
                [this, index](vm_state& state) { tick(index, state.incarnation); });
}

// No two processes may act at the same time, whatever they have to report just then.
void usage_duty_simulation::check_single_holder(std::size_t index) {
    const auto may_act = [this](const vm_state& vm) {
        return vm.duty != nullptr && now_ >= vm.frozen_until && vm.duty->lease().may_act(steady(vm, now_));
    };
    if (!may_act(vms_[index])) return;
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        if (i != index && may_act(vms_[i])) fail(fmt::format("{} and {} may act at the same time", index, i));
    }
    if (!tenures_.empty() && tenures_.back().vm == index) {
        tenures_.back().at = now_;
        return;
    }
    for (const auto& tenure : tenures_) {
        if (tenure.vm == index && now_ - tenure.at < term_ms)
            fail(fmt::format("{} may act again {} ms after it gave way", index, now_ - tenure.at));
    }
    tenures_.push_back({now_, index});
}

// Requests of two accounts begin to run; some are refused a little later.
void usage_duty_simulation::serve_requests(std::size_t index) {
    if (now_ < traffic_begin_ms) return;
    auto& vm = vms_[index];
    for (const char* account : {"one", "two"}) {
        const auto count = draw(0, account[0] == 'o' ? 6 : 2);
        for (std::int64_t i = 0; i < count; ++i) {
            const auto window = vm.duty->counter().on_begin(account, steady(vm, now_));
            if (!chance(0.1)) {
                ++truth_[window_of(now_)][account];
                continue;
            }
            for_process(index, vm.incarnation, now_ + draw(2, 120), [account, window](vm_state& state) {
                state.duty->counter().take_back(account, window);
            });
        }
    }
}

void usage_duty_simulation::deliver(std::size_t from, const usage_duty::outgoing& messages) {
    for (const auto& [receiver, message] : messages) {
        const auto& address = receiver;
        const auto found =
            std::find_if(vms_.begin(), vms_.end(), [&](const vm_state& vm) { return vm.address == address; });
        if (found == vms_.end()) continue;
        const auto to = static_cast<std::size_t>(found - vms_.begin());
        if (to != from) {
            if (now_ < network_loses_until_ && chance(0.3)) continue;
            if (now_ < vms_[from].peer_cut_until || now_ < found->peer_cut_until) continue;
        }
        for_process(to, found->incarnation, now_ + (to == from ? 0 : draw(1, 60)),
                    [this, to, message = message](vm_state& vm) {
                        deliver(to, vm.duty->on_message(steady(vm, now_), message));
                    });
    }
}

void usage_duty_simulation::call_store(std::size_t index, const duty_lease::action& action) {
    ++outcome_.store_calls;
    const auto incarnation = vms_[index].incarnation;
    if (store_away(vms_[index])) {
        leave_unanswered(index, incarnation);
        return;
    }
    const bool loses = now_ < store_loses_until_ && chance(0.4);
    // A call whose answer is lost may be executed seconds later.
    const auto executed = now_ + (loses && chance(0.5) ? draw(100, 4000) : draw(2, 60));
    at(executed,
       [this, index, incarnation, action, loses] { answer_store_call(index, incarnation, action, !loses); });
    if (loses) leave_unanswered(index, incarnation);
}

// A call of a VM to the store times out.
void usage_duty_simulation::leave_unanswered(std::size_t index, std::uint64_t incarnation) {
    for_process(index, incarnation, now_ + 700, [this](vm_state& vm) {
        vm.duty->lease().on_no_answer(steady(vm, now_));
        vm.duty->on_store_answer(steady(vm, now_));
    });
}

// Executes a call and carries its answer.
void usage_duty_simulation::answer_store_call(std::size_t index, std::uint64_t incarnation,
                                              const duty_lease::action& action, bool answered) {
    using call = duty_lease::action::call;
    if (store_away(vms_[index])) {
        if (answered) leave_unanswered(index, incarnation);
        return;
    }
    bool conflict = false;
    if (action.kind != call::read) {
        conflict = action.kind == call::create ? stored_.has_value() : revision_ != action.revision;
        if (!conflict) {
            stored_ = action.record;
            ++revision_;
        }
    }
    if (!answered) return;
    const auto record = stored_;
    const auto revision = revision_;
    for_process(index, incarnation, now_ + draw(2, 60),
                [this, kind = action.kind, conflict, record, revision](vm_state& vm) {
                    auto& lease = vm.duty->lease();
                    const auto time = steady(vm, now_);
                    if (kind == call::read) {
                        lease.on_read(time, record, record ? revision : 0);
                    } else if (conflict) {
                        lease.on_conflict(time);
                    } else {
                        lease.on_written(time, revision);
                    }
                    vm.duty->on_store_answer(time);
                });
}

void usage_duty_simulation::call_platform(std::size_t index, const usage_duty::report& report) {
    auto& vm = vms_[index];
    const auto incarnation = vm.incarnation;
    const auto end = [this, index, incarnation](std::int64_t delay, usage_duty::report_end how) {
        for_process(index, incarnation, now_ + delay,
                    [this, how](vm_state& state) { state.duty->on_report_end(steady(state, now_), how); });
    };
    if (!vm.duty->may_send(steady(vm, now_))) {
        end(0, usage_duty::report_end::no_answer);
        return;
    }
    if (now_ < platform_down_until_ || now_ < vm.platform_cut_until) {
        end(report.timeout.count, usage_duty::report_end::no_answer);
        return;
    }
    if (now_ < platform_refuses_until_) {
        end(60, usage_duty::report_end::refused);
        return;
    }
    at(now_ + draw(1, 60), [this, index, report] { accept(index, report); });
    if (now_ < platform_loses_until_ && chance(0.5)) {
        end(report.timeout.count, usage_duty::report_end::no_answer);
    } else {
        end(draw(61, 120), usage_duty::report_end::accepted);
    }
}

// The platform takes a report: the rules are checked here.
void usage_duty_simulation::accept(std::size_t index, const usage_duty::report& report) {
    const auto owner = token_owner_.emplace(report.token, index).first->second;
    if (owner != index) fail(fmt::format("token {} from {} and {}", report.token, owner, index));
    if (report.token < outcome_.highest_token)
        fail(fmt::format("token {} after {}", report.token, outcome_.highest_token));
    outcome_.highest_token = std::max(outcome_.highest_token, report.token);
    bool other_between = false;
    for (auto call = calls_.rbegin(); call != calls_.rend() && now_ - call->at < term_ms; ++call) {
        if (call->vm != index) other_between = true;
        if (call->vm == index && other_between) {
            fail(fmt::format("{} acts again within the term of another holder", index));
            break;
        }
    }
    calls_.push_back({now_, index});
    const auto known = accepted_.find(report.window);
    if (known != accepted_.end()) {
        if (known->second != report.counts) fail(fmt::format("two counts for window {}", report.window));
        return;
    }
    if (!accepted_.empty() && report.window != accepted_.rbegin()->first + 1)
        fail(fmt::format("window {} after {}", report.window, accepted_.rbegin()->first));
    accepted_[report.window] = report.counts;
    accepted_at_[report.window] = now_;
}

// VM that holds the duty by the store.
std::size_t usage_duty_simulation::holder() const {
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        if (stored_ && stored_->holder == vms_[i].name) return i;
    }
    return 0;
}

// Stops the process of a VM gracefully and starts it again.
void usage_duty_simulation::stop(std::size_t index) {
    auto& vm = vms_[index];
    if (vm.duty == nullptr) return;
    vm.duty->begin_stop();
    inexact_.insert(window_of(now_));
    const auto incarnation = vm.incarnation;
    at(now_ + draw(300, 1500), [this, index, incarnation] {
        if (vms_[index].incarnation == incarnation && vms_[index].duty != nullptr) start(index);
    });
}

void usage_duty_simulation::disturb(int number) {
    const auto span = draw(1000, 8000);
    const auto end = now_ + span;
    const auto target = chance(0.7) ? holder() : static_cast<std::size_t>(draw(0, zones * vms_per_zone - 1));
    auto& vm = vms_[target];
    trouble noted{now_, end, false};
    switch (number) {
    case 0: // killed
        vm.duty.reset();
        inexact_.insert(window_of(now_));
        inexact_.insert(window_of(now_ - 1500));
        at(end, [this, target] {
            if (vms_[target].duty == nullptr) start(target);
        });
        break;
    case 1: // frozen
        vm.frozen_until = end;
        break;
    case 2:
        vm.store_cut_until = end;
        break;
    case 3:
        vm.peer_cut_until = end;
        for (auto window = window_of(now_) - 1; window <= window_of(end); ++window)
            inexact_.insert(window);
        break;
    case 4:
        vm.platform_cut_until = end;
        noted.platform_side = true;
        break;
    case 5:
        store_down_until_ = end;
        noted.platform_side = true;
        break;
    case 6:
        store_loses_until_ = end;
        noted.platform_side = true;
        break;
    case 7:
        platform_down_until_ = end;
        noted.platform_side = true;
        break;
    case 8:
        platform_loses_until_ = end;
        noted.platform_side = true;
        break;
    case 9:
        platform_refuses_until_ = end;
        noted.platform_side = true;
        break;
    case 10:
        network_loses_until_ = end;
        break;
    case 11: // stopped in turn
        stop(target);
        // The next holder is stopped as well, which is a disturbance of its own.
        at(now_ + draw(1500, 3500), [this] {
            stop(holder());
            troubles_.push_back({now_, now_, false});
        });
        break;
    default: // the time of day of one VM steps and steps back
        vm.clock_error += chance(0.5) ? 3000 : -3000;
        at(end, [this, target] { vms_[target].clock_error = 0; });
        break;
    }
    troubles_.push_back(noted);
}

// Checks that all windows were reported, in time unless a disturbance excuses it, with the right counts.
void usage_duty_simulation::check_end() {
    const auto last = window_of(check_end_ms) - 1;
    for (auto window = window_of(traffic_begin_ms); window <= last; ++window) {
        ++outcome_.windows_due;
        const auto found = accepted_at_.find(window);
        if (found == accepted_at_.end()) {
            fail(fmt::format("window {} was not reported", window));
            continue;
        }
        int near = 0;
        bool excused = false;
        for (const auto& trouble : troubles_) {
            // What came before may have left a backlog, or a lease that waits for its end.
            if (trouble.end + late_ms < end_of(window) || trouble.begin > end_of(window) + late_ms) continue;
            ++near;
            excused = excused || trouble.platform_side;
        }
        const bool on_time = found->second <= end_of(window) + late_ms;
        if (on_time) ++outcome_.windows_on_time;
        if (!on_time && !excused && near < 2) {
            fail(fmt::format("window {} was reported {} ms after its end", window,
                             found->second - end_of(window)));
        }
        if (inexact_.contains(window) || near > 0) continue;
        for (const auto& [account, count] : truth_[window]) {
            const auto reported = accepted_[window][account];
            const auto off = std::abs(static_cast<double>(reported - count));
            if (off > max_off * static_cast<double>(count))
                fail(fmt::format("window {}: {} of {} requests of {}", window, reported, count, account));
        }
    }
}

usage_duty_simulation::outcome usage_duty_simulation::run() {
    for (std::size_t i = 0; i < vms_.size(); ++i)
        at(draw(0, 300), [this, i] { start(i); });
    for (int i = 0; i < disturbances_; ++i) {
        at(draw(5000, 75'000), [this] { disturb(static_cast<int>(draw(0, 12))); });
    }
    while (!queue_.empty() && queue_.top().at <= end_ms) {
        auto next = queue_.top();
        queue_.pop();
        now_ = next.at;
        next.run();
    }
    check_end();
    return outcome_;
}

} // namespace lacewing::tests
