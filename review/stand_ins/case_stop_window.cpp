// A machine is stopped with a grace of 10 s. A client that still knows it opens a channel more than 3 s after
// the SIGTERM and uploads. The upstream is cold and needs 6.8 s, which ends before the grace and the time
// limit.

#include "case_setup.h"

#include <algorithm>
#include <csignal>
#include <string>

using namespace review;

namespace {

// From SIGTERM to the upload: requests up to 3 s after it may be cut in the last sixth of the grace.
constexpr std::int64_t upload_after_ms = 3060;
// Twice 3400 ms: the site's uploads take up to 4920 ms, and a cold upstream twice as long.
constexpr std::int64_t work_ms = 6800;
// Time limit of the site's uploads; their route has no timeout.
constexpr std::int64_t deadline_ms = 8000;
constexpr std::size_t upload_bytes = 60'000;

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) return not_run;
    case_setup setup(argv[1], site::kvmau_dues_large);
    const auto decide = [](const http_message&) {
        upstream_answer answer;
        answer.work_ms = work_ms;
        return answer;
    };
    const auto& ledgers = setup.add_upstream("i-ledger-1", "ledger-svc", "bagmati-lalitpur", decide);
    auto& front = setup.add_machine("bagmati-lalitpur");
    setup.add_machine("bagmati-bhaktapur");
    if (!setup.wait_ready()) setup.give_up("the machines are not ready");

    if (disrupted()) {
        setup.record.line("SIGTERM to " + front.frontend());
        front.signal(SIGTERM);
    }
    const auto stopped_ms = now_ms();
    sleep_ms(upload_after_ms);
    const std::string id = "eeee000000000001";
    const auto channel = connection::open(front.frontend());
    const auto sent_ms = now_ms();
    channel->send(client_request("POST", "/ledger/scan", case_setup::host, id, deadline_ms, case_setup::key,
                                 std::string(upload_bytes, 'x')));
    setup.record.line("client uploads " + id + ", " + std::to_string(sent_ms - stopped_ms) +
                      " ms after the SIGTERM");
    if (sent_ms - stopped_ms <= 3000) setup.give_up("the upload was sent too early");
    const auto answer = channel->read_message(deadline_ms);
    const auto waited_ms = now_ms() - sent_ms;
    setup.record.line("client got for " + id + ": " +
                      (answer ? std::to_string(answer->status()) : std::string("a closed channel")) +
                      " after " + std::to_string(waited_ms) + " ms");
    const auto runs = ledgers.executions();
    const bool passed_on =
        std::any_of(runs.begin(), runs.end(), [&id](const auto& run) { return run.attempt == id; });
    const bool lost = passed_on && waited_ms < deadline_ms && (!answer || answer->status() != 200);
    if (lost) setup.record.line("LOST: the upload was passed on, and its channel ended without the answer");
    setup.finish(!lost);
}
