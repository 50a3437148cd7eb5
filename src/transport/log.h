#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace lacewing {

enum class log_level : std::uint8_t { debug, info, warn, error };

/// @brief Field of a log line: a name and its formatted value.
struct log_field {
    template <class T>
    log_field(std::string_view field_name, const T& field_value)
        : name(field_name), value(fmt::format("{}", field_value)) {}

    std::string_view name;
    std::string value;
};

/// @brief Sets the lowest level to write; the default is info.
void set_log_level(log_level level);

/// @brief Limits the lines written per second; 0 means no limit. Lines over the limit are dropped, counted
/// and reported by a warning in a later second. Warnings and errors may use the whole limit, info lines 80 %
/// of it and debug lines 40 %.
void set_log_rate(std::int64_t lines_per_s);

/// @brief Flushes the queued lines; to be called before the process exits.
void flush_log();

/// @brief Writes one line to standard output: time, level, event and fields as name=value.
/// Empty values and values with spaces, quotes, '=', backslashes or control characters are quoted. A thread
/// of its own writes the lines, one call each, so that lines of several threads do not interleave and a
/// blocked output delays no caller: the oldest queued lines are dropped instead.
void log(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/// @brief Checks the level and takes one line from the rate limit, for callers that format their fields only
/// if the line is written.
/// @return True if the caller may write the line with write_log().
bool acquire_log_line(log_level level);
/// @brief Writes a line for which acquire_log_line() returned true, without further checks.
void write_log(log_level level, std::string_view event, std::initializer_list<log_field> fields);

} // namespace lacewing
