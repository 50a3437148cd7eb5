#pragma once

#include "state/time_ms.h"

#include <functional>
#include <map>
#include <utility>

namespace lacewing {

/// @brief Calls back when the time of an operation is over, checked by a periodic tick.
/// A timer per request would cost a system call each; a tick every 50 ms is exact enough for answers that are
/// due within a quarter of a second. Entries are ordered by time, so that a tick reads only those that are
/// due and not the thousands of idle connections.
class deadlines {
public:
    using callback = std::function<void()>;
    using handle = std::multimap<time_ms, callback>::iterator;

    handle add(time_ms at, callback expired) { return entries_.emplace(at, std::move(expired)); }
    void remove(handle of) { entries_.erase(of); }

    /// @brief Runs the callbacks of all entries whose time has come, once each. A callback may add and remove
    /// entries.
    void tick(time_ms now) {
        auto at = entries_.begin();
        while (at != entries_.end() && at->first <= now) {
            if (!at->second) {
                ++at;
                continue;
            }
            const auto run = std::exchange(at->second, nullptr);
            run();
            at = entries_.begin();
        }
    }

private:
    std::multimap<time_ms, callback> entries_;
};

/// @brief Deadline that ends with its scope.
class scoped_deadline {
public:
    scoped_deadline(deadlines& all, time_ms at, std::function<void()> expired)
        : all_(all), handle_(all.add(at, std::move(expired))) {}
    ~scoped_deadline() { all_.remove(handle_); }
    scoped_deadline(const scoped_deadline&) = delete;
    scoped_deadline& operator=(const scoped_deadline&) = delete;
    scoped_deadline(scoped_deadline&&) = delete;
    scoped_deadline& operator=(scoped_deadline&&) = delete;

private:
    deadlines& all_;
    deadlines::handle handle_;
};

} // namespace lacewing
