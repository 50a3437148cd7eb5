// An upstream runs a payment and answers it with a failure of its own, status 429, without the header that
// says that it has not run. The client repeats what is answered with a promise, as the users' pages say.

#include "case_setup.h"

#include <algorithm>
#include <cstdlib>

using namespace review;

namespace {

constexpr int upstream_count = 8;
// Sent one after the other, which takes less than the 6.5 s that the site has for srv_grey.
constexpr int payment_count = 300;

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) return not_run;
    case_setup setup(argv[1]);
    // One upstream of eight (the site has a share of 0.14) fails one request in three (0.45 there).
    std::atomic<int> count{0};
    const auto decide = [&count](const http_message&) {
        upstream_answer answer;
        if (disrupted() && count++ % 3 == 0) answer.status = 429;
        return answer;
    };
    std::vector<const upstream*> payments;
    payments.reserve(upstream_count);
    for (int i = 0; i < upstream_count; ++i) {
        const auto sound = [](const http_message&) { return upstream_answer{}; };
        const auto id = "i-payment-" + std::to_string(i);
        payments.push_back(&setup.add_upstream(id, "payment-svc", "bagmati-lalitpur",
                                               i == 0 ? upstream::behaviour(decide) : sound));
    }
    const auto runs_of = [&payments](const auto& matches) {
        std::ptrdiff_t count_of_runs = 0;
        for (const auto* item : payments) {
            const auto runs = item->executions();
            count_of_runs += std::count_if(runs.begin(), runs.end(), matches);
        }
        return count_of_runs;
    };
    auto& front = setup.add_machine("bagmati-lalitpur");
    setup.add_machine("bagmati-bhaktapur");
    if (!setup.wait_ready()) setup.give_up("the machines are not ready");

    bool held = true;
    for (int payment = 0; payment < payment_count; ++payment) {
        const auto body = "{\"pays\":\"plot " + std::to_string(payment) + ", 1200\"}";
        for (int attempt = 0; attempt < 2; ++attempt) {
            const auto id = "dddd00000000" + std::to_string(1000 + payment) + std::to_string(attempt);
            const auto channel = connection::open(front.frontend());
            setup.record.line("client sends " + id + ", payment " + std::to_string(payment));
            channel->send(
                client_request("POST", "/dues/pay", case_setup::host, id, 2500, case_setup::key, body));
            const auto answer = channel->read_message(3000);
            const int status = answer ? answer->status() : 0;
            setup.record.line("client got for " + id + ": " + std::to_string(status));
            const bool promise = status == 429 || status == 503 || status == 408 || status == 421;
            if (!promise) break;
            if (runs_of([&id](const auto& run) { return run.attempt == id; }) > 0) {
                setup.record.line("REFUSED: " + id + " was answered " + std::to_string(status) +
                                  " and has run");
                held = false;
            }
        }
        const auto times = runs_of([&body](const auto& run) { return run.body == body; });
        if (times > 1) {
            setup.record.line("payment " + std::to_string(payment) + " has run " + std::to_string(times) +
                              " times");
        }
    }
    setup.finish(held);
}
