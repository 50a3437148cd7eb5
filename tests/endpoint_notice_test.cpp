#include "coordination/endpoint_notice.h"
#include "coordination/endpoint_registry.h"
#include "coordination/endpoint_selector.h"
#include "endpoint_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

using namespace lacewing;
using namespace lacewing::testing;

namespace {

endpoint_registration registration(const std::string& id, std::int64_t started, std::uint64_t revision) {
    endpoint_registration made;
    made.id = {id};
    made.service = "s";
    made.address = "10.0.0.1:1000";
    made.zone = {"z"};
    made.version = "v1";
    made.slots = 3;
    made.revision = revision;
    made.started_unix_ms = started;
    return made;
}

const std::unordered_map<std::string, std::string> zones{{"z", "r"}};

struct fixture {
    fixture() : registry(zones), selector(registry, "z", "r", 1) {
        route.name = {"r"};
        route.goal = time_ms{400};
        route.parts = {{"s", 1}};
    }

    endpoint_choice choose(time_ms now) {
        endpoint_request request;
        request.route = &route;
        request.service = "s";
        request.left = time_ms{1'000};
        return selector.choose(now, request, nullptr);
    }

    endpoint_registry registry;
    endpoint_selector selector;
    host_route route;
};

/// Endpoints that leave, ask for pauses and start again under the same id, beside restarts, freezes and cuts
/// of VMs and lost reports; counts the requests that an endpoint had asked the VMs not to send.
struct endpoints_with_words : endpoint_fleet {
    /// Time from the word of an endpoint by which no VM sends to it: the least time for which endpoints that
    /// leave serve on.
    static constexpr time_ms drain{2'000};
    /// From this time after a pause was asked for, a VM may send only max_in_pause more requests.
    static constexpr time_ms pause_grace{500};
    static constexpr int max_in_pause = 2;
    static constexpr double per_s_and_region = 60;

    explicit endpoints_with_words(std::uint64_t seed) : endpoint_fleet({{8, 8, 8}, 3, 1, seed}) {
        report_loss = 0.3;
        disturbed_at.resize(vms.size());
        on_word = [this](std::size_t vm, std::size_t server, word said) { heard(vm, server, said); };
        on_request = [this](std::size_t vm, std::size_t server) { check(vm, server); };
    }

    [[nodiscard]] std::pair<std::uint64_t, std::uint64_t> pair_of(std::size_t vm, std::size_t server) const {
        return {vms[vm]->incarnation, server << 32U | static_cast<std::uint64_t>(servers[server].started)};
    }

    void heard(std::size_t vm, std::size_t server, word said) {
        const auto key = pair_of(vm, server);
        if (said == word::leaving) {
            told_leaving.insert(key);
            first_told.try_emplace(key.second, now);
        } else {
            auto& pause = pauses[key];
            pause = {now, std::max(pause.end, servers[server].pause_end), pause.requests};
        }
    }

    void check(std::size_t vm, std::size_t server) {
        const auto key = pair_of(vm, server);
        ++requests_of_process[key.second];
        if (told_leaving.contains(key)) ++after_own_word;
        const auto first = first_told.find(key.second);
        const bool undisturbed = !vms[vm]->cut_off && now - disturbed_at[vm] > drain;
        if (first != first_told.end() && undisturbed && now - first->second > drain) ++after_word_of_others;
        const auto pause = pauses.find(key);
        if (pause == pauses.end() || now >= pause->second.end || now < pause->second.asked + pause_grace)
            return;
        if (++pause->second.requests > max_in_pause) ++in_pause;
    }

    std::size_t pick(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    }

    void disturb() {
        const auto vm = pick(vms.size());
        const auto server = pick(servers.size());
        switch (pick(6)) {
        case 0:
        case 1:
            servers[server].leaving = true;
            run(time_ms{3'500}, per_s_and_region);
            lagging = vm;
            restart_server(server);
            restarted.insert(pair_of(0, server).second);
            break;
        case 2:
            servers[server].pause_end = now + time_ms{1'000 + 500 * static_cast<std::int64_t>(pick(6))};
            break;
        case 3:
            restart_vm(vm);
            break;
        case 4:
            vms[vm]->paused = true;
            run(time_ms{1'000}, per_s_and_region);
            vms[vm]->paused = false;
            break;
        default:
            vms[vm]->cut_off = true;
            run(time_ms{2'000}, per_s_and_region);
            vms[vm]->cut_off = false;
        }
        disturbed_at[vm] = now;
        run(time_ms{700}, per_s_and_region);
        count_wrong_words();
    }

    // Counts the VMs to which a process that goes on counts as one that leaves.
    void count_wrong_words() {
        for (const auto& item : vms) {
            for (std::size_t e = 0; e < servers.size(); ++e) {
                const auto known = item->registry.find(std::to_string(e));
                const bool same_process = known->registration.started_unix_ms == servers[e].started;
                if (same_process && known->notice.leaving() && !servers[e].leaving) ++wrong_words;
            }
        }
    }

    struct pause_state {
        time_ms asked{0};
        time_ms end{0};
        int requests = 0;
    };
    // By process of a VM and process of an endpoint.
    std::set<std::pair<std::uint64_t, std::uint64_t>> told_leaving;
    std::map<std::pair<std::uint64_t, std::uint64_t>, pause_state> pauses;
    // By process of an endpoint.
    std::map<std::uint64_t, time_ms> first_told;
    std::map<std::uint64_t, int> requests_of_process;
    std::set<std::uint64_t> restarted;
    std::vector<time_ms> disturbed_at;
    int after_own_word = 0;
    int after_word_of_others = 0;
    int in_pause = 0;
    int wrong_words = 0;
};

} // namespace

// Guards against requests that an endpoint has asked not to be sent, and against words that bind the next
// process under the same id.
TEST_CASE("endpoint notice: endpoints get requests that they have asked the VMs not to send") {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        endpoints_with_words fleet(seed);
        fleet.run(time_ms{4'000}, endpoints_with_words::per_s_and_region);
        for (int i = 0; i < 24; ++i)
            fleet.disturb();
        fleet.run(time_ms{4'000}, endpoints_with_words::per_s_and_region);
        CHECK(fleet.after_own_word == 0);
        CHECK(fleet.after_word_of_others == 0);
        CHECK(fleet.in_pause == 0);
        CHECK(fleet.wrong_words == 0);
        CHECK_FALSE(fleet.first_told.empty());
        CHECK_FALSE(fleet.pauses.empty());
        for (const auto process : fleet.restarted)
            CHECK(fleet.requests_of_process[process] > 0);
    }
}

TEST_CASE("endpoint notice: a pause that is no number of seconds is taken for one") {
    CHECK(parse_endpoint_pause("2") == time_ms{2'000});
    CHECK(parse_endpoint_pause("0.25") == time_ms{250});
    CHECK(parse_endpoint_pause("0") == time_ms{0});
    CHECK(parse_endpoint_pause("0.0001") == time_ms{1});
    CHECK(parse_endpoint_pause("99999999999999999999") == max_endpoint_pause);
    CHECK(parse_endpoint_pause(std::string(400, '9')) == max_endpoint_pause);
    for (const auto* text : {"", "-1", "-0.5", "1e3", "nan", "inf", "1,5", " 1", "1 ", "1s", "0x10",
                             "Sat, 05 Dec 2026 02:14:45 GMT"}) {
        CAPTURE(std::string(text));
        CHECK_FALSE(parse_endpoint_pause(text));
    }
}

// Guards against requests to an endpoint that has said that it wants none, and against words that outlive the
// process that has said them.
TEST_CASE("endpoint notice: a list that is out of date ends what an endpoint has said") {
    fixture f;
    f.registry.put(time_ms{0}, registration("e", 1, 1));
    REQUIRE(f.choose(time_ms{0}).endpoint != nullptr);
    CHECK(f.registry.find("e")->notice.on_leaving(time_ms{0}));
    CHECK_FALSE(f.registry.find("e")->notice.on_leaving(time_ms{0}));
    f.registry.put(time_ms{10}, registration("e", 1, 2));
    CHECK(f.choose(time_ms{10}).endpoint == nullptr);
    // The registration lapses and comes back with the same process.
    f.registry.remove(time_ms{20}, "e");
    f.registry.put(time_ms{30}, registration("e", 1, 3));
    CHECK(f.choose(time_ms{30}).endpoint == nullptr);
    // A new process at the same address, under the same id.
    f.registry.put(time_ms{40}, registration("e", 2, 4));
    CHECK(f.choose(time_ms{40}).endpoint != nullptr);
}

TEST_CASE("endpoint notice: callers come back before the pause of all endpoints has ended, or all together") {
    fixture f;
    for (const auto* id : {"e", "f"})
        f.registry.put(time_ms{0}, registration(id, 1, 1));
    f.registry.find("e")->notice.on_pause(time_ms{0}, time_ms{2'000});
    f.registry.find("e")->notice.on_pause(time_ms{0}, time_ms{500});
    REQUIRE(f.choose(time_ms{0}).endpoint != nullptr);
    CHECK(f.choose(time_ms{0}).endpoint->registration.id.value == "f");
    f.registry.find("f")->notice.on_pause(time_ms{0}, time_ms{3'000});
    std::set<std::int64_t> times;
    for (int i = 0; i < 50; ++i) {
        const auto choice = f.choose(time_ms{1'000});
        CHECK(choice.endpoint == nullptr);
        CHECK(choice.paused_endpoints == 2);
        CHECK(choice.retry_after >= time_ms{1'000});
        CHECK(choice.retry_after <= time_ms{1'501});
        times.insert(choice.retry_after.count);
    }
    CHECK(times.size() > 20);
    CHECK(f.choose(time_ms{2'000}).endpoint->registration.id.value == "e");
}
