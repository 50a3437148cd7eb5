#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace lacewing {

enum class log_level : std::uint8_t { debug, info, warn, error };

/// @brief One named value of a log line.
struct log_field {
    template <class T>
    log_field(std::string_view field_name, const T& field_value)
        : name(field_name), value(fmt::format("{}", field_value)) {}

    std::string_view name;
    std::string value;
};

/// @brief Sets the lowest level that is written; the default is info.
void set_log_level(log_level level);

/// @brief Bounds the lines per second; further ones are counted and the count is logged. 0 for no bound.
/// Warnings and errors may use the whole bound, information half of it.
void set_log_rate(std::int64_t lines_per_s);

/// @brief Writes what is still queued; called before the process ends.
void flush_log();

/// @brief Writes one line to standard output: time, level, event and fields as name=value.
/// Values with spaces, quotes or control characters are quoted. The line is written with one call, so that
/// lines of several threads do not mix.
void log(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/// @brief Takes a line out of the budget, for callers that format their fields only when it is written.
bool acquire_log_line(log_level level);
/// @brief Writes a line for which acquire_log_line() was true.
void write_log(log_level level, std::string_view event, std::initializer_list<log_field> fields);

} // namespace lacewing
