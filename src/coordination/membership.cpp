#include "coordination/membership.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <set>
#include <utility>

namespace lacewing {

namespace {

// Each change is sent this many times log2(members). SWIM uses three, with which a change reaches all members
// with high probability.
constexpr unsigned transmission_factor = 3;

// About 40 KB encoded.
constexpr std::size_t max_records_per_table_message = 200;

// Pings and relayed probes are forgotten after this time, so a later ack does not count as an answer.
constexpr time_ms request_retention{10'000};

// Time between the table requests of a joining process, and from a sample to the next request of a member.
constexpr time_ms pull_interval{1000};

// Lets all samples arrive before a joining process chooses the peers to ask for the table.
constexpr time_ms sample_delay{200};

// Limits table requests to unknown senders: the size of a table grows with the fleet, and a single unknown
// sender becomes known by gossip as well.
constexpr time_ms unknown_sender_pull_interval{30'000};

// The expiry scans the whole table, so it does not run at each tick. This delays a declaration of death by at
// most 5 % of the suspicion timeout.
constexpr time_ms expiry_interval{250};

bool is_listed_state(member_state state) {
    return state == member_state::alive || state == member_state::suspect;
}

peer_id peer_at_address(const std::string& address) {
    return {{}, {}, address, {}};
}

} // namespace

membership::membership(peer_id self, std::string caller_address, membership_settings settings,
                       std::uint64_t seed, time_ms now)
    : self_{std::move(self), std::move(caller_address), member_state::alive, 1, {}},
      settings_(std::move(settings)), random_(seed), started_at_(now), last_tick_(now), next_probe_(now),
      next_unlisted_contact_(now + settings_.unlisted_contact_interval), next_pull_(now) {
    // A random start, so that members do not send the same unchanged records at the same time.
    repair_position_ = static_cast<std::size_t>(random_() >> 1U);
}

std::vector<send_action> membership::tick(time_ms now) {
    std::vector<send_action> out;
    adjust_after_pause(now);
    last_tick_ = now;
    if (status_ == membership_status::fenced) {
        return out;
    }
    if (now >= next_expiry_) {
        next_expiry_ = now + expiry_interval;
        expire_members(now);
        expire_requests(now);
    }
    if (status_ == membership_status::joining && now >= next_pull_) {
        next_pull_ = now + pull_interval;
        if (now - started_at_ >= settings_.join_timeout) {
            status_ = membership_status::member;
            second_pull_ = now + settings_.second_pull_delay;
        }
        request_member_table(out);
    }
    if (second_pull_ && now >= *second_pull_) {
        second_pull_.reset();
        for (const auto& peer : random_members(1, self_.id.incarnation)) {
            out.push_back({peer, member_pull{self_}});
        }
    }
    advance_probe(now, out);
    if (now >= next_probe_ && !probe_) {
        start_probe(now, out);
    }
    if (now >= next_unlisted_contact_) {
        contact_unlisted_address(now, out);
    }
    return out;
}

// Fences this process after a long pause. After a shorter one, ends the running probe and restarts the
// suspicion timeouts, because answers of other members may still wait in the receive buffers.
void membership::adjust_after_pause(time_ms now) {
    const auto gap = now - last_tick_;
    if (gap >= settings_.pause_limit) {
        status_ = membership_status::fenced;
        return;
    }
    if (gap < settings_.probe_interval) {
        return;
    }
    probe_.reset();
    for (auto& [id, member] : table_) {
        if (member.suspected_at.count >= 0) {
            member.suspected_at = now;
        }
    }
}

membership_status membership::status(time_ms now) const {
    if (now - last_tick_ >= settings_.pause_limit) {
        return membership_status::fenced;
    }
    return status_;
}

std::vector<send_action> membership::receive(const peer_message& message, time_ms now) {
    std::vector<send_action> out;
    adjust_after_pause(now);
    if (status_ == membership_status::fenced) {
        return out;
    }
    std::visit(
        [&](const auto& payload) {
            using type = std::decay_t<decltype(payload)>;
            if constexpr (std::is_same_v<type, ping> || std::is_same_v<type, ack> ||
                          std::is_same_v<type, ping_request> || std::is_same_v<type, member_pull> ||
                          std::is_same_v<type, member_table>) {
                handle(message, payload, now, out);
            }
        },
        message.payload);
    return out;
}

void membership::handle(const peer_message& message, const ping& payload, time_ms now,
                        std::vector<send_action>& out) {
    const bool for_other = message.to != incarnation_id{} && message.to != self_.id.incarnation;
    if (!for_other) {
        merge(payload.probe.updates, now, true);
        pull_from_unknown_sender(message.from, now, out);
    }
    // Sent even if the ping was for another incarnation: the ack tells the sender that its target no longer
    // runs at this address.
    ack answer;
    answer.probe.sequence = payload.probe.sequence;
    // A ping without updates asks for an answer without unchanged records. A sender that is not listed as
    // alive gets them nevertheless, because it must learn how it is seen.
    const auto known = table_.find(message.from.incarnation);
    const bool sender_alive = known != table_.end() && known->second.record.state == member_state::alive;
    const bool repair = !payload.probe.updates.empty() || !sender_alive;
    answer.probe.updates = updates_for(message.from.incarnation, repair ? settings_.repair_updates : 0);
    out.push_back({message.from, std::move(answer)});
}

void membership::handle(const peer_message& message, const ack& payload, time_ms now,
                        std::vector<send_action>& out) {
    if (message.to != self_.id.incarnation) {
        return;
    }
    merge(payload.probe.updates, now, true);
    pull_from_unknown_sender(message.from, now, out);
    const auto sequence = payload.probe.sequence;
    if (const auto relay = relayed_probes_.find(sequence); relay != relayed_probes_.end()) {
        // An ack of another incarnation on the same address does not prove that the target is alive.
        if (relay->second.target != message.from.incarnation) {
            return;
        }
        ack answer;
        answer.probe.sequence = relay->second.sequence;
        answer.probe.updates = updates_for(relay->second.origin.incarnation, settings_.repair_updates);
        out.push_back({relay->second.origin, std::move(answer)});
        relayed_probes_.erase(relay);
        return;
    }
    if (const auto sent = outstanding_pings_.find(sequence); sent != outstanding_pings_.end()) {
        const auto& target = sent->second.target;
        const bool other_process = target.incarnation != incarnation_id{} &&
                                   message.from.address == target.address &&
                                   message.from.incarnation != target.incarnation;
        if (const auto target_member = table_.find(target.incarnation);
            other_process && target_member != table_.end()) {
            set_and_announce_state(target_member->second, member_state::dead, now);
        } else if (target_member != table_.end()) {
            // A leaving member is never marked as suspect; suspected_at alone records its silence.
            auto& member = target_member->second;
            if (member.record.state == member_state::leaving) {
                member.suspected_at = {-1};
            }
        }
        outstanding_pings_.erase(sent);
    }
    if (probe_ && probe_->sequence == sequence) {
        probe_.reset();
    }
}

void membership::handle(const peer_message& message, const ping_request& payload, time_ms now,
                        std::vector<send_action>& out) {
    if (message.to != self_.id.incarnation) {
        return;
    }
    merge(payload.updates, now, true);
    pull_from_unknown_sender(message.from, now, out);
    relayed_probes_[++sequence_] = {message.from, payload.sequence, payload.target.incarnation, now};
    ping probe;
    probe.probe.sequence = sequence_;
    probe.probe.updates = updates_for(payload.target.incarnation, settings_.repair_updates);
    out.push_back({payload.target, std::move(probe)});
}

void membership::handle(const peer_message& message, const member_pull& payload, time_ms now,
                        std::vector<send_action>& out) {
    if (message.to != incarnation_id{} && message.to != self_.id.incarnation) {
        return;
    }
    if (payload.self.id != message.from || message.from.incarnation == self_.id.incarnation) {
        return;
    }
    merge_record(payload.self, now, true);
    // A joining process has no complete table to give.
    const bool joining = status_ == membership_status::joining;
    if (joining || (table_.size() > settings_.sample_size && now < next_table_)) {
        member_table sample{{self_}, true};
        for (const auto& peer :
             random_members(joining ? 0 : settings_.sample_size, message.from.incarnation)) {
            sample.members.push_back(table_.at(peer.incarnation).record);
        }
        out.push_back({message.from, std::move(sample)});
        return;
    }
    next_table_ = now + settings_.table_interval;
    member_table part;
    part.members.push_back(self_);
    const auto flush = [&] {
        out.push_back({message.from, part});
        part.members.clear();
    };
    for (const auto& [id, member] : table_) {
        part.members.push_back(member.record);
        if (part.members.size() == max_records_per_table_message) {
            flush();
        }
    }
    if (!part.members.empty()) {
        flush();
    }
}

void membership::handle(const peer_message& message, const member_table& payload, time_ms now,
                        std::vector<send_action>& /*out*/) {
    if (message.to != self_.id.incarnation) {
        return;
    }
    if (payload.sample) {
        merge(payload.members, now, false);
        if (status_ != membership_status::joining) {
            second_pull_ = now + pull_interval;
        } else if (payload.members.size() > 1) {
            // Other members exist, so the time after which this process considers itself the only one starts
            // again.
            started_at_ = now;
            next_pull_ = std::min(next_pull_, now + sample_delay);
        }
        return;
    }
    if (status_ == membership_status::joining) {
        status_ = membership_status::member;
        const auto jitter =
            random_below(static_cast<std::uint64_t>(settings_.second_pull_delay.count) / 2 + 1);
        second_pull_ = now + settings_.second_pull_delay + time_ms{static_cast<std::int64_t>(jitter)};
        announce_self();
    }
    merge(payload.members, now, false);
}

// Requests the table of an unknown sender; the request also makes this process known to the sender.
void membership::pull_from_unknown_sender(const peer_id& sender, time_ms now, std::vector<send_action>& out) {
    if (sender.incarnation == self_.id.incarnation || table_.contains(sender.incarnation) ||
        now < next_unknown_sender_pull_) {
        return;
    }
    next_unknown_sender_pull_ = now + unknown_sender_pull_interval;
    out.push_back({sender, member_pull{self_}});
}

void membership::merge(const std::vector<member_record>& records, time_ms now, bool announce_new) {
    for (const auto& record : records) {
        merge_record(record, now, announce_new);
    }
}

void membership::merge_record(const member_record& record, time_ms now, bool announce_new) {
    if (record.id.incarnation == incarnation_id{}) {
        return;
    }
    if (record.id.incarnation == self_.id.incarnation) {
        refute_own_record(record);
        return;
    }
    const auto [position, inserted] = table_.try_emplace(record.id.incarnation);
    auto& member = position->second;
    if (inserted) {
        member.record = record;
        member.record.state = member_state::alive;
        invalidate_lists();
        set_state(member, record.state, now);
        if (announce_new) {
            announce(member);
        }
        return;
    }
    auto& known_record = member.record;
    known_record.revision = std::max(known_record.revision, record.revision);
    const bool newer = record.counter > known_record.counter ||
                       (record.counter == known_record.counter && record.state > known_record.state);
    if (!newer) {
        return;
    }
    known_record.counter = record.counter;
    set_state(member, record.state, now);
    announce(member);
}

// Refutes a suspicion or a declared death of this process with a higher counter. Others declare it dead when
// they cannot reach it, which does not end the incarnation; only a pause that it detects by its own clock
// does.
void membership::refute_own_record(const member_record& record) {
    if (record.counter < self_.counter || record.state == self_.state) {
        return;
    }
    self_.counter = record.counter + 1;
    announce_self();
}

void membership::set_state(entry& member, member_state state, time_ms now) {
    const bool was_suspect = member.record.state == member_state::suspect;
    member.record.state = state;
    if (state == member_state::suspect && !was_suspect) {
        member.suspected_at = now;
    }
    if (state == member_state::alive || state == member_state::leaving) {
        member.suspected_at = {-1};
    }
    if (state == member_state::dead) {
        member.suspected_at = {-1};
        member.dead_at = now;
    } else {
        member.dead_at = {-1};
    }
    invalidate_lists();
}

// Changes the state of a member by a decision of this process and announces the change.
void membership::set_and_announce_state(entry& member, member_state state, time_ms now) {
    if (member.record.state == state) {
        return;
    }
    set_state(member, state, now);
    announce(member);
}

unsigned membership::transmission_limit() const {
    return transmission_factor * static_cast<unsigned>(std::bit_width(table_.size() + 1));
}

void membership::announce(entry& member) {
    if (member.remaining_transmissions == 0) {
        recent_changes_.push_back(member.record.id.incarnation);
    }
    member.remaining_transmissions = transmission_limit();
}

void membership::announce_self() {
    remaining_own_transmissions_ = transmission_limit();
}

// Selects up to max_updates records in this order: the recipient's record unless it is alive, a change of
// this process, the newest changes of others, and up to `repair` other records, for members that missed an
// update.
std::vector<member_record> membership::updates_for(incarnation_id recipient, std::size_t repair) {
    std::vector<member_record> updates;
    if (const auto known = table_.find(recipient);
        known != table_.end() && known->second.record.state != member_state::alive) {
        updates.push_back(known->second.record);
    }
    if (remaining_own_transmissions_ > 0) {
        --remaining_own_transmissions_;
        updates.push_back(self_);
    }
    // The changes with the most remaining transmissions are the newest. Only as many as fit are sorted,
    // because there are hundreds after the whole fleet starts at once.
    std::vector<std::pair<unsigned, incarnation_id>> recent;
    recent.reserve(recent_changes_.size());
    for (const auto id : recent_changes_) {
        const auto known = table_.find(id);
        if (known != table_.end() && known->second.remaining_transmissions > 0) {
            recent.emplace_back(known->second.remaining_transmissions, id);
        }
    }
    const auto count =
        std::min(recent.size(), settings_.max_updates - std::min(updates.size(), settings_.max_updates));
    std::partial_sort(recent.begin(), recent.begin() + static_cast<std::ptrdiff_t>(count), recent.end(),
                      std::greater<>());
    for (std::size_t i = 0; i < count; ++i) {
        auto& member = table_.at(recent[i].second);
        --member.remaining_transmissions;
        if (recent[i].second != recipient) {
            updates.push_back(member.record);
        }
    }
    recent_changes_.clear();
    for (const auto& [remaining_transmissions, id] : recent) {
        if (table_.at(id).remaining_transmissions > 0) {
            recent_changes_.push_back(id);
        }
    }
    // members_ may be older than table_, so each entry is looked up again.
    const auto& all = members_;
    for (std::size_t i = 0; i < repair && !all.empty() && updates.size() < settings_.max_updates; ++i) {
        const auto& id = all[repair_position_++ % all.size()].incarnation;
        const auto known = table_.find(id);
        if (known != table_.end() && id != recipient) {
            updates.push_back(known->second.record);
        }
    }
    return updates;
}

bool membership::awaits_ack(incarnation_id target, time_ms now) const {
    return std::any_of(outstanding_pings_.rbegin(), outstanding_pings_.rend(), [&](const auto& item) {
        return item.second.target.incarnation == target &&
               now - item.second.sent_at < settings_.probe_interval;
    });
}

std::vector<member_record> membership::take_recent_changes() {
    return updates_for({}, 0);
}

send_action membership::make_ping(const peer_id& target, time_ms now, bool repair) {
    ping probe;
    probe.probe.sequence = ++sequence_;
    probe.probe.updates = updates_for(target.incarnation, repair ? settings_.repair_updates : 0);
    outstanding_pings_[sequence_] = {target, now};
    return {target, std::move(probe)};
}

std::optional<time_ms> membership::ping_sent_at(const peer_message& message) const {
    const auto* answer = std::get_if<ack>(&message.payload);
    if (answer == nullptr || message.to != self_.id.incarnation) {
        return std::nullopt;
    }
    const auto sent = outstanding_pings_.find(answer->probe.sequence);
    if (sent == outstanding_pings_.end()) {
        return std::nullopt;
    }
    const bool direct = sent->second.target.incarnation == message.from.incarnation;
    return direct ? std::optional(sent->second.sent_at) : std::nullopt;
}

void membership::note_revision(incarnation_id member, revision_id revision) {
    if (const auto known = table_.find(member); known != table_.end()) {
        known->second.record.revision = std::max(known->second.record.revision, revision);
    }
    if (member == self_.id.incarnation) {
        self_.revision = revision;
    }
}

// Probes the next member of a shuffled order, so that each member is probed once per round.
void membership::start_probe(time_ms now, std::vector<send_action>& out) {
    next_probe_ = now + settings_.probe_interval;
    for (int round = 0; round < 2; ++round) {
        while (!probe_order_.empty()) {
            const auto id = probe_order_.back();
            probe_order_.pop_back();
            const auto known = table_.find(id);
            if (known == table_.end() || known->second.record.state == member_state::dead) {
                continue;
            }
            const auto target = known->second.record.id;
            out.push_back(make_ping(target, now));
            probe_ = active_probe{target, sequence_, now, false};
            return;
        }
        for (const auto& [id, member] : table_) {
            if (member.record.state != member_state::dead) {
                probe_order_.push_back(id);
            }
        }
        std::sort(probe_order_.begin(), probe_order_.end());
        std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    }
}

void membership::advance_probe(time_ms now, std::vector<send_action>& out) {
    if (!probe_) {
        return;
    }
    if (now - probe_->sent_at >= settings_.probe_interval) {
        fail_probe(now);
        return;
    }
    if (probe_->indirect || now - probe_->sent_at < settings_.probe_timeout) {
        return;
    }
    probe_->indirect = true;
    for (const auto& helper : random_members(settings_.indirect_probes, probe_->target.incarnation)) {
        out.push_back({helper, ping_request{probe_->sequence, probe_->target,
                                            updates_for(helper.incarnation, settings_.repair_updates)}});
    }
}

// Starts the suspicion of the target after neither the direct nor an indirect probe was answered.
void membership::fail_probe(time_ms now) {
    const auto known = table_.find(probe_->target.incarnation);
    probe_.reset();
    if (known == table_.end()) {
        return;
    }
    auto& member = known->second;
    if (member.record.state == member_state::alive) {
        set_state(member, member_state::suspect, now);
    }
    if (member.record.state == member_state::leaving && member.suspected_at.count < 0) {
        member.suspected_at = now;
    }
}

void membership::expire_members(time_ms now) {
    std::vector<incarnation_id> expired_members;
    for (auto& [id, member] : table_) {
        if (member.suspected_at.count >= 0 && now - member.suspected_at >= settings_.suspicion_timeout) {
            set_and_announce_state(member, member_state::dead, now);
        }
        if (member.record.state == member_state::dead && now - member.dead_at >= settings_.dead_retention) {
            expired_members.push_back(id);
        }
    }
    for (const auto id : expired_members) {
        table_.erase(id);
    }
}

void membership::expire_requests(time_ms now) {
    std::erase_if(outstanding_pings_,
                  [&](const auto& item) { return now - item.second.sent_at > request_retention; });
    std::erase_if(relayed_probes_,
                  [&](const auto& item) { return now - item.second.sent_at > request_retention; });
}

// Pings a random seed, hinted address or dead member whose address no listed member has.
void membership::contact_unlisted_address(time_ms now, std::vector<send_action>& out) {
    next_unlisted_contact_ = now + settings_.unlisted_contact_interval / 2 +
                             time_ms{static_cast<std::int64_t>(random_below(
                                 static_cast<std::uint64_t>(settings_.unlisted_contact_interval.count)))};
    std::set<std::string> known{self_.id.address};
    for (const auto& member : members()) {
        known.insert(member.address);
    }
    std::vector<peer_id> candidates;
    for (const auto* list : {&settings_.seeds, &hints_}) {
        for (const auto& address : *list) {
            if (!known.contains(address)) {
                candidates.push_back(peer_at_address(address));
            }
        }
    }
    for (const auto& [id, member] : table_) {
        if (member.record.state == member_state::dead && !known.contains(member.record.id.address)) {
            candidates.push_back(member.record.id);
        }
    }
    if (candidates.empty()) {
        return;
    }
    std::sort(candidates.begin(), candidates.end());
    out.push_back(make_ping(candidates[random_below(candidates.size())], now));
}

void membership::request_member_table(std::vector<send_action>& out) {
    std::vector<std::string> addresses = settings_.seeds;
    addresses.insert(addresses.end(), hints_.begin(), hints_.end());
    for (const auto& member : members()) {
        if (member.incarnation != self_.id.incarnation) {
            addresses.push_back(member.address);
        }
    }
    std::erase(addresses, self_.id.address);
    std::shuffle(addresses.begin(), addresses.end(), random_);
    for (std::size_t i = 0; i < std::min<std::size_t>(2, addresses.size()); ++i) {
        out.push_back({peer_at_address(addresses[i]), member_pull{self_}});
    }
}

std::vector<peer_id> membership::random_members(std::size_t count, incarnation_id excluded) {
    const auto& all = members();
    std::vector<peer_id> chosen;
    for (std::size_t tries = 0; !all.empty() && tries < 8 * count && chosen.size() < count; ++tries) {
        const auto& candidate = all[random_below(all.size())];
        if (candidate.incarnation == excluded || candidate.incarnation == self_.id.incarnation) {
            continue;
        }
        if (std::find(chosen.begin(), chosen.end(), candidate) == chosen.end()) {
            chosen.push_back(candidate);
        }
    }
    return chosen;
}

void membership::set_hints(std::vector<std::string> peer_addresses) {
    hints_ = std::move(peer_addresses);
}

void membership::leave() {
    if (status_ == membership_status::fenced) {
        return;
    }
    status_ = membership_status::leaving;
    self_.state = member_state::leaving;
    ++self_.counter;
    invalidate_lists();
    announce_self();
}

std::vector<send_action> membership::announce_exit(time_ms now) {
    auto exit_record = self_;
    exit_record.state = member_state::dead;
    std::vector<send_action> out;
    for (const auto& peer : random_members(2 * settings_.indirect_probes, self_.id.incarnation)) {
        auto action = make_ping(peer, now);
        std::get<ping>(action.payload).probe.updates = {exit_record};
        out.push_back(std::move(action));
    }
    return out;
}

void membership::rejoin(incarnation_id incarnation, time_ms now) {
    auto old_record = self_;
    self_.id.incarnation = incarnation;
    self_.state = member_state::alive;
    self_.counter = 1;
    status_ = membership_status::joining;
    started_at_ = last_tick_ = next_probe_ = next_pull_ = next_expiry_ = now;
    probe_.reset();
    outstanding_pings_.clear();
    relayed_probes_.clear();
    invalidate_lists();
    // Suspicions from before the pause are out of date, so their timeouts start again.
    for (auto& [id, member] : table_) {
        if (member.suspected_at.count >= 0) {
            member.suspected_at = now;
        }
    }
    old_record.state = member_state::dead;
    merge_record(old_record, now, true);
}

void membership::start_as_member(const std::vector<member_record>& records, time_ms now) {
    status_ = membership_status::member;
    merge(records, now, false);
    for (auto& [id, member] : table_) {
        member.remaining_transmissions = 0;
    }
    recent_changes_.clear();
}

void membership::invalidate_lists() {
    lists_valid_ = false;
    ++version_;
}

void membership::rebuild_lists() const {
    members_.clear();
    zone_members_.clear();
    if (is_listed_state(self_.state)) {
        members_.push_back(self_.id);
    }
    for (const auto& [id, member] : table_) {
        if (is_listed_state(member.record.state)) {
            members_.push_back(member.record.id);
        }
    }
    std::sort(members_.begin(), members_.end());
    for (const auto& member : members_) {
        zone_members_[member.zone].push_back(member);
    }
    lists_valid_ = true;
}

const std::vector<peer_id>& membership::members() const {
    if (!lists_valid_) {
        rebuild_lists();
    }
    return members_;
}

const std::vector<peer_id>& membership::members_in_zone(const zone_name& zone) const {
    static const std::vector<peer_id> none;
    if (!lists_valid_) {
        rebuild_lists();
    }
    const auto found = zone_members_.find(zone);
    return found == zone_members_.end() ? none : found->second;
}

bool membership::is_alive(incarnation_id member) const {
    if (member == self_.id.incarnation) {
        return true;
    }
    const auto known = table_.find(member);
    return known != table_.end() && known->second.record.state == member_state::alive;
}

std::vector<member_record> membership::records() const {
    std::vector<member_record> all{self_};
    for (const auto& [id, member] : table_) {
        all.push_back(member.record);
    }
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    return all;
}

const member_record* membership::find(incarnation_id member) const {
    if (member == self_.id.incarnation) {
        return &self_;
    }
    const auto known = table_.find(member);
    return known == table_.end() ? nullptr : &known->second.record;
}

} // namespace lacewing
