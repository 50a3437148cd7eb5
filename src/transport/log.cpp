#include "transport/log.h"

#include <atomic>
#include <chrono>
#include <fmt/chrono.h>
#include <memory>
#include <mutex>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

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

// Lines that may wait for the output; the oldest are dropped when it does not keep up.
constexpr std::size_t queued_lines = 1024;

// Time in which the writer empties its queue before the process ends.
constexpr std::chrono::milliseconds flush_time{20};

// Parts of the lines per second that a level may use, so that rare and bad news find room.
constexpr double debug_part = 0.4;
constexpr double info_part = 0.8;

// Writer with a thread of its own, so that a full pipe costs lines and not time.
spdlog::async_logger& writer() {
    static const auto pool = std::make_shared<spdlog::details::thread_pool>(queued_lines, 1);
    static const auto made = [] {
        auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
        auto logger = std::make_shared<spdlog::async_logger>("lacewing", std::move(sink), pool,
                                                             spdlog::async_overflow_policy::overrun_oldest);
        logger->set_pattern("%v");
        logger->flush_on(spdlog::level::info);
        return logger;
    }();
    return *made;
}

/// Lines written in the current second.
struct line_budget {
    std::mutex mutex;
    std::int64_t lines_per_s = 0;
    std::int64_t second = 0;
    std::int64_t written = 0;
    std::int64_t left_out = 0;
};

line_budget& budget() {
    static line_budget made;
    return made;
}

double part_of(log_level level) {
    if (level == log_level::debug) return debug_part;
    return level == log_level::info ? info_part : 1.0;
}

// Takes one line out of the budget; `left_out` receives the count of the second that has just ended.
bool take_line(log_level level, std::int64_t& left_out) {
    auto& of = budget();
    const std::lock_guard lock(of.mutex);
    if (of.lines_per_s == 0) return true;
    const auto now =
        std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch())
            .count();
    if (now != of.second) {
        left_out = of.left_out;
        of.second = now;
        of.written = 0;
        of.left_out = 0;
    }
    if (static_cast<double>(of.written) >= part_of(level) * static_cast<double>(of.lines_per_s)) {
        ++of.left_out;
        return false;
    }
    ++of.written;
    return true;
}

std::string line_start(log_level level, std::string_view event) {
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(now);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now - seconds).count();
    return fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)), millis, name_of(level),
                       event);
}

} // namespace

void set_log_level(log_level level) {
    lowest_level.store(level, std::memory_order_relaxed);
}

void set_log_rate(std::int64_t lines_per_s) {
    const std::lock_guard lock(budget().mutex);
    budget().lines_per_s = lines_per_s;
}

void flush_log() {
    writer().flush();
    // The flush is queued behind the lines and spdlog does not tell when it is done.
    std::this_thread::sleep_for(flush_time);
}

bool acquire_log_line(log_level level) {
    if (level < lowest_level.load(std::memory_order_relaxed)) return false;
    std::int64_t left_out = 0;
    const bool wanted = take_line(level, left_out);
    if (left_out > 0) {
        writer().info("{} lines={}", line_start(log_level::warn, "log_lines_left_out"), left_out);
    }
    return wanted;
}

void write_log(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    std::string line = line_start(level, event);
    for (const auto& field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        append_value(line, field.value);
    }
    writer().info(fmt::string_view("{}"), line);
}

void log(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    if (acquire_log_line(level)) write_log(level, event, fields);
}

} // namespace lacewing
