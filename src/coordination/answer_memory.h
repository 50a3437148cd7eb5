#pragma once

#include <cstddef>

namespace lacewing {

/// @brief Account of the answers of endpoints that are buffered whole, so that an incomplete one can be
/// replaced by an error or a repeat. An answer that may not be buffered any longer is streamed.
class answer_memory {
public:
    /// Most bytes of one answer that are buffered.
    static constexpr std::size_t max_answer_bytes = std::size_t{256} * 1024;
    /// Bytes of each answer that are buffered even when the budget is used up.
    static constexpr std::size_t small_answer_bytes = std::size_t{16} * 1024;

    /// @brief What one answer holds; registered for its lifetime.
    class holding {
    public:
        explicit holding(answer_memory& account) : account_(account) {}
        ~holding() { set(0); }
        holding(const holding&) = delete;
        holding& operator=(const holding&) = delete;
        holding(holding&&) = delete;
        holding& operator=(holding&&) = delete;

        /// @brief Records how many bytes the answer holds now.
        void set(std::size_t bytes) {
            account_.held_ += bytes - bytes_;
            bytes_ = bytes;
        }

    private:
        answer_memory& account_;
        std::size_t bytes_ = 0;
    };

    /// @param budget_bytes Bytes of all answers together from which on only small ones are buffered.
    explicit answer_memory(std::size_t budget_bytes) : budget_(budget_bytes) {}

    void set_budget(std::size_t bytes) { budget_ = bytes; }
    /// @brief Whether an answer that has this many bytes may be buffered further.
    [[nodiscard]] bool may_buffer(std::size_t bytes) const {
        return bytes <= (held_ <= budget_ ? max_answer_bytes : small_answer_bytes);
    }
    [[nodiscard]] std::size_t held() const { return held_; }

private:
    std::size_t budget_;
    std::size_t held_ = 0;
};

} // namespace lacewing
