#include "transport/log.h"

#include <atomic>
#include <chrono>
#include <fmt/chrono.h>
#include <unistd.h>

namespace lacewing {

namespace {

std::atomic<log_level> lowest_level{log_level::info};

std::string_view name_of(log_level level) {
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warn:
        return "warn";
    case log_level::error:
        return "error";
    }
    return "error";
}

bool needs_quotes(std::string_view value) {
    if (value.empty()) return true;
    for (const char c : value) {
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == '\x7f') return true;
    }
    return false;
}

void append_value(std::string& line, std::string_view value) {
    if (!needs_quotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (static_cast<unsigned char>(c) < ' ' || c == '\x7f') {
            line += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        } else {
            line += c;
        }
    }
    line += '"';
}

} // namespace

void set_log_level(log_level level) {
    lowest_level.store(level, std::memory_order_relaxed);
}

void log(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    if (level < lowest_level.load(std::memory_order_relaxed)) return;
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(now);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now - seconds).count();
    std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}",
                                   fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)), millis,
                                   name_of(level), event);
    for (const auto& field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        append_value(line, field.value);
    }
    line += '\n';
    [[maybe_unused]] const auto written = ::write(STDERR_FILENO, line.data(), line.size());
}

} // namespace lacewing
