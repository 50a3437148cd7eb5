#pragma once

#include <utility>

#include <boost/asio.hpp>
#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <functional>

namespace lacewing {

/// @brief Bounded single-producer ring between two threads; the consumer is woken on its own io_context.
template <class T>
class ring {
public:
    /// @param capacity Most entries that wait at one time.
    /// @param consumer Context of the consuming thread.
    /// @param on_item Called on the consuming thread for each entry, in order.
    ring(std::size_t capacity, boost::asio::io_context& consumer, std::function<void(T)> on_item)
        : queue_(capacity), consumer_(consumer), on_item_(std::move(on_item)) {}

    /// @brief Adds an entry; called by the producing thread only.
    /// @return false when the ring is full; the entry is not added.
    bool push(T item) {
        if (!queue_.push(std::move(item))) return false;
        if (!wake_pending_.exchange(true)) {
            boost::asio::post(consumer_, [this] { drain(); });
        }
        return true;
    }

private:
    // Hands all waiting entries to the consumer. The flag is cleared first, so an entry that is pushed during
    // the loop is either seen by it or wakes the consumer again.
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
