#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace lacewing {

/// @brief Takes an answer of the form {"items":[...], "asOf":7} apart while it arrives, so that no more than
/// one element of its array is in memory.
///
/// Values are told apart by their brackets and quotes only, so an element need not be readable JSON.
class json_splitter {
public:
    /// Handles one element. It is null when the element was longer than the limit.
    using element_handler = std::function<void(const std::string* element)>;

    /// @param array Name of the member whose elements are wanted.
    /// @param max_element_bytes Longest element that is passed on.
    json_splitter(std::string_view array, std::size_t max_element_bytes, element_handler on_element);

    /// @brief Takes the next bytes of the text.
    /// @return False when the text is not of that form; what follows is ignored.
    bool feed(std::string_view bytes);
    /// @brief Whether the text has ended and had the array.
    [[nodiscard]] bool complete() const { return state_ == state::end && array_seen_; }
    /// @brief Text of another member; empty when there is none or it is longer than any number.
    [[nodiscard]] std::string_view member(std::string_view name) const;

private:
    /// What comes next, or is being read.
    enum class state : std::uint8_t {
        begin,
        key,
        colon,
        value,
        after_value,
        element,
        after_element,
        end,
        broken
    };

    void step(char next);
    void step_between_values(char next);
    bool step_in_value(char next);
    void begin_value(char first);
    void end_value();
    void keep(std::string_view bytes);

    std::string array_;
    std::size_t max_element_bytes_;
    element_handler on_element_;
    state state_ = state::begin;
    // The key, member or element that is being read.
    bool reading_ = false;
    std::string value_;
    bool too_long_ = false;
    // Neither a string nor a container.
    bool bare_ = false;
    std::size_t depth_ = 0;
    bool in_string_ = false;
    bool escaped_ = false;

    std::string key_;
    bool array_seen_ = false;
    std::map<std::string, std::string, std::less<>> members_;
};

} // namespace lacewing
