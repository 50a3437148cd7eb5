#pragma once

#include "transport/http_server.h"

#include <utility>

#include <boost/asio.hpp>
#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace lacewing {

/// @brief Thread that answers operators: /metrics, /dump, /fleet and /healthz.
class operator_port {
public:
    /// @brief Texts that the port passes on. Each is produced on the thread that owns the state.
    struct sources {
        boost::asio::io_context* serve = nullptr;
        std::function<std::string()> serve_dump;
        boost::asio::io_context* control = nullptr;
        std::function<std::string()> control_dump;
        std::function<std::string()> fleet;
        /// Why the process is not ready, or an empty text.
        std::function<std::string()> not_ready;
    };

    /// @throws boost::system::system_error when the address cannot be bound.
    operator_port(const std::string& listen, prometheus::Registry& registry, sources from);
    ~operator_port();
    operator_port(const operator_port&) = delete;
    operator_port& operator=(const operator_port&) = delete;
    operator_port(operator_port&&) = delete;
    operator_port& operator=(operator_port&&) = delete;

    void start();
    void stop();
    [[nodiscard]] std::string address() const { return server_->address(); }

private:
    boost::asio::awaitable<http_response> answer(http_request request);
    [[nodiscard]] std::string metrics() const;

    boost::asio::io_context context_{1};
    prometheus::Registry& registry_;
    sources from_;
    std::unique_ptr<http_server> server_;
    std::thread thread_;
};

} // namespace lacewing
