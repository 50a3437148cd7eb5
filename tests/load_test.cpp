#include <utility>

#include "http_test_support.h"
#include "load/generator.h"
#include "protocol/url.h"

#include <boost/asio/co_spawn.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <json/reader.h>
#include <set>
#include <sstream>
#include <xxhash.h>

using namespace lacewing;
using namespace lacewing::load;
using lacewing::testing::run_until_done;

namespace {

constexpr const char* test_config = R"(
regions: [{name: r, capacity: 10}]
zones: [{name: z, region: r}]
routes:
  - {name: pay, once: true, endpoints: [{name: e, zone: z, address: "127.0.0.1:1", slots: 1, connections: 1}]}
plans: [{name: p, rate: 300, burst: 300, routes: [pay]}]
accounts: [{name: alpha, plan: p}]
)";

// VM that echoes requests. Its answer to a lookup names two VMs: first an address on which nobody listens,
// then itself.
class echo_vm {
public:
    explicit echo_vm(boost::asio::io_context& loop)
        : server(loop.get_executor(), "127.0.0.1:0", {},
                 [this](const http_request& request) { return answer(request); }) {}

    boost::asio::awaitable<http_response> answer(http_request request) {
        if (request.target().starts_with("/v1/entry")) {
            co_return make_response(
                200,
                fmt::format(
                    R"({{"revision":1,"lifetime_ms":1000,"vms":[{{"address":"127.0.0.1:1",)"
                    R"("zone":"z","id_prefix":"dead"}},{{"address":"{}","zone":"z","id_prefix":"live"}}]}})",
                    server.address()));
        }
        const std::string id(request["X-Request-Id"]);
        ids.insert(id);
        ++requests;
        if (refuse_requests) {
            auto refusal = make_response(429, R"({"error":"rate_exceeded","effect":"not_run","detail":""})");
            refusal.set("X-Lacewing-Effect", "not_run");
            co_return refusal;
        }
        co_return make_response(
            200, fmt::format(R"({{"request_id":"{}","account":"{}","bytes":{},"hash":"{:016x}",)"
                             R"("endpoint":"127.0.0.1:1"}})",
                             answer_with_wrong_id ? "other" : id, "alpha", request.body().size(),
                             XXH64(request.body().data(), request.body().size(), 0)));
    }

    /// Refuse every request with rate_exceeded.
    bool refuse_requests = false;
    /// Answer with the id of another request.
    bool answer_with_wrong_id = false;
    std::set<std::string> ids;
    std::uint64_t requests = 0;
    http_server server;
};

load_result run_load(boost::asio::io_context& loop, echo_vm& vm) {
    load_options options;
    options.entries = {"127.0.0.1:1", vm.server.address()};
    options.config = parse_configuration(test_config, "test");
    options.keys = {{"alpha", "secret"}};
    options.duration_s = 0.3;
    options.progress = false;
    generator load_generator(loop, options);
    load_result result;
    // The coroutine refers to the captures of the lambda, so the lambda must outlive it.
    const auto task = [&]() -> boost::asio::awaitable<void> { result = co_await load_generator.run(); };
    run_until_done(loop, task());
    return result;
}

} // namespace

TEST_CASE("histogram: quantiles are at most 7 % above the true value") {
    histogram latency;
    for (int i = 1; i <= 100'000; ++i)
        latency.add(i);
    for (const double fraction : {0.00005, 0.5, 0.9, 0.99, 1.0}) {
        const auto exact = fraction * 100'000;
        CHECK(static_cast<double>(latency.quantile(fraction)) >= exact);
        CHECK(static_cast<double>(latency.quantile(fraction)) <= exact * 1.07);
    }
    CHECK(histogram{}.quantile(0.5) == 0);
}

// Guards against requests that are lost because a VM is down, and against a failover that keeps the id prefix
// of the first VM.
TEST_CASE("load: fails over to the next VM with the id prefix of that VM") {
    boost::asio::io_context loop;
    echo_vm vm(loop);
    const auto result = run_load(loop, vm);
    CHECK(result.offered() > 0);
    CHECK(result.count("ok") == result.offered());
    CHECK(result.mismatched_answers() == 0);
    CHECK(vm.ids.size() == vm.requests);
    for (const auto& id : vm.ids)
        CHECK(id.starts_with("live-"));
}

// Guards against a check that accepts the answer to another request: every caller must get the answer to its
// own request (INV-6).
TEST_CASE("load: counts an answer of another request") {
    boost::asio::io_context loop;
    echo_vm vm(loop);
    vm.answer_with_wrong_id = true;
    const auto result = run_load(loop, vm);
    CHECK(result.mismatched_answers() == result.offered());
    CHECK(result.count("ok") == 0);
}

TEST_CASE("load: counts refusals within the plan as wrongful") {
    boost::asio::io_context loop;
    echo_vm vm(loop);
    vm.refuse_requests = true;
    const auto result = run_load(loop, vm);
    CHECK(result.count("rate_exceeded/not_run") == result.offered());
    CHECK(result.accounts.at("alpha").wrongful_refusals == result.offered());
}

TEST_CASE("load: effect times, comparison and plot of a result") {
    load_result result;
    result.duration_s = 2;
    auto& account = result.accounts["alpha"];
    account.outcomes["ok"] = 10;
    account.last_ok_arrival_ms["pay"] = 5500;
    account.seconds.resize(2);
    result.endpoint_last_ms["127.0.0.1:9"] = 3000;
    const auto table = effect_table(result, "edit 5000 route alpha/pay\ndrain 4000 endpoint 127.0.0.1:9\n");
    CHECK(table.find("in effect after 0.50 s") != std::string::npos);
    CHECK(table.find("in effect after 0.00 s") != std::string::npos);
    CHECK_THROWS(effect_table(result, "edit soon route alpha/pay"));
    const auto json = to_json(result);
    account.outcomes["ok"] = 20;
    CHECK(compare(json, to_json(result)).find("ok/s 5.00 -> 10.00 (+100.0 %)") != std::string::npos);
    CHECK(plot_svg(result).ends_with("</svg>\n"));
}
