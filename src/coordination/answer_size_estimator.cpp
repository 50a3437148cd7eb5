#include "coordination/answer_size_estimator.h"

namespace lacewing {

void answer_size_estimator::on_answer(const std::string& route, std::size_t bytes) {
    const auto size = static_cast<double>(bytes);
    const auto [known, first] = average_bytes_.try_emplace(route, size);
    if (!first) known->second += sample_weight * (size - known->second);
}

std::size_t answer_size_estimator::expected_bytes(const std::string& route) const {
    const auto known = average_bytes_.find(route);
    return static_cast<std::size_t>(known == average_bytes_.end() ? default_bytes : known->second);
}

} // namespace lacewing
