// Guards against answers that promise "not run" (408, 421, 429 and 503) for a request that an endpoint runs.
// Endpoints record what they run, callers what they are told; both are joined by the id of the request.
#include "platform_stand_in.h"
#include "unreliable_endpoints.h"

#include "platform/dialect.h"
#include "transport/monotonic_clock.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <string>

using namespace lacewing;
using namespace lacewing::testing;

namespace {

header_list payment_headers(const std::string& id) {
    const auto& names = platform::dialect;
    return {{std::string(names.attempt_id), id},
            {std::string(names.deadline), "2000"},
            {std::string(names.key), "secret"}};
}

bool promises_not_run(unsigned status) {
    constexpr std::array<unsigned, 4> promises{408, 421, 429, 503};
    return std::find(promises.begin(), promises.end(), status) != promises.end();
}

/// What the callers of a run were told.
struct promise_summary {
    int answered = 0;
    int promised = 0;
    int false_promises = 0;
    int run_twice = 0;
};

promise_summary summarize(const std::map<std::string, unsigned>& statuses,
                          const std::map<std::string, int>& runs) {
    promise_summary summary;
    for (const auto& [id, status] : statuses) {
        const auto found = runs.find(id);
        const int count = found == runs.end() ? 0 : found->second;
        if (status == 200) ++summary.answered;
        if (promises_not_run(status)) ++summary.promised;
        if (count > 1) ++summary.run_twice;
        if (promises_not_run(status) && count > 0) {
            ++summary.false_promises;
            MESSAGE("request ", id, " was answered ", status, " and has run");
        }
    }
    return summary;
}

} // namespace

// Guards against REFUSED (issue 39): an endpoint has started again at its address under a new id, and its
// refusal of a request for the old id, written once more, counts for the repeat to the new id.
TEST_CASE("promise: a copy of the refusal of one send counts for the next send of the same request") {
    platform_stand_in platform(1);
    platform.put_object("config", "main", platform_stand_in::configuration(1, "secret"));
    unreliable_endpoints endpoints(platform.host(), 1, {.repeated_refusals = 1});
    const auto address = endpoints.open("e-new");
    platform.register_endpoint("e-new", "s", address);
    REQUIRE(platform.wait_all_ready());
    std::map<std::string, unsigned> statuses;
    for (int round = 0; round < 30; ++round) {
        // Entries of ended processes stay for some time.
        platform.register_endpoint(fmt::format("e-old-{}", round), "s", address);
        const auto misdirected = endpoints.misdirected();
        const auto until = monotonic_now() + time_ms{1'000};
        for (int i = 0; endpoints.misdirected() == misdirected && monotonic_now() < until; ++i) {
            const auto id = fmt::format("p-{}-{}", round, i);
            statuses[id] =
                send_request(platform.caller_address(0), "POST", "/pay/x", payment_headers(id), "b").status;
        }
    }
    CHECK(endpoints.misdirected() > 0);
    const auto summary = summarize(statuses, endpoints.runs());
    CHECK(summary.answered > 0);
    CHECK(summary.false_promises == 0);
    CHECK(summary.run_twice == 0);
}

// Guards against REFUSED (issue 39): a refusal that an endpoint writes before it has read a request, and that
// names none, counts for the request that it then runs.
TEST_CASE("promise: a refusal that names no request counts for one that is run") {
    platform_stand_in platform(1);
    platform.put_object("config", "main", platform_stand_in::configuration(1, "secret"));
    unreliable_endpoints endpoints(platform.host(), 1, {.refusals_on_accept = 0.5});
    for (const auto* id : {"e-1", "e-2", "e-3"})
        platform.register_endpoint(id, "s", endpoints.open(id));
    REQUIRE(platform.wait_all_ready());
    std::map<std::string, unsigned> statuses;
    for (int i = 0; i < 100; ++i) {
        const auto id = fmt::format("p-{}", i);
        statuses[id] =
            send_request(platform.caller_address(0), "POST", "/pay/x", payment_headers(id), "b").status;
    }
    REQUIRE(wait_until([&] { return endpoints.in_progress() == 0; }));
    const auto summary = summarize(statuses, endpoints.runs());
    CHECK(summary.answered > 0);
    CHECK(summary.false_promises == 0);
    CHECK(summary.run_twice == 0);
}
