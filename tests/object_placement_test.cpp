#include "coordination/object_placement.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace lacewing;

namespace {

std::shared_ptr<endpoint_state> make_endpoint(std::size_t number) {
    auto made = std::make_shared<endpoint_state>();
    made->registration.id = {"e" + std::to_string(number)};
    made->registration.slots = 3;
    made->tag = hash_tag(made->registration.id.value);
    return made;
}

/// Endpoints of one region and what a VM sees of them.
struct one_region {
    explicit one_region(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i)
            endpoints.push_back(make_endpoint(i));
        // Most requests find their object warm.
        prepare(1);
        for (int i = 0; i < 500; ++i)
            send(*endpoints.front(), 1);
    }

    [[nodiscard]] object_placement::view_function view() const {
        return [this](const endpoint_state& endpoint) -> object_placement::endpoint_view {
            return {&endpoint != unusable, &endpoint != full};
        };
    }

    void prepare(std::uint32_t object) {
        now += time_ms{1'000};
        placed.prepare(
            now, "s", object, endpoints, time_ms{0}, [](const auto&) { return false; }, view());
    }

    /// The endpoint of the lowest cost for an object that is warm nowhere.
    std::shared_ptr<endpoint_state> best(std::uint32_t object) {
        prepare(object);
        return *std::min_element(endpoints.begin(), endpoints.end(), [this](const auto& a, const auto& b) {
            return placed.cost_ms(*a, 0, false, 100) < placed.cost_ms(*b, 0, false, 100);
        });
    }

    void send(endpoint_state& endpoint, std::uint32_t object) {
        placed.on_send("s", endpoint, object, view());
        endpoint.warm_objects.add(object);
    }

    time_ms now{0};
    object_placement placed;
    std::vector<std::shared_ptr<endpoint_state>> endpoints;
    const endpoint_state* unusable = nullptr;
    const endpoint_state* full = nullptr;
};

} // namespace

TEST_CASE("object placement: a full or missing endpoint sends its objects anywhere") {
    one_region region(20);
    for (std::uint32_t object = 1; object <= 50; ++object) {
        region.full = region.unusable = nullptr;
        const auto first = region.best(object);
        region.full = first.get();
        region.prepare(object);
        std::size_t own = 0;
        for (const auto& endpoint : region.endpoints)
            if (region.placed.cost_ms(*endpoint, 0, false, 100) < 50) ++own;
        // The full one and two with a free slot.
        CHECK(own == 3);
        region.full = nullptr;
        region.prepare(object);
        own = 0;
        for (const auto& endpoint : region.endpoints)
            if (region.placed.cost_ms(*endpoint, 0, false, 100) < 50) ++own;
        CHECK(own == 2);
    }
}

TEST_CASE("object placement: an object leaves its region for endpoints that are its own elsewhere") {
    one_region region(20);
    for (std::size_t i = 0; i < 20; ++i) {
        region.endpoints.push_back(make_endpoint(100 + i));
        region.endpoints.back()->region_tag = 7;
    }
    for (std::uint32_t object = 1; object <= 50; ++object) {
        region.prepare(object);
        double largest_at_home = 0;
        double least_elsewhere = 1000;
        for (const auto& endpoint : region.endpoints) {
            const double cost = region.placed.cost_ms(*endpoint, 0, false, 100);
            if (endpoint->region_tag == 0) {
                largest_at_home = std::max(largest_at_home, cost);
            } else {
                least_elsewhere = std::min(least_elsewhere, cost);
            }
        }
        // No more than what decides between equal endpoints.
        CHECK(least_elsewhere >= largest_at_home - 4);
    }
}

TEST_CASE("object placement: a region with few endpoints keeps objects to some of them") {
    one_region region(object_placement::min_endpoints - 1);
    region.prepare(5);
    CHECK_FALSE(region.placed.places(0));
    CHECK_FALSE(region.placed.active());
}

TEST_CASE("object placement: a change of an object's endpoint is counted for the wrong cause") {
    one_region region(20);
    const std::uint32_t object = 9;
    const auto first = region.best(object);
    region.send(*first, object);
    const auto other = region.endpoints[first == region.endpoints[3] ? 4 : 3];
    SUBCASE("full") {
        region.full = first.get();
        region.send(*other, object);
        CHECK(region.placed.changes().full == 1);
    }
    SUBCASE("gone, still listed") {
        region.unusable = first.get();
        region.send(*other, object);
        CHECK(region.placed.changes().gone == 1);
    }
    SUBCASE("gone from the list") {
        std::erase(region.endpoints, first);
        region.prepare(object);
        region.send(*other, object);
        CHECK(region.placed.changes().gone == 1);
    }
    SUBCASE("faster elsewhere") {
        region.send(*other, object);
        CHECK(region.placed.changes().faster_elsewhere == 1);
        // Both have it now, so its callers lose nothing.
        region.send(*first, object);
        CHECK(region.placed.changes().faster_elsewhere == 1);
        CHECK(region.placed.changes().requests == 503);
        CHECK(region.placed.changes().warm_requests == 500);
    }
    SUBCASE("resized") {
        for (const auto& endpoint : region.endpoints)
            endpoint->registration.slots = endpoint == first ? 1 : 3000;
        region.prepare(object);
        region.send(*other, object);
        CHECK(region.placed.changes().resized == 1);
    }
    CHECK_FALSE(region.placed.take_changes(object_placement::log_interval - time_ms{1}));
    CHECK(region.placed.take_changes(object_placement::log_interval));
    CHECK_FALSE(region.placed.take_changes(object_placement::log_interval * 2));
}
