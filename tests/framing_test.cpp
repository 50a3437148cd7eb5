#include "protocol/framing.h"

#include <doctest/doctest.h>

using namespace lacewing;
namespace http = boost::beast::http;

namespace {

http::request_header<http::fields> head() {
    http::request_header<http::fields> made;
    made.version(11);
    made.set(http::field::host, "a.example");
    return made;
}

} // namespace

TEST_CASE("framing: a body whose end is unknown is read as the next request") {
    for (const auto* coding : {"identity", "xchunked", "chunked, identity", "gzip, chunked", "gzip", ""}) {
        CAPTURE(coding);
        auto request = head();
        request.insert(http::field::transfer_encoding, coding);
        CHECK_THROWS_AS(check_framing(request), error);
    }
    auto twice = head();
    twice.insert(http::field::transfer_encoding, "chunked");
    CHECK_NOTHROW(check_framing(twice));
    twice.insert(http::field::transfer_encoding, "chunked");
    CHECK_THROWS_AS(check_framing(twice), error);
    auto old = head();
    old.version(10);
    old.insert(http::field::transfer_encoding, "chunked");
    CHECK_THROWS_AS(check_framing(old), error);
}

TEST_CASE("framing: a request without a host, or with two, selects a route") {
    auto request = head();
    request.insert(http::field::host, "b.example");
    CHECK_THROWS_AS(check_framing(request), error);
    request.erase(http::field::host);
    CHECK_THROWS_AS(check_framing(request), error);
    request.version(10);
    CHECK_NOTHROW(check_framing(request));
}

TEST_CASE("framing: the absolute form of a target is not understood") {
    CHECK(split_target("/x?y", "a").path == "/x?y");
    CHECK(split_target("/x", "a").host == "a");
    CHECK(split_target("http://b:80/x", "a").host == "b:80");
    CHECK(split_target("HTTP://b/x", "a").path == "/x");
    CHECK(split_target("http://b", "a").path == "/");
    CHECK(split_target("http://b?q", "a").path == "/?q");
    CHECK_THROWS_AS(split_target("*", "a"), error);
    CHECK_THROWS_AS(split_target("http:///x", "a"), error);
    CHECK_THROWS_AS(split_target("ftp://b/x", "a"), error);
}

TEST_CASE("framing: headers of one connection are forwarded") {
    CHECK(is_hop_by_hop_header("connection", ""));
    CHECK(is_hop_by_hop_header("Transfer-Encoding", ""));
    CHECK(is_hop_by_hop_header("X-Mine", "close, x-mine"));
    CHECK_FALSE(is_hop_by_hop_header("X-Mine", "close, x-mine-too"));
    CHECK_FALSE(is_hop_by_hop_header("Cookie", "keep-alive"));
}
