#pragma once

#include <cstddef>

namespace lacewing {

/// @brief Estimates how many of its latest objects an endpoint of one service keeps warm, from the answers
/// for objects of known age.
///
/// The age of an object is the number of other objects that the endpoint has handled since.
class kept_objects {
public:
    /// @brief Records whether an object of an age was still warm.
    void on_run(std::size_t age, bool warm);
    /// @brief Probability that an object of an age is still warm, 0 to 1.
    [[nodiscard]] double warm_probability(std::size_t age) const;
    /// @brief Estimated number of objects that are kept.
    [[nodiscard]] double count() const { return count_; }

private:
    static constexpr double max_count = 29;
    double count_ = max_count;
};

} // namespace lacewing
