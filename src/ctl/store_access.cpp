#include "ctl/store_access.h"

#include "ctl/context.h"
#include "protocol/url.h"
#include "state/json_text.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <fmt/format.h>
#include <random>

namespace lacewing::ctl {

namespace {

using namespace literals;

constexpr time_ms store_timeout = 5_s;
// A write is repeated only after a read has shown that the previous attempt had no effect.
constexpr int max_write_attempts = 3;

std::string generate_incarnation() {
    std::random_device source;
    return to_hex({(std::uint64_t{source()} << 32U) | source()});
}

stored_object parse_stored_object(const Json::Value& answer) {
    return {answer["key"].asString(), {answer["revision"].asUInt64()}, answer["value"]};
}

std::string object_target(std::string_view key) {
    return "/v1/objects/" + percent_encode(key);
}

std::string list_target(std::string_view prefix) {
    return "/v1/objects?prefix=" + percent_encode(prefix);
}

[[noreturn]] void throw_unexpected_status(const std::string& what, const http_response& answer) {
    throw store_unreachable(fmt::format("store answered {} to {}", answer.result_int(), what));
}

} // namespace

http_response request_and_wait(boost::asio::io_context& loop, http_client& client, const std::string& method,
                               const std::string& target, http_headers headers, const std::string& body,
                               time_ms timeout) {
    auto answer = boost::asio::co_spawn(
        loop, client.request(method, target, std::move(headers), body, timeout), boost::asio::use_future);
    loop.restart();
    loop.run();
    return answer.get();
}

Json::Value parse_json(const std::string& text, const std::string& source) {
    std::string problem;
    auto value = read_json(text, &problem);
    if (!value || !value->isObject())
        throw std::runtime_error(fmt::format("{} is not a JSON object: {}", source, problem));
    return std::move(*value);
}

store_access::store_access(const std::string& address)
    : loop_(std::make_unique<boost::asio::io_context>()), client_(loop_->get_executor(), address),
      incarnation_(generate_incarnation()) {}

http_response store_access::send(const std::string& method, const std::string& target, http_headers headers,
                                 const std::string& body) {
    return request_and_wait(*loop_, client_, method, target, std::move(headers), body, store_timeout);
}

std::optional<stored_object> store_access::get(const std::string& key) {
    try {
        const auto answer = send("GET", object_target(key), {}, "");
        if (answer.result_int() == 404) return std::nullopt;
        if (answer.result_int() != 200) throw_unexpected_status("GET " + key, answer);
        return parse_stored_object(parse_json(answer.body(), "answer of the store"));
    } catch (const http_error& e) {
        throw store_unreachable(e.what());
    }
}

std::vector<stored_object> store_access::list(const std::string& prefix) {
    try {
        const auto answer = send("GET", list_target(prefix), {}, "");
        if (answer.result_int() != 200) throw_unexpected_status("GET with prefix " + prefix, answer);
        std::vector<stored_object> objects;
        const auto root = parse_json(answer.body(), "answer of the store");
        for (const auto& item : root["objects"])
            objects.push_back(parse_stored_object(item));
        return objects;
    } catch (const http_error& e) {
        throw store_unreachable(e.what());
    }
}

write_result store_access::put(const std::string& key, Json::Value value, revision_id expected) {
    const auto write_mark = fmt::format("{}:{}", incarnation_, ++writes_);
    value["written_by"] = write_mark;
    const auto body = compact_json(value);
    std::string failure;
    for (int attempt = 0; attempt < max_write_attempts; ++attempt) {
        try {
            const auto answer =
                send("PUT", object_target(key), {{"If-Match", fmt::format("{}", expected.value)}}, body);
            if (answer.result_int() == 200) {
                return {true, {parse_json(answer.body(), "answer of the store")["revision"].asUInt64()}};
            }
            if (answer.result_int() == 413) {
                throw command_error(exit_status::bad_input, fmt::format("{} exceeds 1 MB", key));
            }
            if (answer.result_int() != 412) throw_unexpected_status("PUT " + key, answer);
        } catch (const http_error& e) {
            failure = e.what();
        }
        const auto current = get(key);
        const auto revision = current ? current->revision : revision_id{};
        if (current && current->value["written_by"] == write_mark) return {true, revision};
        if (revision != expected) return {false, revision};
    }
    throw store_unreachable(failure.empty() ? "store refuses a write at the current revision" : failure);
}

write_result store_access::erase(const std::string& key, revision_id expected) {
    std::string failure;
    bool answer_lost = false;
    for (int attempt = 0; attempt < max_write_attempts; ++attempt) {
        try {
            const auto answer =
                send("DELETE", object_target(key), {{"If-Match", fmt::format("{}", expected.value)}}, "");
            const auto status = answer.result_int();
            if (status != 200 && status != 412 && status != 404)
                throw_unexpected_status("DELETE " + key, answer);
            if (status == 200)
                return {true, {parse_json(answer.body(), "answer of the store")["revision"].asUInt64()}};
        } catch (const http_error& e) {
            answer_lost = true;
            failure = e.what();
        }
        const auto current = get(key);
        const auto revision = current ? current->revision : revision_id{};
        if (!current && answer_lost) return {true, store_revision()};
        if (revision != expected) return {false, revision};
    }
    throw store_unreachable(failure.empty() ? "store refuses a deletion at the current revision" : failure);
}

revision_id store_access::store_revision() {
    try {
        const auto answer = send("GET", list_target("config/"), {}, "");
        if (answer.result_int() != 200) throw_unexpected_status("GET with prefix config/", answer);
        return {parse_json(answer.body(), "answer of the store")["revision"].asUInt64()};
    } catch (const http_error& e) {
        throw store_unreachable(e.what());
    }
}

} // namespace lacewing::ctl
