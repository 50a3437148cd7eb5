#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio.hpp>

namespace lacewing::testing {

/// @brief What an endpoint does with a request that is meant for it.
enum class endpoint_conduct : std::uint8_t {
    /// Runs it and answers 200.
    answers,
    /// Runs it and answers 200 twice.
    answers_twice,
    /// Runs it and answers 500.
    fails,
    /// Runs it and answers 408, 429 or 503 without the statement that it was not run.
    answers_like_a_refusal,
    /// States that it did not run the request.
    refuses,
    /// States it before it has read the body.
    refuses_early,
    /// Runs it and closes the connection without an answer.
    loses_answer,
    /// Runs it and ends the answer within its head.
    cuts_answer,
    /// Runs it and takes longer than any caller waits.
    is_slow,
    /// Runs it and sends bytes that are no answer, without end, until the caller closes.
    sends_endless_bytes,
    /// Runs it and stops within a long answer, until the caller closes.
    stops_in_answer,
};

/// @brief How endpoints behave; shares are between 0 and 1.
struct endpoint_faults {
    /// Conducts, each as likely as it occurs often.
    std::vector<endpoint_conduct> conducts{endpoint_conduct::answers};
    /// Share of requests before whose answer the last refusal on the connection is written once more.
    double repeated_refusals = 0;
    /// Share of new connections that begin with a refusal that names no request.
    double refusals_on_accept = 0;
    /// Longest time for running a request, in milliseconds.
    int max_service_ms = 0;
    /// Pause after each repetition of endless bytes, in milliseconds; 0 for as fast as the caller reads.
    int endless_pause_ms = 0;
};

/// @brief Endpoint processes with faults, on addresses that successive processes share. Keeps a record of
/// what was run. Faults are a function of the seed and the request, not of timing.
class unreliable_endpoints {
public:
    /// @param host IPv4 address to listen on.
    unreliable_endpoints(std::string host, std::uint64_t seed, endpoint_faults faults);
    ~unreliable_endpoints();
    unreliable_endpoints(const unreliable_endpoints&) = delete;
    unreliable_endpoints& operator=(const unreliable_endpoints&) = delete;
    unreliable_endpoints(unreliable_endpoints&&) = delete;
    unreliable_endpoints& operator=(unreliable_endpoints&&) = delete;

    /// @brief Opens an address with a process.
    /// @param id Id of the process; requests that expect another one get 421.
    /// @return "ip:port".
    std::string open(const std::string& id);
    /// @brief Ends the process at an address, with its connections, and starts another one there.
    void restart(const std::string& address, const std::string& id);
    /// @brief Number of times each request was run, by attempt id.
    [[nodiscard]] std::map<std::string, int> runs();
    /// @brief Number of requests that were answered 421.
    [[nodiscard]] int misdirected();
    /// @brief Number of requests that a process began to handle and has not ended yet.
    [[nodiscard]] int in_progress();

private:
    using socket = boost::asio::ip::tcp::socket;
    struct listener;
    struct request_head;

    boost::asio::awaitable<void> accept(std::shared_ptr<listener> at);
    boost::asio::awaitable<void> serve(std::shared_ptr<listener> at, std::shared_ptr<socket> connection);
    boost::asio::awaitable<bool> handle(socket& connection, const request_head& head, std::string& received,
                                        std::string& last_refusal);
    boost::asio::awaitable<bool> write(socket& connection, std::string_view text);
    boost::asio::awaitable<bool> write_endless_bytes(socket& connection, std::string attempt_id,
                                                     std::uint64_t kind);
    /// Random number that depends on the seed, a subject such as a request, and what it is for.
    [[nodiscard]] std::uint64_t draw(std::string_view subject, std::string_view purpose) const;
    /// Whether something happens to a subject, with a share of all subjects.
    [[nodiscard]] bool happens(double share, std::string_view subject, std::string_view purpose) const;
    void record_run(const std::string& attempt_id);

    std::string host_;
    std::uint64_t seed_;
    endpoint_faults faults_;
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::map<std::string, std::shared_ptr<listener>> listeners_;
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    int misdirected_ = 0;
    int in_progress_ = 0;
    std::uint64_t accepted_ = 0;
    std::thread thread_;
};

} // namespace lacewing::testing
