#pragma once

#include "state/time_ms.h"

#include <cstdint>
#include <map>
#include <string>

namespace lacewing {

/// @brief Decides when this VM fetches a kind of stored objects from another VM because its own watch has not
/// brought a change that the other VM reports.
class catch_up {
public:
    /// How long a change may be missing before it is fetched; the own watch usually brings it sooner.
    static constexpr time_ms delay{500};

    /// @brief Records the revision of a kind that another VM reports.
    /// @param reported Revision of the newest change that the other VM knows.
    /// @param own Revision up to which the own copy is complete.
    /// @return Whether to fetch the kind from that VM now. The caller must then call finished().
    [[nodiscard]] bool on_report(time_ms now, const std::string& kind, std::uint64_t reported,
                                 std::uint64_t own);
    /// @brief Records that a fetch has ended; a change that is still missing is fetched again.
    void finished(const std::string& kind);

private:
    struct missing_change {
        std::uint64_t revision = 0;
        time_ms since{0};
        bool fetching = false;
    };
    std::map<std::string, missing_change> missing_;
};

} // namespace lacewing
