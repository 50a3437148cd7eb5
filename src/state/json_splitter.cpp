#include "state/json_splitter.h"

#include <utility>

namespace lacewing {

namespace {

// Keys, and members beside the array, which are numbers and truth values.
constexpr std::size_t max_member_bytes = 64;
constexpr std::size_t max_members = 16;
// The buffer that a longer element has needed is given back.
constexpr std::size_t max_idle_buffer_bytes = std::size_t{64} * 1024;

constexpr std::string_view json_space = " \t\r\n";
constexpr std::string_view value_end = ",:]} \t\r\n";

bool contains(std::string_view set, char wanted) {
    return set.find(wanted) != std::string_view::npos;
}

} // namespace

json_splitter::json_splitter(std::string_view array, std::size_t max_element_bytes,
                             element_handler on_element)
    : array_(array), max_element_bytes_(max_element_bytes), on_element_(std::move(on_element)) {}

bool json_splitter::feed(std::string_view bytes) {
    while (!bytes.empty() && state_ != state::broken) {
        // Bytes that end nothing are taken at once.
        if (reading_ && !bare_ && !escaped_) {
            const auto run = bytes.substr(0, bytes.find_first_of(in_string_ ? "\"\\" : "\"{}[]"));
            keep(run);
            bytes.remove_prefix(run.size());
            if (bytes.empty()) break;
        }
        step(bytes.front());
        bytes.remove_prefix(1);
    }
    return state_ != state::broken;
}

std::string_view json_splitter::member(std::string_view name) const {
    const auto found = members_.find(name);
    return found == members_.end() ? std::string_view() : std::string_view(found->second);
}

void json_splitter::step(char next) {
    if (reading_ && step_in_value(next)) return;
    if (!contains(json_space, next)) step_between_values(next);
}

void json_splitter::step_between_values(char next) {
    const auto move_to = [this](bool valid, state target) { state_ = valid ? target : state::broken; };
    switch (state_) {
    case state::begin:
        return move_to(next == '{', state::key);
    case state::key:
        if (next == '"') return begin_value(next);
        return move_to(next == '}', state::end);
    case state::colon:
        return move_to(next == ':', state::value);
    case state::value:
        if (next == '[' && key_ == array_) {
            array_seen_ = true;
            return move_to(true, state::element);
        }
        return begin_value(next);
    case state::after_value:
        return move_to(next == ',' || next == '}', next == ',' ? state::key : state::end);
    case state::element:
        if (next == ']') return move_to(true, state::after_value);
        return begin_value(next);
    case state::after_element:
        return move_to(next == ',' || next == ']', next == ',' ? state::element : state::after_value);
    case state::end:
    case state::broken:
        return move_to(false, state::broken);
    }
}

// Returns false when the value has ended before this character.
bool json_splitter::step_in_value(char next) {
    if (bare_) {
        if (contains(value_end, next)) {
            end_value();
            return false;
        }
        keep({&next, 1});
        return true;
    }
    keep({&next, 1});
    if (std::exchange(escaped_, false)) return true;
    if (in_string_) {
        escaped_ = next == '\\';
        in_string_ = next != '"';
    } else if (next == '"') {
        in_string_ = true;
    } else if (next == '{' || next == '[') {
        ++depth_;
    } else if (next == '}' || next == ']') {
        --depth_;
    }
    if (depth_ == 0 && !in_string_) end_value();
    return true;
}

void json_splitter::begin_value(char first) {
    if (contains(value_end, first)) {
        state_ = state::broken;
        return;
    }
    reading_ = true;
    too_long_ = false;
    in_string_ = first == '"';
    depth_ = first == '{' || first == '[' ? 1 : 0;
    bare_ = !in_string_ && depth_ == 0;
    keep({&first, 1});
}

void json_splitter::end_value() {
    reading_ = false;
    switch (state_) {
    case state::key:
        key_ = too_long_ ? "" : value_.substr(1, value_.size() - 2);
        state_ = state::colon;
        break;
    case state::value:
        if (!too_long_ && members_.size() < max_members) members_[key_] = value_;
        state_ = state::after_value;
        break;
    default:
        on_element_(too_long_ ? nullptr : &value_);
        state_ = state::after_element;
    }
    value_.clear();
    if (value_.capacity() > max_idle_buffer_bytes) value_.shrink_to_fit();
}

void json_splitter::keep(std::string_view bytes) {
    const auto limit = state_ == state::element ? max_element_bytes_ : max_member_bytes;
    too_long_ = too_long_ || value_.size() + bytes.size() > limit;
    if (too_long_) {
        value_.clear();
    } else {
        // A long element gets all of its room at once, which takes memory only as far as it is used.
        if (value_.size() + bytes.size() > max_idle_buffer_bytes) value_.reserve(limit);
        value_.append(bytes);
    }
}

} // namespace lacewing
