#include "transport/store_client.h"

#include "protocol/url.h"
#include "state/error_kind.h"
#include "state/json_text.h"
#include "transport/monotonic_clock.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>
#include <json/value.h>

#include <algorithm>
#include <chrono>
#include <memory>

namespace lacewing {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_value_bytes = std::size_t{1024} * 1024;
constexpr const char* writer_field = "written_by";

// Returns nullopt if the text is not a JSON object.
std::optional<Json::Value> parse_object(const std::string& text) {
    auto value = read_json(text);
    if (value && !value->isObject()) value.reset();
    return value;
}

std::optional<revision_id> parse_revision(const Json::Value& value) {
    const auto& revision = value["revision"];
    if (!revision.isUInt64()) return std::nullopt;
    return revision_id{revision.asUInt64()};
}

std::optional<revision_id> parse_revision(const http_response& response) {
    const auto body = parse_object(response.body());
    return body ? parse_revision(*body) : std::nullopt;
}

// Returns nullopt if the JSON is not an object or event of the store.
std::optional<object_event> parse_event(const Json::Value& value) {
    if (!value.isObject() || !value["key"].isString()) return std::nullopt;
    const auto revision = parse_revision(value);
    if (!revision) return std::nullopt;
    object_event event{value["key"].asString(), *revision, nullptr};
    if (value.isMember("value")) {
        event.value = std::make_shared<const std::string>(compact_json(value["value"]));
    }
    return event;
}

std::optional<store_objects> parse_objects(const std::string& text, std::string_view member) {
    const auto body = parse_object(text);
    if (!body) return std::nullopt;
    const auto revision = parse_revision(*body);
    const auto& list = (*body)[std::string(member)];
    if (!revision || !list.isArray()) return std::nullopt;
    store_objects objects{*revision, {}};
    for (const auto& entry : list) {
        auto event = parse_event(entry);
        if (!event) return std::nullopt;
        objects.objects.push_back(std::move(*event));
    }
    return objects;
}

bool is_written_by(const object_event& object, std::string_view writer) {
    if (writer.empty() || object.deleted()) return false;
    const auto value = parse_object(*object.value);
    return value && (*value)[writer_field].isString() && (*value)[writer_field].asString() == writer;
}

std::string object_target(std::string_view key) {
    return "/v1/objects/" + percent_encode(key);
}

store_unreachable unusable_response(const http_response& response) {
    return {true, fmt::format("unusable response with status {}", response.result_int())};
}

// Whether a 4xx status means a rejection that a retry cannot change.
bool is_rejection(unsigned status) {
    return status >= 400 && status < 500 && status != 408 && status != 412 && status != 429;
}

} // namespace

store_client::store_client(asio::any_io_executor executor, std::string_view address,
                           incarnation_id incarnation, const store_client_options& options)
    : executor_(executor), client_(std::move(executor), address), options_(options),
      incarnation_(incarnation) {}

// Performs one HTTP exchange; a transport failure becomes store_unreachable.
asio::awaitable<store_client::call_result> store_client::call(std::string method, std::string target,
                                                              http_headers headers, std::string body,
                                                              time_ms timeout) {
    store_unreachable failure;
    try {
        call_result response = co_await client_.request(std::move(method), std::move(target),
                                                        std::move(headers), std::move(body), timeout);
        co_return response;
    } catch (const http_error& exception) {
        failure.may_have_taken_effect = exception.failure() != http_failure::connect_failed;
        failure.detail = exception.what();
    }
    co_return call_result(std::move(failure));
}

asio::awaitable<store_write_result> store_client::put(std::string key, std::string value,
                                                      revision_id expected) {
    auto object = parse_object(value);
    if (!object) throw error(error_kind::bad_request, "the value of " + key + " is not a JSON object");
    write_request request;
    request.method = "PUT";
    request.written_by = fmt::format("{}:{}", to_hex(incarnation_), ++sequence_);
    (*object)[writer_field] = request.written_by;
    request.body = compact_json(*object);
    if (request.body.size() > max_value_bytes) {
        throw error(error_kind::body_too_large, "the value of " + key + " is larger than 1 MB");
    }
    request.key = std::move(key);
    request.expected = expected;
    store_write_result result = co_await write(std::move(request));
    co_return result;
}

asio::awaitable<store_write_result> store_client::erase(std::string key, revision_id expected) {
    write_request request;
    request.method = "DELETE";
    request.key = std::move(key);
    request.expected = expected;
    store_write_result result = co_await write(std::move(request));
    co_return result;
}

