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

std::string_view level_name(log_level level) {
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

// Lines that may wait for standard output; on overflow the oldest are dropped.
constexpr std::size_t max_queued_lines = 1024;

// Time given to the writer thread to empty its queue before the process exits.
constexpr std::chrono::milliseconds flush_wait{20};

// Shares of the lines per second that a level may use, so that frequent debug and info lines leave room for
// warnings and errors.
constexpr double debug_share = 0.4;
constexpr double info_share = 0.8;

// Asynchronous logger with its own thread: a full pipe drops lines instead of blocking the caller.
spdlog::async_logger& writer() {
    static const auto pool = std::make_shared<spdlog::details::thread_pool>(max_queued_lines, 1);
    static const auto logger = [] {
        auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
        auto created = std::make_shared<spdlog::async_logger>("lacewing", std::move(sink), pool,
                                                              spdlog::async_overflow_policy::overrun_oldest);
        created->set_pattern("%v");
        created->flush_on(spdlog::level::info);
        return created;
    }();
    return *logger;
}

/// Limit on the lines per second, with the counts of the current second.
struct line_rate_limit {
    std::mutex mutex;
    std::int64_t lines_per_s = 0;
    std::int64_t second = 0;
    std::int64_t written = 0;
    std::int64_t dropped = 0;
};

line_rate_limit& rate_limit() {
    static line_rate_limit instance;
    return instance;
}

double line_share(log_level level) {
    if (level == log_level::debug) return debug_share;
    return level == log_level::info ? info_share : 1.0;
}

// Takes one line from the rate limit; false if none is left for this level. When a new second begins,
// `dropped` is set to the number of lines dropped in the last second with a log call.
bool acquire_line(log_level level, std::int64_t& dropped) {
    auto& limit = rate_limit();
    const std::lock_guard lock(limit.mutex);
    if (limit.lines_per_s == 0) return true;
    const auto now =
        std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch())
            .count();
    if (now != limit.second) {
        dropped = limit.dropped;
        limit.second = now;
        limit.written = 0;
        limit.dropped = 0;
    }
    if (static_cast<double>(limit.written) >= line_share(level) * static_cast<double>(limit.lines_per_s)) {
        ++limit.dropped;
        return false;
    }
    ++limit.written;
    return true;
}

std::string line_prefix(log_level level, std::string_view event) {
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(now);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now - seconds).count();
    return fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)), millis, level_name(level),
                       event);
}

} // namespace

void set_log_level(log_level level) {
    lowest_level.store(level, std::memory_order_relaxed);
}

void set_log_rate(std::int64_t lines_per_s) {
    const std::lock_guard lock(rate_limit().mutex);
    rate_limit().lines_per_s = lines_per_s;
}

void flush_log() {
    writer().flush();
    // The flush request is queued behind the lines, and spdlog does not signal its completion.
    std::this_thread::sleep_for(flush_wait);
}

bool acquire_log_line(log_level level) {
    if (level < lowest_level.load(std::memory_order_relaxed)) return false;
    std::int64_t dropped = 0;
    const bool acquired = acquire_line(level, dropped);
    if (dropped > 0) {
        writer().info("{} lines={}", line_prefix(log_level::warn, "log_lines_left_out"), dropped);
    }
    return acquired;
}

void write_log(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    std::string line = line_prefix(level, event);
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
