#include "coordination/route_table.h"

#include "state/key_digest.h"

#include <algorithm>
#include <cctype>

namespace lacewing {

namespace {

std::string normalized_host(std::string_view host) {
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos) {
        host = host.substr(0, colon);
    }
    std::string result(host);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return result;
}

bool same_parts(const std::vector<weighted_service>& a, const std::vector<weighted_service>& b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) {
        return x.service == y.service && x.weight == y.weight;
    });
}

} // namespace

route_table::route_table(std::shared_ptr<const service_configuration> configuration)
    : configuration_(std::move(configuration)) {
    for (const auto& route : configuration_->routes)
        by_host_[route.host].push_back(&route);
    for (auto& [host, routes] : by_host_) {
        std::stable_sort(routes.begin(), routes.end(), [](const auto* a, const auto* b) {
            return a->path_prefix.size() > b->path_prefix.size();
        });
    }
    for (const auto& account : configuration_->accounts) {
        for (const auto& key : account.keys)
            by_key_[key] = &account;
    }
}

const host_route* route_table::find(std::string_view host, std::string_view path) const {
    const auto found = by_host_.find(normalized_host(host));
    if (found == by_host_.end()) return nullptr;
    const auto path_without_query = path.substr(0, path.find('?'));
    for (const auto* route : found->second) {
        if (path_without_query.starts_with(route->path_prefix)) return route;
    }
    return nullptr;
}

const service_account* route_table::account_of(std::string_view key) const {
    const auto digest = digest_of(key);
    const auto found = by_key_.find(std::string(digest.bytes.begin(), digest.bytes.end()));
    return found == by_key_.end() ? nullptr : found->second;
}

const backend_service* route_table::service(const std::string& name) const {
    const auto found = configuration_->services.find(name);
    return found == configuration_->services.end() ? nullptr : &found->second;
}

bool region_filter::allows(std::string_view region) const {
    const auto matches = [region](const std::vector<region_name>& regions) {
        return regions.empty() || std::any_of(regions.begin(), regions.end(), [region](const auto& allowed) {
                   return allowed.value == region;
               });
    };
    return matches(route_regions_) && matches(account_regions_);
}

const std::string& weighted_service_selector::choose(const host_route& route) {
    if (route.parts.size() == 1) return route.parts.front().service;
    auto& entry = routes_[route.name.value];
    if (!same_parts(entry.parts, route.parts)) {
        entry.parts = route.parts;
        entry.credit.assign(route.parts.size(), 0.0);
    }
    double total = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < entry.parts.size(); ++i) {
        entry.credit[i] += entry.parts[i].weight;
        total += entry.parts[i].weight;
        if (entry.credit[i] > entry.credit[best]) best = i;
    }
    entry.credit[best] -= total;
    return route.parts[best].service;
}

} // namespace lacewing
