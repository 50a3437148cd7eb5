#pragma once

#include "coordination/home_control.h"
#include "coordination/serving_snapshot.h"
#include "coordination/spread_node.h"
#include "daemon/thread_messages.h"
#include "protocol/peer_codec.h"
#include "state/settings.h"
#include "transport/peer_link.h"
#include "transport/ring.h"
#include "transport/store_client.h"

#include <utility>

#include <boost/asio.hpp>
#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace lacewing {

/// @brief Thread that talks to peers and to the store and decides what the serve thread uses.
class control_thread {
public:
    /// @throws boost::system::system_error when the peer address cannot be bound.
    control_thread(const process_settings& settings, const peer_id& self, const std::string& caller_address,
                   std::uint64_t seed, ring<serve_input>& to_serve,
                   std::function<std::size_t()> requests_in_flight);
    ~control_thread();
    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;
    control_thread(control_thread&&) = delete;
    control_thread& operator=(control_thread&&) = delete;

    ring<control_input>& input() { return input_; }
    [[nodiscard]] boost::asio::io_context& context() { return context_; }

    void start();
    void stop();
    /// @brief Begins a graceful stop; may be called by any thread.
    /// @param finished Called on the control thread when no request is in flight any more.
    void leave(std::function<void()> finished);

    // Only for calls on the thread of context().
    [[nodiscard]] std::string dump() const;
    [[nodiscard]] std::string fleet() const;
    /// @brief "ready", or why the process is not ready.
    [[nodiscard]] std::string readiness() const;

private:
    boost::asio::awaitable<void> tick_loop();
    boost::asio::awaitable<void> leave_steps(std::function<void()> finished);
    boost::asio::awaitable<void> call_store(store_action action);
    boost::asio::awaitable<void> write_roster(conditional_write write);
    boost::asio::awaitable<void> write_move(conditional_write write);
    void tick();
    void on_text(std::string_view text);
    void on_input(control_input input);
    void carry_out(const replica_actions& actions);
    void send(const send_action& action);
    void push(serve_input input);
    void flush_pending();
    void observe_rosters(const std::vector<std::string>& changed);
    void refresh_snapshot();
    void refresh_validity(time_ms now);
    [[nodiscard]] bool needs_sending(const key_validity& validity) const;
    void refresh_entries(time_ms now);
    void refresh_budgets(time_ms now);
    void return_freed_memory(time_ms now);
    void rejoin_if_fenced(time_ms now);
    void observe_moves(const std::vector<std::string>& changed);
    void refresh_moves(time_ms now);
    void offer_snapshot();

    boost::asio::io_context context_{1};
    process_settings settings_;
    std::string caller_address_;
    ring<serve_input>& to_serve_;
    std::function<std::size_t()> requests_in_flight_;
    ring<control_input> input_;
    peer_link link_;
    peer_decoder decoder_;
    coordination_node node_;
    store_client store_;
    snapshot_builder builder_;
    std::optional<home_control> homes_;
    std::optional<move_driver> moves_;
    std::vector<stopped_version> stopped_;
    std::string boot_id_;
    std::vector<zone_name> zones_;
    bool leaving_ = false;
    time_ms next_entries_;
    // States that did not fit into the ring; the newest of each kind is kept and sent again.
    std::shared_ptr<const serving_snapshot> unsent_snapshot_;
    std::optional<home_batch> unsent_homes_;
    std::optional<key_validity> sent_validity_;
    // What the last view of the entry VMs was built from.
    struct {
        std::shared_ptr<const serving_snapshot> snapshot;
        std::uint64_t version = 0;
        time_ms renew_at;
    } sent_entries_;
    // Only compared, never read through.
    const block_table* seen_blocks_ = nullptr;
    std::optional<time_ms> trim_at_;
    std::uint64_t bad_messages_ = 0;
    std::thread thread_;
};

} // namespace lacewing
