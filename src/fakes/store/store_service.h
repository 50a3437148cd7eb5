#pragma once

#include "fakes/store/object_table.h"
#include "state/time_ms.h"
#include "transport/http_server.h"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <unordered_set>

namespace lacewing::fakes {

/// @brief Faults that tests inject into the fake store.
struct store_faults {
    /// Calls fail with 503.
    bool outage = false;
    /// During an outage, calls get no answer at all instead of a 503.
    bool silent = false;
    /// Delay of every call.
    time_ms delay;
    /// Fraction of successful writes after which the connection is closed without an answer.
    double lose_answers = 0;
};

/// @brief Calls since the start, and the number of pending watches.
struct store_stats {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t lost_answers = 0;
    std::uint64_t pending_watches = 0;
};

/// @brief Rate of calls over the last complete seconds.
class call_rate {
public:
    void add(time_ms now);
    /// @return Mean over the last 10 complete seconds, or over the complete seconds since the first call.
    [[nodiscard]] double per_second(time_ms now) const;

private:
    static constexpr std::int64_t window_s = 10;
    // One slot per second of the window and one for the running second; slot_seconds_ holds the second that
    // a slot counts.
    std::array<std::int64_t, window_s + 1> counts_{};
    std::array<std::int64_t, window_s + 1> slot_seconds_{};
    std::int64_t first_second_ = -1;
};

/// @brief Serves the platform's store API from an object table, with fault injection.
class store_service {
public:
    /// @param listen "ip:port"; port 0 chooses a free port.
    /// @param seed Seed of the injected faults.
    store_service(const boost::asio::any_io_executor& executor, std::string_view listen, std::uint64_t seed);

    [[nodiscard]] std::string address() const { return server_.address(); }
    [[nodiscard]] const store_stats& stats() const { return stats_; }
    [[nodiscard]] object_table& table() { return table_; }
    void set_faults(const store_faults& faults);
    /// @brief Number of calls that wait for a write, the end of a delay or the end of a silent outage.
    [[nodiscard]] std::size_t waiting_calls() const { return waiting_timers_.size(); }

    /// @brief Answers pending watches and completes when all connections are closed.
    boost::asio::awaitable<void> stop();

private:
    boost::asio::awaitable<http_response> handle_request(http_request request);
    boost::asio::awaitable<void> apply_faults();
    boost::asio::awaitable<http_response> watch(std::string prefix, revision_id after, time_ms wait);
    boost::asio::awaitable<void> wait_for_wakeup(time_ms until);
    http_response handle_admin_request(const http_request& request, std::string_view path);
    http_response read_or_list(std::string_view path, std::string_view prefix);
    http_response write(const http_request& request, std::string_view key);
    [[nodiscard]] std::string stats_json() const;
    void wake_waiting_calls();

    boost::asio::any_io_executor executor_;
    object_table table_;
    store_faults faults_;
    store_stats stats_;
    call_rate call_rate_;
    call_rate write_rate_;
    std::mt19937_64 random_;
    std::string vms_json_ = R"({"vms":[]})";
    std::unordered_set<boost::asio::steady_timer*> waiting_timers_;
    bool stopping_ = false;
    http_server server_;
};

} // namespace lacewing::fakes
