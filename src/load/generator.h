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

struct load_options {
    /// Addresses of VMs that are asked for the entry list.
    std::vector<std::string> entries;
    configuration config;
    /// Key per account; an account without key offers no load.
    std::map<std::string, std::string> keys;
    /// Offered rate as a fraction of the rate of the plan.
    double rate_factor = 0.9;
    /// Offered rates of single accounts in requests per second; they replace the fraction.
    std::map<std::string, double> offered;
    double duration_s = 10;
    std::vector<std::size_t> body_sizes{0, 200, 4000};
    std::uint64_t seed = 1;
    time_ms deadline{5000};
    bool progress = true;
};

/// @brief VMs as named by the answer to a lookup.
struct entry_vm {
    std::string address;
    std::string id_prefix;
};

/// @brief Open-loop load of all accounts on one thread.
class generator {
public:
    generator(boost::asio::io_context& loop, load_options options);

    /// @brief Offers load for the duration, then waits for the requests in flight.
    /// @throws std::runtime_error when no VM answers a lookup within 10 s.
    boost::asio::awaitable<load_result> run();

private:
    struct caller;
    struct request_plan;
    struct answer_check;

    boost::asio::awaitable<bool> look_up(caller& from);
    boost::asio::awaitable<void> keep_entries(caller& from);
    boost::asio::awaitable<void> offer(caller& from);
    boost::asio::awaitable<void> send(caller& from, request_plan request);
    boost::asio::awaitable<void> show_progress();
    boost::asio::awaitable<void> wait_until(std::chrono::steady_clock::time_point at);
    request_plan draw_request(caller& from);
    void record(caller& from, const request_plan& request, const std::string& outcome);
    http_client& client(const std::string& address);

    boost::asio::io_context& loop_;
    load_options options_;
    load_result result_;
    std::map<std::string, std::unique_ptr<http_client>> clients_;
    std::vector<std::shared_ptr<caller>> callers_;
    std::chrono::steady_clock::time_point start_;
    std::uint64_t in_flight_ = 0;
    std::uint64_t offering_ = 0;
    bool stopped_ = false;
};

} // namespace lacewing::load
