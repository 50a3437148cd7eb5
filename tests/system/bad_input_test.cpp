// Guards against malformed, oversized or slow input that reaches an endpoint, holds a connection or gets the
// wrong error answer.
#include "deployment.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>

using namespace lacewing;
using namespace lacewing::testing;

namespace {

// Checks a complete error answer that states that the request did not run.
void check_refused(const http_answer& answer, unsigned status, std::string_view error) {
    CHECK(answer.status == status);
    CHECK(answer.error() == error);
    CHECK(answer.header("X-Lacewing-Effect") == "not_run");
    CHECK(answer.complete);
}

http_answer exchange_raw(const std::string& address, std::string_view bytes) {
    raw_connection connection(address);
    connection.send(bytes);
    return connection.receive();
}

} // namespace

TEST_CASE("bad input: a malformed request line or header reaches an endpoint") {
    auto& system = shared_deployment();
    const auto before = system.execution_count();
    const auto authorization = fmt::format("Authorization: Bearer {}\r\n", system.office_key());
    for (const std::string_view line :
         {"GET\r\n", "GET /r/balance/x\r\n", "GET /r/balance/x HTTP/9.9\r\n",
          "\x01\x02\x03 /r/balance/x HTTP/1.1\r\n",
          "GET /r/balance/x HTTP/1.1\r\nHost: a\r\nNo colon here\r\n",
          "GET /r/balance/x HTTP/1.1\r\nHost: a\r\nContent-Length: -4\r\n",
          "GET /r/balance/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n",
          "POST /r/balance/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n"}) {
        INFO("first line: " << line);
        check_refused(
            exchange_raw(system.caller_address(1), fmt::format("{}{}\r\nabcd", line, authorization)), 400,
            "bad_request");
    }
    CHECK(system.execution_count() == before);
}

