#pragma once

#include "coordination/coordination_node.h"
#include "coordination/home_control.h"
#include "coordination/serving_snapshot.h"
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

/// @brief Thread that exchanges messages with the peers and the store and sends the serve thread the
/// configuration, keys, shares and entry VMs to use.
class control_thread {
public:
    /// @param caller_address Address that callers use, announced to the fleet.
    /// @param seed Seed of the random choices.
    /// @param requests_in_flight Returns the number of requests in flight; called on the control thread.
    /// @throws boost::system::system_error when the peer address cannot be bound.
    control_thread(const process_settings& settings, const peer_id& self, const std::string& caller_address,
                   std::uint64_t seed, ring<serve_input>& to_serve,
                   std::function<std::size_t()> requests_in_flight);
    ~control_thread();
    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;
    control_thread(control_thread&&) = delete;
    control_thread& operator=(control_thread&&) = delete;

    /// @brief Ring for messages of the serve thread.
    ring<control_input>& input() { return input_; }
    [[nodiscard]] boost::asio::io_context& context() { return context_; }

    void start();
    void stop();
    /// @brief Starts a graceful stop; may be called by any thread.
    /// @param finished Called on the control thread when no request is in flight any more and the roster
    /// entry of this VM is removed or could not be removed in time.
    void leave(std::function<void()> finished);

    // The functions below must be called on the thread of context().

    /// @brief Returns the state of the control thread as JSON, for the operator port's /dump.
    [[nodiscard]] std::string dump() const;
    /// @brief Returns the known members of the fleet as JSON, for the operator port's /fleet.
    [[nodiscard]] std::string fleet() const;
    /// @brief Returns "ready", or the reason why the process is not ready.
    [[nodiscard]] std::string readiness() const;

private:
    boost::asio::awaitable<void> tick_loop();
    boost::asio::awaitable<void> run_graceful_stop(std::function<void()> finished);
    boost::asio::awaitable<void> call_store(store_action action);
    boost::asio::awaitable<void> write_roster(conditional_write write);
    boost::asio::awaitable<void> write_move(conditional_write write);
    void tick();
    void on_peer_text(std::string_view text);
    void on_serve_message(control_input input);
    void execute_actions(const replica_actions& actions);
    void send(const send_action& action);
    void push_to_serve(serve_input input);
    void send_unsent_states();
    void observe_rosters(const std::vector<std::string>& changed);
    void refresh_snapshot();
    void refresh_validity(time_ms now);
    [[nodiscard]] bool should_send_validity(const key_validity& validity) const;
    void refresh_entry_view(time_ms now);
    void refresh_shares(time_ms now);
    void return_freed_memory(time_ms now);
    void rejoin_if_fenced(time_ms now);
    void observe_moves(const std::vector<std::string>& changed);
    void refresh_moves(time_ms now);
    void apply_stopped_versions();

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
    snapshot_builder snapshot_builder_;
    std::optional<home_control> home_control_;
    std::optional<move_driver> move_driver_;
    // Versions that have a share of 0 in the snapshot made last.
    std::vector<stopped_version> stopped_;
    std::string boot_id_;
    std::vector<zone_name> zones_;
    bool leaving_ = false;
    time_ms next_refresh_;
    // States that are still to be sent to the serve thread, because the ring was full; only the newest of
    // each kind is kept.
    std::shared_ptr<const serving_snapshot> unsent_snapshot_;
    std::optional<home_batch> unsent_home_batch_;
    std::optional<key_validity> sent_validity_;
    // Inputs of the entry view sent last, and the time at which it is rebuilt even if they are unchanged.
    struct {
        std::shared_ptr<const serving_snapshot> snapshot;
        std::uint64_t members_version = 0;
        time_ms rebuild_at;
    } sent_entry_view_;
    // Block table for which freed memory was last scheduled for return. Only compared, never dereferenced.
    const block_table* last_seen_blocks_ = nullptr;
    // Time at which freed memory is returned to the operating system.
    std::optional<time_ms> trim_at_;
    std::uint64_t rejected_messages_ = 0;
    std::thread thread_;
};

} // namespace lacewing
