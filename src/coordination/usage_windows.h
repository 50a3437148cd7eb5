#pragma once

#include "coordination/true_time.h"
#include "state/time_ms.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// Requests that endpoints began to run, by client account.
using usage_counts = std::map<std::string, std::int64_t, std::less<>>;

/// @brief Counts of one window as one sender knows them. They are totals, so a repeated or lost message
/// changes nothing: the latest version replaces the others.
struct usage_record {
    std::int64_t window = 0;
    /// Grows with every change of the sender's counts of the window.
    std::uint64_t version = 0;
    /// The window has ended by the clocks of all sources that still live.
    bool closed = false;
    /// Processes whose requests are counted; each process has its own number.
    std::vector<std::uint64_t> sources;
    usage_counts counts;
};

/// @brief Remembers what one receiver has acknowledged.
class usage_outbox {
public:
    /// Records in one message: the oldest unacknowledged ones and the newest one.
    static constexpr std::size_t max_records = 3;

    /// @brief Sets the receiver; a new one has acknowledged nothing.
    void set_receiver(std::uint64_t receiver);
    /// @brief Whether the receiver has acknowledged a version of a window.
    [[nodiscard]] bool acknowledged(std::int64_t window, std::uint64_t version) const;
    void on_acknowledged(std::uint64_t receiver, std::int64_t window, std::uint64_t version);
    void forget_below(std::int64_t window);

private:
    // Number of its process.
    std::uint64_t receiver_ = 0;
    // Version by window.
    std::map<std::int64_t, std::uint64_t> acknowledged_;
};

/// @brief Counts the requests of one process by window and account.
class usage_counter {
public:
    /// Windows that are kept until they are settled; the oldest is dropped beyond this number.
    static constexpr std::size_t max_windows = 128;

    /// @param source Number of this process.
    /// @param clock Outlives this object.
    usage_counter(std::uint64_t source, time_ms window_length, const true_time& clock)
        : source_(source), length_(window_length), clock_(clock) {}

    /// @brief Counts a request that an endpoint begins to run.
    /// @param begins When it begins to run, by the steady clock.
    /// @return The window, for take_back().
    std::int64_t on_begin(std::string_view account, time_ms begins);
    /// @brief Takes back a request that turned out not to have been run.
    void take_back(std::string_view account, std::int64_t window);
    /// @brief Drops the windows before the given one, whose counts are settled.
    void forget_below(std::int64_t window);
    /// @brief Counts of the kept windows that are to be sent next, oldest first.
    [[nodiscard]] std::vector<usage_record> unsent(time_ms now, const usage_outbox& outbox) const;
    /// @brief Window of a point of the steady clock.
    [[nodiscard]] std::int64_t window_at(time_ms steady) const;
    /// @brief Windows that were dropped unsettled.
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }
    /// @brief Requests that were counted for a window whose counts were final already.
    [[nodiscard]] std::uint64_t too_late() const { return too_late_; }

private:
    struct entry {
        std::uint64_t version = 0;
        usage_counts counts;
    };
    std::uint64_t source_;
    time_ms length_;
    const true_time& clock_;
    std::map<std::int64_t, entry> windows_;
    // Windows below it are settled.
    std::int64_t settled_below_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t too_late_ = 0;
};

/// @brief Sums the records of several senders. Used by the collector of a zone for its VMs, and by the holder
/// of the duty for the collectors.
class usage_collection {
public:
    static constexpr std::size_t max_windows = usage_counter::max_windows;
    using sender_filter = std::function<bool(std::uint64_t sender)>;

    /// @brief Takes a record; an older version of the same sender and window is ignored.
    /// @param sender Number of the sending process.
    void put(std::uint64_t sender, const usage_record& record);
    /// @brief Sum over the senders of a window. Of records that count the same process, only one is used, a
    /// closed one before an open one and then the larger one.
    /// @param lives Whether a sender still lives; the window of one that has ended counts as closed.
    [[nodiscard]] usage_record sum(std::int64_t window, const sender_filter& lives) const;
    /// @brief Sums of the kept windows that are to be sent next, oldest first.
    [[nodiscard]] std::vector<usage_record> unsent(const sender_filter& lives,
                                                   const usage_outbox& outbox) const;
    void forget_below(std::int64_t window);

private:
    struct window_state {
        std::uint64_t version = 0;
        std::map<std::uint64_t, usage_record> by_sender;
    };
    std::map<std::int64_t, window_state> windows_;
    std::int64_t settled_below_ = 0;
};

} // namespace lacewing
