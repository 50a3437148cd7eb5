#pragma once

#include "coordination/report_delay_meter.h"
#include "coordination/vm_report.h"
#include "state/ids.h"
#include "state/time_ms.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lacewing {

/// @brief Capacity of one region for a request.
struct region_capacity {
    /// Tag of the region, by hash_tag().
    std::uint32_t region = 0;
    /// Slots of the endpoints that may take the request.
    double usable_slots = 0;
    /// Slots of the endpoints that are listed but have failed.
    double failed_slots = 0;
};

/// @brief Decisions of a region_shift_limiter by their reason, since its start.
struct region_shift_decisions {
    /// Too few requests in the earlier window to compare with.
    std::uint64_t without_history = 0;
    /// The region has got fewer requests of this VM than by its earlier share.
    std::uint64_t below_share = 0;
    std::uint64_t within_limit = 0;
    std::uint64_t refused = 0;
    /// Requests of the earlier window whose endpoints have failed were given to other regions.
    std::uint64_t with_failed_slots = 0;
};

/// @brief What a region_shift_limiter knows at one moment, for logs.
struct region_shift_view {
    /// Requests in the earlier and the later window, and the largest share that moved.
    double requests_before = 0;
    double requests_now = 0;
    double shift = 0;
    region_shift_decisions decisions;
    /// Mean and longest age of what other VMs report.
    double report_age_ms = 0;
    time_ms longest_report_age{0};
};

/// @brief Limits how fast the requests of one region move between the regions that serve them.
///
/// The VMs of one region report how many requests they have sent to each region. Each VM compares the shares
/// of its own requests of the last two seconds with those of all VMs of its region in the two seconds before,
/// and may differ from them by the limit. If each VM keeps to this, so does the region, whatever the VMs know
/// of each other's latest requests. A region whose endpoints have failed gives up its share at once.
///
/// A VM has few requests in a window, so the earlier shares and the limit are rounded to whole requests, up
/// or down by random numbers that each VM draws once; over the VMs of a region the rounding
/// cancels out.
class region_shift_limiter {
public:
    /// Length of the two windows that are compared.
    static constexpr time_ms window{2000};
    /// Part of the limit that is used. The rest covers the rounding, and that reports tell of the earlier
    /// window a little late.
    static constexpr double used_fraction = 0.65;
    /// Requests in the earlier window from which on its shares are compared.
    static constexpr double min_requests = 10;

    /// @param max_shift Largest share of the requests that may change their region from one window to the
    /// next, 0 to 1.
    /// @param seed Seed of the random rounding.
    explicit region_shift_limiter(double max_shift, std::uint64_t seed = 0)
        : max_shift_(max_shift), seed_(seed) {}

    /// @brief Replaces the limit.
    void set_max_shift(double max_shift) { max_shift_ = max_shift; }

    /// @brief Whether one more request may go to a region.
    /// @param region Tag of the region.
    /// @param capacities All regions that have an endpoint for the request, ordered by their tags.
    /// @return True also beyond the limit when the region has got fewer requests of this VM than by its
    /// earlier share, so that some region always admits a request.
    [[nodiscard]] bool allows(time_ms now, std::uint32_t region, std::span<const region_capacity> capacities);

    /// @brief Records a request of this VM.
    void on_send(time_ms now, std::uint32_t region);
    /// @brief Takes back a request of this VM that no endpoint of the region has run.
    /// @param sent Time that was passed to on_send().
    void on_not_run(time_ms sent, std::uint32_t region);
    /// @brief Records the requests of another VM of this region since its last report.
    void on_report(time_ms now, const vm_report& report);
    [[nodiscard]] const region_shift_decisions& decisions() const { return decisions_; }
    /// @brief Mean age of what other VMs report, in milliseconds.
    [[nodiscard]] double report_age_ms() const { return report_delays_.mean_ms(); }
    /// @brief Describes the limiter and begins a new measurement of the longest report age.
    [[nodiscard]] region_shift_view take_view(time_ms now);
    /// @brief Adds the totals of this VM to its report.
    void fill(vm_report& report) const;

private:
    static constexpr time_ms bucket_length{250};
    static constexpr std::int64_t buckets_per_window = window.count / bucket_length.count;
    // Both windows; the current bucket belongs to the later one.
    static constexpr std::size_t bucket_count = 2 * buckets_per_window;
    // Requests per bucket by which the shares of another VM stand for the time before this VM started.
    static constexpr double assumed_requests_per_bucket = 2;

    using region_counts = std::map<std::uint32_t, double>;
    struct bucket {
        std::int64_t number = -1;
        region_counts counts;
    };
    using history = std::array<bucket, bucket_count>;
    struct send_total {
        std::uint64_t sent = 0;
        std::uint64_t returned = 0;
        [[nodiscard]] double run() const { return static_cast<double>(sent) - static_cast<double>(returned); }
    };
    // By region.
    using send_totals = std::map<std::uint32_t, send_total>;
    struct reporter {
        incarnation_id incarnation;
        send_totals totals;
    };

    /// First bucket of the later of the two windows.
    [[nodiscard]] std::int64_t later_window(time_ms now) const;
    static std::int64_t bucket_number(time_ms now) { return now.count / bucket_length.count; }
    /// What one region gets of a VM's requests in a window.
    struct allotment {
        /// Share in the earlier window, less or more what has failed.
        double reference = 0;
        double sent = 0;
        /// Requests by the reference, rounded.
        double due = 0;
    };

    [[nodiscard]] static region_counts sum(const history& counted, std::int64_t first, std::int64_t last);
    static void add(history& counted, std::int64_t number, std::uint32_t region, double requests);
    void add_to_region(std::int64_t number, std::uint32_t region, double requests);
    void find_references(const region_counts& before, std::span<const region_capacity> capacities);
    double count_own(std::int64_t first, std::int64_t last, std::span<const region_capacity> capacities);
    void draw_rounding();
    void round_due(double requests);
    void assume_shares(time_ms now, const send_totals& totals);

    double max_shift_;
    std::uint64_t seed_;
    // Positions at which this VM rounds the shares and the limit, 0 to 1; drawn at the first use.
    struct rounding_positions {
        double shares = 0;
        double limit = 0;
    };
    std::optional<rounding_positions> rounding_;
    // Requests of all VMs of the region.
    history history_;
    // Requests of this VM.
    history own_history_;
    // One for each region of the current call; kept between calls to avoid allocation.
    std::vector<allotment> allotments_;
    // The last bucket with a request, and the first one after which no two windows were empty.
    std::int64_t last_bucket_ = -static_cast<std::int64_t>(bucket_count);
    std::int64_t first_bucket_ = 0;
    send_totals own_totals_;
    std::unordered_map<std::string, reporter> reporters_;
    report_delay_meter report_delays_;
    region_shift_decisions decisions_;
};

} // namespace lacewing
