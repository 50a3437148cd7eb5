#pragma once

#include <utility>

#include "fakes/endpoint/endpoint_behaviour.h"
#include "fakes/endpoint/endpoint_service.h"
#include "state/time_ms.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_set>

namespace lacewing::fakes {

/// @brief One connection of a caller to a fake endpoint.
struct endpoint_connection {
    explicit endpoint_connection(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted)), work(socket.get_executor()) {}

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    /// Ends when the simulated work is done, and early when the caller closes the connection.
    boost::asio::steady_timer work;
    bool cancelled = false;
    bool idle = true;
};

/// @brief One endpoint of section 5.5: slots, cold start, load report, shedding, cancellation and faults.
class fake_endpoint : public std::enable_shared_from_this<fake_endpoint> {
public:
    fake_endpoint(const boost::asio::any_io_executor& executor, std::string_view listen,
                  const endpoint_behaviour& behaviour, std::shared_ptr<endpoint_shared> shared);

    /// @brief Accepts connections until close is called.
    boost::asio::awaitable<void> accept_all();
    /// @brief Stops accepting and closes idle connections.
    void close();

    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] endpoint_behaviour& behaviour() { return behaviour_; }
    [[nodiscard]] std::int64_t in_flight() const { return in_flight_; }
    /// @brief Starts the delay of a version fault again, and the cold phase on a restart.
    void behaviour_changed(bool restart);
    [[nodiscard]] std::string summary_json() const;

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
    using connection_ptr = std::shared_ptr<endpoint_connection>;

    /// What was received of one request.
    struct exchange {
        std::string request_id;
        std::string account;
        std::string target;
        std::uint64_t body_bytes = 0;
        std::uint64_t body_hash = 0;
        time_ms deadline;
    };

    boost::asio::awaitable<void> serve(connection_ptr peer);
    boost::asio::awaitable<bool> serve_one(connection_ptr peer);
    boost::asio::awaitable<bool> read_body(connection_ptr peer, request_parser& parser, exchange& request);
    boost::asio::awaitable<execution_state> execute(connection_ptr peer, const exchange& request);
    boost::asio::awaitable<bool> refuse(connection_ptr peer, request_parser& parser);
    boost::asio::awaitable<bool> answer(connection_ptr peer, const exchange& request, execution_state state,
                                        bool keep_alive);
    boost::asio::awaitable<bool> answer_with_fault(connection_ptr peer, http_response& answer);
    boost::asio::awaitable<bool> write(connection_ptr peer, http_response& answer);
    boost::asio::awaitable<void> write_without_end(connection_ptr peer);
    [[nodiscard]] bool version_fault_active(const exchange& request) const;
    [[nodiscard]] time_ms service_time(const exchange& request) const;
    [[nodiscard]] double load_report();

    boost::asio::ip::tcp::acceptor acceptor_;
    std::string address_;
    endpoint_behaviour behaviour_;
    std::shared_ptr<endpoint_shared> shared_;
    std::unordered_set<connection_ptr> peers_;
    std::int64_t in_flight_ = 0;
    std::int64_t peak_in_flight_ = 0;
    std::int64_t peak_connections_ = 0;
    std::uint64_t executed_ = 0;
    time_ms last_started_;
    time_ms started_;
    time_ms behaviour_set_;
    time_ms load_read_;
    double load_ = 0;
};

} // namespace lacewing::fakes
