#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewing {

/// @brief One parsed line of a structured log.
struct log_line {
    /// UTC timestamp, "YYYY-MM-DDTHH:MM:SS.mmmZ"; compared as text, also between lines of different VMs.
    std::string time;
    std::string level;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    /// @brief Returns the value of a field, or an empty text when the line has no field of that name.
    [[nodiscard]] std::string_view field(std::string_view name) const;
};

/// @brief Parses one line. Text before "time=" is skipped, because log collectors add prefixes.
/// @return Nothing when the line is not of this format.
std::optional<log_line> parse_log_line(std::string_view text);

/// @brief Log line in the timeline of a request, with the log that it comes from.
struct timeline_entry {
    std::string source;
    log_line line;
    /// True for a line about the request itself, false for a line that gives context about its VM or
    /// endpoint.
    bool own = false;
};

/// @brief Collects the log lines that explain one request: its own lines, and those about its VMs and
/// endpoints from shortly before.
class timeline_collector {
public:
    /// Warnings and errors of the VM and lines about the endpoint are included when they are at most this
    /// much older than a line of the request, in milliseconds. Longer than the longest deadline of a usual
    /// route.
    static constexpr std::int64_t context_window_ms = 5'000;

    explicit timeline_collector(std::string id) : id_(std::move(id)) {}

    /// @brief Reads the lines of one log.
    /// @param source Name of the log in the timeline, such as its file name.
    void read(const std::string& source, std::istream& in);

    /// @brief Returns the lines in order of time; empty when no line names the request.
    [[nodiscard]] std::vector<timeline_entry> timeline() const;

private:
    std::string id_;
    std::vector<timeline_entry> request_lines_;
    std::vector<timeline_entry> context_candidates_;
};

} // namespace lacewing
