#include "gateway/overload_metrics.h"

#include "transport/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace lacewing {

namespace {

std::uint64_t sum(const std::array<std::uint64_t, overload_reasons>& counts) {
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

// Counts by reason, for example "over_share 3, no_slot_in_time 1".
std::string text_of(const std::array<std::uint64_t, overload_reasons>& counts) {
    std::string text;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (counts.at(i) == 0) continue;
        if (!text.empty()) text += ", ";
        text += fmt::format("{} {}", overload_reason_name(static_cast<overload_reason>(i)), counts.at(i));
    }
    return text;
}

} // namespace

void add_overload_metrics(std::string& out, const overload_control& overload) {
    const auto& counted = overload.counted();
    out += fmt::format("lacewing_overload_waiting {}\n", overload.waiting());
    out += fmt::format("lacewing_overload_waited_total {}\n", counted.waited);
    out += fmt::format("lacewing_overload_sent_after_wait_total {}\n", counted.sent_after_wait);
    out += fmt::format("lacewing_overload_left_while_waiting_total {}\n", counted.left_while_waiting);
    out += fmt::format("lacewing_overload_early_repeats_total {}\n", counted.early_repeats);
    for (std::size_t i = 0; i < counted.refused.size(); ++i) {
        out += fmt::format("lacewing_overload_refused_total{{reason=\"{}\"}} {}\n",
                           overload_reason_name(static_cast<overload_reason>(i)), counted.refused.at(i));
    }
    for (const auto& row : overload.rows()) {
        const auto labels = fmt::format("route=\"{}\",account=\"{}\"", row.route, row.account);
        out += fmt::format("lacewing_overload_account_waited_total{{{}}} {}\n", labels, row.waited);
        for (std::size_t i = 0; i < row.refused.size(); ++i) {
            if (row.refused.at(i) == 0) continue;
            out += fmt::format("lacewing_overload_account_refused_total{{{},reason=\"{}\"}} {}\n", labels,
                               overload_reason_name(static_cast<overload_reason>(i)), row.refused.at(i));
        }
    }
}

void overload_log::write(const overload_control& overload) {
    const auto& rows = overload.rows();
    logged_.resize(rows.size());
    std::vector<std::pair<std::uint64_t, std::size_t>> grown;
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const auto count = rows[i].waited + sum(rows[i].refused);
        if (count > logged_[i]) grown.emplace_back(count - logged_[i], i);
        logged_[i] = count;
    }
    if (grown.empty()) return;
    const auto& counted = overload.counted();
    log(log_level::info, "overload",
        {{"waiting", overload.waiting()},
         {"waited", counted.waited},
         {"sent_after_wait", counted.sent_after_wait},
         {"left", counted.left_while_waiting},
         {"early_repeats", counted.early_repeats},
         {"refused", text_of(counted.refused)}});
    const auto shown = std::min(max_lines, grown.size());
    std::partial_sort(grown.begin(), grown.begin() + static_cast<std::ptrdiff_t>(shown), grown.end(),
                      std::greater<>());
    for (std::size_t i = 0; i < shown; ++i) {
        const auto& row = rows[grown[i].second];
        log(log_level::info, "overload_account",
            {{"route", row.route},
             {"account", row.account},
             {"waited", row.waited},
             {"refused", text_of(row.refused)}});
    }
}

} // namespace lacewing
