#include "coordination/membership.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <set>
#include <utility>

namespace lacewing {

namespace {

// Each change is sent this many times log2(members); SWIM uses three, with which a change reaches all members
// with high probability.
constexpr unsigned transmission_factor = 3;

// Records in one member_table message, about 40 KB encoded.
constexpr std::size_t table_part = 200;

// An ack that arrives later than this is of no use.
constexpr time_ms request_retention{10'000};

constexpr time_ms pull_interval{1000};

// Lets all samples arrive before a joining process chooses whom to ask for the table.
constexpr time_ms sample_delay{200};

// A table costs in proportion to the fleet, and a single unknown sender becomes known by gossip as well.
constexpr time_ms meeting_interval{30'000};

// Walks the whole table, so not at each tick; it delays a verdict by at most 5 % of the suspicion.
constexpr time_ms expiry_interval{250};

bool listed(member_state state) {
    return state == member_state::alive || state == member_state::suspect;
}

peer_id address_only(const std::string& address) {
    return {{}, {}, address, {}};
}

} // namespace

membership::membership(peer_id self, std::string caller_address, membership_settings settings,
                       std::uint64_t seed, time_ms now)
    : self_{std::move(self), std::move(caller_address), member_state::alive, 1, {}},
      settings_(std::move(settings)), random_(seed), started_at_(now), last_tick_(now), next_probe_(now),
      next_hint_(now + settings_.hint_interval), next_pull_(now) {
    // Members must not repair the same records at the same time.
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
        contact_seeds(out);
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
    if (now >= next_hint_) {
        contact_hint(now, out);
    }
    return out;
}

// A short pause must not turn into verdicts about others whose answers wait in the receive buffers.
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
        meet_sender(message.from, now, out);
    }
    // The ack of another incarnation tells the sender that its target no longer runs at this address.
    ack answer;
    answer.probe.sequence = payload.probe.sequence;
    // A ping without updates asks for a short answer, unless the sender must learn how it is seen.
    const auto known = table_.find(message.from.incarnation);
    const bool trusted_sender = known != table_.end() && known->second.record.state == member_state::alive;
    const bool repair = !payload.probe.updates.empty() || !trusted_sender;
    answer.probe.updates = updates_for(message.from.incarnation, repair ? settings_.repair_updates : 0);
    out.push_back({message.from, std::move(answer)});
}

void membership::handle(const peer_message& message, const ack& payload, time_ms now,
                        std::vector<send_action>& out) {
    if (message.to != self_.id.incarnation) {
        return;
    }
    merge(payload.probe.updates, now, true);
    meet_sender(message.from, now, out);
    const auto sequence = payload.probe.sequence;
    if (const auto relay = relayed_.find(sequence); relay != relayed_.end()) {
        // A successor on the same address does not prove that the target is alive.
        if (relay->second.target != message.from.incarnation) {
            return;
        }
        ack answer;
        answer.probe.sequence = relay->second.sequence;
        answer.probe.updates = updates_for(relay->second.origin.incarnation, settings_.repair_updates);
        out.push_back({relay->second.origin, std::move(answer)});
        relayed_.erase(relay);
        return;
    }
    if (const auto sent = outstanding_.find(sequence); sent != outstanding_.end()) {
        const auto& target = sent->second.target;
        const bool other_process = target.incarnation != incarnation_id{} &&
                                   message.from.address == target.address &&
                                   message.from.incarnation != target.incarnation;
        if (const auto replaced = table_.find(target.incarnation);
            other_process && replaced != table_.end()) {
            declare(replaced->second, member_state::dead, now);
        } else if (replaced != table_.end()) {
            // A leaving member has no suspect state; its silence is tracked only here.
            auto& member = replaced->second;
            if (member.record.state == member_state::leaving) {
                member.suspected_at = {-1};
            }
        }
        outstanding_.erase(sent);
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
    meet_sender(message.from, now, out);
    relayed_[++sequence_] = {message.from, payload.sequence, payload.target.incarnation, now};
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
        if (part.members.size() == table_part) {
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
            // There is a fleet, so this process is not its only member.
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

// Asks an unknown sender for its table, which also makes this process known to it.
void membership::meet_sender(const peer_id& sender, time_ms now, std::vector<send_action>& out) {
    if (sender.incarnation == self_.id.incarnation || table_.contains(sender.incarnation) ||
        now < next_meeting_) {
        return;
    }
    next_meeting_ = now + meeting_interval;
    out.push_back({sender, member_pull{self_}});
}

void membership::merge(const std::vector<member_record>& records, time_ms now, bool news) {
    for (const auto& record : records) {
        merge_record(record, now, news);
    }
}

void membership::merge_record(const member_record& record, time_ms now, bool news) {
    if (record.id.incarnation == incarnation_id{}) {
        return;
    }
    if (record.id.incarnation == self_.id.incarnation) {
        merge_own(record);
        return;
    }
    const auto [position, inserted] = table_.try_emplace(record.id.incarnation);
    auto& member = position->second;
    if (inserted) {
        member.record = record;
        member.record.state = member_state::alive;
        invalidate_lists();
        set_state(member, record.state, now);
        if (news) {
            announce(member);
        }
        return;
    }
    auto& held = member.record;
    held.revision = std::max(held.revision, record.revision);
    const bool newer =
        record.counter > held.counter || (record.counter == held.counter && record.state > held.state);
    if (!newer) {
        return;
    }
    held.counter = record.counter;
    set_state(member, record.state, now);
    announce(member);
}

// Refutes a suspicion or a declared death of this process with a higher counter. Others declare it dead when
// they cannot reach it; only a pause of its own, which it detects by its clock, ends an incarnation.
void membership::merge_own(const member_record& record) {
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

// Changes the state on this process's own judgement and spreads it.
void membership::declare(entry& member, member_state state, time_ms now) {
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
    if (member.transmissions == 0) {
        news_.push_back(member.record.id.incarnation);
    }
    member.transmissions = transmission_limit();
}

void membership::announce_self() {
    own_transmissions_ = transmission_limit();
}

// Up to max_updates records: what concerns the recipient, this process, the newest changes, then some for
// repair.
std::vector<member_record> membership::updates_for(incarnation_id recipient, std::size_t repair) {
    std::vector<member_record> updates;
    if (const auto known = table_.find(recipient);
        known != table_.end() && known->second.record.state != member_state::alive) {
        updates.push_back(known->second.record);
    }
    if (own_transmissions_ > 0) {
        --own_transmissions_;
        updates.push_back(self_);
    }
    // The least transmitted changes are the most recent ones. Only as many as fit are put in order: after a
    // common start of the fleet there are hundreds.
    std::vector<std::pair<unsigned, incarnation_id>> recent;
    recent.reserve(news_.size());
    for (const auto id : news_) {
        const auto known = table_.find(id);
        if (known != table_.end() && known->second.transmissions > 0) {
            recent.emplace_back(known->second.transmissions, id);
        }
    }
    const auto count =
        std::min(recent.size(), settings_.max_updates - std::min(updates.size(), settings_.max_updates));
    std::partial_sort(recent.begin(), recent.begin() + static_cast<std::ptrdiff_t>(count), recent.end(),
                      std::greater<>());
    for (std::size_t i = 0; i < count; ++i) {
        auto& member = table_.at(recent[i].second);
        --member.transmissions;
        if (recent[i].second != recipient) {
            updates.push_back(member.record);
        }
    }
    news_.clear();
    for (const auto& [transmissions, id] : recent) {
        if (table_.at(id).transmissions > 0) {
            news_.push_back(id);
        }
    }
    // The list may be older than the table; each entry is looked up again.
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
    return std::any_of(outstanding_.rbegin(), outstanding_.rend(), [&](const auto& item) {
        return item.second.target.incarnation == target &&
               now - item.second.sent_at < settings_.probe_interval;
    });
}

std::vector<member_record> membership::take_news() {
    return updates_for({}, 0);
}

send_action membership::make_ping(const peer_id& target, time_ms now, bool repair) {
    ping probe;
    probe.probe.sequence = ++sequence_;
    probe.probe.updates = updates_for(target.incarnation, repair ? settings_.repair_updates : 0);
    outstanding_[sequence_] = {target, now};
    return {target, std::move(probe)};
}

std::optional<time_ms> membership::request_time(const peer_message& message) const {
    const auto* answer = std::get_if<ack>(&message.payload);
    if (answer == nullptr || message.to != self_.id.incarnation) {
        return std::nullopt;
    }
    const auto sent = outstanding_.find(answer->probe.sequence);
    if (sent == outstanding_.end()) {
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
    for (int rounds = 0; rounds < 2; ++rounds) {
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

// Suspects the target of a probe that nobody could get an answer for.
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
    std::vector<incarnation_id> forgotten;
    for (auto& [id, member] : table_) {
        if (member.suspected_at.count >= 0 && now - member.suspected_at >= settings_.suspicion) {
            declare(member, member_state::dead, now);
        }
        if (member.record.state == member_state::dead && now - member.dead_at >= settings_.dead_retention) {
            forgotten.push_back(id);
        }
    }
    for (const auto id : forgotten) {
        table_.erase(id);
    }
}

void membership::expire_requests(time_ms now) {
    std::erase_if(outstanding_,
                  [&](const auto& item) { return now - item.second.sent_at > request_retention; });
    std::erase_if(relayed_, [&](const auto& item) { return now - item.second.sent_at > request_retention; });
}

// Contacts one address at which a member may run that this process does not list.
void membership::contact_hint(time_ms now, std::vector<send_action>& out) {
    next_hint_ = now + settings_.hint_interval / 2 +
                 time_ms{static_cast<std::int64_t>(
                     random_below(static_cast<std::uint64_t>(settings_.hint_interval.count)))};
    std::set<std::string> known{self_.id.address};
    for (const auto& member : members()) {
        known.insert(member.address);
    }
    std::vector<peer_id> candidates;
    for (const auto* list : {&settings_.seeds, &hints_}) {
        for (const auto& address : *list) {
            if (!known.contains(address)) {
                candidates.push_back(address_only(address));
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

void membership::contact_seeds(std::vector<send_action>& out) {
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
        out.push_back({address_only(addresses[i]), member_pull{self_}});
    }
}

std::vector<peer_id> membership::random_members(std::size_t count, incarnation_id except) {
    const auto& all = members();
    std::vector<peer_id> chosen;
    for (std::size_t tries = 0; !all.empty() && tries < 8 * count && chosen.size() < count; ++tries) {
        const auto& candidate = all[random_below(all.size())];
        if (candidate.incarnation == except || candidate.incarnation == self_.id.incarnation) {
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
    auto last = self_;
    last.state = member_state::dead;
    std::vector<send_action> out;
    for (const auto& peer : random_members(2 * settings_.indirect_probes, self_.id.incarnation)) {
        auto action = make_ping(peer, now);
        std::get<ping>(action.payload).probe.updates = {last};
        out.push_back(std::move(action));
    }
    return out;
}

void membership::rejoin(incarnation_id incarnation, time_ms now) {
    auto old = self_;
    self_.id.incarnation = incarnation;
    self_.state = member_state::alive;
    self_.counter = 1;
    status_ = membership_status::joining;
    started_at_ = last_tick_ = next_probe_ = next_pull_ = next_expiry_ = now;
    probe_.reset();
    outstanding_.clear();
    relayed_.clear();
    invalidate_lists();
    // Suspicions from before the pause say nothing about the present.
    for (auto& [id, member] : table_) {
        if (member.suspected_at.count >= 0) {
            member.suspected_at = now;
        }
    }
    old.state = member_state::dead;
    merge_record(old, now, true);
}

void membership::start_as_member(const std::vector<member_record>& records, time_ms now) {
    status_ = membership_status::member;
    merge(records, now, false);
    for (auto& [id, member] : table_) {
        member.transmissions = 0;
    }
    news_.clear();
}

void membership::invalidate_lists() {
    lists_valid_ = false;
    ++version_;
}

void membership::rebuild_lists() const {
    members_.clear();
    zone_members_.clear();
    if (listed(self_.state)) {
        members_.push_back(self_.id);
    }
    for (const auto& [id, member] : table_) {
        if (listed(member.record.state)) {
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

const std::vector<peer_id>& membership::members_of(const zone_name& zone) const {
    static const std::vector<peer_id> none;
    if (!lists_valid_) {
        rebuild_lists();
    }
    const auto found = zone_members_.find(zone);
    return found == zone_members_.end() ? none : found->second;
}

bool membership::trusted(incarnation_id member) const {
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
