#pragma once

#include "state/service_model.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief Index of the routes and accounts of one configuration, for lookups by each request.
class route_table {
public:
    explicit route_table(std::shared_ptr<const service_configuration> configuration);

    /// @brief Finds the route of the host with the longest matching path prefix.
    /// @param host Value of the Host header; the port and letter case are ignored.
    /// @param path Path of the request target; the query is ignored.
    /// @return Null when no route matches.
    [[nodiscard]] const host_route* find(std::string_view host, std::string_view path) const;

    /// @brief Finds the account that a key belongs to.
    /// @return Null for an unknown key.
    [[nodiscard]] const service_account* account_of(std::string_view key) const;

    [[nodiscard]] const service_configuration& configuration() const { return *configuration_; }
    /// @return Null for an unknown service.
    [[nodiscard]] const backend_service* service(const std::string& name) const;

private:
    std::shared_ptr<const service_configuration> configuration_;
    // Routes by lower-case host, longest prefix first.
    std::unordered_map<std::string, std::vector<const host_route*>> by_host_;
    // Accounts by the digest of their keys.
    std::unordered_map<std::string, const service_account*> by_key_;
};

/// @brief Regions in which both the route and the account allow a request to be handled. It refers to the
/// lists passed to the constructor, which must outlive it; an empty list allows all regions.
class region_filter {
public:
    region_filter(const std::vector<region_name>& route, const std::vector<region_name>& account)
        : route_regions_(route), account_regions_(account) {}
    [[nodiscard]] bool allows(std::string_view region) const;
    [[nodiscard]] bool restricted() const { return !route_regions_.empty() || !account_regions_.empty(); }

private:
    const std::vector<region_name>& route_regions_;
    const std::vector<region_name>& account_regions_;
};

/// @brief Spreads the requests of a route over its services in proportion to their weights.
///
/// Smooth weighted round robin: after every request the count of each service is within one request of its
/// share, so the shares also hold over short windows and while one of the services refuses requests.
class weighted_service_selector {
public:
    /// @brief Chooses the service for the next request of a route. A change of the weights restarts the
    /// sequence.
    const std::string& choose(const host_route& route);

private:
    struct state {
        std::vector<weighted_service> parts;
        std::vector<double> credit;
    };
    std::unordered_map<std::string, state> routes_;
};

} // namespace lacewing
