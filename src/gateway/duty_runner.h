#pragma once

#include "coordination/fleet_view.h"
#include "coordination/usage_duty.h"
#include "platform/cloud_api.h"
#include "platform/object_store.h"
#include "state/gateway_settings.h"
#include "state/time_ms.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <boost/asio.hpp>

namespace lacewing {

/// @brief Performs the usage duty of this VM: timers, store calls, calls to the platform and messages. All
/// decisions are those of usage_duty.
class duty_runner {
public:
    using datagram_sender = std::function<void(const std::string& address, std::string_view datagram)>;

    /// @param incarnation Number of this process.
    /// @param store_reached Whether the store answers this VM.
    duty_runner(boost::asio::io_context& context, platform::object_store& store, const fleet_view& fleet,
                const gateway_settings& settings, const service_bounds& bounds, std::uint64_t incarnation,
                std::function<bool(time_ms)> store_reached, datagram_sender send);

    /// @brief Whether the settings call for the usage duty.
    [[nodiscard]] static bool wanted(const gateway_settings& settings);
    /// @brief Does what is due; to be called several times a second.
    void on_tick(time_ms now);
    void begin_stop() { duty_.begin_stop(); }
    /// @brief The store has named its era; tokens of a later era are higher.
    void on_store_era(std::uint64_t era) { duty_.lease().on_era(era); }
    void on_datagram(std::string_view datagram);
    [[nodiscard]] usage_counter& counter() { return duty_.counter(); }
    /// @brief Lines for the metrics.
    [[nodiscard]] std::string metrics() const;

private:
    boost::asio::awaitable<void> call_store(duty_lease::action action);
    boost::asio::awaitable<void> send_report(usage_duty::report report);
    void deliver(usage_duty::outgoing messages);
    [[nodiscard]] usage_fleet view(time_ms now) const;

    boost::asio::io_context& context_;
    platform::object_store& store_;
    const fleet_view& fleet_;
    std::string vm_;
    std::string zone_;
    std::string address_;
    // A slow store must not cost the lease: its validity counts from the sending of a call.
    time_ms store_timeout_;
    platform::object_filter record_filter_;
    std::function<bool(time_ms)> store_reached_;
    datagram_sender send_;
    usage_duty duty_;
    time_ms next_view_{0};
    platform::cloud_api api_;
    std::uint64_t reports_accepted_ = 0;
    std::uint64_t reports_late_ = 0;
};

} // namespace lacewing
