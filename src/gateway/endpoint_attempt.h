#pragma once

#include "coordination/endpoint_selector.h"
#include "gateway/deadlines.h"
#include "protocol/caller_dialect.h"
#include "state/time_ms.h"
#include "transport/endpoint_pool.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace lacewing {

/// @brief Head of an answer, and its body unless that was streamed.
struct endpoint_answer {
    unsigned status = 0;
    boost::beast::http::fields fields;
    std::string body;
    /// The endpoint states that it did not run the request.
    bool not_run = false;
};

/// @brief Next piece of a body that did not fit into memory; an empty piece ends it, nothing means failure.
using body_source = std::function<boost::asio::awaitable<std::optional<std::string>>()>;

/// @brief Receives an answer that is too long to be held; returns false when the caller is gone.
struct answer_sink {
    std::function<boost::asio::awaitable<bool>(const endpoint_answer&, std::optional<std::uint64_t> length)>
        begin;
    std::function<boost::asio::awaitable<bool>(std::string_view piece)> write;
};

/// @brief What is sent to an endpoint.
struct attempt_message {
    /// Request head with its final empty line.
    std::string head;
    /// The body as far as it is held.
    std::shared_ptr<const std::string> body;
    /// Source of the rest of a long body; empty when the body is complete.
    body_source rest;
    /// The rest is sent in chunks because its length is not known.
    bool chunked_rest = false;
    std::string attempt_id;
    bool head_method = false;
};

/// @brief Result of one attempt.
struct endpoint_result {
    attempt_end how = attempt_end::broken;
    std::optional<endpoint_answer> answer;
    /// No byte of the request has left this VM.
    bool unsent = false;
    /// A part of the answer has been passed on, so nothing else can be answered.
    bool streamed = false;
    /// The streamed answer is complete.
    bool stream_complete = false;
    std::string reason;
};

/// @brief One try of a request at one endpoint.
class endpoint_attempt {
public:
    /// Longest answer that is held whole, so that a broken one can be replaced by an error or a repeat.
    static constexpr std::size_t held_answer_bytes = std::size_t{256} * 1024;
    /// A connect takes one way there and back; an endpoint that does not react within this is not there.
    static constexpr time_ms connect_timeout{400};

    endpoint_attempt(endpoint_connection_pool& pool, deadlines& times, const caller_dialect& names)
        : pool_(pool), times_(times), names_(names) {}

    /// @brief Sends the request and reads its answer; abort() ends it early.
    boost::asio::awaitable<endpoint_result> run(std::string address, attempt_message message,
                                                answer_sink sink);

    /// @brief Closes the connection; run() then returns with the end `abandoned`.
    void abort();
    /// @brief Duration of the connect, if one was made.
    [[nodiscard]] std::optional<time_ms> connect_duration() const { return connect_duration_; }

private:
    struct sending;

    boost::asio::awaitable<bool> connect(std::string address);
    void start_sending(attempt_message& message);
    static boost::asio::awaitable<void> send_rest(std::shared_ptr<sending> state);
    boost::asio::awaitable<endpoint_result> read_answer(const answer_sink& sink);
    boost::asio::awaitable<bool> read_more(boost::system::error_code& failure);
    void keep(const boost::beast::http::fields& fields);

    endpoint_connection_pool& pool_;
    deadlines& times_;
    const caller_dialect& names_;
    std::shared_ptr<endpoint_connection> connection_;
    std::shared_ptr<sending> sending_;
    std::optional<time_ms> connect_duration_;
    bool aborted_ = false;
    bool reusable_ = true;
    // The last read filled its buffer, so more is on its way.
    bool read_full_ = false;
};

} // namespace lacewing
