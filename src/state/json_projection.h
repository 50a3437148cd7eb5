#pragma once

#include "state/json_text.h"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// @brief What a reader of a JSON value needs of it; everything else is left out of a projection.
struct json_shape {
    enum class type : std::uint8_t {
        scalar,
        list,
        object,
        /// Object with members of any names.
        map
    };

    type kind = type::scalar;
    /// Name as a member of an object; the text must outlive the shape.
    std::string_view name;
    /// The members of an object, or the one shape of all elements of a list or members of a map.
    std::vector<json_shape> parts;
};

/// @brief Shape of an object.
/// @param members Shapes with names.
json_shape object_shape(std::vector<json_shape> members);
/// @brief Shape of an object whose members with these names are scalars.
json_shape object_of_scalars(std::initializer_list<std::string_view> names);
/// @brief Shape of a list whose elements have the given shape.
json_shape list_shape(json_shape element);
/// @brief Shape of an object with members of any names that have the given shape.
json_shape map_shape(json_shape member);
/// @brief The shape as a member of an object.
json_shape named(std::string_view name, json_shape shape);

/// @brief Limits of a projection.
struct projection_limits {
    /// Longest string that is kept, in bytes.
    std::size_t max_string_bytes = std::size_t{16} * 1024;
    /// Most values that are kept, containers included.
    std::size_t max_values = 64;
};

/// @brief Reads a JSON text from another process and returns the part of it that has the given shape.
///
/// The whole text is checked, but only the returned text takes memory. A container in the place of another
/// type, or a string over the limit, is replaced by an empty container, so that whoever reads the result
/// finds a value of the wrong type.
/// @param problem Receives the reason when the text is rejected; may be null.
/// @return Compact JSON; nothing when the text is malformed, nested deeper than max_json_depth, has a number
/// that does not fit, or has more values of the shape than the limit. Never throws for any text.
std::optional<std::string> project_json(std::string_view text, const json_shape& shape,
                                        const projection_limits& limits, std::string* problem = nullptr);

} // namespace lacewing
