#pragma once

#include "state/time_ms.h"

#include <functional>
#include <list>

namespace lacewing {

/// @brief Calls back when the time of an operation is over, checked by a periodic tick.
/// A timer per request would cost a system call each; a tick every 50 ms is exact enough for answers that are
/// due within a quarter of a second.
class deadlines {
public:
    struct entry {
        time_ms at{0};
        std::function<void()> expired;
    };
    using handle = std::list<entry>::iterator;

    handle add(time_ms at, std::function<void()> expired) {
        entries_.push_back({at, std::move(expired)});
        return std::prev(entries_.end());
    }
    void remove(handle of) { entries_.erase(of); }

    /// @brief Runs the callbacks of all entries whose time has come, once each.
    void tick(time_ms now) {
        for (auto& item : entries_) {
            if (item.at > now || !item.expired) continue;
            const auto run = std::move(item.expired);
            item.expired = nullptr;
            run();
        }
    }

private:
    std::list<entry> entries_;
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
