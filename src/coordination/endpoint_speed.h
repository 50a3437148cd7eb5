#pragma once

#include "state/time_ms.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace lacewing {

/// @brief Estimates how long work takes on the machine of one endpoint, compared with what is usual.
///
/// The endpoint states a factor in its answers, which may change several times a second, so a statement
/// counts less with its age and gives way to the average of the earlier ones. The service times that this VM
/// measures correct the statements: statements that do not agree with them lose weight, and a constant
/// difference is learned.
class endpoint_speed {
public:
    /// Bounds of a stated factor and of the estimate; 1 is the usual speed, 2 is half of it.
    static constexpr double min_factor = 0.5;
    static constexpr double max_factor = 20;

    /// @brief Records the factor of an answer to this VM.
    void on_stated(time_ms now, double factor);
    /// @brief Records the factor that an answer to another VM has stated a moment ago.
    void on_reported(time_ms now, double factor);
    /// @brief Records the service time of an answer, after its on_stated().
    /// @param ratio Measured time divided by the usual time of such a request.
    void on_answer(time_ms now, double ratio);

    /// @brief Whether the endpoint has ever stated a factor.
    [[nodiscard]] bool stated() const { return stated_; }
    /// @brief Expected factor of work that begins now.
    [[nodiscard]] double factor(time_ms now) const;
    /// @brief Expected factor over the next seconds, whatever the last statement.
    [[nodiscard]] double lasting_factor(time_ms now) const;
    /// @brief Weight of the statements, 0 to 1.
    [[nodiscard]] double trust() const;

    /// @brief The last stated factor in percent, if other VMs should learn it: it was stated since
    /// clear_unreported(), and it or the one before differs from the usual speed.
    [[nodiscard]] std::optional<std::uint32_t> unreported_percent() const;
    void clear_unreported() { unreported_ = false; }

private:
    void update(time_ms now, double factor);
    [[nodiscard]] double average(time_ms now) const;
    [[nodiscard]] double stated_factor(time_ms now) const;
    [[nodiscard]] double correction(time_ms now) const;

    bool stated_ = false;
    bool unreported_ = false;
    // Last statement and its time, and the average of the earlier ones.
    double last_ = 1;
    time_ms last_at_{0};
    double average_ = 1;
    // Logarithm of measured times divided by those that the statements explain; the last and the smoothed
    // one.
    double last_residual_ = 0;
    double residual_ = 0;
    time_ms residual_at_{0};
    // Smoothed error of the usual speed minus error of the stated one, as logarithms.
    double evidence_ = 0;
};

/// @brief Parses the stated factor of a load report, in percent.
/// @return The factor, within the bounds of endpoint_speed; nothing for any other text than a positive
/// decimal number.
std::optional<double> parse_stated_factor(std::string_view text);

} // namespace lacewing
