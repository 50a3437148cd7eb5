#pragma once

#include <utility>

#include <boost/asio.hpp>
#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <functional>

namespace lacewing {

/// @brief Bounded single-producer, single-consumer queue between two threads. A push wakes the consumer
/// through its io_context.
template <class T>
class ring {
public:
    /// @param capacity Maximum number of queued entries.
    /// @param consumer I/O context of the consuming thread.
    /// @param on_item Called on the consuming thread for each entry, in order.
    ring(std::size_t capacity, boost::asio::io_context& consumer, std::function<void(T)> on_item)
        : queue_(capacity), consumer_(consumer), on_item_(std::move(on_item)) {}

    /// @brief Adds an entry; for the producing thread only.
    /// @return False if the queue is full; the entry is then not added.
    bool push(T item) {
        if (!queue_.push(std::move(item))) return false;
        if (!wake_pending_.exchange(true)) {
            boost::asio::post(consumer_, [this] { drain(); });
        }
        return true;
    }

private:
    // Passes all queued entries to the callback. The flag is cleared first, so an entry pushed during the
    // loop is either popped by it or wakes the consumer again.
    void drain() {
        wake_pending_.store(false);
        T item;
        while (queue_.pop(item))
            on_item_(std::move(item));
    }

    boost::lockfree::spsc_queue<T> queue_;
    boost::asio::io_context& consumer_;
    std::function<void(T)> on_item_;
    std::atomic<bool> wake_pending_{false};
};

} // namespace lacewing
