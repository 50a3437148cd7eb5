#pragma once

#include "coordination/account_limiter.h"
#include "coordination/catch_up.h"
#include "coordination/endpoint_registry.h"
#include "coordination/endpoint_selector.h"
#include "coordination/entry_pool.h"
#include "coordination/fleet_view.h"
#include "coordination/repeat_budget.h"
#include "coordination/report_relay.h"
#include "coordination/version_mover.h"
#include "gateway/caller_server.h"
#include "gateway/deadline_queue.h"
#include "gateway/duty_runner.h"
#include "gateway/peer_exchange.h"
#include "gateway/request_flow.h"
#include "gateway/store_mirror.h"
#include "platform/object_store.h"
#include "state/gateway_settings.h"
#include "transport/endpoint_connection_pool.h"
#include "transport/http_server.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lacewing {

/// @brief Process of an entry VM on the users' platform. One thread runs everything but the log, which has
/// its own thread: at a load of a fifth of a core, passing requests between threads costs more than it gains.
class gateway {
public:
    /// @param settings Settings of the process.
    /// @param settings_file Path of the settings file, read again on SIGHUP.
    /// @param seed Seed of all random choices; also the incarnation id of this process.
    /// @throws boost::system::system_error when an address cannot be bound.
    gateway(const gateway_settings& settings, std::string settings_file, std::uint64_t seed);

    /// @brief Serves until the graceful stop after SIGTERM or SIGINT has finished.
    void run();

private:
    void apply(const mirror_change& change);
    void apply_configuration(change_source source);
    void apply_endpoints(const mirror_change& change);
    void apply_moves();
    void apply_drains();
    void apply_registrations();
    void on_datagram(std::string_view datagram);
    void on_encoded_report(std::string_view text, bool direct);
    void on_report(const vm_report& report, bool direct);
    /// @param full Include addresses, store revisions and the usage of all accounts, which most reports leave
    /// out.
    [[nodiscard]] vm_report make_report(bool full, report_audience audience);
    void send_report(const std::string& address);
    void send_reports();
    void send_region_reports(bool full);
    void send_remote_reports(bool full);
    void catch_up_with(const vm_report& report);
    boost::asio::awaitable<void> fetch_snapshot(std::string address, std::string kind);
    boost::asio::awaitable<void> register_vm();
    void on_store_era(std::uint64_t era, bool first);
    boost::asio::awaitable<void> write_move(move_write write);
    boost::asio::awaitable<void> tick();
    boost::asio::awaitable<void> run_maintenance();
    void measure_load();
    [[nodiscard]] std::vector<std::string> entry_vms(time_ms now, std::string_view region) const;
    void log_shifts(time_ms now);
    boost::asio::awaitable<void> stop();
    boost::asio::awaitable<http_response> lookup(http_request request);
    boost::asio::awaitable<http_response> readiness(http_request request);
    [[nodiscard]] std::string metrics() const;
    [[nodiscard]] bool ready() const;
    void reload();

    gateway_settings settings_;
    std::string settings_file_;
    service_bounds bounds_;
    boost::asio::io_context context_;
    deadline_queue deadlines_;
    std::mt19937_64 random_;
    fleet_view fleet_;
    endpoint_registry registry_;
    endpoint_selector selector_;
    account_limiter limiter_;
    repeat_budget repeats_;
    version_mover moves_;
    endpoint_connection_pool pool_;
    request_flow flow_;
    platform::object_store store_;
    store_mirror mirror_;
    caller_server callers_;
    std::unique_ptr<peer_exchange> peers_;
    report_relay relay_;
    // Null when the settings call for no duty.
    std::unique_ptr<duty_runner> duty_;
    std::unique_ptr<http_server> ready_server_;
    std::unique_ptr<http_server> lookup_server_;
    std::unique_ptr<http_server> metrics_server_;
    catch_up catch_up_;
    snapshot_budget snapshot_budget_;
    // Peer addresses that were sent a report because of their registration in the store.
    std::set<std::string> contacted_peers_;
    // When this VM last learned of a change of the stored objects.
    time_ms revisions_changed_{0};
    std::uint64_t report_count_ = 0;
    // Last vm_report::sequence of this VM.
    std::uint64_t report_sequence_ = 0;
    std::uint64_t reports_received_ = 0;
    // Reports of other VMs that were dropped because a later one had arrived.
    std::uint64_t outdated_reports_ = 0;
    // How late the event loop handles events, as last measured; 0 when it is small.
    time_ms loop_lag_{0};
    // Smoothed part of the time that events wait for the event loop, in thousandths.
    double busy_permille_ = 0;
    // As last logged: how many VMs callers of this region are told, and whether this VM watches the store
    // closely.
    std::size_t listed_vms_ = 0;
    bool watches_store_ = false;
    bool leaving_ = false;
};

} // namespace lacewing
