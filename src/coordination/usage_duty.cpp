#include "coordination/usage_duty.h"

#include "state/ids.h"

#include <algorithm>

namespace lacewing {

namespace {

// Counts and notices repeat at this interval; the counts of a process that ends are that old at most.
constexpr time_ms push_interval{1000};
constexpr time_ms notice_interval{300};
// A process that was alive so lately may only be silent for a moment, and its counts may come.
constexpr time_ms seen_lifetime{5000};
// A longer break between two steps means that this process did not run, and messages were lost or wait.
constexpr time_ms max_step{1000};
// A holder that was heard of lately needs no successor.
constexpr time_ms holder_silence{1800};
// The fleet is not known sooner after the start of a process.
constexpr time_ms start_delay{2500};
// A holder that reaches no other VM, or not the platform, gives the duty up after this time, and does not
// apply for it for some time.
constexpr time_ms max_isolation{2500};
constexpr time_ms max_unanswered{5000};
constexpr time_ms retirement{12'000};
// All others may have ended, so a VM that hears none applies for the duty after all.
constexpr time_ms max_candidate_isolation{10'000};
constexpr time_ms report_timeout{1500};
constexpr time_ms clock_reading_lifetime{5000};
// VMs of a zone that are told who holds the duty: the views of the fleet differ for a moment.
constexpr std::size_t told_per_zone = 2;

std::uint64_t name_hash(std::string_view name) {
    std::uint64_t hash = 1469598103934665603ULL;
    for (const char c : name)
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return hash;
}

} // namespace

std::uint64_t usage_source(std::string_view vm, std::uint64_t incarnation) {
    return rendezvous_weight(vm, incarnation_id{incarnation});
}

usage_duty::usage_duty(options chosen, time_ms now, time_ms time_of_day, event_log events)
    : options_(std::move(chosen)), events_(std::move(events)),
      counter_(usage_source(options_.vm, options_.incarnation), options_.window, clock_),
      lease_(options_.vm, options_.incarnation, options_.term), reporter_(options_.window, options_.late),
      source_(usage_source(options_.vm, options_.incarnation)), started_(now), last_step_(now),
      hearing_since_(now) {
    clock_.on_reading(now, time_of_day);
    first_window_ = counter_.window_at(now);
    // That this process has counted nothing in the last windows is worth telling.
    counter_.forget_below(first_window_ - 2);
}

// VMs of a zone that collect its counts, the first choice first.
std::vector<usage_duty::peer_choice> usage_duty::collectors(std::string_view zone, std::size_t count) const {
    std::vector<peer_choice> ranked;
    const auto add = [&](std::string_view vm, const std::string& address, std::uint64_t source) {
        ranked.push_back({rendezvous_weight(zone, incarnation_id{name_hash(vm)}), address, source});
    };
    if (zone == options_.zone && !leaving_) add(options_.vm, options_.address, source_);
    for (const auto& peer : fleet_.peers) {
        if (peer.zone == zone && !peer.leaving) add(peer.vm, peer.address, peer.source);
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return a.rank > b.rank; });
    if (ranked.size() > count) ranked.resize(count);
    return ranked;
}

bool usage_duty::complete(std::int64_t window) const {
    const auto sum = zones_.sum(window, [this](std::uint64_t sender) { return live_.contains(sender); });
    if (!sum.closed) return false;
    const std::unordered_set<std::uint64_t> known(sum.sources.begin(), sum.sources.end());
    return std::all_of(seen_.begin(), seen_.end(), [&](const auto& entry) {
        return known.contains(entry.first) && live_.contains(entry.first);
    });
}

// Progress to store with the next write.
duty_progress usage_duty::planned(time_ms now) const {
    const auto& stored = lease_.stored();
    if (!stored || !lease_.holds()) return {std::max(first_window_, holder_.settled_below), {}};
    const auto all = [](std::uint64_t) { return true; };
    return reporter_.plan(
        clock_.at(now), now - std::max(lease_.held_since(), hearing_since_), stored->progress,
        [this](std::int64_t window) { return complete(window); },
        [&](std::int64_t window) { return zones_.sum(window, all).counts; });
}

bool usage_duty::candidate(time_ms now) const {
    if (leaving_ || !fleet_.first_choice || now - started_ < start_delay || now < retired_until_)
        return false;
    if (holder_heard_ && now - *holder_heard_ < holder_silence) return false;
    return !fleet_.isolated || now - isolated_since_.value_or(now) > max_candidate_isolation;
}

duty_lease::action usage_duty::next_store_call(time_ms now) {
    review_tenure(now);
    const auto progress = planned(now);
    const bool urgent =
        lease_.holds() && lease_.stored() && usage_reporter::urgent(lease_.stored()->progress, progress);
    return lease_.next(now, candidate(now), progress, urgent);
}

// Gives the duty up where another VM would perform it better.
void usage_duty::review_tenure(time_ms now) {
    if (!lease_.holds() || report_in_flight_) return;
    const bool isolated = isolated_since_ && now - *isolated_since_ > max_isolation &&
                          now - *isolated_since_ < max_candidate_isolation;
    const bool cut_off =
        !fleet_.peers.empty() && unanswered_since_ && now - *unanswered_since_ > max_unanswered;
    if (!leaving_ && !isolated && !cut_off) return;
    retired_until_ = now + retirement;
    lease_.release();
}

void usage_duty::on_store_answer(time_ms now) {
    if (lease_.holds() != was_holding_) {
        was_holding_ = lease_.holds();
        events_(was_holding_ ? "duty_taken" : "duty_lost", 0, static_cast<std::int64_t>(lease_.token()));
        if (was_holding_) unanswered_since_.reset();
    }
    if (!was_holding_) return;
    const auto& progress = lease_.stored()->progress;
    for (auto window = std::max(logged_fixed_below_, progress.next_window); window < progress.first_unfixed();
         ++window) {
        std::int64_t total = 0;
        for (const auto& [account, count] : progress.fixed.at(window))
            total += count;
        events_("usage_fixed", window, total);
    }
    logged_fixed_below_ = std::max(logged_fixed_below_, progress.first_unfixed());
    settle(progress.first_unfixed());
    if (lease_.may_act(now)) note_holder(now, notice(now));
}

void usage_duty::settle(std::int64_t below) {
    counter_.forget_below(below);
    zone_.forget_below(below);
    zones_.forget_below(below);
    to_collector_.forget_below(below);
    to_holder_.forget_below(below);
}

// A holder that cannot renew its lease stops to say that it holds it, so that others look at the lease.
bool usage_duty::renewed_lately(time_ms now) const {
    return lease_.may_act(now) && lease_.valid_until() - now > options_.term / 2;
}

// What is known of the holder, for others.
holder_notice usage_duty::notice(time_ms now) const {
    if (renewed_lately(now)) {
        return {options_.vm,    options_.address, source_,
                lease_.token(), time_ms{0},       lease_.stored()->progress.first_unfixed()};
    }
    auto known = holder_;
    if (holder_heard_) known.age = now - *holder_heard_;
    return known;
}

void usage_duty::note_holder(time_ms now, const holder_notice& heard) {
    settle(heard.settled_below);
    lease_.on_token(heard.token);
    if (heard.address.empty() || heard.token < holder_.token) return;
    const auto at = now - heard.age;
    // A new holder gets the counts at once.
    if (heard.source != holder_.source) next_push_ = now;
    const auto settled = std::max(heard.settled_below, holder_.settled_below);
    holder_ = heard;
    holder_.settled_below = settled;
    if (!holder_heard_ || at > *holder_heard_) holder_heard_ = at;
}

std::optional<time_ms> usage_duty::agreed_time(time_ms now) const {
    std::vector<time_ms> distances;
    for (const auto& [source, entry] : clock_distances_) {
        if (now - entry.second < clock_reading_lifetime) distances.push_back(entry.first);
    }
    const auto median = majority_median(std::move(distances));
    if (!median) return std::nullopt;
    return now + *median;
}

// Sends the counts of this VM to the collector of its zone.
void usage_duty::push(time_ms now, time_ms time_of_day, outgoing& out) {
    const auto chosen = collectors(options_.zone, 1);
    if (chosen.empty()) return;
    to_collector_.set_receiver(chosen.front().source);
    out.emplace_back(chosen.front().address, usage_push{source_, options_.address, false, time_of_day,
                                                        counter_.unsent(now, to_collector_)});
}

// Sends the sums of the zone to the holder.
void usage_duty::push_zone(time_ms now, time_ms time_of_day, outgoing& out) {
    if (!holder_heard_ || now - *holder_heard_ > holder_silence * 3) return;
    to_holder_.set_receiver(holder_.source);
    auto records = zone_.unsent([this](std::uint64_t sender) { return live_.contains(sender); }, to_holder_);
    if (records.empty()) return;
    out.emplace_back(holder_.address,
                     usage_push{source_, options_.address, true, time_of_day, std::move(records)});
}

void usage_duty::set_fleet(time_ms now, usage_fleet fleet) {
    fleet_ = std::move(fleet);
    live_.clear();
    live_.insert(source_);
    for (const auto& peer : fleet_.peers)
        live_.insert(peer.source);
    for (const auto source : live_)
        seen_[source] = now;
    std::erase_if(seen_, [now](const auto& entry) { return now - entry.second > seen_lifetime; });
    if (!fleet_.isolated) {
        isolated_since_.reset();
    } else if (!isolated_since_) {
        isolated_since_ = now;
    }
}

usage_duty::outgoing usage_duty::step(time_ms now, time_ms time_of_day) {
    outgoing out;
    if (now - last_step_ > max_step || fleet_.isolated) hearing_since_ = now;
    last_step_ = now;
    clock_.on_reading(now, time_of_day);
    // A window that has ended is reported at once.
    const auto window = counter_.window_at(now - push_interval / 4);
    if (now >= next_push_ || window != pushed_window_) {
        next_push_ = now + push_interval;
        pushed_window_ = window;
        push(now, time_of_day, out);
        push_zone(now, time_of_day, out);
    }
    if (renewed_lately(now) && now >= next_notice_) {
        next_notice_ = now + notice_interval;
        std::map<std::string, bool> zones{{options_.zone, true}};
        for (const auto& peer : fleet_.peers)
            zones[peer.zone] = true;
        for (const auto& [zone, known] : zones) {
            for (auto& told : collectors(zone, told_per_zone))
                out.emplace_back(std::move(told.address), notice(now));
        }
    }
    return out;
}

usage_duty::outgoing usage_duty::on_message(time_ms now, const usage_message& message) {
    if (const auto* push = std::get_if<usage_push>(&message)) return on_push(now, *push);
    if (const auto* answer = std::get_if<usage_acknowledgement>(&message)) return on_received(now, *answer);
    note_holder(now, std::get<holder_notice>(message));
    return {};
}

usage_duty::outgoing usage_duty::on_push(time_ms now, const usage_push& push) {
    // Only the holder keeps the sums of zones; the sender learns of another holder from the answer.
    const bool kept = !push.zone_sums || lease_.holds();
    auto& collection = push.zone_sums ? zones_ : zone_;
    usage_acknowledgement answer;
    answer.from = source_;
    answer.zone_sums = push.zone_sums;
    answer.holder = notice(now);
    if (kept) {
        for (const auto& record : push.records) {
            collection.put(push.from, record);
            answer.received.emplace_back(record.window, record.version);
        }
    }
    if (!push.zone_sums) {
        clock_distances_[push.from] = {push.time_of_day - now, now};
        std::erase_if(clock_distances_, [now](const auto& entry) {
            return now - entry.second.second >= clock_reading_lifetime;
        });
        answer.agreed_time = agreed_time(now).value_or(time_ms{0});
    }
    return {{push.address, std::move(answer)}};
}

usage_duty::outgoing usage_duty::on_received(time_ms now, const usage_acknowledgement& answer) {
    auto& outbox = answer.zone_sums ? to_holder_ : to_collector_;
    for (const auto& [window, version] : answer.received)
        outbox.on_acknowledged(answer.from, window, version);
    if (answer.agreed_time > time_ms{0}) clock_.on_agreement(now, answer.agreed_time);
    note_holder(now, answer.holder);
    return {};
}

std::optional<usage_duty::report> usage_duty::next_report(time_ms now) {
    if (report_in_flight_ || leaving_ || !lease_.may_act(now)) return std::nullopt;
    const auto& progress = lease_.stored()->progress;
    const auto window = reporter_.next_report(now, progress);
    if (!window) return std::nullopt;
    report_in_flight_ = true;
    report_token_ = lease_.token();
    report_window_ = *window;
    return report{*window, report_token_, progress.fixed.at(*window),
                  std::min(report_timeout, lease_.valid_until() - now)};
}

bool usage_duty::may_send(time_ms now) const {
    return report_in_flight_ && lease_.may_act(now) && lease_.token() == report_token_;
}

void usage_duty::on_report_end(time_ms now, report_end end) {
    report_in_flight_ = false;
    if (end != report_end::no_answer) unanswered_since_.reset();
    if (end == report_end::accepted) {
        reporter_.on_accepted(report_window_);
        last_reported_ = std::max(last_reported_, report_window_);
        const auto after = clock_.at(now) - options_.window * (report_window_ + 1);
        events_(after > options_.late ? "usage_late" : "usage_reported", report_window_, after.count);
        return;
    }
    if (end == report_end::no_answer && !unanswered_since_) unanswered_since_ = now;
    reporter_.on_failed(now);
    events_("usage_not_accepted", report_window_, reporter_.failures());
}

std::int64_t usage_duty::backlog(time_ms now) const {
    if (!lease_.holds()) return 0;
    return std::max<std::int64_t>(0, counter_.window_at(now) - lease_.stored()->progress.next_window);
}

} // namespace lacewing
