#pragma once

#include <compare>
#include <cstdint>

namespace lacewing {

/// @brief Point in time or duration in milliseconds; the only time type of the project.
/// Points in time count from the boot of the host, so they are comparable only within one host.
struct time_ms {
    std::int64_t count = 0;

    // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    constexpr auto operator<=>(const time_ms&) const = default;
    constexpr time_ms& operator+=(time_ms other) {
        count += other.count;
        return *this;
    }
    constexpr time_ms& operator-=(time_ms other) {
        count -= other.count;
        return *this;
    }
};

constexpr time_ms operator+(time_ms a, time_ms b) {
    return {a.count + b.count};
}
constexpr time_ms operator-(time_ms a, time_ms b) {
    return {a.count - b.count};
}
constexpr time_ms operator*(time_ms a, std::int64_t n) {
    return {a.count * n};
}
constexpr time_ms operator/(time_ms a, std::int64_t n) {
    return {a.count / n};
}

namespace literals {

constexpr time_ms operator""_ms(unsigned long long n) {
    return {static_cast<std::int64_t>(n)};
}
constexpr time_ms operator""_s(unsigned long long n) {
    return {static_cast<std::int64_t>(n) * 1000};
}

} // namespace literals

} // namespace lacewing
