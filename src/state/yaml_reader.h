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

/// @brief Unit of a duration that is written without one.
enum class duration_unit : std::uint8_t { milliseconds, seconds };

/// @brief Typed access to one map of a YAML or JSON text; every error names file, line and field.
class yaml_reader {
public:
    /// @brief Largest integer that a text may hold; amounts are later counted in millionths of a request.
    static constexpr std::int64_t max_integer = 1'000'000'000;

    /// @brief Parses a text whose root is a map; an empty text is an empty map.
    /// @throws config_error for a syntax error, another root, or a text over max_config_bytes.
    yaml_reader(std::string_view text, std::string_view file);

    /// @brief Throws config_error unless the map holds only these fields, each at most once.
    void allow(std::initializer_list<std::string_view> fields) const;

    [[nodiscard]] bool has(std::string_view field) const;
    [[nodiscard]] const std::string& file() const { return file_; }
    /// @brief 1-based line of the map, 0 for an empty text.
    [[nodiscard]] int line() const { return line_of(node_); }
    /// @brief 1-based line of a field, that of the map when the field is absent.
    [[nodiscard]] int line(std::string_view field) const;

    /// @brief Required non-empty text.
    [[nodiscard]] std::string text(std::string_view field) const;
    [[nodiscard]] std::string text_or(std::string_view field, std::string_view fallback) const;
    /// @brief Required name of letters, digits, '.', '_' and '-', which is safe in URLs and object keys.
    [[nodiscard]] std::string name(std::string_view field) const;
    /// @brief Required address of the form ip:port.
    [[nodiscard]] std::string address(std::string_view field) const;
    [[nodiscard]] std::int64_t integer(std::string_view field, std::int64_t least) const;
    [[nodiscard]] std::int64_t integer_or(std::string_view field, std::int64_t least,
                                          std::int64_t fallback) const;
    [[nodiscard]] bool flag_or(std::string_view field, bool fallback) const;
    /// @brief Required rate in requests per second: an integer, or one with /s, /min or /h.
    [[nodiscard]] std::int64_t rate(std::string_view field) const;
    /// @brief Duration as an integer in the given unit, or one with ms, s, min or h.
    [[nodiscard]] time_ms duration_or(std::string_view field, duration_unit unit, time_ms fallback) const;
    /// @brief Map under a field, an empty map when the field is absent.
    [[nodiscard]] yaml_reader map(std::string_view field) const;
    /// @brief Maps of a list, none when the field is absent.
    [[nodiscard]] std::vector<yaml_reader> list(std::string_view field) const;
    /// @brief Texts of a list, none when the field is absent.
    [[nodiscard]] std::vector<std::string> texts(std::string_view field) const;

    /// @brief Throws config_error at the line of the field.
    [[noreturn]] void fail(std::string_view field, const std::string& reason) const;

private:
    yaml_reader(const YAML::Node& node, std::string file, std::string path);

    static int line_of(const YAML::Node& node);
    [[nodiscard]] std::string path_of(std::string_view field) const;
    [[nodiscard]] YAML::Node find(std::string_view field) const;
    [[nodiscard]] YAML::Node required(std::string_view field) const;
    [[nodiscard]] std::string scalar(std::string_view field, std::string_view expected) const;

    YAML::Node node_;
    std::string file_;
    std::string path_;
};

/// @brief Whether a text has the form ip:port with a port from 1 to 65535; IPv6 addresses stand in brackets.
bool is_socket_address(std::string_view text);

} // namespace lacewing
