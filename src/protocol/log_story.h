#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewing {

/// @brief One line of a structured log, taken apart.
struct log_line {
    /// UTC, so that lines of several VMs compare as texts.
    std::string time;
    std::string level;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    /// @brief Value of a field; empty when the line has none of that name.
    [[nodiscard]] std::string_view field(std::string_view name) const;
};

/// @brief Takes one line apart. Text before "time=" is skipped, as collectors put it there.
/// @return Nothing for lines that are not of this format.
std::optional<log_line> parse_log_line(std::string_view text);

/// @brief Line of a story, with the log that it comes from.
struct story_line {
    std::string source;
    log_line line;
    /// The line is about the request itself; others tell what its VM or endpoint went through.
    bool own = false;
};

/// @brief Collects what logs tell about one request: its own lines, and what its VMs and endpoints reported
/// shortly before it ended.
class story_collector {
public:
    /// Warnings, lost dependencies and changes of the endpoint count for this long before a line of the
    /// request, in milliseconds: longer than the longest deadline of a usual route.
    static constexpr std::int64_t context_ms = 5'000;

    explicit story_collector(std::string id) : id_(std::move(id)) {}

    /// @brief Reads one log.
    /// @param source Name under which its lines appear, such as the name of its file.
    void read(const std::string& source, std::istream& in);

    /// @brief The lines in the order of time; empty when no line names the request.
    [[nodiscard]] std::vector<story_line> story() const;

private:
    std::string id_;
    std::vector<story_line> own_;
    std::vector<story_line> others_;
};

} // namespace lacewing
