#include "coordination/endpoint_notice.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace lacewing {

namespace {

// All reports of this time carry the news that an endpoint leaves, so that the loss of some of them delays no
// VM; later on, full reports do, for VMs that have started.
constexpr time_ms leaving_repeat_time{1000};

} // namespace

std::optional<time_ms> parse_endpoint_pause(std::string_view text) {
    const bool plain = !text.empty() && text.find_first_not_of("0123456789.") == std::string_view::npos;
    if (!plain) return std::nullopt;
    double seconds = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    if (parsed.ptr != end) return std::nullopt;
    if (parsed.ec == std::errc::result_out_of_range) return max_endpoint_pause;
    if (parsed.ec != std::errc{}) return std::nullopt;
    const double max_seconds = static_cast<double>(max_endpoint_pause.count) / 1000;
    return time_ms{static_cast<std::int64_t>(std::ceil(std::min(seconds, max_seconds) * 1000))};
}

bool endpoint_notice::on_leaving(time_ms now) {
    if (!heard_leaving_at_) heard_leaving_at_ = now;
    return on_reported_leaving();
}

bool endpoint_notice::on_reported_leaving() {
    const bool news = !leaving_;
    leaving_ = true;
    return news;
}

bool endpoint_notice::reports_leaving(time_ms now, bool full) const {
    return heard_leaving_at_ && (full || now - *heard_leaving_at_ < leaving_repeat_time);
}

void endpoint_notice::on_pause(time_ms now, time_ms pause) {
    paused_until_ = std::max(paused_until_, now + pause);
}

std::optional<time_ms> endpoint_notice::pause_end(time_ms now) const {
    if (leaving_ || now >= paused_until_) return std::nullopt;
    return paused_until_;
}

} // namespace lacewing