// The library throws for a field of about 64 kB, which ended the process.
TEST_CASE("bad input: a trailer of about 64 kB ends the VM") {
    auto& system = shared_deployment();
    for (const std::size_t value_bytes : {65'000, 65'533, 65'534, 66'000, 100'000}) {
        CAPTURE(value_bytes);
        exchange_raw(system.caller_address(1),
                     fmt::format("POST /r/balance/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {}\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Filler: {}\r\n\r\n",
                                 system.office_key(), std::string(value_bytes, 'x')));
        CHECK(send_request(system.caller_address(1), "GET", "/r/balance/x",
                           {{"Authorization", "Bearer " + std::string(system.office_key())}})
                  .status == 200);
    }
}

TEST_CASE("bad input: a body of unknown length is parsed as the next request") {
    auto& system = shared_deployment();
    const auto before = system.execution_count();
    const auto authorization = fmt::format("Authorization: Bearer {}\r\n", system.office_key());
    for (const std::string_view coding : {"identity", "xchunked", "chunked, identity", "gzip, chunked"}) {
        INFO("transfer coding: " << coding);
        raw_connection connection(system.caller_address(1));
        connection.send(fmt::format("GET /r/balance/x HTTP/1.1\r\nHost: a\r\n{}Transfer-Encoding: {}\r\n\r\n"
                                    "GET /r/balance/smuggled HTTP/1.1\r\nHost: a\r\n{}\r\n",
                                    authorization, coding, authorization));
        check_refused(connection.receive(), 400, "bad_request");
        CHECK(connection.receive({1'000}).status == 0);
    }
    for (const std::string_view hosts : {"", "Host: a\r\nHost: b\r\n"}) {
        INFO("hosts: " << hosts);
        check_refused(
            exchange_raw(system.caller_address(1),
                         fmt::format("GET /r/balance/x HTTP/1.1\r\n{}{}\r\n", hosts, authorization)),
            400, "bad_request");
    }
    CHECK(system.execution_count() == before);
}

TEST_CASE("bad input: a header above 16 KB is accepted") {
    auto& system = shared_deployment();
    const auto before = system.execution_count();
    check_refused(
        system.send_to_vm(1, "/r/balance/x", system.office_key(), {{"X-Filler", std::string(17'000, 'f')}}),
        431, "header_too_large");
    check_refused(system.send_to_vm(1, "/r/balance/" + std::string(17'000, 'f'), system.office_key()), 431,
                  "header_too_large");
    CHECK(system.execution_count() == before);
}

// Guards against a caller that takes the memory of a VM (issue 39).
TEST_CASE("bad input: a chunk extension without end is buffered") {
    auto& system = shared_deployment();
    const auto before = system.execution_count();
    raw_connection connection(system.caller_address(1));
    connection.send(fmt::format("POST /r/balance/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n5;{}",
                                system.office_key(), std::string(std::size_t{1024} * 1024, 'x')));
    check_refused(connection.receive({5'000}), 400, "bad_request");
    CHECK(system.execution_count() == before);
}

TEST_CASE("bad input: an incomplete header holds a connection open") {
    auto& system = shared_deployment();
    const auto before = system.execution_count();
    raw_connection connection(system.caller_address(1));
    connection.send("GET /r/balance/x HTTP/1.1\r\nHost: x\r\nAutho");
    const auto started = std::chrono::steady_clock::now();
    // header_timeout_ms is 1 s in the settings of the VM.
    check_refused(connection.receive({5'000}), 408, "request_timeout");
    CHECK(std::chrono::steady_clock::now() - started < std::chrono::seconds(4));
    CHECK(system.execution_count() == before);
}

TEST_CASE("bad input: a body over the limit reaches an endpoint") {
    auto& system = shared_deployment();
    const auto before = system.execution_count();
    // The first VM accepts at most 1 MiB, 1'048'576 bytes.
    raw_connection declared(system.caller_address(0));
    declared.send(fmt::format("POST /r/scans/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {}\r\n"
                              "Content-Length: 1048577\r\n\r\n",
                              system.office_key()));
    check_refused(declared.receive(), 413, "body_too_large");

    raw_connection chunked(system.caller_address(0));
    chunked.send(fmt::format("POST /r/scans/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {}\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n",
                             system.office_key()));
    const auto chunk = fmt::format("{:x}\r\n{}\r\n", 16'384, std::string(16'384, 'b'));
    for (int i = 0; i < 65; ++i)
        if (!chunked.send(chunk)) break;
    chunked.send("0\r\n\r\n");
    const auto answer = chunked.receive();
    CHECK(answer.status != 200);
    CHECK(system.execution_count() == before);
}

TEST_CASE("bad input: an unknown route or a wrong method is forwarded") {
    auto& system = shared_deployment();
    const auto before = system.execution_count();
    for (const auto* target : {"/r/unknown/x", "/r/", "/r", "/", "/admin/ledger", "/r//balance/x",
                               "/R/balance/x", "/r/balance%2fx"}) {
        INFO("target: " << target);
        check_refused(system.send_to_vm(1, target, system.office_key()), 404, "no_such_route");
    }
    for (const auto* method : {"POST", "PUT", "DELETE"}) {
        INFO("method: " << method);
        check_refused(send_request(system.caller_address(1), method, "/v1/entry"), 400, "bad_request");
    }
    check_refused(send_request(system.caller_address(1), "GET", "/v1/entry?client=elsewhere"), 400,
                  "bad_request");
    CHECK(system.execution_count() == before);
}

TEST_CASE("bad input: a malformed deadline is replaced by a default") {
    auto& system = shared_deployment();
    const auto before = system.execution_count();
    for (const auto* deadline : {"0", "-1", "60001", "soon", "5000ms", "1e3", "", "99999999999999999999"}) {
        INFO("deadline: " << deadline);
        check_refused(
            system.send_to_vm(1, "/r/balance/x", system.office_key(), {{"X-Deadline-Ms", deadline}}), 400,
            "bad_request");
    }
    CHECK(system.execution_count() == before);
}
