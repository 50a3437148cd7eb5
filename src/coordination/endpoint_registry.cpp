#include "coordination/endpoint_registry.h"

#include <algorithm>

namespace lacewing {

void recent_objects::add(std::uint32_t object) {
    if (!objects_.insert(object).second) {
        const auto found = std::find(order_.begin(), order_.end(), object);
        order_.erase(found);
    }
    order_.push_back(object);
    if (order_.size() <= capacity) return;
    objects_.erase(order_.front());
    order_.pop_front();
}

void recent_objects::clear() {
    order_.clear();
    objects_.clear();
}

void endpoint_registry::detach(const endpoint_state& endpoint) {
    auto& list = by_service_[endpoint.registration.service];
    std::erase_if(list, [&endpoint](const auto& item) { return item.get() == &endpoint; });
    const auto by_tag_entry = by_tag_.find(endpoint.tag);
    if (by_tag_entry != by_tag_.end() && by_tag_entry->second.get() == &endpoint) by_tag_.erase(by_tag_entry);
    const auto by_process_entry = by_process_.find(endpoint.process);
    if (by_process_entry != by_process_.end() && by_process_entry->second.get() == &endpoint)
        by_process_.erase(by_process_entry);
}

void endpoint_registry::put(time_ms now, const endpoint_registration& registration) {
    auto& entry = by_id_[registration.id.value];
    if (entry != nullptr) {
        if (registration.revision < entry->registration.revision) return;
        const auto& known = entry->registration;
        const bool restarted = known.started_unix_ms != registration.started_unix_ms ||
                               known.address != registration.address || known.service != registration.service;
        if (!restarted) {
            entry->registration = registration;
            entry->expires.reset();
            if (registration.warmup_left > time_ms{0}) {
                entry->cold_until = now + registration.warmup_left + cold_margin;
            }
            return;
        }
        detach(*entry);
    }
    entry = std::make_shared<endpoint_state>();
    entry->registration = registration;
    entry->tag = hash_tag(registration.id.value);
    entry->process = hash_process(registration.id.value, registration.started_unix_ms);
    const auto region = zone_regions_.find(registration.zone.value);
    entry->region = region == zone_regions_.end() ? "" : region->second;
    entry->region_tag = hash_tag(entry->region);
    entry->joined = now;
    if (registration.warmup_left > time_ms{0}) {
        entry->cold_until = now + registration.warmup_left + cold_margin;
    }
    const auto removed = removed_.find(registration.id.value);
    if (removed != removed_.end()) {
        if (removed->second.started_unix_ms == registration.started_unix_ms) {
            entry->limit = removed->second.limit;
            entry->notice = removed->second.notice;
        }
        removed_.erase(removed);
    }
    by_service_[registration.service].push_back(entry);
    by_tag_[entry->tag] = entry;
    by_process_[entry->process] = entry;
}

void endpoint_registry::remove(time_ms now, const std::string& id, std::optional<time_ms> return_by) {
    const auto found = by_id_.find(id);
    if (found == by_id_.end()) return;
    if (return_by && now < *return_by && !found->second->registration.draining) {
        if (!found->second->expires) found->second->expires = return_by;
        return;
    }
    const auto& endpoint = *found->second;
    if (endpoint.limit.per_s() || endpoint.notice.in_force(now))
        removed_[id] = {endpoint.registration.started_unix_ms, endpoint.limit, endpoint.notice, now};
    detach(*found->second);
    by_id_.erase(found);
}

void endpoint_registry::expire(time_ms now) {
    std::vector<std::string> ended;
    for (const auto& [id, state] : by_id_) {
        if (state->expires && now >= *state->expires) ended.push_back(id);
    }
    for (const auto& id : ended)
        remove(now, id);
    std::erase_if(removed_,
                  [now](const auto& entry) { return now - entry.second.removed > removed_word_time; });
}

void endpoint_registry::set_drained_zones(time_ms now, std::set<std::string> zones, time_ms warmup) {
    for (const auto& [id, state] : by_id_) {
        const auto& zone = state->registration.zone.value;
        if (drained_zones_.contains(zone) && !zones.contains(zone)) {
            state->cold_until = std::max(state->cold_until, now + warmup + cold_margin);
        }
    }
    drained_zones_ = std::move(zones);
}

std::span<const std::shared_ptr<endpoint_state>>
endpoint_registry::endpoints_of_service(const std::string& service) const {
    const auto found = by_service_.find(service);
    if (found == by_service_.end()) return {};
    return found->second;
}

std::shared_ptr<endpoint_state> endpoint_registry::find(const std::string& id) const {
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : found->second;
}

std::size_t endpoint_registry::endpoints_without_requests(time_ms now) const {
    return static_cast<std::size_t>(std::count_if(by_id_.begin(), by_id_.end(), [now](const auto& entry) {
        return entry.second->notice.in_force(now);
    }));
}

std::size_t endpoint_registry::limited_endpoint_count() const {
    return static_cast<std::size_t>(std::count_if(by_id_.begin(), by_id_.end(), [](const auto& entry) {
        return entry.second->limit.per_s().has_value();
    }));
}

void endpoint_registry::fill(time_ms now, vm_report& report, report_audience audience, bool full) const {
    const auto index = static_cast<std::size_t>(audience);
    for (const auto& [id, state] : by_id_) {
        if (!state->in_flight.empty()) {
            report.in_flight.emplace_back(state->tag, static_cast<int>(state->in_flight.size()));
        }
        const auto& objects = state->unreported_objects[index];
        if (!objects.empty()) report.objects.emplace_back(state->tag, objects);
        if (auto limit = state->limit.report(now, audience, full)) {
            limit->endpoint = state->tag;
            report.limits.push_back(*limit);
        }
        if (state->notice.reports_leaving(now, full)) report.leaving_endpoints.push_back(state->process);
    }
}

void endpoint_registry::clear_unreported(report_audience audience) {
    for (const auto& [id, state] : by_id_) {
        state->unreported_objects[static_cast<std::size_t>(audience)].clear();
        state->limit.clear_unreported(audience);
    }
}

void endpoint_registry::on_limit(time_ms now, endpoint_state& endpoint, std::optional<double> per_s) {
    const auto before = endpoint.limit.current();
    if (endpoint.limit.on_answer(now, per_s) && on_limit_change) on_limit_change(now, endpoint, before, {});
}

void endpoint_registry::on_report(time_ms now, const std::string& vm, const vm_report& report) {
    auto& known = reported_in_flight_[vm];
    for (const auto& [tag, count] : known) {
        const auto found = by_tag_.find(tag);
        if (found == by_tag_.end()) continue;
        found->second->others_in_flight_by_vm_reports =
            std::max(0, found->second->others_in_flight_by_vm_reports - count);
    }
    known = report.in_flight;
    for (const auto& [tag, count] : known) {
        const auto found = by_tag_.find(tag);
        if (found != by_tag_.end()) found->second->others_in_flight_by_vm_reports += count;
    }
    for (const auto& limit : report.limits) {
        const auto found = by_tag_.find(limit.endpoint);
        if (found == by_tag_.end()) continue;
        const auto before = found->second->limit.current();
        if (found->second->limit.on_report(now, limit) && on_limit_change)
            on_limit_change(now, *found->second, before, vm);
    }
    for (const auto process : report.leaving_endpoints) {
        const auto found = by_process_.find(process);
        if (found != by_process_.end() && found->second->notice.on_reported_leaving() && on_reported_leaving)
            on_reported_leaving(*found->second, vm);
    }
    for (const auto& [tag, objects] : report.objects) {
        const auto found = by_tag_.find(tag);
        if (found == by_tag_.end()) continue;
        for (const auto object : objects)
            found->second->warm_objects.add(object);
    }
}

} // namespace lacewing
