#pragma once

#include "state/time_ms.h"

#include <functional>
#include <map>
#include <utility>

namespace lacewing {

/// @brief Timeouts of many operations, checked by one periodic tick.
/// A timer per request would cost a system call each; a tick every 50 ms is precise enough for answers that
/// are due within 250 ms. Entries are ordered by time, so a tick visits only those that have expired, not the
/// thousands of idle connections.
class deadline_queue {
public:
    using callback = std::function<void()>;
    using handle = std::multimap<time_ms, callback>::iterator;

    /// @brief Adds an entry that expires at a monotonic time.
    /// @return Handle for remove(); the entry stays until it is removed, also after its callback has run.
    handle add(time_ms at, callback on_expired) { return entries_.emplace(at, std::move(on_expired)); }
    void remove(handle entry) { entries_.erase(entry); }

    /// @brief Runs the callback of each expired entry once. A callback may add and remove entries.
    void tick(time_ms now) {
        auto entry = entries_.begin();
        while (entry != entries_.end() && entry->first <= now) {
            if (!entry->second) {
                ++entry;
                continue;
            }
            const auto on_expired = std::exchange(entry->second, nullptr);
            on_expired();
            entry = entries_.begin();
        }
    }

private:
    std::multimap<time_ms, callback> entries_;
};

/// @brief Entry of a deadline_queue that is removed at the end of the scope.
class scoped_deadline {
public:
    scoped_deadline(deadline_queue& queue, time_ms at, std::function<void()> on_expired)
        : queue_(queue), handle_(queue.add(at, std::move(on_expired))) {}
    ~scoped_deadline() { queue_.remove(handle_); }
    scoped_deadline(const scoped_deadline&) = delete;
    scoped_deadline& operator=(const scoped_deadline&) = delete;
    scoped_deadline(scoped_deadline&&) = delete;
    scoped_deadline& operator=(scoped_deadline&&) = delete;

private:
    deadline_queue& queue_;
    deadline_queue::handle handle_;
};

} // namespace lacewing
