// Guards against an account key that reaches an endpoint, a log or an operator page (INV-3), for example
// because a caller puts it into an unusual header, the query, the path or a trailer.
#include "deployment.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <fstream>
#include <sstream>

using namespace lacewing;
using namespace lacewing::testing;

namespace {

std::string percent_encoded(std::string_view text) {
    std::string encoded;
    for (const char c : text)
        encoded += fmt::format("%{:02x}", static_cast<unsigned char>(c));
    return encoded;
}

// Returns requests that carry the key in unusual spellings and places. Each is sent over its own connection.
std::vector<std::string> requests_containing(const std::string& key) {
    const auto bearer = "Bearer " + key;
    const auto key_header = std::pair<std::string, std::string>{"Authorization", bearer};
    std::vector<std::string> requests{
        request_text("GET", "/r/balance/a", {key_header}),
        request_text("GET", "/r/balance/a", {{"aUTHORIZATION", "bEARER   " + key + "  "}}),
        request_text("GET", "/r/balance/a", {{"x-aPI-kEY", key}}),
        request_text("GET", "/r/balance/a", {{"X-Api-Key", "\t" + key + "\t"}}),
        request_text("GET", "/r/balance/a", {{"Authorization", key}}),
        request_text("GET", "/r/balance/a", {{"Authorization", "Basic " + key}}),
        request_text("GET", "/r/balance/a", {{"Authorization", "Bearer\t" + key}}),
        request_text("GET", "/r/balance/a", {key_header, key_header}),
        request_text("GET", "/r/balance/a", {key_header, {"X-Api-Key", key}}),
        request_text("GET", "/r/balance/a", {{"X-Api-Key", key}, {"x-api-key", key}}),
        request_text("GET", "/r/balance/a?key=" + key, {key_header}),
        request_text("GET", "/r/balance/a?key=" + key),
        request_text("GET", "/r/balance/a?" + key + "=1"),
        request_text("GET", "/r/balance/a?key=" + percent_encoded(key), {key_header}),
        request_text("GET", "/r/balance/a?key=" + percent_encoded(key)),
        request_text("GET", "/r/balance/" + key + "/a", {key_header}),
        request_text("GET", "/r/balance/" + key),
        request_text("GET", "/r/balance/" + percent_encoded(key) + "/a", {key_header}),
        request_text("GET", "/r/" + key + "/a", {key_header}),
        request_text("GET", "/r/notices/" + key),
        request_text("GET", "/r/notices/a?key=" + percent_encoded(key)),
        request_text("GET", "/r/notices/a", {key_header}),
        request_text("GET", "/v1/entry?client=" + key, {key_header}),
    };
    for (const auto* name : {"User-Agent", "X-Request-Id", "X-Caller-Class", "Traceparent", "Accept",
                             "Cookie", "Proxy-Authorization", "X-Forwarded-For", "Referer", "Content-Type"}) {
        requests.push_back(request_text("GET", "/r/balance/a", {key_header, {name, "v=" + key}}));
        requests.push_back(request_text("GET", "/r/balance/a", {key_header, {name, bearer}}));
        requests.push_back(request_text("GET", "/r/notices/a", {key_header, {name, key}}));
    }
    for (const auto* trailer : {"Authorization: Bearer ", "X-Api-Key: ", "User-Agent: "}) {
        for (const bool declared : {false, true}) {
            auto headers = header_list{key_header, {"Transfer-Encoding", "chunked"}};
            if (declared) headers.emplace_back("Trailer", "Authorization, X-Api-Key, User-Agent");
            auto text = fmt::format("POST /r/scans/a HTTP/1.1\r\nHost: x\r\n");
            for (const auto& [name, value] : headers)
                text += fmt::format("{}: {}\r\n", name, value);
            requests.push_back(text + fmt::format("\r\n4\r\nabcd\r\n0\r\n{}{}\r\n\r\n", trailer, key));
        }
    }
    return requests;
}

} // namespace

TEST_CASE("keys: a key reaches an endpoint or an output of the daemon") {
    auto& system = shared_deployment();
    const auto key = system.office_key();
    for (const auto& request : requests_containing(key)) {
        INFO("request: " << request);
        raw_connection connection(system.caller_address(1));
        connection.send(request);
        const auto answer = connection.receive();
        CHECK(answer.status != 0);
        CHECK(answer.body.find(key) == std::string::npos);
        CHECK(system.summary(key)["found"].asUInt64() == 0);
    }
    // A digest of the key is not secret, but the key without its prefix and any encoded form of it are.
    CHECK(system.summary(key.substr(4))["found"].asUInt64() == 0);
    CHECK(system.summary("%256c%2577%256b")["found"].asUInt64() == 0);
    CHECK(system.summary("%25")["found"].asUInt64() == 0);
    for (std::size_t i = 0; i < system.vm_count(); ++i) {
        INFO("VM " << i + 1);
        CHECK(system.vm_process(i).output().find(key) == std::string::npos);
        for (const auto* target : {"/dump", "/metrics", "/fleet"}) {
            const auto answer = send_request(system.operator_address(i), "GET", target);
            CHECK(answer.status == 200);
            CHECK(answer.body.find(key) == std::string::npos);
        }
    }
}

TEST_CASE("keys: a key in the headers of a request to an open route reaches an endpoint") {
    auto& system = shared_deployment();
    const auto key = system.office_key();
    for (const auto* name : {"User-Agent", "X-Request-Id", "Traceparent", "Accept"}) {
        INFO("header: " << name);
        CHECK(system.send_to_vm(1, "/r/notices/a", {}, {{name, key}}).status != 0);
        CHECK(system.summary(key)["found"].asUInt64() == 0);
    }
}
