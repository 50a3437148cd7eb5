#pragma once

#include "fakes/endpoint/endpoint_behaviour.h"
#include "fakes/endpoint/endpoint_ledger.h"
#include "transport/http_server.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing::fakes {

class fake_endpoint;

/// @brief State shared by all endpoints of one process. The counters cover all endpoints.
struct endpoint_shared_state {
    endpoint_ledger ledger;
    std::mt19937_64 random_engine;
    /// Requests refused with 503 without execution.
    std::uint64_t shed_requests = 0;
    /// Connections reset because their endpoint had too many.
    std::uint64_t refused_connections = 0;
    /// Accepted requests whose body did not arrive completely.
    std::uint64_t aborted_uploads = 0;

    /// @brief True with the given probability.
    bool bernoulli(double probability) {
        return std::uniform_real_distribution<>(0, 1)(random_engine) < probability;
    }
};

/// @brief Fake endpoints of one process, with a common ledger and an admin port.
class endpoint_service {
public:
    /// @param listen One "ip:port" per endpoint; port 0 chooses a free port.
    /// @param admin "ip:port" of the admin port.
    /// @param seed Seed of the injected faults.
    endpoint_service(const boost::asio::any_io_executor& executor, const std::vector<std::string>& listen,
                     std::string_view admin, const endpoint_behaviour& behaviour, std::uint64_t seed);
    ~endpoint_service();
    endpoint_service(const endpoint_service&) = delete;
    endpoint_service& operator=(const endpoint_service&) = delete;
    endpoint_service(endpoint_service&&) = delete;
    endpoint_service& operator=(endpoint_service&&) = delete;

    [[nodiscard]] std::vector<std::string> addresses() const;
    [[nodiscard]] std::string admin_address() const { return admin_.address(); }
    [[nodiscard]] const endpoint_ledger& ledger() const { return shared_->ledger; }
    /// @brief Applies the change to the endpoint with the address in its member "endpoint", or to all
    /// endpoints without one. With "restart" true the endpoint is cold again.
    /// @throws error with error_kind::bad_request for an unknown field, a wrong type or an unknown address.
    void change_behaviour(const Json::Value& change);

    /// @brief Stops accepting, waits for the requests in flight and closes the admin port.
    boost::asio::awaitable<void> stop();

private:
    boost::asio::awaitable<http_response> handle_admin_request(http_request request);
    [[nodiscard]] std::string ledger_json(std::size_t first, std::size_t limit) const;
    [[nodiscard]] std::string summary_json(std::string_view search) const;

    boost::asio::any_io_executor executor_;
    std::shared_ptr<endpoint_shared_state> shared_;
    std::vector<std::shared_ptr<fake_endpoint>> endpoints_;
    http_server admin_;
};

} // namespace lacewing::fakes
