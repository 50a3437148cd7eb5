#include "coordination/endpoint_limit.h"

#include <charconv>
#include <cmath>

namespace lacewing {

std::optional<double> parse_endpoint_limit(std::string_view text) {
    double per_s = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, per_s, std::chars_format::fixed);
    if (parsed.ec != std::errc{} || parsed.ptr != end || !std::isfinite(per_s) || std::signbit(per_s))
        return {};
    return per_s;
}

bool endpoint_limit::on_answer(time_ms now, std::optional<double> per_s) {
    if (per_s == per_s_) return false;
    per_s_ = per_s;
    sent_ = 0;
    changed_at_ = now;
    return true;
}

void endpoint_limit::on_send() {
    if (per_s_) ++sent_;
}

} // namespace lacewing
