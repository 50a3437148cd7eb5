#include "transport/monotonic_clock.h"

#include <ctime>

namespace lacewing {

time_ms monotonic_now() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return {static_cast<std::int64_t>(now.tv_sec) * 1000 + now.tv_nsec / 1'000'000};
}

time_ms process_cpu_time() {
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return {static_cast<std::int64_t>(used.tv_sec) * 1000 + used.tv_nsec / 1'000'000};
}

std::int64_t unix_seconds_now() {
    return static_cast<std::int64_t>(std::time(nullptr));
}

} // namespace lacewing
