#pragma once

#include "coordination/endpoint_registry.h"
#include "coordination/route_table.h"
#include "state/time_ms.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief Which versions of a service may get a request.
struct version_choice {
    /// The version that the request must go to, or must avoid.
    std::string version;
    bool avoid = false;
    [[nodiscard]] bool allows(std::string_view candidate) const {
        return version.empty() || (candidate == version) != avoid;
    }
};

/// @brief What the choice of an endpoint depends on.
struct endpoint_request {
    const host_route* route = nullptr;
    std::string_view service;
    /// Tag of the route and the object that the request is about; 0 for none.
    std::uint32_t object = 0;
    version_choice version;
    const region_filter* regions = nullptr;
    /// Rank of the account or route; 0 is the most urgent.
    int priority = 0;
    /// Bytes that the request and its answer are expected to carry.
    std::size_t bytes = 0;
    /// Time since the caller first asked, over its own repeats.
    time_ms elapsed{0};
    /// Time until the final answer is due.
    time_ms left{0};
    /// Ids of endpoints that have already been tried.
    const std::vector<std::string>* tried = nullptr;
};

/// @brief An endpoint for a request, or the reason to refuse it.
struct endpoint_choice {
    std::shared_ptr<endpoint_state> endpoint;
    /// Expected time until the answer.
    time_ms expected{0};
    /// Part of it that the request is expected to wait for a slot.
    time_ms wait{0};
    /// The endpoint is expected to know the object.
    bool warm = false;
    /// When the caller should return; for refusals.
    time_ms retry_after{0};
    /// No endpoint of the service is usable at all.
    bool no_usable_endpoint = false;
};

/// @brief How an attempt at an endpoint ended, as far as it says something about the endpoint.
enum class attempt_end : std::uint8_t {
    answered,
    /// An answer that says that the endpoint failed.
    failed,
    /// The endpoint said that it did not run the request.
    not_run,
    /// No connection could be opened.
    unreachable,
    /// The connection ended or stayed silent before an answer.
    broken,
    /// Ended by the caller or by the request's own time limit.
    abandoned,
};

/// @brief Chooses endpoints by the expected time to the answer.
///
/// The expectation is the way, the wait for a slot (own requests and those of other VMs), and the service
/// time, which is shorter where the endpoint knows the object. Objects are spread over the endpoints of each
/// region by rendezvous hashing, so that all VMs of the region agree without talking.
class endpoint_selector {
public:
    endpoint_selector(endpoint_registry& registry, std::string zone, std::string region, std::uint64_t seed);

    /// @brief Whether this VM may send to cold endpoints of that id; one VM owns each.
    std::function<bool(const std::string&)> owns_cold_endpoint = [](const std::string&) { return true; };
    /// @brief Number of VMs alive, for the division of unknown load.
    std::size_t fleet = 1;

    /// @brief The best endpoint, or a refusal when none can answer in time.
    endpoint_choice choose(time_ms now, const endpoint_request& request, const backend_service* service);

    /// @brief Records the start of an attempt.
    void on_send(time_ms now, endpoint_state& endpoint, std::uint32_t object, const backend_service* service);
    /// @brief Records the end of an attempt that on_send() has started.
    void on_end(time_ms now, endpoint_state& endpoint, const endpoint_request& request, time_ms started,
                bool warm, attempt_end how, const backend_service* service);
    /// @brief Records a load report "running,waiting,slots" of an answer; malformed text is ignored.
    static void on_load_report(time_ms now, endpoint_state& endpoint, std::string_view text);
    /// @brief Records the duration of a connect, which is one way there and back.
    void on_connect(const endpoint_state& endpoint, time_ms duration);

private:
    struct service_times {
        double cold = 0;
        double warm = 0;
        double mean = 0;
        std::uint64_t samples = 0;
    };
    struct scored {
        std::shared_ptr<endpoint_state> endpoint;
        double cost = 0;
        double wait = 0;
        double expected = 0;
        double warm = 0;
        /// All slots are busy and as many requests wait as may.
        bool full = false;
    };

    [[nodiscard]] bool usable(time_ms now, const endpoint_state& endpoint, const endpoint_request& request,
                              const backend_service* service) const;
    static bool bound(const endpoint_request& request);
    [[nodiscard]] double scarcity(time_ms now, std::string_view service, const std::string& region) const;
    void note_bound(time_ms now, const endpoint_request& request, const std::string& region, bool room);
    [[nodiscard]] double load_of(time_ms now, const endpoint_state& endpoint) const;
    [[nodiscard]] double way(const endpoint_state& endpoint) const;
    [[nodiscard]] service_times times_of(const endpoint_request& request) const;
    scored score(time_ms now, const std::shared_ptr<endpoint_state>& endpoint,
                 const endpoint_request& request, const service_times& times) const;
    static double preference(const endpoint_state& endpoint, std::uint64_t subject);
    time_ms retry_after(double spare, double left);
    static void learn(service_times& of, double taken, bool warm);
    static void decay(time_ms now, endpoint_state& endpoint);

    endpoint_registry& registry_;
    std::string zone_;
    std::string region_;
    std::mt19937_64 random_;
    std::map<std::string, service_times, std::less<>> times_;
    /// Requests bound to a region that found no room there.
    struct scarce_region {
        double part = 0;
        time_ms updated{0};
    };
    // By service and region.
    std::map<std::string, std::map<std::string, scarce_region>, std::less<>> scarce_;
    // Milliseconds there and back, by zone.
    std::unordered_map<std::string, double> ways_;
};

} // namespace lacewing
