#include "coordination/kept_objects.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

constexpr double min_count = 4;
// Ages around the count over which the probability falls. The order in which requests of other VMs reached
// the endpoint is known only roughly.
constexpr double spread = 1.5;
// Shares of answers that look warm for objects that are kept, and for those that are not. The rest are runs
// that took unusually long or short for other reasons.
constexpr double warm_share_if_kept = 0.9;
constexpr double warm_share_if_dropped = 0.1;

double kept_probability(double count, std::size_t age) {
    return 1 / (1 + std::exp(-(count - static_cast<double>(age) - 0.5) / spread));
}

} // namespace

void kept_objects::on_run(std::size_t age, bool warm) {
    const double expected =
        warm_share_if_dropped + (warm_share_if_kept - warm_share_if_dropped) * kept_probability(count_, age);
    count_ = std::clamp(count_ + (warm ? 1.0 : 0.0) - expected, min_count, max_count);
}

double kept_objects::warm_probability(std::size_t age) const {
    return kept_probability(count_, age);
}

} // namespace lacewing
