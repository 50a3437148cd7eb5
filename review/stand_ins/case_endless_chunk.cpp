// A client sends a chunk extension that does not end. The platform ends a process whose memory exceeds its
// limit. Other clients have payments under way on channels that were in use before.

#include "case_setup.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <string>
#include <thread>

using namespace review;

namespace {

constexpr std::int64_t memory_limit_kb = 260'000;
constexpr std::int64_t payment_work_ms = 900;
constexpr std::int64_t payment_deadline_ms = 2500;
constexpr int payer_count = 8;
// LOST allows this many channels that end so.
constexpr int allowed_cuts = 3;
constexpr std::size_t piece_bytes = 65'536;
constexpr std::size_t max_sent_bytes = std::size_t{400} * 1024 * 1024;

/// A client that has a payment under way.
struct payer {
    std::unique_ptr<connection> channel;
    std::string attempt;
};

// Sends the head of an upload and the begin of a chunk, then the given text until the machine closes.
std::size_t send_upload(machine& front, bool endless) {
    const auto channel = connection::open(front.frontend());
    channel->send(std::string("POST /ledger/scan HTTP/1.1\r\nHost: ") + case_setup::host +
                  "\r\nX-Lacewingplank-Attempt-Id: ffff000000000001\r\nX-Lacewingplank-Deadline-Ms: 2000\r\n"
                  "X-Api-Key: " +
                  case_setup::key + "\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (!endless) {
        channel->send("400;name=value\r\n" + std::string(0x400, 'x') + "\r\n0\r\n\r\n");
        channel->read_message(2000);
        return 0x400;
    }
    channel->send("400;");
    const std::string piece(piece_bytes, 'a');
    std::size_t sent = 0;
    while (sent < max_sent_bytes && channel->send(piece))
        sent += piece.size();
    return sent;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) return not_run;
    case_setup setup(argv[1]);
    std::atomic<bool> slow{false};
    setup.add_upstream("i-ledger-1", "ledger-svc", "bagmati-lalitpur",
                       [](const http_message&) { return upstream_answer{}; });
    const auto decide = [&slow](const http_message&) {
        upstream_answer answer;
        if (slow) answer.work_ms = payment_work_ms;
        return answer;
    };
    std::vector<const upstream*> payments;
    payments.reserve(4);
    for (int i = 0; i < 4; ++i) {
        payments.push_back(
            &setup.add_upstream("i-payment-" + std::to_string(i), "payment-svc", "bagmati-lalitpur", decide));
    }
    auto& front = setup.add_machine("bagmati-lalitpur");
    setup.add_machine("bagmati-bhaktapur");
    if (!setup.wait_ready()) setup.give_up("the machines are not ready");

    // The platform: it ends a process that exceeds its memory.
    std::atomic<bool> killed{false};
    std::thread([&] {
        for (;; sleep_ms(5)) {
            const auto used_kb = front.memory_kb();
            if (killed || used_kb <= memory_limit_kb) continue;
            setup.record.line("the process uses " + std::to_string(used_kb) + " kB: SIGKILL");
            killed = true;
            front.signal(SIGKILL);
        }
    }).detach();

    const auto pay = [&front](payer& client, const std::string& attempt) {
        client.attempt = attempt;
        if (!client.channel) client.channel = connection::open(front.frontend());
        client.channel->send(client_request("POST", "/dues/pay", case_setup::host, attempt,
                                            payment_deadline_ms, case_setup::key,
                                            "{\"pays\":\"" + attempt + "\"}"));
    };
    std::vector<payer> payers(payer_count);
    for (std::size_t i = 0; i < payers.size(); ++i) {
        pay(payers[i], "aaaa00000000000" + std::to_string(i));
        const auto answer = payers[i].channel->read_message(payment_deadline_ms);
        if (!answer || answer->status() != 200)
            setup.give_up("a payment before the disruption is not served");
    }
    slow = true;
    for (std::size_t i = 0; i < payers.size(); ++i)
        pay(payers[i], "bbbb00000000000" + std::to_string(i));
    sleep_ms(200);
    setup.record.line("a client uploads");
    const auto sent = send_upload(front, disrupted());
    setup.record.line("that client has sent " + std::to_string(sent) + " bytes");
    int cuts = 0;
    for (auto& client : payers) {
        const auto answer = client.channel->read_message(payment_deadline_ms);
        const bool passed_on = std::any_of(payments.begin(), payments.end(), [&client](const auto* item) {
            const auto runs = item->executions();
            return std::any_of(runs.begin(), runs.end(),
                               [&client](const auto& run) { return run.attempt == client.attempt; });
        });
        setup.record.line("client got for " + client.attempt + ": " +
                          (answer ? std::to_string(answer->status()) : std::string("a closed channel")) +
                          (passed_on ? ", passed on" : ", not passed on"));
        if (passed_on && !answer) ++cuts;
    }
    if (cuts > allowed_cuts) setup.record.line("LOST: " + std::to_string(cuts) + " payments have no answer");
    setup.finish(cuts <= allowed_cuts);
}
