#pragma once

#include "coordination/overload_control.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lacewing {

/// @brief Appends the metrics of admission under overload: totals, and refusals by route and account.
void add_overload_metrics(std::string& out, const overload_control& overload);

/// @brief Writes log lines about admission under overload: one in total and one for each route and account
/// with the most new refusals, if there are any since the last call.
class overload_log {
public:
    /// Routes and accounts in one call.
    static constexpr std::size_t max_lines = 3;

    void write(const overload_control& overload);

private:
    // Requests of each row of overload_control::rows() that waited or were refused, at the last call.
    std::vector<std::uint64_t> logged_;
};

} // namespace lacewing
