#include "load/result.h"

#include <algorithm>
#include <fmt/format.h>

namespace lacewing::load {

namespace {

// Sizes in pixels.
constexpr double panel_width = 420;
constexpr double panel_height = 120;
constexpr double margin = 60;
constexpr double row_height = panel_height + 50;

// One plot: its upper left corner in pixels and the largest value on each axis.
struct panel {
    double x;
    double y;
    double seconds;
    double max_value;

    [[nodiscard]] double pixel_x(double second) const { return x + second / seconds * panel_width; }
    [[nodiscard]] double pixel_y(double value) const {
        return y + panel_height - value / max_value * panel_height;
    }
};

std::string draw_frame(const panel& area, const std::string& title, const std::string& unit) {
    return fmt::format(
        R"(<rect x="{}" y="{}" width="{}" height="{}" fill="none" stroke="#999"/>)"
        R"(<text x="{}" y="{}">{}</text><text x="{}" y="{}" text-anchor="end">{:.0f} {}</text>)"
        R"(<text x="{}" y="{}" text-anchor="end">{:.0f} s</text>)"
        "\n",
        area.x, area.y, panel_width, panel_height, area.x, area.y - 6, title, area.x - 4, area.y + 10,
        area.max_value, unit, area.x + panel_width, area.y + panel_height + 14, area.seconds);
}

template <class Value>
std::string draw_curve(const panel& area, const account_result& account, const char* colour, Value value) {
    std::string points;
    for (std::size_t i = 0; i < account.seconds.size(); ++i) {
        points += fmt::format("{:.1f},{:.1f} ", area.pixel_x(static_cast<double>(i) + 0.5),
                              area.pixel_y(value(account.seconds[i])));
    }
    return fmt::format(R"(<polyline fill="none" stroke="{}" points="{}"/>)"
                       "\n",
                       colour, points);
}

double answered(const account_second& second) {
    return static_cast<double>(second.answered);
}

double quantile_ms(const account_second& second, double fraction) {
    return static_cast<double>(second.latency.quantile(fraction)) / 1000;
}

std::string draw_account_row(const std::string& name, const account_result& account, double y) {
    const auto seconds = std::max<double>(1, static_cast<double>(account.seconds.size()));
    panel rates{margin, y, seconds, static_cast<double>(std::max<std::int64_t>(account.allowed_rate, 1))};
    panel latency{margin * 2.5 + panel_width, y, seconds, 1};
    for (const auto& second : account.seconds) {
        rates.max_value = std::max({rates.max_value, answered(second), static_cast<double>(second.offered)});
        latency.max_value = std::max(latency.max_value, quantile_ms(second, 0.99));
    }
    const auto allowed = rates.pixel_y(static_cast<double>(account.allowed_rate));
    auto text = draw_frame(rates, name + ": answered (blue), offered (grey), allowed (red)", "/s");
    text += fmt::format(R"(<line x1="{}" x2="{}" y1="{}" y2="{}" stroke="#c33" stroke-dasharray="5 3"/>)"
                        "\n",
                        rates.x, rates.x + panel_width, allowed, allowed);
    text += draw_curve(rates, account, "#bbb", [](const auto& s) { return static_cast<double>(s.offered); });
    text += draw_curve(rates, account, "#26c", answered);
    text += draw_frame(latency, name + ": latency p50 (blue), p99 (orange)", "ms");
    text += draw_curve(latency, account, "#e80", [](const auto& s) { return quantile_ms(s, 0.99); });
    return text + draw_curve(latency, account, "#26c", [](const auto& s) { return quantile_ms(s, 0.5); });
}

} // namespace

std::string plot_svg(const load_result& result) {
    const auto height = row_height * static_cast<double>(result.accounts.size()) + margin;
    auto text = fmt::format(R"(<svg xmlns="http://www.w3.org/2000/svg" width="{}" height="{}" )"
                            R"(font-family="sans-serif" font-size="11"><rect width="100%" height="100%" )"
                            R"(fill="white"/>)"
                            "\n",
                            2 * panel_width + 3.5 * margin, height);
    double y = 30;
    for (const auto& [name, account] : result.accounts) {
        text += draw_account_row(name, account, y);
        y += row_height;
    }
    return text + "</svg>\n";
}

} // namespace lacewing::load
