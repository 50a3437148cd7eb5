#include "gateway/placement_log.h"

#include "transport/log.h"

#include <fmt/format.h>

namespace lacewing {

void log_placement(time_ms now, object_placement& placement) {
    const auto changes = placement.take_changes(now);
    if (!changes) return;
    log(log_level::info, "placement",
        {{"requests", changes->requests},
         {"warm", changes->warm_requests},
         {"gone", changes->gone},
         {"full", changes->full},
         {"faster_elsewhere", changes->faster_elsewhere},
         {"resized", changes->resized}});
}

std::string placement_metrics(const placement_changes& changes) {
    std::string out;
    out += fmt::format("lacewing_object_requests_total {}\n", changes.requests);
    out += fmt::format("lacewing_object_requests_warm_total {}\n", changes.warm_requests);
    const auto add = [&out](std::string_view cause, std::uint64_t count) {
        out += fmt::format("lacewing_object_changes_total{{cause=\"{}\"}} {}\n", cause, count);
    };
    add("gone", changes.gone);
    add("full", changes.full);
    add("faster_elsewhere", changes.faster_elsewhere);
    add("resized", changes.resized);
    return out;
}

} // namespace lacewing
