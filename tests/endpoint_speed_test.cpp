#include "coordination/endpoint_registry.h"
#include "coordination/endpoint_selector.h"
#include "coordination/endpoint_speed.h"
#include "coordination/kept_objects.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

using namespace lacewing;

TEST_CASE("endpoint speed: a statement counts for seconds although it changes several times a second") {
    endpoint_speed speed;
    CHECK_FALSE(speed.stated());
    for (time_ms now{0}; now < time_ms{10'000}; now += time_ms{100})
        speed.on_stated(now, 1);
    speed.on_stated(time_ms{10'000}, 3);
    CHECK(speed.stated());
    CHECK(speed.factor(time_ms{10'000}) > 2.8);
    CHECK(speed.factor(time_ms{10'400}) < 2.2);
    CHECK(speed.factor(time_ms{12'000}) < 1.3);
}

TEST_CASE("endpoint speed: a lasting statement is forgotten within a second") {
    endpoint_speed speed;
    for (time_ms now{0}; now < time_ms{10'000}; now += time_ms{100})
        speed.on_stated(now, 3);
    CHECK(speed.factor(time_ms{11'000}) > 2.5);
    CHECK(speed.lasting_factor(time_ms{11'000}) > 2.5);
    // Without requests it is tried again at last.
    CHECK(speed.factor(time_ms{40'000}) < 1.1);
}

TEST_CASE("endpoint speed: a statement that measurements contradict keeps its weight") {
    endpoint_speed speed;
    time_ms now{0};
    for (int i = 0; i < 12; ++i, now += time_ms{200}) {
        speed.on_stated(now, 5);
        speed.on_answer(now, 1);
    }
    CHECK(speed.trust() < 0.1);
    CHECK(speed.factor(now) < 1.3);
    // An endpoint that is slower than it states.
    endpoint_speed boaster;
    for (int i = 0; i < 12; ++i, now += time_ms{200}) {
        boaster.on_stated(now, 0.5);
        boaster.on_answer(now, 6);
    }
    CHECK(boaster.factor(now) > 4);
}

TEST_CASE("endpoint speed: one request of unusual length makes an endpoint look slow") {
    endpoint_speed speed;
    speed.on_stated(time_ms{0}, 1);
    speed.on_answer(time_ms{0}, 7);
    CHECK(speed.factor(time_ms{0}) < 1.2);
    speed.on_answer(time_ms{100}, 7);
    speed.on_answer(time_ms{200}, 7);
    CHECK(speed.factor(time_ms{200}) > 3);
}

TEST_CASE("endpoint speed: a changed statement is not reported, or the usual one always is") {
    endpoint_speed speed;
    speed.on_stated(time_ms{0}, 1);
    CHECK_FALSE(speed.unreported_percent());
    speed.on_stated(time_ms{10}, 2.5);
    CHECK(speed.unreported_percent() == 250);
    speed.clear_unreported();
    speed.on_stated(time_ms{20}, 1);
    CHECK(speed.unreported_percent() == 100);
    speed.clear_unreported();
    speed.on_stated(time_ms{30}, 1);
    CHECK_FALSE(speed.unreported_percent());
    speed.on_reported(time_ms{40}, 2.5);
    CHECK_FALSE(speed.unreported_percent());
    CHECK(speed.factor(time_ms{40}) > 2);
}

TEST_CASE("endpoint speed: malformed or extreme text is taken for a statement") {
    CHECK(parse_stated_factor("100") == 1.0);
    CHECK(parse_stated_factor(" 250 ") == 2.5);
    CHECK(parse_stated_factor("62.5") == 0.625);
    CHECK(parse_stated_factor("1") == endpoint_speed::min_factor);
    CHECK(parse_stated_factor("99999999") == endpoint_speed::max_factor);
    for (const auto* text : {"", " ", "0", "-100", "1e3", "nan", "100%", "1,2", "1.2.3"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_stated_factor(text).has_value());
    }
}

TEST_CASE("kept objects: the number that endpoints keep is overestimated or underestimated") {
    std::mt19937_64 random(1);
    for (const std::size_t kept : {8U, 15U, 25U}) {
        CAPTURE(kept);
        kept_objects estimate;
        CHECK(estimate.warm_probability(20) > 0.9);
        for (int i = 0; i < 400; ++i) {
            const auto age = std::uniform_int_distribution<std::size_t>(0, 24)(random);
            const bool misread = std::bernoulli_distribution(0.08)(random);
            estimate.on_run(age, (age < kept) != misread);
        }
        CHECK(estimate.warm_probability(kept - 4) > 0.8);
        // Ages from 25 on are not remembered.
        if (kept < 20) CHECK(estimate.warm_probability(kept + 4) < 0.2);
    }
}

namespace {

/// Simulates several VMs of one region, which report to each other every 100 ms, and a service whose
/// endpoints keep a few objects warm. Each endpoint has a factor by which work takes longer there at the
/// moment, and may state it.
struct uneven_service {
    static constexpr std::size_t slots = 3;
    static constexpr time_ms warm_time{145};
    static constexpr time_ms cold_time{480};

    struct sizes {
        std::size_t vms = 10;
        std::size_t endpoints = 24;
        std::size_t kept = 10;
        std::uint32_t objects = 80;
        std::uint64_t seed = 1;
        /// Whether endpoints state anything.
        bool stated = true;
    };
    struct job {
        time_ms asked{0};
        time_ms finish{0};
        std::size_t vm = 0;
        std::uint32_t object = 0;
        bool warm = false;
    };
    struct server {
        std::vector<job> running;
        std::deque<job> waiting;
        std::deque<std::uint32_t> warm;
        double factor = 1;
        /// Factor that it states; the true one if not set.
        std::optional<double> stated;
        std::size_t requests = 0;
    };
    struct vm {
        explicit vm(std::uint64_t seed)
            : registry(std::unordered_map<std::string, std::string>{{"z", "r"}}),
              selector(registry, "z", "r", seed) {}
        endpoint_registry registry;
        endpoint_selector selector;
    };

    explicit uneven_service(const sizes& made) : shape(made), random(made.seed), servers(made.endpoints) {
        route.name = {"r"};
        route.goal = time_ms{500};
        route.affinity = true;
        route.parts = {{"s", 1}};
        for (std::size_t i = 0; i < made.vms; ++i) {
            vms.push_back(std::make_unique<vm>(i + 100 * made.seed));
            vms.back()->selector.fleet = made.vms;
            for (std::size_t e = 0; e < made.endpoints; ++e) {
                endpoint_registration item;
                item.id = {std::to_string(e)};
                item.service = "s";
                item.address = "10.0.0.1:" + std::to_string(1000 + e);
                item.zone = {"z"};
                item.version = "v1";
                item.slots = slots;
                item.revision = 1;
                vms.back()->registry.put(now, item);
            }
        }
    }

    void run(time_ms span, double per_s) {
        std::bernoulli_distribution arrives(per_s / 1000);
        const auto end = now + span;
        for (; now < end; now += time_ms{1}) {
            if (change) change();
            if (arrives(random)) arrive();
            for (std::size_t e = 0; e < servers.size(); ++e)
                advance(e);
            if (now.count % 100 == 0) report();
        }
    }

    /// Runs until the VMs know the service, and begins to count.
    void warm_up(double per_s) {
        run(time_ms{10'000}, per_s);
        asked = in_goal = 0;
        for (auto& item : servers)
            item.requests = 0;
    }

    endpoint_request request_for(std::uint32_t object) const {
        endpoint_request made;
        made.route = &route;
        made.service = "s";
        made.object = object;
        made.left = time_ms{3000};
        return made;
    }

    void arrive() {
        const auto index = std::uniform_int_distribution<std::size_t>(0, vms.size() - 1)(random);
        const auto object = std::uniform_int_distribution<std::uint32_t>(1, shape.objects)(random);
        ++asked;
        auto& selector = vms[index]->selector;
        const auto choice = selector.choose(now, request_for(object), nullptr);
        if (choice.endpoint == nullptr) return;
        const auto e = std::stoul(choice.endpoint->registration.id.value);
        selector.on_send(now, *choice.endpoint, request_for(object), nullptr);
        ++servers[e].requests;
        servers[e].waiting.push_back({now, {}, index, object, choice.warm});
    }

    void advance(std::size_t e) {
        auto& current = servers[e];
        for (auto at = current.running.begin(); at != current.running.end();) {
            if (at->finish > now) {
                ++at;
                continue;
            }
            const auto done = *at;
            at = current.running.erase(at);
            answer(e, done);
        }
        while (current.running.size() < slots && !current.waiting.empty()) {
            auto next = current.waiting.front();
            current.waiting.pop_front();
            next.finish = now + time_ms{static_cast<std::int64_t>(work_ms(current, next.object))};
            current.running.push_back(next);
        }
    }

    // 3 in 100 requests need seven times the work.
    double work_ms(server& current, std::uint32_t object) {
        auto& warm = current.warm;
        const auto found = std::find(warm.begin(), warm.end(), object);
        const auto usual = found != warm.end() ? warm_time : cold_time;
        if (found != warm.end()) warm.erase(found);
        warm.push_back(object);
        if (warm.size() > shape.kept) warm.pop_front();
        const double spread = std::uniform_real_distribution<double>(0.85, 1.15)(random);
        const double tail = std::bernoulli_distribution(0.03)(random) ? 7 : 1;
        return static_cast<double>(usual.count) * spread * tail * current.factor;
    }

    void answer(std::size_t e, const job& done) {
        const auto& from = servers[e];
        auto& sender = *vms[done.vm];
        auto& endpoint = *sender.registry.find(std::to_string(e));
        auto text = std::to_string(from.running.size()) + "," + std::to_string(from.waiting.size()) + ",3";
        if (shape.stated) text += "," + std::to_string(std::lround(100 * from.stated.value_or(from.factor)));
        endpoint_selector::on_load_report(now, endpoint, text);
        sender.selector.on_end(now, endpoint, request_for(done.object), done.asked, done.warm,
                               attempt_end::answered, nullptr);
        if (now - done.asked <= route.goal) ++in_goal;
    }

    void report() {
        for (std::size_t from = 0; from < vms.size(); ++from) {
            vm_report message;
            vms[from]->registry.fill(now, message, report_audience::same_region, false);
            vms[from]->registry.clear_unreported(report_audience::same_region);
            for (std::size_t to = 0; to < vms.size(); ++to) {
                if (to != from) vms[to]->registry.on_report(now, "vm-" + std::to_string(from), message);
            }
        }
    }

    [[nodiscard]] double in_goal_share() const {
        return static_cast<double>(in_goal) / static_cast<double>(asked);
    }
    /// Requests of some endpoints divided by their equal share.
    [[nodiscard]] double share_of(std::size_t first, std::size_t last) const {
        std::size_t theirs = 0;
        std::size_t all = 0;
        for (std::size_t e = 0; e < servers.size(); ++e) {
            all += servers[e].requests;
            if (e >= first && e < last) theirs += servers[e].requests;
        }
        return static_cast<double>(theirs) / static_cast<double>(all) * static_cast<double>(servers.size()) /
               static_cast<double>(last - first);
    }

    sizes shape;
    time_ms now{1'000'000};
    std::mt19937_64 random;
    host_route route;
    std::vector<std::unique_ptr<vm>> vms;
    std::vector<server> servers;
    /// Called each millisecond; changes the factors.
    std::function<void()> change;
    std::size_t asked = 0;
    std::size_t in_goal = 0;
};

/// Every 600 ms, each endpoint draws whether it is 2.5 times slower, as 15 in 100 are.
void make_noisy(uneven_service& service) {
    service.change = [&service] {
        for (std::size_t e = 0; e < service.servers.size(); ++e) {
            if ((service.now.count + static_cast<std::int64_t>(e) * 37) % 600 == 0)
                service.servers[e].factor = std::bernoulli_distribution(0.15)(service.random) ? 2.5 : 1;
        }
    };
}

} // namespace

TEST_CASE("noisy endpoints: requests go to endpoints that have just stated that they are slow") {
    for (const bool stated : {false, true}) {
        double least = 1;
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            uneven_service service({.seed = seed, .stated = stated});
            make_noisy(service);
            service.warm_up(200);
            service.run(time_ms{20'000}, 200);
            least = std::min(least, service.in_goal_share());
            MESSAGE("stated " << stated << ", seed " << seed << ", in goal " << service.in_goal_share());
        }
        // 6 in 10 of the capacity are asked for, and 3 in 100 requests are late anywhere.
        if (stated) CHECK(least >= 0.9);
    }
}

TEST_CASE("a third of the endpoints is twelve times slower: callers wait behind it") {
    for (const bool stated : {false, true}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            uneven_service service({.seed = seed, .stated = stated});
            for (std::size_t e = 0; e < 8; ++e)
                service.servers[e].factor = 12;
            service.warm_up(120);
            service.run(time_ms{20'000}, 120);
            MESSAGE("stated " << stated << ", seed " << seed << ", in goal " << service.in_goal_share()
                              << ", share of the slow " << service.share_of(0, 8));
            if (!stated) continue;
            CHECK(service.in_goal_share() >= 0.95);
            CHECK(service.share_of(0, 8) <= 0.05);
        }
    }
}

TEST_CASE("endpoints that state a wrong speed: they get no requests, or too many") {
    for (const bool stated : {false, true}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            uneven_service service({.seed = seed, .stated = stated});
            for (std::size_t e = 0; e < 6; ++e)
                service.servers[e].stated = 5;
            for (std::size_t e = 6; e < 10; ++e) {
                service.servers[e].stated = 0.5;
                service.servers[e].factor = 5;
            }
            service.warm_up(150);
            service.run(time_ms{20'000}, 150);
            MESSAGE("stated " << stated << ", seed " << seed << ", in goal " << service.in_goal_share()
                              << ", share of the modest " << service.share_of(0, 6)
                              << ", share of the boasting " << service.share_of(6, 10));
            if (!stated) continue;
            CHECK(service.share_of(0, 6) >= 0.5);
            CHECK(service.share_of(6, 10) <= 0.5);
        }
    }
}
