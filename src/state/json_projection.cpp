#include "state/json_projection.h"

#include <fmt/format.h>
#include <rapidjson/encodedstream.h>
#include <rapidjson/error/en.h>
#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstdint>

namespace lacewing {

namespace {

/// Output stream for the writer of RapidJSON.
struct string_stream {
    using Ch = char;
    void Put(char next) { text.push_back(next); }
    void Flush() {}
    std::string text;
};

/// Receives the events of the parser and writes those that belong to the shape.
class projector {
public:
    projector(const json_shape& shape, const projection_limits& limits)
        : root_(shape), limits_(limits), writer_(out_) {}

    bool Null() {
        return write([&] { writer_.Null(); });
    }
    bool Bool(bool value) {
        return write([&] { writer_.Bool(value); });
    }
    bool Int(int value) {
        return write([&] { writer_.Int(value); });
    }
    bool Uint(unsigned value) {
        return write([&] { writer_.Uint(value); });
    }
    bool Int64(std::int64_t value) {
        return write([&] { writer_.Int64(value); });
    }
    bool Uint64(std::uint64_t value) {
        return write([&] { writer_.Uint64(value); });
    }
    bool Double(double value) {
        return write([&] { writer_.Double(value); });
    }
    // The parser is not set to pass numbers on as text.
    bool RawNumber(const char*, rapidjson::SizeType, bool) { return false; }
    bool String(const char* text, rapidjson::SizeType length, bool) {
        return write([&] {
            if (length <= limits_.max_string_bytes) {
                writer_.String(text, length);
            } else {
                writer_.StartArray();
                writer_.EndArray();
            }
        });
    }
    bool StartObject() { return start(false); }
    bool Key(const char* text, rapidjson::SizeType length, bool) {
        member_ = nullptr;
        const auto* shape = open_.back();
        if (shape == nullptr) return true;
        if (shape->kind == json_shape::type::map) {
            member_ = &shape->parts.front();
            writer_.Key(text, length);
            return true;
        }
        const std::string_view name(text, length);
        const auto found = std::find_if(shape->parts.begin(), shape->parts.end(),
                                        [&](const auto& part) { return part.name == name; });
        if (found == shape->parts.end()) return true;
        member_ = &*found;
        writer_.Key(text, length);
        return true;
    }
    bool EndObject(rapidjson::SizeType) { return end(); }
    bool StartArray() { return start(true); }
    bool EndArray(rapidjson::SizeType) { return end(); }

    /// Why the projector has stopped the parser; empty when it has not.
    [[nodiscard]] const std::string& problem() const { return problem_; }
    std::string take() { return std::move(out_.text); }

private:
    // Shape of the value that comes next; null when it is left out.
    [[nodiscard]] const json_shape* next_shape() const {
        if (open_.empty()) return &root_;
        const auto* container = open_.back();
        if (container == nullptr) return nullptr;
        return container->kind == json_shape::type::list ? &container->parts.front() : member_;
    }

    bool stop(std::string problem) {
        problem_ = std::move(problem);
        return false;
    }

    template <class Writing>
    bool write(Writing writing) {
        if (next_shape() == nullptr) return true;
        if (++values_ > limits_.max_values)
            return stop(fmt::format("more than {} values", limits_.max_values));
        writing();
        return true;
    }

    bool start(bool is_list) {
        if (open_.size() >= max_json_depth) return stop(fmt::format("nested deeper than {}", max_json_depth));
        const auto* shape = next_shape();
        const bool keeps = shape != nullptr && shape->kind != json_shape::type::scalar &&
                           (shape->kind == json_shape::type::list) == is_list;
        const bool counted = write([&] {
            if (is_list) {
                writer_.StartArray();
                if (!keeps) writer_.EndArray();
            } else {
                writer_.StartObject();
                if (!keeps) writer_.EndObject();
            }
        });
        open_.push_back(keeps ? shape : nullptr);
        return counted;
    }

    bool end() {
        const auto* shape = open_.back();
        open_.pop_back();
        if (shape == nullptr) return true;
        if (shape->kind == json_shape::type::list) {
            writer_.EndArray();
        } else {
            writer_.EndObject();
        }
        return true;
    }

    const json_shape& root_;
    const projection_limits& limits_;
    string_stream out_;
    rapidjson::Writer<string_stream> writer_;
    // Shapes of the containers that are open; null for one that is left out.
    std::vector<const json_shape*> open_;
    const json_shape* member_ = nullptr;
    std::size_t values_ = 0;
    std::string problem_;
};

} // namespace

json_shape object_shape(std::vector<json_shape> members) {
    return {json_shape::type::object, {}, std::move(members)};
}

json_shape object_of_scalars(std::initializer_list<std::string_view> names) {
    auto made = object_shape({});
    for (const auto name : names)
        made.parts.push_back(named(name, {}));
    return made;
}

json_shape list_shape(json_shape element) {
    json_shape made{json_shape::type::list, {}, {}};
    made.parts.push_back(std::move(element));
    return made;
}

json_shape map_shape(json_shape member) {
    auto made = list_shape(std::move(member));
    made.kind = json_shape::type::map;
    return made;
}

json_shape named(std::string_view name, json_shape shape) {
    shape.name = name;
    return shape;
}

std::optional<std::string> project_json(std::string_view text, const json_shape& shape,
                                        const projection_limits& limits, std::string* problem) {
    rapidjson::MemoryStream bytes(text.data(), text.size());
    rapidjson::EncodedInputStream<rapidjson::UTF8<>, rapidjson::MemoryStream> stream(bytes);
    rapidjson::Reader reader;
    projector handler(shape, limits);
    constexpr unsigned flags = rapidjson::kParseIterativeFlag | rapidjson::kParseFullPrecisionFlag;
    const auto result = reader.Parse<flags>(stream, handler);
    if (!result.IsError()) return handler.take();
    if (problem != nullptr) {
        *problem =
            handler.problem().empty()
                ? fmt::format("{} (byte {})", rapidjson::GetParseError_En(result.Code()), result.Offset())
                : handler.problem();
    }
    return std::nullopt;
}

} // namespace lacewing
