#pragma once

#include "coordination/duty_lease.h"
#include "coordination/true_time.h"
#include "coordination/usage_message.h"
#include "coordination/usage_reporter.h"
#include "coordination/usage_windows.h"
#include "state/time_ms.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

namespace lacewing {

/// @brief Another VM, as far as the usage duty needs to know it.
struct usage_peer {
    std::string vm;
    std::string zone;
    std::string address;
    std::uint64_t source = 0;
    /// The VM is to be chosen no more; it still counts requests.
    bool leaving = false;
};

/// @brief Live VMs, without this one, and what this VM may do.
struct usage_fleet {
    std::vector<usage_peer> peers;
    /// This VM is the one that should take the duty if nobody holds it.
    bool first_choice = false;
    /// This VM hears no other one although there are some, so it is probably cut off from them.
    bool isolated = false;
};

/// @brief Number of a process of a VM, for usage_record::sources.
std::uint64_t usage_source(std::string_view vm, std::uint64_t incarnation);

/// @brief One VM's part of the usage duty: it counts, may collect the counts of its zone, and may hold the
/// duty. Decides everything without network, threads or clocks of its own.
class usage_duty {
public:
    struct options {
        std::string vm;
        std::string zone;
        /// Peer address.
        std::string address;
        std::uint64_t incarnation = 0;
        time_ms window{5000};
        time_ms late{10'000};
        time_ms term{3000};
    };
    /// A report that is to be sent now.
    struct report {
        std::int64_t window = 0;
        std::uint64_t token = 0;
        usage_counts counts;
        time_ms timeout{0};
    };
    /// How a report ended.
    enum class report_end : std::uint8_t { accepted, refused, no_answer };
    using outgoing = std::vector<std::pair<std::string, usage_message>>;
    /// Receives an event with a window, 0 where there is none, and a number that the event has.
    using event_log = std::function<void(std::string_view event, std::int64_t window, std::int64_t value)>;

    /// @param now Time of the start of the process.
    usage_duty(options chosen, time_ms now, time_ms time_of_day, event_log events);

    [[nodiscard]] usage_counter& counter() { return counter_; }
    [[nodiscard]] const usage_counter& counter() const { return counter_; }
    /// @brief Takes a newer view of the fleet; VMs of other zones matter only to the holder.
    void set_fleet(time_ms now, usage_fleet fleet);
    /// @brief Messages that are due, by address. To be called several times a second.
    /// @param time_of_day Reading of the clock of the host, which may be wrong.
    outgoing step(time_ms now, time_ms time_of_day);
    /// @brief Handles a message.
    /// @return The answer, by address.
    outgoing on_message(time_ms now, const usage_message& message);
    /// @brief Next call to the store; see duty_lease::next(). Its result goes to lease().
    duty_lease::action next_store_call(time_ms now);
    [[nodiscard]] duty_lease& lease() { return lease_; }
    [[nodiscard]] const duty_lease& lease() const { return lease_; }
    /// @brief Report to send now; at most one at a time. may_send() is to be asked again right before it is
    /// written.
    std::optional<report> next_report(time_ms now);
    [[nodiscard]] bool may_send(time_ms now) const;
    void on_report_end(time_ms now, report_end end);
    /// @brief The process is leaving: the duty is given up.
    void begin_stop() { leaving_ = true; }
    /// @brief Handles an answer of the store as far as it concerns the counts; to be called after each.
    void on_store_answer(time_ms now);

    /// @brief Holder as last heard of.
    [[nodiscard]] const holder_notice& holder() const { return holder_; }
    /// @brief Last window whose report was accepted from this VM; 0 if none.
    [[nodiscard]] std::int64_t last_reported() const { return last_reported_; }
    /// @brief Ended windows that are not known to be reported, if this VM holds the duty.
    [[nodiscard]] std::int64_t backlog(time_ms now) const;

private:
    struct peer_choice {
        std::uint64_t rank = 0;
        std::string address;
        std::uint64_t source = 0;
    };
    [[nodiscard]] std::vector<peer_choice> collectors(std::string_view zone, std::size_t count) const;
    [[nodiscard]] duty_progress planned(time_ms now) const;
    [[nodiscard]] bool complete(std::int64_t window) const;
    [[nodiscard]] bool renewed_lately(time_ms now) const;
    [[nodiscard]] bool candidate(time_ms now) const;
    [[nodiscard]] holder_notice notice(time_ms now) const;
    void settle(std::int64_t below);
    void note_holder(time_ms now, const holder_notice& heard);
    void review_tenure(time_ms now);
    void push(time_ms now, time_ms time_of_day, outgoing& out);
    void push_zone(time_ms now, time_ms time_of_day, outgoing& out);
    [[nodiscard]] std::optional<time_ms> agreed_time(time_ms now) const;
    outgoing on_push(time_ms now, const usage_push& push);
    outgoing on_received(time_ms now, const usage_acknowledgement& answer);

    options options_;
    event_log events_;
    true_time clock_;
    usage_counter counter_;
    duty_lease lease_;
    usage_reporter reporter_;
    // Counts of the VMs of the zone, as their collector; counts of the zones, as the holder.
    usage_collection zone_;
    usage_collection zones_;
    usage_outbox to_collector_;
    usage_outbox to_holder_;
    usage_fleet fleet_;
    std::unordered_set<std::uint64_t> live_;
    std::uint64_t source_;
    time_ms started_;
    std::int64_t first_window_;
    // When each process was last seen alive.
    std::map<std::uint64_t, time_ms> seen_;
    time_ms last_step_;
    // Since when this process has heard the others without a break.
    time_ms hearing_since_;
    time_ms next_push_{0};
    time_ms next_notice_{0};
    std::int64_t pushed_window_ = 0;
    holder_notice holder_;
    std::optional<time_ms> holder_heard_;
    // Distance of the time of day of each VM of the zone from the own steady clock, with the time of the
    // message.
    std::map<std::uint64_t, std::pair<time_ms, time_ms>> clock_distances_;
    bool leaving_ = false;
    bool report_in_flight_ = false;
    std::uint64_t report_token_ = 0;
    std::int64_t report_window_ = 0;
    std::int64_t last_reported_ = 0;
    bool was_holding_ = false;
    // Since when no call has reached the platform.
    std::optional<time_ms> unanswered_since_;
    std::optional<time_ms> isolated_since_;
    time_ms retired_until_{0};
    std::int64_t logged_fixed_below_ = 0;
};

} // namespace lacewing
