// A client sends a dues payment right behind a balance check, without waiting for the answer in between, and
// a further payment once both are answered.

#include "case_setup.h"

#include <algorithm>
#include <cstdio>

using namespace review;

namespace {

struct sent_request {
    std::string attempt;
    std::string target;
};

// Reads the next answer and compares it with what the upstream of this request has sent.
bool check_answer(case_setup& setup, connection& channel, const sent_request& request) {
    const auto answer = channel.read_message(3000);
    const auto got = answer ? std::to_string(answer->status()) + " '" + answer->body + "' id " +
                                  answer->header("x-lacewingplank-attempt-id")
                            : std::string("nothing");
    setup.record.line("client got for " + request.attempt + ": " + got);
    if (!answer || answer->status() != 200) return true;
    const bool own = answer->header("x-lacewingplank-attempt-id") == request.attempt &&
                     answer->body.find(request.target) != std::string::npos;
    if (!own) setup.record.line("MIXED: the answer belongs to another request");
    return own;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) return not_run;
    case_setup setup(argv[1]);
    const auto quick = [](const http_message&) { return upstream_answer{}; };
    setup.add_upstream("i-balance-1", "balance-svc", "bagmati-lalitpur", quick);
    const auto& payments = setup.add_upstream("i-payment-1", "payment-svc", "bagmati-lalitpur", quick);
    auto& front = setup.add_machine("bagmati-lalitpur");
    setup.add_machine("bagmati-bhaktapur");
    if (!setup.wait_ready()) setup.give_up("the machines are not ready");

    bool held = true;
    std::vector<std::string> sent_attempts;
    for (int round = 0; round < 5; ++round) {
        const auto channel = connection::open(front.frontend());
        const auto number = std::to_string(round);
        const sent_request check{"aaaa00000000000" + number, "/balance/of/" + number};
        const sent_request first{"bbbb00000000000" + number, "/dues/first-" + number};
        const sent_request second{"cccc00000000000" + number, "/dues/other-" + number};
        const auto text = [](const std::string& method, const sent_request& request,
                             const std::string& body) {
            return client_request(method, request.target, case_setup::host, request.attempt, 2500,
                                  case_setup::key, body);
        };
        const auto check_text = text("GET", check, "");
        const auto first_text = text("POST", first, "{\"pays\":\"plot 17, 1200\"}");
        setup.record.line("client sends " + check.attempt + " and " + first.attempt);
        if (disrupted()) {
            channel->send(check_text + first_text);
            held = check_answer(setup, *channel, check) && held;
        } else {
            channel->send(check_text);
            held = check_answer(setup, *channel, check) && held;
            channel->send(first_text);
        }
        held = check_answer(setup, *channel, first) && held;
        setup.record.line("client sends " + second.attempt);
        channel->send(text("POST", second, "{\"pays\":\"plot 23, 4800\"}"));
        held = check_answer(setup, *channel, second) && held;
        sent_attempts.push_back(first.attempt);
        sent_attempts.push_back(second.attempt);
    }
    const auto runs = payments.executions();
    for (const auto& attempt : sent_attempts) {
        const auto count =
            std::count_if(runs.begin(), runs.end(), [&](const auto& run) { return run.attempt == attempt; });
        if (count > 1)
            setup.record.line("TWICE: payment " + attempt + " ran " + std::to_string(count) + " times");
        held = held && count <= 1;
    }
    setup.finish(held);
}
