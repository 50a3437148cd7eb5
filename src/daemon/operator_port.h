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

/// @brief HTTP server for operators, on its own thread; serves /metrics, /dump, /fleet and /healthz.
class operator_port {
public:
    /// @brief Functions that produce the answers. Each runs on the thread that owns the state it reads.
    struct sources {
        /// Context of the serve thread, on which serve_dump runs.
        boost::asio::io_context* serve = nullptr;
        std::function<std::string()> serve_dump;
        /// Context of the control thread, on which the functions below run.
        boost::asio::io_context* control = nullptr;
        std::function<std::string()> control_dump;
        std::function<std::string()> fleet;
        /// Returns "ready", or the reason why the process is not ready.
        std::function<std::string()> readiness;
    };

    /// @param listen_address "ip:port" to listen on.
    /// @throws boost::system::system_error when the address cannot be bound.
    operator_port(const std::string& listen_address, prometheus::Registry& registry, sources answer_sources);
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
    sources sources_;
    std::unique_ptr<http_server> server_;
    std::thread thread_;
};

} // namespace lacewing
