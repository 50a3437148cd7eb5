#include "protocol/log_timeline.h"

#include <doctest/doctest.h>

#include <random>
#include <sstream>
#include <string>

using namespace lacewing;

namespace {

std::string events_of(const std::vector<timeline_entry>& timeline) {
    std::string text;
    for (const auto& item : timeline)
        text += item.source + ":" + item.line.event + " ";
    return text;
}

} // namespace

TEST_CASE("log timeline: a line is parsed wrongly") {
    const auto line = parse_log_line("  5.2 edge-1 time=2026-05-18T21:59:28.633Z level=warn event=store_lost "
                                     "kind=servers reason=\"10.0.0.1:1: \\\"late\\\" \\x0a\" empty=\"\" n=3");
    REQUIRE(line);
    CHECK(line->time == "2026-05-18T21:59:28.633Z");
    CHECK(line->level == "warn");
    CHECK(line->event == "store_lost");
    CHECK(line->field("kind") == "servers");
    CHECK(line->field("reason") == "10.0.0.1:1: \"late\" \n");
    CHECK(line->field("empty").empty());
    CHECK(line->field("n") == "3");
    CHECK(line->field("absent").empty());
}

TEST_CASE("log timeline: a truncated line or a line of another program is accepted as a log line") {
    for (const auto* text : {"", "hello", "runtime=5 level=info event=x", "time=1 level=info",
                             "time=1 event=x", "time=1 level=info event=x reason=\"cut",
                             "time=1 level=info event=x reason=\"\\x", "time=1 level=info event=x alone"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_log_line(text));
    }
    std::mt19937 random(3);
    const std::string valid_line =
        "time=2026-05-18T21:59:28.633Z level=warn event=x reason=\"a \\\"b\\\" \\x0a\" n=3";
    for (int i = 0; i < 5000; ++i) {
        auto damaged = valid_line;
        damaged[random() % damaged.size()] = static_cast<char>(random());
        damaged.resize(random() % (damaged.size() + 1));
        parse_log_line(damaged);
    }
}

TEST_CASE("log timeline: lines of a request are missing, out of order or mixed with those of others") {
    std::istringstream first(
        "time=2026-05-18T21:59:20.000Z level=warn event=store_lost kind=servers\n"
        "time=2026-05-18T21:59:27.000Z level=warn event=thread_late ms=150\n"
        "time=2026-05-18T21:59:27.500Z level=info event=configuration_applied version=3\n"
        "time=2026-05-18T21:59:28.000Z level=info event=request id=other endpoint=e-1 outcome=answered\n"
        "time=2026-05-18T21:59:28.633Z level=info event=request id=r1 endpoint=e-1 outcome=endpoint_failed\n"
        "time=2026-05-18T21:59:29.000Z level=warn event=store_lost kind=config\n");
    std::istringstream second(
        "time=2026-05-18T21:59:26.000Z level=info event=endpoint_removed endpoint=e-1\n"
        "time=2026-05-18T21:59:26.100Z level=info event=endpoint_removed endpoint=e-2\n"
        "time=2026-05-18T21:59:26.500Z level=warn event=log_lines_left_out lines=7\n"
        "time=2026-05-18T21:59:27.900Z level=warn event=thread_late ms=300\n"
        "time=2026-05-18T21:59:28.100Z level=info event=request id=r1 endpoint=\"\" outcome=no_capacity\n");
    timeline_collector collector("r1");
    collector.read("vm-1", first);
    collector.read("vm-2", second);
    CHECK(events_of(collector.timeline()) ==
          "vm-2:endpoint_removed vm-1:thread_late vm-2:thread_late vm-2:request "
          "vm-1:request ");
    timeline_collector unknown("r2");
    CHECK(unknown.timeline().empty());
}
