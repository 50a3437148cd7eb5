#include "protocol/log_timeline.h"

#include <algorithm>
#include <charconv>
#include <istream>

namespace lacewing {

namespace {

// A log_lines_left_out line counts the lines that were dropped in the second before it.
constexpr std::int64_t dropped_lines_interval_ms = 1'000;

// Removes a quoted value, up to and including its closing quote, from the start of a text that begins after
// the opening quote. Returns the value without escapes, or nothing when the closing quote is missing or an
// escape is malformed.
std::optional<std::string> consume_quoted(std::string_view& text) {
    std::string value;
    while (!text.empty()) {
        const char c = text.front();
        text.remove_prefix(1);
        if (c == '"') return value;
        if (c != '\\') {
            value += c;
            continue;
        }
        if (text.empty()) return std::nullopt;
        const char escaped = text.front();
        text.remove_prefix(1);
        unsigned code = 0;
        if (escaped != 'x') {
            value += escaped;
        } else if (text.size() >= 2 &&
                   std::from_chars(text.data(), text.data() + 2, code, 16).ec == std::errc{}) {
            value += static_cast<char>(code);
            text.remove_prefix(2);
        } else {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

// Removes one name=value field from the start of a text; nothing when it is malformed.
std::optional<std::pair<std::string, std::string>> consume_field(std::string_view& text) {
    while (text.starts_with(' '))
        text.remove_prefix(1);
    const auto equals = text.find('=');
    if (equals == std::string_view::npos || equals == 0) return std::nullopt;
    std::string name(text.substr(0, equals));
    text.remove_prefix(equals + 1);
    if (text.starts_with('"')) {
        text.remove_prefix(1);
        auto value = consume_quoted(text);
        if (!value) return std::nullopt;
        return std::pair(std::move(name), std::move(*value));
    }
    const auto end = std::min(text.size(), text.find(' '));
    std::string value(text.substr(0, end));
    text.remove_prefix(end);
    return std::pair(std::move(name), std::move(value));
}

int parse_digits(std::string_view text, std::size_t position, std::size_t digits) {
    int value = 0;
    if (text.size() < position + digits) return 0;
    std::from_chars(text.data() + position, text.data() + position + digits, value);
    return value;
}

// Converts "YYYY-MM-DDTHH:MM:SS.mmm" to milliseconds within its month, which is enough to compare the lines
// about one request.
std::int64_t milliseconds_in_month(std::string_view time) {
    const std::int64_t hours = std::int64_t{24} * parse_digits(time, 8, 2) + parse_digits(time, 11, 2);
    const std::int64_t seconds = (hours * 60 + parse_digits(time, 14, 2)) * 60 + parse_digits(time, 17, 2);
    return seconds * 1000 + parse_digits(time, 20, 3);
}

// Returns whether `other` gives context for `own`, a line of the request: it is at most context_window_ms
// older, and either about the same endpoint or a warning or error of the same log.
bool is_context_of(const timeline_entry& other, const timeline_entry& own) {
    const auto age_ms = milliseconds_in_month(own.line.time) - milliseconds_in_month(other.line.time);
    if (age_ms < 0 || age_ms > timeline_collector::context_window_ms) return false;
    if (other.line.event == "log_lines_left_out" && age_ms > dropped_lines_interval_ms) return false;
    const auto endpoint = own.line.field("endpoint");
    if (!endpoint.empty() && other.line.field("endpoint") == endpoint) return true;
    return other.source == own.source && other.line.level != "info" && other.line.level != "debug";
}

} // namespace

std::string_view log_line::field(std::string_view name) const {
    const auto found =
        std::find_if(fields.begin(), fields.end(), [name](const auto& entry) { return entry.first == name; });
    return found == fields.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<log_line> parse_log_line(std::string_view text) {
    const auto begin = text.find("time=");
    if (begin == std::string_view::npos || (begin > 0 && text[begin - 1] != ' ')) return std::nullopt;
    text.remove_prefix(begin);
    log_line result;
    while (!text.empty()) {
        auto field = consume_field(text);
        if (!field) return std::nullopt;
        auto& [name, value] = *field;
        if (name == "time" && result.time.empty()) {
            result.time = std::move(value);
        } else if (name == "level" && result.level.empty()) {
            result.level = std::move(value);
        } else if (name == "event" && result.event.empty()) {
            result.event = std::move(value);
        } else {
            result.fields.push_back(std::move(*field));
        }
    }
    if (result.level.empty() || result.event.empty()) return std::nullopt;
    return result;
}

void timeline_collector::read(const std::string& source, std::istream& in) {
    std::string text;
    while (std::getline(in, text)) {
        if (text.ends_with('\r')) text.pop_back();
        auto line = parse_log_line(text);
        if (!line) continue;
        const bool own = line->field("id") == id_;
        // Lines about other requests give no context.
        if (!own && line->event == "request") continue;
        (own ? request_lines_ : context_candidates_).push_back({source, std::move(*line), own});
    }
}

std::vector<timeline_entry> timeline_collector::timeline() const {
    auto result = request_lines_;
    for (const auto& other : context_candidates_) {
        const bool useful = std::any_of(request_lines_.begin(), request_lines_.end(),
                                        [&other](const auto& own) { return is_context_of(other, own); });
        if (useful) result.push_back(other);
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const auto& a, const auto& b) { return a.line.time < b.line.time; });
    return result;
}

} // namespace lacewing
