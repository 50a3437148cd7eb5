#include "protocol/log_story.h"

#include <algorithm>
#include <charconv>
#include <istream>

namespace lacewing {

namespace {

// A line that counts the lines left out speaks for the second before it.
constexpr std::int64_t left_out_interval_ms = 1'000;

// Reads a quoted value, with its escapes, from behind the opening quote; nothing when it does not end.
std::optional<std::string> take_quoted(std::string_view& text) {
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

std::optional<std::pair<std::string, std::string>> take_field(std::string_view& text) {
    while (text.starts_with(' '))
        text.remove_prefix(1);
    const auto equals = text.find('=');
    if (equals == std::string_view::npos || equals == 0) return std::nullopt;
    std::string name(text.substr(0, equals));
    text.remove_prefix(equals + 1);
    if (text.starts_with('"')) {
        text.remove_prefix(1);
        auto value = take_quoted(text);
        if (!value) return std::nullopt;
        return std::pair(std::move(name), std::move(*value));
    }
    const auto end = std::min(text.size(), text.find(' '));
    std::string value(text.substr(0, end));
    text.remove_prefix(end);
    return std::pair(std::move(name), std::move(value));
}

int number_at(std::string_view text, std::size_t at, std::size_t digits) {
    int value = 0;
    if (text.size() < at + digits) return 0;
    std::from_chars(text.data() + at, text.data() + at + digits, value);
    return value;
}

// Milliseconds since the start of a month of "YYYY-MM-DDTHH:MM:SS.mmm": enough to compare lines of one story.
std::int64_t milliseconds_of(std::string_view time) {
    const std::int64_t hours = std::int64_t{24} * number_at(time, 8, 2) + number_at(time, 11, 2);
    const std::int64_t seconds = (hours * 60 + number_at(time, 14, 2)) * 60 + number_at(time, 17, 2);
    return seconds * 1000 + number_at(time, 20, 3);
}

// Whether a line of the request's VM or about its endpoint helps to explain it.
bool explains(const story_line& other, const story_line& own) {
    const auto span = milliseconds_of(own.line.time) - milliseconds_of(other.line.time);
    if (span < 0 || span > story_collector::context_ms) return false;
    if (other.line.event == "log_lines_left_out" && span > left_out_interval_ms) return false;
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
    log_line made;
    while (!text.empty()) {
        auto field = take_field(text);
        if (!field) return std::nullopt;
        auto& [name, value] = *field;
        if (name == "time" && made.time.empty()) {
            made.time = std::move(value);
        } else if (name == "level" && made.level.empty()) {
            made.level = std::move(value);
        } else if (name == "event" && made.event.empty()) {
            made.event = std::move(value);
        } else {
            made.fields.push_back(std::move(*field));
        }
    }
    if (made.level.empty() || made.event.empty()) return std::nullopt;
    return made;
}

void story_collector::read(const std::string& source, std::istream& in) {
    std::string text;
    while (std::getline(in, text)) {
        if (text.ends_with('\r')) text.pop_back();
        auto line = parse_log_line(text);
        if (!line) continue;
        const bool own = line->field("id") == id_;
        // Lines about other requests never explain this one.
        if (!own && line->event == "request") continue;
        (own ? own_ : others_).push_back({source, std::move(*line), own});
    }
}

std::vector<story_line> story_collector::story() const {
    auto made = own_;
    for (const auto& other : others_) {
        const bool useful =
            std::any_of(own_.begin(), own_.end(), [&other](const auto& own) { return explains(other, own); });
        if (useful) made.push_back(other);
    }
    std::stable_sort(made.begin(), made.end(),
                     [](const auto& a, const auto& b) { return a.line.time < b.line.time; });
    return made;
}

} // namespace lacewing
