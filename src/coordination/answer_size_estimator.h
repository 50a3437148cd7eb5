#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace lacewing {

/// @brief Estimates the size of the next answer of each route by a moving average of the earlier ones.
class answer_size_estimator {
public:
    /// Estimate for a route without an answer so far.
    static constexpr double default_bytes = 3000;
    /// Weight of a new answer in the average.
    static constexpr double sample_weight = 0.1;

    /// @brief Records the body size of a whole answer.
    void on_answer(const std::string& route, std::size_t bytes);
    /// @return Expected body size in bytes.
    [[nodiscard]] std::size_t expected_bytes(const std::string& route) const;

private:
    std::unordered_map<std::string, double> average_bytes_;
};

} // namespace lacewing