// Sends a conditional write repeatedly until its outcome is known or the deadline has passed.
asio::awaitable<store_write_result> store_client::write(write_request request) {
    const auto deadline = monotonic_now() + options_.write_deadline;
    bool outcome_unknown = false;
    asio::steady_timer pause(executor_);
    while (true) {
        http_headers headers{{"If-Match", std::to_string(request.expected.value)}};
        call_result outcome = co_await call(request.method, object_target(request.key), std::move(headers),
                                            request.body, options_.call_timeout);
        store_unreachable failure;
        if (const auto* response = std::get_if<http_response>(&outcome)) {
            const auto status = response->result_int();
            const auto revision = parse_revision(*response);
            if (status == 200 && revision) co_return store_write_applied{*revision};
            if (status == 412 && revision && !outcome_unknown) co_return store_conflict{*revision, false};
            if (is_rejection(status)) {
                throw error(
                    status == 413 ? error_kind::body_too_large : error_kind::bad_request,
                    fmt::format("the store rejects {} {} with {}", request.method, request.key, status));
            }
            failure = unusable_response(*response);
        } else {
            failure = std::get<store_unreachable>(outcome);
        }
        outcome_unknown = outcome_unknown || failure.may_have_taken_effect;
        failure.may_have_taken_effect = outcome_unknown;
        if (!outcome_unknown) co_return failure;
        std::optional<store_write_result> resolved;
        if (request.written_by.empty()) {
            resolved = co_await resolve_deletion(request);
        } else {
            resolved = co_await resolve_write(request);
        }
        if (resolved) co_return std::move(*resolved);
        if (monotonic_now() + options_.retry_delay >= deadline) co_return failure;
        pause.expires_after(std::chrono::milliseconds(options_.retry_delay.count));
        co_await pause.async_wait(asio::use_awaitable);
    }
}

// Determines the outcome of a write by reading the object back: its "written_by" names the last write.
// Returns nullopt if the object is unchanged or cannot be read.
asio::awaitable<std::optional<store_write_result>> store_client::resolve_write(const write_request& request) {
    store_get_result found = co_await get(request.key);
    const auto* object = std::get_if<std::optional<object_event>>(&found);
    if (object == nullptr) co_return std::nullopt;
    const auto current = object->has_value() ? (*object)->revision : revision_id{};
    if (object->has_value() && is_written_by(**object, request.written_by))
        co_return store_write_applied{current};
    if (current == request.expected) co_return std::nullopt;
    co_return store_conflict{current, true};
}

// Determines the outcome of a deletion. Reads a list, because its response has the store's revision even if
// the object is absent.
asio::awaitable<std::optional<store_write_result>>
store_client::resolve_deletion(const write_request& request) {
    store_list_result found = co_await list(request.key);
    const auto* objects = std::get_if<store_objects>(&found);
    if (objects == nullptr) co_return std::nullopt;
    const auto object = std::find_if(objects->objects.begin(), objects->objects.end(),
                                     [&](const object_event& entry) { return entry.key == request.key; });
    if (object == objects->objects.end()) co_return store_write_applied{objects->revision};
    if (object->revision == request.expected) co_return std::nullopt;
    co_return store_conflict{object->revision, true};
}

asio::awaitable<store_get_result> store_client::get(std::string key) {
    call_result outcome = co_await call("GET", object_target(key), {}, "", options_.call_timeout);
    if (auto* failure = std::get_if<store_unreachable>(&outcome)) co_return std::move(*failure);
    const auto& response = std::get<http_response>(outcome);
    if (response.result_int() == 404) co_return std::optional<object_event>();
    const auto body = parse_object(response.body());
    std::optional<object_event> object;
    if (response.result_int() == 200 && body) object = parse_event(*body);
    if (!object) co_return unusable_response(response);
    co_return object;
}

asio::awaitable<store_list_result> store_client::fetch_objects(std::string target, std::string_view member,
                                                               time_ms timeout) {
    call_result outcome = co_await call("GET", std::move(target), {}, "", timeout);
    if (auto* failure = std::get_if<store_unreachable>(&outcome)) co_return std::move(*failure);
    const auto& response = std::get<http_response>(outcome);
    std::optional<store_objects> objects;
    if (response.result_int() == 200) objects = parse_objects(response.body(), member);
    if (!objects) co_return unusable_response(response);
    co_return std::move(*objects);
}

asio::awaitable<store_list_result> store_client::list(std::string prefix) {
    auto target = "/v1/objects?prefix=" + percent_encode(prefix);
    store_list_result result = co_await fetch_objects(std::move(target), "objects", options_.call_timeout);
    co_return result;
}

asio::awaitable<store_list_result> store_client::watch(std::string prefix, revision_id after, time_ms wait) {
    auto target = fmt::format("/v1/watch?prefix={}&after={}&wait_ms={}", percent_encode(prefix), after.value,
                              wait.count);
    store_list_result result =
        co_await fetch_objects(std::move(target), "events", wait + options_.call_timeout);
    co_return result;
}

asio::awaitable<store_text_result> store_client::vms() {
    call_result outcome = co_await call("GET", "/v1/vms", {}, "", options_.call_timeout);
    if (auto* failure = std::get_if<store_unreachable>(&outcome)) co_return std::move(*failure);
    auto& response = std::get<http_response>(outcome);
    if (response.result_int() != 200) co_return unusable_response(response);
    co_return std::move(response.body());
}

} // namespace lacewing
