#pragma once

#include <json/value.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// Deepest nesting of a JSON text that is read. The deepest object of the system, a snapshot of
/// configurations, has about ten levels.
inline constexpr int max_json_depth = 64;

/// @brief Reads a JSON text from another process.
/// @param problem Receives the reason when the text is rejected; may be null.
/// @return The value; nothing when the text is malformed, nested too deeply, or has a number that does not
/// fit. Never throws for any text.
std::optional<Json::Value> read_json(std::string_view text, std::string* problem = nullptr);

/// @brief Writes a value as JSON on one line.
std::string compact_json(const Json::Value& value);

/// @brief Finds a member of a JSON object without reading the other members, which may be unreadable.
/// @param object Text of a JSON object.
/// @return Text of the member's value; nothing when the object has no such member or ends early.
std::optional<std::string_view> find_json_member(std::string_view object, std::string_view name);

/// @brief Splits a JSON array without reading its elements, so that an unreadable one leaves the others.
/// @param array Text of a JSON array.
/// @return Texts of the elements; nothing when the text is no array or ends early.
std::optional<std::vector<std::string_view>> split_json_array(std::string_view array);

} // namespace lacewing
