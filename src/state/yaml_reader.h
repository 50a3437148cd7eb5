#pragma once

#include "state/configuration.h"
#include "state/time_ms.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace lacewing {

/// @brief Unit of a duration that is given without a unit.
enum class duration_unit : std::uint8_t { milliseconds, seconds };

/// @brief Typed access to the fields of one map of a YAML or JSON text. Every error names file, line and
/// field.
class yaml_reader {
public:
    /// @brief Largest integer that a text may contain. It leaves room for a factor of 1,000,000, since rates
    /// are converted to millionths of a request.
    static constexpr std::int64_t max_integer = 1'000'000'000;

    /// @brief Parses a text whose root is a map; an empty text is an empty map.
    /// @throws config_error for a syntax error, a root that is not a map, or a text over max_config_bytes.
    yaml_reader(std::string_view text, std::string_view file);

    /// @brief Throws config_error unless the map contains only these fields, each at most once.
    void check_fields(std::initializer_list<std::string_view> fields) const;

    [[nodiscard]] bool has(std::string_view field) const;
    [[nodiscard]] const std::string& file() const { return file_; }
    /// @brief 1-based line of the map, 0 for an empty text.
    [[nodiscard]] int line() const { return line_of(node_); }
    /// @brief 1-based line of a field, or of the map when the field is absent.
    [[nodiscard]] int line(std::string_view field) const;

    /// @brief Required non-empty text.
    [[nodiscard]] std::string text(std::string_view field) const;
    [[nodiscard]] std::string text_or(std::string_view field, std::string_view default_value) const;
    /// @brief Required name of letters, digits, '.', '_' and '-', which is safe in URLs and object keys.
    [[nodiscard]] std::string name(std::string_view field) const;
    /// @brief Required address of the form ip:port.
    [[nodiscard]] std::string address(std::string_view field) const;
    /// @brief Required integer from `minimum` to max_integer.
    [[nodiscard]] std::int64_t integer(std::string_view field, std::int64_t minimum) const;
    [[nodiscard]] std::int64_t integer_or(std::string_view field, std::int64_t minimum,
                                          std::int64_t default_value) const;
    /// @brief Number of at least 0 that may have decimals.
    [[nodiscard]] double number_or(std::string_view field, double default_value) const;
    [[nodiscard]] bool boolean_or(std::string_view field, bool default_value) const;
    /// @brief Required rate, returned in requests per second: an integer without a unit or with /s, /min or
    /// /h.
    [[nodiscard]] std::int64_t rate(std::string_view field) const;
    /// @brief Duration: an integer in the given unit, or an integer with ms, s, min or h.
    [[nodiscard]] time_ms duration_or(std::string_view field, duration_unit unit,
                                      time_ms default_value) const;
    /// @brief Map under a field, an empty map when the field is absent.
    [[nodiscard]] yaml_reader map(std::string_view field) const;
    /// @brief Maps of a list under a field; empty when the field is absent.
    [[nodiscard]] std::vector<yaml_reader> list(std::string_view field) const;
    /// @brief Texts of a list under a field; empty when the field is absent.
    [[nodiscard]] std::vector<std::string> text_list(std::string_view field) const;

    /// @brief Throws config_error with the line and path of the field.
    [[noreturn]] void fail(std::string_view field, const std::string& reason) const;

private:
    yaml_reader(const YAML::Node& node, std::string file, std::string path);

    static int line_of(const YAML::Node& node);
    [[nodiscard]] std::string path_of(std::string_view field) const;
    [[nodiscard]] YAML::Node find(std::string_view field) const;
    [[nodiscard]] YAML::Node find_required(std::string_view field) const;
    [[nodiscard]] std::string scalar(std::string_view field, std::string_view expected) const;

    YAML::Node node_;
    std::string file_;
    // Path from the root to this map for error messages, such as routes[0].
    std::string path_;
};

/// @brief Whether a text has the form ip:port with a port from 1 to 65535; an IPv6 address must be in
/// brackets.
bool is_socket_address(std::string_view text);

} // namespace lacewing
