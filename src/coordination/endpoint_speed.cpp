#include "coordination/endpoint_speed.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace lacewing {

namespace {

// Half-lives of a statement, of the average of the statements and of the learned correction.
constexpr double statement_half_life_ms = 400;
constexpr double average_half_life_ms = 6000;
constexpr double correction_half_life_ms = 6000;
// Time in which the average follows half of a lasting change, and the least weight of one statement.
constexpr double average_follow_ms = 3000;
constexpr double min_statement_weight = 0.1;
constexpr double max_statement_weight = 0.5;
// A statement that differs from the usual speed by less than this (as a logarithm, a quarter) is not news.
constexpr double usual_range = 0.22;
// Range in which a statement counts without measurements, so that an endpoint that states a wrong speed still
// gets the requests that show it.
constexpr double min_unproven_factor = 0.8;
constexpr double max_unproven_factor = 3;
// A single measurement counts up to this difference (as a logarithm); only a second one in a row counts in
// full, because some requests need several times the usual work on any machine.
constexpr double unconfirmed_residual = 0.26;
constexpr double residual_weight = 0.4;
// Measurements make an endpoint slower than it states by any factor, but little faster.
constexpr double min_correction = 0.7;
// Below this trust a statement is not passed on.
constexpr double min_reported_trust = 0.5;
constexpr double evidence_weight = 0.25;
// The trust in statements falls from 1 to 0 between these values of the evidence.
constexpr double full_trust_evidence = 0;
constexpr double no_trust_evidence = -0.4;

double decayed(double value, time_ms since, time_ms now, double half_life_ms) {
    return value *
           std::exp2(-static_cast<double>(std::max<std::int64_t>(0, (now - since).count)) / half_life_ms);
}

double bounded(double factor) {
    return std::clamp(factor, endpoint_speed::min_factor, endpoint_speed::max_factor);
}

bool usual(double factor) {
    return std::abs(std::log(factor)) < usual_range;
}

} // namespace

void endpoint_speed::on_stated(time_ms now, double factor) {
    factor = std::clamp(factor, min_unproven_factor, max_unproven_factor);
    // Other VMs forget a statement by themselves, so the usual speed is news only after another one.
    unreported_ = unreported_ || !usual(factor) || !usual(last_);
    update(now, factor);
}

void endpoint_speed::on_reported(time_ms now, double factor) {
    update(now, std::clamp(factor, min_unproven_factor, max_unproven_factor));
}

void endpoint_speed::update(time_ms now, double factor) {
    const auto passed_ms = static_cast<double>(std::max<std::int64_t>(0, (now - last_at_).count));
    const double weight =
        std::clamp(1 - std::exp2(-passed_ms / average_follow_ms), min_statement_weight, max_statement_weight);
    const double before = average(now);
    average_ = before + weight * (factor - before);
    last_ = factor;
    last_at_ = now;
    stated_ = true;
}

void endpoint_speed::on_answer(time_ms now, double ratio) {
    const double measured = std::log(bounded(ratio));
    if (stated_ && !usual(last_)) {
        const double evidence = std::abs(measured) - std::abs(measured - std::log(last_));
        evidence_ += evidence_weight * (evidence - evidence_);
    }
    const double residual = measured - std::log(stated_factor(now));
    const double bound = std::max(unconfirmed_residual, std::abs(last_residual_));
    const bool confirmed = residual * last_residual_ > 0;
    const double limit = confirmed ? bound : unconfirmed_residual;
    const double before = decayed(residual_, residual_at_, now, correction_half_life_ms);
    residual_ = before + residual_weight * (std::clamp(residual, -limit, limit) - before);
    residual_at_ = now;
    last_residual_ = residual;
}

double endpoint_speed::trust() const {
    return std::clamp((evidence_ - no_trust_evidence) / (full_trust_evidence - no_trust_evidence), 0.0, 1.0);
}

// Average of the statements; it approaches the usual speed, so that an endpoint that gets no requests for its
// slowness is tried again.
double endpoint_speed::average(time_ms now) const {
    return 1 + decayed(average_ - 1, last_at_, now, average_half_life_ms);
}

double endpoint_speed::stated_factor(time_ms now) const {
    const double lasting = average(now);
    return 1 + trust() * (lasting + decayed(last_ - lasting, last_at_, now, statement_half_life_ms) - 1);
}

double endpoint_speed::correction(time_ms now) const {
    return std::max(min_correction, std::exp(decayed(residual_, residual_at_, now, correction_half_life_ms)));
}

double endpoint_speed::factor(time_ms now) const {
    return bounded(stated_factor(now) * correction(now));
}

double endpoint_speed::lasting_factor(time_ms now) const {
    return bounded((1 + trust() * (average(now) - 1)) * correction(now));
}

std::optional<std::uint32_t> endpoint_speed::unreported_percent() const {
    if (!unreported_ || trust() < min_reported_trust) return std::nullopt;
    return static_cast<std::uint32_t>(std::lround(last_ * 100));
}

std::optional<double> parse_stated_factor(std::string_view text) {
    const auto first = text.find_first_not_of(' ');
    if (first == std::string_view::npos) return std::nullopt;
    text = text.substr(first, text.find_last_not_of(' ') + 1 - first);
    if (text.find_first_not_of("0123456789.") != std::string_view::npos) return std::nullopt;
    double percent = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, percent, std::chars_format::fixed);
    if (parsed.ec != std::errc{} || parsed.ptr != end || percent <= 0) return std::nullopt;
    return bounded(percent / 100);
}

} // namespace lacewing
