// A new config adds routes to a service whose upstreams write the head of an answer, and its body a little
// later. Checks that the routes that were added later are served as well as the first ones.
#include "../stand_ins_2/stand_in.h"

#include <iostream>

using namespace stand_in;

namespace {

constexpr int work_ms = 60;
constexpr int head_to_body_ms = 20;
constexpr int client_count = 12;

struct tally {
    int sent = 0;
    int served = 0;
    int failed_502 = 0;
    int other = 0;
};

struct route_under_test {
    std::string name;
    std::string method;
    std::string target;
    bool later = false;
};

} // namespace

int main() {
    store platform(network() + "200:8682");
    const std::string host = "hulo84.example";
    const auto balance =
        make_route("balance-check", host, "/balance/", "idempotent", "balance-svc", 1000, 400, 2);
    const auto payment =
        make_route("dues-payment", host, "/payment/", "non_idempotent", "balance-svc", 1200, 400, 1);
    const auto record_read =
        make_route("register-read", host, "/register/", "idempotent", "register-svc", 800, 250, 2);
    const auto record_write =
        make_route("register-write", host, "/enter/", "non_idempotent", "register-svc", 1200, 400, 1);
    const std::vector<Json::Value> services{make_service("balance-svc"), make_service("register-svc")};
    platform.put("config", "main", make_config(1, {balance, payment}, services));

    std::vector<std::unique_ptr<upstream>> upstreams;
    for (int i = 1; i <= 8; ++i) {
        const bool of_new_routes = i > 4;
        upstreams.push_back(std::make_unique<upstream>(
            platform, "i-" + std::to_string(i), of_new_routes ? "register-svc" : "balance-svc",
            i % 2 == 0 ? "bagmati-lalitpur" : "gandaki-pokhara",
            network() + std::to_string(100 + i) + ":9000", work_ms));
        if (!of_new_routes || !trouble()) continue;
        upstreams.back()->on_request = [](upstream& self, const message& request, connection& from,
                                          bool& keep) {
            sleep_ms(self.work_ms);
            const auto answer = upstream::usual_answer(request);
            const auto body = answer.find("\r\n\r\n") + 4;
            keep = from.write(std::string_view(answer).substr(0, body));
            sleep_ms(head_to_body_ms);
            keep = keep && from.write(std::string_view(answer).substr(body));
            return true;
        };
    }
    const std::vector<std::string> seeds{machine::control_address(1), machine::control_address(2)};
    machine first(1, "bagmati-lalitpur", "bagmati", platform, seeds);
    machine second(2, "gandaki-pokhara", "gandaki", platform, seeds);
    const std::vector<machine*> machines{&first, &second};
    for (auto* item : machines)
        item->start();
    if (!wait_until([&] { return first.ready() && second.ready(); }, 20'000)) std::_Exit(2);
    sleep_ms(4000);
    platform.put("config", "main", make_config(3, {balance, payment, record_read, record_write}, services));
    record("config r3 is confirmed; it adds the routes register-read and register-write");
    // Longer than `configApply` (2.5 s) and `stability` (4 s).
    sleep_ms(6000);

    const std::vector<route_under_test> routes{{"balance-check", "GET", "/balance/2f"},
                                               {"dues-payment", "POST", "/payment/2f"},
                                               {"register-read", "GET", "/register/2f", true},
                                               {"register-write", "POST", "/enter/2f", true}};
    std::mutex mutex;
    std::map<std::string, tally> tallies;
    std::vector<std::thread> clients;
    clients.reserve(client_count);
    const auto until = now_ms() + 12'000;
    for (int i = 0; i < client_count; ++i) {
        clients.emplace_back([&, i] {
            const auto& at = *machines[static_cast<std::size_t>(i) % 2];
            for (int n = 0; now_ms() < until; ++n) {
                const auto& route = routes[static_cast<std::size_t>(i / 2 + n) % routes.size()];
                const auto id = "a" + std::to_string(i) + "-" + std::to_string(n);
                const auto result =
                    call(at.frontend(), route.method, route.target, host, id, 2000, "key-1", "20");
                const bool whole =
                    result.status == 200 && !result.answer.header("X-Lacewingplank-Response-Seal").empty();
                record("client sent ", id, " (", route.name, ") to ", at.name(), ": ", text_of(result.end),
                       ", status ", std::to_string(result.status), " after ",
                       std::to_string(result.done - result.sent), " ms");
                {
                    const std::lock_guard lock(mutex);
                    auto& of_route = tallies[route.name];
                    ++of_route.sent;
                    ++(whole ? of_route.served : result.status == 502 ? of_route.failed_502 : of_route.other);
                }
                sleep_ms(150);
            }
        });
    }
    for (auto& item : clients)
        item.join();
    std::map<std::string, int> runs;
    for (const auto& item : arrivals()) {
        record("upstream ", item.upstream, " ran ", item.id, " (", item.method, " ", item.target, ")");
        ++runs[item.target];
    }
    tally first_routes;
    tally later_routes;
    for (const auto& route : routes) {
        const auto& of_route = tallies[route.name];
        record(route.name, (route.later ? " (added later)" : " (first)"), ": sent ",
               std::to_string(of_route.sent), ", run by upstreams ", std::to_string(runs[route.target]),
               " times, served ", std::to_string(of_route.served),
               ", answered 502: ", std::to_string(of_route.failed_502),
               ", other ends: ", std::to_string(of_route.other));
        auto& sum = route.later ? later_routes : first_routes;
        sum.sent += of_route.sent;
        sum.served += of_route.served;
    }
    first.kill();
    second.kill();
    const double first_share = static_cast<double>(first_routes.served) / std::max(1, first_routes.sent);
    const double later_share = static_cast<double>(later_routes.served) / std::max(1, later_routes.sent);
    const bool broken = later_routes.sent >= 20 && later_share < first_share / 4;
    std::cout << (broken ? "CONFIG is broken: " : "CONFIG holds: ")
              << "of the requests on routes that were added later " << later_routes.served << " of "
              << later_routes.sent << " were served, on the first routes " << first_routes.served << " of "
              << first_routes.sent << std::endl;
    std::_Exit(broken ? 1 : 0);
}
