// Guards against a key that reaches an endpoint or the daemon's own outputs (INV-3).
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

// Requests of one connection each; the key is spelled or placed in an unusual way.
std::vector<std::string> requests_with(const std::string& key) {
    const auto bearer = "Bearer " + key;
    const auto good = std::pair<std::string, std::string>{"Authorization", bearer};
    std::vector<std::string> all{
        request_text("GET", "/r/balance/a", {good}),
        request_text("GET", "/r/balance/a", {{"aUTHORIZATION", "bEARER   " + key + "  "}}),
        request_text("GET", "/r/balance/a", {{"x-aPI-kEY", key}}),
        request_text("GET", "/r/balance/a", {{"X-Api-Key", "\t" + key + "\t"}}),
        request_text("GET", "/r/balance/a", {{"Authorization", key}}),
        request_text("GET", "/r/balance/a", {{"Authorization", "Basic " + key}}),
        request_text("GET", "/r/balance/a", {{"Authorization", "Bearer\t" + key}}),
        request_text("GET", "/r/balance/a", {good, good}),
        request_text("GET", "/r/balance/a", {good, {"X-Api-Key", key}}),
        request_text("GET", "/r/balance/a", {{"X-Api-Key", key}, {"x-api-key", key}}),
        request_text("GET", "/r/balance/a?key=" + key, {good}),
        request_text("GET", "/r/balance/a?key=" + key),
        request_text("GET", "/r/balance/a?" + key + "=1"),
        request_text("GET", "/r/balance/a?key=" + percent_encoded(key), {good}),
        request_text("GET", "/r/balance/a?key=" + percent_encoded(key)),
        request_text("GET", "/r/balance/" + key + "/a", {good}),
        request_text("GET", "/r/balance/" + key),
        request_text("GET", "/r/balance/" + percent_encoded(key) + "/a", {good}),
        request_text("GET", "/r/" + key + "/a", {good}),
        request_text("GET", "/r/notices/" + key),
        request_text("GET", "/r/notices/a?key=" + percent_encoded(key)),
        request_text("GET", "/r/notices/a", {good}),
        request_text("GET", "/v1/entry?client=" + key, {good}),
    };
    for (const auto* name : {"User-Agent", "X-Request-Id", "X-Caller-Class", "Traceparent", "Accept",
                             "Cookie", "Proxy-Authorization", "X-Forwarded-For", "Referer", "Content-Type"}) {
        all.push_back(request_text("GET", "/r/balance/a", {good, {name, "v=" + key}}));
        all.push_back(request_text("GET", "/r/balance/a", {good, {name, bearer}}));
        all.push_back(request_text("GET", "/r/notices/a", {good, {name, key}}));
    }
    for (const auto* trailer : {"Authorization: Bearer ", "X-Api-Key: ", "User-Agent: "}) {
        for (const bool announced : {false, true}) {
            auto headers = header_list{good, {"Transfer-Encoding", "chunked"}};
            if (announced) headers.emplace_back("Trailer", "Authorization, X-Api-Key, User-Agent");
            auto text = fmt::format("POST /r/scans/a HTTP/1.1\r\nHost: x\r\n");
            for (const auto& [name, value] : headers)
                text += fmt::format("{}: {}\r\n", name, value);
            all.push_back(text + fmt::format("\r\n4\r\nabcd\r\n0\r\n{}{}\r\n\r\n", trailer, key));
        }
    }
    return all;
}

} // namespace

TEST_CASE("keys: an endpoint or an output of the daemon receives a key") {
    auto& system = shared_deployment();
    const auto key = system.office_key();
    for (const auto& request : requests_with(key)) {
        INFO("request: " << request);
        raw_connection connection(system.caller(1));
        connection.send(request);
        const auto answer = connection.receive();
        CHECK(answer.status != 0);
        CHECK(answer.body.find(key) == std::string::npos);
        CHECK(system.summary(key)["found"].asUInt64() == 0);
    }
    // The digest of the key is no secret; the encoded forms are as good as the key.
    CHECK(system.summary(key.substr(4))["found"].asUInt64() == 0);
    CHECK(system.summary("%256c%2577%256b")["found"].asUInt64() == 0);
    CHECK(system.summary("%25")["found"].asUInt64() == 0);
    for (std::size_t i = 0; i < system.vm_count(); ++i) {
        INFO("VM " << i + 1);
        CHECK(system.vm(i).output().find(key) == std::string::npos);
        for (const auto* target : {"/dump", "/metrics", "/fleet"}) {
            const auto answer = call(system.operators(i), "GET", target);
            CHECK(answer.status == 200);
            CHECK(answer.body.find(key) == std::string::npos);
        }
    }
}

TEST_CASE("keys: a key in the headers of an open route that needs none reaches an endpoint") {
    auto& system = shared_deployment();
    const auto key = system.office_key();
    for (const auto* name : {"User-Agent", "X-Request-Id", "Traceparent", "Accept"}) {
        INFO("header: " << name);
        CHECK(system.ask(1, "/r/notices/a", {}, {{name, key}}).status != 0);
        CHECK(system.summary(key)["found"].asUInt64() == 0);
    }
}
