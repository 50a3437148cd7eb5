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

std::uint32_t ledger_text::index_of(std::string_view text) {
    const auto [position, added] =
        indices_.try_emplace(std::string(text), static_cast<std::uint32_t>(texts_.size()));
    if (added) texts_.emplace_back(text);
    return position->second;
}

std::vector<std::uint32_t> endpoint_ledger::record_header(std::string_view target,
                                                          const std::vector<std::string>& header_lines) {
    text_.index_of(target);
    std::vector<std::uint32_t> indices;
    indices.reserve(header_lines.size());
    for (const auto& line : header_lines) {
        indices.push_back(text_.index_of(line));
    }
    return indices;
}

std::size_t endpoint_ledger::begin(std::string_view endpoint, std::string_view request_id,
                                   std::string_view account, std::string_view target,
                                   std::vector<std::uint32_t> headers, time_ms now) {
    if (!request_id.empty() && ++runs_[std::string(request_id)] > 1) ++double_executions_;
    last_started_ = now;
    executions_.push_back({std::string(request_id), text_.index_of(account), text_.index_of(endpoint),
                           text_.index_of(target), std::move(headers), execution_state::running, now});
    return executions_.size() - 1;
}

std::size_t endpoint_ledger::count(execution_state state) const {
    return static_cast<std::size_t>(
        std::count_if(executions_.begin(), executions_.end(),
                      [&](const execution& entry) { return entry.state == state; }));
}

std::vector<std::string> endpoint_ledger::search(std::string_view part) const {
    std::vector<std::string> found;
    const auto add = [&](const std::string& text) {
        if (text.find(part) != std::string::npos) found.push_back(text);
    };
    for (const auto& text : text_.all()) {
        add(text);
    }
    for (const auto& [request_id, runs] : runs_) {
        add(request_id);
    }
    return found;
}

} // namespace lacewing::fakes
