#pragma once

#include "daemon/serve_state.h"
#include "daemon/thread_messages.h"
#include "transport/ring.h"

#include <atomic>
#include <string>
#include <thread>

namespace lacewing {

/// @brief Thread that accepts caller connections and serves their requests.
class serve_thread {
public:
    /// @throws boost::system::system_error when the caller address cannot be bound.
    serve_thread(const process_settings& settings, const peer_id& self, std::uint64_t seed,
                 prometheus::Registry& registry);
    ~serve_thread();
    serve_thread(const serve_thread&) = delete;
    serve_thread& operator=(const serve_thread&) = delete;
    serve_thread(serve_thread&&) = delete;
    serve_thread& operator=(serve_thread&&) = delete;

    /// @brief Sets the ring for messages to the control thread. Must be called once, before start().
    void connect_output(ring<control_input>& to_control) { to_control_ = &to_control; }
    /// @brief Ring for messages of the control thread.
    ring<serve_input>& input() { return input_; }

    void start();
    /// @brief Ends the thread at once and cuts requests in flight; for a graceful stop, call
    /// control_thread::leave() first.
    void stop();

    [[nodiscard]] boost::asio::io_context& context() { return context_; }
    /// @brief State of the request path. Must be used on the thread of context() only.
    serve_state& state() { return state_; }
    /// @brief Address that callers connect to, with the port that was bound.
    [[nodiscard]] std::string caller_address() const { return caller_address_; }
    /// @brief Requests in flight; may be read by any thread.
    [[nodiscard]] std::size_t requests_in_flight() const { return state_.busy_connections(); }

private:
    boost::asio::awaitable<void> accept_callers();
    boost::asio::awaitable<void> tick_loop();
    void send_to_control(control_input message);

    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor acceptor_{context_};
    std::string caller_address_;
    serve_state state_;
    ring<serve_input> input_;
    ring<control_input>* to_control_ = nullptr;
    std::thread thread_;
};

} // namespace lacewing
