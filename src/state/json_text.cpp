#include "state/json_text.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace lacewing {

namespace {

constexpr std::string_view json_space = " \t\r\n";

/// Finds the ends of JSON values by their brackets and quotes only, without recursion.
class json_scanner {
public:
    explicit json_scanner(std::string_view text) : text_(text) { skip_space(); }

    // Takes one character, with the space behind it, if it is next.
    bool take(char expected) {
        if (position_ >= text_.size() || text_[position_] != expected) return false;
        ++position_;
        skip_space();
        return true;
    }

    // Takes one value of any type, with the space behind it; nothing when it is empty or ends early.
    std::optional<std::string_view> take_value() {
        const auto begin = position_;
        std::size_t depth = 0;
        while (position_ < text_.size()) {
            const char next = text_[position_];
            if (next == '"') {
                if (!skip_string()) return std::nullopt;
                if (depth == 0) break;
                continue;
            }
            const bool closes = next == '}' || next == ']';
            if (depth == 0 && (closes || next == ',' || next == ':')) break;
            ++position_;
            if (next == '{' || next == '[') ++depth;
            if (closes && --depth == 0) break;
        }
        if (depth > 0) return std::nullopt;
        auto value = text_.substr(begin, position_ - begin);
        value = value.substr(0, value.find_last_not_of(json_space) + 1);
        skip_space();
        if (value.empty()) return std::nullopt;
        return value;
    }

private:
    void skip_space() { position_ = std::min(text_.find_first_not_of(json_space, position_), text_.size()); }

    bool skip_string() {
        for (++position_; position_ < text_.size(); ++position_) {
            if (text_[position_] == '\\') {
                ++position_;
            } else if (text_[position_] == '"') {
                ++position_;
                return true;
            }
        }
        return false;
    }

    std::string_view text_;
    std::size_t position_ = 0;
};

} // namespace

std::optional<Json::Value> read_json(std::string_view text, std::string* problem) {
    static const Json::CharReaderBuilder builder = [] {
        Json::CharReaderBuilder settings;
        settings["stackLimit"] = max_json_depth;
        return settings;
    }();
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &errors)) return value;
    } catch (const Json::Exception& failure) {
        // The reader reports excessive nesting only by an exception.
        errors = failure.what();
    }
    if (problem != nullptr) *problem = errors;
    return std::nullopt;
}

std::string compact_json(const Json::Value& value) {
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder settings;
        settings["indentation"] = "";
        return settings;
    }();
    return Json::writeString(builder, value);
}

std::optional<std::string_view> find_json_member(std::string_view object, std::string_view name) {
    json_scanner scanner(object);
    if (!scanner.take('{')) return std::nullopt;
    do {
        const auto key = scanner.take_value();
        if (!key || !scanner.take(':')) return std::nullopt;
        const auto value = scanner.take_value();
        if (!value) return std::nullopt;
        if (key->size() == name.size() + 2 && key->substr(1, name.size()) == name) return value;
    } while (scanner.take(','));
    return std::nullopt;
}

std::optional<std::vector<std::string_view>> split_json_array(std::string_view array) {
    json_scanner scanner(array);
    std::vector<std::string_view> elements;
    if (!scanner.take('[')) return std::nullopt;
    if (scanner.take(']')) return elements;
    do {
        const auto element = scanner.take_value();
        if (!element) return std::nullopt;
        elements.push_back(*element);
    } while (scanner.take(','));
    if (!scanner.take(']')) return std::nullopt;
    return elements;
}

} // namespace lacewing
