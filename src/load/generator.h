#pragma once

#include "load/result.h"
#include "state/configuration.h"
#include "transport/http_client.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lacewing::load {

/// @brief Configuration of a load run.
struct load_options {
    /// Caller addresses "ip:port" of VMs that answer lookups of entry VMs.
    std::vector<std::string> entries;
    configuration config;
    /// Key by account name; accounts without a key offer no load.
    std::map<std::string, std::string> keys;
    /// Offered rate as a fraction of the plan's rate.
    double rate_factor = 0.9;
    /// Offered rate by account name, in requests per second; replaces the fraction for this account.
    std::map<std::string, double> offered;
    double duration_s = 10;
    /// Body sizes in bytes, drawn with equal probability.
    std::vector<std::size_t> body_sizes{0, 200, 4000};
    std::uint64_t seed = 1;
    time_ms deadline{5000};
    /// Print a line of totals every second.
    bool progress = true;
};

/// @brief One VM in the answer to a lookup.
struct entry_vm {
    std::string address;
    /// Prefix that request ids sent to this VM must have.
    std::string id_prefix;
};

/// @brief Open-loop load generator for all accounts, on one thread.
class generator {
public:
    generator(boost::asio::io_context& loop, load_options options);

    /// @brief Offers load for the configured duration, then waits for the requests in flight.
    /// @throws std::runtime_error when the first lookup of an account still fails after 50 attempts, at least
    /// 10 s.
    boost::asio::awaitable<load_result> run();

private:
    struct caller;
    struct planned_request;
    struct answer_check;

    boost::asio::awaitable<bool> look_up(caller& caller_state);
    boost::asio::awaitable<void> refresh_entries(caller& caller_state);
    boost::asio::awaitable<void> offer_load(caller& caller_state);
    boost::asio::awaitable<void> send_request(caller& caller_state, planned_request request);
    boost::asio::awaitable<void> show_progress();
    boost::asio::awaitable<void> wait_until(std::chrono::steady_clock::time_point at);
    planned_request draw_request(caller& caller_state);
    void record(caller& caller_state, const planned_request& request, const std::string& outcome);
    http_client& client(const std::string& address);

    boost::asio::io_context& loop_;
    load_options options_;
    load_result result_;
    std::map<std::string, std::unique_ptr<http_client>> clients_;
    std::vector<std::shared_ptr<caller>> callers_;
    std::chrono::steady_clock::time_point start_;
    std::uint64_t in_flight_ = 0;
    std::uint64_t offering_callers_ = 0;
    bool stopped_ = false;
};

} // namespace lacewing::load
