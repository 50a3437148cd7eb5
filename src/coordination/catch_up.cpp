#include "coordination/catch_up.h"

namespace lacewing {

bool catch_up::on_report(time_ms now, const std::string& kind, std::uint64_t reported, std::uint64_t own) {
    auto found = missing_.find(kind);
    // Only the own copy ends the wait: a report of a VM that is behind as well says nothing about the change.
    if (found != missing_.end() && !found->second.fetching && own >= found->second.revision) {
        missing_.erase(found);
        found = missing_.end();
    }
    if (reported <= own) return false;
    if (found == missing_.end()) found = missing_.try_emplace(kind, missing_change{reported, now}).first;
    auto& missing = found->second;
    if (missing.fetching || now - missing.since < delay) return false;
    missing.fetching = true;
    return true;
}

void catch_up::finished(const std::string& kind) {
    const auto found = missing_.find(kind);
    if (found != missing_.end()) found->second.fetching = false;
}

} // namespace lacewing
