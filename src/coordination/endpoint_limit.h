#pragma once

#include "state/time_ms.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace lacewing {

/// @brief Parses the limit that an endpoint names in an answer.
/// @param text Decimal number of requests per second.
/// @return The limit in requests per second; nothing when the text is no finite number of at least zero.
std::optional<double> parse_endpoint_limit(std::string_view text);

/// @brief Rate that one endpoint takes from all VMs together, as it names it in its answers.
class endpoint_limit {
public:
    /// @brief Records what an answer of the endpoint says.
    /// @param per_s Limit in requests per second; nothing when the answer names none.
    /// @return Whether the limit differs from the one before.
    bool on_answer(time_ms now, std::optional<double> per_s);
    /// @brief Records a request of this VM.
    void on_send();

    /// @brief The limit in force, in requests per second; nothing when there is none.
    [[nodiscard]] std::optional<double> per_s() const { return per_s_; }
    /// @brief Requests of this VM since the limit last changed.
    [[nodiscard]] std::uint64_t sent() const { return sent_; }
    /// @brief When the limit last changed.
    [[nodiscard]] time_ms changed_at() const { return changed_at_; }

private:
    std::optional<double> per_s_;
    std::uint64_t sent_ = 0;
    time_ms changed_at_{0};
};

} // namespace lacewing
