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
    bool outage = false;
    /// During an outage calls are left without an answer instead of being refused with 503.
    bool silent = false;
    time_ms delay;
    /// Fraction of writes whose connection is closed without an answer after the write took effect.
    double lose_answers = 0;
};

struct store_stats {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t lost_answers = 0;
    std::uint64_t pending_watches = 0;
};

/// @brief Counts calls in the last complete seconds.
class call_rate {
public:
    void add(time_ms now);
    /// @return Mean over the last 10 complete seconds, or over the complete seconds since the first call.
    [[nodiscard]] double per_second(time_ms now) const;

private:
    static constexpr std::int64_t window = 10;
    std::array<std::int64_t, window + 1> counts_{};
    std::array<std::int64_t, window + 1> seconds_{};
    std::int64_t first_second_ = -1;
};

/// @brief The platform's store API over an object table, with fault injection.
class store_service {
public:
    store_service(const boost::asio::any_io_executor& executor, std::string_view listen, std::uint64_t seed);

    [[nodiscard]] std::string address() const { return server_.address(); }
    [[nodiscard]] const store_stats& stats() const { return stats_; }
    [[nodiscard]] object_table& table() { return table_; }
    void set_faults(const store_faults& faults);
    /// @brief Calls that wait for a change, the end of a delay or the end of a silent outage.
    [[nodiscard]] std::size_t waiting_calls() const { return waiting_.size(); }

    /// @brief Answers pending watches and ends when all connections are closed.
    boost::asio::awaitable<void> stop();

private:
    boost::asio::awaitable<http_response> answer(http_request request);
    boost::asio::awaitable<void> apply_faults();
    boost::asio::awaitable<http_response> watch(std::string prefix, revision_id after, time_ms wait);
    boost::asio::awaitable<void> wait_for_change(time_ms until);
    http_response administer(const http_request& request, std::string_view path);
    http_response read_or_list(std::string_view path, std::string_view prefix);
    http_response write(const http_request& request, std::string_view key);
    [[nodiscard]] std::string stats_json() const;
    void wake_waiting();

    boost::asio::any_io_executor executor_;
    object_table table_;
    store_faults faults_;
    store_stats stats_;
    call_rate calls_;
    call_rate write_calls_;
    std::mt19937_64 random_;
    std::string vms_ = R"({"vms":[]})";
    std::unordered_set<boost::asio::steady_timer*> waiting_;
    bool stopping_ = false;
    http_server server_;
};

} // namespace lacewing::fakes
