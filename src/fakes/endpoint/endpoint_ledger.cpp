#include "fakes/endpoint/endpoint_ledger.h"

#include <algorithm>
#include <utility>

namespace lacewing::fakes {

std::string_view to_string(execution_state state) {
    switch (state) {
    case execution_state::running:
        return "running";
    case execution_state::completed:
        return "completed";
    case execution_state::failed:
        return "failed";
    case execution_state::cancelled:
        return "cancelled";
    case execution_state::deadline_exceeded:
        return "deadline_exceeded";
    }
    return "unknown";
}

std::uint32_t string_pool::intern(std::string_view text) {
    const auto [position, added] =
        indices_.try_emplace(std::string(text), static_cast<std::uint32_t>(strings_.size()));
    if (added) strings_.emplace_back(text);
    return position->second;
}

std::vector<std::uint32_t> endpoint_ledger::record_request(std::string_view target,
                                                           const std::vector<std::string>& header_lines) {
    strings_.intern(target);
    std::vector<std::uint32_t> indices;
    indices.reserve(header_lines.size());
    for (const auto& line : header_lines) {
        indices.push_back(strings_.intern(line));
    }
    return indices;
}

std::size_t endpoint_ledger::begin_execution(std::string_view endpoint, std::string_view request_id,
                                             std::string_view account, std::string_view target,
                                             std::vector<std::uint32_t> header_line_indices, time_ms now) {
    if (!request_id.empty() && ++executions_per_request_id_[std::string(request_id)] > 1)
        ++double_executions_;
    last_started_ = now;
    executions_.push_back({std::string(request_id), strings_.intern(account), strings_.intern(endpoint),
                           strings_.intern(target), std::move(header_line_indices), execution_state::running,
                           now});
    return executions_.size() - 1;
}

std::size_t endpoint_ledger::count(execution_state state) const {
    return static_cast<std::size_t>(
        std::count_if(executions_.begin(), executions_.end(),
                      [&](const execution& entry) { return entry.state == state; }));
}

std::vector<std::string> endpoint_ledger::search(std::string_view substring) const {
    std::vector<std::string> found;
    const auto add = [&](const std::string& text) {
        if (text.find(substring) != std::string::npos) found.push_back(text);
    };
    for (const auto& text : strings_.all()) {
        add(text);
    }
    for (const auto& [request_id, execution_count] : executions_per_request_id_) {
        add(request_id);
    }
    return found;
}

} // namespace lacewing::fakes
