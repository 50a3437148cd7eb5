#pragma once

#include "coordination/answer_memory.h"
#include "coordination/endpoint_selector.h"
#include "gateway/deadline_queue.h"
#include "protocol/answer_end.h"
#include "protocol/caller_dialect.h"
#include "state/time_ms.h"
#include "transport/endpoint_connection_pool.h"

#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace lacewing {

/// @brief Answer of an endpoint; the body is empty when it was streamed.
struct endpoint_answer {
    unsigned status = 0;
    boost::beast::http::fields fields;
    std::string body;
    /// The endpoint states that it did not run the request: by the not-run header or status 421, in an answer
    /// that names the request.
    bool not_run = false;
    /// @brief Whether a caller would take the status for a promise that nobody has made: that the request was
    /// not run. Such an answer must not be passed on.
    [[nodiscard]] bool unproven_refusal() const;
};

/// @brief Returns the next piece of a body that is too long to be buffered. An empty piece ends the body;
/// nothing means that it could not be completed.
using body_source = std::function<boost::asio::awaitable<std::optional<std::string>>()>;

/// @brief Receives an answer that is too long to be buffered. Both functions return false when it can no
/// longer be written to the caller.
struct answer_sink {
    std::function<boost::asio::awaitable<bool>(const endpoint_answer&, std::optional<std::uint64_t> length)>
        begin;
    std::function<boost::asio::awaitable<bool>(std::string_view piece)> write;
};

/// @brief Request as sent to an endpoint.
struct attempt_message {
    /// Request head with its final empty line.
    std::string head;
    /// The buffered part of the body.
    std::shared_ptr<const std::string> body;
    /// Source of the part of a long body that is not buffered; empty when the body is complete.
    body_source remaining_body;
    /// Send the remaining body with chunked encoding, because its length is not known.
    bool chunk_remaining_body = false;
    /// Id that the endpoint echoes in its answer.
    std::string attempt_id;
    /// HEAD request: the answer has no body.
    bool is_head_request = false;
};

/// @brief Result of one attempt.
struct endpoint_result {
    attempt_end outcome = attempt_end::broken;
    std::optional<endpoint_answer> answer;
    /// No byte of the request has left this VM.
    bool unsent = false;
    /// A part of the answer has been passed to the caller, so no other answer can be given.
    bool streamed = false;
    /// The streamed answer is complete.
    bool stream_complete = false;
    /// Bytes of the answer's body that were streamed.
    std::size_t streamed_bytes = 0;
    /// The answer carries the id of the request.
    bool names_request = false;
    /// The request was sent on a connection that had carried none before.
    bool new_connection = false;
    /// Cause of a failure, for logs and error answers.
    std::string reason;
};

/// @brief Sends a request to one endpoint and reads its answer; one object per attempt.
class endpoint_attempt {
public:
    /// Largest answer that is buffered whole, so that an incomplete one can be replaced by an error or a
    /// retry. Longer answers are streamed.
    static constexpr std::size_t max_buffered_answer_bytes = answer_memory::max_answer_bytes;
    /// A connect takes one network round trip; an endpoint that does not accept within this time counts as
    /// unreachable.
    static constexpr time_ms connect_timeout{400};

    endpoint_attempt(endpoint_connection_pool& pool, deadline_queue& deadlines, const caller_dialect& dialect,
                     answer_memory& memory)
        : pool_(pool), deadlines_(deadlines), dialect_(dialect), buffered_(memory), memory_(memory) {}

    /// @brief Sends the request and reads its answer. A standard exception, whoever throws it, ends the
    /// attempt with the outcome `broken`.
    /// @param address ip:port of the endpoint.
    /// @param sink Receives an answer of more than max_buffered_answer_bytes, or of less when the answers
    /// take too much memory.
    boost::asio::awaitable<endpoint_result> run(std::string address, attempt_message message,
                                                answer_sink sink);

    /// @brief Closes the connection; run() then returns with the outcome `abandoned`.
    void abort();
    /// @brief Ends the attempt like abort(), because its time is over. If not a byte has arrived on a pooled
    /// connection, the path that the other pooled connections use may have gone silent, so those that have
    /// been idle for longer than this attempt are closed.
    void expire();
    /// @brief Duration of the connect; nothing when a pooled connection was used or the connect failed.
    [[nodiscard]] std::optional<time_ms> connect_duration() const { return connect_duration_; }

private:
    struct request_write;

    boost::asio::awaitable<bool> connect(std::string address, std::string attempt_id);
    void start_request_write(attempt_message& message);
    static boost::asio::awaitable<void> write_request(std::shared_ptr<request_write> state);
    static void fail_write(request_write& state, const std::exception_ptr& problem);
    boost::asio::awaitable<void> read_answer(const answer_sink& sink, endpoint_result& result);
    boost::asio::awaitable<bool> read_more(boost::system::error_code& failure);
    [[nodiscard]] request_progress progress() const;
    void return_to_pool(const boost::beast::http::fields& fields);

    endpoint_connection_pool& pool_;
    deadline_queue& deadlines_;
    const caller_dialect& dialect_;
    answer_memory::holding buffered_;
    const answer_memory& memory_;
    std::shared_ptr<endpoint_connection> connection_;
    std::shared_ptr<request_write> request_write_;
    std::optional<time_ms> connect_duration_;
    time_ms started_{0};
    bool aborted_ = false;
    bool expired_ = false;
    bool any_received_ = false;
    bool reusable_ = true;
    // The last read filled its buffer, so more data is probably waiting.
    bool last_read_full_ = false;
};

} // namespace lacewing
