#pragma once

#include "state/time_ms.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing::fakes {

enum class execution_state : std::uint8_t { running, completed, failed, cancelled, deadline_exceeded };

/// @brief Name of a state in the ledger's answers.
std::string_view to_string(execution_state state);

/// @brief One executed request; text that repeats is held as an index into ledger_text.
struct execution {
    std::string request_id;
    std::uint32_t account = 0;
    std::uint32_t endpoint = 0;
    std::uint32_t target = 0;
    std::vector<std::uint32_t> headers;
    execution_state state = execution_state::running;
    time_ms started;
};

/// @brief Holds each distinct text once, so that a ledger of a million requests stays small.
class ledger_text {
public:
    std::uint32_t index_of(std::string_view text);
    [[nodiscard]] const std::string& at(std::uint32_t index) const { return texts_[index]; }
    [[nodiscard]] const std::vector<std::string>& all() const { return texts_; }

private:
    std::vector<std::string> texts_;
    std::unordered_map<std::string, std::uint32_t> indices_;
};

/// @brief What the endpoints of one process have received and executed.
class endpoint_ledger {
public:
    /// @brief Records the header lines and the target of a request, executed or not.
    /// @return Indices of the header lines.
    std::vector<std::uint32_t> record_header(std::string_view target,
                                             const std::vector<std::string>& header_lines);

    /// @return Index for finish.
    std::size_t begin(std::string_view endpoint, std::string_view request_id, std::string_view account,
                      std::string_view target, std::vector<std::uint32_t> headers, time_ms now);
    void finish(std::size_t index, execution_state state) { executions_[index].state = state; }

    [[nodiscard]] const std::vector<execution>& executions() const { return executions_; }
    [[nodiscard]] const ledger_text& text() const { return text_; }
    [[nodiscard]] std::size_t count(execution_state state) const;
    /// @brief Executions beyond the first, summed over all request ids.
    [[nodiscard]] std::uint64_t double_executions() const { return double_executions_; }
    /// @brief Time at which the newest execution began; 0 when there is none.
    [[nodiscard]] time_ms last_started() const { return last_started_; }
    /// @brief Recorded header lines, targets and request ids that contain the text.
    [[nodiscard]] std::vector<std::string> search(std::string_view part) const;

private:
    ledger_text text_;
    std::vector<execution> executions_;
    std::unordered_map<std::string, std::uint32_t> runs_;
    std::uint64_t double_executions_ = 0;
    time_ms last_started_;
};

} // namespace lacewing::fakes
