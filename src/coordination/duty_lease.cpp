#include "coordination/duty_lease.h"

#include <algorithm>

namespace lacewing {

namespace {

// Renewals within one term, so that one or two may be lost.
constexpr std::int64_t renewals_per_term = 3;
// Pause between the reads of a VM that waits for a lease to end.
constexpr time_ms observe_interval{700};
// Pause after a call without an answer.
constexpr time_ms retry_pause{300};

} // namespace

bool duty_lease::own(const duty_record& record) const {
    return record.holder == vm_ && record.incarnation == incarnation_;
}

// Whether the known lease may be taken by another write.
bool duty_lease::may_take(time_ms now) const {
    // The former process of this VM has ended, unless it follows this one.
    if (stored_->holder == vm_ && stored_->incarnation != incarnation_ && !ever_held_) return true;
    const auto& previous = stored_->previous;
    const bool held_before =
        stored_->holder == vm_ || std::find(previous.begin(), previous.end(), vm_) != previous.end();
    if (stored_->released && !held_before) return true;
    return now - unchanged_since_ > term_ + takeover_margin;
}

// Lease with this VM as its new holder.
duty_record duty_lease::taken_record() const {
    duty_record made;
    made.holder = vm_;
    made.incarnation = incarnation_;
    auto highest = highest_token_;
    if (stored_) {
        made.renewals = stored_->renewals + 1;
        made.progress = stored_->progress;
        highest = std::max(highest, stored_->token);
        made.previous = stored_->previous;
        if (stored_->holder != vm_) made.previous.insert(made.previous.begin(), stored_->holder);
        std::erase(made.previous, vm_);
        if (made.previous.size() > max_previous) made.previous.resize(max_previous);
    }
    made.token = std::max(highest, era_ << era_shift) + 1;
    return made;
}

duty_lease::action duty_lease::next(time_ms now, bool candidate, const duty_progress& progress, bool urgent) {
    if (in_flight_) return {};
    action chosen;
    if (holding_ && !must_read_) {
        if (now < next_call_ && !urgent && !releasing_) return {};
        if (now < last_sent_ + retry_pause && now < next_call_) return {};
        chosen.kind = action::call::replace;
        chosen.record = *stored_;
        ++chosen.record.renewals;
        chosen.record.released = releasing_;
        chosen.record.progress = progress;
        chosen.revision = revision_;
    } else {
        watching_ = watching_ || candidate;
        if (!holding_ && !watching_) return {};
        if (!must_read_ && candidate && absent_) {
            chosen.kind = action::call::create;
            chosen.record = taken_record();
            chosen.record.progress = progress;
        } else if (!must_read_ && stored_ && !holding_ && may_take(now)) {
            chosen.kind = action::call::replace;
            chosen.record = taken_record();
            chosen.revision = revision_;
        } else {
            if (now < next_call_) return {};
            chosen.kind = action::call::read;
        }
    }
    in_flight_ = true;
    last_sent_ = now;
    last_ = chosen;
    return chosen;
}

void duty_lease::set_holding(time_ms now, bool holding) {
    if (holding && !holding_) held_since_ = now;
    ever_held_ = ever_held_ || holding;
    if (!holding) {
        releasing_ = false;
        valid_until_ = time_ms{0};
    }
    holding_ = holding;
}

void duty_lease::on_read(time_ms now, std::optional<duty_record> record, std::uint64_t revision) {
    in_flight_ = false;
    must_read_ = false;
    absent_ = !record;
    next_call_ = now + observe_interval;
    if (!record) {
        stored_.reset();
        set_holding(now, false);
        return;
    }
    const bool known = stored_.has_value();
    const bool changed = !known || revision != revision_;
    if (changed) unchanged_since_ = now;
    // Somebody else renews it.
    if (known && changed) watching_ = false;
    stored_ = std::move(record);
    revision_ = revision;
    on_token(stored_->token);
    // A lease that this process has taken by a write without an answer becomes valid with its next renewal.
    const bool held = own(*stored_) && !stored_->released;
    set_holding(now, held);
    if (held) next_call_ = now;
}

void duty_lease::on_written(time_ms now, std::uint64_t revision) {
    in_flight_ = false;
    absent_ = false;
    must_read_ = false;
    stored_ = last_.record;
    revision_ = revision;
    on_token(stored_->token);
    unchanged_since_ = now;
    if (stored_->released) {
        set_holding(now, false);
        watching_ = false;
        return;
    }
    set_holding(now, true);
    valid_until_ = last_sent_ + term_;
    next_call_ = last_sent_ + term_ / renewals_per_term;
}

void duty_lease::on_conflict(time_ms now) {
    in_flight_ = false;
    must_read_ = true;
    next_call_ = now;
}

void duty_lease::on_no_answer(time_ms now) {
    in_flight_ = false;
    next_call_ = now + retry_pause;
    // A first write that may have taken effect must be found before another one is made.
    if (!holding_) must_read_ = true;
}

void duty_lease::release() {
    if (holding_) releasing_ = true;
}

} // namespace lacewing
