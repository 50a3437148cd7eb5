#pragma once

#include "state/time_ms.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing::fakes {

/// @brief State of an execution; all states but running are final.
enum class execution_state : std::uint8_t { running, completed, failed, cancelled, deadline_exceeded };

/// @brief Name of a state in the JSON of the admin port.
std::string_view to_string(execution_state state);

/// @brief One executed request. Texts that repeat between requests are indices into the ledger's string_pool.
struct execution {
    std::string request_id;
    std::uint32_t account_index = 0;
    std::uint32_t endpoint_index = 0;
    std::uint32_t target_index = 0;
    /// Header lines "Name: value" as received, without X-Request-Id.
    std::vector<std::uint32_t> header_line_indices;
    execution_state state = execution_state::running;
    time_ms started;
};

/// @brief Stores each distinct string once, so that a ledger of a million requests stays small.
class string_pool {
public:
    /// @brief Adds the text unless it is present.
    /// @return Its index; indices stay valid.
    std::uint32_t intern(std::string_view text);
    [[nodiscard]] const std::string& at(std::uint32_t index) const { return strings_[index]; }
    [[nodiscard]] const std::vector<std::string>& all() const { return strings_; }

private:
    std::vector<std::string> strings_;
    std::unordered_map<std::string, std::uint32_t> indices_;
};

/// @brief Requests that the endpoints of one process have received and executed.
class endpoint_ledger {
public:
    /// @brief Records the target and the header lines of a received request, whether or not it executes.
    /// @return Indices of the header lines in strings().
    std::vector<std::uint32_t> record_request(std::string_view target,
                                              const std::vector<std::string>& header_lines);

    /// @brief Records the start of an execution.
    /// @param header_line_indices Result of record_request.
    /// @return Index for finish_execution.
    std::size_t begin_execution(std::string_view endpoint, std::string_view request_id,
                                std::string_view account, std::string_view target,
                                std::vector<std::uint32_t> header_line_indices, time_ms now);
    void finish_execution(std::size_t index, execution_state state) { executions_[index].state = state; }

    [[nodiscard]] const std::vector<execution>& executions() const { return executions_; }
    [[nodiscard]] const string_pool& strings() const { return strings_; }
    /// @brief Number of executions in the state.
    [[nodiscard]] std::size_t count(execution_state state) const;
    /// @brief Executions beyond the first of each request id, summed over all request ids.
    [[nodiscard]] std::uint64_t double_executions() const { return double_executions_; }
    /// @brief Start of the newest execution; 0 when there is none.
    [[nodiscard]] time_ms last_started() const { return last_started_; }
    /// @brief Recorded strings (header lines, targets, accounts, endpoint addresses) and ids of executed
    /// requests that contain the substring.
    [[nodiscard]] std::vector<std::string> search(std::string_view substring) const;

private:
    string_pool strings_;
    std::vector<execution> executions_;
    std::unordered_map<std::string, std::uint32_t> executions_per_request_id_;
    std::uint64_t double_executions_ = 0;
    time_ms last_started_;
};

} // namespace lacewing::fakes
