#include "store.h"

#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <stdexcept>
#include <utility>
#include <vector>

namespace review {

namespace {

constexpr std::int64_t history_ms = 20'000;
constexpr std::size_t page_objects = 500;
constexpr std::size_t page_bytes = 1'048'576;

std::string decoded(const std::string& text) {
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::vector<std::string> split(const std::string& text, char separator) {
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const auto end = std::min(text.find(separator, begin), text.size());
        if (end > begin) parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

} // namespace

std::string to_text(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value from_text(const std::string& text) {
    Json::Value value;
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr))
        throw std::runtime_error("not JSON: " + text);
    return value;
}

void object_store::serve(int port, const text_filter& filter) {
    serve_http(port, [this, filter](const http_message& request) { return answer(request, filter); });
}

// Records a change; the caller holds the lock.
void object_store::commit(const std::string& kind, const std::string& name, Json::Value object,
                          bool deleted) {
    const auto revision = ++content_.revision;
    auto& metadata = object["metadata"];
    metadata["name"] = name;
    metadata["revision"] = Json::UInt64(revision);
    if (!metadata.isMember("createdRev")) metadata["createdRev"] = Json::UInt64(revision);
    if (!metadata.isMember("finalizers")) metadata["finalizers"] = Json::arrayValue;
    metadata["deleting"] = false;
    const auto text = std::make_shared<const std::string>(to_text(object));
    if (deleted) {
        content_.objects[kind].erase(name);
    } else {
        content_.objects[kind][name] = {std::move(object), text};
    }
    content_.events[kind].push_back({revision, now_ms(), text, deleted});
    changed_.notify_all();
}

void object_store::put(const std::string& kind, const std::string& name, const std::string& spec) {
    auto wanted = from_text(spec);
    const std::lock_guard lock(mutex_);
    auto object = content_.objects[kind].contains(name) ? content_.objects[kind][name].value : Json::Value();
    if (object.isMember("spec") && object["spec"] == wanted) return;
    object["spec"] = std::move(wanted);
    commit(kind, name, std::move(object), false);
}

void object_store::remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    auto& objects = content_.objects[kind];
    const auto found = objects.find(name);
    if (found != objects.end()) commit(kind, name, Json::Value(found->second.value), true);
}

Json::Value object_store::read(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto& objects = content_.objects[kind];
    const auto found = objects.find(name);
    return found == objects.end() ? Json::Value() : found->second.value;
}

void object_store::keep_copy() {
    const std::lock_guard lock(mutex_);
    copy_ = content_;
}

void object_store::restore() {
    const std::lock_guard lock(mutex_);
    content_ = copy_;
    ++era_;
    changed_.notify_all();
}

void object_store::set_away(bool away) {
    const std::lock_guard lock(mutex_);
    away_ = away;
    changed_.notify_all();
}

std::string object_store::list(const std::string& kind, const std::string& after) const {
    std::string items;
    std::size_t count = 0;
    bool has_more = false;
    const auto objects = content_.objects.find(kind);
    if (objects != content_.objects.end()) {
        for (auto item = objects->second.upper_bound(after); item != objects->second.end(); ++item) {
            if (count == page_objects ||
                (count > 0 && items.size() + item->second.text->size() > page_bytes)) {
                has_more = true;
                break;
            }
            items += (count++ == 0 ? "" : ",") + *item->second.text;
        }
    }
    return R"({"items":[)" + items + R"(],"hasMore":)" + (has_more ? "true" : "false") + R"(,"asOf":)" +
           std::to_string(content_.revision) + "}";
}

std::string object_store::watch(const std::string& kind, std::uint64_t after, std::int64_t wait_ms,
                                int& status) {
    std::unique_lock lock(mutex_);
    const auto era = era_;
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
    for (;;) {
        if (away_) return {};
        auto& events = content_.events[kind];
        while (!events.empty() && now_ms() - events.front().at > history_ms) {
            content_.forgotten[kind] = events.front().revision;
            events.pop_front();
        }
        if (era != era_ || after > content_.revision || after < content_.forgotten[kind]) {
            status = 410;
            return "{}";
        }
        std::string listed;
        for (const auto& item : events) {
            if (item.revision <= after) continue;
            listed += (listed.empty() ? "" : ",");
            listed += R"({"object":)" + *item.text + R"(,"deleted":)" + (item.deleted ? "true}" : "false}");
        }
        if (!listed.empty() || std::chrono::steady_clock::now() >= until) {
            return R"({"events":[)" + listed + R"(],"asOf":)" + std::to_string(content_.revision) + "}";
        }
        changed_.wait_until(lock, until);
    }
}

std::string object_store::write(const http_message& request, const std::string& kind, const std::string& name,
                                bool of_status, const std::string& query_revision, int& status) {
    const std::lock_guard lock(mutex_);
    const auto body = request.body.empty() ? Json::Value(Json::objectValue) : from_text(request.body);
    auto& objects = content_.objects[kind];
    if (request.method == "POST") {
        const auto new_name = body["metadata"]["name"].asString();
        if (objects.contains(new_name)) {
            status = 409;
            return *objects[new_name].text;
        }
        Json::Value object;
        object["spec"] = body["spec"];
        commit(kind, new_name, std::move(object), false);
        return *objects[new_name].text;
    }
    if (!objects.contains(name)) {
        status = 404;
        return "{}";
    }
    auto object = objects[name].value;
    const auto& wanted = body["metadata"]["revision"];
    const auto condition =
        wanted.isUInt64() ? wanted.asUInt64() : std::strtoull(query_revision.c_str(), nullptr, 10);
    if (condition != 0 && condition != object["metadata"]["revision"].asUInt64()) {
        status = 409;
        return to_text(object);
    }
    if (request.method == "DELETE") {
        commit(kind, name, object, true);
        return to_text(object);
    }
    const char* part = of_status ? "status" : "spec";
    if (object[part] == body[part]) return to_text(object);
    object[part] = body[part];
    commit(kind, name, std::move(object), false);
    return *objects[name].text;
}

std::string object_store::answer(const http_message& request, const text_filter& filter) {
    const auto question = request.target.find('?');
    const auto path = split(request.target.substr(0, question), '/');
    std::map<std::string, std::string> query;
    if (question != std::string::npos) {
        for (const auto& item : split(request.target.substr(question + 1), '&')) {
            const auto equals = item.find('=');
            if (equals != std::string::npos) query[item.substr(0, equals)] = decoded(item.substr(equals + 1));
        }
    }
    if (path.size() < 3 || path[0] != "-" || path[1] != "objects") return http_answer(404, {}, "{}");
    const auto& kind = path[2];
    const auto name = path.size() > 3 ? decoded(path[3]) : std::string();
    int status = 200;
    std::string body;
    if (request.method != "GET") {
        {
            const std::lock_guard lock(mutex_);
            if (away_) return {};
        }
        body = write(request, kind, name, path.size() > 4, query["revision"], status);
        if (on_write) on_write(request.method + " " + request.target, request.body, status);
    } else if (query.contains("watch")) {
        body = watch(kind, std::strtoull(query["watch"].c_str(), nullptr, 10),
                     std::atoll(query["waitMs"].c_str()), status);
    } else {
        const std::lock_guard lock(mutex_);
        if (away_) return {};
        if (name.empty()) {
            body = list(kind, query["after"]);
        } else if (content_.objects[kind].contains(name)) {
            body = *content_.objects[kind][name].text;
        } else {
            status = 404;
            body = "{}";
        }
    }
    if (body.empty()) return {};
    std::string era;
    {
        const std::lock_guard lock(mutex_);
        era = std::to_string(era_);
    }
    return http_answer(status, {{"Content-Type", "application/json"}, {"Store-Era", era}},
                       filter ? filter(std::move(body)) : body);
}

} // namespace review
