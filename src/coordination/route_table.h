#pragma once

#include "state/service_model.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief Routes and accounts of one configuration, indexed for the request path.
class route_table {
public:
    explicit route_table(std::shared_ptr<const service_configuration> configuration);

    /// @brief The route with the longest prefix among those of the host.
    /// @param host Value of the Host header; a port and letter case are ignored.
    /// @param path Path of the target; a query is ignored.
    /// @return Null when no route matches.
    [[nodiscard]] const host_route* find(std::string_view host, std::string_view path) const;

    /// @brief The account that holds a key.
    /// @return Null for a key of nobody.
    [[nodiscard]] const service_account* account_of(std::string_view key) const;

    [[nodiscard]] const service_configuration& configuration() const { return *configuration_; }
    [[nodiscard]] const backend_service* service(const std::string& name) const;

private:
    std::shared_ptr<const service_configuration> configuration_;
    // Routes of one host, longest prefix first.
    std::unordered_map<std::string, std::vector<const host_route*>> by_host_;
    std::unordered_map<std::string, const service_account*> by_key_;
};

/// @brief Regions in which both a route and an account allow a request to be handled.
class region_filter {
public:
    region_filter(const std::vector<region_name>& route, const std::vector<region_name>& account)
        : route_(route), account_(account) {}
    [[nodiscard]] bool allows(std::string_view region) const;
    [[nodiscard]] bool restricted() const { return !route_.empty() || !account_.empty(); }

private:
    const std::vector<region_name>& route_;
    const std::vector<region_name>& account_;
};

/// @brief Spreads the requests of a route over its services in the proportion of their weights.
///
/// Smooth weighted round robin: after every request each service is within one request of its share, so the
/// shares also hold over short windows and while one of the services refuses requests.
class weighted_service_selector {
public:
    /// @brief Service of the next request of a route.
    const std::string& choose(const host_route& route);

private:
    struct state {
        std::vector<traffic_part> parts;
        std::vector<double> credit;
    };
    std::unordered_map<std::string, state> routes_;
};

} // namespace lacewing
