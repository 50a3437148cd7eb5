#pragma once

#include "coordination/latency_counts.h"
#include "coordination/vm_report.h"
#include "state/time_ms.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lacewing {

/// @brief Service time of a cold object as a VM has measured it.
struct service_time_estimate {
    /// Milliseconds; 0 if unknown.
    double ms = 0;
    /// Answers on which the estimate rests.
    std::uint64_t samples = 0;
};

/// @brief Usual latencies by route, from the answers that all VMs have got from the versions that are not the
/// target of a move.
///
/// The latencies of the VMs are added up, so a route whose requests are spread over many VMs has a baseline
/// as soon as the fleet has seen enough answers, and a process that starts has one with the first reports.
class latency_baselines {
public:
    latency_baselines();

    /// @brief Sets the size of the fleet. In a large one each VM reports fewer answers, at least four of each
    /// kind, so that what a VM receives and keeps grows more slowly than the fleet.
    /// @param vms Known VMs, this one included; at least 1.
    void set_fleet(std::size_t vms);
    /// @brief Records an answer of this VM.
    /// @param queued A wait for a slot was expected.
    void on_answer(const std::string& service, const std::string& route, time_ms latency, bool queued);
    /// @brief Records the latest estimate of this VM.
    void on_service_time(const std::string& service, const std::string& route,
                         const service_time_estimate& cold);
    /// @brief Replaces what a process of another VM has reported before.
    /// @param process Name of the VM with the incarnation of its process.
    void on_report(time_ms now, const std::string& process, std::span<const route_latencies> latencies);
    /// @brief Applies what has been recorded since the last call, and forgets processes that have not
    /// reported for a while.
    void update(time_ms now);

    /// @brief Latency above which the answer to a request is slow.
    /// @return Nothing while the fleet has seen too few answers.
    [[nodiscard]] std::optional<double> slow_latency_ms(const std::string& route) const;
    /// @brief What this VM has measured of the routes of some services.
    /// @param wanted Function of a service name: whether its routes are included.
    [[nodiscard]] std::vector<route_latencies>
    own(const std::function<bool(const std::string&)>& wanted) const;

private:
    /// Latest latencies of one kind.
    struct recent_latencies {
        std::deque<std::size_t> buckets;
        latency_counts counts;
        void add(time_ms latency, std::size_t max_answers);
    };
    /// What this VM has measured of a route.
    struct own_latencies {
        std::string service;
        recent_latencies queued;
        recent_latencies unqueued;
        service_time_estimate cold;
        [[nodiscard]] route_latencies reported(const std::string& route) const;
    };
    struct process_latencies {
        time_ms reported_at{0};
        std::vector<route_latencies> routes;
    };
    void remove(const process_latencies& process);
    void forget_silent(time_ms now);
    [[nodiscard]] static std::optional<double> slow_latency_ms(const route_latencies& fleet);

    // Latest answers of each kind that this VM reports of a route.
    std::size_t reported_answers_;
    time_ms looked_for_silent_at_{0};
    // By route.
    std::map<std::string, own_latencies> own_;
    // By process.
    std::map<std::string, process_latencies> others_;
    // Sums of others_, by route.
    std::map<std::string, route_latencies> totals_of_others_;
    // By route; routes without a baseline are left out.
    std::map<std::string, double> slow_latencies_ms_;
};

} // namespace lacewing
