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
        : socket(std::move(accepted)), work_timer(socket.get_executor()) {}

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    /// Expires when the simulated work is done; cancelled when the caller closes the connection.
    boost::asio::steady_timer work_timer;
    /// The caller closed the connection while its request executed.
    bool cancelled = false;
    /// Last answer or refusal, for answer_fault::repeat_previous.
    std::string previous_answer;
    /// Waits for the header of the next request; close() closes idle connections.
    bool idle = true;
};

/// @brief One simulated endpoint with slots, cold start, load reports, shedding, cancellation and injected
/// faults.
class fake_endpoint : public std::enable_shared_from_this<fake_endpoint> {
public:
    fake_endpoint(const boost::asio::any_io_executor& executor, std::string_view listen,
                  const endpoint_behaviour& behaviour, std::shared_ptr<endpoint_shared_state> shared);

    /// @brief Accepts connections until close is called.
    boost::asio::awaitable<void> accept_all();
    /// @brief Stops accepting and closes idle connections.
    void close();

    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] endpoint_behaviour& behaviour() { return behaviour_; }
    [[nodiscard]] std::int64_t in_flight() const { return in_flight_; }
    /// @brief Restarts the delay of a version fault and, if restart is true, the time during which the
    /// endpoint is cold.
    void on_behaviour_changed(bool restart);
    [[nodiscard]] std::string summary_json() const;

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
    using connection_ptr = std::shared_ptr<endpoint_connection>;

    /// Fields of a received request, with size and XXH64 hash of its body.
    struct received_request {
        std::string request_id;
        std::string account;
        std::string target;
        /// Value of attempt_header.
        std::string attempt_tag;
        std::uint64_t body_bytes = 0;
        std::uint64_t body_hash = 0;
        time_ms deadline;
    };

    // The functions with a bool result return false when the connection must be closed.
    boost::asio::awaitable<void> serve_connection(connection_ptr connection);
    boost::asio::awaitable<bool> serve_request(connection_ptr connection);
    boost::asio::awaitable<bool> read_body(connection_ptr connection, request_parser& parser,
                                           received_request& request);
    boost::asio::awaitable<execution_state> execute(connection_ptr connection,
                                                    const received_request& request);
    boost::asio::awaitable<bool> refuse(connection_ptr connection, request_parser& parser);
    boost::asio::awaitable<bool> send_answer(connection_ptr connection, const received_request& request,
                                             execution_state state, bool keep_alive);
    boost::asio::awaitable<bool> send_damaged_answer(connection_ptr connection, http_response& response);
    boost::asio::awaitable<bool> write_response(connection_ptr connection, http_response& response);
    boost::asio::awaitable<void> write_endlessly(connection_ptr connection, std::string repeated);
    [[nodiscard]] bool version_fault_active(const received_request& request) const;
    [[nodiscard]] time_ms service_time(const received_request& request) const;
    [[nodiscard]] double reported_load();

    boost::asio::ip::tcp::acceptor acceptor_;
    std::string address_;
    endpoint_behaviour behaviour_;
    std::shared_ptr<endpoint_shared_state> shared_;
    std::unordered_set<connection_ptr> connections_;
    std::int64_t in_flight_ = 0;
    std::int64_t peak_in_flight_ = 0;
    std::int64_t peak_connections_ = 0;
    std::uint64_t executed_ = 0;
    time_ms last_execution_started_;
    time_ms started_at_;
    time_ms behaviour_changed_at_;
    time_ms load_updated_at_;
    double reported_load_ = 0;
};

} // namespace lacewing::fakes
